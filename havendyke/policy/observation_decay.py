"""Decay of observations, so that recent ones outweigh earlier ones."""

from ..state import ObservedState
from ..state.fleet_capacity import FleetCapacity
from ..state.server import NEVER_MS

HALVING_INTERVAL_MS = 2_500.0
# Applied to a peak at each halving, so that it follows a shrinking fleet or zone within minutes.
FLEET_PEAK_DECAY_FACTOR = 0.98
ZONE_PEAK_DECAY_FACTOR = 0.95


class ObservationDecay:
    """Halves the histograms of servers and slices, and lowers peaks, once an interval."""

    def __init__(self) -> None:
        self._halved_ms = NEVER_MS

    def run(self, observed: ObservedState, fleet_capacity: FleetCapacity) -> None:
        """Decays all observations if the interval has elapsed."""
        if observed.now_ms < self._halved_ms + HALVING_INTERVAL_MS:
            return
        self._halved_ms = observed.now_ms
        for server in observed.servers:
            server.halve_histograms()
        for slice_ in observed.slices:
            slice_.requests.halve()
        fleet_capacity.decay(FLEET_PEAK_DECAY_FACTOR)
        for proxies in observed.connected_by_zone.values():
            proxies.peak = max(proxies.connected, ZONE_PEAK_DECAY_FACTOR * proxies.peak)
