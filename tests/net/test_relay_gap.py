"""Orders from before a lost watch, and orders that were delayed, with simulated I/O."""

import pytest
from helpers import (
    PING,
    PROXY_CONNECTED,
    SETTINGS,
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
from havendyke.net.relay_orders import AcknowledgementOrder, ClearOrder

EXCLUSIVE = SETTINGS | {
    "familyInfo": SETTINGS["familyInfo"] | {"oneOwner": True, "lease": 2e8, "lingers": 1e8}
}
WATCH_SILENCE_MS = 2400
REQUEST = AcknowledgementOrder(1, all_proxies=True)


def assigner_with_slice(settings):
    assigner, event_loop = make_assigner(settings, push_ack_wait_ms=100.0)
    open_watch_stream(
        suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    return assigner, event_loop


def restore_watch(event_loop, *entries):
    feed(event_loop.open("relay_watch"), [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, *entries])
    event_loop.run_for(100)


def orders_sent_since(event_loop, connection_count):
    """The orders of all calls on connections after the first `connection_count`."""
    for connection in event_loop.connections[connection_count:]:
        if connection.peer.name == "relay" and connection.transport is None:
            event_loop.establish(connection)
    return [
        order
        for connection in event_loop.connections[connection_count:]
        if connection.peer.name == "relay" and connection.transport.written
        for orders in sent_orders(connection)[0]
        for order in orders
    ]


# Guards against two owners: an assigner that was cut off in a hand-over repeated its old order when
# it was back, and replaced the owner that another assigner had set meanwhile (review case 1).
@pytest.mark.parametrize("settings", [SETTINGS, EXCLUSIVE], ids=["shared", "exclusive"])
@pytest.mark.parametrize("present", ["s3", "s1"])
def test_a_call_from_before_a_gap_is_not_repeated_for_the_tables_after_it(settings, present):
    assigner, event_loop = assigner_with_slice(settings)
    assigner.relay.enqueue([weight_order(4, "s2"), REQUEST])
    event_loop.open("relay")  # receives the call and stays silent, as the watch does
    event_loop.run_for(WATCH_SILENCE_MS)
    take_pending_events(assigner)
    count = len(event_loop.connections)
    restore_watch(event_loop, table_entry(present, 1.0))
    event_loop.run_for(1000)
    tables = [order for order in orders_sent_since(event_loop, count) if "table" in order]
    assert tables == [] and not assigner.relay.unresolved.orders
    entries = take_pending_events(assigner, core.SliceAssignment, core.SnapshotEntry)
    assert [type(e).__name__ for e in entries] == ["SliceAssignment", "SnapshotEntry"]
    assert entries[1].server.id == present


# Guards against the same with an order that was still queued when the watch was lost.
def test_with_exclusive_ownership_queued_orders_wait_until_a_lost_watch_is_back():
    assigner, event_loop = assigner_with_slice(EXCLUSIVE)
    event_loop.run_for(WATCH_SILENCE_MS)
    count = len(event_loop.connections)
    assigner.relay.enqueue([weight_order(4, "s2"), REQUEST])
    assert orders_sent_since(event_loop, count) == []
    restore_watch(event_loop, table_entry("s3", 1.0))
    sent = orders_sent_since(event_loop, count)
    assert [order["op"] for order in sent] == ["SYNC"]


def test_a_call_that_crosses_the_state_after_a_gap_is_verified():
    assigner, event_loop = assigner_with_slice(SETTINGS)
    event_loop.run_for(WATCH_SILENCE_MS)
    assigner.relay.enqueue([weight_order(4, "s2"), weight_order(4, "s1", 0.0)])
    call = event_loop.open("relay")
    stream = event_loop.open("relay_watch")
    feed(stream, [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY])
    feed(call, [{"id": sent_orders(call)[1], "result": {"taken": 2}}])
    event_loop.run_for(100)
    snapshot = snapshot_stream(event_loop)
    feed(snapshot, [SUCCESS_REPLY, SLICE_ASSIGNED, table_entry("s2", 1.0), PING])
    assert snapshot.ended and assigner.relay.watch.slices.tables[4] == {"s2": 1.0}


# Guards against two owners: a proxy that connects while orders wait for a connection has read the
# former owner; the controller counts them as sent once the channel is available (fourth fault).
@pytest.mark.parametrize("settings", [SETTINGS, EXCLUSIVE], ids=["shared", "exclusive"])
@pytest.mark.parametrize("connect_ms", [40, 60])
def test_orders_that_waited_for_a_connection_are_reported_with_exclusive_ownership(
    settings, connect_ms
):
    assigner, event_loop = assigner_with_slice(settings)
    assigner.relay.enqueue([ClearOrder(4), REQUEST])
    take_pending_events(assigner)
    event_loop.run_for(connect_ms)
    call = event_loop.open("relay")
    feed(call, [{"id": sent_orders(call)[1], "result": {"taken": 2}}])
    statuses = [e.connected for e in take_pending_events(assigner, core.PushChannelStatus)]
    assert statuses == ([False, True] if settings is EXCLUSIVE and connect_ms > 50 else [])
