"""Whether the fleet as a whole is overloaded, congested or short of connections."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..interface import Settings
from ..state import Server, middle_of
from ..state.histogram import latency_position

# Shares of failed attempts. A fleet that is overloaded, or has elevated errors, stays so until the
# share falls to `RECOVERED_ERROR_RATE`.
OVERLOADED_ERROR_RATE = 0.06  # of the middle server
ELEVATED_ERROR_RATE = 0.06  # of all attempts
RECOVERED_ERROR_RATE = 0.02
COLLAPSED_ERROR_RATE = 0.3  # of all attempts
# A server is slow from this share of the shortest latency objective on.
SLOW_SHARE_OF_OBJECTIVE = 0.4
MIN_SLOW_LATENCY_MS = 9.0


@dataclass(slots=True)
class FleetCondition:
    """What policy modules ask about the fleet.

    `FleetMonitor`, `ConnectionMonitor` and `AdmissionController` set it.
    """

    overloaded: bool = False  # the middle server fails
    congested: bool = False  # the middle server is slow
    collapsed: bool = False  # congested, and many attempts fail
    errors_elevated: bool = False  # among all attempts, at any server
    connections_exhausted: bool = False  # a burst would take every connection a server has
    # Of the requests; kept for an adjustment after it has risen, until the load that returns shows.
    admitted_share: float = 1.0
    completed_share: float = 1.0  # of all attempts that ended
    median_in_flight: float = 0.0  # of the middle server, a position of the in-flight histograms

    @property
    def load_shed(self) -> bool:
        """Whether proxies reject requests, or did until an adjustment ago."""
        return self.admitted_share < 1.0


class FleetMonitor:
    """Assesses the condition of the fleet from the reports of all ready servers."""

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
        """Updates the condition; being overloaded and elevated errors have hysteresis."""
        condition = self.condition
        condition.median_in_flight = middle_of(
            [server.in_flight.median() or 0.0 for server in ready_servers], 0.0
        )
        outcomes = [server.outcomes.bins for server in ready_servers]
        # Where the middle server fails too, all are full or cut off: taking traffic off one server
        # overloads the next.
        middle_error_rate = middle_of(
            [failed / max(1.0, succeeded + failed) for succeeded, failed in outcomes], 0.0
        )
        condition.overloaded = middle_error_rate > (
            RECOVERED_ERROR_RATE if condition.overloaded else OVERLOADED_ERROR_RATE
        )
        condition.congested = self._middle_latency(ready_servers) >= self.slow_position
        all_failed = sum(failed for _, failed in outcomes)
        attempts = sum(succeeded for succeeded, _ in outcomes) + all_failed
        condition.errors_elevated = all_failed > attempts * (
            RECOVERED_ERROR_RATE if condition.errors_elevated else ELEVATED_ERROR_RATE
        )
        condition.collapsed = condition.congested and all_failed > COLLAPSED_ERROR_RATE * attempts
        condition.completed_share = 1.0 - all_failed / max(1.0, attempts)

    def _middle_latency(self, servers: Iterable[Server]) -> float:
        latencies = [
            server.latency.median() or 0.0 for server in servers if server.outcomes.bins[0]
        ]
        return middle_of(latencies, self.slow_position)
