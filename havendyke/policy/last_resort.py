"""Last resort: the server of a slice for which no server has room.

Load balancers call it the panic threshold: an overloaded, unhealthy or ejected server is better
than none. A slice is left without a server only while each ready server has started recently
according to the endpoint list, since such a server fails under more load than it admits.
"""

from collections.abc import Callable, Iterable

from ..interface import Settings
from ..state import HEALTHY, UNAVAILABLE, UNHEALTHY, WARMING_UP, Server
from .table_diff import has_usable_endpoint


class LastResort:
    """Chooses servers regardless of their load, and tells which slices depend on them."""

    def __init__(self, settings: Settings) -> None:
        self._warm_up_ms = settings.warm_up_ms

    def choose(
        self, servers: Iterable[Server], utilization: Callable[[Server], float], now_ms: float
    ) -> Server | None:
        """Returns the best server, or None if none is eligible.

        The healthiest come first, then those that are not ejected, then the least utilized.
        """
        eligible = [server for server in servers if self._is_eligible(server, now_ms)]
        if not eligible:
            return None
        return min(eligible, key=lambda s: (_condition_rank(s), s.ejected, utilization(s)))

    def is_listed_as_warm(self, server: Server, now_ms: float) -> bool:
        """Whether the endpoint list states no start of the server within the warm-up time.

        A start that is assumed of a cached list's server, or presumed of a lost zone's, is none.
        """
        return (
            server.started_ms is None
            or server.start_assumed
            or now_ms - server.started_ms >= self._warm_up_ms
        )

    def is_needed(self, server: Server, now_ms: float) -> bool:
        """Whether a slice whose desired primary this is has no usable endpoint.

        Never of a server that drains, is gone, or has started recently according to the list.
        """
        return (
            server.health > UNAVAILABLE
            and self.is_listed_as_warm(server, now_ms)
            and not all(map(has_usable_endpoint, server.assigned_slices))
        )

    def _is_eligible(self, server: Server, now_ms: float) -> bool:
        if server.health in (HEALTHY, UNAVAILABLE):
            return server.health == HEALTHY
        if server.health == UNHEALTHY and not server.ejected:
            return True
        return self.is_listed_as_warm(server, now_ms)


def _condition_rank(server: Server) -> int:
    """Ranks a server by what is known of it, the best first."""
    if server.health == WARMING_UP:
        # The server of a lost zone may be down, one with an assumed start serves most likely.
        return 1 if server.start_assumed else 2
    return 0 if server.health == HEALTHY else 3
