"""A coarse histogram that forgets by halving, and the logarithmic scales of its bins.

A position is a place on such a scale, counted in bins from 0, with fractions.
"""

from collections.abc import Iterable
from math import log2
from typing import TypeVar

BINS_PER_DOUBLING = 3
SHORTEST_LATENCY_MS = 8.0
# The next halving empties a bin that holds no more, so that an unused server has no median again.
NEGLIGIBLE_COUNT = 0.1

Value = TypeVar("Value", float, float | None)


def latency_position(latency_ms: float) -> float:
    """The position of a latency on the scale of the latency histograms."""
    return BINS_PER_DOUBLING * log2(max(latency_ms, SHORTEST_LATENCY_MS) / SHORTEST_LATENCY_MS)


def request_position(requests: float) -> float:
    """The position of a number of requests on the scale of the in-flight histograms."""
    return BINS_PER_DOUBLING * log2(1.0 + max(requests, 0.0))


def ratio(positions: float) -> float:
    """The ratio of two values that lie this many positions apart."""
    return float(2 ** (positions / BINS_PER_DOUBLING))


class DecayingHistogram:
    """Counts in a fixed number of bins; positions beyond the ends count in the last bin there."""

    __slots__ = ("_median", "_median_is_current", "bins")

    def __init__(self, bin_count: int) -> None:
        self.bins = [0.0] * bin_count
        self._median: float | None = None
        self._median_is_current = True

    def add(self, position: float, count: float) -> None:
        """Counts `count` observations at a position."""
        self.bins[max(0, min(len(self.bins) - 1, int(position)))] += count
        self._median_is_current = False

    def halve(self) -> None:
        """Halves every count; those that are negligible become 0."""
        self.bins = [count / 2 if count > NEGLIGIBLE_COUNT else 0.0 for count in self.bins]
        self._median_is_current = False

    def median(self) -> float | None:
        """The position of the median, None while nothing was counted."""
        # Cached: a reconciliation asks several times for each server, and few have changed.
        if not self._median_is_current:
            self._median_is_current = True
            self._median = self._find_median()
        return self._median

    def _find_median(self) -> float | None:
        remaining = sum(self.bins) / 2
        for position, count in enumerate(self.bins):
            if count >= remaining and count:
                return position + remaining / count
            remaining -= count
        return None


def upper_median(values: Iterable[float], default: Value) -> float | Value:
    """The upper median of the values, `default` where there are none."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
