"""The servers as they are, and what controllers get to hear of them: sampled reports that cover a
span of time."""

from collections import deque
from dataclasses import dataclass

from .. import interface as core

SERVICE = 60.0  # ms that an answer takes on a server with room
BUSY_FROM, FAILS_FROM = (
    0.6,
    1.2,
)  # parts of what a server can do from which on answers get slower, and fail
SLOWER, MOST_FAILED = (
    6.0,
    0.9,
)  # times the service, for each whole part beyond; share of failures at most


@dataclass(slots=True)
class SimulatedServer:
    """One server. `started`: when it answered first since its last start, None: long ago; `failed`:
    it fell over and stays down."""

    name: str
    zone: int
    size: float = 1.0
    up: bool = True
    started: float | None = None
    failed: bool = False


@dataclass(frozen=True)
class Sampling:
    """Each controller hears of each server and slice once in `period`, from one of `zones` in turn,
    what this zone's proxies met over `span`; the report is `delay` under way. Times are ms."""

    period_ms: float = 1000.0
    span_ms: float = 1000.0
    zones: int = 1
    delay_ms: float = 300.0


def failed_share(used: float) -> float:
    """The share of its operations that fail at a server that is sent `used` times what it can
    do."""
    return max(0.0, min(MOST_FAILED, used - FAILS_FROM))


def latency(used: float) -> float:
    """The mean time of an answer (ms) of a server that is sent `used` times what it can do."""
    return SERVICE * (1 + SLOWER * max(0.0, used - BUSY_FROM))


@dataclass(slots=True)
class RequestSample:
    """What the proxies of one controller met at a server from one look to the next, in
    operations."""

    at: float
    tries: float
    bad: float
    latency: float


class RequestHistory:
    """What the proxies of one controller met at one server."""

    def __init__(self):
        self.samples = deque()

    def add(self, met: RequestSample, span: float):
        self.samples.append(met)
        while self.samples[0].at <= met.at - span:
            self.samples.popleft()

    def report(
        self, now: float, server, zone: int, sampling: Sampling
    ) -> core.ServerLoadReport | None:
        """The report of one zone; None where it met nothing."""
        recent = [met for met in self.samples if met.at > now - sampling.span_ms]
        tries = round(sum(met.tries for met in recent) / sampling.zones)
        bad = min(tries, round(sum(met.bad for met in recent) / sampling.zones))
        if not tries:
            return None
        slow = recent[-1].latency if bad < tries else 0.0
        return core.ServerLoadReport(server, zone, tries, bad, slow, sampling.span_ms)
