"""Client of discovery: queries, watches and malformed responses."""

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


def open_queries(event_loop, follow):
    return [
        c
        for c in event_loop.made
        if c.peer.name == "discovery" and c.peer.follow == follow and not c.ended
    ]


def test_the_list_and_then_its_changes_are_reported_once():
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner).discovery.start()
    for connection in list(event_loop.made):
        event_loop.open("discovery")
        connection.connection_made(
            type(event_loop.open("discovery").transport)()
        ) if connection.transport is None else None
    complete, (first, second) = open_queries(event_loop, False)[0], open_queries(event_loop, True)
    feed(complete, http_response(complete_list("s1", "s4", rev=3), chunked=False))
    change = {"rev": 4, "all": False, "targets": [listed_server("s4", "terminating")]}
    feed(first, http_response(change))
    feed(second, http_response(change))
    feed(second, b"1\r\n\n\r\n")
    events = take_pending_events(assigner, core.EndpointListUpdate)
    assert [(e.scope, len(e.entries)) for e in events][-2:] == [("complete", 2), ("changes", 1)]
    assert events[-1].entries[0].state == "draining" and complete.ended and len(events) == 3


@pytest.mark.parametrize(
    "malformed", [{"state": "odd"}, {"uid": 5}, {"boot_ms": -1}, {"capacity_hint": 1e99}]
)
def test_a_malformed_entry_affects_neither_other_entries_nor_its_server(malformed):
    assigner, event_loop = make_assigner(discovery_watch_count=1)
    suspend_reconciliation(assigner).discovery.open_watches()
    take_pending_events(assigner)
    change = {
        "rev": 4,
        "all": True,
        "targets": [listed_server("s1") | malformed, listed_server("s2", "terminating")],
    }
    feed(event_loop.open("discovery"), http_response(change))
    (event,) = take_pending_events(assigner, core.EndpointListUpdate)
    assert event.scope == core.ListScope.CHANGES and [
        (e.server.id, e.state) for e in event.entries
    ] == [("s2", "draining")]
    event_loop.pass_time(400)
    event_loop.open("discovery")
    feed(
        open_queries(event_loop, False)[0],
        http_response(complete_list("s1", "s2", rev=4), chunked=False),
    )
    assert [e.scope for e in take_pending_events(assigner, core.EndpointListUpdate)] == ["complete"]
    event_loop.pass_time(2000)
    assert not open_queries(event_loop, False)


def test_a_silent_watch_is_reopened_at_the_last_version():
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner).discovery.open_watches()
    for _ in range(2):
        feed(event_loop.open("discovery"), http_response({"rev": 9, "all": False, "targets": []}))
        event_loop.pass_time(2700)
        assert b"follow=1&since=9" in event_loop.open("discovery").transport.written
    assert len(open_queries(event_loop, True)) == 2


@pytest.mark.parametrize(
    "malformed",
    [
        b"HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx",
        http_response({"rev": 1, "all": True}),
        b"junk\r\n\r\n",
    ],
)
def test_a_malformed_list_is_rejected_and_requested_again(malformed):
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner).discovery.open_watches()
    take_pending_events(assigner)
    connection = event_loop.open("discovery")
    feed(connection, malformed)
    assert connection.ended and take_pending_events(assigner) == []
    event_loop.pass_time(400)
    assert len(open_queries(event_loop, True)) == 2
