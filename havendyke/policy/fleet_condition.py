"""Assesses whether the fleet as a whole is overloaded, congested or short of connections."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..interface import Settings
from ..state import Proxy, Server, connections_per_server, upper_median
from ..state.histogram import latency_position

# Shares of failed attempts. An overloaded fleet, or one with elevated errors, stays so until the
# share falls to `RECOVERED_ERROR_RATE`.
OVERLOADED_ERROR_RATE = 0.06  # of the median server
ELEVATED_ERROR_RATE = 0.06  # of all attempts
RECOVERED_ERROR_RATE = 0.02
COLLAPSED_ERROR_RATE = 0.3  # of all attempts
# A server is slow if its latency reaches this share of the shortest latency objective.
SLOW_SHARE_OF_OBJECTIVE = 0.4
MIN_SLOW_LATENCY_MS = 9.0
# The traffic during a burst, as a multiple of the expected request rate.
BURST_FACTOR = 1.5


@dataclass(slots=True)
class FleetCondition:
    """The condition of the fleet that policy modules act on.

    `FleetMonitor`, `ConnectionMonitor` and `AdmissionController` set it.
    """

    overloaded: bool = False  # the median server fails
    congested: bool = False  # the median server is slow
    collapsed: bool = False  # congested, and many attempts fail
    errors_elevated: bool = False  # over all attempts at all servers
    connections_exhausted: bool = False  # a burst would use all connections of a server
    # Share of requests that proxies admit. An increase counts from the next adjustment on, when its
    # load has been reported.
    admitted_share: float = 1.0
    completed_share: float = 1.0  # of all attempts that ended
    median_in_flight: float = 0.0  # over servers, as a position of the in-flight histograms

    @property
    def load_shed(self) -> bool:
        """Whether proxies reject requests, or did until the last adjustment."""
        return self.admitted_share < 1.0


class FleetMonitor:
    """Assesses the condition of the fleet from the reports on all ready servers."""

    def __init__(self, settings: Settings) -> None:
        shortest_ms = min(c.latency_objective_ms for c in settings.request_classes)
        self.condition = FleetCondition()
        # A position of the latency histograms.
        self.slow_position = latency_position(
            max(SLOW_SHARE_OF_OBJECTIVE * shortest_ms, MIN_SLOW_LATENCY_MS)
        )

    def is_slow(self, server: Server) -> bool:
        """Whether the server's median latency endangers the shortest latency objective."""
        return (server.latency.median() or 0.0) >= self.slow_position

    def assess(self, ready_servers: Sequence[Server]) -> None:
        """Updates the condition, with hysteresis for overload and elevated errors."""
        condition = self.condition
        condition.median_in_flight = upper_median(
            [server.in_flight.median() or 0.0 for server in ready_servers], 0.0
        )
        outcomes = [server.attempt_outcomes.bins for server in ready_servers]
        # If even the median server fails, all are saturated or unreachable, and moving traffic off
        # one server would overload the next.
        median_error_rate = upper_median(
            [failed / max(1.0, succeeded + failed) for succeeded, failed in outcomes], 0.0
        )
        condition.overloaded = median_error_rate > (
            RECOVERED_ERROR_RATE if condition.overloaded else OVERLOADED_ERROR_RATE
        )
        condition.congested = self._median_latency(ready_servers) >= self.slow_position
        all_failed = sum(failed for _, failed in outcomes)
        attempts = sum(succeeded for succeeded, _ in outcomes) + all_failed
        condition.errors_elevated = all_failed > attempts * (
            RECOVERED_ERROR_RATE if condition.errors_elevated else ELEVATED_ERROR_RATE
        )
        condition.collapsed = condition.congested and all_failed > COLLAPSED_ERROR_RATE * attempts
        condition.completed_share = 1.0 - all_failed / max(1.0, attempts)

    def _median_latency(self, servers: Iterable[Server]) -> float:
        # Without a success at any ready server, the fleet counts as congested.
        latencies = [
            server.latency.median() or 0.0 for server in servers if server.attempt_outcomes.bins[0]
        ]
        return upper_median(latencies, self.slow_position)


class ConnectionMonitor:
    """Sets `connections_exhausted`, estimated from the request rates of proxies."""

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
