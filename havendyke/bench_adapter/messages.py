"""Translates the bench's messages to events, and orders to messages; the only module that does."""

from collections.abc import Callable
from typing import Any

from .. import interface as core
from ..fields import NUMBER_TYPES, FieldError, read_choice, read_field, read_ms
from ..registry import ObjectRegistry
from ..state import Proxy, Server, Slice

Message = dict[str, Any]

NANOSECONDS_PER_MS = 1e6
ALL_TABLES = 65535  # table number in an order that applies to all tables

LIST_SCOPES = {
    "Partial": core.ListScope.CHANGES,
    "Complete": core.ListScope.COMPLETE,
    "Persisted": core.ListScope.CACHED,
    "Error": core.ListScope.FAILED,
}
SERVER_STATES = {
    "U": core.ServerState.READY,
    "L": core.ServerState.DRAINING,
    "D": core.ServerState.GONE,
}
HEALTH_CHECK_OUTCOMES = {
    "completed": core.HealthCheckOutcome.PASSED,
    "errored": core.HealthCheckOutcome.ERROR,
    "saturated": core.HealthCheckOutcome.SATURATED,
    "overdue": core.HealthCheckOutcome.TIMED_OUT,
    "refused_conn": core.HealthCheckOutcome.REFUSED,
    "severed": core.HealthCheckOutcome.RESET,
    "recalled": core.HealthCheckOutcome.TIMED_OUT,
    "superseded": core.HealthCheckOutcome.TIMED_OUT,
}
# Maps the bench's load figures to the fields of `ServerLoad`.
LOAD_FIELDS = {
    "load_share": "cpu_share",
    "tps": "completed_per_s",
    "concurrent": "in_flight",
    "depth": "queued",
    "mean_ms": "service_time_ms",
    "err_ps": "errors_per_s",
}
RETRY_POLICIES = {
    core.RetryPolicy.NEVER: 0,
    core.RetryPolicy.IF_NOT_STARTED: 1,
    core.RetryPolicy.ONCE_AFTER_ANY_FAILURE: 2,
}
# Messages that no decision depends on.
IGNORED_KINDS = frozenset({"INTAKE", "HEARD"})


def read_event(registry: ObjectRegistry, kind: str, message: Message) -> core.Event | None:
    """Translates a message to an event; None if no decision depends on it.

    Raises `FieldError` if a field is missing or malformed.
    """
    if kind in IGNORED_KINDS:
        return None
    if kind not in EVENT_READERS:
        raise FieldError(f"field 'kind' has the unknown value '{kind}'")
    return EVENT_READERS[kind](registry, message)


def order_message(order: core.Order, controller_id: int) -> Message:
    """Translates an order of a controller to a message."""
    kind, write_fields = ORDER_WRITERS[type(order)]
    return {"kind": kind, "assignerId": controller_id, **write_fields(order)}


def failure_message(controller_id: int, error: Exception) -> Message:
    """The message that reports a failure of a controller."""
    return {
        "kind": "GIVE_IN",
        "assignerId": controller_id,
        "message": f"{type(error).__name__}: {error}",
    }


# Messages to events


def _server(registry: ObjectRegistry, message: Message) -> Server:
    return registry.server(read_field(message, "task", str))


def _slice(registry: ObjectRegistry, message: Message) -> Slice:
    return registry.slice(read_field(message, "routeTable", int))


def _proxy(registry: ObjectRegistry, message: Message) -> Proxy:
    return registry.proxy(read_field(message, "agent", int))


def _server_load(message: Message) -> core.ServerLoad:
    figures = read_field(message, "feedback", dict, {})
    return core.ServerLoad(
        **{
            LOAD_FIELDS[name]: read_field(figures, name, NUMBER_TYPES)
            for name in figures
            if name in LOAD_FIELDS
        }
    )


def _server_load_report(registry: ObjectRegistry, message: Message) -> core.ServerLoadReport:
    return core.ServerLoadReport(
        _server(registry, message),
        zone=read_field(message, "az", int),
        attempts=read_field(message, "count", int),
        failures=read_field(message, "bad", int),
        latency_ms=read_ms(message, "latency"),
        window_ms=read_ms(message, "window"),
        load=_server_load(message),
    )


def _slice_load_report(registry: ObjectRegistry, message: Message) -> core.SliceLoadReport:
    return core.SliceLoadReport(
        _slice(registry, message),
        request_class=read_field(message, "service", int),
        requests=read_field(message, "count", int),
        failures=read_field(message, "bad", int),
        window_ms=read_ms(message, "window"),
    )


def _health_check_result(registry: ObjectRegistry, message: Message) -> core.HealthCheckResult:
    return core.HealthCheckResult(
        _server(registry, message),
        outcome=read_choice(message, "stateCode", HEALTH_CHECK_OUTCOMES),
        latency_ms=read_ms(message, "latency"),
        load=_server_load(message),
    )


def _push_acknowledged(registry: ObjectRegistry, message: Message) -> core.PushAcknowledged:
    return core.PushAcknowledged(
        _proxy(registry, message),
        nonce=read_field(message, "rev", int),
        latency_ms=read_ms(message, "latency"),
    )


def _proxy_connected(registry: ObjectRegistry, message: Message) -> core.ProxyConnected:
    return core.ProxyConnected(
        _proxy(registry, message),
        zone=read_field(message, "az", int),
        request_rate=read_field(message, "part", NUMBER_TYPES),
        first_connection=read_field(message, "active", bool, False),
    )


def _proxy_disconnected(registry: ObjectRegistry, message: Message) -> core.ProxyDisconnected:
    return core.ProxyDisconnected(_proxy(registry, message))


def _slice_assignment(registry: ObjectRegistry, message: Message) -> core.SliceAssignment:
    return core.SliceAssignment(_slice(registry, message), read_field(message, "active", bool))


def _snapshot_entry(registry: ObjectRegistry, message: Message) -> core.SnapshotEntry:
    return core.SnapshotEntry(
        _slice(registry, message),
        _server(registry, message),
        read_field(message, "part", NUMBER_TYPES),
    )


def _endpoint_list_update(registry: ObjectRegistry, message: Message) -> core.EndpointListUpdate:
    return core.EndpointListUpdate(
        read_choice(message, "scope", LIST_SCOPES),
        [_endpoint_entry(registry, item) for item in read_field(message, "items", list, [])],
    )


def _endpoint_entry(registry: ObjectRegistry, item: Message) -> core.EndpointEntry:
    started_ns = read_field(item, "readyAt", NUMBER_TYPES, 0)
    return core.EndpointEntry(
        _server(registry, item),
        state=read_choice(item, "health", SERVER_STATES),
        started_ms=started_ns / NANOSECONDS_PER_MS if started_ns else None,
        zone=read_field(item, "az", int, 0),
        cell=read_field(item, "stripe", int, 0),
        machine_kind=read_field(item, "machine", int, 0),
        size=read_field(item, "part", NUMBER_TYPES, 1.0),
    )


def _timer_fired(_: ObjectRegistry, message: Message) -> core.TimerFired:
    return core.TimerFired(read_field(message, "ctx", int))


EVENT_READERS: dict[str, Callable[[ObjectRegistry, Message], core.Event]] = {
    "TRAFFIC_REPORT": _server_load_report,
    "SLICE_LOAD": _slice_load_report,
    "REMINDER": _timer_fired,
    "ECHO": _health_check_result,
    "CAUGHT_UP": _push_acknowledged,
    "JOINED": _proxy_connected,
    "PARTED": _proxy_disconnected,
    "CUSTODY": _slice_assignment,
    "IN_STORE": _snapshot_entry,
    "MEMBERS": _endpoint_list_update,
}


# Orders to messages


def _class_mask(request_classes: tuple[int, ...]) -> int:
    """A bit mask of request classes; bit k is class k."""
    return sum(1 << k for k in request_classes)


def _endpoint_weight(order: core.SetEndpointWeight) -> Message:
    return {"routeTable": order.slice.id, "task": order.server.id, "part": order.weight}


def _cleared_table(order: core.ClearTable) -> Message:
    return {"routeTable": order.slice.id}


def _ejection(order: core.SetEjection) -> Message:
    return {"task": order.server.id, "active": order.ejected}


def _bound_table(order: core.BindTable) -> Message:
    return {
        "routeTable": order.table.id,
        "only": _class_mask(order.request_classes),
        "agent": order.proxy.id,
    }


def _admission(order: core.SetAdmission) -> Message:
    return {
        "routeTable": ALL_TABLES,
        "only": _class_mask(order.request_classes),
        "limit": order.limit,
        "secondTry": RETRY_POLICIES[order.retry_policy],
    }


def _acknowledgement_request(order: core.RequestAcknowledgement) -> Message:
    return {"rev": order.nonce, "active": order.all_proxies}


def _health_check(order: core.SendHealthCheck) -> Message:
    return {"task": order.server.id}


def _timer(order: core.StartTimer) -> Message:
    return {"ctx": order.timer_id, "fromNow": round(order.delay_ms * NANOSECONDS_PER_MS)}


def _list_request(_: core.RequestEndpointList) -> Message:
    return {"active": True}


# By order type: the message's kind, and the function that returns its other fields.
ORDER_WRITERS: dict[type[core.Order], tuple[str, Callable[[Any], Message]]] = {
    core.SetEndpointWeight: ("LINE", _endpoint_weight),
    core.ClearTable: ("WIPE", _cleared_table),
    core.SetEjection: ("BENCH", _ejection),
    core.BindTable: ("BIND", _bound_table),
    core.SetAdmission: ("RATION", _admission),
    core.RequestAcknowledgement: ("BARRIER", _acknowledgement_request),
    core.SendHealthCheck: ("CHECK", _health_check),
    core.StartTimer: ("TIMER", _timer),
    core.RequestEndpointList: ("SUBSCRIBE", _list_request),
}
