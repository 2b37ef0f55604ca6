"""Detects the loss of a whole zone, seconds before the endpoint list shows it.

Servers of a lost zone restart with cold caches, and the endpoint list shows the restart late; until
then they count as started when the zone was lost. Two signs tell of a loss:

- most load reports on the zone's servers show failures;
- almost all proxies of the zone have disconnected. They disconnect at once, seconds before the
  first report, but say nothing of the servers: the proxies may have lost the relay alone. This sign
  is therefore withdrawn as soon as load reports show that the servers have served without a break,
  and when reports arrive, but none has shown a failure by the time at which one must have.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil

from ..interface import Settings
from ..state import ConnectedProxyCount, Server, ZoneLoadReport
from .outlier_detection import OUTLIER_ERROR_RATE, RECENT_SUCCESS_INTERVALS

# With fewer servers in the reports, or fewer proxies at the peak, no conclusion is drawn.
MIN_REPORTED_SERVERS = 3
MIN_PEAK_PROXIES = 5
# A zone is lost if at most this share of its peak number of proxies is still connected.
LOST_PROXY_SHARE = 0.1
# A server whose reports show at most this share of failures has served without a break.
SERVING_ERROR_RATE = 0.05
# Upper bound of the time between the end of a report's window and its arrival.
MAX_REPORT_DELAY_MS = 2_000.0


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


@dataclass(frozen=True, slots=True)
class LossSigns:
    """The signs of a zone's loss that hold at one time."""

    proxies_disconnected: bool = False
    reports_failing: bool = False

    def adds_to(self, earlier: "LossSigns") -> bool:
        """Whether a sign holds that did not hold earlier."""
        return (self.proxies_disconnected and not earlier.proxies_disconnected) or (
            self.reports_failing and not earlier.reports_failing
        )


NO_SIGNS = LossSigns()


@dataclass(slots=True)
class SuspectedLoss:
    """What is known of one zone since the last sign of its loss appeared."""

    since_ms: float
    last_sign_ms: float
    signs: LossSigns
    reports_have_failed: bool = False  # the sign `reports_failing` has held since then
    refuted: bool = False  # the proxies disconnected, but the servers serve
    failed_servers: set[Server] = field(default_factory=set)
    # Not reported for some time, in which they may have restarted.
    unobserved_servers: set[Server] = field(default_factory=set)
    # The values of `zone_lost_ms` that the suspicion has replaced.
    replaced_marks: dict[Server, float] = field(default_factory=dict)

    @property
    def indicates_loss(self) -> bool:
        """Whether the zone counts as lost now."""
        return self.signs.reports_failing or (self.signs.proxies_disconnected and not self.refuted)

    def renewed(self, signs: LossSigns, now_ms: float) -> "SuspectedLoss":
        """The suspicion after a sign has appeared; what it marked before stays in doubt."""
        marks = {
            server: earlier_ms
            for server, earlier_ms in self.replaced_marks.items()
            if server not in self.failed_servers
        }
        return SuspectedLoss(now_ms, now_ms, signs, replaced_marks=marks)

    def has_served(self, server: Server) -> bool:
        """Whether reports show that the server has served without a break since the sign."""
        return (
            server not in self.failed_servers
            and server not in self.unobserved_servers
            and _serves_since(server, self.since_ms)
        )

    def mark(self, server: Server, now_ms: float) -> None:
        """Presumes that the server restarts, at the earliest now."""
        self.replaced_marks.setdefault(server, server.zone_lost_ms)
        server.zone_lost_ms = now_ms

    def unmark(self, server: Server) -> None:
        """Withdraws the presumption, unless an earlier one still holds."""
        earlier_ms = self.replaced_marks.pop(server, None)
        if earlier_ms is not None:
            server.zone_lost_ms = earlier_ms
            # It may have lost slices meanwhile.
            server.recovering = True


class ZoneLossDetector:
    """Marks the servers of zones that are lost.

    Writes `zone_lost_ms` of servers, and `recovering` where a mark is withdrawn.
    """

    def __init__(self, settings: Settings) -> None:
        self._warm_up_ms = settings.warm_up_ms
        self._report_window_ms = RECENT_SUCCESS_INTERVALS * settings.report_interval_ms
        longest_deadline_ms = max(c.deadline_ms for c in settings.request_classes)
        # A request to a server that does not answer fails by its deadline at the latest, and the
        # report on it arrives one interval and one delay later.
        self._failure_due_ms = (
            longest_deadline_ms + settings.report_interval_ms + MAX_REPORT_DELAY_MS
        )
        self._suspected: dict[int, SuspectedLoss] = {}  # by zone

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
        failing_zones = (
            set() if overloaded else self._zones_with_failing_reports(candidates, now_ms)
        )
        self._update_signs(_zones_with_lost_proxies(connected_by_zone), failing_zones, now_ms)
        if self._suspected:
            self._withdraw_refuted(candidates, now_ms)
            self._mark(candidates, now_ms)

    def _update_signs(
        self, zones_without_proxies: set[int], failing_zones: set[int], now_ms: float
    ) -> None:
        """Records which signs hold; a sign that appears renews the suspicion."""
        for zone in self._suspected.keys() | zones_without_proxies | failing_zones:
            signs = LossSigns(zone in zones_without_proxies, zone in failing_zones)
            known = self._suspected.get(zone)
            if known is None:
                known = self._suspected[zone] = SuspectedLoss(now_ms, now_ms, signs)
            elif signs.adds_to(known.signs):
                known = self._suspected[zone] = known.renewed(signs, now_ms)
            known.signs = signs
            known.reports_have_failed |= signs.reports_failing
            if signs != NO_SIGNS:
                known.last_sign_ms = now_ms
            elif known.refuted or now_ms - known.last_sign_ms >= self._warm_up_ms:
                del self._suspected[zone]

    def _withdraw_refuted(self, candidates: Iterable[Server], now_ms: float) -> None:
        """Withdraws marks of servers that have served since the suspicion began.

        Where only the proxies have disconnected, the servers of a zone speak for those that no
        report names.
        """
        servers_of: dict[int, list[Server]] = defaultdict(list)
        for server in candidates:
            servers_of[server.zone].append(server)
        reports_arrive = any(
            _is_reported_since(server, now_ms - self._report_window_ms) for server in candidates
        )
        for zone, suspected in self._suspected.items():
            servers = servers_of[zone]
            self._observe(suspected, servers, now_ms)
            serving = [server for server in servers if suspected.has_served(server)]
            if not suspected.reports_have_failed:
                suspected.refuted = (
                    suspected.refuted
                    or len(serving) > len(suspected.failed_servers)
                    or (reports_arrive and self._lacks_due_failure(suspected, now_ms))
                )
            for server in servers if suspected.refuted else serving:
                if server not in suspected.failed_servers:
                    suspected.unmark(server)

    def _observe(self, suspected: SuspectedLoss, servers: Iterable[Server], now_ms: float) -> None:
        """Records which servers have failed, or were not reported for some time."""
        for server in servers:
            if _fails_since(server, suspected.since_ms - self._report_window_ms):
                suspected.failed_servers.add(server)
            if not _is_reported_since(server, now_ms - self._report_window_ms):
                suspected.unobserved_servers.add(server)

    def _lacks_due_failure(self, suspected: SuspectedLoss, now_ms: float) -> bool:
        """Whether no report shows a failure although one would have arrived by now."""
        overdue = now_ms - suspected.since_ms > self._failure_due_ms
        return overdue and not suspected.failed_servers

    def _mark(self, candidates: Sequence[Server], now_ms: float) -> None:
        lost = {zone: each for zone, each in self._suspected.items() if each.indicates_loss}
        # Zones that fail one after the other add up while their servers are presumed to warm up.
        presumed_lost = sum(
            server.zone in lost or now_ms - server.zone_lost_ms < self._warm_up_ms
            for server in candidates
        )
        # The loss of more than half is more likely a partition of this controller.
        if 2 * presumed_lost > len(candidates):
            return
        for server in candidates:
            suspected = lost.get(server.zone)
            if suspected is not None and not suspected.has_served(server):
                suspected.mark(server, now_ms)

    def _zones_with_failing_reports(self, servers: Sequence[Server], now_ms: float) -> set[int]:
        zones = recent_reports_by_zone(servers, now_ms - self._report_window_ms)
        return {zone for zone, reports in zones.items() if reports.indicate_loss}


def _zones_with_lost_proxies(connected_by_zone: dict[int, ConnectedProxyCount]) -> set[int]:
    lost = {zone for zone, proxies in connected_by_zone.items() if _are_lost(proxies)}
    # If most proxies of the other zones are disconnected as well, the relay has failed: zones
    # whose proxies reconnect one after the other were not lost.
    others = [proxies for zone, proxies in connected_by_zone.items() if zone not in lost]
    if 2 * sum(p.connected for p in others) > sum(p.peak for p in others):
        return lost
    return set()


def _are_lost(proxies: ConnectedProxyCount) -> bool:
    """Whether almost all proxies of a zone that had enough of them have disconnected."""
    # Rounded up, since the peak begins to fade as soon as the proxies are gone.
    enough = ceil(proxies.peak) >= MIN_PEAK_PROXIES
    return enough and proxies.connected <= LOST_PROXY_SHARE * proxies.peak


def _fails_since(server: Server, since_ms: float) -> bool:
    """Whether a report that arrived later shows a break of the server's service."""
    return any(
        report.received_ms > since_ms and report.failed_share > SERVING_ERROR_RATE
        for report in server.zone_reports.values()
    )


def _is_reported_since(server: Server, since_ms: float) -> bool:
    return any(report.received_ms > since_ms for report in server.zone_reports.values())


def _serves_since(server: Server, since_ms: float) -> bool:
    """Whether a report on requests that were all sent later shows that the server serves."""
    return any(
        _window_start_ms(report) >= since_ms and report.failed_share <= SERVING_ERROR_RATE
        for report in server.zone_reports.values()
    )


def _window_start_ms(report: ZoneLoadReport) -> float:
    """The earliest time at which the window of a report can have begun."""
    return report.received_ms - report.window_ms - MAX_REPORT_DELAY_MS


def recent_reports_by_zone(
    servers: Iterable[Server], received_after_ms: float
) -> dict[int, ZoneReports]:
    """Counts recent load reports by the zone of the reported server."""
    zones: dict[int, ZoneReports] = defaultdict(ZoneReports)
    for server in servers:
        recent = [
            report
            for report in server.zone_reports.values()
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
