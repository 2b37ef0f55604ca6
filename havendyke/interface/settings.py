"""Settings of a controller; an adapter fills in those that its protocol states."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

# Value of a limit that is not stated, in the unit of its setting.
UNLIMITED = 1e9


class Idempotency(StrEnum):
    """Whether repeating a request is safe."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # servers deduplicate by idempotency key
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(StrEnum):
    """Which servers share the record of idempotency keys for deduplication."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadShedding(StrEnum):
    """The unit of an admission limit."""

    NONE = "none"
    BY_SHARE = "share"  # share of requests that is admitted
    BY_RATE = "rate"  # requests per second that are admitted


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same objectives and retry semantics."""

    latency_objective_ms: float  # latency up to which a response has its full value
    deadline_ms: float  # the client gives up after this time
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long servers remember a key
    own_zone_only: bool = False  # may only be routed to servers in the proxy's zone

    @property
    def retryable(self) -> bool:
        """Whether a request that is retried after any failure takes effect at most once."""
        if self.idempotency is Idempotency.KEYED:
            return (
                self.deduplication_scope is DeduplicationScope.ALL
                and self.deduplication_window_ms >= self.deadline_ms
            )
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Settings:
    """A deployment's parameters.

    Limits in table entries count an entry once per proxy that receives it.
    """

    request_classes: Sequence[RequestClass]
    zone_count: int = 1
    slice_count: int = 0  # 0: proxies are bound to tables instead
    exclusive_ownership: bool = False  # at most one server per slice at a time, at all proxies
    lease_ms: float = 0.0  # exclusive ownership: how long a disconnected proxy uses its table
    max_write_in_flight_ms: float = 0.0  # longest time that a write stays in flight
    max_empty_table_ms: float = 0.0  # how long a slice may be without endpoint; 0: not stated
    channel_queue_limit: float = UNLIMITED  # table entries queued in the push channel
    channel_rate_per_s: float = UNLIMITED  # table entries per second
    message_overhead: float = 0.0  # cost of a message beyond its entries, in table entries
    push_delay_ms: float = 0.0  # mean delay of a message
    message_limit: int = 0  # messages to one proxy per window; 0: no limit
    message_limit_window_ms: float = 0.0
    report_interval_ms: float = 1000.0
    warm_up_ms: float = 0.0  # time until a started server has its full capacity
    initial_capacity_share: float = 1.0  # share at the start of warm-up
    # While warming up, a server fails above this multiple of its usual load, times its progress.
    warm_up_overload_factor: float = UNLIMITED
    list_on_request: bool = False  # discovery sends the endpoint list only when requested
    list_request_timeout_ms: float = 0.0  # failed requests are retried well within it
    health_checks: bool = False
    load_shedding: LoadShedding = LoadShedding.NONE
    sizes_stated: bool = False  # sizes in the endpoint list are relative capacities
    controller_count: int = 1  # including this one
    controller_index: int | None = None  # from 0; None: not stated
    connection_capacity: float = 0.0  # connection limit of the smallest server; 0: not stated
    connection_idle_ms: float = 0.0  # idle time after which a proxy closes a connection
