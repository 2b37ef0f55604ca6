"""A summary of the fleet in the controller's state, logged periodically."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..policy import Controller
from ..state import UNAVAILABLE, UNHEALTHY, WARMING_UP, HealthState, Server, Slice, upper_median
from .event_loop import EventLoop
from .warm_up_log import WarmUpLog

# Fleet conditions, with the same names in the controller and in the log.
CONDITIONS = (
    "overloaded",
    "congested",
    "collapsed",
    "errors_elevated",
    "connections_exhausted",
    "load_shed",
)

# Caps the logged admission limit (a probability or requests per second), which is far larger if
# nothing is limited.
MAX_LOGGED_LIMIT = 9.0
MAX_LOGGED_AGE_MS = 1e6


class ControllerState(NamedTuple):
    """The part of a controller's state that the summary reads."""

    servers: Sequence[Server]
    slices: Sequence[Slice]
    conditions: list[str]
    is_slow: Callable[[Server], bool]
    admission_limit: float
    queue_share: float  # queued entries, relative to the push channel's limit at its slowest pace
    load_share: Callable[[Server], float]  # a server's load, relative to its capacity
    admissible_load: Callable[[Server], float]  # in units of demand


def read_controller(controller: Controller) -> ControllerState:
    """Reads the controller's attributes; no other function of this module depends on them."""
    channel = controller.observed.channel
    costs = controller.pushes.costs
    return ControllerState(
        servers=controller.servers,
        slices=controller.slices,
        conditions=[name for name in CONDITIONS if getattr(controller.condition, name)],
        is_slow=controller.fleet.is_slow,
        admission_limit=controller.admission.limit,
        queue_share=channel.queued_entries / max(2 * costs.soft_queue_limit, 1.0),
        load_share=controller.planner.limits.utilization,
        admissible_load=controller.planner.limits.admissible_load,
    )


class FleetSummary:
    """Logs the summary, with the slices that have migrated since the previous one."""

    def __init__(self, event_loop: EventLoop, controller: Controller) -> None:
        """Logs nothing until `log_summary` is called."""
        self._event_loop = event_loop
        self._controller = controller
        self._primaries: dict[Slice, Server | None] = {}
        self._warm_up_log = WarmUpLog(event_loop)

    def log_summary(self) -> None:
        """Logs a summary now and schedules the next one."""
        state = read_controller(self._controller)
        servers = state.servers
        ready = [server for server in servers if server.is_ready]
        primaries = {each: each.primary() for each in state.slices if each.assigned}
        in_use = {primary for primary in primaries.values() if primary}
        slow = [server for server in ready if state.is_slow(server)]
        migrated_from = self._migration_sources(primaries)
        self._primaries = primaries
        self._event_loop.log(
            "fleet_summary",
            servers=_count_health(server.health for server in servers if server.state),
            ejected=sum(server.ejected for server in servers),
            warming_up=[_count_warming_up(servers), _count_warming_up(in_use)],
            slices=_count_health(s.health if s else UNAVAILABLE for s in primaries.values()),
            without_endpoint=sum(not _has_endpoint(each) for each in primaries),
            unpublished=sum(not each.is_published() for each in primaries),
            migrated=_count_health(server.health for server in migrated_from),
            max_load_share=_max_load_share(in_use, state.load_share),
            conditions=state.conditions,
            slow=_count_health(server.health for server in slow),
            admission_limit=round(min(state.admission_limit, MAX_LOGGED_LIMIT), 3),
            queue_share=round(state.queue_share, 3),
            success_age_ms=_median_success_age_ms(ready, self._event_loop.now()),
        )
        self._warm_up_log.log_changes(servers, state.admissible_load)
        self._event_loop.after(self._event_loop.limits.summary_interval_ms, self.log_summary)

    def _migration_sources(self, primaries: dict[Slice, Server | None]) -> list[Server]:
        """The former primary of each slice whose primary has changed."""
        sources = []
        for each, primary in primaries.items():
            former = self._primaries.get(each)
            if former is not None and former is not primary:
                sources.append(former)
        return sources


def _count_warming_up(servers: Iterable[Server]) -> int:
    return sum(server.health == WARMING_UP for server in servers)


def _has_endpoint(routing_slice: Slice) -> bool:
    """Whether the slice has a published endpoint that can serve requests."""
    return any(not s.ejected and s.health > UNHEALTHY for s in routing_slice.published)


def _max_load_share(servers: Iterable[Server], load_share: Callable[[Server], float]) -> float:
    shares = (load_share(server) for server in servers if server.health >= WARMING_UP)
    return round(max(shares, default=0.0), 2)


def _median_success_age_ms(servers: Iterable[Server], now_ms: float) -> int:
    """The median time since the servers' last successes (ms)."""
    ages_ms = [now_ms - server.last_success_ms for server in servers]
    median_ms: float = upper_median(ages_ms, 0.0)
    return round(min(median_ms, MAX_LOGGED_AGE_MS))


def _count_health(states: Iterable[HealthState]) -> dict[str, int]:
    """The number of occurrences of each health state, without zeros."""
    counts = Counter(states)
    return {state.name.lower(): counts[state] for state in HealthState if counts[state]}
