"""A coarse histogram with exponential decay, and the logarithmic scales of its bins.

A position is a fractional bin index on such a scale.
"""

from collections.abc import Iterable
from math import log2
from typing import TypeVar

BINS_PER_DOUBLING = 3
SHORTEST_LATENCY_MS = 8.0
# Halving clears a bin with no more than this, so that an unused server loses its old median.
NEGLIGIBLE_COUNT = 0.1

Value = TypeVar("Value", float, float | None)


def latency_position(latency_ms: float) -> float:
    """Converts a latency to a position in the latency histograms."""
    return BINS_PER_DOUBLING * log2(max(latency_ms, SHORTEST_LATENCY_MS) / SHORTEST_LATENCY_MS)


def request_position(requests: float) -> float:
    """Converts a number of requests to a position in the in-flight histograms."""
    return BINS_PER_DOUBLING * log2(1.0 + max(requests, 0.0))


def ratio(positions: float) -> float:
    """The ratio of two values whose positions differ by this much."""
    return float(2 ** (positions / BINS_PER_DOUBLING))


class DecayingHistogram:
    """Counts in a fixed number of bins; positions out of range count in the nearest bin."""

    __slots__ = ("_median", "_median_is_current", "bins")

    def __init__(self, bin_count: int) -> None:
        self.bins = [0.0] * bin_count
        self._median: float | None = None
        self._median_is_current = True

    def add(self, position: float, count: float) -> None:
        """Adds `count` observations at a position."""
        self.bins[max(0, min(len(self.bins) - 1, int(position)))] += count
        self._median_is_current = False

    def halve(self) -> None:
        """Halves every count and clears negligible ones."""
        self.bins = [count / 2 if count > NEGLIGIBLE_COUNT else 0.0 for count in self.bins]
        self._median_is_current = False

    def median(self) -> float | None:
        """The position of the median; None if the histogram is empty."""
        # Cached: a reconciliation reads it several times per server, and few servers change.
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
    """The upper median of the values; `default` if there are none."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
