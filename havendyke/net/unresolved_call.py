"""Finds out whether a call without a readable reply was carried out.

The relay carries out a call completely or not at all. Retried blindly, its orders could overfill
the push channel; dropped, a table would lack them for good.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from .backoff import Backoff
from .deadlines import Deadline
from .event_loop import EventLoop
from .published_tables import Table, Tables, apply_order, tables_match
from .relay_orders import (
    ACKNOWLEDGEMENT_KEY,
    AcknowledgementOrder,
    OrdersByKey,
    changed_slices,
    keys_for_slice,
)
from .relay_watch import RelayWatch

MAX_ACKNOWLEDGED_NONCES = 32  # the latest, for pushes whose call is judged later


class CallOwner(Protocol):
    """Who made the call."""

    def call_resolved(self, orders: OrdersByKey, carried_out: bool) -> None:
        """It is known, or taken for granted, what became of a call."""

    def retry_acknowledgement_request(self, order: AcknowledgementOrder) -> None:
        """Nobody has acknowledged a push in time."""

    def send_next(self) -> None:
        """Goes on with the orders that wait."""


class PendingCall:
    """One call whose outcome is sought: its orders, and the one timer that it waits for.

    Once it is ended nothing that was begun for it has an effect: no timer, no late snapshot.
    """

    def __init__(self, event_loop: EventLoop, orders: OrdersByKey) -> None:
        """`orders` may become empty: those made for an earlier table are dropped."""
        self._event_loop = event_loop
        self.orders = orders
        self.ended = False
        self.waits_for_retry = False
        self._deadline: Deadline | None = None

    def wait(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Calls back after the delay, unless the call is ended before."""
        self._deadline = self._event_loop.after(delay_ms, callback)

    def end(self) -> None:
        """Nothing more is to be found out."""
        self.ended = True
        self._event_loop.cancel(self._deadline)


class UnresolvedCall:
    """The call whose outcome is unknown, if there is one.

    A snapshot tells where the call changes tables; otherwise only an acknowledgement of its push
    would, and without one it is retried after a while.
    """

    def __init__(self, event_loop: EventLoop, watch: RelayWatch, owner: CallOwner) -> None:
        """`watch` brings the snapshots that show the outcome; `owner` is notified of it."""
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
        """The orders of the call whose outcome matters; empty where there is none."""
        return self._pending.orders if self._pending else {}

    @property
    def is_pending(self) -> bool:
        """Whether there is a call whose outcome is still sought."""
        return self._pending is not None

    def begin(self, orders: OrdersByKey, reply_due_ms: float) -> None:
        """The outcome of a call with these orders is unknown.

        `reply_due_ms`: until then it may still be carried out.
        """
        if self._pending:
            # All its orders were dropped, so that another call could be made.
            self._pending.end()
        call = self._pending = PendingCall(self._event_loop, orders)
        wait_ms = max(0.0, reply_due_ms - self._event_loop.now())
        call.wait(wait_ms, lambda: self._investigate(call))

    def discard_slice(self, slice_id: int) -> None:
        """Drops the orders that change this slice's table: they are not to be retried."""
        for key in keys_for_slice(self.orders, slice_id):
            del self.orders[key]

    def push_ordered(self, nonce: int) -> None:
        """A newer push was ordered."""
        self._newest_nonce = nonce

    def call_answered(self) -> None:
        """The relay has answered a call: the next retry waits no longer than the first."""
        self._retry_backoff.reset()

    def acknowledged(self, nonce: int) -> None:
        """A proxy has acknowledged a push: the call that brought it was carried out."""
        if nonce not in self._acknowledged_nonces:
            self._acknowledged_nonces.append(nonce)
        request = self.orders.get(ACKNOWLEDGEMENT_KEY)
        if isinstance(request, AcknowledgementOrder) and request.nonce == nonce:
            self._event_loop.log("call_acknowledged", nonce=nonce)
            self._resolve(carried_out=True)
            self._owner.send_next()

    def retry_with_newer_orders(self) -> None:
        """Newer orders are about to leave: what only waits for its retry goes along with them."""
        if self._pending and self._pending.waits_for_retry:
            self._resolve(carried_out=False)

    def _investigate(self, call: PendingCall) -> None:
        if self._expected_changes():
            self._watch.request_snapshot(lambda tables: self._judge(call, tables))
        else:
            # Retried in quick succession and carried out each time, its messages would fill the
            # push channel.
            call.waits_for_retry = True
            call.wait(self._retry_backoff.next(), lambda: self._judge(call, {}))

    def _expected_changes(self) -> dict[int, Table]:
        """The tables that the call changes, as they are if it was carried out."""
        known = self._watch.slices.tables
        slices = changed_slices(self.orders)
        expected: Tables = {s: dict(known[s]) for s in slices if s in known}
        for order in self.orders.values():
            apply_order(expected, order)
        return {s: table for s, table in expected.items() if not tables_match(table, known[s])}

    def _judge(self, call: PendingCall, tables: Tables) -> None:
        if call.ended:
            return
        matches = [
            tables_match(table, tables[slice_id])
            for slice_id, table in self._expected_changes().items()
            if slice_id in tables
        ]
        self._event_loop.log("call_compared", matching=sum(matches), tables=len(matches))
        carried_out = bool(matches) and all(matches)
        request = call.orders.get(ACKNOWLEDGEMENT_KEY)
        self._resolve(carried_out)
        if carried_out and isinstance(request, AcknowledgementOrder):
            # Tables that were the same before would match as well: only an acknowledgement proves
            # that the push has left.
            wait_ms = 2 * self._event_loop.limits.push_ack_wait_ms
            self._event_loop.after(wait_ms, lambda: self._expect_acknowledgement(request))
        self._owner.send_next()

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
