"""Schedules health checks: which servers are checked, and when."""

from ..interface import SendHealthCheck, Settings
from ..state import LinearCongruentialGenerator, ObservedState, Server
from .pacing import MigrationPace
from .tick import TICK_INTERVAL_MS

MIN_CHECK_INTERVAL_MS = 500.0
# Checks that one server gets from the controllers whose tables name it, together.
CHECKS_PER_SERVER_PER_S = 5.0
# A check may stay without a result for this many of the shortest intervals before the next.
PENDING_INTERVALS = 4
# Timers fire up to this much early; a check would wait a whole tick more.
TIMER_SLACK_MS = 1


class HealthCheckScheduler:
    """Orders health checks; writes `last_check_ms` and `check_in_flight` of servers."""

    def __init__(self, settings: Settings, seed: int, pace: MigrationPace) -> None:
        self._enabled = settings.health_checks
        self._sliced = bool(settings.slice_count)
        self._controller_count = settings.controller_count
        self._pace = pace
        self._random = LinearCongruentialGenerator(seed)

    def due(self, observed: ObservedState) -> list[SendHealthCheck]:
        """The health checks that are due now."""
        if not self._enabled:
            return []
        # A server is primary of some controllers' slices and standby of about as many others'. The
        # rate is divided among these; all other controllers together add at most the same again.
        checkers = float(self._controller_count)
        if self._sliced:
            checkers = min(self._controller_count, 2.0 * self._pace.controllers_per_server)
        named = _servers_in_desired_tables(observed)
        orders = []
        for server in observed.ready_servers():
            shared_by = checkers if server in named else self._controller_count
            interval_ms = max(MIN_CHECK_INTERVAL_MS, 1000.0 * shared_by / CHECKS_PER_SERVER_PER_S)
            if self._is_due(server, interval_ms, observed.now_ms):
                server.last_check_ms = observed.now_ms
                server.check_in_flight = True
                orders.append(SendHealthCheck(server))
        return orders

    def _is_due(self, server: Server, interval_ms: float, now_ms: float) -> bool:
        if server.last_check_ms is None:
            # Otherwise all servers would be checked at the same moment.
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
