"""The endpoint list: queries, watches, and answers that cannot be read."""

import pytest
from helpers import (
    complete_list,
    feed,
    http_response,
    listed_server,
    make_assigner,
    suspend_reconciliation,
    take_pending_events,
)

from havendyke import interface as core


def open_queries(hub, follow):
    return [
        c
        for c in hub.connections
        if c.peer.name == "discovery" and c.peer.follow == follow and not c.over
    ]


def test_the_list_then_its_changes_are_told_once():
    assigner, hub = make_assigner()
    suspend_reconciliation(assigner).discovery.start()
    for c in list(hub.connections):
        hub.open("discovery")
        c.connection_made(type(hub.open("discovery").transport)()) if c.transport is None else None
    whole, (one, two) = open_queries(hub, False)[0], open_queries(hub, True)
    feed(whole, http_response(complete_list("s1", "s4", rev=3), chunked=False))
    change = {"rev": 4, "all": False, "targets": [listed_server("s4", "terminating")]}
    feed(one, http_response(change))
    feed(two, http_response(change))
    feed(two, b"1\r\n\n\r\n")
    events = take_pending_events(assigner, core.EndpointListUpdate)
    assert [(e.scope, len(e.entries)) for e in events][-2:] == [("complete", 2), ("changes", 1)]
    assert events[-1].entries[0].state == "draining" and whole.over and len(events) == 3


@pytest.mark.parametrize(
    "malformed", [{"state": "odd"}, {"uid": 5}, {"boot_ms": -1}, {"capacity_hint": 1e99}]
)
def test_a_malformed_entry_costs_neither_the_others_nor_its_server(malformed):
    assigner, hub = make_assigner(discovery_streams=1)
    suspend_reconciliation(assigner).discovery.open_watches()
    take_pending_events(assigner)
    change = {
        "rev": 4,
        "all": True,
        "targets": [listed_server("s1") | malformed, listed_server("s2", "terminating")],
    }
    feed(hub.open("discovery"), http_response(change))
    (event,) = take_pending_events(assigner, core.EndpointListUpdate)
    assert event.scope == core.ListScope.CHANGES and [
        (e.server.id, e.state) for e in event.entries
    ] == [("s2", "draining")]
    hub.run_for(400)
    hub.open("discovery")
    feed(
        open_queries(hub, False)[0], http_response(complete_list("s1", "s2", rev=4), chunked=False)
    )
    assert [e.scope for e in take_pending_events(assigner, core.EndpointListUpdate)] == ["complete"]
    hub.run_for(2000)
    assert not open_queries(hub, False)


def test_a_silent_watch_goes_on_from_the_version_last_seen():
    assigner, hub = make_assigner()
    suspend_reconciliation(assigner).discovery.open_watches()
    for _ in range(2):
        feed(hub.open("discovery"), http_response({"rev": 9, "all": False, "targets": []}))
        hub.run_for(2700)
        assert b"follow=1&since=9" in hub.open("discovery").transport.written
    assert len(open_queries(hub, True)) == 2


@pytest.mark.parametrize(
    "bad",
    [
        b"HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx",
        http_response({"rev": 1, "all": True}),
        b"junk\r\n\r\n",
    ],
)
def test_a_bad_list_is_not_taken_and_asked_for_again(bad):
    assigner, hub = make_assigner()
    suspend_reconciliation(assigner).discovery.open_watches()
    take_pending_events(assigner)
    connection = hub.open("discovery")
    feed(connection, bad)
    assert connection.over and take_pending_events(assigner) == []
    hub.run_for(400)
    assert len(open_queries(hub, True)) == 2
