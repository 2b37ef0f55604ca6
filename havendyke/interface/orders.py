"""Orders that the controller gives to an adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state import Proxy, Server, Slice


class RetryPolicy(Enum):
    """When a proxy may retry a request."""

    NEVER = "never"
    IF_NOT_STARTED = "if_not_started"  # only if the first attempt provably was not executed
    ONCE_AFTER_ANY_FAILURE = "once_after_any_failure"


@dataclass(frozen=True, slots=True)
class SetEndpointWeight:
    """Sets a server's weight in a slice's table."""

    slice: Slice
    server: Server
    weight: float  # 0 removes the server from the table


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Removes all entries from a slice's table."""

    slice: Slice


@dataclass(frozen=True, slots=True)
class SetEjection:
    """Ejects a server from, or restores it to, load balancing at all proxies.

    The tables themselves do not change.
    """

    server: Server
    ejected: bool


@dataclass(frozen=True, slots=True)
class BindTable:
    """Binds a proxy to a table, in deployments without slices."""

    proxy: Proxy
    table: Slice
    request_classes: tuple[int, ...]  # indices, ascending; empty: all classes


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Sets the admission limit and the retry policy of request classes at all proxies."""

    request_classes: tuple[int, ...]  # indices, ascending
    limit: float  # a share or requests per second, depending on `Settings.load_shedding`
    retry_policy: RetryPolicy


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    """Ends a push: each proxy that received a part of it acknowledges the nonce."""

    nonce: int
    all_proxies: bool  # also those that received no part of it


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Sends a health check to a server."""

    server: Server


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Starts a timer that reports `TimerFired` after the delay."""

    timer_id: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class RequestEndpointList:
    """Requests the endpoint list from discovery."""


Order = (
    SetEndpointWeight
    | ClearTable
    | SetEjection
    | BindTable
    | SetAdmission
    | RequestAcknowledgement
    | SendHealthCheck
    | StartTimer
    | RequestEndpointList
)
