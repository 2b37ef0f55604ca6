"""The proxies, their tables, the store and the channel to them, as a model in the caller's time.

Orders of a `Controller` go in by `apply_orders`, what the proxies answer comes out of `advance` as
events; `traffic_shares` says where a proxy sends. Written from our own documents; the model is
plain where they are silent: nothing is lost but with a stream, and messages of one proxy keep their
order."""

from collections import deque
from dataclasses import dataclass, field

from .. import interface as core


@dataclass(slots=True)
class ProxyState:
    """What one proxy holds. `heard_at`: when the last message that reached it was ordered."""

    proxy: object
    connected: bool = False
    stream: int = 0
    rate: float = 1.0
    zone: int = 0
    tables: dict = field(default_factory=dict)  # by slice, {server: weight}
    ejected: set = field(default_factory=set)
    admission: dict = field(default_factory=dict)  # by class mask, (level, further)
    bound_tables: dict = field(
        default_factory=dict
    )  # tables that it was bound to, their classes; without slices only
    read_at: float = -1e9  # when it has read the store
    last_message_ordered_at: float = -1e9
    connected_at: float = -1e9
    disconnected_at: float = -1e9

    def traffic_shares(self, piece) -> dict:
        """The part of its operations that goes to each server."""
        open_to = {
            s: w for s, w in self.tables.get(piece, {}).items() if s not in self.ejected and w > 0
        }
        total = sum(open_to.values())
        return {s: w / total for s, w in open_to.items()} if total > 0 else {}


@dataclass(slots=True)
class Message:
    proxy: ProxyState
    stream: int
    orders: list
    nonce: int | None
    entries: int
    ordered_at: float
    leaves_at: float
    arrives_at: float


class DataPlane:
    """`settings` are the core's own; `read_delay_ms`: how long a proxy takes to read the store;
    `draw()` from 0 to 1."""

    def __init__(self, settings, draw, read_delay_ms=(100.0, 500.0)):
        self.settings, self.draw, self.read_delay_ms = settings, draw, read_delay_ms
        self.now, self.slowdown, self.free_at = 0.0, 1.0, 0.0
        self.proxies, self.store, self.assigned_slices = (
            {},
            {},
            {},
        )  # charge: slices in charge, since when
        self.channel, self.in_flight, self.pending_reads = deque(), [], []
        self.message_times, self.admission_orders = (
            {},
            {},
        )  # by proxy, when messages to it were written; levels

    def proxy_state(self, proxy) -> ProxyState:
        return self.proxies.setdefault(proxy, ProxyState(proxy))

    def connected_proxies(self) -> list:
        return [v for v in self.proxies.values() if v.connected]

    def connect(self, proxy, zone, rate, fresh):
        view = self.proxy_state(proxy)
        view.connected, view.zone, view.rate, view.connected_at, view.bound_tables = (
            True,
            zone,
            rate,
            self.now,
            {},
        )
        view.stream += 1
        if fresh:
            view.ejected, view.admission = set(), {}
        if self.settings.slice_count:
            view.read_at = self.now + self.between(*self.read_delay_ms)
            self.pending_reads.append((view.read_at, view, view.stream, None))
        else:
            view.tables = {}
        return core.ProxyConnected(proxy, zone, rate, fresh)

    def disconnect(self, proxy):
        view = self.proxy_state(proxy)
        view.connected = False
        # One that has not read the store since its last lease ended still writes nothing.
        if view.read_at <= self.now:
            view.disconnected_at = self.now
        view.stream += 1
        return core.ProxyDisconnected(proxy)

    def assign_slice(self, piece, lines: dict) -> list:
        """Into our charge, with these lines in the store; the proxies read them anew."""
        self.store[piece], self.assigned_slices[piece] = dict(lines), self.now
        for view in self.connected_proxies():
            self.pending_reads.append(
                (self.now + self.between(*self.read_delay_ms), view, view.stream, piece)
            )
        return [core.SliceAssignment(piece, True)] + [
            core.SnapshotEntry(piece, s, w) for s, w in lines.items()
        ]

    def unassign_slice(self, piece):
        self.assigned_slices.pop(piece, None)
        return core.SliceAssignment(piece, False)

    def between(self, least, most):
        return least + (most - least) * self.draw()

    # Orders and the channel

    def apply_orders(self, orders: list):
        """What one turn ordered: the store changes at once, the proxies when their message
        arrives."""
        kept, binds, mark = [], {}, None
        for o in orders:
            match o:
                case core.SetEndpointWeight() | core.ClearTable():
                    if not self.settings.slice_count or o.slice in self.assigned_slices:
                        kept.append(o)
                        self.apply_to_table(self.store.setdefault(o.slice, {}), o)
                case core.SetEjection() | core.SetAdmission():
                    kept.append(o)
                    if type(o) is core.SetAdmission:
                        older = {
                            mask: t
                            for mask, t in self.admission_orders.items()
                            if set(mask) - set(o.request_classes)
                        }
                        self.admission_orders = older | {o.request_classes: o}
                case core.BindTable():
                    binds.setdefault(o.proxy, []).append(o)
                case core.RequestAcknowledgement():
                    mark = o
        for view in self.connected_proxies():
            mine = [o for o in kept if self.concerns(view, o)] + binds.get(view.proxy, [])
            if mine or mark and mark.all_proxies:
                self.send(view, mine, mark)

    def concerns(self, view, order) -> bool:
        if self.settings.slice_count or type(order) is core.SetAdmission:
            return True
        return type(order) is core.SetEjection or order.slice in view.bound_tables

    def send(self, view, orders, mark):
        lines = (
            self.settings.message_overhead
            + len(orders)
            + (mark is not None)
            + len(self.admission_orders)
        )
        for o in orders:
            if type(o) is core.BindTable:
                lines += len(self.store.get(o.table, {})) + len(self.admission_orders)
                view.bound_tables[o.table] = o.request_classes
        pace = self.settings.channel_rate_per_s / 1000.0 / self.slowdown
        begins = max(self.now, self.free_at)
        self.free_at = begins + lines / pace
        before = max(
            (m.arrives_at for m in self.in_flight + list(self.channel) if m.proxy is view),
            default=0.0,
        )
        arrives = max(self.free_at + self.settings.push_delay_ms * self.between(0.5, 1.5), before)
        self.channel.append(
            Message(
                view,
                view.stream,
                orders,
                mark and mark.nonce,
                lines,
                self.now,
                self.free_at,
                arrives,
            )
        )
        self.message_times.setdefault(view.proxy, deque()).append(self.now)

    def queued_entries(self) -> float:
        """Lines that wait in the channel."""
        return sum(
            m.entries for m in self.channel if m.stream == m.proxy.stream and m.leaves_at > self.now
        )

    @staticmethod
    def apply_to_table(table, order):
        if type(order) is core.ClearTable:
            table.clear()
        elif order.weight > 0:
            table[order.server] = order.weight
        else:
            table.pop(order.server, None)

    def advance(self, now: float) -> list:
        """Time goes on to `now`; what the proxies answered meanwhile, in order."""
        self.now, answers, due = now, [], []
        while self.channel and self.channel[0].leaves_at <= now:
            self.in_flight.append(self.channel.popleft())
        for m in self.in_flight:
            if m.stream == m.proxy.stream and max(m.arrives_at, m.proxy.read_at) <= now:
                due.append((max(m.arrives_at, m.proxy.read_at), 1, m))
        self.in_flight = [
            m
            for m in self.in_flight
            if m.stream == m.proxy.stream and max(m.arrives_at, m.proxy.read_at) > now
        ]
        for at, view, stream, piece in self.pending_reads:
            if at <= now and stream == view.stream:
                due.append((at, 0, (view, piece)))
        self.pending_reads = [r for r in self.pending_reads if r[0] > now and r[2] == r[1].stream]
        for at, kind, what in sorted(due, key=lambda d: (d[0], d[1])):
            if kind == 0:
                view, piece = what
                for key in [piece] if piece is not None else list(self.store):
                    view.tables[key] = dict(self.store.get(key, {}))
            else:
                self.deliver(what)
                if what.nonce is not None:
                    answers.append(
                        core.PushAcknowledged(what.proxy.proxy, what.nonce, at - what.ordered_at)
                    )
        return answers

    def deliver(self, message):
        view, view.last_message_ordered_at = message.proxy, message.ordered_at
        for o in message.orders:
            match o:
                case core.SetEndpointWeight() | core.ClearTable():
                    self.apply_to_table(view.tables.setdefault(o.slice, {}), o)
                case core.SetEjection():
                    (view.ejected.add if o.ejected else view.ejected.discard)(o.server)
                case core.SetAdmission():
                    view.admission[o.request_classes] = (o.limit, o.retry_policy)
                case core.BindTable():
                    view.tables[o.table] = dict(self.store.get(o.table, {}))
