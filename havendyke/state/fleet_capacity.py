"""The peak capacity of the fleet."""

from collections.abc import Iterable

from .server import WARMING_UP, Server


class FleetCapacity:
    """The peak of the sum of the ready servers' sizes.

    During a release, replacements run alongside servers that have yet to drain. The size that
    drains afterwards is subtracted from the peak, so that a release does not inflate it.
    """

    def __init__(self) -> None:
        self.peak = 0.0
        self._ready = 0.0
        self._warming_up = 0.0
        self._replacements = 0.0  # size of servers that run alongside those they will replace

    def observe(self, ready_servers: Iterable[Server]) -> None:
        """Updates the peak from the servers that are ready now."""
        ready = 0.0
        warming_up = 0.0
        for server in ready_servers:
            ready += server.size
            # Only a recently started server can be a replacement.
            if server.health == WARMING_UP:
                warming_up += server.size
        added = max(0.0, ready - self._ready)
        removed = max(0.0, self._ready - ready)
        replacements = min(self._replacements + added, warming_up) if self._ready else 0.0
        replaced = min(replacements, removed)
        self.peak = max(self.peak - replaced, ready)
        self._replacements = replacements - replaced
        self._ready = ready
        self._warming_up = warming_up

    @property
    def warming_up_share(self) -> float:
        """The share of the ready servers' sizes that warms up, 0 without ready servers."""
        return self._warming_up / self._ready if self._ready else 0.0

    def decay(self, factor: float) -> None:
        """Lowers the peak, so that it approaches the capacity of a fleet that has shrunk."""
        self.peak *= factor
