"""Observed state of a proxy, and aggregates over connected proxies."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .server import Server


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
        # Acknowledgements of the pushes up to this one may have been missed.
        self.missed_serial = 0
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


class EjectionConfirmations:
    """Marks the servers whose ejection, or its end, connected proxies may not have applied.

    A proxy keeps the ejections that it has applied over a lost stream and over a restart of the
    controller.
    """

    def __init__(self, servers: Sequence[Server]) -> None:
        """`servers`: all known servers, a list that grows."""
        self._servers = servers
        # Whether proxies may apply ejections of an earlier process, also of servers in no table.
        self.inherited = False
        # The lowest of the pushes that proxies connected since the last marking had applied.
        self._lowest_applied_serial: int | None = None

    def inherit(self) -> None:
        """Marks every server: an earlier process of this controller may have ejected any."""
        if self.inherited:
            return
        self.inherited = True
        for server in self._servers:
            server.ejection_unconfirmed = True

    def proxy_connected(self, proxy: Proxy, first_connection: bool) -> None:
        """Records what a proxy that connects may have missed."""
        if not first_connection and not proxy.known:
            self.inherit()
        proxy.known = True
        lowest = self._lowest_applied_serial
        if lowest is None or proxy.applied_serial < lowest:
            self._lowest_applied_serial = proxy.applied_serial

    def mark_missed(self) -> None:
        """If proxies have connected, marks the ejections to be sent again.

        These are all of this process, and those of an earlier one whose end the proxies may have
        missed. Called once per reconciliation, since the whole fleet may reconnect during one.
        """
        applied_serial, self._lowest_applied_serial = self._lowest_applied_serial, None
        if applied_serial is None:
            return
        for server in self._servers:
            missed = self.inherited and server.ejection_serial > applied_serial
            if server.ever_ejected or missed:
                server.ejection_unconfirmed = True


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
