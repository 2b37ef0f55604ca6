"""Calls of orders to the relay; the test moves transports and time."""

import pytest
from helpers import (
    PROXY_CONNECTED,
    PUSH_ACKNOWLEDGED,
    SLICE_ASSIGNED,
    SUCCESS_REPLY,
    TABLE_ENTRY,
    feed,
    make_assigner,
    open_watch_stream,
    sent_orders,
    snapshot_stream,
    suspend_reconciliation,
    table_entry,
    take_pending_events,
    weight_order,
)

from havendyke import interface as core
from havendyke.net.relay_orders import (
    AcknowledgementOrder,
    AdmissionOrder,
    ClearOrder,
    EjectionOrder,
)


def start_call(hub, assigner, *orders):
    assigner.relay.order(list(orders))
    return hub.open("relay")


@pytest.mark.parametrize("taken, left, refused", [(2, [], 0), (0, ["s2"], 1), (1, [], 1)])
def test_only_the_order_that_the_relay_cannot_use_is_left_out(taken, left, refused):
    assigner, hub = make_assigner()
    call = start_call(
        hub, suspend_reconciliation(assigner), weight_order(1, "s1"), weight_order(1, "s2")
    )
    feed(call, [{"id": sent_orders(call)[1], "result": {"taken": taken}}])
    assert [o["host"] for o in sent_orders(call)[0][-1]] == (left or ["s1", "s2"])
    assert len(sent_orders(call)[0]) == 1 + bool(left)
    assert hub.counters.get("relay_partial", 0) == refused


def test_a_weight_that_the_relay_cannot_use_is_not_taken_for_published():
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    call = start_call(
        hub, assigner, weight_order(4, "s2"), weight_order(4, "s1", 0.0), weight_order(5, "s1")
    )
    feed(call, [{"id": sent_orders(call)[1], "result": {"taken": 0}}])
    assert [(type(e).__name__, e.slice.id) for e in take_pending_events(assigner)] == [
        ("SliceAssignment", 4),
        ("SnapshotEntry", 4),
    ]
    assert [o["table"] for o in sent_orders(call)[0][-1]] == [5]


def test_rejected_calls_wait_and_the_controller_is_notified_once():
    assigner, hub = make_assigner(again_most=50.0)
    call = start_call(hub, suspend_reconciliation(assigner), weight_order(1, "s1"))
    for _ in range(3):
        feed(call, [{"id": sent_orders(call)[1], "error": {"code": -1, "message": "BUSY"}}])
        hub.run_for(60)
    assert [len(o) for o in sent_orders(call)[0]] == [1] * 4
    assert take_pending_events(assigner, core.PushChannelStatus) == [core.PushChannelStatus(False)]
    feed(call, [{"id": sent_orders(call)[1], "result": {"taken": 1}}])
    hub.run_for(60)
    assert take_pending_events(assigner, core.PushChannelStatus) == [core.PushChannelStatus(True)]


def test_after_a_start_the_channel_opens_once_connecting_proxies_are_counted():
    assigner, hub = make_assigner()
    suspend_reconciliation(assigner).relay.start()
    feed(hub.open("relay_watch"), [SUCCESS_REPLY, SLICE_ASSIGNED, TABLE_ENTRY])
    hub.run_for(1000)
    assert take_pending_events(assigner, core.PushChannelStatus) == [core.PushChannelStatus(False)]
    for proxy in range(1, 6):
        feed(
            hub.open("relay_watch"),
            [{"method": "SUBSCRIBE", "params": PROXY_CONNECTED["params"] | {"sidecar": proxy}}],
        )
        assert take_pending_events(assigner, core.PushChannelStatus) == []
        hub.run_for(40)
    hub.run_for(200)
    assert take_pending_events(assigner, core.PushChannelStatus) == [core.PushChannelStatus(True)]


@pytest.mark.parametrize("why", ["BUSY", "refused"])
def test_orders_from_before_an_interruption_are_planned_anew(why):
    # Published once more proxies have connected, they would overfill the channel.
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    mark = AcknowledgementOrder(1, all_proxies=False)
    assigner.relay.order([weight_order(4, "s2"), weight_order(4, "s1", 0.0), mark])
    if why == "BUSY":
        call = hub.open("relay")
        feed(call, [{"id": sent_orders(call)[1], "error": {"message": why}}])
    else:
        hub.open("relay", establish=False).close(why)
    events = take_pending_events(assigner)
    assert [type(e).__name__ for e in events] == [
        "PushChannelStatus",
        "SliceAssignment",
        "SnapshotEntry",
        "PushChannelStatus",
    ] and events[3].unsent_nonces == (1,)
    assert assigner.relay.queue.orders == [AcknowledgementOrder(1, all_proxies=False)]
    assert assigner.relay.watch.slices.tables[4] == {"s1": 1.0}
    hub.run_for(60)
    again = hub.open("relay")
    feed(again, [{"id": sent_orders(again)[1], "result": {"taken": 1}}])
    assert take_pending_events(assigner, core.PushChannelStatus) == []
    hub.run_for(60)
    assert take_pending_events(assigner, core.PushChannelStatus) == [core.PushChannelStatus(True)]


def test_an_unreadable_order_is_found_by_halving_and_left_out():
    assigner, hub = make_assigner(again_most=50.0)
    call = start_call(
        hub, suspend_reconciliation(assigner), *[weight_order(k, "s1") for k in range(4)]
    )
    taken = []
    while assigner.relay.call:
        orders, number = sent_orders(call)
        bad = any(o["table"] == 2 for o in orders[-1])
        taken += [] if bad else [o["table"] for o in orders[-1]]
        feed(
            call,
            [
                {"id": number, "error": {"message": "SYNTAX"}}
                if bad
                else {"id": number, "result": {"taken": len(orders[-1])}}
            ],
        )
        hub.run_for(60)
    assert sorted(taken) == [0, 1, 3]


def test_a_single_weight_that_the_relay_cannot_read_is_not_taken_for_published():
    # The controller believed in an entry that no proxy had, for good.
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    call = start_call(hub, assigner, weight_order(4, "s2"))
    feed(call, [{"id": sent_orders(call)[1], "error": {"message": "SYNTAX"}}])
    reported = take_pending_events(assigner, core.SliceAssignment, core.SnapshotEntry)
    assert [(type(e).__name__, e.slice.id) for e in reported] == [
        ("SliceAssignment", 4),
        ("SnapshotEntry", 4),
    ]
    assert "order_rejected" in dict(hub.logged)


CALL_OUTCOMES = {
    "broken": lambda c, hub: c.close("reset"),
    "silent": lambda c, hub: hub.run_for(110),
    "unreadable": lambda c, hub: feed(c, b"{{{\n"),
    "idle": lambda c, hub: c.eof_received(),
}


@pytest.mark.parametrize("ending", CALL_OUTCOMES)
@pytest.mark.parametrize("carried", [True, False])
def test_a_snapshot_resolves_a_call_with_unknown_outcome(ending, carried):
    # Repeated blindly, the orders could overfill the channel; dropped, they would be lost for good.
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    call = start_call(
        hub,
        assigner,
        weight_order(4, "s2"),
        weight_order(4, "s1", 0.0),
        AcknowledgementOrder(1, all_proxies=False),
    )
    CALL_OUTCOMES[ending](call, hub)
    assigner.relay.order([weight_order(4, "s3")])
    hub.run_for(110)
    row = {
        "method": "ROW",
        "params": {"partition": 4, "host": "s2" if carried else "s1", "share": 1.0},
    }
    snapshot = snapshot_stream(hub)
    feed(snapshot, [SUCCESS_REPLY, SLICE_ASSIGNED, row])
    hub.run_for(100)
    again = hub.open("relay")
    assert [o.get("host") for o in sent_orders(again)[0][-1]] == (
        ["s3"] if carried else ["s2", "s1", None, "s3"]
    )
    assert snapshot.over and not assigner.relay.unresolved.is_pending
    feed(
        again, [{"id": sent_orders(again)[1], "result": {"taken": len(sent_orders(again)[0][-1])}}]
    )
    assert [e.connected for e in take_pending_events(assigner, core.PushChannelStatus)] == [
        False,
        True,
    ]


def test_an_acknowledgement_proves_that_its_call_was_carried_out():
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, PROXY_CONNECTED)
    mark = AcknowledgementOrder(7, all_proxies=True)
    start_call(hub, assigner, EjectionOrder("s1", ejected=True), mark).close("reset")
    hub.run_for(200)
    feed(hub.open("relay_watch"), [PUSH_ACKNOWLEDGED])
    relay = assigner.relay
    assert not relay.unresolved.is_pending and relay.queue.orders == []
    assert relay.channel.is_available


def test_newer_orders_take_along_those_that_wait_to_be_repeated():
    assigner, hub = make_assigner()
    out = EjectionOrder("s1", ejected=True)
    start_call(hub, suspend_reconciliation(assigner), out).close("reset")
    hub.run_for(110)
    assigner.relay.order([weight_order(1, "s2")])
    assert [o["op"] for o in sent_orders(hub.open("relay"))[0][0]] == ["OUT", "SET"]
    assert take_pending_events(assigner, core.PushChannelStatus) == []


def test_the_channel_opens_once_no_order_waits():
    # With no order left no call would ever show that the relay is back.
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    start_call(hub, assigner, weight_order(4, "s2")).close("reset")
    hub.run_for(110)
    feed(
        snapshot_stream(hub),
        [
            SUCCESS_REPLY,
            SLICE_ASSIGNED,
            TABLE_ENTRY,
            {"method": "ROW", "params": {"partition": 4, "host": "s2", "share": 1}},
        ],
    )
    hub.run_for(100)
    assert [e.connected for e in take_pending_events(assigner, core.PushChannelStatus)] == [
        False,
        True,
    ]


@pytest.mark.parametrize(
    "shown, carried", [([("s1", 0.0), ("s2", 0.0)], True), ([("s1", 0.02)], False)]
)
def test_a_snapshot_resolves_calls_about_rounded_weights(shown, carried):
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, table_entry("s1", 0.02)
    )
    start_call(hub, assigner, weight_order(4, "s1", 0.0004), weight_order(4, "s2", 8e-6)).close(
        "reset"
    )
    hub.run_for(110)
    feed(snapshot_stream(hub), [SUCCESS_REPLY, SLICE_ASSIGNED] + [table_entry(*r) for r in shown])
    hub.run_for(100)
    assert hub.counters.get("relay_found_carried_out", 0) == carried
    take_pending_events(assigner)
    open_watch_stream(assigner, hub, SLICE_ASSIGNED, *[table_entry(*r) for r in shown])
    assert take_pending_events(
        assigner, core.SnapshotEntry
    ) == [] and assigner.relay.watch.slices.tables[4]["s1"] == (0.0004 if carried else 0.02)


def test_a_call_with_unknown_outcome_that_changes_no_table_is_repeated():
    assigner, hub = make_assigner()
    out = EjectionOrder("s1", ejected=True)
    start_call(hub, suspend_reconciliation(assigner), out).close("reset")
    hub.run_for(810)
    assert sent_orders(hub.open("relay"))[0] == [[{"op": "OUT", "host": "s1"}]]


def test_newer_orders_replace_older_ones_that_wait():
    assigner, hub = make_assigner()
    relay = suspend_reconciliation(assigner).relay
    relay.order(
        [
            weight_order(1, "s1"),
            weight_order(1, "s2"),
            EjectionOrder("s1", ejected=True),
            AdmissionOrder(("lookup",), 0.1, core.RetryPolicy.NEVER),
            AcknowledgementOrder(1, all_proxies=True),
        ]
    )
    relay.order(
        [
            weight_order(1, "s1", 0.0),
            EjectionOrder("s1", ejected=False),
            AdmissionOrder(("lookup", "write"), 0.2, core.RetryPolicy.NEVER),
            AcknowledgementOrder(2, all_proxies=False),
        ]
    )
    assert relay.queue.orders == [
        weight_order(1, "s2"),
        weight_order(1, "s1", 0.0),
        EjectionOrder("s1", ejected=False),
        AdmissionOrder(("lookup", "write"), 0.2, core.RetryPolicy.NEVER),
        AcknowledgementOrder(2, all_proxies=True),
    ]
    relay.order([ClearOrder(1)])
    keys = [order.key for order in relay.queue.orders]
    assert weight_order(1, "s1").key not in keys and ClearOrder(1).key in keys


def test_orders_beyond_the_limit_of_a_call_follow_in_order():
    assigner, hub = make_assigner(call_bytes=100)
    call = start_call(
        hub, suspend_reconciliation(assigner), *[weight_order(k, "s1") for k in range(8)]
    )
    while assigner.relay.call:
        orders, number = sent_orders(call)
        feed(call, [{"id": number, "result": {"taken": len(orders[-1])}}])
    assert [o["table"] for orders in sent_orders(call)[0] for o in orders] == list(
        range(8)
    ) and len(sent_orders(call)[0]) > 2


def test_idle_connections_are_closed_and_stale_replies_do_no_harm():
    assigner, hub = make_assigner()
    call = start_call(hub, suspend_reconciliation(assigner), weight_order(1, "s1"))
    feed(
        call,
        [
            {"id": 999, "result": {"taken": 1}},
            {"id": sent_orders(call)[1], "result": {"taken": 1}},
            {"id": 3},
        ],
    )
    assert not call.over and assigner.relay.call is None
    hub.run_for(1600)
    assert call.over and assigner.relay.connection is None


def test_orders_from_before_a_new_assignment_are_dropped():
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    assigner.relay.order([weight_order(4, "s2"), weight_order(3, "s2")])
    feed(hub.open("relay_watch"), [{"method": "GRANT", "params": {"partition": 4, "yes": False}}])
    assert [order.key for order in assigner.relay.queue.orders] == [weight_order(3, "s2").key]


@pytest.mark.parametrize(
    "invalid",
    [
        {"result": {"taken": "2"}},
        {"result": {"taken": 3}},
        {"result": {"taken": -1}},
        {"result": {"taken": True}},
        {"result": {}},
        {"result": 2},
        {"error": None},
        {"error": {"message": 5}},
        {"error": {"message": "ODD"}},
        {},
    ],
)
def test_after_an_invalid_reply_the_outcome_of_the_call_is_unknown(invalid):
    # Taken for carried out, orders could be lost for good; taken for rejected, be repeated.
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    call = start_call(hub, assigner, weight_order(4, "s2"), weight_order(4, "s1", 0.0))
    feed(call, [{"id": sent_orders(call)[1], **invalid}])
    assert call.over and assigner.relay.unresolved.orders and not assigner.relay.queue.orders
