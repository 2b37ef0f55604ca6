"""Rebalancing: migrates slices from overloaded servers to underloaded ones."""

from collections.abc import Iterable, Sequence

from ..interface import Settings
from ..state import HEALTHY, WARMING_UP, LinearCongruentialGenerator, Server, Slice
from ..state.server import NEVER_MS
from .demand import demand_of
from .fleet_condition import FleetMonitor
from .load_limits import MAX_FAIR_SHARES, LoadLimits
from .migration import SliceMigrator
from .outlier_detection import RECENT_SUCCESS_INTERVALS
from .pacing import PUSH_INTERVAL_MS, TIMER_SLACK_MS, MigrationPace

# Shortest time between migrations with the same source or target, so that load reports show the
# effect of the first one.
SERVER_MIGRATION_INTERVAL_MS = 5_000.0
SLICE_MIGRATION_INTERVAL_MS = 8_000.0
# Consecutive report intervals in which a server must be overloaded to become a source.
MIN_OVERLOAD_INTERVALS = 2
OVERLOADED_UTILIZATION = 1.5  # fair shares
# Latencies as multiples of the fleet's median.
OVERLOADED_RELATIVE_LATENCY = 1.6
AVERAGE_RELATIVE_LATENCY = 0.9  # above it, high utilization counts as overload
UNDERLOADED_RELATIVE_LATENCY = 1.1
# All controllers rank targets alike. To spread their choices, each draws among the best targets,
# this many for each controller.
TARGETS_PER_CONTROLLER = 2


class Rebalancer:
    """Migrates one slice at a time off servers overloaded for several report intervals.

    Writes `overloaded_intervals` and `last_slice_released_ms` of servers.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        fleet: FleetMonitor,
        limits: LoadLimits,
        migrator: SliceMigrator,
        pace: MigrationPace,
    ) -> None:
        self._sizes_stated = settings.sizes_stated
        self._report_interval_ms = settings.report_interval_ms
        self._controller_count = settings.controller_count
        self._fleet = fleet
        self._limits = limits
        self._migrator = migrator
        self._pace = pace
        self._random = LinearCongruentialGenerator(seed)
        self._interval_start_ms = NEVER_MS

    def run(
        self,
        servers: Sequence[Server],
        now_ms: float,
        last_success_ms: float,
        demand_observed: bool,
    ) -> None:
        """Migrates at most one slice off each overloaded server."""
        self._count_overloaded_intervals(servers, now_ms)
        # Without recent load reports, latencies are outdated.
        max_age_ms = 2 * RECENT_SUCCESS_INTERVALS * self._report_interval_ms
        if not demand_observed or now_ms - last_success_ms > max_age_ms:
            return
        sources = [server for server in servers if self._is_source(server, now_ms)]
        targets = [server for server in servers if self._is_target(server, now_ms)]
        sources.sort(key=lambda s: -max(s.relative_latency, self._limits.utilization(s)))
        for source in sources:
            target = self._migrate_one_slice(source, targets, now_ms)
            if target is not None:
                targets = [server for server in targets if server not in (target, source)]

    def _count_overloaded_intervals(self, servers: Iterable[Server], now_ms: float) -> None:
        if now_ms < self._interval_start_ms + self._report_interval_ms:
            return
        self._interval_start_ms = now_ms
        for server in servers:
            overloaded = server.health >= WARMING_UP and self._is_overloaded(server)
            server.overloaded_intervals = server.overloaded_intervals + 1 if overloaded else 0

    def _is_overloaded(self, server: Server) -> bool:
        if server.relative_latency > OVERLOADED_RELATIVE_LATENCY:
            return True
        # Demand reveals overload seconds before latency does. Without stated sizes, a server's
        # share of the demand does not reflect its utilization.
        return (
            self._sizes_stated
            and server.relative_latency > AVERAGE_RELATIVE_LATENCY
            and self._limits.utilization(server) > OVERLOADED_UTILIZATION
        )

    def _is_source(self, server: Server, now_ms: float) -> bool:
        # A server that is slower than others but meets the latency objectives keeps its slices: a
        # migration costs cold caches, and connections at both servers until the old ones close.
        if server.overloaded_intervals < MIN_OVERLOAD_INTERVALS or not self._fleet.is_slow(server):
            return False
        # A server that fails in an otherwise healthy fleet works on requests that clients have
        # abandoned, so it may release a slice with each push.
        congested_alone = server.failing and not self._fleet.condition.overloaded
        interval_ms = (
            PUSH_INTERVAL_MS - TIMER_SLACK_MS if congested_alone else SERVER_MIGRATION_INTERVAL_MS
        )
        # The limit applies to all controllers with slices on the server together.
        own_interval_ms = self._pace.controllers_per_server * interval_ms
        return now_ms - server.last_slice_released_ms > own_interval_ms

    def _is_target(self, server: Server, now_ms: float) -> bool:
        # A server that this controller hardly uses appears in few load reports, yet may be loaded
        # by slices of other controllers: its requests in flight must not exceed the median.
        return (
            server.health == HEALTHY
            and not server.ejected
            and server.relative_latency < UNDERLOADED_RELATIVE_LATENCY
            and (server.in_flight.median() or 0.0) <= self._fleet.condition.median_in_flight
            and now_ms - max(server.last_slice_released_ms, server.last_slice_received_ms)
            > SERVER_MIGRATION_INTERVAL_MS * self._pace.controllers_per_server
        )

    def _migrate_one_slice(
        self, source: Server, targets: Sequence[Server], now_ms: float
    ) -> Server | None:
        for slice_ in sorted(source.assigned_slices, key=lambda slice_: -demand_of(slice_)):
            if not self._may_migrate(slice_, now_ms):
                continue
            suitable = [
                t for t in targets if self._is_suitable_target(source, t, demand_of(slice_))
            ]
            if suitable:
                target = self._choose_target(suitable, demand_of(slice_))
                self._migrator.migrate(slice_, target, now_ms)
                source.last_slice_released_ms = now_ms
                return target
        return None

    def _may_migrate(self, slice_: Slice, now_ms: float) -> bool:
        return (
            now_ms - slice_.migrated_ms > SLICE_MIGRATION_INTERVAL_MS
            and self._pace.is_settled(slice_)
            and self._migrator.budget > 0
        )

    def _is_suitable_target(self, source: Server, target: Server, demand: float) -> bool:
        return (
            target is not source
            and target.relative_latency < source.relative_latency
            and self._limits.fits(target, demand, MAX_FAIR_SHARES)
            and (
                not self._sizes_stated
                or self._limits.utilization(target, demand) < self._limits.utilization(source)
            )
        )

    def _choose_target(self, suitable: Sequence[Server], demand: float) -> Server:
        def cost(server: Server) -> float:
            latency = 1.0 if self._sizes_stated else server.relative_latency
            return self._limits.utilization(server, demand) * latency

        ranked = sorted(suitable, key=cost)
        choices = min(TARGETS_PER_CONTROLLER * self._controller_count, len(ranked))
        return ranked[int(choices * self._random.draw())]
