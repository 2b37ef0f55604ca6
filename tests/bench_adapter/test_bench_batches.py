"""Batches: which instances reconcile, which failures are reported, which input is rejected."""

import json

import pytest

from havendyke.bench_adapter.batches import BatchError, BenchAdapter
from havendyke.fields import FieldError
from havendyke.registry import ObjectRegistry

BOOT = {
    "kind": "BOOT",
    "assignerId": 1,
    "salt": 5,
    "settings": {
        "requestClasses": [{"promise": 1e9, "hardLimit": 3e9, "repeat": "pure"}],
        "unknown": {"x": 1},
        "familyInfo": {"keyRanges": 4, "channelRate": 1000.0, "pendingMax": 1000.0},
        "localities": ["a"],
    },
}


def send(adapter, *events, time_ns=1_000_000_000):
    return json.loads(
        adapter.answer(json.dumps({"ts": time_ns, "serial": 4, "inbox": list(events)}))
    )


def test_reply_echoes_the_serial_and_only_instances_with_events_reconcile():
    adapter = BenchAdapter()
    reply = send(adapter, BOOT)
    assert reply["serial"] == 4 and {o["assignerId"] for o in reply["outbox"]} == {1}
    assert send(adapter)["outbox"] == []


@pytest.mark.parametrize(
    "event, field",
    [
        ({"kind": "PARTED", "assignerId": 1}, "agent"),
        ({"kind": "CAUGHT_UP", "assignerId": 1, "agent": "x", "rev": 1, "latency": 1}, "agent"),
        ({"kind": "NONSENSE", "assignerId": 1}, "kind"),
        ({"kind": "MEMBERS", "assignerId": 1, "scope": "Odd", "items": []}, "scope"),
    ],
)
def test_error_for_malformed_input_names_the_field(event, field):
    adapter = BenchAdapter()
    send(adapter, BOOT)
    with pytest.raises(FieldError, match=f"'{field}'"):
        send(adapter, event)


@pytest.mark.parametrize(
    "event",
    [
        {"kind": "REMINDER", "assignerId": 9, "ctx": 3},
        {"kind": "CAUGHT_UP", "assignerId": 1, "agent": 3, "rev": 77, "latency": 1},
        {"kind": "PARTED", "assignerId": 1, "agent": 40},
        {
            "kind": "SLICE_LOAD",
            "assignerId": 1,
            "routeTable": 3,
            "service": 0,
            "count": 1,
            "bad": 0,
            "window": 1,
        },
        {
            "kind": "ECHO",
            "assignerId": 1,
            "task": "task-never",
            "stateCode": "overdue",
            "latency": 5,
            "feedback": None,
        },
    ],
)
def test_events_about_unknown_objects_cause_no_other_orders(event):
    adapter = BenchAdapter()
    send(adapter, BOOT)
    assert all(o["kind"] in ("TIMER", "RATION", "BARRIER") for o in send(adapter, event)["outbox"])


def test_reports_an_exception_in_reconciliation_with_its_cause(monkeypatch):
    adapter = BenchAdapter()
    send(adapter, BOOT)
    monkeypatch.setattr(ObjectRegistry, "reconcile", lambda registry, now_ms: 1 // 0)
    reply = send(adapter, {"kind": "PARTED", "assignerId": 1, "agent": 0})
    assert reply["outbox"] == [
        {
            "kind": "GIVE_IN",
            "assignerId": 1,
            "message": "ZeroDivisionError: integer division or modulo by zero",
        }
    ]


def test_two_instances_with_the_same_events_give_the_same_orders():
    adapter, second_boot = BenchAdapter(), {**BOOT, "assignerId": 2}
    endpoint_list = {
        "kind": "MEMBERS",
        "scope": "Persisted",
        "rev": 1,
        "items": [
            {
                "health": "U",
                "readyAt": None,
                "machine": 0,
                "az": 0,
                "stripe": 0,
                "task": f"task-{k}",
                "part": 1,
            }
            for k in range(4)
        ],
    }
    reply = send(
        adapter,
        BOOT,
        {**endpoint_list, "assignerId": 1},
        second_boot,
        {**endpoint_list, "assignerId": 2},
    )
    first, second = (
        [{**o, "assignerId": 0} for o in reply["outbox"] if o["assignerId"] == n] for n in (1, 2)
    )
    assert first == second


def test_reports_settings_that_a_controller_cannot_start_with():
    boot = {**BOOT, "settings": {**BOOT["settings"], "requestClasses": []}}
    kinds = [o["kind"] for o in send(BenchAdapter(), boot)["outbox"]]
    assert kinds == ["GIVE_IN"]


@pytest.mark.parametrize("line", [b"{", b"[]", b"7", b"\xff{}"])
def test_a_line_that_is_not_a_batch_raises_batch_error(line):
    with pytest.raises(BatchError):
        BenchAdapter().answer(line)


def test_an_ended_instance_ignores_messages():
    adapter, teardown = BenchAdapter(), {"kind": "TEARDOWN", "assignerId": 1}
    assert send(adapter, BOOT, teardown)["outbox"] == []
    assert send(adapter, {"kind": "PARTED", "assignerId": 1, "agent": 0})["outbox"] == []
