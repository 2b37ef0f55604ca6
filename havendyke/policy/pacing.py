"""How often slices may migrate, while other controllers migrate slices at the same servers."""

from collections.abc import Iterable

from ..interface import Settings
from ..state import Proxy, Slice, serial_acknowledged_by

PUSH_INTERVAL_MS = 1_000.0
# A migration has settled once proxies with this share of the traffic have acknowledged it.
SETTLED_TRAFFIC_SHARE = 0.75


class MigrationPace:
    """Knows which pushes are in force, and how many controllers have slices at one server."""

    def __init__(self, settings: Settings) -> None:
        self._slice_count = settings.slice_count
        self._controller_count = settings.controller_count
        self._settled_push = 0
        self.controllers_per_server = 1.0

    def update(self, proxies: Iterable[Proxy], ready_server_count: int) -> None:
        """Takes note of the acknowledgements and of the size of the fleet."""
        self._settled_push = serial_acknowledged_by(proxies, SETTLED_TRAFFIC_SHARE)
        slices_per_server = self._slice_count / max(ready_server_count, 1)
        self.controllers_per_server = min(self._controller_count, max(1.0, slices_per_server))

    def is_settled(self, slice_: Slice) -> bool:
        """Whether the slice's last change is in force, so that it may migrate again."""
        if slice_.last_push_serial is None:
            return slice_.desired == slice_.published
        return slice_.last_push_serial <= self._settled_push
