"""Slow start: limits the load of a server while it warms up."""

from collections.abc import Sequence

from ..interface import LoadShedding, Settings
from ..state import WARMING_UP, Server
from ..state.fleet_capacity import FleetCapacity
from .fleet_condition import FleetCondition

# A server that warms up may carry this share of the load at which it would fail; the second, during
# overload and after the controller's start.
OVERLOAD_SHARE = 0.75
CAUTIOUS_OVERLOAD_SHARE = 0.4
# While at most the first share of the fleet's capacity warms up, slices are added up to the
# cautious limit, so that a surge of requests does not overload it; from the second share on, up to
# the full limit, since the other servers could not carry the rest.
FEW_WARMING_UP_SHARE = 0.125
MANY_WARMING_UP_SHARE = 0.375
# After its own start, the controller knows neither the demand nor the fleet's condition.
CAUTIOUS_START_MS = 12_000.0
# Upper bound of `Settings.warm_up_overload_factor`, a multiple of a server's usual load.
MAX_OVERLOAD_FACTOR = 3.0
MIN_FLEET_CAPACITY = 1e-6  # avoids a division by 0 if the fleet is empty


class SlowStart:
    """Owns the load limits per unit of guaranteed capacity while warming up.

    A server keeps slices up to `load_per_capacity`, and gets further ones up to
    `additional_load_per_capacity`, which is at most as high.
    """

    def __init__(self, settings: Settings) -> None:
        self._overload_factor = min(settings.warm_up_overload_factor, MAX_OVERLOAD_FACTOR)
        self._capacity_unknown = (
            not settings.sizes_stated and settings.load_shedding is not LoadShedding.BY_SHARE
        )
        self.fleet_capacity = FleetCapacity()
        self.load_per_capacity = 0.0
        self.additional_load_per_capacity = 0.0
        self._checks_reach_servers = True

    def update(
        self,
        ready_servers: Sequence[Server],
        total_demand: float,
        condition: FleetCondition,
        controller_age_ms: float,
    ) -> None:
        """Updates the load limits for the fleet, demand and condition of this reconciliation."""
        # The demand is divided by the fleet's peak capacity: while many servers are lost, a share
        # by the present capacity would overload a server that warms up.
        self.fleet_capacity.observe(ready_servers)
        cautious = (
            condition.overloaded or condition.collapsed or controller_age_ms < CAUTIOUS_START_MS
        )
        # While load is shed, the demand is that of the admitted requests alone, and will rise.
        share = max(CAUTIOUS_OVERLOAD_SHARE, OVERLOAD_SHARE * condition.admitted_share)
        if cautious:
            share = CAUTIOUS_OVERLOAD_SHARE
        additional_share = min(
            share, additional_overload_share(self.fleet_capacity.warming_up_share)
        )
        if condition.overloaded and self._capacity_unknown:
            # The demand exceeds the fleet's capacity, so only its completed share is distributed.
            share *= condition.completed_share
            additional_share *= condition.completed_share
        self.load_per_capacity = self._load_per_capacity(share, total_demand)
        self.additional_load_per_capacity = self._load_per_capacity(additional_share, total_demand)
        if self.fleet_capacity.warming_up_share:
            # If most checks stay unanswered, the fault is the controller's own, or the fleet's.
            unanswered = sum(server.unanswered_checks > 0 for server in ready_servers)
            self._checks_reach_servers = 2 * unanswered <= len(ready_servers)

    def _load_per_capacity(self, overload_share: float, total_demand: float) -> float:
        peak_capacity = max(self.fleet_capacity.peak, MIN_FLEET_CAPACITY)
        return overload_share * self._overload_factor * total_demand / peak_capacity

    def admissible_load(self, server: Server) -> float:
        """Returns the load that the server may carry now."""
        return self.load_per_capacity * server.guaranteed_capacity

    def additional_load_limit(self, server: Server) -> float:
        """Returns the load up to which the server may get further slices."""
        return self.additional_load_per_capacity * server.guaranteed_capacity

    def leaves_checks_unanswered(self, server: Server) -> bool:
        """Whether the server warms up and did not answer its last health check in time.

        It is then close to overload, seconds before load reports show that.
        """
        return (
            server.health == WARMING_UP
            and server.unanswered_checks > 0
            and self._checks_reach_servers
        )


def additional_overload_share(warming_up_share: float) -> float:
    """Returns the share of the overload up to which slices are added while warming up.

    `warming_up_share` is the share of the fleet's capacity that warms up.
    """
    progress = (warming_up_share - FEW_WARMING_UP_SHARE) / (
        MANY_WARMING_UP_SHARE - FEW_WARMING_UP_SHARE
    )
    return CAUTIOUS_OVERLOAD_SHARE + max(0.0, min(1.0, progress)) * (
        OVERLOAD_SHARE - CAUTIOUS_OVERLOAD_SHARE
    )
