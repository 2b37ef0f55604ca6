"""The bench's wire format as documented: encodes settings and events, decodes orders.

The tables do not come from either version's adapter, so that an adapter is not compared with
itself. Days are generated in the types of the working tree's `havendyke.interface`, the only module
of the product that is used here; nothing of an earlier version is imported.

The format cannot express `PushChannelStatus`, and it does not distinguish
`EndpointEntry.start_confirmed` and superseded health checks."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from havendyke import interface

Message = dict[str, Any]

NANOSECONDS_PER_MS = 1e6
# Documented minima of the settings.
MIN_OBJECTIVE_MS = 1e-3
MIN_INTERVAL_MS = 1.0
MIN_QUEUE_LIMIT = 1.0
MIN_CHANNEL_RATE = 1e-3

WIRE_IDEMPOTENCY = {
    interface.Idempotency.IDEMPOTENT: "pure",
    interface.Idempotency.KEYED: "token",
    interface.Idempotency.NON_IDEMPOTENT: "side_effect",
}
WIRE_DEDUPLICATION_SCOPES = {
    interface.DeduplicationScope.ALL: "all",
    interface.DeduplicationScope.ZONE: "zone",
    interface.DeduplicationScope.CELL: "cell",
}
WIRE_LOAD_SHEDDING = {
    interface.LoadShedding.NONE: "none",
    interface.LoadShedding.BY_SHARE: "share",
    interface.LoadShedding.BY_RATE: "rate",
}
WIRE_LIST_SCOPES = {
    interface.ListScope.CHANGES: "Partial",
    interface.ListScope.COMPLETE: "Complete",
    interface.ListScope.CACHED: "Persisted",
    interface.ListScope.FAILED: "Error",
}
WIRE_SERVER_STATES = {
    interface.ServerState.READY: "U",
    interface.ServerState.DRAINING: "L",
    interface.ServerState.GONE: "D",
}
WIRE_OUTCOMES = {
    interface.HealthCheckOutcome.PASSED: "completed",
    interface.HealthCheckOutcome.ERROR: "errored",
    interface.HealthCheckOutcome.SATURATED: "saturated",
    interface.HealthCheckOutcome.TIMED_OUT: "overdue",
    interface.HealthCheckOutcome.REFUSED: "refused_conn",
    interface.HealthCheckOutcome.RESET: "severed",
}
WIRE_LOAD_FIELDS = {
    "cpu_share": "load_share",
    "completed_per_s": "tps",
    "in_flight": "concurrent",
    "queued": "depth",
    "service_time_ms": "mean_ms",
    "errors_per_s": "err_ps",
}
RETRY_POLICIES = {
    0: interface.RetryPolicy.NEVER,
    1: interface.RetryPolicy.IF_NOT_STARTED,
    2: interface.RetryPolicy.ONCE_AFTER_ANY_FAILURE,
}
FAILURE_KIND = "GIVE_IN"


class WireError(ValueError):
    """A message that the wire format does not have."""


@dataclass(eq=False, slots=True)
class Handle:
    """A server, a slice or a proxy of a controller in another process."""

    id: Any


@dataclass
class Handles:
    """One handle for each id that events or orders have named."""

    servers: dict[str, Any] = field(default_factory=dict)
    slices: dict[int, Any] = field(default_factory=dict)
    proxies: dict[int, Any] = field(default_factory=dict)

    def server(self, id_: str) -> Any:
        """The handle of a server."""
        return self.servers.setdefault(id_, Handle(id_))

    def slice(self, id_: int) -> Any:
        """The handle of a slice."""
        return self.slices.setdefault(id_, Handle(id_))

    def proxy(self, id_: int) -> Any:
        """The handle of a proxy."""
        return self.proxies.setdefault(id_, Handle(id_))


def nanoseconds(time_ms: float) -> float:
    """Converts milliseconds to the wire's unit."""
    return time_ms * NANOSECONDS_PER_MS


# Settings


def encode_request_class(request_class: interface.RequestClass) -> Message:
    """Encodes a request class of the settings."""
    return {
        "promise": nanoseconds(max(MIN_OBJECTIVE_MS, request_class.latency_objective_ms)),
        "hardLimit": nanoseconds(request_class.deadline_ms),
        "repeat": WIRE_IDEMPOTENCY[request_class.idempotency],
        "group": WIRE_DEDUPLICATION_SCOPES[request_class.deduplication_scope],
        "window": nanoseconds(request_class.deduplication_window_ms),
    }


def encode_family(settings: interface.Settings) -> Message:
    """Encodes the settings of the slices and of the push channel."""
    return {
        "classOwnZone": [c.own_zone_only for c in settings.request_classes],
        "keyRanges": settings.slice_count,
        "oneOwner": settings.exclusive_ownership,
        "lease": nanoseconds(settings.lease_ms),
        "lingers": nanoseconds(settings.max_write_in_flight_ms),
        "emptyFor": nanoseconds(settings.max_empty_table_ms),
        "pendingMax": max(MIN_QUEUE_LIMIT, settings.channel_queue_limit),
        "channelRate": max(MIN_CHANNEL_RATE, settings.channel_rate_per_s),
        "overhead": settings.message_overhead,
        "pushDelay": nanoseconds(settings.push_delay_ms),
        "updateCap": settings.message_limit,
        "countedOver": nanoseconds(settings.message_limit_window_ms),
        "interval": nanoseconds(max(MIN_INTERVAL_MS, settings.report_interval_ms)),
        "throttleBy": WIRE_LOAD_SHEDDING[settings.load_shedding],
        "smallestConnTable": settings.connection_capacity,
    }


def encode_settings(settings: interface.Settings) -> Message:
    """Encodes the settings; values below their documented minimum are raised to it."""
    return {
        "requestClasses": [encode_request_class(c) for c in settings.request_classes],
        "localities": [f"zone-{k}" for k in range(settings.zone_count)],
        "registryMode": "ask" if settings.list_on_request else "push",
        "weightKind": "nominal" if settings.sizes_stated else "none",
        "balancers": settings.controller_count,
        "me": settings.controller_index,
        "familyInfo": encode_family(settings),
        "obligations": {
            "cold": nanoseconds(settings.warm_up_ms),
            "coldFrom": settings.initial_capacity_share,
            "overloadFactor": settings.warm_up_overload_factor,
            "askWithin": nanoseconds(settings.list_request_timeout_ms),
        },
        "limits": {
            "probes": settings.health_checks,
            "connIdle": nanoseconds(settings.connection_idle_ms),
        },
    }


def settings_keys(message: Mapping[str, Any]) -> list[str]:
    """The keys of encoded settings and of their sections."""
    keys: dict[str, None] = {}
    for key, value in message.items():
        keys[key] = None
        for inner in value if isinstance(value, list) else [value]:
            if isinstance(inner, dict):
                keys.update(dict.fromkeys(settings_keys(inner)))
    return list(keys)


# Events


def encode_entry(entry: interface.EndpointEntry) -> Message:
    """Encodes an entry of the endpoint list."""
    return {
        "task": entry.server.id,
        "health": WIRE_SERVER_STATES[entry.state],
        "readyAt": None if entry.started_ms is None else nanoseconds(entry.started_ms),
        "az": entry.zone,
        "stripe": entry.cell,
        "machine": entry.machine_kind,
        "part": entry.size,
    }


def encode_load(load: interface.ServerLoad) -> Message:
    """Encodes the load that a server reports; fields that it does not report are omitted."""
    values = {wire_name: getattr(load, name) for name, wire_name in WIRE_LOAD_FIELDS.items()}
    return {wire_name: value for wire_name, value in values.items() if value is not None}


def encode_list_update(event: interface.EndpointListUpdate) -> Message:
    """Encodes an endpoint list or changes of it."""
    items = [encode_entry(entry) for entry in event.entries]
    return {"kind": "MEMBERS", "scope": WIRE_LIST_SCOPES[event.scope], "items": items}


def encode_proxy_connected(
    event: interface.ProxyConnected | interface.ProxyResynchronised,
) -> Message:
    """Encodes the start of a proxy's stream."""
    return {
        "kind": "JOINED",
        "agent": event.proxy.id,
        "az": event.zone,
        "part": event.request_rate,
        "active": event.first_connection,
    }


def encode_proxy_disconnected(event: interface.ProxyDisconnected) -> Message:
    """Encodes the end of a proxy's stream."""
    return {"kind": "PARTED", "agent": event.proxy.id}


def encode_slice_assignment(event: interface.SliceAssignment) -> Message:
    """Encodes the assignment or withdrawal of a slice."""
    return {"kind": "CUSTODY", "routeTable": event.slice.id, "active": event.assigned}


def encode_snapshot_entry(event: interface.SnapshotEntry) -> Message:
    """Encodes an entry of a published table."""
    return {
        "kind": "IN_STORE",
        "routeTable": event.slice.id,
        "task": event.server.id,
        "part": event.weight,
    }


def encode_server_load_report(event: interface.ServerLoadReport) -> Message:
    """Encodes a report of one zone's attempts at a server."""
    return {
        "kind": "TRAFFIC_REPORT",
        "task": event.server.id,
        "az": event.zone,
        "count": event.attempts,
        "bad": event.failures,
        "latency": nanoseconds(event.latency_ms),
        "window": nanoseconds(event.window_ms),
        "feedback": encode_load(event.load),
    }


def encode_slice_load_report(event: interface.SliceLoadReport) -> Message:
    """Encodes a report of a slice's requests."""
    return {
        "kind": "SLICE_LOAD",
        "routeTable": event.slice.id,
        "service": event.request_class,
        "count": event.requests,
        "bad": event.failures,
        "window": nanoseconds(event.window_ms),
    }


def encode_health_check_result(event: interface.HealthCheckResult) -> Message:
    """Encodes the result of a health check."""
    return {
        "kind": "ECHO",
        "task": event.server.id,
        "stateCode": WIRE_OUTCOMES[event.outcome],
        "latency": nanoseconds(event.latency_ms),
        "feedback": encode_load(event.load),
    }


def encode_push_acknowledged(event: interface.PushAcknowledged) -> Message:
    """Encodes a proxy's acknowledgement."""
    return {
        "kind": "CAUGHT_UP",
        "agent": event.proxy.id,
        "rev": event.nonce,
        "latency": nanoseconds(event.latency_ms),
    }


def encode_timer_fired(event: interface.TimerFired) -> Message:
    """Encodes the expiry of a timer."""
    return {"kind": "REMINDER", "ctx": event.timer_id}


EVENT_ENCODERS: dict[type, Callable[[Any], Message]] = {
    interface.EndpointListUpdate: encode_list_update,
    interface.ProxyConnected: encode_proxy_connected,
    interface.ProxyResynchronised: encode_proxy_connected,  # the wire misses no notification
    interface.ProxyDisconnected: encode_proxy_disconnected,
    interface.SliceAssignment: encode_slice_assignment,
    interface.SnapshotEntry: encode_snapshot_entry,
    interface.ServerLoadReport: encode_server_load_report,
    interface.SliceLoadReport: encode_slice_load_report,
    interface.HealthCheckResult: encode_health_check_result,
    interface.PushAcknowledged: encode_push_acknowledged,
    interface.TimerFired: encode_timer_fired,
}


def encode_event(event: interface.Event) -> Message | None:
    """Encodes an event; None where the wire format cannot express it."""
    encoder = EVENT_ENCODERS.get(type(event))
    return encoder(event) if encoder else None


# Orders


def class_indices(mask: int) -> tuple[int, ...]:
    """The request classes of a bit mask; bit k is class k."""
    return tuple(k for k in range(mask.bit_length()) if mask >> k & 1)


def decode_set_admission(message: Message, _: Handles) -> interface.Order:
    """Decodes the admission limit and the retry policy of some request classes."""
    return interface.SetAdmission(
        class_indices(message["only"]), message["limit"], RETRY_POLICIES[message["secondTry"]]
    )


def decode_bind_table(message: Message, handles: Handles) -> interface.Order:
    """Decodes the binding of a proxy to a table."""
    return interface.BindTable(
        handles.proxy(message["agent"]),
        handles.slice(message["routeTable"]),
        class_indices(message["only"]),
    )


ORDER_DECODERS: dict[str, Callable[[Message, Handles], interface.Order]] = {
    "LINE": lambda message, handles: interface.SetEndpointWeight(
        handles.slice(message["routeTable"]), handles.server(message["task"]), message["part"]
    ),
    "WIPE": lambda message, handles: interface.ClearTable(handles.slice(message["routeTable"])),
    "BENCH": lambda message, handles: interface.SetEjection(
        handles.server(message["task"]), message["active"]
    ),
    "BIND": decode_bind_table,
    "RATION": decode_set_admission,
    "BARRIER": lambda message, _: interface.RequestAcknowledgement(
        message["rev"], message["active"]
    ),
    "CHECK": lambda message, handles: interface.SendHealthCheck(handles.server(message["task"])),
    "TIMER": lambda message, _: interface.StartTimer(
        message["ctx"], message["fromNow"] / NANOSECONDS_PER_MS
    ),
    "SUBSCRIBE": lambda *_: interface.RequestEndpointList(),
}


def decode_order(message: Message, handles: Handles) -> interface.Order:
    """Decodes an order of an answer; raises `WireError`."""
    decoder = ORDER_DECODERS.get(message["kind"])
    if decoder is None:
        raise WireError(f"the answer has a message of unknown kind {message['kind']!r}")
    return decoder(message, handles)


def decode_answer(line: bytes) -> list[Message]:
    """Parses the messages of an answer; raises `WireError`."""
    try:
        outbox: list[Message] = json.loads(line)["outbox"]
    except (ValueError, KeyError, TypeError) as error:
        raise WireError(f"the answer is invalid: {type(error).__name__}: {error}") from error
    return outbox
