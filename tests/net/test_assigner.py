"""Reconciliations of one assigner, and recovery from a reconciliation that fails."""

import pytest
from helpers import (
    PROXY_CONNECTED,
    PUSH_ACKNOWLEDGED,
    SLICE_ASSIGNED,
    TABLE_ENTRY,
    feed,
    make_assigner,
    open_watch_stream,
    sent_orders,
    suspend_reconciliation,
)

from havendyke import interface as core


def test_events_that_arrive_together_make_one_reconciliation_with_one_call():
    assigner, event_loop = make_assigner()
    open_watch_stream(assigner, event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY)
    event_loop.run()
    assert (
        event_loop.counters["reconciliations"] == 1
        and event_loop.counters["events_ProxyConnected"] == 1
    )
    call = event_loop.open("relay")
    assert len(sent_orders(call)[0]) == 1 and sent_orders(call)[0][0][-1]["op"] == "SYNC"


def test_a_failed_reconciliation_is_logged_and_the_assigner_keeps_running():
    assigner, event_loop = make_assigner()
    assigner.reconcile()
    reconcile, assigner.registry.controller.reconcile = (
        assigner.registry.controller.reconcile,
        lambda now, events: 1 // 0,
    )
    event_loop.run_for(400)
    event_loop.run()
    assert event_loop.counters["failed_reconciliations"] >= 1
    assert (
        "ZeroDivisionError"
        in [
            fields["cause"]
            for event, fields in event_loop.logged
            if event == "reconciliation_failed"
        ][0]
    )
    assigner.registry.controller.reconcile = reconcile
    assert assigner.registry.controller.reconcile(event_loop.now(), []) is not None
    before = event_loop.counters["reconciliations"]
    event_loop.run_for(800)
    assert event_loop.counters["reconciliations"] > before and assigner.timers_running == 1


def test_after_a_failed_first_reconciliation_another_one_follows():
    assigner, event_loop = make_assigner()
    assigner.registry.controller.started_ms = (
        0.0  # as after a failure that follows the order for the first timer
    )
    reconcile, assigner.registry.controller.reconcile = (
        assigner.registry.controller.reconcile,
        lambda now, events: 1 // 0,
    )
    assigner.reconcile()
    assigner.registry.controller.reconcile = reconcile
    event_loop.run_for(1000)
    assert event_loop.counters["reconciliations"] > 3 and assigner.timers_running == 1


def test_a_failed_reconciliation_loses_no_other_event_and_diverging_tables_are_reported_again():
    assigner, event_loop = make_assigner()
    open_watch_stream(assigner, event_loop, SLICE_ASSIGNED, TABLE_ENTRY)
    event_loop.run()
    slice_, server = assigner.registry.slices[4], assigner.registry.servers["s2"]
    orders, request_id = sent_orders(event_loop.open("relay"))
    feed(event_loop.open("relay"), [{"id": request_id, "result": {"taken": len(orders[-1])}}])
    event_loop.run_for(700)

    apply = assigner.registry.controller.observed.apply

    def apply_or_fail(event):
        if type(event) is not core.PushAcknowledged:
            return apply(event)
        slice_.published = {server: 1.0}  # as if the order had been planned and then lost
        raise RuntimeError("one event")

    assigner.registry.controller.observed.apply = apply_or_fail
    feed(event_loop.open("relay_watch"), [PROXY_CONNECTED, PUSH_ACKNOWLEDGED])
    event_loop.run()
    assert (
        event_loop.counters["failed_reconciliations"] == 2
        and assigner.registry.proxies[1].connected
    )
    assert assigner.relay.watch.slices.tables[4].keys() == {s.id for s in slice_.published}


@pytest.mark.parametrize(
    "peer, partial", [("relay_watch", b'{"method": "pi'), ("discovery", b"HTTP/1.1 200 OK\r\nX-")]
)
def test_bytes_that_never_complete_a_message_count_as_silence(peer, partial):
    assigner, event_loop = make_assigner(discovery_watch_count=1)
    suspend_reconciliation(assigner).relay.watch.start()
    assigner.discovery.open_watches()
    connection = event_loop.open(peer)
    feed(connection, partial)
    for _ in range(30):
        event_loop.run_for(100)
        if not connection.ended:
            feed(connection, b"x")
    assert connection.ended
