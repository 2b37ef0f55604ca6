"""Estimates the current capacity and the health state of each server."""

from collections.abc import Iterable, Sequence

from ..interface import Settings
from ..state import HEALTHY, UNAVAILABLE, UNHEALTHY, WARMING_UP, HealthState, Server, upper_median
from ..state.histogram import ratio
from .fleet_condition import FleetMonitor

# Bounds of the relative latency by which a capacity is divided. They are narrower without stated
# sizes, since a fast server may then be a small one.
STATED_SIZE_BOUNDS = (0.5, 1.6)
UNSTATED_SIZE_BOUNDS = (0.75, 1.35)
# The guaranteed capacity of a slow server is divided by up to this.
MAX_GUARANTEE_REDUCTION = 3.0
# A cached endpoint list may lack servers of published tables. They count as healthy until a current
# list arrives, but no longer than this after the controller's start.
CACHED_LIST_TRUST_MS = 3_000.0


class CapacityEstimator:
    """Sets `relative_latency`, `capacity`, `guaranteed_capacity` and `health` of servers."""

    def __init__(self, settings: Settings, fleet: FleetMonitor) -> None:
        self._warm_up_ms = settings.warm_up_ms
        self._initial_share = settings.initial_capacity_share
        self._fleet = fleet
        bounds = STATED_SIZE_BOUNDS if settings.sizes_stated else UNSTATED_SIZE_BOUNDS
        self._min_latency_ratio, self._max_latency_ratio = bounds

    def update(
        self,
        servers: Iterable[Server],
        ready_servers: Sequence[Server],
        now_ms: float,
        unlisted_health: HealthState,
    ) -> None:
        """Updates every server; those that no list has named are at most in `unlisted_health`."""
        medians = [m for s in ready_servers if (m := s.latency.median()) is not None]
        fleet_median = upper_median(medians, None)
        for server in servers:
            progress = server.warm_up_progress(now_ms, self._warm_up_ms, self._initial_share)
            self._update_capacity(server, fleet_median, progress)
            server.health = _health(server, progress, unlisted_health)

    def _update_capacity(self, server: Server, fleet_median: float | None, progress: float) -> None:
        median = server.latency.median()
        latency = 1.0
        slowness = 0.0
        if median is not None:
            slowness = ratio(median - self._fleet.slow_position)
            if fleet_median is not None:
                latency = ratio(median - fleet_median)
        server.relative_latency = latency
        bounded = max(self._min_latency_ratio, min(self._max_latency_ratio, latency))
        server.capacity = server.size * progress / bounded
        # Low latency does not raise the guaranteed capacity: a server that warms up beside a
        # congested fleet seems fast. A server that is slow, by the median or by the objectives, is
        # close to overload.
        reduction = max(1.0, min(MAX_GUARANTEE_REDUCTION, max(latency, slowness)))
        server.guaranteed_capacity = server.size * progress / reduction


def health_of_unlisted(list_received: bool, controller_age_ms: float) -> HealthState:
    """The best health of servers that published tables name, but no endpoint list so far.

    Only a current list shows that they are gone. While none arrives they are better than none, and
    no more than that once the cached list is old.
    """
    if list_received:
        return UNAVAILABLE
    return UNHEALTHY if controller_age_ms > CACHED_LIST_TRUST_MS else HEALTHY


def _health(server: Server, progress: float, unlisted_health: HealthState) -> HealthState:
    if server.state is None and unlisted_health < HEALTHY:
        return unlisted_health
    if not (server.state is None or server.is_ready):
        return UNAVAILABLE
    if server.unhealthy_until_ms is not None:
        return UNHEALTHY
    return WARMING_UP if progress < 1 else HEALTHY
