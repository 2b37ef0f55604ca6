"""Calls to the relay: one at a time, in order, retried until it is known what became of them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..interface import Event
from .backoff import Backoff
from .connection import CloseReason, Connection
from .deadlines import Deadline
from .event_loop import Address, EventLoop
from .json_lines import LineParser, parse_object
from .messages import Messages
from .order_queue import OrderQueue
from .published_tables import Table, apply_order, tables_match
from .push_channel import ChannelState, PushChannel
from .relay_orders import (
    AcknowledgementOrder,
    OrderKey,
    OrdersByKey,
    RelayOrder,
    WeightOrder,
    changed_slices,
    keys_for_slice,
)
from .relay_watch import RelayWatch
from .timer import Timer
from .unresolved_call import UnresolvedCall
from .wire_relay import (
    CallRejected,
    Method,
    decode_call_reply,
    encode_call,
    encode_order,
    encoded_size,
    is_reply_to,
)

LONG_AGO_MS = -1e9  # before any time of the monotonic clock
MAX_REASON_CHARS = 60
MAX_LOGGED_ERROR_CHARS = 100


@dataclass(slots=True)
class CallInProgress:
    """A call that is not answered yet."""

    request_id: int
    orders: OrdersByKey
    sent_ms: float
    reply_deadline: Deadline
    # Orders that were made for an earlier table than the one that has come since.
    obsolete: set[OrderKey] = field(default_factory=set)

    def current_orders(self) -> OrdersByKey:
        """The orders that still hold."""
        return {key: order for key, order in self.orders.items() if key not in self.obsolete}


class RelayClient:
    """Sends the controller's orders, and keeps account of what the relay has carried out."""

    name = "relay"

    def __init__(
        self,
        event_loop: EventLoop,
        address: Address,
        messages: Messages,
        notify: Callable[[Event], None],
    ) -> None:
        """Connects only once orders wait."""
        self._event_loop = event_loop
        self._limits = event_loop.limits
        self._registry = messages.registry
        self._exclusive_ownership = messages.settings.exclusive_ownership
        self.address = address
        self.watch = RelayWatch(
            event_loop, address, messages.relay, messages.registry, notify, self
        )
        self.channel = PushChannel(event_loop, notify)
        self.queue = OrderQueue()
        self.unresolved = UnresolvedCall(event_loop, self.watch, self)
        self.call: CallInProgress | None = None
        self.connection: Connection | None = None
        self._connected_address: Address | None = None
        self._parser: LineParser | None = None  # None until the connection is up
        self._max_orders_per_call: int | None = None  # None: no limit; halved to find a bad order
        self._table_changed_ms: dict[int, float] = {}  # by slice, when a call that changes it ended
        self._backoff = Backoff(self._limits.min_relay_backoff_ms, self._limits.max_backoff_ms)
        self._idle_timer = Timer(event_loop, self.close_idle)
        self._retry_timer = Timer(event_loop, self.send_next)
        self._recovery_timer = Timer(event_loop, self._try_recovery)

    def start(self) -> None:
        """Begins to watch the relay; orders leave once proxies have connected.

        A table that is published for no proxy, or for the first of many, is multiplied by all that
        are connected when the relay takes it.
        """
        self.channel.starting(len(self.queue))
        self.watch.start()
        self.send_next()

    def move(self, address: Address) -> None:
        """The relay has another address from now on; a call in progress ends at the old one."""
        self.address = address
        self._retry_timer.cancel()
        self._backoff.reset()
        self.watch.move(address)
        self.send_next()

    def order(self, orders: list[RelayOrder]) -> None:
        """Adds the orders of a push."""
        for order in orders:
            self.queue.put(order)
            if isinstance(order, AcknowledgementOrder):
                self.unresolved.push_ordered(order.nonce)
                self.channel.push_ordered(order.nonce)
        # One more call would cost more than the few orders that wait for their retry.
        self.unresolved.retry_with_newer_orders()
        self.send_next()

    def report_diverging_tables(self) -> None:
        """Reports the published tables where the controller believes others and no order tells why.

        For use after a failed reconciliation, whose orders were lost.
        """
        for slice_id, table in list(self.watch.slices.tables.items()):
            now_ms = self._event_loop.now()
            if self.diverges(slice_id, table) and not self.changed_since(slice_id, now_ms):
                self.watch.slices.report_table(slice_id)

    # Called by the watch, whose `CallTracker` this is.

    def changed_since(self, slice_id: int, since_ms: float) -> bool:
        """Whether a call may have changed a slice's table since then."""
        in_progress = self.call.orders if self.call else {}
        if any(
            keys_for_slice(orders, slice_id) for orders in (in_progress, self.unresolved.orders)
        ):
            return True
        return self._table_changed_ms.get(slice_id, LONG_AGO_MS) >= since_ms

    def discard_orders(self, slice_id: int) -> None:
        """Drops the orders for a slice that were made for an earlier table."""
        self.queue.discard_slice(slice_id)
        self.unresolved.discard_slice(slice_id)
        if self.call:
            self.call.obsolete.update(keys_for_slice(self.call.orders, slice_id))

    def diverges(self, slice_id: int, table: Table) -> bool:
        """Whether a table is not the one that is known, or that the controller goes by.

        Orders that wait explain a difference from the controller's.
        """
        if not tables_match(table, self.watch.slices.tables.get(slice_id, {})):
            return True
        published = self._registry.slice(slice_id).published
        believed = {server.id: weight for server, weight in published.items()}
        return not tables_match(believed, table) and not self.queue.changes_slice(slice_id)

    def acknowledged(self, nonce: int) -> None:
        """A proxy acknowledged a push."""
        self.unresolved.acknowledged(nonce)

    # Called by the unresolved call, whose `CallOwner` this is.

    def call_resolved(self, orders: OrdersByKey, carried_out: bool) -> None:
        """It is known, or taken for granted, what became of a call."""
        if carried_out:
            self._carried_out(list(orders.values()))
        else:
            self.queue.put_back(orders.values())

    def retry_acknowledgement_request(self, order: AcknowledgementOrder) -> None:
        """Nobody has acknowledged a push in time."""
        self.queue.put(AcknowledgementOrder(order.nonce, all_proxies=True))

    # Called by the connection, whose peer this is.

    def opened(self, connection: Connection) -> None:
        """The connection is up."""
        self._parser = LineParser(connection.buffer, self._limits.max_message_bytes)
        self.send_next()
        if not self.call:
            self._close_when_idle()

    def received(self, connection: Connection) -> None:
        """More bytes have come."""
        while self._parser is not None and (line := self._parser.next()) is not None:
            if line:
                self._take_reply(parse_object(line))

    def closed(self, connection: Connection, reason: str) -> None:
        """The connection has ended."""
        if connection is not self.connection:
            return
        self.connection = self._parser = None
        # Left running, it would end the next connection while that comes up.
        self._idle_timer.cancel()
        if self.call:
            self._outcome_unknown(self.call, reason)
        elif reason in (CloseReason.IDLE, CloseReason.MOVED):
            self.send_next()
        elif self.queue or not self.channel.is_available:
            self._pause(reason)

    def _connect(self) -> None:
        self._connected_address = self.address
        self.connection = self._event_loop.connect(self.address, self)
        if self.connection is None:
            self._pause("no_slot")

    def _close_connection(self, reason: CloseReason) -> None:
        if self.connection is not None:
            self.connection.close(reason)

    def _close_when_idle(self) -> None:
        # The relay ends idle connections; a call on which it does so would have an unknown outcome.
        self._idle_timer.start(self._limits.call_idle_timeout_ms)

    def close_idle(self) -> None:
        """Closes the connection, unless a call is in progress on it."""
        if self._parser is not None and not self.call:
            self._close_connection(CloseReason.IDLE)

    # Sending.

    def send_next(self) -> None:
        """Goes on with the orders that wait, if nothing stands in their way."""
        if self.call:
            return
        if self._connected_address != self.address:
            self._close_connection(CloseReason.MOVED)
        if self.unresolved.orders or self._retry_timer.running:
            return
        if not self.queue:
            self._recover()
        elif self.connection is None:
            self._connect()
        elif self._parser is not None:
            self._send(self.connection)

    def _send(self, connection: Connection) -> None:
        orders = self.queue.take_batch(
            self._limits.max_call_bytes, self._max_orders_per_call, encoded_size
        )
        request_id = self.watch.next_request_id()
        self._idle_timer.cancel()
        sent_ms = self._event_loop.now()
        self._event_loop.count("relay_calls")
        self._event_loop.count("relay_orders", len(orders))
        reply_deadline = self._event_loop.after(
            self._limits.call_timeout_ms, lambda: self._close_connection(CloseReason.SILENT)
        )
        self.call = CallInProgress(request_id, orders, sent_ms, reply_deadline)
        connection.write(encode_call(request_id, Method.APPLY, list(orders.values())))

    def _recover(self) -> None:
        """Nothing waits: the controller goes on from the tables that stand."""
        if self.channel.state is ChannelState.CALL_UNRESOLVED:
            self.channel.available()
        elif not self.channel.is_available and not self._recovery_timer.running:
            # Proxies that connect meanwhile are reported on other connections.
            self._recovery_timer.start(self._limits.relay_settle_ms)

    def _try_recovery(self) -> None:
        """Orders leave again once the proxies that connect meanwhile are counted."""
        if not self._proxies_settled():
            self.send_next()
        elif not (self.call or self.unresolved.orders or self._retry_timer.running or self.queue):
            self.channel.available()

    def _proxies_settled(self) -> bool:
        now_ms, last_ms = self._event_loop.now(), self.watch.proxies.last_connected_ms
        if last_ms is None:
            return self.channel.state is not ChannelState.STARTING
        waited_ms = now_ms - self.channel.unavailable_since_ms
        return (
            now_ms - last_ms > self._limits.relay_settle_ms
            or waited_ms > self._limits.max_proxy_connect_wait_ms
        )

    def _pause(self, reason: str) -> None:
        """Retries with backoff."""
        self.channel.unreachable(reason, len(self.queue))
        self._return_table_changes()
        if not self._retry_timer.running:
            self._retry_timer.start(self._backoff.next())

    def _return_table_changes(self) -> None:
        """Drops table changes that were surely not carried out, and reports the published tables.

        They were planned for the proxies of then, and published later they would be multiplied by
        all that have connected since. With exclusive ownership they keep their order and wait.
        """
        if self.unresolved.orders or self._exclusive_ownership:
            return
        for slice_id in self.queue.slices & self.watch.slices.tables.keys():
            self._event_loop.count("relay_tables_returned")
            self.watch.slices.report_table(slice_id)
        request = self.queue.acknowledgement
        if request is not None:
            # The request stays, to find out whether the relay is up; no proxy need answer it.
            self.queue.replace(AcknowledgementOrder(request.nonce, all_proxies=False))
            self.channel.report_unsent()

    # How a call ends.

    def _take_reply(self, message: dict[str, Any]) -> None:
        call = self.call
        if call is None or not is_reply_to(message, call.request_id):
            self._event_loop.count("relay_stale_replies")
            return
        result = decode_call_reply(message, len(call.orders))
        if isinstance(result, CallRejected):
            self._rejected(call, result)
        else:
            self._applied(call, result.order_count)

    def _end_call(self, call: CallInProgress, outcome: str) -> None:
        self._event_loop.cancel(call.reply_deadline)
        self._event_loop.count(f"relay_{outcome}")
        self.call = None
        for slice_id in changed_slices(call.orders):
            self._table_changed_ms[slice_id] = self._event_loop.now()

    def _applied(self, call: CallInProgress, order_count: int) -> None:
        self._backoff.reset()
        self.unresolved.call_answered()
        self._end_call(call, "answered")
        self._max_orders_per_call = None
        orders = list(call.orders.values())
        # Of obsolete orders it is unknown whether they came before the table that has been
        # reported since; a snapshot is requested for it.
        self._carried_out([o for o in orders[:order_count] if o.key not in call.obsolete])
        if order_count < len(orders):
            self._event_loop.count("relay_partial")
            self._leave_out(orders[order_count])
            remaining = orders[order_count + 1 :]
            self.queue.put_back([o for o in remaining if o.key not in call.obsolete])
            self._report_table_without(orders[order_count])
        self._close_when_idle()
        self.send_next()

    def _leave_out(self, order: RelayOrder) -> None:
        """Drops an order that the relay cannot use; retried, it would block all that follow."""
        self._event_loop.log("order_rejected", order=encode_order(order))

    def _report_table_without(self, order: RelayOrder) -> None:
        """Reports the table that the controller takes for changed by an order left out."""
        if isinstance(order, WeightOrder) and order.slice_id in self.watch.slices.tables:
            self.watch.slices.report_table(order.slice_id)

    def _rejected(self, call: CallInProgress, result: CallRejected) -> None:
        self._end_call(call, "rejected")
        orders = call.current_orders()
        if result.unreadable:
            error = result.message[:MAX_LOGGED_ERROR_CHARS]
            self._event_loop.log("call_unreadable", error=error, orders=len(orders))
            self._event_loop.count("relay_unreadable")
            # Halving finds the order at fault, so that the others are not lost with it.
            self._max_orders_per_call = len(orders) // 2 or None
            if self._max_orders_per_call is None:
                for order in orders.values():
                    self._leave_out(order)
                    self._report_table_without(order)
                orders = {}
        self.queue.put_back(orders.values())
        # A relay that answers is up, and need not be spared by longer waits.
        self._backoff.reset()
        self._pause(result.message[:MAX_REASON_CHARS])

    def _outcome_unknown(self, call: CallInProgress, reason: str) -> None:
        self._end_call(call, "unknown")
        orders = call.current_orders()
        self._event_loop.log("call_unknown", why=reason, orders=len(orders))
        if changed_slices(orders):
            self.channel.call_unresolved(reason, len(self.queue))
        self.unresolved.begin(orders, call.sent_ms + self._limits.call_timeout_ms)

    def _carried_out(self, orders: list[RelayOrder]) -> None:
        for order in orders:
            apply_order(self.watch.slices.tables, order)
            if isinstance(order, AcknowledgementOrder):
                self.channel.push_sent(order.nonce)
