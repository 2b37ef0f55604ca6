"""Ejection: removes a server from all slices at the proxies with a single order.

Updating the tables of all its slices at all proxies would exceed a drain's grace period. A server
that is the last resort of a slice is not ejected, however unhealthy it is.
"""

from collections.abc import Sequence
from math import inf

from ..interface import SetEjection, Settings
from ..state import UNAVAILABLE, UNHEALTHY, Push, Server, Slice, slices_by_server
from .last_resort import LastResort
from .push_budget import PushBudget
from .table_diff import has_usable_endpoint

# After this time an unavailable server is ejected even if slices have no other usable endpoint: the
# order needs the rest of a drain's grace period to reach all proxies.
MAX_REPLACEMENT_WAIT_MS = 750.0
# If `Settings.max_empty_table_ms` is shorter, an ejection always waits until all slices have
# another usable endpoint: a slice without one might not get it in time.
MIN_EMPTY_TABLE_MS = 2_000.0
# A usable server stays ejected while, unejected, it would get at least this share of a slice that
# has another primary.
MAX_UNEJECTED_SHARE = 0.1


class EjectionPlanner:
    """Decides which servers are ejected; writes the ejection fields of servers."""

    def __init__(self, settings: Settings) -> None:
        self._enabled = bool(settings.slice_count) and not settings.exclusive_ownership
        self._replacement_wait_ms = inf
        if settings.max_empty_table_ms >= MIN_EMPTY_TABLE_MS:
            self._replacement_wait_ms = MAX_REPLACEMENT_WAIT_MS
        self._last_resort = LastResort(settings)

    def orders(
        self,
        servers: Sequence[Server],
        slices: Sequence[Slice],
        push: Push,
        budget: PushBudget,
        entries_used: int,
        confirm: bool,
    ) -> list[SetEjection]:
        """Returns orders that begin or end ejections, servers in the worst health first.

        With `confirm`, orders that some proxies may not have received are repeated as well. The
        caller sets it once the most urgent orders have been added. Only orders for servers in use
        are repeated: many proxies may have connected at once, which leaves few entries for each.
        """
        if not self._enabled:
            return []
        orders: list[SetEjection] = []
        slices_of = slices_by_server(slices)
        in_use: set[Server] | None = None  # determined once a server needs it
        for server in sorted(servers, key=lambda s: s.health):
            if not (server.ejected or server.ejection_unconfirmed or server.health <= UNHEALTHY):
                continue
            ejected = self._should_be_ejected(server, slices_of.get(server, []), push.sent_ms)
            if ejected == server.ejected:
                if not (confirm and server.ejection_unconfirmed):
                    continue
                in_use = _servers_in_use(slices) if in_use is None else in_use
                if server not in in_use:
                    continue
            limit = budget.urgent if server.health <= UNHEALTHY else budget.ordinary
            if len(orders) < limit - entries_used:
                orders.append(_set_ejection(server, ejected, push.serial))
        return orders

    def confirm_unejected(
        self, slices: Sequence[Slice], push: Push, budget: PushBudget, entries_used: int
    ) -> list[SetEjection]:
        """Returns orders that end ejections of the usable servers that these slices are to get.

        Proxies that still apply an ejection from before would leave the slices without an endpoint.
        """
        if not self._enabled:
            return []
        servers = {
            server: None
            for slice_ in slices
            for server in slice_.desired
            if server.ejection_unconfirmed and not server.ejected and server.health > UNHEALTHY
        }
        limit = max(0, int(budget.urgent) - entries_used)
        return [_set_ejection(server, False, push.serial) for server in list(servers)[:limit]]

    def _should_be_ejected(self, server: Server, slices: Sequence[Slice], now_ms: float) -> bool:
        if server.health > UNHEALTHY:
            return server.ejected and not self._may_be_unejected(server, slices, now_ms)
        if server.health == UNHEALTHY and self._last_resort.is_needed(server, now_ms):
            return False
        # Waits until each slice has another usable endpoint; otherwise its requests would find
        # none.
        return server.ejected or (
            bool(slices)
            and (self._must_not_wait(server, now_ms) or all(map(has_usable_endpoint, slices)))
        )

    def _may_be_unejected(self, server: Server, slices: Sequence[Slice], now_ms: float) -> bool:
        """Whether a usable server is the primary of each slice or would get only a small share.

        A server that warms up cannot take all of its former traffic at once.
        """
        return self._last_resort.is_needed(server, now_ms) or all(
            slice_.primary() is server or slice_.share_if_unejected(server) < MAX_UNEJECTED_SHARE
            for slice_ in slices
        )

    def _must_not_wait(self, server: Server, now_ms: float) -> bool:
        """Whether an ejection must be sent now to arrive within the drain's grace period."""
        return (
            server.health == UNAVAILABLE
            and server.not_ready_since_ms is not None
            and now_ms - server.not_ready_since_ms >= self._replacement_wait_ms
        )


def _servers_in_use(slices: Sequence[Slice]) -> set[Server]:
    """The servers that assigned slices have, or are about to get."""
    return {
        server
        for slice_ in slices
        if slice_.assigned
        for table in (slice_.published, slice_.desired)
        for server in table
    }


def _set_ejection(server: Server, ejected: bool, push_serial: int) -> SetEjection:
    server.ejected = ejected
    server.ever_ejected = server.ever_ejected or ejected
    server.ejection_unconfirmed = False
    server.ejection_serial = push_serial
    return SetEjection(server, ejected)
