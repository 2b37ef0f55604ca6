"""The proxies, their tables, the store and the channel to them, as a model in the caller's time.

Orders of a `Controller` go in by `order`, what the proxies answer comes out of `advance` as events;
`pick` says where a proxy sends. Written from our own documents; the model is plain where they are
silent: nothing is lost but with a stream, and messages of one proxy keep their order."""

from collections import deque
from dataclasses import dataclass, field

from .. import interface as core


@dataclass(slots=True)
class View:
    """What one proxy holds. `heard_at`: when the last message that reached it was ordered."""

    proxy: object
    joined: bool = False
    stream: int = 0
    rate: float = 1.0
    zone: int = 0
    tables: dict = field(default_factory=dict)  # by slice, {server: weight}
    out: set = field(default_factory=set)
    levels: dict = field(default_factory=dict)  # by class mask, (level, further)
    bound: dict = field(
        default_factory=dict
    )  # tables that it was bound to, their classes; without slices only
    read_at: float = -1e9  # when it has read the store
    heard_at: float = -1e9
    joined_at: float = -1e9
    parted_at: float = -1e9

    def pick(self, piece) -> dict:
        """The part of its operations that goes to each server."""
        open_to = {
            s: w for s, w in self.tables.get(piece, {}).items() if s not in self.out and w > 0
        }
        total = sum(open_to.values())
        return {s: w / total for s, w in open_to.items()} if total > 0 else {}


@dataclass(slots=True)
class Message:
    view: View
    stream: int
    orders: list
    mark: int | None
    lines: int
    ordered: float
    leaves: float
    arrives: float


class Plane:
    """`settings` are the core's own; `sync` (ms): how long a proxy takes to read the store;
    `chance()` from 0 to 1."""

    def __init__(self, settings, chance, sync=(100.0, 500.0)):
        self.settings, self.chance, self.sync = settings, chance, sync
        self.now, self.slow, self.free_at = 0.0, 1.0, 0.0
        self.views, self.store, self.charge = {}, {}, {}  # charge: slices in charge, since when
        self.channel, self.travelling, self.rereads = deque(), [], []
        self.written, self.standing = {}, {}  # by proxy, when messages to it were written; levels

    def view(self, proxy) -> View:
        return self.views.setdefault(proxy, View(proxy))

    def joined(self) -> list:
        return [v for v in self.views.values() if v.joined]

    def join(self, proxy, zone, rate, fresh):
        view = self.view(proxy)
        view.joined, view.zone, view.rate, view.joined_at, view.bound = (
            True,
            zone,
            rate,
            self.now,
            {},
        )
        view.stream += 1
        if fresh:
            view.out, view.levels = set(), {}
        if self.settings.slice_count:
            view.read_at = self.now + self.between(*self.sync)
            self.rereads.append((view.read_at, view, view.stream, None))
        else:
            view.tables = {}
        return core.ProxyConnected(proxy, zone, rate, fresh)

    def part(self, proxy):
        view = self.view(proxy)
        view.joined = False
        # One that has not read the store since its last lease ended still writes nothing.
        if view.read_at <= self.now:
            view.parted_at = self.now
        view.stream += 1
        return core.ProxyDisconnected(proxy)

    def give(self, piece, lines: dict) -> list:
        """Into our charge, with these lines in the store; the proxies read them anew."""
        self.store[piece], self.charge[piece] = dict(lines), self.now
        for view in self.joined():
            self.rereads.append((self.now + self.between(*self.sync), view, view.stream, piece))
        return [core.SliceAssignment(piece, True)] + [
            core.SnapshotEntry(piece, s, w) for s, w in lines.items()
        ]

    def take(self, piece):
        self.charge.pop(piece, None)
        return core.SliceAssignment(piece, False)

    def between(self, least, most):
        return least + (most - least) * self.chance()

    # Orders and the channel

    def order(self, orders: list):
        """What one turn ordered: the store changes at once, the proxies when their message
        arrives."""
        kept, binds, mark = [], {}, None
        for o in orders:
            match o:
                case core.SetEndpointWeight() | core.ClearTable():
                    if not self.settings.slice_count or o.slice in self.charge:
                        kept.append(o)
                        self.lay(self.store.setdefault(o.slice, {}), o)
                case core.SetEjection() | core.SetAdmission():
                    kept.append(o)
                    if type(o) is core.SetAdmission:
                        older = {
                            mask: t
                            for mask, t in self.standing.items()
                            if set(mask) - set(o.request_classes)
                        }
                        self.standing = older | {o.request_classes: o}
                case core.BindTable():
                    binds.setdefault(o.proxy, []).append(o)
                case core.RequestAcknowledgement():
                    mark = o
        for view in self.joined():
            mine = [o for o in kept if self.concerns(view, o)] + binds.get(view.proxy, [])
            if mine or mark and mark.all_proxies:
                self.send(view, mine, mark)

    def concerns(self, view, order) -> bool:
        if self.settings.slice_count or type(order) is core.SetAdmission:
            return True
        return type(order) is core.SetEjection or order.slice in view.bound

    def send(self, view, orders, mark):
        lines = (
            self.settings.message_overhead + len(orders) + (mark is not None) + len(self.standing)
        )
        for o in orders:
            if type(o) is core.BindTable:
                lines += len(self.store.get(o.table, {})) + len(self.standing)
                view.bound[o.table] = o.request_classes
        pace = self.settings.channel_rate_per_s / 1000.0 / self.slow
        begins = max(self.now, self.free_at)
        self.free_at = begins + lines / pace
        before = max(
            (m.arrives for m in self.travelling + list(self.channel) if m.view is view), default=0.0
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
        self.written.setdefault(view.proxy, deque()).append(self.now)

    def waiting(self) -> float:
        """Lines that wait in the channel."""
        return sum(
            m.lines for m in self.channel if m.stream == m.view.stream and m.leaves > self.now
        )

    @staticmethod
    def lay(table, order):
        if type(order) is core.ClearTable:
            table.clear()
        elif order.weight > 0:
            table[order.server] = order.weight
        else:
            table.pop(order.server, None)

    def advance(self, now: float) -> list:
        """Time goes on to `now`; what the proxies answered meanwhile, in order."""
        self.now, answers, due = now, [], []
        while self.channel and self.channel[0].leaves <= now:
            self.travelling.append(self.channel.popleft())
        for m in self.travelling:
            if m.stream == m.view.stream and max(m.arrives, m.view.read_at) <= now:
                due.append((max(m.arrives, m.view.read_at), 1, m))
        self.travelling = [
            m
            for m in self.travelling
            if m.stream == m.view.stream and max(m.arrives, m.view.read_at) > now
        ]
        for at, view, stream, piece in self.rereads:
            if at <= now and stream == view.stream:
                due.append((at, 0, (view, piece)))
        self.rereads = [r for r in self.rereads if r[0] > now and r[2] == r[1].stream]
        for at, kind, what in sorted(due, key=lambda d: (d[0], d[1])):
            if kind == 0:
                view, piece = what
                for key in [piece] if piece is not None else list(self.store):
                    view.tables[key] = dict(self.store.get(key, {}))
            else:
                self.apply(what)
                if what.mark is not None:
                    answers.append(
                        core.PushAcknowledged(what.view.proxy, what.mark, at - what.ordered)
                    )
        return answers

    def apply(self, message):
        view, view.heard_at = message.view, message.ordered
        for o in message.orders:
            match o:
                case core.SetEndpointWeight() | core.ClearTable():
                    self.lay(view.tables.setdefault(o.slice, {}), o)
                case core.SetEjection():
                    (view.out.add if o.ejected else view.out.discard)(o.server)
                case core.SetAdmission():
                    view.levels[o.request_classes] = (o.limit, o.retry_policy)
                case core.BindTable():
                    view.tables[o.table] = dict(self.store.get(o.table, {}))
