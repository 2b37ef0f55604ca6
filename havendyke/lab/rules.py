"""The five rules of a deployment, checked against a model of its data plane.

A `RuleChecker` gets the endpoint lists and the orders of a controller (`observe_list`,
`observe_orders`) and examines a `DataPlane` as time advances (`check`); each failure of a rule is
one `Violation`. It keeps its own account of the fleet and reads no state of the controller.

1. empty table: a connected proxy has an entry to send to in the table of each assigned slice, as
   long as a warm server is listed as ready;
2. duplicate: no order allows a retry of a request class that might take effect twice; with
   exclusive ownership, no two servers get writes of one slice at a time;
3. drain: a server that is listed as draining or gone gets nothing from connected proxies after the
   grace period;
4. cold start: the proxies together do not overload a cold server over a window in which two thirds
   or more of its load come from proxies that must know of its start
   (`cold_start.ColdStartBudget`);
5. channel: no more table entries are queued than the limit, and no proxy gets more messages than
   its limit.
"""

from dataclasses import dataclass, field

from .. import interface as core
from .cold_start import ColdStartBudget, SentLoad
from .write_overlap import WriteOverlap

SAME_START_MS = 1.0  # start times that differ by no more are of one start


@dataclass(frozen=True)
class Bounds:
    """The bounds of the rules.

    `load_tolerance`: the share of a cold server's load that random variation and the steps of
    `check` may add."""

    empty_table_ms: float = 2500.0
    drain_grace_ms: float = 2300.0
    overload_window_ms: float = 1500.0
    load_tolerance: float = 0.05


@dataclass(frozen=True)
class Violation:
    """One failure of a rule, at a time in ms."""

    rule: str
    at: float
    message: str

    def __str__(self):
        return f"{self.rule} at {self.at / 1000:.2f} s: {self.message}"


@dataclass
class Observation:
    """What one controller's proxies do at a check: the load by server and, with exclusive
    ownership, the servers that get writes, by slice."""

    load: dict = field(default_factory=dict)
    writers: dict = field(default_factory=dict)


class RuleChecker:
    """Checks the rules for one controller.

    `warm_capacity`: requests per second that a warm server of size 1 can serve, in the unit of
    `demand` in `check`. `overload_failures`: the cold servers that failed of overload, whether or
    not the rule was broken."""

    def __init__(self, settings, bounds: Bounds = Bounds(), warm_capacity: float = 1.0):
        self.settings = settings
        self.bounds = bounds
        self.warm_capacity = warm_capacity
        self.now = 0.0
        self.state = {}
        self.size = {}
        self.started = {}
        self.start_listed_at = {}
        self.unavailable_at = {}
        self.empty_at = {}
        self.channel_lost_at = None
        self.budget = ColdStartBudget(
            settings, bounds.overload_window_ms, bounds.load_tolerance, warm_capacity
        )
        self.writes = WriteOverlap(settings.max_write_in_flight_ms)
        self.violations = []
        self.overload_failures = []

    def record_violation(self, rule, *parts):
        """Records a violation; its message is the parts, joined by spaces."""
        self.violations.append(Violation(rule, self.now, " ".join(str(part) for part in parts)))

    # What the controller receives and orders

    def observe_list(self, now, event):
        """Takes an endpoint list that the controller received."""
        self.now = now
        if event.scope == core.ListScope.FAILED:
            return
        listed = {e.server for e in event.entries}
        for server in (
            [s for s in self.state if s not in listed]
            if event.scope != core.ListScope.CHANGES
            else []
        ):
            self.set_state(server, "gone")
        for e in event.entries:
            self.set_state(e.server, e.state)
            self.size[e.server] = e.size if self.settings.sizes_stated and e.size > 0 else 1.0
            started = -1e12 if e.started_ms is None else e.started_ms
            if started > self.started.get(e.server, -1e13) + SAME_START_MS:
                self.started[e.server], self.start_listed_at[e.server] = started, now

    def set_state(self, server, state):
        """Sets a server's listed state; the drain grace begins when it is no longer ready."""
        before, self.state[server] = self.state.get(server), state
        if state == "ready":
            self.unavailable_at.pop(server, None)
        elif before in (None, "ready"):
            self.unavailable_at[server] = self.now

    def set_channel_available(self, now, available: bool):
        """Sets whether orders can reach the proxies.

        While they cannot, the time limits of rules 1 and 3 are suspended."""
        self.now = now
        if not available:
            self.channel_lost_at = now if self.channel_lost_at is None else self.channel_lost_at
        elif self.channel_lost_at is not None:
            suspended = now - self.channel_lost_at
            self.channel_lost_at = None
            for times in (self.unavailable_at, self.empty_at):
                for key in times:
                    times[key] += suspended

    def observe_orders(self, now, orders, plane):
        """Checks the orders of one reconciliation, and the channel that they were put in."""
        self.now = now
        for o in orders:
            if (
                type(o) is core.SetAdmission
                and o.retry_policy is core.RetryPolicy.ONCE_AFTER_ANY_FAILURE
            ):
                for k, c in enumerate(self.settings.request_classes):
                    if k in o.request_classes and not is_retryable(c):
                        self.record_violation(
                            "duplicate", "class", k, "may be retried after any failure"
                        )
        if plane.queued_entries() > self.settings.channel_queue_limit:
            self.record_violation(
                "channel",
                round(plane.queued_entries()),
                "entries are queued, the limit is",
                self.settings.channel_queue_limit,
            )
        if self.settings.message_limit:
            for proxy, times in plane.message_times.items():
                while times and times[0] <= now - self.settings.message_limit_window_ms:
                    times.popleft()
                if len(times) > self.settings.message_limit:
                    self.record_violation("channel", len(times), "messages to proxy", proxy.id)

    # What the proxies do

    def check(self, now, plane, demand: dict):
        """Checks the data plane; `demand`: requests per second by slice, of all proxies together,
        in the unit of `warm_capacity`."""
        elapsed = now - self.now
        observation = self.observe(now, plane, demand)
        for server in self.started:
            self.check_cold_start(server, observation.load.get(server, SentLoad()), elapsed)
        for slice_, servers in observation.writers.items():
            self.check_ownership(slice_, servers)

    def observe(self, now, plane, demand: dict, started: dict | None = None) -> Observation:
        """Checks what concerns one controller's proxies alone, and returns what is to be checked
        together with other controllers' proxies.

        `started`: the servers' last starts, where they are not those of this controller's list."""
        started = started or {}
        self.now = now
        observation = Observation()
        states = plane.connected_proxies()
        slices = plane.assigned_slices
        total_rate = sum(s.rate for s in states) or 1.0
        is_any_warm = any(
            listed == "ready" and now - self.started[s] >= self.settings.warm_up_ms
            for s, listed in self.state.items()
        )
        for state in states:
            # A proxy that connects after its lease has ended writes nothing until it has read the
            # store.
            writes = now >= state.read_at or now - state.disconnected_at < self.settings.lease_ms
            for slice_, since in slices.items():
                shares = state.traffic_shares(slice_)
                self.check_empty_table(state, slice_, since, is_any_warm and not shares)
                for server, share in shares.items():
                    self.check_drain(state, slice_, since, server)
                    if writes and self.settings.exclusive_ownership:
                        observation.writers.setdefault(slice_, set()).add(server)
                    rate = share * demand.get(slice_, 0.0) * state.rate / total_rate
                    observation.load.setdefault(server, SentLoad()).add(
                        rate, self.knows_start(state, server, started.get(server))
                    )
        if self.settings.exclusive_ownership:
            # A proxy that has lost its stream goes on writing until its lease ends.
            for state in [
                s
                for s in plane.proxies.values()
                if not s.connected and now - s.disconnected_at < self.settings.lease_ms
            ]:
                for slice_ in slices:
                    observation.writers.setdefault(slice_, set()).update(
                        state.traffic_shares(slice_)
                    )
        return observation

    def knows_start(self, state, server, started: float | None) -> bool:
        """Whether the proxy must know of the server's last start: its last message was sent, or
        the grace period ended, after the controller's list had the start.

        `started`: that start; None: the last one in the controller's list."""
        if started is not None and self.started.get(server, -1e13) < started - SAME_START_MS:
            return False
        listed_at = self.start_listed_at.get(server, 0.0)
        return (
            state.last_message_ordered_at >= listed_at
            or self.now - listed_at > self.bounds.drain_grace_ms
        )

    def check_empty_table(self, state, slice_, since, empty):
        """Checks rule 1 for one proxy and slice, which was assigned at `since`."""
        key = (state.proxy, slice_)
        if not empty:
            self.empty_at.pop(key, None)
            return
        begun = self.empty_at.setdefault(key, self.now)
        begun = max(begun, state.connected_at, since)
        if self.channel_lost_at is None and self.now - begun > self.bounds.empty_table_ms:
            self.record_violation(
                "empty table",
                "proxy",
                state.proxy.id,
                "has no usable entry for slice",
                slice_.id,
                "since",
                begun,
            )
            self.empty_at[key] = self.now

    def check_drain(self, state, slice_, since, server):
        """Checks rule 3 for one proxy, slice and server."""
        listed_at = self.unavailable_at.get(server)
        if listed_at is None or self.channel_lost_at is not None:
            return
        late_ms = self.now - max(listed_at, state.connected_at, since)
        if late_ms > self.bounds.drain_grace_ms:
            self.record_violation(
                "drain",
                "proxy",
                state.proxy.id,
                "still sends for slice",
                slice_.id,
                "to",
                server.id,
                round(late_ms),
                "ms after it was listed as unavailable",
            )

    def check_cold_start(self, server, load, elapsed):
        """Checks rule 4 for one server; `elapsed`: ms since the last check."""
        if self.state.get(server) == "gone":
            self.budget.forget(server)
            return
        failure = self.budget.add_sample(
            self.now, elapsed, server, self.started[server], self.size.get(server, 1.0), load
        )
        if failure is None:
            return
        self.overload_failures.append(failure)
        if failure.breaks_rule:
            self.record_violation(
                "cold start",
                server.id,
                "is sent",
                round(failure.multiple, 2),
                "of the load that overloads it; share from proxies that know of its start:",
                round(failure.aware_share, 2),
            )

    def check_ownership(self, slice_, servers):
        """Checks rule 2 for the servers that get writes of a slice now."""
        for server, other in self.writes.observe(self.now, slice_, servers):
            self.record_violation(
                "duplicate", "slice", slice_.id, "is written at", server.id, "and", other.id
            )


def is_retryable(request_class) -> bool:
    """Whether a request of this class can be carried out again without a second effect."""
    return request_class.retryable
