"""Failover: replaces primaries that can no longer serve their slices."""

from collections.abc import Iterable, Sequence

from ..interface import Settings
from ..state import HEALTHY, UNAVAILABLE, UNHEALTHY, WARMING_UP, Server, Slice
from .demand import demand_of
from .last_resort import LastResort
from .load_limits import MAX_FAIR_SHARES, LoadLimits, rendezvous_score
from .migration import SliceMigrator
from .pacing import PUSH_INTERVAL_MS, TIMER_SLACK_MS
from .slow_start import SlowStart

# A server that warms up keeps slices up to this multiple of its admissible load.
WARMING_UP_TOLERANCE = 1.25
# A server that warms up and leaves health checks unanswered keeps this share of its load at most,
# and releases further slices after the next push.
UNANSWERED_LOAD_SHARE = 0.5


class Failover:
    """Migrates slices off servers that are unavailable, unhealthy, or overloaded in warm-up."""

    def __init__(
        self,
        settings: Settings,
        slow_start: SlowStart,
        limits: LoadLimits,
        migrator: SliceMigrator,
        last_resort: LastResort,
    ) -> None:
        self._handover_ms = 0.0
        if settings.exclusive_ownership:
            self._handover_ms = settings.lease_ms + settings.max_write_in_flight_ms
        self._slow_start = slow_start
        self._limits = limits
        self._migrator = migrator
        self._last_resort = last_resort

    def run(self, slices: Sequence[Slice], servers: Sequence[Server], now_ms: float) -> None:
        """Chooses a new primary for each slice that needs one, the largest demand first."""
        slices_to_move = [slice_ for slice_ in slices if _has_no_usable_primary(slice_)]
        warming_up = [server for server in servers if server.health == WARMING_UP]
        slices_to_move += self._excess_slices(warming_up)
        for slice_ in sorted(slices_to_move, key=lambda slice_: -demand_of(slice_)):
            self._fail_over(slice_, servers, now_ms)
        for server in warming_up:
            if self._should_release(server, now_ms):
                self._release(server, servers, now_ms)

    def _should_release(self, server: Server, now_ms: float) -> bool:
        # A handover leaves a slice without a server for longer than an overload lasts.
        return (
            not self._handover_ms
            and bool(server.assigned_slices)
            and not server.start_assumed
            and self._slow_start.leaves_checks_unanswered(server)
            and now_ms - server.last_slice_released_ms >= PUSH_INTERVAL_MS - TIMER_SLACK_MS
        )

    def _release(self, server: Server, servers: Iterable[Server], now_ms: float) -> None:
        """Migrates slices to healthy servers, the largest demand first."""
        # A server that warms up as well would be the next to be overloaded.
        healthy = [s for s in servers if s.health == HEALTHY and not s.ejected]
        limit = UNANSWERED_LOAD_SHARE * server.assigned_load
        for slice_ in sorted(server.assigned_slices, key=lambda slice_: -demand_of(slice_)):
            target = self._choose_fitting(slice_, healthy)
            if target is None:
                target = self._choose_last_resort(slice_, healthy, now_ms)
            if target is None or server.assigned_load <= limit:
                return
            self._migrator.migrate(slice_, target, now_ms)
            server.last_slice_released_ms = now_ms

    def _excess_slices(self, warming_up: Iterable[Server]) -> list[Slice]:
        """Returns slices beyond the load that servers which warm up can carry after a restart.

        A server whose start is only assumed keeps its slices: according to a cached list a healthy
        fleet may seem to warm up, and would lose its tables.
        """
        excess = []
        for server in warming_up:
            if server.start_assumed:
                continue
            limit = WARMING_UP_TOLERANCE * self._limits.admissible_load(server)
            surplus = server.assigned_load - limit
            for slice_ in sorted(server.assigned_slices, key=lambda slice_: -demand_of(slice_)):
                if surplus > 0:
                    excess.append(slice_)
                surplus -= demand_of(slice_)
        return excess

    def _fail_over(self, slice_: Slice, servers: Iterable[Server], now_ms: float) -> None:
        primary = slice_.primary()
        others = [server for server in servers if server is not primary]
        pool = [s for s in others if not s.ejected and not self._is_taking_over(s, now_ms)]
        target = self._choose_fitting(slice_, pool)
        if target is None:
            candidates = others
            if primary is not None and not self._must_leave(primary, now_ms):
                candidates = [server for server in pool if _is_clearly_better(server, primary)]
                if not candidates:
                    return
            target = self._choose_last_resort(slice_, candidates, now_ms)
        self._migrator.migrate(slice_, target, now_ms)

    def _must_leave(self, primary: Server, now_ms: float) -> bool:
        """Whether having no server is better for a slice than keeping this one."""
        if primary.health == WARMING_UP:
            # Overloaded, it would fail for all of its slices.
            return not self._last_resort.is_listed_as_warm(primary, now_ms)
        return primary.health == UNAVAILABLE

    def _is_taking_over(self, server: Server, now_ms: float) -> bool:
        # Requests that waited for a slice arrive all at once at the end of its handover, so a
        # server that warms up takes over one slice at a time.
        return (
            server.health == WARMING_UP
            and now_ms - server.last_slice_received_ms < self._handover_ms
        )

    def _choose_fitting(self, slice_: Slice, pool: Sequence[Server]) -> Server | None:
        """Returns a server that has room for the slice, or None."""
        primary = slice_.primary()
        standbys = [s for s in slice_.desired if s in pool and s.health == HEALTHY]
        other_zones: list[Server] = []
        if primary is not None and primary.health == UNHEALTHY:
            # The fault may affect the primary's whole zone.
            other_zones = [server for server in pool if server.zone != primary.zone]
        preferences = (standbys, other_zones, pool)
        demand = demand_of(slice_)

        def fits(server: Server) -> bool:
            return self._limits.fits(server, demand, MAX_FAIR_SHARES)

        def may_take_oversized(server: Server) -> bool:
            return self._limits.may_take_oversized(server, demand)

        for is_eligible in (fits, may_take_oversized):
            for candidates in preferences:
                eligible = [server for server in candidates if is_eligible(server)]
                if eligible:
                    return max(eligible, key=lambda server: rendezvous_score(slice_, server))
        return None

    def _choose_last_resort(
        self, slice_: Slice, candidates: Iterable[Server], now_ms: float
    ) -> Server | None:
        demand = demand_of(slice_)
        return self._last_resort.choose(
            candidates, lambda server: self._limits.utilization(server, demand), now_ms
        )


def _is_clearly_better(server: Server, primary: Server) -> bool:
    """Whether the server, overloaded, is worth a migration from the primary.

    A migration between two servers that most likely fail would use up push capacity for no gain.
    """
    return server.health > primary.health and (server.health == HEALTHY or server.start_assumed)


def _has_no_usable_primary(slice_: Slice) -> bool:
    primary = slice_.primary()
    return primary is None or primary.health <= UNHEALTHY
