"""The rule on cold servers as a budget of work for every window, over the work of any number of
controllers.

A cold server that is sent more than `overload` times its present capacity over a window of
`overload_window_ms` falls over. All work counts for that. Who is to blame is another question: the
rule is broken where enough of the work of that window came from proxies that must have known of the
server's start."""

from collections import deque
from dataclasses import dataclass

MIN_AWARE_SHARE = 2.0 / 3.0  # of the work in a window; from here on the rule is broken
WINDOW_FILLED = 0.9  # of a window must have been looked at before it is judged: looks come in steps


@dataclass(slots=True)
class SentLoad:
    """Operations a second that a server is sent; `known`: those by proxies that must know of its
    last start."""

    total: float = 0.0
    known: float = 0.0

    def add(self, rate: float, known: bool):
        self.total += rate
        self.known += rate if known else 0.0


@dataclass(frozen=True)
class OverloadFailure:
    """A server that fell over. `multiple`: of what it could take in that window without a fall, one
    or more."""

    server: object
    at: float
    multiple: float
    aware_share: float

    @property
    def breaks_rule(self) -> bool:
        return self.aware_share >= MIN_AWARE_SHARE


@dataclass(slots=True)
class Sample:
    """What a server was sent, and may be sent, from one look to the next, in operations."""

    at: float
    total: float
    known: float
    allowed: float


class ColdStartBudget:
    """`warm_capacity`: operations a second that a warm server of size 1 can do;
    `overload_window_ms` and `load_tolerance` are those of the bounds."""

    def __init__(
        self, settings, overload_window_ms: float, load_tolerance: float, warm_capacity: float
    ):
        self.settings, self.overload_window_ms, self.load_tolerance, self.warm_capacity = (
            settings,
            overload_window_ms,
            load_tolerance,
            warm_capacity,
        )
        self.windows, self.starts = {}, {}

    def allowed(self, size: float, age: float) -> float:
        """Operations a second that a server of this age (ms) bears at most without a fall."""
        warmth = (
            self.settings.initial_capacity_share
            + (1 - self.settings.initial_capacity_share) * age / self.settings.warm_up_ms
        )
        return self.settings.warm_up_overload_factor * self.warm_capacity * size * warmth

    def add_sample(
        self, now: float, past: float, server, started: float, size: float, work: SentLoad
    ) -> OverloadFailure | None:
        """Counts what the server was sent for the last `past` ms. After a fall a new window begins,
        so that a fall without blame does not excuse what follows."""
        age = now - started
        if not 0 <= age < self.settings.warm_up_ms:
            self.forget(server)
            return None
        if self.starts.get(server) != started:
            self.forget(server)
            self.starts[server] = started
        window = self.windows.setdefault(server, deque())
        window.append(
            Sample(now, work.total * past, work.known * past, self.allowed(size, age) * past)
        )
        while window[0].at <= now - self.overload_window_ms:
            window.popleft()
        return self.evaluate(now, server, window)

    def evaluate(self, now: float, server, window: deque) -> OverloadFailure | None:
        if now - window[0].at <= WINDOW_FILLED * self.overload_window_ms:
            return None
        sent = sum(sample.total for sample in window)
        allowed = sum(sample.allowed for sample in window)
        if sent <= allowed * (1 + self.load_tolerance):
            return None
        known = sum(sample.known for sample in window)
        window.clear()
        return OverloadFailure(server, now, sent / max(allowed, 1e-9), known / sent)

    def forget(self, server):
        self.windows.pop(server, None)
        self.starts.pop(server, None)
