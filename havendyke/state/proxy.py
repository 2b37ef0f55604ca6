"""Observed state of a proxy, and aggregates over connected proxies."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp


class Proxy:
    """A proxy, its stream and the last push that it acknowledged."""

    def __init__(self, proxy_id: int) -> None:
        self.id = proxy_id
        self.connected = False
        self.request_rate = 1.0  # requests per second
        self.zone = 0
        self.known = False  # has connected to this process
        self.acknowledged_serial = 0  # 0: no push acknowledged on this stream
        self.applied_serial = 0  # the last push acknowledged on any stream
        self.bound = False  # to its shared tables, in a deployment without slices


@dataclass(slots=True)
class ConnectedProxyCount:
    """The number of connected proxies of a zone, and its recent peak."""

    connected: int = 0
    peak: float = 0.0

    def adjust(self, difference: int) -> None:
        """Adds proxies that connected, or subtracts (negative) those that disconnected."""
        self.connected += difference
        self.peak = max(self.peak, self.connected)


def serial_acknowledged_by(proxies: Iterable[Proxy], traffic_share: float) -> int:
    """The last push that proxies with at least this share of the traffic have acknowledged."""
    connected = sorted((p for p in proxies if p.connected), key=lambda p: -p.acknowledged_serial)
    missing_rate = traffic_share * sum(p.request_rate for p in connected)
    serial = 0
    for proxy in connected:
        if missing_rate > 0:
            missing_rate -= proxy.request_rate
            serial = proxy.acknowledged_serial
    return serial


def connections_per_server(proxies: Iterable[Proxy], server_count: int, idle_ms: float) -> float:
    """The expected number of open connections per server, if load is spread evenly.

    A proxy keeps a connection open for `idle_ms` after its last request.
    """
    idle_s_per_server = idle_ms / 1000.0 / max(server_count, 1)
    return sum(1.0 - exp(-p.request_rate * idle_s_per_server) for p in proxies if p.connected)
