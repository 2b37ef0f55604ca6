"""The cold start rule as a load budget for each window, over the load from any number of
controllers.

A cold server that is sent more than `warm_up_overload_factor` times its present capacity over a
window of `overload_window_ms` fails, whichever proxies send the load. The rule is broken only if at
least `MIN_AWARE_SHARE` of that load came from proxies that must have known of the server's start.
"""

from collections import deque
from dataclasses import dataclass

MIN_AWARE_SHARE = 2.0 / 3.0  # of a window's load; at this share or above, the rule is broken
MIN_WINDOW_COVERAGE = 0.9  # of the window, which samples seldom cover exactly


@dataclass(slots=True)
class SentLoad:
    """Requests per second that a server is sent; `known`: those from proxies that must know of its
    last start."""

    total: float = 0.0
    known: float = 0.0

    def add(self, rate: float, known: bool):
        """Adds the requests per second of one proxy."""
        self.total += rate
        self.known += rate if known else 0.0


@dataclass(frozen=True)
class OverloadFailure:
    """A cold server that failed of overload.

    `multiple`: its load over the most that it could serve in that window, at least 1.
    `aware_share`: the share of the load from proxies that must have known of its start."""

    server: object
    at: float
    multiple: float
    aware_share: float

    @property
    def breaks_rule(self) -> bool:
        """Whether the controllers had to prevent it."""
        return self.aware_share >= MIN_AWARE_SHARE


@dataclass(slots=True)
class Sample:
    """Requests that a server was sent between two checks, and the most that it could serve."""

    at: float
    total: float
    known: float
    allowed: float


class ColdStartBudget:
    """Compares the load of each cold server in a sliding window with the most that it can serve.

    `warm_capacity`: requests per second that a warm server of size 1 can serve;
    `overload_window_ms` and `load_tolerance` are those of `rules.Bounds`."""

    def __init__(
        self, settings, overload_window_ms: float, load_tolerance: float, warm_capacity: float
    ):
        self.settings = settings
        self.overload_window_ms = overload_window_ms
        self.load_tolerance = load_tolerance
        self.warm_capacity = warm_capacity
        self.windows = {}
        self.starts = {}

    def allowed(self, size: float, age: float) -> float:
        """The most requests per second that a server of this age (ms) serves without a failure."""
        capacity_share = (
            self.settings.initial_capacity_share
            + (1 - self.settings.initial_capacity_share) * age / self.settings.warm_up_ms
        )
        return self.settings.warm_up_overload_factor * self.warm_capacity * size * capacity_share

    def add_sample(
        self, now: float, elapsed: float, server, started: float, size: float, load: SentLoad
    ) -> OverloadFailure | None:
        """Counts the load of the last `elapsed` ms; returns the failure that it causes, if any.

        A new window begins after a failure, so that a failure that does not break the rule does not
        excuse a later one."""
        age = now - started
        if not 0 <= age < self.settings.warm_up_ms:
            self.forget(server)
            return None
        if self.starts.get(server) != started:
            self.forget(server)
            self.starts[server] = started
        window = self.windows.setdefault(server, deque())
        window.append(
            Sample(
                now, load.total * elapsed, load.known * elapsed, self.allowed(size, age) * elapsed
            )
        )
        while window[0].at <= now - self.overload_window_ms:
            window.popleft()
        return self.evaluate(now, server, window)

    def evaluate(self, now: float, server, window: deque) -> OverloadFailure | None:
        """The failure that the samples of a window cause, if any; clears the window then."""
        if now - window[0].at <= MIN_WINDOW_COVERAGE * self.overload_window_ms:
            return None
        sent = sum(sample.total for sample in window)
        allowed = sum(sample.allowed for sample in window)
        if sent <= allowed * (1 + self.load_tolerance):
            return None
        known = sum(sample.known for sample in window)
        window.clear()
        return OverloadFailure(server, now, sent / max(allowed, 1e-9), known / sent)

    def forget(self, server):
        """Drops the server's window; for one that is warm or gone."""
        self.windows.pop(server, None)
        self.starts.pop(server, None)
