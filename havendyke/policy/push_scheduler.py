"""Schedules pushes: when changes of tables are sent, and how many of them in one push.

Changes are batched into one push per interval; urgent ones may be sent after half of it, unless
messages are limited. Proxies acknowledge a push by its nonce.
"""

from collections.abc import Sequence

from ..interface import Order, RequestAcknowledgement, SetAdmission, Settings
from ..state import ObservedState, Proxy, Push, Slice
from ..state.server import NEVER_MS
from .ejection import EjectionPlanner
from .pacing import PUSH_INTERVAL_MS
from .push_budget import PushBudget, PushCosts
from .shared_tables import SharedTables
from .table_diff import (
    LEAST_URGENT_EXPEDITED,
    LEAST_URGENT_USING_RESERVE,
    TableDiff,
    change_priority,
    has_usable_endpoint,
    urgency,
)

# The channel may be slower than its stated rate by up to this factor.
MAX_CHANNEL_SLOWDOWN = 8.0
# With a message limit, push intervals exceed the shortest permitted one by this factor.
MESSAGE_LIMIT_MARGIN = 1.1
# Exclusive ownership needs every acknowledgement; a missing one is requested again after this time.
ACKNOWLEDGEMENT_RETRY_MS = 3_000.0
# A proxy that connects within this time after a push may have received it.
PUSH_RACE_WINDOW_MS = 100.0


class PushScheduler:
    """Turns the difference between desired and published tables into orders.

    Writes the published tables of slices.
    """

    def __init__(self, settings: Settings, costs: PushCosts, shared_tables: SharedTables) -> None:
        self._exclusive = settings.exclusive_ownership
        self._has_slices = bool(settings.slice_count)
        self._push_delay_ms = settings.push_delay_ms
        self._min_entries_per_ms = settings.channel_rate_per_s / 1000 / MAX_CHANNEL_SLOWDOWN
        self._lease_ms = settings.lease_ms
        self.interval_ms = PUSH_INTERVAL_MS
        self._expedited_interval_ms = PUSH_INTERVAL_MS / 2
        if settings.message_limit:
            window_ms = MESSAGE_LIMIT_MARGIN * settings.message_limit_window_ms
            self.interval_ms = max(PUSH_INTERVAL_MS, window_ms / settings.message_limit)
            self._expedited_interval_ms = self.interval_ms
        self.costs = costs
        self._diff = TableDiff(settings)
        self._ejection = EjectionPlanner(settings)
        self._shared_tables = shared_tables
        self._published_admission: list[SetAdmission] = []
        self._next_push_ms = NEVER_MS
        self._next_expedited_push_ms = NEVER_MS

    def add_racing_recipient(self, proxy: Proxy, observed: ObservedState) -> None:
        """Makes a proxy that just connected a recipient of the pushes it may have received."""
        if not self._exclusive:
            return
        for push in observed.channel.pushes:
            if observed.now_ms - push.sent_ms <= PUSH_RACE_WINDOW_MS:
                push.add_recipient(proxy)

    def emit(self, observed: ObservedState, admission: list[SetAdmission]) -> list[Order]:
        """Returns the orders of the next push, or none while no push is due.

        The last order requests an acknowledgement.
        """
        now_ms = observed.now_ms
        if now_ms < self._next_expedited_push_ms or not observed.channel.connected:
            return []
        connected = observed.connected_proxies()
        expedited = now_ms < self._next_push_ms
        changed = self._changed_slices(observed, expedited)
        budget = self._budget(observed, len(connected))
        if not self._should_push(changed, budget, expedited):
            return []
        push = self._create_push(observed, connected)
        orders: list[Order] = []
        if connected:
            orders += self._admission_orders(admission, budget)
        self._add_table_orders(orders, observed, changed, budget, push)
        if not self._has_slices:
            self._add_bindings(orders, connected, budget)
        request_from_all = self._lacks_acknowledgement(observed, connected)
        if not orders and not request_from_all:
            return []
        self._record_push(observed, push, len(orders), expedited)
        return [*orders, RequestAcknowledgement(push.nonce, request_from_all)]

    def _changed_slices(self, observed: ObservedState, expedited: bool) -> list[Slice]:
        """Returns the slices to publish; if expedited, only those with a drain or no endpoint."""
        return [
            slice_
            for slice_ in observed.slices
            if slice_.assigned
            and slice_.desired != slice_.published
            and (not expedited or urgency(slice_) <= LEAST_URGENT_EXPEDITED)
        ]

    def _budget(self, observed: ObservedState, proxy_count: int) -> PushBudget:
        queued = observed.channel.estimate_queue(
            observed.proxies, observed.now_ms, self._push_delay_ms, self._min_entries_per_ms
        )
        return self.costs.budget(proxy_count, queued)

    def _should_push(self, changed: Sequence[Slice], budget: PushBudget, expedited: bool) -> bool:
        urgent = expedited or any(urgency(slice_) <= LEAST_URGENT_EXPEDITED for slice_ in changed)
        limit = budget.urgent if urgent else budget.ordinary
        # A nearly full channel is not filled with messages whose overhead exceeds their entries.
        if limit < min(self.costs.message_overhead, 1 + len(changed)):
            return False
        return bool(changed) or not expedited

    def _create_push(self, observed: ObservedState, connected: Sequence[Proxy]) -> Push:
        now_ms = observed.now_ms
        # A proxy that disconnected earlier keeps using its tables until its lease ends.
        settled_ms = max(now_ms, observed.last_disconnect_ms + self._lease_ms)
        return Push(observed.channel.last_serial + 1, 0, set(connected), now_ms, settled_ms)

    def _admission_orders(
        self, admission: list[SetAdmission], budget: PushBudget
    ) -> list[SetAdmission]:
        if admission == self._published_admission or budget.ordinary <= len(admission):
            return []
        changed = [order for order in admission if order not in self._published_admission]
        self._published_admission = admission
        return changed

    def _add_table_orders(
        self,
        orders: list[Order],
        observed: ObservedState,
        changed: Sequence[Slice],
        budget: PushBudget,
        push: Push,
    ) -> None:
        # Slices without a usable endpoint come first: a server is only ejected once all of its
        # slices have another one.
        without_endpoint = [
            slice_
            for slice_ in changed
            if urgency(slice_) <= LEAST_URGENT_USING_RESERVE and not has_usable_endpoint(slice_)
        ]
        for slices, confirm in ((without_endpoint, False), (changed, True)):
            orders += self._ejection.orders(
                observed.servers, observed.slices, push, budget, len(orders), confirm
            )
            if without_endpoint and not confirm:
                orders += self._ejection.confirm_unejected(slices, push, budget, len(orders))
            for slice_ in sorted(slices, key=change_priority):
                self._add_change(orders, slice_, budget, push)

    def _add_change(
        self, orders: list[Order], slice_: Slice, budget: PushBudget, push: Push
    ) -> None:
        change = self._diff.change(slice_, push.sent_ms)
        urgent = urgency(slice_) <= LEAST_URGENT_USING_RESERVE
        limit = budget.urgent if urgent else budget.ordinary
        if not change.orders or len(orders) + len(change.orders) > limit:
            return
        orders += change.orders
        slice_.published = change.published
        push.changes_tables = True
        slice_.last_push_serial = push.serial
        # Recorded in addition to `last_push_serial`, which a migration resets.
        slice_.clearing_push = None if change.published else push

    def _add_bindings(
        self, orders: list[Order], connected: Sequence[Proxy], budget: PushBudget
    ) -> None:
        for proxy in connected:
            entries = len(orders) + 2 + self._shared_tables.entry_count
            if not proxy.bound and entries <= budget.ordinary:
                proxy.bound = True
                orders += self._shared_tables.bindings(proxy)

    def _lacks_acknowledgement(self, observed: ObservedState, connected: Sequence[Proxy]) -> bool:
        """Whether a connected proxy has not acknowledged the last push, and no request is pending.

        A reconnected proxy has the published tables, but only its acknowledgement confirms that;
        without one, its slices would never count as settled.
        """
        channel = observed.channel
        requested_after_ms = NEVER_MS
        if self._exclusive:
            requested_after_ms = observed.now_ms - ACKNOWLEDGEMENT_RETRY_MS
        requested = {
            proxy
            for push in channel.pushes
            if push.sent_ms > requested_after_ms
            for proxy in push.awaiting_proxies
            if push.serial > proxy.missed_serial
        }
        return any(
            proxy.acknowledged_serial < channel.last_serial and proxy not in requested
            for proxy in connected
        )

    def _record_push(
        self, observed: ObservedState, push: Push, order_count: int, expedited: bool
    ) -> None:
        push.entries_per_proxy = (
            order_count + 1 + self.costs.message_overhead + len(self._published_admission)
        )
        observed.channel.add(push)
        self._next_expedited_push_ms = observed.now_ms + self._expedited_interval_ms
        if not expedited:
            self._next_push_ms = observed.now_ms + self.interval_ms
