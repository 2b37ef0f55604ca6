"""A model of the data plane in simulated time: proxies, their tables, the store, the push channel.

A `Controller`'s orders go in by `apply_orders`; acknowledgements come out of `advance` as events;
`traffic_shares` gives the servers that a proxy sends to. Where the documentation is silent, the
model takes the simplest behaviour: messages are lost only with their stream, and messages to one
proxy arrive in order."""

from collections import deque
from dataclasses import dataclass, field

from .. import interface as core


@dataclass(slots=True)
class ProxyState:
    """What one proxy has received. Times are ms."""

    proxy: object
    connected: bool = False
    stream: int = 0  # incremented when a stream begins or ends
    rate: float = 1.0
    zone: int = 0
    tables: dict = field(default_factory=dict)  # by slice, {server: weight}
    ejected: set = field(default_factory=set)
    admission: dict = field(default_factory=dict)  # by request classes, (limit, retry policy)
    bound_tables: dict = field(
        default_factory=dict
    )  # request classes by table; only in deployments without slices
    read_at: float = -1e9  # end of the read of the store that begins with the connection
    last_message_ordered_at: float = -1e9  # when the last message that it received was ordered
    connected_at: float = -1e9
    disconnected_at: float = -1e9

    def traffic_shares(self, slice_) -> dict:
        """The share of its requests for the slice that goes to each server."""
        usable = {
            s: w for s, w in self.tables.get(slice_, {}).items() if s not in self.ejected and w > 0
        }
        total = sum(usable.values())
        return {s: w / total for s, w in usable.items()} if total > 0 else {}


@dataclass(slots=True)
class Message:
    """A message to one proxy: queued until `leaves_at`, then in flight. Times are ms."""

    recipient: ProxyState
    stream: int
    orders: list
    nonce: int | None
    entries: int  # table entries that it costs in the channel
    ordered_at: float
    leaves_at: float
    arrives_at: float


class DataPlane:
    """The proxies and the store of one controller; `settings` are that controller's.

    `draw()` returns random numbers from 0 to 1. `read_delay_ms`: bounds of the time that a proxy
    takes to read the store."""

    def __init__(self, settings, draw, read_delay_ms=(100.0, 500.0)):
        self.settings = settings
        self.draw = draw
        self.read_delay_ms = read_delay_ms
        self.now = 0.0
        self.slowdown = 1.0
        self.free_at = 0.0
        self.proxies, self.store, self.assigned_slices = {}, {}, {}  # assigned: slices, since when
        self.channel = deque()
        self.in_flight = []
        self.pending_reads = []
        self.message_times, self.admission_orders = {}, {}  # by proxy; by request classes

    def proxy_state(self, proxy) -> ProxyState:
        """The state of a proxy, new where it has none yet."""
        return self.proxies.setdefault(proxy, ProxyState(proxy))

    def connected_proxies(self) -> list:
        """The states of all connected proxies."""
        return [state for state in self.proxies.values() if state.connected]

    def connect(self, proxy, zone, rate, fresh):
        """Begins a stream; `fresh`: the proxy has just started and kept no state."""
        state = self.proxy_state(proxy)
        state.connected = True
        state.zone = zone
        state.rate = rate
        state.connected_at = self.now
        state.bound_tables = {}
        state.stream += 1
        if fresh:
            state.ejected = set()
            state.admission = {}
        if self.settings.slice_count:
            state.read_at = self.now + self.between(*self.read_delay_ms)
            self.pending_reads.append((state.read_at, state, state.stream, None))
        else:
            state.tables = {}
        return core.ProxyConnected(proxy, zone, rate, fresh)

    def disconnect(self, proxy):
        """Ends the proxy's stream; messages to it that are queued or in flight are lost."""
        state = self.proxy_state(proxy)
        state.connected = False
        # A new lease begins only if the proxy has read the store since it connected. Otherwise, the
        # lease of an earlier disconnection runs on, if there is one.
        if state.read_at <= self.now:
            state.disconnected_at = self.now
        state.stream += 1
        return core.ProxyDisconnected(proxy)

    def assign_slice(self, slice_, table: dict) -> list:
        """Assigns the slice to the controller, with this table in the store; connected proxies
        read it again."""
        self.store[slice_], self.assigned_slices[slice_] = dict(table), self.now
        for state in self.connected_proxies():
            self.pending_reads.append(
                (self.now + self.between(*self.read_delay_ms), state, state.stream, slice_)
            )
        return [core.SliceAssignment(slice_, True)] + [
            core.SnapshotEntry(slice_, s, w) for s, w in table.items()
        ]

    def unassign_slice(self, slice_):
        """Takes the slice from the controller; its table in the store stays."""
        self.assigned_slices.pop(slice_, None)
        return core.SliceAssignment(slice_, False)

    def between(self, lower, upper):
        """A random number between the bounds."""
        return lower + (upper - lower) * self.draw()

    # Orders and the channel

    def apply_orders(self, orders: list):
        """Carries out the orders of one reconciliation: the store changes at once, proxies when
        their message arrives."""
        accepted = []
        bindings = {}
        request = None
        for o in orders:
            match o:
                case core.SetEndpointWeight() | core.ClearTable():
                    if not self.settings.slice_count or o.slice in self.assigned_slices:
                        accepted.append(o)
                        self.apply_to_table(self.store.setdefault(o.slice, {}), o)
                case core.SetEjection() | core.SetAdmission():
                    accepted.append(o)
                    if type(o) is core.SetAdmission:
                        older = {
                            classes: previous
                            for classes, previous in self.admission_orders.items()
                            if set(classes) - set(o.request_classes)
                        }
                        self.admission_orders = older | {o.request_classes: o}
                case core.BindTable():
                    bindings.setdefault(o.proxy, []).append(o)
                case core.RequestAcknowledgement():
                    request = o
        for state in self.connected_proxies():
            relevant = [o for o in accepted if self.concerns(state, o)] + bindings.get(
                state.proxy, []
            )
            if relevant or request and request.all_proxies:
                self.send(state, relevant, request)

    def concerns(self, state, order) -> bool:
        """Whether a proxy gets this order."""
        if self.settings.slice_count or type(order) is core.SetAdmission:
            return True
        return type(order) is core.SetEjection or order.slice in state.bound_tables

    def send(self, state, orders, request):
        """Queues a message; `request`: its `RequestAcknowledgement`, or None."""
        entries = (
            self.settings.message_overhead
            + len(orders)
            + (request is not None)
            + len(self.admission_orders)
        )
        for o in orders:
            if type(o) is core.BindTable:
                entries += len(self.store.get(o.table, {})) + len(self.admission_orders)
                state.bound_tables[o.table] = o.request_classes
        entries_per_ms = self.settings.channel_rate_per_s / 1000.0 / self.slowdown
        begins_at = max(self.now, self.free_at)
        self.free_at = begins_at + entries / entries_per_ms
        previous_arrival = max(
            (m.arrives_at for m in self.in_flight + list(self.channel) if m.recipient is state),
            default=0.0,
        )
        arrives_at = max(
            self.free_at + self.settings.push_delay_ms * self.between(0.5, 1.5), previous_arrival
        )
        self.channel.append(
            Message(
                state,
                state.stream,
                orders,
                request and request.nonce,
                entries,
                self.now,
                self.free_at,
                arrives_at,
            )
        )
        self.message_times.setdefault(state.proxy, deque()).append(self.now)

    def queued_entries(self) -> float:
        """Table entries that wait in the channel."""
        return sum(
            m.entries
            for m in self.channel
            if m.stream == m.recipient.stream and m.leaves_at > self.now
        )

    @staticmethod
    def apply_to_table(table, order):
        """Applies a `SetEndpointWeight` or `ClearTable` order to a table."""
        if type(order) is core.ClearTable:
            table.clear()
        elif order.weight > 0:
            table[order.server] = order.weight
        else:
            table.pop(order.server, None)

    def advance(self, now: float) -> list:
        """Advances the time to `now`; returns the acknowledgements until then, in order."""
        self.now = now
        acknowledgements = []
        due = []
        while self.channel and self.channel[0].leaves_at <= now:
            self.in_flight.append(self.channel.popleft())
        for m in self.in_flight:
            if m.stream == m.recipient.stream and max(m.arrives_at, m.recipient.read_at) <= now:
                due.append((max(m.arrives_at, m.recipient.read_at), 1, m))
        self.in_flight = [
            m
            for m in self.in_flight
            if m.stream == m.recipient.stream and max(m.arrives_at, m.recipient.read_at) > now
        ]
        for at, state, stream, slice_ in self.pending_reads:
            if at <= now and stream == state.stream:
                due.append((at, 0, (state, slice_)))
        self.pending_reads = [r for r in self.pending_reads if r[0] > now and r[2] == r[1].stream]
        for at, kind, subject in sorted(due, key=lambda d: (d[0], d[1])):
            if kind == 0:
                state, slice_ = subject
                for key in [slice_] if slice_ is not None else list(self.store):
                    state.tables[key] = dict(self.store.get(key, {}))
            else:
                self.deliver(subject)
                if subject.nonce is not None:
                    acknowledgements.append(
                        core.PushAcknowledged(
                            subject.recipient.proxy, subject.nonce, at - subject.ordered_at
                        )
                    )
        return acknowledgements

    def deliver(self, message):
        """Applies a message at its proxy."""
        state = message.recipient
        state.last_message_ordered_at = message.ordered_at
        for o in message.orders:
            match o:
                case core.SetEndpointWeight() | core.ClearTable():
                    self.apply_to_table(state.tables.setdefault(o.slice, {}), o)
                case core.SetEjection():
                    (state.ejected.add if o.ejected else state.ejected.discard)(o.server)
                case core.SetAdmission():
                    state.admission[o.request_classes] = (o.limit, o.retry_policy)
                case core.BindTable():
                    state.tables[o.table] = dict(self.store.get(o.table, {}))
