"""Logs the slices of servers that warm up, with the load that slow start admits."""

from collections.abc import Callable, Iterable

from ..state import WARMING_UP, Server
from .event_loop import EventLoop


class WarmUpLog:
    """Logs each server that warms up when its slices have changed, and when it loses the last."""

    def __init__(self, event_loop: EventLoop, admissible_load: Callable[[Server], float]) -> None:
        """Takes the load that a server may carry, in units of demand; logs nothing yet."""
        self._event_loop = event_loop
        self._admissible_load = admissible_load
        self._logged: dict[Server, list[int]] = {}

    def log_changes(self, servers: Iterable[Server]) -> None:
        """Logs the servers whose slices differ from those of the previous call."""
        warming_up = [server for server in servers if server.health == WARMING_UP]
        current = {
            server: sorted(each.id for each in server.assigned_slices) for server in warming_up
        }
        for server, slice_ids in current.items():
            if slice_ids != self._logged.get(server, []):
                self._log(server, slice_ids)
        self._logged = current

    def _log(self, server: Server, slice_ids: list[int]) -> None:
        now_ms = self._event_loop.now()
        succeeded, failed = server.attempt_outcomes.bins
        self._event_loop.log(
            "server_warming_up",
            server=server.id,
            age_ms=round(now_ms - server.started_ms) if server.started_ms is not None else None,
            slices=slice_ids,
            load=round(server.assigned_load, 2),
            admissible_load=round(self._admissible_load(server), 2),
            unanswered_checks=server.unanswered_checks,
            attempts=[round(succeeded, 1), round(failed, 1)],
        )
