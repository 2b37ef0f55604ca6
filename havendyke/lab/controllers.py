"""Several controllers over the same servers, each with its part of the slices, its channel and its
news, judged together.

The rules on empty tables, drains, queues and further tries are judged for each controller by
itself. Cold servers are judged by what the proxies of all controllers send them, and slices of sole
owners by the writes of all. Time is the caller's: nothing here waits or opens a socket, and the
same seed gives the same run."""

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

STEP_MS = 50.0  # ms between looks at the proxies, where nothing else is asked for
BEGIN = 100_000.0  # ms at which a run begins
FIRST_RECONCILIATIONS_MS = 250.0  # within which all controllers make their first turn
ZONES = 3
PROXY_RATE = 20.0


@dataclass(frozen=True)
class ListedServer:
    """A server in discovery's list."""

    name: str
    state: str = "ready"
    started: float | None = None
    zone: int = 0


class Replica:
    """One controller, the channel to its proxies, what has come in for it, and the account of its
    own rules."""

    def __init__(
        self, number: int, count: int, settings, bounds: Bounds, warm_capacity: float, seed: int
    ):
        self.number, self.random_numbers = number, LinearCongruentialGenerator(seed)
        self.registry = ObjectRegistry(
            replace(settings, controller_count=count, controller_index=number), seed
        )
        self.plane = DataPlane(settings, self.random_numbers.draw)
        self.rules = RuleChecker(settings, bounds, warm_capacity)
        self.plane.now = self.rules.now = BEGIN
        self.inbox, self.timers, self.histories, self.lost_at = [], [], {}, None
        self.first_reconciliation_at = BEGIN + FIRST_RECONCILIATIONS_MS * self.random_numbers.draw()
        self.report_at, self.reported, self.max_acknowledgement_ms = {}, {}, 0.0

    def receive_list(self, now: float, scope: str, listings):
        """A list, or changes of it, reaches this controller."""
        entries = [
            core.EndpointEntry(self.registry.server(x.name), x.state, x.started, x.zone, 0, 0, 1.0)
            for x in listings
        ]
        event = core.EndpointListUpdate(scope, entries)
        self.rules.observe_list(now, event)
        self.inbox.append(event)

    def assign_slice(self, number: int, lines: dict):
        """Gives it charge of a slice, with the lines of the store, weights by name."""
        named = {self.registry.server(name): weight for name, weight in lines.items()}
        self.inbox += self.plane.assign_slice(self.registry.slice(number), named)

    def unassign_slice(self, number: int) -> dict:
        """Takes a slice away from it; the lines that the store has of it, weights by name."""
        piece = self.registry.slice(number)
        self.inbox.append(self.plane.unassign_slice(piece))
        return {server.id: weight for server, weight in self.plane.store[piece].items()}

    def last_writers(self) -> dict:
        """The servers' names, by slice, that its proxies write to by the last lines they had of
        it."""
        writers = {}
        for view in self.plane.connected_proxies():
            for piece in view.tables:
                writers.setdefault(piece.id, set()).update(
                    server.id for server in view.traffic_shares(piece)
                )
        return writers

    def reconcile(self, now: float) -> list:
        """The orders of a turn, carried out; none where nothing has come in."""
        if now < self.first_reconciliation_at:
            return []
        rung = sorted(timer for timer in self.timers if timer[0] <= now)
        if not self.inbox and not rung:
            return []
        self.timers = [timer for timer in self.timers if timer[0] > now]
        self.registry.pending_events, self.inbox = (
            self.inbox + [core.TimerFired(tag) for _, tag in rung],
            [],
        )
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
        answers = self.plane.advance(now)
        self.max_acknowledgement_ms = max(
            [self.max_acknowledgement_ms] + [answer.latency_ms for answer in answers]
        )
        self.inbox += answers


class ControllerGroup:
    """`demand`: operations a second, by the number of the slice; slice k begins at controller k
    modulo their count, on server k modulo theirs. `warm_capacity`: operations a second that a warm
    server of size 1 can do.

    `step_ms`: ms between looks at the proxies. `on_orders(replica, now, orders)` is told each
    turn's orders. `overload_failures` has the cold servers that fell over, whoever was to blame."""

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
        self.settings, self.bounds, self.warm_capacity, self.sampling, self.step_ms = (
            settings,
            bounds,
            warm_capacity,
            sampling,
            step_ms,
        )
        self.demand, self.now, self.on_orders, self.random_numbers = (
            demand,
            BEGIN,
            on_orders,
            LinearCongruentialGenerator(seed),
        )
        self.replicas = [
            Replica(k, count, settings, bounds, warm_capacity, seed + 7919 * k)
            for k in range(count)
        ]
        self.servers, self.scheduled_calls, self.call_count, self.utilization = {}, [], 0, {}
        self.budget = ColdStartBudget(
            settings, bounds.overload_window_ms, bounds.load_tolerance, warm_capacity
        )
        self.writes, self.overload_failures, self.joint_violations = (
            WriteOverlap(settings.max_write_in_flight_ms),
            [],
            [],
        )
        names = [self.add_server(None).name for _ in range(servers)]
        self.send_list_to_all(core.ListScope.COMPLETE, [self.list_entry(name) for name in names])
        for number in demand:
            self.replicas[number % count].assign_slice(number, {names[number % servers]: 1.0})
        for number in range(proxies):
            self.connect_proxy(number, fresh=True)

    # The servers and their list

    def add_server(self, started: float | None) -> SimulatedServer:
        number = len(self.servers)
        made = SimulatedServer(f"s{number}", number % ZONES, started=started)
        self.servers[made.name] = made
        return made

    def stop(self, name: str):
        self.servers[name].up = False

    def start(self, name: str):
        """A server that was down answers again, cold."""
        machine = self.servers[name]
        machine.up, machine.started, machine.failed = True, self.now, False

    def list_entry(self, name: str, state: str = "ready") -> ListedServer:
        """A server's entry in a list that is true now."""
        machine = self.servers[name]
        return ListedServer(name, state, machine.started, machine.zone)

    def send_list_to_all(self, scope: str, listings, wait=lambda: 0.0):
        """The same list for each controller, after a wait of its own (ms)."""
        for replica in self.replicas:
            self.send_list(replica, scope, listings, wait())

    def send_list(self, replica: Replica, scope: str, listings, wait: float = 0.0):
        self.after(wait, lambda: replica.receive_list(self.now, scope, listings))

    # The proxies and the slices

    def connect_proxy(self, number: int, fresh: bool = False):
        """A proxy joins every controller that runs."""
        for replica in self.running():
            proxy = replica.registry.proxy(number)
            replica.inbox.append(replica.plane.connect(proxy, number % ZONES, PROXY_RATE, fresh))

    def disconnect_proxy(self, number: int):
        for replica in self.running():
            replica.inbox.append(replica.plane.disconnect(replica.registry.proxy(number)))

    def restart_proxy(self, number: int, away: float):
        """It is back after `away` ms, and knows nothing but what it reads."""
        self.disconnect_proxy(number)
        self.after(away, lambda: self.connect_proxy(number, fresh=True))

    def running(self) -> list:
        return [replica for replica in self.replicas if replica.lost_at is None]

    def controller_of(self, number: int) -> Replica:
        """The controller in charge of a slice."""
        return next(
            r for r in self.running() if r.registry.slice(number) in r.plane.assigned_slices
        )

    def reassign_slice(self, number: int, to: Replica):
        """Another controller gets charge of a slice, with what the store has of it."""
        to.assign_slice(number, self.controller_of(number).unassign_slice(number))

    def lose_controller(self, lost: Replica):
        """A controller is gone; the others get its slices in turn, all at once. Its proxies go by
        its last lines for their lease."""
        numbers = [piece.id for piece in lost.plane.assigned_slices]
        heirs = [replica for replica in self.running() if replica is not lost]
        for k, number in enumerate(numbers):
            heirs[k % len(heirs)].assign_slice(number, lost.unassign_slice(number))
        lost.lost_at = self.now

    # Time

    def after(self, wait: float, call):
        """`call()` once `wait` ms are over; at once where there is no wait."""
        if wait <= 0:
            call()
            return
        self.call_count += 1
        heapq.heappush(self.scheduled_calls, (self.now + wait, self.call_count, call))

    def run_for(self, span: float):
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
        work, writers = {}, {}
        cold = [machine for machine in self.servers.values() if machine.started is not None]
        for replica in self.running():
            demand = {piece: self.demand[piece.id] for piece in replica.plane.assigned_slices}
            started = {replica.registry.server(machine.name): machine.started for machine in cold}
            seen = replica.rules.observe(self.now, replica.plane, demand, started)
            for server, sent in seen.work.items():
                whole = work.setdefault(server.id, SentLoad())
                whole.total, whole.known = whole.total + sent.total, whole.known + sent.known
            for piece, servers in seen.writers.items():
                writers.setdefault(piece.id, set()).update(server.id for server in servers)
            self.record_requests(replica, seen.work)
        for replica in self.replicas:
            if replica.lost_at is not None and self.now - replica.lost_at < self.settings.lease_ms:
                for number, servers in replica.last_writers().items():
                    writers.setdefault(number, set()).update(servers)
        self.utilization = {
            name: sent.total / self.capacity(self.servers[name]) for name, sent in work.items()
        }
        for machine in self.servers.values():
            self.check_cold_start(machine, work.get(machine.name, SentLoad()))
        for number, servers in writers.items():
            for server, other in self.writes.observe(self.now, number, servers):
                self.record_violation("twice", f"slice {number} is written at {server} and {other}")

    def capacity(self, machine: SimulatedServer) -> float:
        age = (
            self.now - machine.started if machine.started is not None else self.settings.warm_up_ms
        )
        warmth = self.settings.initial_capacity_share + (
            1 - self.settings.initial_capacity_share
        ) * age / max(self.settings.warm_up_ms, 1.0)
        return self.warm_capacity * machine.size * min(1.0, warmth)

    def check_cold_start(self, machine: SimulatedServer, work: SentLoad):
        if not machine.up or machine.started is None:
            self.budget.forget(machine.name)
            return
        fall = self.budget.add_sample(
            self.now, self.step_ms, machine.name, machine.started, machine.size, work
        )
        if fall is None:
            return
        machine.up, machine.failed = False, True
        self.overload_failures.append(fall)
        if fall.breaks_rule:
            self.record_violation(
                "cold",
                f"{machine.name} is brought {fall.multiple:.2f} of what fells it, known to "
                f"{fall.aware_share:.2f}, {self.now - machine.started:.0f} ms after its start",
            )

    def record_violation(self, rule: str, said: str):
        self.joint_violations.append(Violation(rule, self.now, said))

    @property
    def violations(self) -> list:
        """All breaches, of single controllers' rules and of those that all keep together."""
        return [
            breach for replica in self.replicas for breach in replica.rules.violations
        ] + self.joint_violations

    # What the controllers hear of it

    def record_requests(self, replica: Replica, work: dict):
        """Takes down what a controller's proxies met at the servers since the last look."""
        for server, sent in work.items():
            machine, used = self.servers[server.id], self.utilization.get(server.id, 0.0)
            tries = sent.total * self.step_ms / 1000.0
            bad = tries * failed_share(used) if machine.up else tries
            history = replica.histories.setdefault(server, RequestHistory())
            history.add(RequestSample(self.now, tries, bad, latency(used)), self.sampling.span_ms)

    def report(self, replica: Replica):
        """Sends the controller the reports that are due, of servers and of its slices."""
        told = []
        for server, history in replica.histories.items():
            if self.due(replica, server):
                told.append(
                    history.report(
                        self.now, server, self.zone_in_turn(replica, server), self.sampling
                    )
                )
        for piece in replica.plane.assigned_slices:
            if self.due(replica, piece):
                count = round(
                    self.demand[piece.id] * self.sampling.span_ms / 1000.0 / self.sampling.zones
                )
                told.append(core.SliceLoadReport(piece, 0, count, 0, self.sampling.span_ms))
        if told := [event for event in told if event is not None]:
            self.after(self.sampling.delay_ms, lambda: replica.inbox.extend(told))

    def due(self, replica: Replica, subject) -> bool:
        """Whether a report of this server or slice is due; the first one comes at a time of its
        own."""
        at = replica.report_at.get(subject)
        if at is None:
            replica.report_at[subject] = (
                self.now + self.sampling.period_ms * replica.random_numbers.draw()
            )
            return False
        if self.now < at:
            return False
        replica.report_at[subject] = at + self.sampling.period_ms
        return True

    def zone_in_turn(self, replica: Replica, server) -> int:
        count = replica.reported[server] = replica.reported.get(server, -1) + 1
        return count % self.sampling.zones
