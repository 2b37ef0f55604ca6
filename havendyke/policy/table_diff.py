"""The difference between a slice's desired and its published table, as orders."""

from dataclasses import dataclass
from enum import IntEnum

from ..interface import ClearTable, SetEndpointWeight, Settings
from ..state import HEALTHY, UNAVAILABLE, UNHEALTHY, WARMING_UP, HealthState, Server, Slice
from .demand import demand_of
from .standby import STANDBY_WEIGHT


class Urgency(IntEnum):
    """Why a table must change, the most urgent first."""

    NO_ENDPOINT = -1
    LEAVES_UNAVAILABLE = 0
    LEAVES_UNHEALTHY = 1
    LEAVES_WARMING_UP = 2
    ORDINARY = 3
    TIDY = 5  # every desired endpoint is published already


URGENCY_BY_HEALTH = {
    UNAVAILABLE: Urgency.LEAVES_UNAVAILABLE,
    UNHEALTHY: Urgency.LEAVES_UNHEALTHY,
    WARMING_UP: Urgency.LEAVES_WARMING_UP,
    HEALTHY: Urgency.ORDINARY,
}
# May leave between two ordinary pushes.
LEAST_URGENT_EXPEDITED = Urgency.LEAVES_UNAVAILABLE
# May use the budget for urgent entries.
LEAST_URGENT_BEYOND_BUDGET = Urgency.LEAVES_UNHEALTHY


@dataclass(frozen=True, slots=True)
class TableChange:
    """Orders that change a slice's table, and the published table after them."""

    orders: list[SetEndpointWeight | ClearTable]
    published: dict[Server, float]


def has_usable_endpoint(slice_: Slice) -> bool:
    """Whether a published endpoint can take the slice's traffic now."""
    primary = slice_.primary()
    return any(
        not server.ejected and server.health >= (WARMING_UP if server is primary else HEALTHY)
        for server in slice_.published
    )


def urgency(slice_: Slice) -> Urgency:
    """How urgent the change of the slice's table is."""
    in_use = {s: w for s, w in slice_.published.items() if not s.ejected}
    if not in_use:
        return Urgency.NO_ENDPOINT
    worst = min(_health_to_leave(slice_, in_use), default=HEALTHY)
    if worst != HEALTHY:
        return URGENCY_BY_HEALTH[worst]
    if _leaves_usable_ejected_server(slice_):
        return Urgency.LEAVES_WARMING_UP
    # A slice with one usable endpoint is not tidied but changed with the ordinary ones: the loss of
    # that server would leave it with none.
    usable = sum(server.health >= WARMING_UP for server in in_use)
    if usable > 1 and slice_.is_published():
        return Urgency.TIDY
    return Urgency.ORDINARY


def change_priority(slice_: Slice) -> tuple[Urgency, float]:
    """The sort key of changes within a push: by urgency, then the largest demand."""
    return urgency(slice_), -demand_of(slice_)


def _health_to_leave(slice_: Slice, in_use: dict[Server, float]) -> list[HealthState]:
    """The health of published servers that the desired table leaves because of it."""
    largest = max(in_use.values())
    return [
        server.health
        for server, weight in in_use.items()
        if server not in slice_.desired
        and (server.health <= UNHEALTHY or (server.health == WARMING_UP and weight == largest))
    ]


def _leaves_usable_ejected_server(slice_: Slice) -> bool:
    return any(
        server.ejected and server.health >= WARMING_UP
        for server in slice_.published
        if server not in slice_.desired
    )


class TableDiff:
    """Finds the orders that bring a published table closer to the desired one."""

    def __init__(self, settings: Settings) -> None:
        self._exclusive = settings.exclusive_ownership
        self._lease_ms = settings.lease_ms
        self._max_write_in_flight_ms = settings.max_write_in_flight_ms

    def change(self, slice_: Slice, now_ms: float) -> TableChange:
        """The next change of the slice's table; without orders where there is none yet."""
        # Equal within one push, if an exclusive owner was published and comes up again.
        if slice_.desired == slice_.published:
            return TableChange([], slice_.published)
        if self._exclusive and slice_.published:
            return TableChange([ClearTable(slice_)], {})
        if self._exclusive and not self._is_released(slice_, now_ms):
            return TableChange([], {})
        table = _next_table(slice_)
        orders: list[SetEndpointWeight | ClearTable] = [
            SetEndpointWeight(slice_, server, weight)
            for server, weight in table.items()
            if slice_.published.get(server) != weight
        ]
        orders += [
            SetEndpointWeight(slice_, server, 0.0)
            for server in slice_.published
            if server not in table
        ]
        return TableChange(orders, table)

    def _is_released(self, slice_: Slice, now_ms: float) -> bool:
        """Whether no write of the former owner can be in flight any more.

        Each proxy that had the owner's entry has acknowledged the push that removed it, or its
        lease has ended; and the longest write since then has ended.
        """
        push = slice_.cleared_by
        if push is None:
            return True
        if push.awaiting:
            return False
        unused_since_ms = max(push.settled_ms, slice_.assigned_ms + self._lease_ms)
        return now_ms - unused_since_ms >= self._max_write_in_flight_ms


def _next_table(slice_: Slice) -> dict[Server, float]:
    published = slice_.published
    primary = slice_.primary()
    # Entries of standbys wait while the slice leaves a server that it must leave, or lacks its
    # primary's entry: of many slices at once they would keep an ejection behind them past its grace
    # period. Where the primary's entry is there but ejected, the standby is all that serves the
    # slice until the ejection ends, which may take longer than a table may stay empty.
    must_leave = any(s.health <= UNHEALTHY and not s.ejected for s in published)
    lacks_primary = primary is not None and published.get(primary) != slice_.desired[primary]
    no_endpoint = all(server.ejected for server in published)
    hurry = must_leave or (no_endpoint and lacks_primary)
    if hurry and primary and lacks_primary:
        table = {**published, primary: slice_.desired[primary]}
    else:
        table = {
            server: weight
            for server, weight in slice_.desired.items()
            if not hurry or server is primary or server in published
        }
    if not slice_.is_published():
        table |= _harmless_entries(slice_, table, hurry)
    return table


def _harmless_entries(
    slice_: Slice, table: dict[Server, float], hurry: bool
) -> dict[Server, float]:
    """Published entries that can stay until nothing else is left to change."""
    primary = slice_.primary()
    primary_weight = slice_.desired[primary] if primary else 0.0
    lightest = STANDBY_WEIGHT * primary_weight
    return {
        server: weight
        for server, weight in slice_.published.items()
        if server not in table
        and (server.health <= UNHEALTHY if server.ejected else not hurry and weight <= lightest)
    }
