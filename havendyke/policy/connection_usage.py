"""Estimates the servers' open connections from the request rates of proxies."""

from collections.abc import Iterable

from ..interface import Settings
from ..state import Proxy, connections_per_server
from .fleet_condition import FleetCondition

# The traffic during a burst, as a multiple of the expected request rate.
BURST_FACTOR = 1.5


class ConnectionMonitor:
    """Sets `connections_exhausted` of the fleet's condition."""

    def __init__(self, settings: Settings, condition: FleetCondition) -> None:
        self._capacity = settings.connection_capacity
        self._idle_ms = settings.connection_idle_ms
        self._condition = condition
        self._last_counts: tuple[int, int] | None = None

    def update(self, proxies: Iterable[Proxy], ready_server_count: int) -> None:
        """Repeats the estimate when the number of proxies or servers has changed."""
        connected = [proxy for proxy in proxies if proxy.connected]
        counts = len(connected), ready_server_count
        if counts == self._last_counts:
            return
        self._last_counts = counts
        open_share = 0.0
        if self._capacity:
            in_use = connections_per_server(connected, ready_server_count, self._idle_ms)
            open_share = in_use / self._capacity
        self._condition.connections_exhausted = BURST_FACTOR * open_share > 1.0
