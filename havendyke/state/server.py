"""A server as the controller observes and judges it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from ..interface import ServerState
from .histogram import DecayingHistogram

if TYPE_CHECKING:
    from .slice import Slice

# The time of what has not happened yet: 11 days before the clock's zero, so that every
# interval since then is over.
NEVER_MS = -1e9
# The start of a server whose start is not stated: 31 years before the clock's zero, so
# earlier than any stated start.
LONG_AGO_MS = -1e12
# Three bins a doubling: latencies from 8 ms to 2 s, requests in flight up to 255.
HISTOGRAM_BINS = 24


class HealthState(IntEnum):
    """How far a server may be used, in ascending order."""

    UNAVAILABLE = 0  # draining, gone or not in the endpoint list
    UNHEALTHY = 1  # an outlier
    WARMING_UP = 2
    HEALTHY = 3


# Under short names, for each reconciliation compares them for every server and slice.
UNAVAILABLE = HealthState.UNAVAILABLE
UNHEALTHY = HealthState.UNHEALTHY
WARMING_UP = HealthState.WARMING_UP
HEALTHY = HealthState.HEALTHY


@dataclass(frozen=True, slots=True)
class ZoneFailureReport:
    """What the last load report of one zone says of a server's failures."""

    received_ms: float
    failed_share: float


class Server:
    """One server: its entry in the endpoint list, what was reported, and what policy made of it.

    Adapters get it from the `ObjectRegistry`. `ObservedState` writes what events report and resets
    fields when an incarnation begins; the policy modules in a comment write the fields below it.
    """

    def __init__(self, ident: str) -> None:
        self.id = ident
        self.hash_key = str(ident).encode()
        # From the endpoint list. No state: a published table names it, no list has so far.
        self.state: ServerState | None = None
        self.not_ready_since_ms: float | None = (
            None  # when the list first called it draining or gone
        )
        self.started_ms: float | None = None
        self.start_assumed = False  # the start time comes from a cached list that is not trusted
        self.zone = 0
        self.size = 1.0
        # From load reports and health checks; `outlier_detection` clears `attempt_outcomes`.
        self.latency = DecayingHistogram(HISTOGRAM_BINS)
        self.attempt_outcomes = DecayingHistogram(2)  # attempts that succeeded and that failed
        self.in_flight = DecayingHistogram(HISTOGRAM_BINS)
        self.failure_reports: dict[int, ZoneFailureReport] = {}  # by reporting zone
        self.last_success_ms = NEVER_MS
        self.consecutive_connect_failures = 0
        self.unanswered_checks = 0
        # `health_checks`; a check's result ends `check_in_flight`.
        self.last_check_ms: float | None = None
        self.check_in_flight = False
        # `outlier_detection`; `recovery_ramp` ends `recovering`.
        self.unhealthy_until_ms: float | None = None
        self.ejection_time_ms = 0.0  # the last one, doubled by the next
        self.failing = False  # a large share of its attempts fails
        self.recovering = False  # restarted or was unhealthy, and has too few slices so far
        # `zone_loss`: what answers after this has most likely restarted.
        self.zone_lost_ms = LONG_AGO_MS
        # `server_capacity`
        self.health = UNAVAILABLE
        self.relative_latency = 1.0  # to the median of all servers
        self.capacity = 0.0
        self.guaranteed_capacity = 0.0
        # `demand` and `migration`: the slices whose primary it is, and what they bring.
        self.assigned_load = 0.0
        self.assigned_slices: list[Slice] = []
        # Set once, when the server is added: `load_limits` adds it to this controller's part before
        # it rounds down to whole slices.
        self.rounding_offset: float | None = None
        # `migration` and `rebalancer`
        self.last_slice_received_ms = NEVER_MS
        self.last_slice_released_ms = NEVER_MS
        self.overloaded_intervals = 0
        # `ejection`
        self.ejected = False  # out of all tables at the proxies
        self.ever_ejected = False
        # Some proxies may hold the opposite of `ejected`; set by reconnected proxies, snapshots and
        # the registry.
        self.ejection_unconfirmed = False

    def halve_histograms(self) -> None:
        """Halves the weight of earlier reports against those to come."""
        for histogram in (self.latency, self.attempt_outcomes, self.in_flight):
            histogram.halve()

    def warm_up_progress(self, now_ms: float, warm_up_ms: float, initial_share: float) -> float:
        """The share of its capacity that the server has at least, `initial_share` at its start."""
        started_ms = self.started_ms if self.started_ms is not None else LONG_AGO_MS
        # A start in the future, by another clock, is taken for one just now.
        elapsed = (now_ms - max(self.zone_lost_ms, started_ms)) / max(warm_up_ms, 1.0)
        return min(1.0, initial_share + (1 - initial_share) * max(0.0, elapsed))

    def begin_incarnation(self) -> None:
        """Forgets what was observed of the process that ran before."""
        self.latency = DecayingHistogram(HISTOGRAM_BINS)
        self.attempt_outcomes = DecayingHistogram(2)
        self.failure_reports = {}
        self.unhealthy_until_ms = None
        self.ejection_time_ms = 0.0
        self.recovering = True
        self.zone_lost_ms = LONG_AGO_MS
        self.consecutive_connect_failures = 0
        self.unanswered_checks = 0

    def set_state(self, state: ServerState, now_ms: float) -> None:
        """Takes over what the endpoint list says at `now_ms`."""
        if state == ServerState.READY:
            self.not_ready_since_ms = None
        elif self.not_ready_since_ms is None:
            self.not_ready_since_ms = now_ms
        self.state = state

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list calls the server ready."""
        return self.state == ServerState.READY
