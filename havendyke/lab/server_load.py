"""How servers respond to load, and the sampled load reports that controllers get of it."""

from collections import deque
from dataclasses import dataclass

from .. import interface as core

SERVICE_TIME_MS = 60.0  # of a server that is not congested
CONGESTED_FROM, FAILS_FROM = (
    0.6,
    1.2,
)  # utilization above which latency grows, and above which requests fail
LATENCY_SLOPE, MAX_FAILED_SHARE = (
    6.0,
    0.9,
)  # in service times per unit of utilization above CONGESTED_FROM; of the requests


@dataclass(slots=True)
class SimulatedServer:
    """One server.

    `started`: when it first answered since its last start; None: long ago. `failed`: it failed of
    overload and stays down."""

    name: str
    zone: int
    size: float = 1.0
    up: bool = True
    started: float | None = None
    failed: bool = False


@dataclass(frozen=True)
class Sampling:
    """How load reports sample the proxies' requests.

    Each controller gets a report of each server and slice once in `period_ms`. A report covers the
    requests of one zone's proxies over `span_ms` and arrives after `delay_ms`. `zones`: the number
    of zones; a server's reports cover them in turn."""

    period_ms: float = 1000.0
    span_ms: float = 1000.0
    zones: int = 1
    delay_ms: float = 300.0


def failed_share(utilization: float) -> float:
    """The share of requests that fail at this utilization."""
    return max(0.0, min(MAX_FAILED_SHARE, utilization - FAILS_FROM))


def latency(utilization: float) -> float:
    """The mean latency (ms) at this utilization."""
    return SERVICE_TIME_MS * (1 + LATENCY_SLOPE * max(0.0, utilization - CONGESTED_FROM))


@dataclass(slots=True)
class RequestSample:
    """The requests of one controller's proxies to a server between two checks."""

    at: float
    attempts: float
    failures: float
    latency: float


class RequestHistory:
    """The recent requests of one controller's proxies to one server."""

    def __init__(self):
        self.samples = deque()

    def add(self, sample: RequestSample, span: float):
        """Adds a sample and drops those that are older than `span` ms."""
        self.samples.append(sample)
        while self.samples[0].at <= sample.at - span:
            self.samples.popleft()

    def report(
        self, now: float, server, zone: int, sampling: Sampling
    ) -> core.ServerLoadReport | None:
        """The report of one zone's proxies; None if they sent no requests."""
        recent = [sample for sample in self.samples if sample.at > now - sampling.span_ms]
        attempts = round(sum(sample.attempts for sample in recent) / sampling.zones)
        failures = min(attempts, round(sum(sample.failures for sample in recent) / sampling.zones))
        if not attempts:
            return None
        mean_latency = recent[-1].latency if failures < attempts else 0.0
        return core.ServerLoadReport(
            server, zone, attempts, failures, mean_latency, sampling.span_ms
        )
