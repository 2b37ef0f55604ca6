"""Rate of requests for the complete endpoint list.

The list is requested at each check while its size fits the byte budget, else at a low rate.
"""

from hashlib import blake2b

from ..config import Limits

# Share of the byte budget for lists that are too large to be requested at each check.
COMPLETE_LIST_BUDGET_SHARE = 0.1
# Periods are extended by up to this share at random, so that assigners do not request the list in
# step.
JITTER = 0.5
DRAW_BYTES = 8  # of a digest, taken as one random number
MS_PER_SECOND = 1000.0


class CompleteListPace:
    """Decides whether a check requests the complete list.

    Each check does so until a complete list was received.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        """Equal seeds give equal periods."""
        self.seed = seed
        self.size = 0
        self.due_at_ms = 0.0
        self._limits = limits
        self._draws = 0

    def record_list(self, size: int, now_ms: float) -> None:
        """Records that a complete list of `size` bytes was received."""
        self.size = size
        self.due_at_ms = now_ms + self.period_ms() * (1.0 + JITTER * self._draw())

    def expire(self) -> None:
        """Makes the next check request the complete list, whatever its size."""
        self.due_at_ms = 0.0

    def period_ms(self) -> float:
        """The shortest time between lists of the last size if not each check requests one."""
        budget = COMPLETE_LIST_BUDGET_SHARE * self._limits.discovery_bytes_per_s
        return MS_PER_SECOND * self.size / budget

    def affordable(self) -> bool:
        """Whether a complete list at each check fits the budget."""
        budget = self._limits.discovery_bytes_per_s * self._limits.discovery_check_interval_ms
        return MS_PER_SECOND * self.size <= budget

    def due(self, now_ms: float) -> bool:
        """Whether a check at this time requests the complete list."""
        return self.affordable() or now_ms >= self.due_at_ms

    def _draw(self) -> float:
        """The next number of a pseudo-random sequence in [0, 1) that the seed determines."""
        self._draws += 1
        text = f"{self.seed}/{self._draws}"
        digest = blake2b(text.encode(), digest_size=DRAW_BYTES).digest()
        draw_range: int = 256**DRAW_BYTES
        return int.from_bytes(digest, "big") / draw_range
