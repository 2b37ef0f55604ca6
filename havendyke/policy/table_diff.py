"""Computes the orders that turn a slice's published table into its desired one."""

from dataclasses import dataclass
from enum import IntEnum

from ..interface import ClearTable, SetEndpointWeight, Settings
from ..state import HEALTHY, UNAVAILABLE, UNHEALTHY, WARMING_UP, HealthState, Server, Slice
from .demand import demand_of
from .standby import STANDBY_WEIGHT


class Urgency(IntEnum):
    """The reason for a change of a table, the most urgent first."""

    NO_ENDPOINT = -1
    LEAVES_UNAVAILABLE = 0
    LEAVES_UNHEALTHY = 1
    LEAVES_WARMING_UP = 2
    ORDINARY = 3
    CLEANUP = 5  # all desired entries are published; only stale ones remain


URGENCY_BY_HEALTH = {
    UNAVAILABLE: Urgency.LEAVES_UNAVAILABLE,
    UNHEALTHY: Urgency.LEAVES_UNHEALTHY,
    WARMING_UP: Urgency.LEAVES_WARMING_UP,
    HEALTHY: Urgency.ORDINARY,
}
# Changes at least this urgent may be sent between two ordinary pushes.
LEAST_URGENT_EXPEDITED = Urgency.LEAVES_UNAVAILABLE
# Changes at least this urgent may use the part of the budget reserved for urgent entries.
LEAST_URGENT_USING_RESERVE = Urgency.LEAVES_UNHEALTHY


@dataclass(frozen=True, slots=True)
class TableChange:
    """Orders that change a slice's table, and the published table that results."""

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
    """Returns how urgent the change of the slice's table is."""
    in_use = {s: w for s, w in slice_.published.items() if not s.ejected}
    if not in_use:
        return Urgency.NO_ENDPOINT
    worst_health = min(_health_of_servers_to_leave(slice_, in_use), default=HEALTHY)
    if worst_health != HEALTHY:
        return URGENCY_BY_HEALTH[worst_health]
    if _leaves_usable_ejected_server(slice_):
        return Urgency.LEAVES_WARMING_UP
    # With a single usable endpoint the change stays ordinary, since losing that server would leave
    # the slice without one.
    usable = sum(server.health >= WARMING_UP for server in in_use)
    if usable > 1 and slice_.is_published():
        return Urgency.CLEANUP
    return Urgency.ORDINARY


def change_priority(slice_: Slice) -> tuple[Urgency, float]:
    """Returns the sort key of changes within a push: by urgency, then the largest demand first."""
    return urgency(slice_), -demand_of(slice_)


def _health_of_servers_to_leave(slice_: Slice, in_use: dict[Server, float]) -> list[HealthState]:
    """Returns the health of published servers that the desired table drops because of it."""
    largest_weight = max(in_use.values())
    return [
        server.health
        for server, weight in in_use.items()
        if server not in slice_.desired
        and (
            server.health <= UNHEALTHY or (server.health == WARMING_UP and weight == largest_weight)
        )
    ]


def _leaves_usable_ejected_server(slice_: Slice) -> bool:
    return any(
        server.ejected and server.health >= WARMING_UP
        for server in slice_.published
        if server not in slice_.desired
    )


class TableDiff:
    """Computes the next step from a published table towards the desired one."""

    def __init__(self, settings: Settings) -> None:
        self._exclusive = settings.exclusive_ownership
        self._lease_ms = settings.lease_ms
        self._max_write_in_flight_ms = settings.max_write_in_flight_ms

    def change(self, slice_: Slice, now_ms: float) -> TableChange:
        """Returns the next change of the slice's table, without orders if none is possible yet."""
        # A push may process a slice twice. With exclusive ownership, a primary that it has just
        # published must not be cleared the second time.
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
        """Whether no write to the former primary can be in flight any more.

        Each proxy with the former primary's entry must have acknowledged the push that removed it,
        or its lease must have ended. After that, the longest possible write must have ended too.
        """
        push = slice_.clearing_push
        if push is None:
            return True
        if push.awaiting_proxies:
            return False
        unused_since_ms = max(push.settled_ms, slice_.assigned_ms + self._lease_ms)
        return now_ms - unused_since_ms >= self._max_write_in_flight_ms


def _next_table(slice_: Slice) -> dict[Server, float]:
    published = slice_.published
    primary = slice_.primary()
    # Standby entries are deferred while the slice must leave an unusable server, or has no usable
    # endpoint and lacks its primary's entry: with many slices at once, they would delay an ejection
    # beyond the drain's grace period. If the primary's entry is published but ejected, they are
    # not deferred: the standby alone serves the slice until the ejection ends, which may take
    # longer than a table may stay empty.
    must_leave = any(s.health <= UNHEALTHY and not s.ejected for s in published)
    lacks_primary = primary is not None and published.get(primary) != slice_.desired[primary]
    no_endpoint = all(server.ejected for server in published)
    defer_standbys = must_leave or (no_endpoint and lacks_primary)
    if defer_standbys and primary and lacks_primary:
        table = {**published, primary: slice_.desired[primary]}
    else:
        table = {
            server: weight
            for server, weight in slice_.desired.items()
            if not defer_standbys or server is primary or server in published
        }
    if not slice_.is_published():
        table |= _retained_entries(slice_, table, defer_standbys)
    return table


def _retained_entries(
    slice_: Slice, table: dict[Server, float], defer_standbys: bool
) -> dict[Server, float]:
    """Returns the entries whose removal can wait until all desired entries are published."""
    primary = slice_.primary()
    primary_weight = slice_.desired[primary] if primary else 0.0
    standby_weight = STANDBY_WEIGHT * primary_weight
    # An unusable server that is ejected gets no traffic, and a former standby little.
    return {
        server: weight
        for server, weight in slice_.published.items()
        if server not in table
        and (
            server.health <= UNHEALTHY
            if server.ejected
            else not defer_standbys and weight <= standby_weight
        )
    }
