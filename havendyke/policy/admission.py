"""Admission control: limits the share of requests that proxies admit during overload."""

from dataclasses import dataclass

from ..interface import LoadShedding, Settings
from .fleet_condition import FleetCondition

ADJUST_INTERVAL_MS = 2_500.0
# Below 1, so that requests already queued can drain.
COMPLETED_SHARE_ADMITTED = 0.9
MIN_ADMISSION_PROBABILITY = 0.25
ADMIT_ALL = 1.0
RECOVERY_FACTOR = 1.5  # of the limit at each adjustment
SHEDDING_ERROR_RATE = 0.12  # share of failed attempts above which load is shed
UNLIMITED_REQUESTS_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """Requests and attempts since the last adjustment, over all reporting proxies."""

    offered: float
    succeeded: float
    failed: float

    def error_rate_exceeds(self, rate: float) -> bool:
        """Whether more than this share of the completed attempts failed."""
        return self.failed > rate * (self.succeeded + self.failed)


class AdmissionController:
    """Lowers the admission probability while the fleet is saturated, and raises it afterwards.

    Active only if proxies shed load by share; otherwise `limit` keeps its initial value, which
    admits everything. Writes `admitted_share` of the fleet's condition.
    """

    def __init__(self, settings: Settings) -> None:
        self._enabled = settings.load_shedding == LoadShedding.BY_SHARE
        by_rate = settings.load_shedding == LoadShedding.BY_RATE
        self.limit = UNLIMITED_REQUESTS_PER_S if by_rate else ADMIT_ALL
        self._next_adjustment_ms = -ADJUST_INTERVAL_MS

    def adjust(self, now_ms: float, condition: FleetCondition, counts: RequestCounts) -> bool:
        """Adjusts the limit to the counts, at most once per interval.

        Returns whether it evaluated the counts; the caller then resets them.
        """
        if not self._enabled or now_ms < self._next_adjustment_ms:
            return False
        self._next_adjustment_ms = now_ms + ADJUST_INTERVAL_MS
        previous_limit = self.limit
        # Failures without high latency are refused connections; load shedding frees no connection.
        saturated = condition.overloaded and condition.congested
        if saturated and counts.error_rate_exceeds(SHEDDING_ERROR_RATE):
            self._shed(counts)
            # Requests already admitted must drain before the effect shows.
            self._next_adjustment_ms += ADJUST_INTERVAL_MS
        # Not raised while collapsed: servers that warm up have no reports, so that the median may
        # hide the overload of the others.
        elif not condition.collapsed and not saturated:
            self.limit = min(ADMIT_ALL, RECOVERY_FACTOR * self.limit)
        condition.admitted_share = min(previous_limit, self.limit)
        return True

    def _shed(self, counts: RequestCounts) -> None:
        sustainable = COMPLETED_SHARE_ADMITTED * counts.succeeded / max(counts.offered, 1.0)
        self.limit = max(MIN_ADMISSION_PROBABILITY, min(self.limit, sustainable))
