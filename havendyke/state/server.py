"""Observed and derived state of a server."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from ..interface import ServerState
from .histogram import DecayingHistogram

if TYPE_CHECKING:
    from .slice import Slice

# Time of an event that has not happened: 11 days before the clock's epoch, so that any interval
# since then has elapsed.
NEVER_MS = -1e9
# Start time of a server that states none: 31 years before the clock's epoch, so earlier than any
# stated one.
LONG_AGO_MS = -1e12
# At three bins per doubling: latencies from 8 ms to 2 s, up to 255 requests in flight.
HISTOGRAM_BINS = 24


class HealthState(IntEnum):
    """A server's health, in ascending order of usability."""

    UNAVAILABLE = 0  # draining, gone, or not in the endpoint list
    UNHEALTHY = 1  # an outlier, or unlisted while no current list arrives
    WARMING_UP = 2
    HEALTHY = 3


# Module-level aliases: each reconciliation compares them for every server and slice.
UNAVAILABLE = HealthState.UNAVAILABLE
UNHEALTHY = HealthState.UNHEALTHY
WARMING_UP = HealthState.WARMING_UP
HEALTHY = HealthState.HEALTHY


class ZoneLoadReport(NamedTuple):
    """A server's failures according to the last load report of one zone's proxies."""

    received_ms: float
    window_ms: float  # the length of the span that it covers, which ended before it arrived
    failed_share: float


class Server:
    """A server: its endpoint list entry, observations, and the state that policy derives.

    Adapters get it from the `ObjectRegistry`. `ObservedState` writes the fields that events report
    and resets fields when an incarnation begins; the policy modules that a comment names write the
    fields below it.
    """

    def __init__(self, server_id: str) -> None:
        self.id = server_id
        self.hash_key = str(server_id).encode()
        # From the endpoint list. State None: known from a published table, but not yet listed.
        self.state: ServerState | None = None
        # When the list first reported it draining or gone.
        self.not_ready_since_ms: float | None = None
        self.started_ms: float | None = None
        self.start_assumed = False  # the start time comes from a cached list
        self.zone = 0
        self.size = 1.0
        # From load reports and health checks; `outlier_detection` clears `attempt_outcomes`.
        self.latency = DecayingHistogram(HISTOGRAM_BINS)
        self.attempt_outcomes = DecayingHistogram(2)  # bins: succeeded, failed
        self.in_flight = DecayingHistogram(HISTOGRAM_BINS)
        self.zone_reports: dict[int, ZoneLoadReport] = {}  # by reporting zone
        self.last_success_ms = NEVER_MS
        self.consecutive_connect_failures = 0
        self.unanswered_checks = 0
        # `health_checks`; a check's result resets `check_in_flight`.
        self.last_check_ms: float | None = None
        self.check_in_flight = False
        # `outlier_detection`; `zone_loss` sets `recovering` too, `recovery_ramp` resets it.
        self.unhealthy_until_ms: float | None = None
        self.ejection_time_ms = 0.0  # of the last ejection; the next one doubles it
        self.failing = False  # a large share of its attempts fail
        # Restarted, was unhealthy or presumed lost, and still has too few slices.
        self.recovering = False
        # `zone_loss`: a server that answers after this has most likely restarted.
        self.zone_lost_ms = LONG_AGO_MS
        # `server_capacity`
        self.health = UNAVAILABLE
        self.relative_latency = 1.0  # to the median of all servers
        self.capacity = 0.0
        self.guaranteed_capacity = 0.0
        # `demand` and `migration`: the slices whose primary it is, and their load.
        self.assigned_load = 0.0
        self.assigned_slices: list[Slice] = []
        # Set once, when the server is added; `load_limits` adds it to this controller's share
        # before rounding down to whole slices.
        self.rounding_offset: float | None = None
        # `migration`, `rebalancer` and `failover`
        self.last_slice_received_ms = NEVER_MS
        self.last_slice_released_ms = NEVER_MS
        self.overloaded_intervals = 0
        # `ejection`
        self.ejected = False  # the proxies exclude it from all tables
        self.ever_ejected = False
        # Some proxies may have the opposite of `ejected`; set after proxies reconnect, by snapshots
        # and by the registry.
        self.ejection_unconfirmed = False
        self.ejection_serial = 0  # the last push that began or ended its ejection; 0: none

    def halve_histograms(self) -> None:
        """Halves the weight of past reports."""
        for histogram in (self.latency, self.attempt_outcomes, self.in_flight):
            histogram.halve()

    def warm_up_progress(self, now_ms: float, warm_up_ms: float, initial_share: float) -> float:
        """A lower bound of the share of its capacity that the server has reached by now."""
        started_ms = self.started_ms if self.started_ms is not None else LONG_AGO_MS
        # A start time in the future, due to clock skew, counts as now.
        elapsed = (now_ms - max(self.zone_lost_ms, started_ms)) / max(warm_up_ms, 1.0)
        return min(1.0, initial_share + (1 - initial_share) * max(0.0, elapsed))

    def begin_incarnation(self) -> None:
        """Discards observations of the previous process."""
        self.latency = DecayingHistogram(HISTOGRAM_BINS)
        self.attempt_outcomes = DecayingHistogram(2)
        self.zone_reports = {}
        self.unhealthy_until_ms = None
        self.ejection_time_ms = 0.0
        self.recovering = True
        self.zone_lost_ms = LONG_AGO_MS
        self.consecutive_connect_failures = 0
        self.unanswered_checks = 0

    def set_state(self, state: ServerState, now_ms: float) -> None:
        """Sets the state that the endpoint list reports at `now_ms`."""
        if state == ServerState.READY:
            self.not_ready_since_ms = None
        elif self.not_ready_since_ms is None:
            self.not_ready_since_ms = now_ms
        self.state = state

    @property
    def is_ready(self) -> bool:
        """Whether the server is ready according to the endpoint list."""
        return self.state == ServerState.READY
