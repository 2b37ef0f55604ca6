"""Finds out whether a call without a valid reply was carried out.

Such a call is assumed to be carried out completely or not at all. That the relay carried out only
its first orders (`CallApplied`) is known from a valid reply alone, and calls with a valid reply are
not followed here. Unless the call is found to be carried out, its orders that were not dropped
meanwhile are queued again. Retrying a call blindly could overfill the push channel; dropping it
could leave tables without its orders for good.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from .deadlines import Deadline
from .event_loop import EventLoop
from .published_tables import Tables, apply_order, tables_match
from .relay_orders import (
    ACKNOWLEDGEMENT_KEY,
    AcknowledgementOrder,
    OrdersByKey,
    changed_slices,
    keys_for_slice,
)
from .relay_watch import RelayWatch
from .snapshots import CallOutcome, Snapshot, TableChange, call_outcome, superseded_slices
from .timer import Backoff

# The latest nonces, kept for pushes whose call is resolved after their acknowledgement.
MAX_ACKNOWLEDGED_NONCES = 32


class CallOwner(Protocol):
    """The client that made the call."""

    def call_resolved(self, orders: OrdersByKey, carried_out: bool) -> None:
        """The outcome of a call is known or was assumed."""

    def retry_acknowledgement_request(self, order: AcknowledgementOrder) -> None:
        """No proxy has acknowledged a push in time."""

    def table_superseded(self, slice_id: int, snapshot: Snapshot) -> None:
        """A complete snapshot shows that a call's orders were planned for an earlier table."""

    def send_next(self) -> None:
        """Sends the next queued orders."""


class PendingCall:
    """One call whose outcome is unknown: its orders and its current timer.

    Once it has ended, its timer and snapshots that arrive late have no effect.
    """

    def __init__(self, event_loop: EventLoop, orders: OrdersByKey) -> None:
        """`orders` may become empty when orders for an earlier table are dropped."""
        self._event_loop = event_loop
        self.orders = orders
        self.ended = False
        self.waits_for_retry = False
        self._deadline: Deadline | None = None

    def wait(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after the delay, unless the call ends before."""
        self._deadline = self._event_loop.after(delay_ms, callback)

    def end(self) -> None:
        """The outcome no longer matters; cancels the timer."""
        self.ended = True
        self._event_loop.cancel(self._deadline)


class UnresolvedCall:
    """The call whose outcome is unknown, if there is one.

    For a call that changes tables, a snapshot shows the outcome. For any other, only an
    acknowledgement of its push does; without one, the call is retried with backoff.
    """

    def __init__(self, event_loop: EventLoop, watch: RelayWatch, owner: CallOwner) -> None:
        """`watch` provides snapshots; `owner` is notified of the outcome."""
        self._event_loop = event_loop
        self._watch = watch
        self._owner = owner
        self._pending: PendingCall | None = None
        ack_ms = event_loop.limits.push_ack_wait_ms
        self._retry_backoff = Backoff(ack_ms, 4 * ack_ms)
        self._newest_nonce: int | None = None
        self._acknowledged_nonces: deque[int] = deque(maxlen=MAX_ACKNOWLEDGED_NONCES)

    @property
    def orders(self) -> OrdersByKey:
        """The orders of the unresolved call; empty where there is none."""
        return self._pending.orders if self._pending else {}

    @property
    def is_pending(self) -> bool:
        """Whether there is an unresolved call, possibly without orders."""
        return self._pending is not None

    def begin(self, orders: OrdersByKey, reply_due_ms: float) -> None:
        """Starts to resolve a call with these orders.

        `reply_due_ms`: until then the call may still be carried out.
        """
        if self._pending:
            # All of its orders were dropped, otherwise no further call would have been sent.
            self._pending.end()
        call = self._pending = PendingCall(self._event_loop, orders)
        wait_ms = max(0.0, reply_due_ms - self._event_loop.now())
        call.wait(wait_ms, lambda: self._investigate(call))

    def discard_slice(self, slice_id: int) -> None:
        """Drops the orders that change this slice's table, so that they are not retried."""
        for key in keys_for_slice(self.orders, slice_id):
            del self.orders[key]

    def push_ordered(self, nonce: int) -> None:
        """A newer push was ordered."""
        self._newest_nonce = nonce

    def call_answered(self) -> None:
        """The relay has replied to a call: resets the backoff of retries."""
        self._retry_backoff.reset()

    def acknowledged(self, nonce: int) -> None:
        """A proxy has acknowledged a push: the call with this nonce was carried out."""
        if nonce not in self._acknowledged_nonces:
            self._acknowledged_nonces.append(nonce)
        request = self.orders.get(ACKNOWLEDGEMENT_KEY)
        if isinstance(request, AcknowledgementOrder) and request.nonce == nonce:
            self._event_loop.log("call_acknowledged", nonce=nonce)
            self._resolve(carried_out=True)
            self._owner.send_next()

    def retry_with_newer_orders(self) -> None:
        """Newer orders are about to be sent: a call that waits for its retry joins them."""
        if self._pending and self._pending.waits_for_retry:
            self._resolve(carried_out=False)

    def _investigate(self, call: PendingCall) -> None:
        if self._changes():
            self._watch.request_snapshot(lambda snapshot: self._compare(call, snapshot))
        else:
            # Without backoff, a call that is carried out each time would fill the push channel with
            # its messages.
            call.waits_for_retry = True
            call.wait(self._retry_backoff.next(), lambda: self._retry(call))

    def _changes(self) -> dict[int, TableChange]:
        """How the call changes tables, by slice."""
        known = self._watch.slices.tables
        slices = changed_slices(self.orders)
        expected: Tables = {s: dict(known[s]) for s in slices if s in known}
        for order in self.orders.values():
            apply_order(expected, order)
        return {
            s: TableChange(known[s], after)
            for s, after in expected.items()
            if not tables_match(after, known[s])
        }

    def _retry(self, call: PendingCall) -> None:
        if not call.ended:
            self._resolve(carried_out=False)
            self._owner.send_next()

    def _compare(self, call: PendingCall, snapshot: Snapshot) -> bool:
        """Compares tables with those of the call; returns False to wait for further entries."""
        if call.ended:
            return True
        changes = self._changes()
        outcome = call_outcome(changes, self._watch.slices.tables, snapshot)
        self._log_comparison(changes, snapshot)
        if outcome is CallOutcome.UNKNOWN:
            return False
        request = call.orders.get(ACKNOWLEDGEMENT_KEY)
        carried_out = outcome is CallOutcome.CARRIED_OUT
        if snapshot.complete and not carried_out:
            for slice_id in superseded_slices(changes, snapshot):
                self._owner.table_superseded(slice_id, snapshot)
        self._resolve(carried_out)
        if carried_out and isinstance(request, AcknowledgementOrder):
            # Tables that already had these entries would match as well: only an acknowledgement
            # proves that the push was sent.
            wait_ms = 2 * self._event_loop.limits.push_ack_wait_ms
            self._event_loop.after(wait_ms, lambda: self._expect_acknowledgement(request))
        self._owner.send_next()
        return True

    def _log_comparison(self, changes: dict[int, TableChange], snapshot: Snapshot) -> None:
        shown = [
            tables_match(after, snapshot.tables[slice_id])
            for slice_id, (_, after) in changes.items()
            if slice_id in snapshot.tables
        ]
        self._event_loop.log(
            "call_compared", matching=sum(shown), tables=len(shown), complete=snapshot.complete
        )

    def _expect_acknowledgement(self, request: AcknowledgementOrder) -> None:
        is_newest = self._newest_nonce == request.nonce
        if is_newest and request.nonce not in self._acknowledged_nonces:
            self._event_loop.count("acknowledgements_requested_again")
            self._owner.retry_acknowledgement_request(request)
            self._owner.send_next()

    def _resolve(self, carried_out: bool) -> None:
        orders = self.orders
        if self._pending:
            self._pending.end()
        self._pending = None
        self._event_loop.count("relay_found_carried_out" if carried_out else "relay_retried")
        self._owner.call_resolved(orders, carried_out)
