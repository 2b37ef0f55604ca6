"""The five rules as code, over a model of the proxies: one checker for every front and every
target.

It hears what the controller was told and ordered (`observe_list`, `observe_orders`) and looks at a
`DataPlane` as time goes on (`check`); each breach is one `Violation`. It keeps the rules' own
account and asks the controller nothing.

1. bare: a joined proxy has a line to pick for each slice in charge, while a warm server is listed
as ready;
2. twice: no order lets a class be tried again that might take effect twice; of a sole owner's
slice, no two servers
   get writes at a time;
3. drain: what was told to drain or be gone gets nothing from joined proxies once the grace is over;
4. cold: all proxies together never bring a cold server the multiple of what it can do, over a
window, with two thirds
   of it from those that must know of its start (`cold_start.ColdStartBudget`);
5. queue: no more lines wait than the limit, no more messages go to a proxy than the cap.
"""

from dataclasses import dataclass, field

from .. import interface as core
from .cold_start import ColdStartBudget, SentLoad
from .write_overlap import WriteOverlap

SAME_START = 1.0  # ms; starts that lie no further apart are one


@dataclass(frozen=True)
class Bounds:
    """The bounds of the rules. `load_tolerance`: the share of a cold server's load that random
    variation and the steps of `check` may add."""

    empty_table_ms: float = 2500.0
    drain_grace_ms: float = 2300.0
    overload_window_ms: float = 1500.0
    load_tolerance: float = 0.05


@dataclass(frozen=True)
class Violation:
    rule: str
    at: float
    said: str

    def __str__(self):
        return f"{self.rule} at {self.at / 1000:.2f} s: {self.said}"


@dataclass
class Observation:
    """What the proxies do at one look: work by server, and the servers that take writes by slice of
    sole owners."""

    work: dict = field(default_factory=dict)
    writers: dict = field(default_factory=dict)


class RuleChecker:
    """`warm_capacity`: requests per second that a warm server of size 1 can serve, in the unit of
    `demand` in `check`.

    `overload_failures`: the cold servers that fell over, whoever was to blame."""

    def __init__(self, settings, bounds: Bounds = Bounds(), warm_capacity: float = 1.0):
        self.settings, self.bounds, self.warm_capacity, self.now = (
            settings,
            bounds,
            warm_capacity,
            0.0,
        )
        self.state, self.size, self.started, self.start_listed_at = {}, {}, {}, {}
        self.closed_at, self.bare_at, self.cut_at = {}, {}, None
        self.budget = ColdStartBudget(
            settings, bounds.overload_window_ms, bounds.load_tolerance, warm_capacity
        )
        self.writes, self.violations, self.overload_failures = (
            WriteOverlap(settings.max_write_in_flight_ms),
            [],
            [],
        )

    def record_violation(self, rule, *said):
        self.violations.append(Violation(rule, self.now, " ".join(str(s) for s in said)))

    # What the controller hears and orders

    def observe_list(self, now, event):
        """A list that the controller was told."""
        self.now = now
        if event.scope == core.ListScope.FAILED:
            return
        named = {e.server for e in event.entries}
        for server in (
            [s for s in self.state if s not in named]
            if event.scope != core.ListScope.CHANGES
            else []
        ):
            self.changed(server, "gone")
        for e in event.entries:
            self.changed(e.server, e.state)
            self.size[e.server] = e.size if self.settings.sizes_stated and e.size > 0 else 1.0
            started = -1e12 if e.started_ms is None else e.started_ms
            if started > self.started.get(e.server, -1e13) + SAME_START:
                self.started[e.server], self.start_listed_at[e.server] = started, now

    def changed(self, server, state):
        before, self.state[server] = self.state.get(server), state
        if state == "ready":
            self.closed_at.pop(server, None)
        elif before in (None, "ready"):
            self.closed_at[server] = self.now

    def set_channel_available(self, now, yes: bool):
        """Time limits stand still while orders cannot leave."""
        self.now = now
        if not yes:
            self.cut_at = now if self.cut_at is None else self.cut_at
        elif self.cut_at is not None:
            gone, self.cut_at = now - self.cut_at, None
            for times in (self.closed_at, self.bare_at):
                for key in times:
                    times[key] += gone

    def observe_orders(self, now, orders, plane):
        self.now = now
        for o in orders:
            if (
                type(o) is core.SetAdmission
                and o.retry_policy is core.RetryPolicy.ONCE_AFTER_ANY_FAILURE
            ):
                for k, c in enumerate(self.settings.request_classes):
                    if k in o.request_classes and not may_repeat(c):
                        self.record_violation(
                            "twice", "class", k, "may be tried again after any failure"
                        )
        if plane.queued_entries() > self.settings.channel_queue_limit:
            self.record_violation(
                "queue",
                round(plane.queued_entries()),
                "lines wait, the limit is",
                self.settings.channel_queue_limit,
            )
        if self.settings.message_limit:
            for proxy, times in plane.message_times.items():
                while times and times[0] <= now - self.settings.message_limit_window_ms:
                    times.popleft()
                if len(times) > self.settings.message_limit:
                    self.record_violation("queue", len(times), "messages to proxy", proxy.id)

    # What stands at the proxies

    def check(self, now, plane, demand: dict):
        """`demand`: operations a second, by slice, of all proxies together, in the unit of
        `warm_capacity`."""
        past = now - self.now
        seen = self.observe(now, plane, demand)
        for server in self.started:
            self.cold(server, seen.work.get(server, SentLoad()), past)
        for piece, servers in seen.writers.items():
            self.owner(piece, servers)

    def observe(self, now, plane, demand: dict, started: dict | None = None) -> Observation:
        """Judges what one controller's proxies show by themselves, and tells what is to be judged
        with the others'.

        `started`: the servers' last starts, where they are not those that this controller was
        told."""
        started = started or {}
        self.now, seen = now, Observation()
        views, pieces = plane.connected_proxies(), plane.assigned_slices
        total = sum(v.rate for v in views) or 1.0
        warm = any(
            state == "ready" and now - self.started[s] >= self.settings.warm_up_ms
            for s, state in self.state.items()
        )
        for view in views:
            # Back after its lease, a proxy writes nothing until it has read the store.
            writes = now >= view.read_at or now - view.disconnected_at < self.settings.lease_ms
            for piece, since in pieces.items():
                picked = view.traffic_shares(piece)
                self.bare(view, piece, since, warm and not picked)
                for server, part in picked.items():
                    self.drain(view, piece, since, server)
                    if writes and self.settings.exclusive_ownership:
                        seen.writers.setdefault(piece, set()).add(server)
                    rate = part * demand.get(piece, 0.0) * view.rate / total
                    seen.work.setdefault(server, SentLoad()).add(
                        rate, self.knows(view, server, started.get(server))
                    )
        if self.settings.exclusive_ownership:
            # A proxy that lost its stream goes on writing for the lease.
            for view in [
                v
                for v in plane.proxies.values()
                if not v.connected and now - v.disconnected_at < self.settings.lease_ms
            ]:
                for piece in pieces:
                    seen.writers.setdefault(piece, set()).update(view.traffic_shares(piece))
        return seen

    def knows(self, view, server, started: float | None) -> bool:
        """Whether the last start is known to this proxy: its last message was sent, or the grace
        ended, after it was told. `started`: that start, None: the one that was told last."""
        if started is not None and self.started.get(server, -1e13) < started - SAME_START:
            return False
        told = self.start_listed_at.get(server, 0.0)
        return view.last_message_ordered_at >= told or self.now - told > self.bounds.drain_grace_ms

    def bare(self, view, piece, since, empty):
        key = (view.proxy, piece)
        if not empty:
            self.bare_at.pop(key, None)
            return
        begun = self.bare_at.setdefault(key, self.now)
        begun = max(begun, view.connected_at, since)
        if self.cut_at is None and self.now - begun > self.bounds.empty_table_ms:
            self.record_violation(
                "bare", "proxy", view.proxy.id, "has nothing for slice", piece.id, "since", begun
            )
            self.bare_at[key] = self.now

    def drain(self, view, piece, since, server):
        told = self.closed_at.get(server)
        if told is None or self.cut_at is not None:
            return
        late = self.now - max(told, view.connected_at, since)
        if late > self.bounds.drain_grace_ms:
            self.record_violation(
                "drain",
                "proxy",
                view.proxy.id,
                "still sends for slice",
                piece.id,
                "to",
                server.id,
                round(late),
                "ms after it was told",
            )

    def cold(self, server, work, past):
        if self.state.get(server) == "gone":
            self.budget.forget(server)
            return
        fall = self.budget.add_sample(
            self.now, past, server, self.started[server], self.size.get(server, 1.0), work
        )
        if fall is None:
            return
        self.overload_failures.append(fall)
        if fall.breaks_rule:
            self.record_violation(
                "cold",
                server.id,
                "is brought",
                round(fall.multiple, 2),
                "of what fells it, known to",
                round(fall.aware_share, 2),
            )

    def owner(self, piece, servers):
        for server, other in self.writes.observe(self.now, piece, servers):
            self.record_violation(
                "twice", "slice", piece.id, "is written at", server.id, "and", other.id
            )


def may_repeat(c) -> bool:
    """Whether an operation of this class can be carried out again without a second effect."""
    return c.retryable
