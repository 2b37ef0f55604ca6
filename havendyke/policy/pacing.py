"""Intervals of reconciliations and pushes, and the pace of migrations.

Slices settle before they migrate again, and controllers share the migrations of a server.
"""

from collections.abc import Iterable

from ..interface import Settings
from ..state import Proxy, Slice, serial_acknowledged_by

TICK_INTERVAL_MS = 250.0  # between reconciliations while no events arrive
PUSH_INTERVAL_MS = 1_000.0
# Timers may fire this much early; without the slack, an action would wait for another interval.
TIMER_SLACK_MS = 1.0
# A migration has settled once proxies with this share of the traffic have acknowledged it.
SETTLED_TRAFFIC_SHARE = 0.75


class MigrationPace:
    """Tracks which pushes have settled, and how many controllers have slices on one server."""

    def __init__(self, settings: Settings) -> None:
        self._slice_count = settings.slice_count
        self._controller_count = settings.controller_count
        self._settled_serial = 0
        self.controllers_per_server = 1.0

    def update(self, proxies: Iterable[Proxy], ready_server_count: int) -> None:
        """Updates the settled pushes by acknowledgements, and the controllers per server."""
        self._settled_serial = serial_acknowledged_by(proxies, SETTLED_TRAFFIC_SHARE)
        slices_per_server = self._slice_count / max(ready_server_count, 1)
        self.controllers_per_server = min(self._controller_count, max(1.0, slices_per_server))

    def is_settled(self, slice_: Slice) -> bool:
        """Whether the slice's last change has taken effect, so that it may migrate again."""
        if slice_.last_push_serial is None:
            return slice_.desired == slice_.published
        return slice_.last_push_serial <= self._settled_serial
