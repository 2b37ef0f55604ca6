"""Observed state of servers, slices, proxies and pushes; contains no policy."""

from .histogram import DecayingHistogram, upper_median
from .observed import ObservedState
from .proxy import ConnectedProxyCount, Proxy, connections_per_server, serial_acknowledged_by
from .push import Push, PushChannel
from .random_numbers import LinearCongruentialGenerator
from .rendezvous import rendezvous_hash, rounding_offset
from .server import (
    HEALTHY,
    UNAVAILABLE,
    UNHEALTHY,
    WARMING_UP,
    HealthState,
    Server,
    ZoneLoadReport,
)
from .slice import Slice, slices_by_server, unreferenced_servers

__all__ = [
    "HEALTHY",
    "UNAVAILABLE",
    "UNHEALTHY",
    "WARMING_UP",
    "ConnectedProxyCount",
    "DecayingHistogram",
    "HealthState",
    "LinearCongruentialGenerator",
    "ObservedState",
    "Proxy",
    "Push",
    "PushChannel",
    "Server",
    "Slice",
    "ZoneLoadReport",
    "serial_acknowledged_by",
    "connections_per_server",
    "unreferenced_servers",
    "upper_median",
    "rendezvous_hash",
    "rounding_offset",
    "slices_by_server",
]
