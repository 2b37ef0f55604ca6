"""The relay's watch on one stream and on several; the test moves transports and time."""

import pytest
from helpers import (
    PROXY_CONNECTED,
    PROXY_DISCONNECTED,
    PUSH_ACKNOWLEDGED,
    SLICE_ASSIGNED,
    SUCCESS_REPLY,
    TABLE_ENTRY,
    feed,
    make_assigner,
    open_watch_stream,
    suspend_reconciliation,
    table_entry,
    take_pending_events,
    weight_order,
)

from havendyke import interface as core


def test_an_entry_whose_weight_is_shown_as_0_is_still_an_entry():
    # Snapshots show thousandths: as 0 the entry would count as removed.
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner),
        hub,
        SLICE_ASSIGNED,
        table_entry("s1", 0.02),
        table_entry("s2", 0.0),
    )
    first, second = take_pending_events(assigner, core.SnapshotEntry)
    assert first.weight == 0.02 and 0 < second.weight < 0.0004


@pytest.mark.parametrize("seconds", [3, 30])
def test_the_number_of_connections_is_bounded_while_the_relay_is_silent(seconds):
    assigner, hub = make_assigner(news_streams=2)
    suspend_reconciliation(assigner).relay.watch.start()
    assigner.relay.order([weight_order(1, "s1")])
    for _ in range(10 * seconds):
        for c in hub.connections:
            if c.transport is None and not c.over:
                hub.open(c.peer.name)
        hub.run_for(100)
    assert (
        len([c for c in hub.connections if not c.over]) <= 4
        and len(hub.connections) < 5 + 2 * seconds
    )


def test_a_change_on_two_streams_is_reported_once():
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    open_watch_stream(assigner, hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY)
    assert [type(e).__name__ for e in take_pending_events(assigner)][-3:] == [
        "ProxyConnected",
        "SliceAssignment",
        "SnapshotEntry",
    ]
    one, two = [c for c in hub.connections if not c.over]
    feed(two, [PROXY_DISCONNECTED, PROXY_CONNECTED, PUSH_ACKNOWLEDGED])
    feed(one, [PROXY_DISCONNECTED, PROXY_CONNECTED, PUSH_ACKNOWLEDGED, PROXY_DISCONNECTED])
    feed(two, [PROXY_DISCONNECTED])
    assert [type(e).__name__ for e in take_pending_events(assigner)] == [
        "ProxyDisconnected",
        "ProxyConnected",
        "PushAcknowledged",
        "ProxyDisconnected",
    ]
    one.close("reset")
    assert take_pending_events(assigner) == []
    feed(two, [PROXY_CONNECTED])
    assert [type(e).__name__ for e in take_pending_events(assigner)] == ["ProxyConnected"]


def test_after_a_gap_proxies_count_as_disconnected_and_the_present_state_is_reported():
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner),
        hub,
        PROXY_CONNECTED,
        SLICE_ASSIGNED,
        TABLE_ENTRY,
        {"method": "GRANT", "params": {"partition": 5, "yes": True}},
    )
    take_pending_events(assigner)
    hub.run_for(2400)  # no ping
    changed = {"method": "ROW", "params": {"partition": 4, "host": "s2", "share": 1.0}}
    feed(hub.open("relay_watch"), [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, changed])
    hub.run_for(100)
    events = take_pending_events(assigner)
    assert [type(e).__name__ for e in events] == [
        "ProxyDisconnected",
        "SliceAssignment",
        "ProxyConnected",
        "SliceAssignment",
        "SnapshotEntry",
    ]
    assert (events[1].slice.id, events[1].assigned, events[4].server.id) == (5, False, "s2")


@pytest.mark.parametrize("witness", [False, True])
def test_acknowledgements_lost_while_all_streams_were_silent_reset_the_proxies(witness):
    # Streams that fall silent together and come back one by one show no gap, and a channel that is
    # believed full of unacknowledged pushes takes no orders.
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, PROXY_CONNECTED)
    open_watch_stream(assigner, hub, PROXY_CONNECTED)
    one, two = [c for c in hub.connections if c.peer.name == "relay_watch"]
    for stream in (one, two):
        feed(stream, [{"method": "ping"}])
    take_pending_events(assigner)
    hub.run_for(1500)
    if witness:
        feed(two, [{"method": "ping"}])
    hub.run_for(900)
    if not witness:
        feed(hub.open("relay_watch"), [SUCCESS_REPLY, PROXY_CONNECTED])
    hub.run_for(100)
    assert one.over and two.over != witness
    assert [type(e).__name__ for e in take_pending_events(assigner)] == (
        [] if witness else ["ProxyDisconnected", "ProxyConnected"]
    )


def test_an_unchanged_state_is_not_reported_again():
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    take_pending_events(assigner)
    open_watch_stream(assigner, hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY)
    assert take_pending_events(assigner) == []


def test_a_late_table_entry_belongs_to_its_assignment():
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, SLICE_ASSIGNED, TABLE_ENTRY)
    take_pending_events(assigner)
    feed(
        hub.open("relay_watch"),
        [{"method": "ROW", "params": {"partition": 4, "host": "s2", "share": 0.02}}, TABLE_ENTRY],
    )
    hub.run_for(100)
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
def test_an_invalid_acknowledgement_is_ignored_and_its_stream_goes_on(invalid):
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, PROXY_CONNECTED)
    take_pending_events(assigner)
    feed(hub.open("relay_watch"), [{"method": "ACK", "params": invalid}, PUSH_ACKNOWLEDGED])
    assert [(e.proxy.id, e.nonce) for e in take_pending_events(assigner)] == [
        (1, 7)
    ] and not hub.open("relay_watch").over


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
def test_an_invalid_notification_ends_its_stream_and_the_log_names_the_field(bad, field):
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub, PROXY_CONNECTED)
    connection = hub.open("relay_watch")
    feed(connection, [bad])
    assert connection.over and hub.counters["bad_messages"] == 1
    assert (
        f"'{field}'" in [more["field"] for event, more in hub.logged if event == "bad_message"][0]
    )


def test_streams_that_fail_before_they_are_synchronised_are_replaced_with_backoff():
    # Each replaced at once, they would keep a core and the relay busy.
    assigner, hub = make_assigner()
    suspend_reconciliation(assigner).relay.watch.start()
    for _ in range(200):
        if any(c.peer.name == "relay_watch" and not c.over for c in hub.connections):
            feed(
                hub.open("relay_watch"),
                [{"method": "GRANT", "params": {"partition": 1, "yes": "odd"}}],
            )
        hub.run_for(10)
    assert 2 < len(hub.connections) < 10


@pytest.mark.parametrize(
    "news",
    [
        {"method": "SUBSCRIBE", "params": {"sidecar": 99, "az": "a"}},
        {"method": "CLOSED", "params": {"sidecar": 3}},
        {"method": "GRANT", "params": {"partition": 8, "yes": True}},
        {"method": "ping"},
        TABLE_ENTRY,
        PROXY_DISCONNECTED,
    ],
)
def test_notifications_about_unknown_ids_are_ignored(news):
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub)
    take_pending_events(assigner)
    feed(hub.open("relay_watch"), [news])
    assert take_pending_events(assigner) == [] and not hub.open("relay_watch").over


def test_a_notification_whose_method_is_no_word_is_a_bad_message():
    assigner, hub = make_assigner()
    open_watch_stream(suspend_reconciliation(assigner), hub)
    connection = hub.open("relay_watch")
    feed(connection, [{"method": ["SUBSCRIBE"]}])
    assert connection.over and hub.counters.get("bad_messages") == 1
    assert hub.counters.get("failures", 0) == 0
