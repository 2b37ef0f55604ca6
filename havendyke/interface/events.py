"""Events that an adapter reports to the controller."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state import Proxy, Server, Slice


class ServerState(StrEnum):
    """A server's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(StrEnum):
    """What an endpoint list update contains."""

    CHANGES = "changes"
    COMPLETE = "complete"
    CACHED = "cached"  # a complete list that may be stale
    FAILED = "failed"  # a request for the list failed


class HealthCheckOutcome(StrEnum):
    """How a health check ended."""

    PASSED = "passed"
    ERROR = "error"  # a response that reports an error or is malformed
    SATURATED = "saturated"  # the response says that the server is up but at capacity
    TIMED_OUT = "timed_out"
    REFUSED = "refused"  # the connection was refused
    RESET = "reset"  # the connection was reset while connecting or before the response
    NOT_SENT = "not_sent"  # this host had no socket for it, which says nothing of the server
    SUPERSEDED = "superseded"  # the check reached an earlier incarnation of the server


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A server in the endpoint list."""

    server: Server
    state: ServerState
    started_ms: float | None  # None: not stated, treated as long ago
    zone: int  # negative: unknown
    cell: int  # not used by policy
    machine_kind: int  # not used by policy
    size: float  # relative capacity; used only if `Settings.sizes_stated`
    # False: the start time comes from a cached list and may be stale.
    start_confirmed: bool = True


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The complete endpoint list, or changes to it."""

    scope: ListScope
    entries: Sequence[EndpointEntry]


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """A proxy opened its stream."""

    proxy: Proxy
    zone: int
    request_rate: float  # expected requests per second
    first_connection: bool  # False: it may apply ejections of an earlier connection


@dataclass(frozen=True, slots=True)
class ProxyResynchronised:
    """A proxy that was connected is connected now; notifications about it were missed in between.

    It may have kept its stream, and then still receives what was sent on it, or it may have
    reconnected. Acknowledgements may have been missed as well.
    """

    proxy: Proxy
    zone: int
    request_rate: float  # expected requests per second
    first_connection: bool  # False: it may apply ejections of an earlier connection


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """A proxy's stream closed."""

    proxy: Proxy


@dataclass(frozen=True, slots=True)
class SliceAssignment:
    """The controller is now, or is no longer, responsible for a slice."""

    slice: Slice
    assigned: bool


@dataclass(frozen=True, slots=True)
class SnapshotEntry:
    """An entry of a slice's published table, read back from a snapshot."""

    slice: Slice
    server: Server
    weight: float


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load figures that a server reports about itself; None: not reported."""

    cpu_share: float | None = None
    completed_per_s: float | None = None
    errors_per_s: float | None = None
    in_flight: float | None = None
    queued: float | None = None
    service_time_ms: float | None = None  # excluding queueing time


# For servers that report no load figures.
UNKNOWN_LOAD = ServerLoad()


@dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """Attempts that the proxies of one zone made at a server during the window."""

    server: Server
    zone: int
    attempts: int
    failures: int
    latency_ms: float  # of successful attempts; 0: none succeeded
    window_ms: float
    load: ServerLoad = UNKNOWN_LOAD


@dataclass(frozen=True, slots=True)
class SliceLoadReport:
    """Requests of one class that arrived for a slice during the window."""

    slice: Slice
    request_class: int  # index into `Settings.request_classes`
    requests: int
    failures: int
    window_ms: float


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check that the controller ordered."""

    server: Server
    outcome: HealthCheckOutcome
    latency_ms: float
    load: ServerLoad = UNKNOWN_LOAD


@dataclass(frozen=True, slots=True)
class PushAcknowledged:
    """A proxy has applied all pushes up to the one with this nonce."""

    proxy: Proxy
    nonce: int
    latency_ms: float


@dataclass(frozen=True, slots=True)
class PushChannelStatus:
    """Whether orders can be sent to the proxies; assumed so until reported otherwise."""

    connected: bool
    # Pushes that were never sent and will not be; the published tables were re-read instead.
    unsent_nonces: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the controller started has expired."""

    timer_id: int


Event = (
    EndpointListUpdate
    | ProxyConnected
    | ProxyResynchronised
    | ProxyDisconnected
    | SliceAssignment
    | SnapshotEntry
    | ServerLoadReport
    | SliceLoadReport
    | HealthCheckResult
    | PushAcknowledged
    | PushChannelStatus
    | TimerFired
)
