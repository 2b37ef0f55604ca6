"""Outlier detection: marks servers unhealthy for an ejection time.

A server is an outlier because of refused connections, unanswered health checks, or failed attempts
that overload and exhausted connections do not explain. An unhealthy server gets no new slices until
its ejection time is over.
"""

from collections.abc import Sequence

from ..interface import HealthCheckOutcome, HealthCheckResult, Settings
from ..state import DecayingHistogram, Server
from .fleet_condition import FleetMonitor
from .observation_decay import HALVING_INTERVAL_MS

# Numbers of consecutive failures that make a server an outlier.
CONSECUTIVE_CONNECT_FAILURES = 2
CONSECUTIVE_UNANSWERED_CHECKS = 3
# A saturated server answers late, so this many times as many unanswered checks are required.
SATURATED_CHECK_FACTOR = 5
# A success counts as recent for this many report intervals.
RECENT_SUCCESS_INTERVALS = 1.6
# Successes that must be overdue, at the server's previous rate, to tell it from a saturated one;
# fewer may be missing by chance.
MIN_MISSED_SUCCESSES = 2.0
OUTLIER_ERROR_RATE = 0.3
MIN_ATTEMPTS = 6.0
BASE_EJECTION_TIME_MS = 5_000.0
MAX_EJECTION_TIME_MS = 20_000.0
# Positions of the in-flight histograms above the fleet's median at which a server is saturated.
SATURATED_IN_FLIGHT_MARGIN = 2


class OutlierDetector:
    """Marks outliers unhealthy, and removes the mark after their ejection time.

    Writes `unhealthy_until_ms`, `ejection_time_ms`, `failing` and `recovering` of servers.
    """

    def __init__(self, settings: Settings, fleet: FleetMonitor) -> None:
        self._report_interval_ms = settings.report_interval_ms
        self._fleet = fleet

    @staticmethod
    def reaches_threshold(result: HealthCheckResult) -> bool:
        """Whether this result, already applied, may make its server an outlier.

        Only such a result triggers an immediate reconciliation: one for each late answer in a large
        fleet would occupy a whole core.
        """
        server = result.server
        return (
            result.outcome != HealthCheckOutcome.PASSED
            and server.unhealthy_until_ms is None
            and (
                server.consecutive_connect_failures == CONSECUTIVE_CONNECT_FAILURES
                or server.unanswered_checks
                in (
                    CONSECUTIVE_UNANSWERED_CHECKS,
                    CONSECUTIVE_UNANSWERED_CHECKS * SATURATED_CHECK_FACTOR,
                )
            )
        )

    def evaluate(
        self, ready_servers: Sequence[Server], now_ms: float, last_success_ms: float
    ) -> None:
        """Updates every ready server; `last_success_ms` is the latest success at any server."""
        outliers = [
            server for server in ready_servers if self._is_outlier(server, now_ms, last_success_ms)
        ]
        # A majority indicates a partition or stall of this controller, or overload.
        if 2 * len(outliers) > len(ready_servers):
            return
        for server in outliers:
            if server.unhealthy_until_ms is None:
                self._eject(server, now_ms)

    @staticmethod
    def _eject(server: Server, now_ms: float) -> None:
        # Doubled each time, since a server that is ejected again was readmitted too early.
        server.ejection_time_ms = min(
            max(2 * server.ejection_time_ms, BASE_EJECTION_TIME_MS), MAX_EJECTION_TIME_MS
        )
        server.unhealthy_until_ms = now_ms + server.ejection_time_ms
        server.attempt_outcomes = DecayingHistogram(2)

    def _is_outlier(self, server: Server, now_ms: float, last_success_ms: float) -> bool:
        succeeded, failed = server.attempt_outcomes.bins
        attempts = succeeded + failed
        server.failing = attempts >= MIN_ATTEMPTS and failed > OUTLIER_ERROR_RATE * attempts
        if self._has_recovered(server, now_ms):
            server.unhealthy_until_ms = None
            server.recovering = True
            return False
        return (
            server.unhealthy_until_ms is not None
            or server.consecutive_connect_failures >= CONSECUTIVE_CONNECT_FAILURES
            or self._is_unresponsive(server, now_ms, last_success_ms)
            or (server.failing and self._has_own_failures(server, now_ms))
        )

    @staticmethod
    def _has_recovered(server: Server, now_ms: float) -> bool:
        return (
            server.unhealthy_until_ms is not None
            and now_ms > server.unhealthy_until_ms
            and not server.consecutive_connect_failures + server.unanswered_checks
        )

    def _has_own_failures(self, server: Server, now_ms: float) -> bool:
        # A saturated server fails too, but with high latency; its slices would overload the next
        # server. A server without free connections also fails, and its slices would exhaust the
        # connections of the next one. In a lost zone, a slow server does not count as saturated.
        condition = self._fleet.condition
        zone_lost_now = server.zone_lost_ms == now_ms
        saturated = self._fleet.is_slow(server) and not zone_lost_now
        return not (saturated or condition.overloaded or condition.connections_exhausted)

    def _is_unresponsive(self, server: Server, now_ms: float, last_success_ms: float) -> bool:
        if server.unanswered_checks < CONSECUTIVE_UNANSWERED_CHECKS:
            return False
        # Unanswered checks count only while other servers succeed, since the controller's own
        # network may be at fault.
        recent_ms = RECENT_SUCCESS_INTERVALS * self._report_interval_ms
        if not now_ms - last_success_ms < recent_ms < now_ms - server.last_success_ms:
            return False
        return (
            server.unanswered_checks >= CONSECUTIVE_UNANSWERED_CHECKS * SATURATED_CHECK_FACTOR
            or not self._may_be_saturated(server, now_ms)
        )

    def _may_be_saturated(self, server: Server, now_ms: float) -> bool:
        condition = self._fleet.condition
        if condition.overloaded:
            return True
        # The histogram of outcomes covers 1.5 halving intervals on average.
        missed = (
            server.attempt_outcomes.bins[0]
            * (now_ms - server.last_success_ms)
            / (1.5 * HALVING_INTERVAL_MS)
        )
        if missed < MIN_MISSED_SUCCESSES:
            return True
        # Distant servers are slow as well, but have no more requests in flight than others.
        in_flight = server.in_flight.median()
        return self._fleet.is_slow(server) and (
            in_flight is None or in_flight > condition.median_in_flight + SATURATED_IN_FLIGHT_MARGIN
        )
