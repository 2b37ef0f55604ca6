"""Translation of the bench's messages to events, and of orders to messages."""

import pytest

from havendyke import interface as core
from havendyke.bench_adapter.messages import order_message, read_event
from havendyke.registry import ObjectRegistry


@pytest.fixture
def registry():
    settings = core.Settings(
        request_classes=[core.RequestClass(1000.0, 3000.0), core.RequestClass(2000.0, 6000.0)],
        slice_count=8,
    )
    return ObjectRegistry(settings, 5)


LOAD = {"load_share": 0.5, "concurrent": 3, "depth": 1, "unknown": 9}
SERVER_LOAD = core.ServerLoad(cpu_share=0.5, in_flight=3, queued=1)


def test_translates_each_message_to_its_event(registry):
    server, slice_, proxy = registry.server("t1"), registry.slice(4), registry.proxy(2)
    cases = {
        "TRAFFIC_REPORT": (
            {"task": "t1", "az": 2, "count": 9, "bad": 1, "latency": 4e6, "window": 5e8}
            | {"feedback": LOAD},
            core.ServerLoadReport(server, 2, 9, 1, 4.0, 500.0, SERVER_LOAD),
        ),
        "SLICE_LOAD": (
            {"routeTable": 4, "service": 1, "count": 9, "bad": 1, "window": 5e8},
            core.SliceLoadReport(slice_, 1, 9, 1, 500.0),
        ),
        "REMINDER": ({"ctx": 7}, core.TimerFired(7)),
        "ECHO": (
            {"task": "t1", "stateCode": "saturated", "latency": 4e6, "feedback": None},
            core.HealthCheckResult(server, core.HealthCheckOutcome.SATURATED, 4.0),
        ),
        "CAUGHT_UP": (
            {"agent": 2, "rev": 65535, "latency": 4e6},
            core.PushAcknowledged(proxy, 65535, 4.0),
        ),
        "JOINED": ({"agent": 2, "az": 1, "part": 3.5}, core.ProxyConnected(proxy, 1, 3.5, False)),
        "PARTED": ({"agent": 2}, core.ProxyDisconnected(proxy)),
        "CUSTODY": ({"routeTable": 4, "active": True}, core.SliceAssignment(slice_, True)),
        "IN_STORE": (
            {"routeTable": 4, "task": "t1", "part": 0.25},
            core.SnapshotEntry(slice_, server, 0.25),
        ),
        "MEMBERS": ({"scope": "Error"}, core.EndpointListUpdate(core.ListScope.FAILED, [])),
        "INTAKE": ({}, None),
        "HEARD": ({}, None),
    }
    for kind, (message, event) in cases.items():
        assert read_event(registry, kind, message) == event, kind


@pytest.mark.parametrize(
    "ready_at, started_ms", [(None, None), (0, None), (5e6, 5.0), (-5e6, -5.0)]
)
def test_endpoint_entry_defaults(registry, ready_at, started_ms):
    item = {"task": "t1", "health": "L", "readyAt": ready_at}
    event = read_event(registry, "MEMBERS", {"scope": "Partial", "items": [item]})
    entry = core.EndpointEntry(
        registry.server("t1"), core.ServerState.DRAINING, started_ms, 0, 0, 0, 1.0
    )
    assert event == core.EndpointListUpdate(core.ListScope.CHANGES, [entry])


def test_translates_each_order_to_its_message(registry):
    server, slice_, proxy = registry.server("t1"), registry.slice(4), registry.proxy(2)
    once = core.RetryPolicy.ONCE_AFTER_ANY_FAILURE
    cases = [
        (
            core.SetEndpointWeight(slice_, server, 0.25),
            {"kind": "LINE", "routeTable": 4, "task": "t1", "part": 0.25},
        ),
        (core.ClearTable(slice_), {"kind": "WIPE", "routeTable": 4}),
        (core.SetEjection(server, True), {"kind": "BENCH", "task": "t1", "active": True}),
        (
            core.BindTable(proxy, slice_, (0, 1)),
            {"kind": "BIND", "routeTable": 4, "only": 3, "agent": 2},
        ),
        (
            core.SetAdmission((1,), 0.5, once),
            {"kind": "RATION", "routeTable": 65535, "only": 2, "limit": 0.5, "secondTry": 2},
        ),
        (core.RequestAcknowledgement(9, False), {"kind": "BARRIER", "rev": 9, "active": False}),
        (core.SendHealthCheck(server), {"kind": "CHECK", "task": "t1"}),
        (core.StartTimer(3, 250.0), {"kind": "TIMER", "ctx": 3, "fromNow": 250_000_000}),
        (core.RequestEndpointList(), {"kind": "SUBSCRIBE", "active": True}),
    ]
    for order, message in cases:
        kind, *fields = message.items()
        expected = [kind, ("assignerId", 6), *fields]  # the order of the fields in the JSON text
        assert list(order_message(order, 6).items()) == expected
