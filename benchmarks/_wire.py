"""The bench's wire as the operators' pages have it: events to messages, messages to orders.

The tables are this module's own, so that neither version's adapter judges itself. Of the product's
names only those of the working tree's `havendyke.interface` are used, in which the days are drawn;
an earlier version is never asked for a name.

The wire has no form for `PushChannelStatus`, and none that an adapter tells from another one for
`EndpointEntry.start_confirmed` and for superseded health checks."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from havendyke import interface

Message = dict[str, Any]

NANOSECONDS_PER_MS = 1e6
# What the settings' page allows at least.
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
    """A message that the wire's page does not have."""


@dataclass(eq=False, slots=True)
class Handle:
    """Stands for a server, a slice or a proxy; the version behind the wire has its own object."""

    id: Any


@dataclass
class Handles:
    """The handles of all ids that either side has named, one for each."""

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
    """A time as the wire has it."""
    return time_ms * NANOSECONDS_PER_MS


# Settings


def encode_request_class(request_class: interface.RequestClass) -> Message:
    """A request class in the settings."""
    return {
        "promise": nanoseconds(max(MIN_OBJECTIVE_MS, request_class.latency_objective_ms)),
        "hardLimit": nanoseconds(request_class.deadline_ms),
        "repeat": WIRE_IDEMPOTENCY[request_class.idempotency],
        "group": WIRE_DEDUPLICATION_SCOPES[request_class.deduplication_scope],
        "window": nanoseconds(request_class.deduplication_window_ms),
    }


def encode_family(settings: interface.Settings) -> Message:
    """The settings of the slices and of the push channel."""
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
    """The settings; a figure below what their page allows is raised to that."""
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
    """The keys of settings, those of their sections included."""
    keys: dict[str, None] = {}
    for key, value in message.items():
        keys[key] = None
        for inner in value if isinstance(value, list) else [value]:
            if isinstance(inner, dict):
                keys.update(dict.fromkeys(settings_keys(inner)))
    return list(keys)


# Events


def encode_entry(entry: interface.EndpointEntry) -> Message:
    """An entry of the endpoint list."""
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
    """What a server says of itself; what it does not say is left out."""
    values = {wire_name: getattr(load, name) for name, wire_name in WIRE_LOAD_FIELDS.items()}
    return {wire_name: value for wire_name, value in values.items() if value is not None}


def encode_list_update(event: interface.EndpointListUpdate) -> Message:
    """Writes a list or changes of it."""
    items = [encode_entry(entry) for entry in event.entries]
    return {"kind": "MEMBERS", "scope": WIRE_LIST_SCOPES[event.scope], "items": items}


def encode_proxy_connected(event: interface.ProxyConnected) -> Message:
    """Writes the start of a stream."""
    return {
        "kind": "JOINED",
        "agent": event.proxy.id,
        "az": event.zone,
        "part": event.request_rate,
        "active": event.first_connection,
    }


def encode_proxy_disconnected(event: interface.ProxyDisconnected) -> Message:
    """Writes the end of a stream."""
    return {"kind": "PARTED", "agent": event.proxy.id}


def encode_slice_assignment(event: interface.SliceAssignment) -> Message:
    """Writes an assignment or its end."""
    return {"kind": "CUSTODY", "routeTable": event.slice.id, "active": event.assigned}


def encode_snapshot_entry(event: interface.SnapshotEntry) -> Message:
    """Writes an entry of the store."""
    return {
        "kind": "IN_STORE",
        "routeTable": event.slice.id,
        "task": event.server.id,
        "part": event.weight,
    }


def encode_server_load_report(event: interface.ServerLoadReport) -> Message:
    """Writes a report of one zone's attempts."""
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
    """Writes a report of a slice's requests."""
    return {
        "kind": "SLICE_LOAD",
        "routeTable": event.slice.id,
        "service": event.request_class,
        "count": event.requests,
        "bad": event.failures,
        "window": nanoseconds(event.window_ms),
    }


def encode_health_check_result(event: interface.HealthCheckResult) -> Message:
    """Writes the end of a health check."""
    return {
        "kind": "ECHO",
        "task": event.server.id,
        "stateCode": WIRE_OUTCOMES[event.outcome],
        "latency": nanoseconds(event.latency_ms),
        "feedback": encode_load(event.load),
    }


def encode_push_acknowledged(event: interface.PushAcknowledged) -> Message:
    """Writes an acknowledgement."""
    return {
        "kind": "CAUGHT_UP",
        "agent": event.proxy.id,
        "rev": event.nonce,
        "latency": nanoseconds(event.latency_ms),
    }


def encode_timer_fired(event: interface.TimerFired) -> Message:
    """Writes the end of a timer."""
    return {"kind": "REMINDER", "ctx": event.timer_id}


EVENT_ENCODERS: dict[type, Callable[[Any], Message]] = {
    interface.EndpointListUpdate: encode_list_update,
    interface.ProxyConnected: encode_proxy_connected,
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
    """An event as the wire has it; None where it has no form."""
    encoder = EVENT_ENCODERS.get(type(event))
    return encoder(event) if encoder else None


# Orders


def class_indices(mask: int) -> tuple[int, ...]:
    """The request classes of a mask, in which bit k stands for class k."""
    return tuple(k for k in range(mask.bit_length()) if mask >> k & 1)


def decode_set_admission(message: Message, _: Handles) -> interface.Order:
    """Reads what is admitted and retried of some request classes."""
    return interface.SetAdmission(
        class_indices(message["only"]), message["limit"], RETRY_POLICIES[message["secondTry"]]
    )


def decode_bind_table(message: Message, handles: Handles) -> interface.Order:
    """Reads the binding of a proxy to a table."""
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
    """A message of an answer as an order; raises `WireError`."""
    decoder = ORDER_DECODERS.get(message["kind"])
    if decoder is None:
        raise WireError(f"an answer has the unknown kind {message['kind']!r}")
    return decoder(message, handles)


def decode_answer(line: bytes) -> list[Message]:
    """The messages of an answer; raises `WireError`."""
    try:
        outbox: list[Message] = json.loads(line)["outbox"]
    except (ValueError, KeyError, TypeError) as error:
        raise WireError(f"an answer cannot be read: {type(error).__name__}: {error}") from error
    return outbox
