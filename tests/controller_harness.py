"""A test harness for the controller: controls its clock, fleet and observations step by step.

Only this module accesses the controller's internals, so that refactoring the controller changes
this module and no test. Tests use the terms of `docs/architecture.md`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

import pytest

from havendyke import interface as core
from havendyke.policy import Controller
from havendyke.policy.admission import COMPLETED_SHARE_ADMITTED
from havendyke.policy.health_checks import CHECKS_PER_SERVER_PER_S
from havendyke.policy.outlier_detection import (
    CONSECUTIVE_CONNECT_FAILURES,
    CONSECUTIVE_UNANSWERED_CHECKS,
    MAX_EJECTION_TIME_MS,
    RECENT_SUCCESS_INTERVALS,
)
from havendyke.policy.pacing import PUSH_INTERVAL_MS, TICK_INTERVAL_MS
from havendyke.policy.push_budget import PushBudget
from havendyke.policy.push_scheduler import PUSH_RACE_WINDOW_MS
from havendyke.policy.rebalancer import MIN_OVERLOAD_INTERVALS, SERVER_MIGRATION_INTERVAL_MS
from havendyke.policy.slow_start import CAUTIOUS_START_MS, OVERLOAD_SHARE
from havendyke.policy.standby import STANDBY_WEIGHT
from havendyke.policy.table_diff import change_priority
from havendyke.policy.table_planner import MIN_HANDOVERS_TO_REBALANCE
from havendyke.policy.zone_loss import MIN_PEAK_PROXIES, MIN_REPORTED_SERVERS
from havendyke.state import (
    HealthState,
    LinearCongruentialGenerator,
    Proxy,
    Push,
    Server,
    Slice,
)
from havendyke.state import rounding_offset as state_rounding_offset
from havendyke.state.fleet_capacity import FleetCapacity

# Policy limits and state types that tests import from this module only.
__all__ = [
    "CAUTIOUS_START_MS",
    "CHECKS_PER_SERVER_PER_S",
    "COMPLETED_SHARE_ADMITTED",
    "CONNECT_RACE_WINDOW_MS",
    "CONSECUTIVE_FAILURES_TO_EJECT",
    "HANDOVERS_WITHIN_EMPTY_LIMIT",
    "MAX_EJECTION_TIME_MS",
    "MAX_SUCCESS_AGE_REPORTS",
    "MIGRATION_INTERVAL_MS",
    "MIN_REPORTED_SERVERS",
    "MIN_ZONE_PROXIES",
    "OVERLOADED_REPORTS_TO_MIGRATE",
    "PUSH_INTERVAL_MS",
    "RECONCILE_INTERVAL_MS",
    "STANDBY_WEIGHT",
    "UNANSWERED_CHECKS_TO_EJECT",
    "WARM_UP_LOAD_SHARE",
    "HealthState",
    "LinearCongruentialGenerator",
]
CONSECUTIVE_FAILURES_TO_EJECT = CONSECUTIVE_CONNECT_FAILURES
UNANSWERED_CHECKS_TO_EJECT = CONSECUTIVE_UNANSWERED_CHECKS
MAX_SUCCESS_AGE_REPORTS = RECENT_SUCCESS_INTERVALS  # report intervals
MIN_ZONE_PROXIES = MIN_PEAK_PROXIES
WARM_UP_LOAD_SHARE = OVERLOAD_SHARE  # of the load that overloads a server
OVERLOADED_REPORTS_TO_MIGRATE = MIN_OVERLOAD_INTERVALS
MIGRATION_INTERVAL_MS = SERVER_MIGRATION_INTERVAL_MS
HANDOVERS_WITHIN_EMPTY_LIMIT = MIN_HANDOVERS_TO_REBALANCE
CONNECT_RACE_WINDOW_MS = PUSH_RACE_WINDOW_MS
RECONCILE_INTERVAL_MS = TICK_INTERVAL_MS

LONG_AGO_MS = -1e9
START_MS = 100_000.0


def default_settings(**changes: Any) -> core.Settings:
    """A deployment with three zones and two request classes, the second not idempotent."""
    defaults: dict[str, Any] = {
        "request_classes": [
            core.RequestClass(1000.0, 3000.0, idempotency=core.Idempotency.IDEMPOTENT),
            core.RequestClass(2000.0, 6000.0, idempotency=core.Idempotency.NON_IDEMPOTENT),
        ],
        "zone_count": 3,
        "slice_count": 8,
        "channel_queue_limit": 4000.0,
        "channel_rate_per_s": 2000.0,
        "message_overhead": 8.0,
        "push_delay_ms": 300.0,
        "report_interval_ms": 1000.0,
        "warm_up_ms": 16000.0,
        "initial_capacity_share": 0.2,
        "warm_up_overload_factor": 3.0,
        "health_checks": False,
        "load_shedding": core.LoadShedding.BY_SHARE,
        "sizes_stated": True,
    }
    return core.Settings(**defaults | changes)


def weight_orders(orders: Iterable[core.Order]) -> list[core.SetEndpointWeight]:
    """The orders that set or remove an entry of a table."""
    return [order for order in orders if isinstance(order, core.SetEndpointWeight)]


def clear_orders(orders: Iterable[core.Order]) -> list[core.ClearTable]:
    """The orders that clear a table."""
    return [order for order in orders if isinstance(order, core.ClearTable)]


class ControllerHarness:
    """A controller, with methods to drive and inspect it."""

    def __init__(self, settings: core.Settings | None = None, seed: int = 7, **changes: Any):
        """`changes` are applied to the default settings if `settings` is not given."""
        self.controller = Controller(settings or default_settings(**changes), seed)
        self.controller.observed.now_ms = START_MS
        self.controller.started_ms = START_MS
        self.controller.decay._halved_ms = START_MS

    @classmethod
    def wrap(cls, controller: Controller) -> ControllerHarness:
        """A harness for a controller that an adapter created and drives."""
        harness = cls.__new__(cls)
        harness.controller = controller
        return harness

    @classmethod
    def unstarted(cls, settings: core.Settings, seed: int) -> ControllerHarness:
        """A controller before its first reconciliation."""
        return cls.wrap(Controller(settings, seed))

    # The clock

    @property
    def now_ms(self) -> float:
        return self.controller.observed.now_ms

    def advance(self, duration_ms: float) -> None:
        self.controller.observed.now_ms += duration_ms

    def advance_to(self, time_ms: float) -> None:
        self.controller.observed.now_ms = time_ms

    def set_started_long_ago(self) -> None:
        """Sets the start far enough back that the controller trusts its observations."""
        self.controller.started_ms = LONG_AGO_MS

    def seed_random_numbers(self, value: int) -> None:
        self.controller.planner.rebalancer._random.state = value
        self.controller.health_checks._random.state = value

    # Servers, slices and proxies

    @property
    def servers(self) -> list[Server]:
        return self.controller.servers

    @property
    def slices(self) -> list[Slice]:
        return self.controller.slices

    @property
    def assigned_slices(self) -> list[Slice]:
        return [slice_ for slice_ in self.slices if slice_.assigned]

    @property
    def proxies(self) -> list[Proxy]:
        return self.controller.proxies

    def add_server(self, server_id: str) -> Server:
        """Adds a server that is not in the endpoint list yet."""
        return self.controller.add_server(server_id)

    def add_slice(self, slice_id: int) -> Slice:
        """Adds a slice that is not assigned."""
        return self.controller.add_slice(slice_id)

    def add_proxy(self, proxy_id: int | str) -> Proxy:
        """Adds a proxy that is not connected."""
        return self.controller.add_proxy(proxy_id)

    def add_servers(self, count: int, started_ms: float | None = None) -> list[Server]:
        """Adds listed, ready servers, in zones 0, 1, 2 by turns."""
        servers = [self.add_server(f"s{len(self.servers)}") for _ in range(count)]
        self.list_servers(servers, started_ms=started_ms, zones=3)
        self.set_list_received(True)
        return servers

    def add_slices(self, primaries: Iterable[Server]) -> list[Slice]:
        """Adds assigned slices with ids from 0, each published with one of these servers."""
        slices = []
        for slice_id, primary in enumerate(primaries):
            slice_ = self.add_slice(slice_id)
            self.assign(slice_)
            self.restore_entry(slice_, primary)
            slices.append(slice_)
        return slices

    def connect_proxies(self, count: int) -> list[Proxy]:
        """Adds connected proxies in zone 0."""
        proxies = [self.add_proxy(proxy_id) for proxy_id in range(count)]
        for proxy in proxies:
            self.connect(proxy)
        return proxies

    # Events, applied without reconciliation

    def observe(self, event: core.Event) -> None:
        """Applies one event without reconciling."""
        self.controller._apply([event])

    def list_servers(
        self,
        servers: Sequence[Server],
        state: core.ServerState = core.ServerState.READY,
        started_ms: float | None = None,
        zones: int = 1,
        scope: core.ListScope = core.ListScope.CHANGES,
        start_confirmed: bool = True,
    ) -> None:
        """Applies an endpoint list of these servers, in zones 0 to `zones` - 1 by turns."""
        entries = [
            core.EndpointEntry(
                server, state, started_ms, number % zones, 0, 0, 1.0, start_confirmed
            )
            for number, server in enumerate(servers)
        ]
        self.observe(core.EndpointListUpdate(scope, entries))

    def assign(self, slice_: Slice, assigned: bool = True) -> None:
        self.observe(core.SliceAssignment(slice_, assigned))

    def restore_entry(self, slice_: Slice, server: Server, weight: float = 1.0) -> None:
        """Applies a snapshot entry of the slice's table."""
        self.observe(core.SnapshotEntry(slice_, server, weight))

    def connect(
        self, proxy: Proxy, zone: int = 0, request_rate: float = 5.0, first: bool = True
    ) -> None:
        self.observe(core.ProxyConnected(proxy, zone, request_rate, first))

    def disconnect(self, *proxies: Proxy) -> None:
        for proxy in proxies:
            self.observe(core.ProxyDisconnected(proxy))

    def resynchronise(self, *proxies: Proxy) -> None:
        """Notifications were missed, and these proxies are connected afterwards."""
        for proxy in proxies:
            self.observe(core.ProxyResynchronised(proxy, 0, 5.0, False))

    def acknowledge(self, *proxies: Proxy, nonce: int = 1) -> None:
        for proxy in proxies:
            self.observe(core.PushAcknowledged(proxy, nonce, 300.0))

    def set_channel_connected(self, connected: bool, unsent_nonces: Sequence[int] = ()) -> None:
        self.observe(core.PushChannelStatus(connected, tuple(unsent_nonces)))

    def report_server(
        self, server: Server, attempts: int, failures: int = 0, latency_ms: float = 100.0
    ) -> None:
        """The proxies of zone 0 report attempts at a server during the last second."""
        self.observe(core.ServerLoadReport(server, 0, attempts, failures, latency_ms, 1000.0))

    def report_slice(self, slice_: Slice, requests: int) -> None:
        """Reports requests of class 0 for a slice during the last second."""
        self.observe(core.SliceLoadReport(slice_, 0, requests, 0, 1000.0))

    def report_health_check(
        self, server: Server, outcome: core.HealthCheckOutcome, latency_ms: float = 5.0
    ) -> None:
        self.observe(core.HealthCheckResult(server, outcome, latency_ms))

    def report_in_flight(self, server: Server, requests: int) -> None:
        """A server reports its requests in flight; its health check counts do not change."""
        load = core.ServerLoad(in_flight=requests)
        self.controller.observed._count_in_flight(server, load)

    # Steps of a reconciliation

    def reconcile(self, events: Sequence[core.Event] = ()) -> list[core.Order]:
        """Runs all steps, as an adapter does."""
        return self.controller.reconcile(self.now_ms, events)

    def mark_ejections_unconfirmed(self) -> None:
        """Marks ejections as unconfirmed if proxies have reconnected."""
        self.controller.observed.ejections.mark_missed()

    def evaluate_health(self) -> None:
        """Evaluates fleet condition, zone loss, outlier detection and each server's health."""
        self.controller.assess_health()

    def adjust_admission(self) -> None:
        self.controller.adjust_admission()

    def estimate_connections(self) -> None:
        """Estimates connection usage and the number of controllers that share a server."""
        observed, planner = self.controller.observed, self.controller.planner
        ready = observed.ready_servers()
        planner.connections.update(observed.proxies, len(ready))
        planner.pace.update(observed.proxies, len(ready))

    def estimate_demand(self, slices: Sequence[Slice]) -> None:
        """Estimates the slices' demand and each server's assigned load."""
        controller = self.controller
        total = controller.planner.demand.update(slices, controller.servers, self.now_ms)
        controller.planner.limits.update(controller.servers, total)
        controller.planner.slow_start.update(
            controller.observed.ready_servers(), total, controller.condition, controller._age_ms
        )

    def plan(self) -> None:
        """Plans the desired tables of all assigned slices."""
        self.controller.plan_tables()

    def plan_shared_tables(self) -> None:
        """Plans the shared tables of a deployment without slices."""
        self.controller.shared_tables.plan(self.servers)

    def migrate(self, slice_: Slice, target: Server) -> None:
        self.controller.planner.migrator.migrate(slice_, target, self.now_ms)

    def ramp_up_recovered(self, slices: Sequence[Slice]) -> None:
        """Migrates slices to servers that have recovered."""
        self._update_pace()
        self.controller.planner.recovery.ramp_up(slices, self.servers, self.now_ms)

    def rebalance(self) -> None:
        """Migrates slices away from overloaded servers."""
        self._update_pace()
        observed, planner = self.controller.observed, self.controller.planner
        planner.rebalancer.run(
            self.servers, self.now_ms, observed.last_success_ms, planner.demand.observed
        )

    def _update_pace(self) -> None:
        observed = self.controller.observed
        self.controller.planner.pace.update(observed.proxies, len(observed.ready_servers()))

    def emit(self) -> list[core.Order]:
        """The orders of the push, if one is due."""
        return self.controller.emit_push()

    def ejection_orders(self, urgent: float = 50, ordinary: float = 50) -> list[core.Order]:
        """The orders that eject and uneject servers, within this budget of entries per proxy."""
        budget = PushBudget(ordinary, urgent)
        push = Push(1, 0.0, set(), self.now_ms, self.now_ms)
        return self.controller.pushes._ejection.orders(
            self.servers, self.slices, push, budget, 0, True
        )

    def table_difference(self, slice_: Slice) -> tuple[list[core.Order], dict[Server, float]]:
        """The orders that bring a slice closer to its desired table, and the resulting table."""
        change = self.controller.pushes._diff.change(slice_, self.now_ms)
        return change.orders, change.published

    def push_order(self, slices: Iterable[Slice]) -> list[Slice]:
        """The slices in the order in which a push changes them."""
        return sorted(slices, key=change_priority)

    def admission_orders(self) -> list[core.SetAdmission]:
        return self.controller.admission_orders()

    @property
    def retry_policies(self) -> list[core.RetryPolicy]:
        """The retry policies in the admission orders."""
        return [order.retry_policy for order in self.admission_orders()]

    def request_observations(self) -> list[core.Order]:
        """The orders for due health checks and for the endpoint list."""
        return self.controller.request_observations()

    # The fleet's condition

    @property
    def overloaded(self) -> bool:
        return self.controller.condition.overloaded

    @property
    def errors_elevated(self) -> bool:
        return self.controller.condition.errors_elevated

    @property
    def admission_probability(self) -> float:
        return self.controller.admission.limit

    @admission_probability.setter
    def admission_probability(self, probability: float) -> None:
        self.controller.admission.limit = probability

    @property
    def baseline_load(self) -> float:
        """The load that a warming-up server with full guaranteed capacity may have."""
        return self.controller.planner.slow_start.load_per_capacity

    @property
    def overload_factor(self) -> float:
        """The multiple of its usual load above which a warming-up server fails."""
        return self.controller.planner.slow_start._overload_factor

    @property
    def peak_fleet_capacity(self) -> float:
        return self.controller.planner.slow_start.fleet_capacity.peak

    @property
    def controllers_per_server(self) -> float:
        """The number of controllers with slices at the same server."""
        return self.controller.planner.pace.controllers_per_server

    def set_list_received(self, received: bool) -> None:
        """Sets whether an endpoint list other than a cached one was received."""
        self.controller.observed.endpoint_list_received = received

    def set_fleet_last_success(self, time_ms: float) -> None:
        """Sets when an attempt at any server was last reported successful."""
        self.controller.observed.last_success_ms = time_ms

    def set_last_disconnect(self, time_ms: float) -> None:
        """Sets when a proxy last disconnected."""
        self.controller.observed.last_disconnect_ms = time_ms

    def assume_demand_reported(self) -> None:
        """Treats demand as reported, whatever its estimate found."""
        self.controller.planner.demand.observed = True

    # Servers

    def health(self, server: Server) -> HealthState:
        return server.health

    def set_health(self, server: Server, health: HealthState) -> None:
        server.health = health

    def servers_warming_up(self) -> list[Server]:
        return [s for s in self.servers if self.health(s) is HealthState.WARMING_UP]

    def listed_state(self, server: Server) -> core.ServerState | None:
        """Its state in the endpoint list; None before it is first listed."""
        return server.state

    def set_listed_state(self, state: core.ServerState, *servers: Server) -> None:
        for server in servers:
            server.state = state

    def set_zone(self, server: Server, zone: int) -> None:
        server.zone = zone

    def started_ms(self, server: Server) -> float | None:
        return server.started_ms

    def set_started(self, server: Server, time_ms: float | None) -> None:
        server.started_ms = time_ms

    def presume_lost(self, *servers: Server) -> None:
        """Presumes that these servers are lost with their zone, and restart now."""
        for server in servers:
            server.zone_lost_ms = self.now_ms

    def start_is_assumed(self, server: Server) -> bool:
        """Whether its start time is known from a cached list only."""
        return server.start_assumed

    def unhealthy_until(self, server: Server) -> float | None:
        """When its ejection time ends; None if it is not an outlier."""
        return server.unhealthy_until_ms

    def is_outlier(self, server: Server) -> bool:
        return server.unhealthy_until_ms is not None

    def set_unhealthy_for(self, server: Server, duration_ms: float | None) -> None:
        server.unhealthy_until_ms = None if duration_ms is None else self.now_ms + duration_ms

    def consecutive_failures(self, server: Server) -> int:
        return server.consecutive_connect_failures

    def set_consecutive_failures(self, server: Server, count: int) -> None:
        server.consecutive_connect_failures = count

    def set_unanswered_checks(self, server: Server, count: int) -> None:
        server.unanswered_checks = count

    def set_last_success(self, server: Server, time_ms: float) -> None:
        server.last_success_ms = time_ms

    def check_in_flight(self, server: Server) -> bool:
        return server.check_in_flight

    def set_last_check(self, server: Server, time_ms: float) -> None:
        server.last_check_ms = time_ms

    def is_recovering(self, server: Server) -> bool:
        """Whether it has recovered but does not have its slices yet."""
        return server.recovering

    def set_recovering(self, *servers: Server) -> None:
        for server in servers:
            server.recovering = True

    def capacity(self, server: Server) -> float:
        return server.capacity

    def guaranteed_capacity(self, server: Server) -> float:
        return server.guaranteed_capacity

    def admissible_load(self, server: Server) -> float:
        return self.controller.planner.limits.admissible_load(server)

    def assigned_load(self, server: Server) -> float:
        return server.assigned_load

    def slices_of(self, server: Server) -> list[Slice]:
        """The slices whose primary it is, as of the last estimate of demand."""
        return server.assigned_slices

    def set_relative_latency(self, server: Server, ratio: float) -> None:
        """Sets its latency relative to the fleet's median."""
        server.relative_latency = ratio

    def set_overloaded_reports(self, server: Server, count: int) -> None:
        """Sets the number of consecutive report intervals in which it was overloaded."""
        server.overloaded_intervals = count

    def keep_overloaded_reports(self) -> None:
        """Keeps the next rebalancing from updating the counts of overloaded intervals."""
        self.controller.planner.rebalancer._interval_start_ms = self.now_ms

    def last_migration_from(self, server: Server) -> float:
        return server.last_slice_released_ms

    def set_last_migration_from(self, server: Server, time_ms: float) -> None:
        server.last_slice_released_ms = time_ms

    def set_migration_budget(self, slices: float) -> None:
        """Sets how many migrations beyond failover the next push may contain."""
        self.controller.planner.migrator.budget = slices

    def set_ejected(self, *servers: Server) -> None:
        """Marks the servers as ejected at the proxies."""
        for server in servers:
            server.ejected = True

    def set_ejected_before(self, *servers: Server) -> None:
        """Marks the servers as ejected at some time in the past."""
        for server in servers:
            server.ever_ejected = True

    def ejection_is_unconfirmed(self, server: Server) -> bool:
        """Whether some proxies may not know whether the server is ejected."""
        return server.ejection_unconfirmed

    # Slices

    def primary(self, slice_: Slice) -> Server | None:
        return slice_.primary()

    def slices_with_primary(self, server: Server, slices: Iterable[Slice]) -> int:
        """The number of slices with this primary."""
        return sum(self.primary(slice_) is server for slice_ in slices)

    def desired(self, slice_: Slice) -> dict[Server, float]:
        return slice_.desired

    def set_desired(self, slice_: Slice, table: Mapping[Server, float]) -> None:
        slice_.desired = dict(table)

    def published(self, slice_: Slice) -> dict[Server, float]:
        return slice_.published

    def set_published(self, slice_: Slice, table: Mapping[Server, float]) -> None:
        slice_.published = dict(table)

    def publish_desired(self) -> None:
        """Makes all desired tables the published ones."""
        for slice_ in self.slices:
            self.set_published(slice_, slice_.desired)

    def has_all_entries(self, slice_: Slice) -> bool:
        """Whether the published table contains all entries of the desired one."""
        return slice_.is_published()

    def demand(self, slice_: Slice) -> float:
        return slice_.demand

    def add_requests(self, slice_: Slice, requests: float) -> None:
        """Counts requests of class 0 for the slice, but not in the fleet's totals."""
        slice_.requests.add(0, requests)

    def set_assigned_at(self, slice_: Slice, time_ms: float) -> None:
        slice_.assigned_ms = slice_.observed_since_ms = time_ms

    def set_last_migration(self, slice_: Slice, time_ms: float) -> None:
        slice_.migrated_ms = time_ms

    def is_settled(self, slice_: Slice) -> bool:
        """Whether enough proxies have acknowledged its last change."""
        self._update_pace()
        return self.controller.planner.pace.is_settled(slice_)

    def set_last_push(self, slice_: Slice, serial: int | None) -> None:
        """Sets the serial of the push that last changed its table; None: a change is pending."""
        slice_.last_push_serial = serial

    def clearing_push_is_unacknowledged(self, slice_: Slice) -> bool:
        """Whether a proxy has yet to acknowledge the push that cleared its table."""
        return bool(slice_.clearing_push.awaiting_proxies)

    def count_settled_queries(self) -> Counter[int]:
        """Counts by slice id how often steps query whether the slice is settled from now on."""
        queries: Counter[int] = Counter()
        pace = self.controller.planner.pace
        is_settled = pace.is_settled

        def count_query(slice_: Slice) -> bool:
            queries[slice_.id] += 1
            return is_settled(slice_)

        pace.is_settled = count_query
        return queries

    def forbid_iteration_over_slices(self) -> None:
        """Makes any step that iterates over all slices raise from now on."""
        self.controller.observed.slices = _NotIterable(self.slices)

    # Proxies and pushes

    def acknowledged_push(self, proxy: Proxy) -> int:
        """The serial of the last push that a proxy has acknowledged."""
        return proxy.acknowledged_serial

    def set_acknowledged_push(self, proxy: Proxy, serial: int) -> None:
        proxy.acknowledged_serial = serial

    def request_rate(self, proxy: Proxy) -> float:
        """The expected requests per second of a proxy."""
        return proxy.request_rate

    def set_request_rate(self, proxies: Iterable[Proxy], requests_per_s: float) -> None:
        for proxy in proxies:
            proxy.request_rate = requests_per_s

    def is_connected(self, proxy: Proxy) -> bool:
        return proxy.connected

    @property
    def push_count(self) -> int:
        """The number of pushes sent."""
        return self.controller.observed.channel.last_serial

    @push_count.setter
    def push_count(self, count: int) -> None:
        self.controller.observed.channel.last_serial = count

    def add_unacknowledged_push(
        self, entries_per_proxy: float, proxies: Iterable[Proxy], queued_entries: float
    ) -> None:
        """Adds the first push, sent just now, with this many entries queued in the channel."""
        channel = self.controller.observed.channel
        now_ms = self.now_ms
        channel.pushes.append(Push(1, entries_per_proxy, set(proxies), now_ms, now_ms))
        channel.queued_entries = queued_entries
        channel._queued_at_ms = now_ms
        channel.last_serial = 1

    def has_unacknowledged_pushes(self) -> bool:
        return any(push.awaiting_proxies for push in self.controller.observed.channel.pushes)

    def queued_entries(self) -> float:
        """The estimated number of entries queued in the channel."""
        pushes = self.controller.pushes
        return self.controller.observed.channel.estimate_queue(
            self.proxies, self.now_ms, pushes._push_delay_ms, pushes._min_entries_per_ms
        )

    def assume_queued_share(self, share: float) -> None:
        """Fixes the estimated queue at this share of the soft queue limit."""
        queued = share * self.controller.pushes.costs.soft_queue_limit
        self.controller.observed.channel.estimate_queue = lambda *_: queued

    def set_queue_unlimited(self) -> None:
        """Lifts the queue limit, so that pushes can publish everything."""
        self.controller.pushes.costs.soft_queue_limit = 1e9

    def set_next_push_in(self, delay_ms: float) -> None:
        """Sets when the next push is due by its interval."""
        self.controller.pushes._next_push_ms = self.now_ms + delay_ms


class _NotIterable(list[Slice]):
    def __iter__(self) -> Iterator[Slice]:
        raise AssertionError("a step iterated over all slices")


class FleetCapacityHarness:
    """The fleet's peak capacity as servers start and stop."""

    def __init__(self) -> None:
        self._fleet_capacity = FleetCapacity()

    def observe(self, healthy: int, warming_up: int) -> None:
        """Observes this many ready servers of size 1."""
        servers = ControllerHarness().add_servers(healthy + warming_up)
        for server in servers[healthy:]:
            server.health = HealthState.WARMING_UP
        self._fleet_capacity.observe(servers)

    @property
    def peak(self) -> float:
        return self._fleet_capacity.peak


def replace_health_evaluation(
    monkeypatch: pytest.MonkeyPatch,
    replacement: Callable[[Controller, Callable[[Controller], None]], None],
) -> None:
    """Makes every controller call the replacement with itself and the original evaluation."""
    evaluate = Controller.assess_health
    monkeypatch.setattr(
        Controller, "assess_health", lambda controller: replacement(controller, evaluate)
    )


def rounding_offset(server: str, controller_index: int | None, controller_count: int) -> float:
    """The offset that a controller adds to its share of a server before rounding down."""
    return state_rounding_offset(Server(server), controller_index, controller_count)


def controller_group(
    count: int, servers: int, primaries: Sequence[int], **settings: Any
) -> list[ControllerHarness]:
    """Controllers with the same servers; slices are assigned to them by turns.

    `primaries` contains the index of each slice's primary.
    """
    harnesses = []
    for index in range(count):
        harness = ControllerHarness(
            slice_count=len(primaries),
            controller_count=count,
            controller_index=index,
            **settings,
        )
        harness.seed_random_numbers(1 + 7919 * index)
        endpoints = harness.add_servers(servers)
        for slice_id in range(index, len(primaries), count):
            slice_ = harness.add_slice(slice_id)
            harness.assign(slice_)
            harness.restore_entry(slice_, endpoints[primaries[slice_id]])
            harness.set_assigned_at(slice_, LONG_AGO_MS)
            harness.add_requests(slice_, 10.0)
        harnesses.append(harness)
    return harnesses


def add_slices_with_demand(harness: ControllerHarness, primaries: Iterable[Server]) -> list[Slice]:
    """Adds slices of equal demand that were assigned long ago."""
    slices = harness.add_slices(primaries)
    for slice_ in slices:
        harness.set_assigned_at(slice_, LONG_AGO_MS)
        harness.add_requests(slice_, 10.0)
    return slices


def servers_in_zone(servers: Iterable[Server], zone: int) -> list[Server]:
    """The servers in a zone."""
    return [server for server in servers if server.zone == zone]
