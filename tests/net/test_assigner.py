"""Reconciliations of one assigner, and what remains of one that fails."""

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


def test_what_comes_in_together_makes_one_reconciliation_with_one_call():
    assigner, hub = make_assigner()
    open_watch_stream(assigner, hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY)
    hub.run()
    assert hub.counters["reconciliations"] == 1 and hub.counters["events_ProxyConnected"] == 1
    call = hub.open("relay")
    assert len(sent_orders(call)[0]) == 1 and sent_orders(call)[0][0][-1]["op"] == "SYNC"


def test_a_failed_reconciliation_is_logged_and_the_assigner_goes_on():
    assigner, hub = make_assigner()
    assigner.reconcile()
    reconcile, assigner.registry.controller.reconcile = (
        assigner.registry.controller.reconcile,
        lambda now, events: 1 // 0,
    )
    hub.run_for(400)
    hub.run()
    assert hub.counters["failed_reconciliations"] >= 1
    assert (
        "ZeroDivisionError"
        in [more["cause"] for event, more in hub.logged if event == "reconciliation_failed"][0]
    )
    assigner.registry.controller.reconcile = reconcile
    assert assigner.registry.controller.reconcile(hub.now(), []) is not None
    before = hub.counters["reconciliations"]
    hub.run_for(800)
    assert hub.counters["reconciliations"] > before and assigner.timers_running == 1


def test_after_a_failed_first_reconciliation_the_next_one_comes():
    assigner, hub = make_assigner()
    assigner.registry.controller.started_ms = (
        0.0  # as after a failure behind the first reminder's order
    )
    reconcile, assigner.registry.controller.reconcile = (
        assigner.registry.controller.reconcile,
        lambda now, events: 1 // 0,
    )
    assigner.reconcile()
    assigner.registry.controller.reconcile = reconcile
    hub.run_for(1000)
    assert hub.counters["reconciliations"] > 3 and assigner.timers_running == 1


def test_a_failed_reconciliation_loses_no_other_event_and_what_it_believed_is_renewed():
    assigner, hub = make_assigner()
    open_watch_stream(assigner, hub, SLICE_ASSIGNED, TABLE_ENTRY)
    hub.run()
    piece, server = assigner.registry.slices[4], assigner.registry.servers["s2"]
    orders, number = sent_orders(hub.open("relay"))
    feed(hub.open("relay"), [{"id": number, "result": {"taken": len(orders[-1])}}])
    hub.run_for(700)

    apply = assigner.registry.controller.observed.apply

    def fails(event):
        if type(event) is not core.PushAcknowledged:
            return apply(event)
        piece.published = {server: 1.0}  # as if the order had been made, and lost
        raise RuntimeError("one event")

    assigner.registry.controller.observed.apply = fails
    feed(hub.open("relay_watch"), [PROXY_CONNECTED, PUSH_ACKNOWLEDGED])
    hub.run()
    assert hub.counters["failed_reconciliations"] == 2 and assigner.registry.proxies[1].connected
    assert assigner.relay.watch.slices.tables[4].keys() == {s.id for s in piece.published}


@pytest.mark.parametrize(
    "name, junk", [("relay_watch", b'{"method": "pi'), ("discovery", b"HTTP/1.1 200 OK\r\nX-")]
)
def test_bytes_that_never_make_a_message_are_silence(name, junk):
    assigner, hub = make_assigner(discovery_streams=1)
    suspend_reconciliation(assigner).relay.watch.start()
    assigner.discovery.open_watches()
    connection = hub.open(name)
    feed(connection, junk)
    for _ in range(30):
        hub.run_for(100)
        if not connection.over:
            feed(connection, b"x")
    assert connection.over
