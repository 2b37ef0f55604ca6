"""The relay's watch on one stream and on several, with simulated I/O and time."""

import pytest
from helpers import (
    PING,
    PROXY_CONNECTED,
    PROXY_DISCONNECTED,
    PUSH_ACKNOWLEDGED,
    SLICE_ASSIGNED,
    SUCCESS_REPLY,
    TABLE_ENTRY,
    feed,
    make_assigner,
    open_watch_stream,
    snapshot_stream,
    suspend_reconciliation,
    table_entry,
    take_pending_events,
    weight_order,
)

from havendyke import interface as core


def test_an_entry_whose_weight_is_shown_as_0_is_kept():
    # Snapshots round to thousandths; with weight 0 the entry would count as removed.
    assigner, event_loop = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner),
        event_loop,
        SLICE_ASSIGNED,
        table_entry("s1", 0.02),
        table_entry("s2", 0.0),
    )
    first, second = take_pending_events(assigner, core.SnapshotEntry)
    assert first.weight == 0.02 and 0 < second.weight < 0.0004


@pytest.mark.parametrize("seconds", [3, 30])
def test_the_number_of_connections_is_bounded_while_the_relay_is_silent(seconds):
    assigner, event_loop = make_assigner(relay_watch_count=2)
    suspend_reconciliation(assigner).relay.watch.start()
    assigner.relay.enqueue([weight_order(1, "s1")])
    for _ in range(10 * seconds):
        for connection in event_loop.connections:
            if connection.transport is None and not connection.ended:
                event_loop.open(connection.peer.name)
        event_loop.run_for(100)
    assert (
        len([c for c in event_loop.connections if not c.ended]) <= 4
        and len(event_loop.connections) < 5 + 2 * seconds
    )


def proxy_connected(proxy_id):
    return PROXY_CONNECTED | {"params": PROXY_CONNECTED["params"] | {"sidecar": proxy_id}}


def test_a_change_received_on_two_streams_is_reported_once():
    assigner, event_loop = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    open_watch_stream(assigner, event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY)
    assert [type(e).__name__ for e in take_pending_events(assigner)][-3:] == [
        "ProxyConnected",
        "SliceAssignment",
        "SnapshotEntry",
    ]
    first, second = [c for c in event_loop.connections if not c.ended]
    feed(second, [PROXY_DISCONNECTED, PROXY_CONNECTED, PUSH_ACKNOWLEDGED])
    feed(first, [PROXY_DISCONNECTED, PROXY_CONNECTED, PUSH_ACKNOWLEDGED, PROXY_DISCONNECTED])
    feed(second, [PROXY_DISCONNECTED])
    assert [type(e).__name__ for e in take_pending_events(assigner)] == [
        "ProxyDisconnected",
        "ProxyConnected",
        "PushAcknowledged",
        "ProxyDisconnected",
    ]
    first.close("reset")
    assert take_pending_events(assigner) == []
    feed(second, [PROXY_CONNECTED])
    assert [type(e).__name__ for e in take_pending_events(assigner)] == ["ProxyConnected"]


# Guards against two owners and against an overfilled channel: proxies that the relay still reports
# counted as disconnected after a gap, though what was sent to them was on its way (cases 6, 9).
def test_after_a_gap_proxies_are_resynchronised_and_the_present_state_is_reported():
    assigner, event_loop = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner),
        event_loop,
        PROXY_CONNECTED,
        proxy_connected(2),
        SLICE_ASSIGNED,
        TABLE_ENTRY,
        {"method": "GRANT", "params": {"partition": 5, "yes": True}},
    )
    take_pending_events(assigner)
    event_loop.run_for(2400)  # no ping
    changed = {"method": "ROW", "params": {"partition": 4, "host": "s2", "share": 1.0}}
    stream = event_loop.open("relay_watch")
    feed(stream, [SUCCESS_REPLY, PROXY_CONNECTED, proxy_connected(3), SLICE_ASSIGNED, changed])
    event_loop.run_for(100)
    events = take_pending_events(assigner)
    assert [type(e).__name__ for e in events] == [
        "ProxyResynchronised",
        "ProxyConnected",
        "SliceAssignment",
        "SnapshotEntry",
    ]
    assert [event.proxy.id for event in events[:2]] == [1, 3]
    assert (events[2].slice.id, events[2].assigned, events[3].server.id) == (4, True, "s2")
    feed(stream, [PING])  # only now nothing of the present state can be missing
    left, unassigned = take_pending_events(assigner)
    assert isinstance(left, core.ProxyDisconnected) and left.proxy.id == 2
    assert (unassigned.slice.id, unassigned.assigned) == (5, False)
    feed(stream, [PING])
    assert take_pending_events(assigner) == []


@pytest.mark.parametrize("covered", [False, True])
def test_acknowledgements_lost_while_all_streams_were_silent_reset_the_proxies(covered):
    # Streams that fall silent together and are replaced one by one leave no visible gap, but the
    # lost acknowledgements would keep the push channel full, so that it takes no orders.
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED)
    open_watch_stream(assigner, event_loop, PROXY_CONNECTED)
    first, second = [c for c in event_loop.connections if c.peer.name == "relay_watch"]
    for stream in (first, second):
        feed(stream, [{"method": "ping"}])
    take_pending_events(assigner)
    event_loop.run_for(1500)
    if covered:
        feed(second, [{"method": "ping"}])
    event_loop.run_for(900)
    if not covered:
        feed(event_loop.open("relay_watch"), [SUCCESS_REPLY, PROXY_CONNECTED])
    event_loop.run_for(100)
    assert first.ended and second.ended != covered
    assert [type(e).__name__ for e in take_pending_events(assigner)] == (
        [] if covered else ["ProxyResynchronised"]
    )


def test_an_unchanged_state_is_not_reported_again():
    assigner, event_loop = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    take_pending_events(assigner)
    open_watch_stream(assigner, event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY)
    assert take_pending_events(assigner) == []


# Guards against review case 2 on a related path: a table whose entry had not arrived on
# a second stream, or in a snapshot, was reported as empty.
def test_a_pause_within_the_state_on_a_second_stream_empties_no_table():
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    open_watch_stream(assigner, event_loop, SLICE_ASSIGNED)
    snapshot = snapshot_stream(event_loop)
    feed(snapshot, [SUCCESS_REPLY, SLICE_ASSIGNED])
    event_loop.run_for(100)
    assert take_pending_events(assigner) == [] and not snapshot.ended
    feed(snapshot, [TABLE_ENTRY, PING])
    assert snapshot.ended and assigner.relay.watch.slices.tables[4] == {"s1": 1.0}


def test_a_table_that_differs_on_a_second_stream_is_reported_once_a_snapshot_shows_it():
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    open_watch_stream(assigner, event_loop, SLICE_ASSIGNED, table_entry("s2", 1.0))
    snapshot = snapshot_stream(event_loop)
    feed(snapshot, [SUCCESS_REPLY, SLICE_ASSIGNED, table_entry("s2", 1.0), PING])
    assert [e.server.id for e in take_pending_events(assigner, core.SnapshotEntry)] == ["s2"]


def test_a_late_table_entry_is_added_to_its_assignment():
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    feed(
        event_loop.open("relay_watch"),
        [{"method": "ROW", "params": {"partition": 4, "host": "s2", "share": 0.02}}, TABLE_ENTRY],
    )
    event_loop.run_for(100)
    assert {e.server.id for e in take_pending_events(assigner, core.SnapshotEntry)} == {"s1", "s2"}


@pytest.mark.parametrize(
    "invalid",
    [
        {"sidecar": 1, "version": "x"},
        {"sidecar": 1},
        {"version": 7},
        {"sidecar": 99, "version": 7},
        [7],
        None,
        {"sidecar": 1, "version": 70_000},
        {"sidecar": 1, "version": -7},
        {"sidecar": 1, "version": 7.0},
        {"sidecar": 1, "version": 7, "lag_ms": -1},
        {"sidecar": 1, "version": 7, "lag_ms": "3"},
        {"sidecar": 2, "version": 7},
    ],
)
def test_an_invalid_acknowledgement_is_ignored_and_its_stream_stays_open(invalid):
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED)
    take_pending_events(assigner)
    feed(event_loop.open("relay_watch"), [{"method": "ACK", "params": invalid}, PUSH_ACKNOWLEDGED])
    assert [(e.proxy.id, e.nonce) for e in take_pending_events(assigner)] == [
        (1, 7)
    ] and not event_loop.open("relay_watch").ended


@pytest.mark.parametrize(
    "bad, field",
    [
        ({"method": "NEWS", "params": {}}, "method"),
        ({"method": "GRANT", "params": {"partition": 1}}, "yes"),
        ({"method": "SUBSCRIBE", "params": {"az": "a"}}, "sidecar"),
        ({"id": 1, "result": 4}, "result"),
        ({"method": "ROW"}, "params"),
    ],
)
def test_an_invalid_notification_closes_its_stream_and_the_log_names_the_field(bad, field):
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED)
    connection = event_loop.open("relay_watch")
    feed(connection, [bad])
    assert connection.ended and event_loop.counters["bad_messages"] == 1
    assert (
        f"'{field}'"
        in [fields["field"] for event, fields in event_loop.logged if event == "bad_message"][0]
    )


def test_streams_that_fail_before_they_are_synchronised_are_replaced_with_backoff():
    # Without backoff they would keep a core and the relay busy.
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner).relay.watch.start()
    for _ in range(200):
        if any(c.peer.name == "relay_watch" and not c.ended for c in event_loop.connections):
            feed(
                event_loop.open("relay_watch"),
                [{"method": "GRANT", "params": {"partition": 1, "yes": "odd"}}],
            )
        event_loop.run_for(10)
    assert 2 < len(event_loop.connections) < 10


@pytest.mark.parametrize(
    "notification",
    [
        {"method": "SUBSCRIBE", "params": {"sidecar": 99, "az": "a"}},
        {"method": "CLOSED", "params": {"sidecar": 3}},
        {"method": "GRANT", "params": {"partition": 8, "yes": True}},
        {"method": "ping"},
        TABLE_ENTRY,
        PROXY_DISCONNECTED,
    ],
)
def test_notifications_about_unknown_ids_are_ignored(notification):
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop)
    take_pending_events(assigner)
    feed(event_loop.open("relay_watch"), [notification])
    assert take_pending_events(assigner) == [] and not event_loop.open("relay_watch").ended


def test_a_notification_whose_method_is_not_a_string_is_a_bad_message():
    assigner, event_loop = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), event_loop)
    connection = event_loop.open("relay_watch")
    feed(connection, [{"method": ["SUBSCRIBE"]}])
    assert connection.ended and event_loop.counters.get("bad_messages") == 1
    assert event_loop.counters.get("failures", 0) == 0
