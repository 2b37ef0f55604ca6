"""The controller's interface: settings and events as input, orders as output.

An adapter translates its protocol into events, passes them to `Controller.reconcile(now_ms,
events)` and translates the returned orders back into its protocol. Times are floats in
milliseconds. Servers, slices and proxies are objects that an adapter gets from the
`ObjectRegistry`, one per id; the controller does not depend on the wire format of an id.
"""

from .events import (
    EndpointEntry,
    EndpointListUpdate,
    Event,
    HealthCheckOutcome,
    HealthCheckResult,
    ListScope,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    PushChannelStatus,
    ServerLoad,
    ServerLoadReport,
    ServerState,
    SliceAssignment,
    SliceLoadReport,
    SnapshotEntry,
    TimerFired,
)
from .orders import (
    BindTable,
    ClearTable,
    Order,
    RequestAcknowledgement,
    RequestEndpointList,
    RetryPolicy,
    SendHealthCheck,
    SetAdmission,
    SetEjection,
    SetEndpointWeight,
    StartTimer,
)
from .settings import (
    DeduplicationScope,
    Idempotency,
    LoadShedding,
    RequestClass,
    Settings,
)

__all__ = [
    "BindTable",
    "ClearTable",
    "DeduplicationScope",
    "EndpointEntry",
    "EndpointListUpdate",
    "Event",
    "HealthCheckOutcome",
    "HealthCheckResult",
    "Idempotency",
    "ListScope",
    "LoadShedding",
    "Order",
    "ProxyConnected",
    "ProxyDisconnected",
    "PushAcknowledged",
    "PushChannelStatus",
    "RequestAcknowledgement",
    "RequestClass",
    "RequestEndpointList",
    "RetryPolicy",
    "SendHealthCheck",
    "ServerLoad",
    "ServerLoadReport",
    "ServerState",
    "SetAdmission",
    "SetEjection",
    "SetEndpointWeight",
    "Settings",
    "SliceAssignment",
    "SliceLoadReport",
    "SnapshotEntry",
    "StartTimer",
    "TimerFired",
]
