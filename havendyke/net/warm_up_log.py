"""Logs the slices of servers that warm up, with the load that slow start admits."""

from collections.abc import Callable, Iterable
from enum import StrEnum

from ..state import WARMING_UP, Server
from ..state.server import LONG_AGO_MS
from .event_loop import EventLoop


class StartSource(StrEnum):
    """Where the start of a server that warms up is known from."""

    LISTED = "listed"
    ASSUMED = "assumed"  # of a server in a cached endpoint list
    PRESUMED = "presumed"  # of a server in a lost zone


class WarmUpLog:
    """Logs each server that warms up when its slices have changed, and when it loses the last."""

    def __init__(self, event_loop: EventLoop) -> None:
        """Logs nothing until `log_changes` is called."""
        self._event_loop = event_loop
        self._logged: dict[Server, list[int]] = {}

    def log_changes(
        self, servers: Iterable[Server], admissible_load: Callable[[Server], float]
    ) -> None:
        """Logs the servers whose slices differ from those of the previous call.

        `admissible_load` returns the load that a server may keep, in units of demand.
        """
        warming_up = [server for server in servers if server.health == WARMING_UP]
        current = {
            server: sorted(each.id for each in server.assigned_slices) for server in warming_up
        }
        for server, slice_ids in current.items():
            if slice_ids != self._logged.get(server, []):
                self._log(server, slice_ids, admissible_load(server))
        self._logged = current

    def _log(self, server: Server, slice_ids: list[int], admissible_load: float) -> None:
        started_ms = max(server.zone_lost_ms, _listed_start_ms(server))
        succeeded, failed = server.attempt_outcomes.bins
        self._event_loop.log(
            "server_warming_up",
            server=server.id,
            age_ms=round(self._event_loop.now() - started_ms),
            start=_start_source(server),
            slices=slice_ids,
            load=round(server.assigned_load, 2),
            admissible_load=round(admissible_load, 2),
            unanswered_checks=server.unanswered_checks,
            attempts=[round(succeeded, 1), round(failed, 1)],
        )


def _listed_start_ms(server: Server) -> float:
    return server.started_ms if server.started_ms is not None else LONG_AGO_MS


def _start_source(server: Server) -> StartSource:
    if server.zone_lost_ms > _listed_start_ms(server):
        return StartSource.PRESUMED
    return StartSource.ASSUMED if server.start_assumed else StartSource.LISTED
