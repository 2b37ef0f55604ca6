"""Ejection: takes a server out of all slices at the proxies by one order.

The entries of all its slices, times the proxies, would take longer than a drain's grace period.
"""

from collections.abc import Sequence
from math import inf

from ..interface import SetEjection, Settings
from ..state import UNAVAILABLE, UNHEALTHY, Server, Slice, slices_by_server
from .push_budget import PushBudget
from .table_diff import has_usable_endpoint

# From then on an unavailable server is ejected even where that leaves slices without an endpoint:
# the order needs the rest of a drain's grace period to reach all proxies.
MAX_REPLACEMENT_WAIT_MS = 750.0
# Where a table may stay empty for less, a slice without an endpoint might not get one in time.
MIN_EMPTY_TABLE_MS = 2_000.0
# An ejected server that warms up is unejected once it would get no more of a slice than this.
MAX_UNEJECTED_SHARE = 0.1


class EjectionPlanner:
    """Decides which servers are ejected; writes the ejection fields of servers."""

    def __init__(self, settings: Settings) -> None:
        self._enabled = bool(settings.slice_count) and not settings.exclusive_ownership
        self._cover_wait_ms = inf
        if settings.max_empty_table_ms >= MIN_EMPTY_TABLE_MS:
            self._cover_wait_ms = MAX_REPLACEMENT_WAIT_MS

    def orders(
        self,
        servers: Sequence[Server],
        slices: Sequence[Slice],
        now_ms: float,
        budget: PushBudget,
        entries_used: int,
        confirm: bool,
    ) -> list[SetEjection]:
        """Ejections and their ends within the budget, servers in the worst health first.

        `confirm`: also repeats what some proxies may not know. That comes after all that is new,
        and only for servers that a table names, since many proxies may have connected at once.
        """
        if not self._enabled:
            return []
        orders: list[SetEjection] = []
        users = slices_by_server(slices)
        for server in sorted(servers, key=lambda s: s.health):
            if not (server.ejected or server.ejection_unconfirmed or server.health <= UNHEALTHY):
                continue
            named_by = users.get(server, [])
            ejected = self._should_be_ejected(server, named_by, now_ms)
            repeated = confirm and server.ejection_unconfirmed and bool(named_by)
            if ejected == server.ejected and not repeated:
                continue
            limit = budget.urgent if server.health <= UNHEALTHY else budget.ordinary
            if len(orders) < limit - entries_used:
                orders.append(_set_ejection(server, ejected))
        return orders

    def _should_be_ejected(self, server: Server, named_by: Sequence[Slice], now_ms: float) -> bool:
        if server.health <= UNHEALTHY:
            # Not before each slice has another usable endpoint, or requests would find none.
            return server.ejected or (
                bool(named_by)
                and (self._may_not_wait(server, now_ms) or all(map(has_usable_endpoint, named_by)))
            )
        # Unejected, a server that warms up would get all its earlier traffic at once.
        return server.ejected and not all(
            slice_.primary() is server or slice_.share_if_unejected(server) < MAX_UNEJECTED_SHARE
            for slice_ in named_by
        )

    def _may_not_wait(self, server: Server, now_ms: float) -> bool:
        """Whether the drain's grace would end before an ejection after a cover arrives."""
        return (
            server.health == UNAVAILABLE
            and server.left_ms is not None
            and now_ms - server.left_ms >= self._cover_wait_ms
        )


def _set_ejection(server: Server, ejected: bool) -> SetEjection:
    server.ejected = ejected
    server.ever_ejected = server.ever_ejected or ejected
    server.ejection_unconfirmed = False
    return SetEjection(server, ejected)
