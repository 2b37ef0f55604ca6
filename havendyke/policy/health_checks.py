"""Schedules the health checks of servers."""

from ..interface import SendHealthCheck, Settings
from ..state import LinearCongruentialGenerator, ObservedState, Server
from .pacing import TICK_INTERVAL_MS, TIMER_SLACK_MS, MigrationPace

MIN_CHECK_INTERVAL_MS = 500.0
# Checks of one server, summed over all controllers whose tables contain it.
CHECKS_PER_SERVER_PER_S = 5.0
# While a check is pending, the next one waits for at least this many minimum intervals.
PENDING_INTERVALS = 4


class HealthCheckScheduler:
    """Orders health checks at bounded rates.

    Writes `last_check_ms` and `check_in_flight` of servers.
    """

    def __init__(self, settings: Settings, seed: int, pace: MigrationPace) -> None:
        self._enabled = settings.health_checks
        self._has_slices = bool(settings.slice_count)
        self._controller_count = settings.controller_count
        self._pace = pace
        self._random = LinearCongruentialGenerator(seed)

    def due(self, observed: ObservedState) -> list[SendHealthCheck]:
        """Returns the health checks that are due now."""
        if not self._enabled:
            return []
        # A server is the primary of some controllers' slices, and a standby for about as many
        # other controllers. All of these share the rate. The remaining controllers share the same
        # rate once more, so that the total is at most twice as high.
        user_count = float(self._controller_count)
        if self._has_slices:
            user_count = min(self._controller_count, 2.0 * self._pace.controllers_per_server)
        used_servers = _servers_in_desired_tables(observed)
        orders = []
        for server in observed.ready_servers():
            sharing = user_count if server in used_servers else self._controller_count
            interval_ms = max(MIN_CHECK_INTERVAL_MS, 1000.0 * sharing / CHECKS_PER_SERVER_PER_S)
            if self._is_due(server, interval_ms, observed.now_ms):
                server.last_check_ms = observed.now_ms
                server.check_in_flight = True
                orders.append(SendHealthCheck(server))
        return orders

    def _is_due(self, server: Server, interval_ms: float, now_ms: float) -> bool:
        if server.last_check_ms is None:
            # A random phase, so that the servers are not all checked at the same moment.
            server.last_check_ms = now_ms - interval_ms * self._random.draw()
        if server.check_in_flight:
            wait_ms = max(interval_ms, PENDING_INTERVALS * MIN_CHECK_INTERVAL_MS)
        elif server.consecutive_connect_failures + server.unanswered_checks:
            wait_ms = max(TICK_INTERVAL_MS, interval_ms / 2)
        else:
            wait_ms = interval_ms
        return now_ms - server.last_check_ms > wait_ms - TIMER_SLACK_MS


def _servers_in_desired_tables(observed: ObservedState) -> set[Server]:
    return {server for slice_ in observed.assigned_slices() for server in slice_.desired}
