"""Slow start: how much load a server may get while it warms up."""

from collections.abc import Iterable

from ..interface import LoadShedding, Settings
from ..state import Server
from ..state.fleet_capacity import FleetCapacity
from .fleet_condition import FleetCondition

# Shares of the load at which a server that warms up fails.
OVERLOAD_SHARE = 0.75
CAUTIOUS_OVERLOAD_SHARE = 0.4
# After its own start the controller knows neither demand nor the fleet's condition.
CAUTIOUS_START_MS = 12_000.0
# Bounds the setting: a multiple of a server's usual load.
MAX_OVERLOAD_FACTOR = 3.0
MIN_FLEET_SIZE = 1e-6  # a divisor; the fleet may be empty


class SlowStart:
    """Owns the load that a unit of guaranteed capacity may get while a server warms up."""

    def __init__(self, settings: Settings) -> None:
        self._overload_factor = min(settings.warm_up_overload_factor, MAX_OVERLOAD_FACTOR)
        self._capacity_unknown = (
            not settings.sizes_stated and settings.load_shedding is not LoadShedding.BY_SHARE
        )
        self.fleet_capacity = FleetCapacity()
        self.load_per_capacity = 0.0

    def update(
        self,
        ready_servers: Iterable[Server],
        total_demand: float,
        condition: FleetCondition,
        controller_age_ms: float,
    ) -> None:
        """Takes note of the fleet, the demand and the condition of this reconciliation."""
        # By the fleet at its peak: with many servers lost, an even part would overload a cold
        # server.
        self.fleet_capacity.observe(ready_servers)
        cautious = (
            condition.overloaded or condition.collapsed or controller_age_ms < CAUTIOUS_START_MS
        )
        # Where load is shed, a slice brings more once all of it is admitted again.
        share = max(CAUTIOUS_OVERLOAD_SHARE, OVERLOAD_SHARE * condition.admitted_share)
        if cautious:
            share = CAUTIOUS_OVERLOAD_SHARE
        if condition.overloaded and self._capacity_unknown:
            # A fair share of what is asked for is more than one of what the fleet can do.
            share *= condition.completed_share
        self.load_per_capacity = (
            share
            * self._overload_factor
            * total_demand
            / max(self.fleet_capacity.peak, MIN_FLEET_SIZE)
        )

    def admissible_load(self, server: Server) -> float:
        """The load that the server may have now."""
        return self.load_per_capacity * server.guaranteed_capacity
