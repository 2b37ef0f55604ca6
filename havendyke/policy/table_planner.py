"""Plans the desired table of each slice."""

from ..interface import Settings
from ..state import ObservedState
from .demand import DemandEstimator
from .failover import Failover
from .fleet_condition import ConnectionMonitor, FleetMonitor
from .last_resort import LastResort
from .load_limits import LoadLimits
from .migration import SliceMigrator
from .pacing import MigrationPace
from .push_budget import PushCosts
from .rebalancer import Rebalancer
from .recovery_ramp import RecoveryRamp
from .slow_start import SlowStart
from .standby import choose_standby

# With exclusive ownership, slices are rebalanced only if a table may stay empty for longer than
# this many handovers: when a controller stops during one, another has to start it again.
MIN_HANDOVERS_TO_REBALANCE = 3.0


class TablePlanner:
    """Changes the desired tables, in this order: failover, recovery, rebalancing, standbys."""

    def __init__(
        self, settings: Settings, seed: int, fleet: FleetMonitor, costs: PushCosts
    ) -> None:
        handover_ms = settings.lease_ms + settings.max_write_in_flight_ms
        self._exclusive = settings.exclusive_ownership
        self._may_rebalance = (
            not self._exclusive
            or settings.max_empty_table_ms > MIN_HANDOVERS_TO_REBALANCE * handover_ms
        )
        self._costs = costs
        self._fleet = fleet
        self.demand = DemandEstimator(settings)
        self.slow_start = SlowStart(settings)
        self.limits = LoadLimits(self.slow_start)
        self.connections = ConnectionMonitor(settings, fleet.condition)
        self.pace = MigrationPace(settings)
        self.migrator = SliceMigrator()
        self.failover = Failover(
            settings, self.slow_start, self.limits, self.migrator, LastResort(settings)
        )
        self.recovery = RecoveryRamp(self.limits, self.migrator, self.pace)
        self.rebalancer = Rebalancer(settings, seed, fleet, self.limits, self.migrator, self.pace)

    def plan(self, observed: ObservedState, controller_age_ms: float) -> None:
        """Updates the desired tables of all assigned slices."""
        slices = observed.assigned_slices()
        servers = observed.servers
        now_ms = observed.now_ms
        self.update_load(observed, controller_age_ms)
        self.failover.run(slices, servers, now_ms)
        self._limit_migrations(observed)
        if not self._exclusive:
            self.recovery.restore_ejected(slices, servers, now_ms)
            self.recovery.ramp_up(slices, servers, now_ms)
        if self._may_rebalance:
            self.rebalancer.run(servers, now_ms, observed.last_success_ms, self.demand.observed)
        if not self._exclusive:
            for slice_ in slices:
                choose_standby(slice_, servers)

    def update_load(self, observed: ObservedState, controller_age_ms: float) -> None:
        """Updates the estimated demand, and the limits on each server's load."""
        ready = observed.ready_servers()
        self.connections.update(observed.proxies, len(ready))
        self.pace.update(observed.proxies, len(ready))
        total = self.demand.update(observed.assigned_slices(), observed.servers, observed.now_ms)
        self.limits.update(observed.servers, total)
        self.slow_start.update(ready, total, self._fleet.condition, controller_age_ms)

    def _limit_migrations(self, observed: ObservedState) -> None:
        # Half of the push, less the tables that wait to be published already: more would leave no
        # room for standbys. At least an eighth, so that a backlog does not stop migrations.
        entries = self._costs.max_entries_per_proxy(len(observed.connected_proxies()))
        unpublished = sum(not slice_.is_published() for slice_ in observed.assigned_slices())
        self.migrator.budget = max(entries / 8, entries / 2 - unpublished)
