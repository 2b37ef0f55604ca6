"""Estimates the demand of each slice, and the load that its slices put on each server."""

from collections.abc import Iterable, Sequence

from ..interface import Settings
from ..state import Server, Slice
from .observation_decay import HALVING_INTERVAL_MS

# The mean time that a decaying histogram covers. A slice assigned for longer has counts comparable
# to those of others.
OBSERVATION_TIME_MS = 1.5 * HALVING_INTERVAL_MS
# A slice without requests still uses some resources.
MIN_DEMAND = 0.1


class DemandEstimator:
    """Sets `demand` of slices, `assigned_load` and `assigned_slices` of servers.

    Demand is relative: 1 is the mean of the assigned slices. `observed` tells whether any requests
    have been reported; until then each slice has a demand of 1.
    """

    def __init__(self, settings: Settings) -> None:
        # The cost of a request is not reported; a longer latency objective suggests a higher one.
        self._cost_by_class = [c.latency_objective_ms for c in settings.request_classes]
        self.observed = False

    def update(self, slices: Sequence[Slice], servers: Iterable[Server], now_ms: float) -> float:
        """Estimates the demand of the assigned slices and returns the total."""
        # The part of the observation time without reports counts with the mean demand; otherwise
        # new slices would appear to have none.
        observed_shares = [
            max(0.0, min(1.0, (now_ms - slice_.observed_since_ms) / OBSERVATION_TIME_MS))
            for slice_ in slices
        ]
        work = [self._reported_work(slice_) for slice_ in slices]
        mean = sum(work) / max(1.0, sum(observed_shares))
        self.observed = sum(work) > 0
        demands = []
        for slice_, reported, share in zip(slices, work, observed_shares, strict=True):
            demand = 1.0
            if mean:
                demand = MIN_DEMAND + (1 - MIN_DEMAND) * (reported / mean + 1 - share)
            slice_.demand = demand
            demands.append(demand)
        _assign_load(slices, servers)
        return sum(demands)

    def _reported_work(self, slice_: Slice) -> float:
        return sum(
            cost * requests
            for cost, requests in zip(self._cost_by_class, slice_.requests.bins, strict=True)
        )


def _assign_load(slices: Iterable[Slice], servers: Iterable[Server]) -> None:
    for server in servers:
        server.assigned_load = 0.0
        server.assigned_slices = []
    for slice_ in slices:
        primary = slice_.primary()
        if primary is not None:
            primary.assigned_load += demand_of(slice_)
            primary.assigned_slices.append(slice_)


def demand_of(slice_: Slice) -> float:
    """Returns the slice's demand, 0 before the first estimate."""
    return slice_.demand or 0.0
