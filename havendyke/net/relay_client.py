"""Sends orders to the relay in calls: one at a time, in order, until their outcome is known."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..interface import Event
from .connection import CloseReason, Connection
from .deadlines import Deadline
from .event_loop import Address, EventLoop
from .json_lines import LineParser, parse_object
from .order_queue import OrderQueue
from .peer_codecs import PeerCodecs
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
from .snapshots import Snapshot
from .timer import Backoff, Timer
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
# Orders that wait longer for a connection count as delayed: a proxy that connects meanwhile reads
# tables from before them.
MAX_PROMPT_CONNECT_MS = 50.0
SLOW_CONNECT_REASON = "slow_connect"
MAX_REASON_CHARS = 60
MAX_LOGGED_ERROR_CHARS = 100


@dataclass(slots=True)
class CallInProgress:
    """A call whose reply is awaited."""

    request_id: int
    orders: OrdersByKey
    sent_ms: float
    reply_deadline: Deadline
    # Orders that were planned for an earlier table than the one reported since.
    obsolete: set[OrderKey] = field(default_factory=set)

    def current_orders(self) -> OrdersByKey:
        """The orders that are not obsolete."""
        return {key: order for key, order in self.orders.items() if key not in self.obsolete}


class RelayClient:
    """Sends the controller's orders and tracks which ones the relay has carried out."""

    name = "relay"

    def __init__(
        self,
        event_loop: EventLoop,
        address: Address,
        peer_codecs: PeerCodecs,
        notify: Callable[[Event], None],
    ) -> None:
        """Connects once there are orders to send."""
        self._event_loop = event_loop
        self._limits = event_loop.limits
        self._registry = peer_codecs.registry
        self._exclusive_ownership = peer_codecs.settings.exclusive_ownership
        self.address = address
        self.watch = RelayWatch(
            event_loop, address, peer_codecs.relay, peer_codecs.registry, notify, self
        )
        self.channel = PushChannel(event_loop, notify)
        self.queue = OrderQueue()
        self.unresolved = UnresolvedCall(event_loop, self.watch, self)
        self.call: CallInProgress | None = None
        self.connection: Connection | None = None
        self._connected_address: Address | None = None
        self._connect_requested_ms = LONG_AGO_MS
        self._parser: LineParser | None = None  # None until the connection is established
        self._max_orders_per_call: int | None = None  # None: no limit; bisects for a bad order
        self._table_changed_ms: dict[int, float] = {}  # by slice, end of the last call about it
        self._backoff = Backoff(self._limits.min_relay_backoff_ms, self._limits.max_backoff_ms)
        self._idle_timer = Timer(event_loop, self.close_idle)
        self._retry_timer = Timer(event_loop, self.send_next)
        self._recovery_timer = Timer(event_loop, self._recover_if_settled)

    def start(self) -> None:
        """Starts the watch; orders are sent once proxies have connected.

        The number of messages that a table causes depends on the proxies connected when the relay
        carries out the order: orders planned before they have connected could overfill the channel.
        """
        self.channel.starting(len(self.queue))
        self.watch.start()
        self.send_next()

    def set_address(self, address: Address) -> None:
        """Moves to another address of the relay; a call in progress ends at the old one."""
        self.address = address
        self._retry_timer.cancel()
        self._backoff.reset()
        self.watch.set_address(address)
        self.send_next()

    def enqueue(self, orders: list[RelayOrder]) -> None:
        """Queues the orders of a push."""
        for order in orders:
            self.queue.put(order)
            if isinstance(order, AcknowledgementOrder):
                self.unresolved.push_ordered(order.nonce)
                self.channel.push_ordered(order.nonce)
        # Orders that wait for a retry join this call: one more call would cost more than they do.
        self.unresolved.retry_with_newer_orders()
        self.send_next()

    def report_diverging_tables(self) -> None:
        """Reports the published tables that differ from the controller's with no order pending.

        Called after a failed reconciliation, whose orders were lost.
        """
        for slice_id, table in list(self.watch.slices.tables.items()):
            now_ms = self._event_loop.now()
            if self.diverges(slice_id, table) and not self.changed_since(slice_id, now_ms):
                self.watch.slices.report_table(slice_id)

    # `CallTracker`, called by the watch.

    def changed_since(self, slice_id: int, since_ms: float) -> bool:
        """Whether a call may have changed a slice's table since `since_ms`."""
        in_progress = self.call.orders if self.call else {}
        if any(
            keys_for_slice(orders, slice_id) for orders in (in_progress, self.unresolved.orders)
        ):
            return True
        return self._table_changed_ms.get(slice_id, LONG_AGO_MS) >= since_ms

    def discard_orders(self, slice_id: int) -> None:
        """Drops the orders for a slice; they were planned for an earlier table."""
        self.queue.discard_slice(slice_id)
        self.unresolved.discard_slice(slice_id)
        if self.call:
            self.call.obsolete.update(keys_for_slice(self.call.orders, slice_id))

    def diverges(self, slice_id: int, table: Table) -> bool:
        """Whether a table differs from the known one or from the controller's.

        A difference from the controller's table is expected while orders for the slice wait.
        """
        if not tables_match(table, self.watch.slices.tables.get(slice_id, {})):
            return True
        published = self._registry.slice(slice_id).published
        controller_table = {server.id: weight for server, weight in published.items()}
        return not tables_match(controller_table, table) and not self.queue.changes_slice(slice_id)

    def acknowledged(self, nonce: int) -> None:
        """A proxy acknowledged a push."""
        self.unresolved.acknowledged(nonce)

    # `CallOwner`, called by the unresolved call.

    def call_resolved(self, orders: OrdersByKey, carried_out: bool) -> None:
        """The outcome of a call is known or was assumed."""
        if carried_out:
            self._carried_out(list(orders.values()))
        else:
            self.queue.put_back(orders.values())

    def table_superseded(self, slice_id: int, snapshot: Snapshot) -> None:
        """A complete snapshot shows that a call's orders were planned for an earlier table."""
        self.discard_orders(slice_id)
        if slice_id in snapshot.tables and slice_id in self.watch.slices.tables:
            self.watch.slices.correct(slice_id, snapshot.tables[slice_id])

    def retry_acknowledgement_request(self, order: AcknowledgementOrder) -> None:
        """No proxy has acknowledged a push in time."""
        self.queue.put(AcknowledgementOrder(order.nonce, all_proxies=True))

    # Called by the connection.

    def opened(self, connection: Connection) -> None:
        """The connection is established."""
        self._parser = LineParser(connection.buffer, self._limits.max_message_bytes)
        self._report_slow_connect()
        self.send_next()
        if not self.call:
            self._close_when_idle()

    def handle_next(self, connection: Connection) -> bool:
        """Handles the next reply; returns whether one was complete."""
        line = self._parser.next() if self._parser is not None else None
        if line:
            self._handle_reply(parse_object(line))
        return line is not None

    def closed(self, connection: Connection, reason: str) -> None:
        """The connection was closed."""
        if connection is not self.connection:
            return
        self.connection = self._parser = None
        # Left running, this timer would do no harm: `close_idle` ignores a connection that is not
        # established, and `opened` restarts or cancels the timer. The deadline for a reply would
        # close the next connection, even while that is being established; `_end_call` cancels it.
        self._idle_timer.cancel()
        if self.call:
            self._outcome_unknown(self.call, reason)
        elif reason in (CloseReason.IDLE, CloseReason.MOVED):
            self.send_next()
        elif self.queue or not self.channel.is_available:
            self._pause(reason)

    def _connect(self) -> None:
        self._connected_address = self.address
        self._connect_requested_ms = self._event_loop.now()
        self.connection = self._event_loop.connect(self.address, self)
        if self.connection is None:
            self._pause("no_slot")

    def _report_slow_connect(self) -> None:
        """With exclusive ownership, reports orders that were delayed as an interrupted channel."""
        waited_ms = self._event_loop.now() - self._connect_requested_ms
        if self._exclusive_ownership and self.queue.slices and waited_ms > MAX_PROMPT_CONNECT_MS:
            self.channel.call_unresolved(SLOW_CONNECT_REASON, len(self.queue))

    def _close_connection(self, reason: CloseReason) -> None:
        if self.connection is not None:
            self.connection.close(reason)

    def _close_when_idle(self) -> None:
        # The relay closes idle connections; a call that crosses this would have an unknown outcome.
        self._idle_timer.start(self._limits.call_idle_timeout_ms)

    def close_idle(self) -> None:
        """Closes the connection, unless a call is in progress on it."""
        if self._parser is not None and not self.call:
            self._close_connection(CloseReason.IDLE)

    # Sending.

    def send_next(self) -> None:
        """Sends the next queued orders, unless a call, retry or unresolved call is pending."""
        if self.call:
            return
        if self._connected_address != self.address:
            self._close_connection(CloseReason.MOVED)
        if self.unresolved.orders or self._retry_timer.running or self._waits_for_watch():
            return
        if not self.queue:
            self._recover()
        elif self.connection is None:
            self._connect()
        elif self._parser is not None:
            self._send(self.connection)

    def _waits_for_watch(self) -> bool:
        """Whether queued orders may have been planned for tables of a former assignment.

        With exclusive ownership, an order replaces the owner at once, also one that another
        controller has set while the watch was lost.
        """
        return self._exclusive_ownership and self.watch.has_gap

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
        """No order is queued: reports the channel as available, at once or after a delay."""
        if self.channel.state is ChannelState.CALL_UNRESOLVED:
            self.channel.available()
        elif not self.channel.is_available and not self._recovery_timer.running:
            # Proxies that connect in the meantime are reported on other connections.
            self._recovery_timer.start(self._limits.relay_settle_ms)

    def _recover_if_settled(self) -> None:
        """Reports the channel as available, once no more proxies are connecting."""
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
        """Reports the relay as unreachable and retries with backoff."""
        self.channel.unreachable(reason, len(self.queue))
        self._return_table_changes()
        if not self._retry_timer.running:
            self._retry_timer.start(self._backoff.next())

    def _return_table_changes(self) -> None:
        """Drops table changes that were certainly not carried out and reports the published tables.

        They were planned for the proxies connected at that time; sent later, they would also go to
        all proxies that have connected since and could overfill the channel. With exclusive
        ownership the changes stay queued, in their order.
        """
        if self.unresolved.orders or self._exclusive_ownership:
            return
        for slice_id in self.queue.slices & self.watch.slices.tables.keys():
            self._event_loop.count("relay_tables_returned")
            self.watch.slices.report_table(slice_id)
        request = self.queue.acknowledgement
        if request is not None:
            # The request stays queued, to find out whether the relay is available; no proxy needs
            # to acknowledge it.
            self.queue.replace(AcknowledgementOrder(request.nonce, all_proxies=False))
            self.channel.report_unsent()

    # Outcomes of a call.

    def _handle_reply(self, message: dict[str, Any]) -> None:
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
        # It is unknown whether obsolete orders took effect before or after the table that was
        # reported since; a snapshot is requested for that table.
        self._carried_out([o for o in orders[:order_count] if o.key not in call.obsolete])
        if order_count < len(orders):
            self._event_loop.count("relay_partial")
            self._discard_rejected(orders[order_count])
            remaining = orders[order_count + 1 :]
            self.queue.put_back([o for o in remaining if o.key not in call.obsolete])
            self._report_table_without(orders[order_count])
        self._close_when_idle()
        self.send_next()

    def _discard_rejected(self, order: RelayOrder) -> None:
        """Drops an order that the relay rejects; retried, it would block all later ones."""
        self._event_loop.log("order_rejected", order=encode_order(order))

    def _report_table_without(self, order: RelayOrder) -> None:
        """Reports the table that the controller assumes a discarded order has changed."""
        if isinstance(order, WeightOrder) and order.slice_id in self.watch.slices.tables:
            self.watch.slices.report_table(order.slice_id)

    def _rejected(self, call: CallInProgress, result: CallRejected) -> None:
        self._end_call(call, "rejected")
        orders = call.current_orders()
        if result.unreadable:
            error = result.message[:MAX_LOGGED_ERROR_CHARS]
            self._event_loop.log("call_unreadable", error=error, orders=len(orders))
            self._event_loop.count("relay_unreadable")
            # Halving the calls isolates the invalid order, so that no other is lost with it.
            self._max_orders_per_call = len(orders) // 2 or None
            if self._max_orders_per_call is None:
                for order in orders.values():
                    self._discard_rejected(order)
                    self._report_table_without(order)
                orders = {}
        self.queue.put_back(orders.values())
        # A relay that replies is available, so the backoff does not need to grow.
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
