"""How often the complete endpoint list may be asked for, by its size.

At each check while the byte budget allows it, else at a slow pace.
"""

from hashlib import blake2b

from ..config import Limits

# The share of the byte budget for lists that are too large to be asked for at each check.
COMPLETE_LIST_BUDGET_SHARE = 0.1
# A period is longer by up to this share, drawn, so that assigners do not all ask at a time.
JITTER = 0.5
DRAW_BYTES = 8  # of a digest, read as one random number
MS_PER_SECOND = 1000.0


class CompleteListPace:
    """Decides whether a check asks for the complete list.

    Until a complete list was taken, each check does. Times are ms.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        """Two with the same seed draw the same periods."""
        self.seed = seed
        self.size = 0
        self.due_at_ms = 0.0
        self._limits = limits
        self._draws = 0

    def record_list(self, size: int, now_ms: float) -> None:
        """A complete list of `size` bytes was taken."""
        self.size = size
        self.due_at_ms = now_ms + self.period_ms() * (1.0 + JITTER * self._draw())

    def expire(self) -> None:
        """Has the next check ask for the complete list, whatever its size."""
        self.due_at_ms = 0.0

    def period_ms(self) -> float:
        """The least time between lists of the present size where not each check may ask."""
        budget = COMPLETE_LIST_BUDGET_SHARE * self._limits.discovery_bytes_per_s
        return MS_PER_SECOND * self.size / budget

    def affordable(self) -> bool:
        """Whether a complete list at each check stays within the budget."""
        budget = self._limits.discovery_bytes_per_s * self._limits.discovery_check_interval_ms
        return MS_PER_SECOND * self.size <= budget

    def due(self, now_ms: float) -> bool:
        """Whether a check now asks for the complete list."""
        return self.affordable() or now_ms >= self.due_at_ms

    def _draw(self) -> float:
        """A number from 0 to below 1, the same for the same seed and place in the sequence."""
        self._draws += 1
        text = f"{self.seed}/{self._draws}"
        digest = blake2b(text.encode(), digest_size=DRAW_BYTES).digest()
        draw_range: int = 256**DRAW_BYTES
        return int.from_bytes(digest, "big") / draw_range
