"""Detects the loss of a whole zone, seconds before the endpoint list shows it.

The proxies of a lost zone disconnect at once. If they stay connected, most load reports on its
servers show failures within seconds. Servers of a lost zone restart with cold caches, and the
endpoint list shows the restart late; until then they count as started when the zone was lost.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..interface import Settings
from ..state import ConnectedProxyCount, Server
from .outlier_detection import OUTLIER_ERROR_RATE, RECENT_SUCCESS_INTERVALS

# With fewer servers in the reports, or fewer proxies at the peak, no conclusion is drawn.
MIN_REPORTED_SERVERS = 3
MIN_PEAK_PROXIES = 5
# A zone is lost if at most this share of its peak number of proxies is still connected.
LOST_PROXY_SHARE = 0.1


@dataclass(slots=True)
class ZoneReports:
    """Counts of recent load reports on one zone's servers."""

    servers: int = 0
    reports: int = 0
    failing_reports: int = 0

    @property
    def indicate_loss(self) -> bool:
        """Whether most reports, on enough servers, show failures."""
        return self.servers >= MIN_REPORTED_SERVERS and 2 * self.failing_reports > self.reports


class ZoneLossDetector:
    """Marks the servers of zones that are lost; writes `zone_lost_ms` of servers."""

    def __init__(self, settings: Settings) -> None:
        self._warm_up_ms = settings.warm_up_ms
        self._report_window_ms = RECENT_SUCCESS_INTERVALS * settings.report_interval_ms

    def mark_lost_servers(
        self,
        ready_servers: Iterable[Server],
        connected_by_zone: dict[int, ConnectedProxyCount],
        overloaded: bool,
        now_ms: float,
    ) -> None:
        """Marks ready servers of lost zones, unless those hold more than half of the candidates."""
        # Servers known to be warming up need no mark; an unknown zone cannot be lost.
        candidates = [
            server
            for server in ready_servers
            if server.zone >= 0
            and (server.started_ms is None or now_ms - server.started_ms >= self._warm_up_ms)
        ]
        lost_zones = self._zones_with_lost_proxies(connected_by_zone)
        if not overloaded:
            lost_zones |= self._zones_with_failing_reports(candidates, now_ms)
        lost = [server for server in candidates if server.zone in lost_zones]
        # Zones that fail one after the other add up while their servers are presumed to warm up.
        presumed_lost = [
            server
            for server in candidates
            if server.zone not in lost_zones and now_ms - server.zone_lost_ms < self._warm_up_ms
        ]
        # The loss of more than half is more likely a partition of this controller.
        if 2 * (len(lost) + len(presumed_lost)) <= len(candidates):
            for server in lost:
                server.zone_lost_ms = now_ms

    def _zones_with_failing_reports(self, servers: Sequence[Server], now_ms: float) -> set[int]:
        zones = recent_reports_by_zone(servers, now_ms - self._report_window_ms)
        return {zone for zone, reports in zones.items() if reports.indicate_loss}

    @staticmethod
    def _zones_with_lost_proxies(connected_by_zone: dict[int, ConnectedProxyCount]) -> set[int]:
        lost = {
            zone
            for zone, proxies in connected_by_zone.items()
            if proxies.peak >= MIN_PEAK_PROXIES
            and proxies.connected <= LOST_PROXY_SHARE * proxies.peak
        }
        # If most proxies of the other zones are disconnected as well, the relay has failed: zones
        # whose proxies reconnect one after the other were not lost.
        others = [proxies for zone, proxies in connected_by_zone.items() if zone not in lost]
        if 2 * sum(p.connected for p in others) > sum(p.peak for p in others):
            return lost
        return set()


def recent_reports_by_zone(
    servers: Iterable[Server], received_after_ms: float
) -> dict[int, ZoneReports]:
    """Counts recent load reports by the zone of the reported server."""
    zones: dict[int, ZoneReports] = defaultdict(ZoneReports)
    for server in servers:
        recent = [
            report
            for report in server.failure_reports.values()
            if report.received_ms > received_after_ms
        ]
        if recent:
            zone = zones[server.zone]
            zone.servers += 1
            zone.reports += len(recent)
            zone.failing_reports += sum(
                report.failed_share > OUTLIER_ERROR_RATE for report in recent
            )
    return zones
