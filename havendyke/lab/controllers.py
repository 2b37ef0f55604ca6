"""Several controllers over the same servers, each with its own slices, push channel and events,
checked together.

The rules on empty tables, drains, the channel and retries are checked for each controller alone.
Cold servers are checked by the load from the proxies of all controllers, and exclusive ownership by
the writes of all. Time is simulated: nothing here waits or opens a socket, and the same seed gives
the same run."""

import heapq
from dataclasses import dataclass, replace

from .. import interface as core
from ..registry import ObjectRegistry
from ..state import LinearCongruentialGenerator
from .cold_start import ColdStartBudget, SentLoad
from .data_plane import DataPlane
from .rules import Bounds, RuleChecker, Violation
from .server_load import (
    RequestHistory,
    RequestSample,
    Sampling,
    SimulatedServer,
    failed_share,
    latency,
)
from .write_overlap import WriteOverlap

STEP_MS = 50.0  # between two checks of the proxies
START_MS = 100_000.0  # the time at which a run starts
FIRST_RECONCILIATIONS_MS = 250.0  # all controllers reconcile for the first time within it
ZONES = 3
PROXY_RATE = 20.0  # requests per second that each proxy announces


@dataclass(frozen=True)
class ListedServer:
    """A server's entry in the endpoint list."""

    name: str
    state: str = "ready"
    started: float | None = None
    zone: int = 0


class Replica:
    """One controller, the data plane of its proxies, its pending events and its own rules."""

    def __init__(
        self, number: int, count: int, settings, bounds: Bounds, warm_capacity: float, seed: int
    ):
        self.number = number
        self.random_numbers = LinearCongruentialGenerator(seed)
        self.registry = ObjectRegistry(
            replace(settings, controller_count=count, controller_index=number), seed
        )
        self.plane = DataPlane(settings, self.random_numbers.draw)
        self.rules = RuleChecker(settings, bounds, warm_capacity)
        self.plane.now = self.rules.now = START_MS
        self.inbox = []
        self.timers = []
        self.histories = {}
        self.lost_at = None
        self.first_reconciliation_at = (
            START_MS + FIRST_RECONCILIATIONS_MS * self.random_numbers.draw()
        )
        self.next_report_at = {}
        self.report_counts = {}
        self.max_acknowledgement_ms = 0.0

    def receive_list(self, now: float, scope: str, listed):
        """Receives an endpoint list, or changes of it."""
        entries = [
            core.EndpointEntry(self.registry.server(x.name), x.state, x.started, x.zone, 0, 0, 1.0)
            for x in listed
        ]
        event = core.EndpointListUpdate(scope, entries)
        self.rules.observe_list(now, event)
        self.inbox.append(event)

    def assign_slice(self, number: int, table: dict):
        """Assigns a slice to the controller; `table`: its weights in the store by server name."""
        weights = {self.registry.server(name): weight for name, weight in table.items()}
        self.inbox += self.plane.assign_slice(self.registry.slice(number), weights)

    def unassign_slice(self, number: int) -> dict:
        """Takes a slice from the controller; returns its weights in the store by server name."""
        slice_ = self.registry.slice(number)
        self.inbox.append(self.plane.unassign_slice(slice_))
        return {server.id: weight for server, weight in self.plane.store[slice_].items()}

    def last_writers(self) -> dict:
        """By slice, the names of the servers that its proxies write to by their last tables."""
        writers = {}
        for state in self.plane.connected_proxies():
            for slice_ in state.tables:
                writers.setdefault(slice_.id, set()).update(
                    server.id for server in state.traffic_shares(slice_)
                )
        return writers

    def reconcile(self, now: float) -> list:
        """Reconciles, carries out the orders and returns them.

        Does nothing before the first reconciliation is due, or without events and due timers."""
        if now < self.first_reconciliation_at:
            return []
        fired = sorted(timer for timer in self.timers if timer[0] <= now)
        if not self.inbox and not fired:
            return []
        self.timers = [timer for timer in self.timers if timer[0] > now]
        self.registry.pending_events = self.inbox + [
            core.TimerFired(timer_id) for _, timer_id in fired
        ]
        self.inbox = []
        orders = self.registry.reconcile(now)
        self.timers += [
            (now + order.delay_ms, order.timer_id)
            for order in orders
            if type(order) is core.StartTimer
        ]
        self.plane.apply_orders(
            [
                order
                for order in orders
                if type(order)
                not in (core.StartTimer, core.SendHealthCheck, core.RequestEndpointList)
            ]
        )
        self.rules.observe_orders(now, orders, self.plane)
        return orders

    def advance(self, now: float):
        """Advances the data plane; adds its acknowledgements to the pending events."""
        acknowledgements = self.plane.advance(now)
        self.max_acknowledgement_ms = max(
            [self.max_acknowledgement_ms]
            + [acknowledgement.latency_ms for acknowledgement in acknowledgements]
        )
        self.inbox += acknowledgements


class ControllerGroup:
    """Controllers, the servers they share and the proxies that connect to all of them.

    `demand`: requests per second by slice number; slice k is first assigned to controller k modulo
    their count, with server k modulo theirs. `warm_capacity`: requests per second that a warm
    server of size 1 can serve. `step_ms`: between two checks of the proxies.
    `on_orders(replica, now, orders)` is called with the orders of each reconciliation.
    `overload_failures`: the cold servers that failed, whether or not the rule was broken."""

    def __init__(
        self,
        settings,
        count: int,
        servers: int,
        demand: dict,
        proxies: int = 4,
        bounds: Bounds = Bounds(),
        warm_capacity: float = 100.0,
        sampling: Sampling = Sampling(),
        seed: int = 1,
        on_orders=lambda replica, now, orders: None,
        step_ms: float = STEP_MS,
    ):
        self.settings = settings
        self.bounds = bounds
        self.warm_capacity = warm_capacity
        self.sampling = sampling
        self.step_ms = step_ms
        self.demand = demand
        self.now = START_MS
        self.on_orders = on_orders
        self.random_numbers = LinearCongruentialGenerator(seed)
        self.replicas = [
            Replica(k, count, settings, bounds, warm_capacity, seed + 7919 * k)
            for k in range(count)
        ]
        self.servers = {}
        self.scheduled_calls = []
        self.call_count = 0
        self.utilization = {}
        self.budget = ColdStartBudget(
            settings, bounds.overload_window_ms, bounds.load_tolerance, warm_capacity
        )
        self.writes = WriteOverlap(settings.max_write_in_flight_ms)
        self.overload_failures = []
        self.joint_violations = []
        names = [self.add_server(None).name for _ in range(servers)]
        self.send_list_to_all(core.ListScope.COMPLETE, [self.list_entry(name) for name in names])
        for number in demand:
            self.replicas[number % count].assign_slice(number, {names[number % servers]: 1.0})
        for number in range(proxies):
            self.connect_proxy(number, fresh=True)

    # The servers and their list

    def add_server(self, started: float | None) -> SimulatedServer:
        """Adds a server that is up; no list names it yet."""
        number = len(self.servers)
        server = SimulatedServer(f"s{number}", number % ZONES, started=started)
        self.servers[server.name] = server
        return server

    def stop(self, name: str):
        """A server no longer answers."""
        self.servers[name].up = False

    def start(self, name: str):
        """A server that was down answers again, cold."""
        server = self.servers[name]
        server.up = True
        server.started = self.now
        server.failed = False

    def list_entry(self, name: str, state: str = "ready") -> ListedServer:
        """A server's entry in a list that is correct now."""
        server = self.servers[name]
        return ListedServer(name, state, server.started, server.zone)

    def send_list_to_all(self, scope: str, listed, draw_delay_ms=lambda: 0.0):
        """Sends the same list to each controller, after a delay of its own."""
        for replica in self.replicas:
            self.send_list(replica, scope, listed, draw_delay_ms())

    def send_list(self, replica: Replica, scope: str, listed, delay_ms: float = 0.0):
        """Sends a list to one controller."""
        self.after(delay_ms, lambda: replica.receive_list(self.now, scope, listed))

    # The proxies and the slices

    def connect_proxy(self, number: int, fresh: bool = False):
        """A proxy connects to every controller that runs."""
        for replica in self.running():
            proxy = replica.registry.proxy(number)
            replica.inbox.append(replica.plane.connect(proxy, number % ZONES, PROXY_RATE, fresh))

    def disconnect_proxy(self, number: int):
        """A proxy loses its streams to all controllers."""
        for replica in self.running():
            replica.inbox.append(replica.plane.disconnect(replica.registry.proxy(number)))

    def restart_proxy(self, number: int, downtime_ms: float):
        """A proxy restarts; it connects again without any state."""
        self.disconnect_proxy(number)
        self.after(downtime_ms, lambda: self.connect_proxy(number, fresh=True))

    def running(self) -> list:
        """The controllers that are not lost."""
        return [replica for replica in self.replicas if replica.lost_at is None]

    def controller_of(self, number: int) -> Replica:
        """The controller that has the slice."""
        return next(
            r for r in self.running() if r.registry.slice(number) in r.plane.assigned_slices
        )

    def reassign_slice(self, number: int, to: Replica):
        """Assigns a slice to another controller, with its table in the store."""
        to.assign_slice(number, self.controller_of(number).unassign_slice(number))

    def lose_controller(self, lost: Replica):
        """A controller is lost; the others get its slices in turn, all at once.

        Its proxies go on using its last tables until their lease ends."""
        numbers = [slice_.id for slice_ in lost.plane.assigned_slices]
        others = [replica for replica in self.running() if replica is not lost]
        for k, number in enumerate(numbers):
            others[k % len(others)].assign_slice(number, lost.unassign_slice(number))
        lost.lost_at = self.now

    # Time

    def after(self, delay_ms: float, call):
        """Calls back after the delay; at once without one."""
        if delay_ms <= 0:
            call()
            return
        self.call_count += 1
        heapq.heappush(self.scheduled_calls, (self.now + delay_ms, self.call_count, call))

    def run_for(self, span: float):
        """Advances the time by `span` ms, in steps."""
        end = self.now + span
        while self.now < end:
            self.now += self.step_ms
            while self.scheduled_calls and self.scheduled_calls[0][0] <= self.now:
                heapq.heappop(self.scheduled_calls)[2]()
            for replica in self.running():
                replica.advance(self.now)
                self.report(replica)
                orders = replica.reconcile(self.now)
                if orders:
                    self.on_orders(replica, self.now, orders)
            self.observe_proxies()

    # What the proxies do

    def observe_proxies(self):
        """Checks the rules and records the requests of the last step."""
        load = {}
        writers = {}
        cold = [server for server in self.servers.values() if server.started is not None]
        for replica in self.running():
            demand = {slice_: self.demand[slice_.id] for slice_ in replica.plane.assigned_slices}
            started = {replica.registry.server(server.name): server.started for server in cold}
            observation = replica.rules.observe(self.now, replica.plane, demand, started)
            for server, sent in observation.load.items():
                total = load.setdefault(server.id, SentLoad())
                total.total = total.total + sent.total
                total.known = total.known + sent.known
            for slice_, servers in observation.writers.items():
                writers.setdefault(slice_.id, set()).update(server.id for server in servers)
            self.record_requests(replica, observation.load)
        for replica in self.replicas:
            if replica.lost_at is not None and self.now - replica.lost_at < self.settings.lease_ms:
                for number, servers in replica.last_writers().items():
                    writers.setdefault(number, set()).update(servers)
        self.utilization = {
            name: sent.total / self.capacity(self.servers[name]) for name, sent in load.items()
        }
        for server in self.servers.values():
            self.check_cold_start(server, load.get(server.name, SentLoad()))
        for number, servers in writers.items():
            for server, other in self.writes.observe(self.now, number, servers):
                self.record_violation(
                    "duplicate", f"slice {number} is written at {server} and {other}"
                )

    def capacity(self, server: SimulatedServer) -> float:
        """Requests per second that a server can serve at its present age."""
        age = self.now - server.started if server.started is not None else self.settings.warm_up_ms
        capacity_share = self.settings.initial_capacity_share + (
            1 - self.settings.initial_capacity_share
        ) * age / max(self.settings.warm_up_ms, 1.0)
        return self.warm_capacity * server.size * min(1.0, capacity_share)

    def check_cold_start(self, server: SimulatedServer, load: SentLoad):
        """Counts a server's load; stops it if it is cold and overloaded over the last window."""
        if not server.up or server.started is None:
            self.budget.forget(server.name)
            return
        failure = self.budget.add_sample(
            self.now, self.step_ms, server.name, server.started, server.size, load
        )
        if failure is None:
            return
        server.up = False
        server.failed = True
        self.overload_failures.append(failure)
        if failure.breaks_rule:
            self.record_violation(
                "cold start",
                f"{server.name} is sent {failure.multiple:.2f} of the load that overloads it, "
                f"{failure.aware_share:.2f} of it from proxies that know of its start, "
                f"{self.now - server.started:.0f} ms after that start",
            )

    def record_violation(self, rule: str, message: str):
        """Records a violation by all controllers together."""
        self.joint_violations.append(Violation(rule, self.now, message))

    @property
    def violations(self) -> list:
        """The violations of each controller alone and those of all together."""
        return [
            violation for replica in self.replicas for violation in replica.rules.violations
        ] + self.joint_violations

    # Load reports

    def record_requests(self, replica: Replica, load: dict):
        """Records the requests of a controller's proxies to the servers in the last step."""
        for server, sent in load.items():
            target = self.servers[server.id]
            utilization = self.utilization.get(server.id, 0.0)
            attempts = sent.total * self.step_ms / 1000.0
            failures = attempts * failed_share(utilization) if target.up else attempts
            history = replica.histories.setdefault(server, RequestHistory())
            history.add(
                RequestSample(self.now, attempts, failures, latency(utilization)),
                self.sampling.span_ms,
            )

    def report(self, replica: Replica):
        """Sends the controller the load reports of servers and slices that are due."""
        reports = []
        for server, history in replica.histories.items():
            if self.is_due(replica, server):
                reports.append(
                    history.report(self.now, server, self.next_zone(replica, server), self.sampling)
                )
        for slice_ in replica.plane.assigned_slices:
            if self.is_due(replica, slice_):
                count = round(
                    self.demand[slice_.id] * self.sampling.span_ms / 1000.0 / self.sampling.zones
                )
                reports.append(core.SliceLoadReport(slice_, 0, count, 0, self.sampling.span_ms))
        if reports := [event for event in reports if event is not None]:
            self.after(self.sampling.delay_ms, lambda: replica.inbox.extend(reports))

    def is_due(self, replica: Replica, subject) -> bool:
        """Whether a report of this server or slice is due; the first one is due at a random time
        within a period."""
        at = replica.next_report_at.get(subject)
        if at is None:
            replica.next_report_at[subject] = (
                self.now + self.sampling.period_ms * replica.random_numbers.draw()
            )
            return False
        if self.now < at:
            return False
        replica.next_report_at[subject] = at + self.sampling.period_ms
        return True

    def next_zone(self, replica: Replica, server) -> int:
        """The zone that the next report of the server covers."""
        count = replica.report_counts[server] = replica.report_counts.get(server, -1) + 1
        return count % self.sampling.zones
