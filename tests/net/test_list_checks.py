"""Checks of a large list by version: what they bring, how they end and fail, and when the whole
list is asked for."""

import time
from itertools import pairwise

import orjson
import pytest
from helpers import feed as feed_bytes
from helpers import listed_server, make_assigner, suspend_reconciliation, take_pending_events
from world import CHUNKED, PATIENCE, chunk, head

from havendyke import interface as core
from havendyke.config import Limits
from havendyke.net.list_pace import CompleteListPace
from havendyke.net.list_queries import VersionCheck

LARGE, SMALL = 400, 20  # tasks
BOUND = 39_000  # bytes of a list that costs 13,000 a second at each 3 s
EMPTY = chunk(b"\n")


def changes(rev, *entries, whole=False):
    return {"rev": rev, "all": whole, "targets": list(entries)}


def drain(rev, name="s1"):
    return chunk(changes(rev, listed_server(name, "terminating")))


class Registry:
    """Discovery's side of a hub's connections, moved by the test."""

    def __init__(self, tasks, **limits):
        self.assigner, self.hub = make_assigner(**limits)
        self.discovery = suspend_reconciliation(self.assigner).discovery
        self.discovery.start()
        self.answer_whole(tasks)
        self.grant_watches()
        take_pending_events(self.assigner)

    def connections(self) -> list:
        made = self.hub.open_connections("discovery")
        return [self.hub.establish(c) for c in made]

    def wholes(self) -> list:
        return [c for c in self.connections() if not c.peer.follow]

    def checks(self) -> list:
        return [c for c in self.connections() if isinstance(c.peer, VersionCheck)]

    def watches(self) -> list:
        return [
            c for c in self.connections() if c.peer.follow and not isinstance(c.peer, VersionCheck)
        ]

    def grant_watches(self):
        for watch in self.watches():
            if not watch.peer.established:
                feed_bytes(watch, CHUNKED + EMPTY)

    def answer_whole(self, tasks, rev=1):
        body = orjson.dumps(
            changes(rev, *(listed_server(f"s{k}") for k in range(tasks)), whole=True)
        )
        (connection,) = self.wholes()
        feed_bytes(connection, head(f"Content-Length: {len(body)}") + body)

    def run_for(self, ms, step=250.0):
        """With the watches' empty lines."""
        end = self.hub.time + ms
        while self.hub.time < end:
            for watch in self.watches():
                feed_bytes(watch, EMPTY)
            self.hub.run_for(min(step, end - self.hub.time))

    def check(self):
        """The next check by version, its connection up."""
        end = self.hub.time + 3500.0
        while not self.checks() and self.hub.time < end:
            self.run_for(250.0)
        (check,) = self.checks()
        return check

    def events(self) -> list:
        return [
            (e.scope, len(e.entries))
            for e in take_pending_events(self.assigner, core.EndpointListUpdate)
        ]

    def count(self, name) -> int:
        return self.hub.counters.get(name, 0)

    def logged(self, name) -> int:
        return sum(event == name for event, _ in self.hub.logged)


def test_a_small_list_is_asked_for_whole_at_each_check():
    registry = Registry(SMALL)
    for _ in range(4):
        registry.run_for(3000)
        assert not registry.checks()
        registry.answer_whole(SMALL)
    assert registry.count("list_unchanged") == 4


def test_a_large_list_is_checked_by_version_and_an_empty_line_ends_the_check():
    registry = Registry(LARGE)
    feed_bytes(registry.watches()[0], chunk(changes(5, listed_server("s3"))))
    registry.events()
    for _ in range(4):
        check = registry.check()
        assert b"/registry/instances?follow=1&since=5 " in check.transport.written
        feed_bytes(
            check,
            CHUNKED
            + chunk(b"\n" + orjson.dumps(changes(9, listed_server("s1"))) + b"\n")
            + drain(9),
        )
        assert check.over and registry.events() == []
    assert not registry.wholes() and registry.count("closed_discovery_done") == 5


def test_what_the_watches_hold_back_is_taken_and_the_whole_list_asked_for():
    registry = Registry(LARGE)
    check = registry.check()
    feed_bytes(check, CHUNKED + drain(4))
    assert check.over and registry.events() == [("changes", 1)] and registry.discovery.version == 4
    registry.run_for(150, step=50)
    assert registry.count("watches_stale") == 1 and not registry.wholes()[0].peer.may_reveal_restart
    registry.answer_whole(LARGE, rev=4)
    assert registry.events() == [("complete", LARGE)]
    # Said once, until a watch tells something again.
    for rev, logged in ((5, 1), (7, 2)):
        feed_bytes(registry.check(), CHUNKED + drain(rev))
        registry.run_for(150, step=50)
        registry.answer_whole(LARGE, rev=rev)
        assert registry.logged("watches_stale") == logged
        feed_bytes(registry.watches()[0], chunk(changes(rev + 1, listed_server("s5"))))


@pytest.mark.parametrize("check_first", [True, False])
def test_a_check_at_the_moment_a_watch_tells_the_same_is_one_event_and_no_proof(check_first):
    registry = Registry(LARGE)
    check, watch = registry.check(), registry.watches()[0]
    feed_bytes(check, CHUNKED)
    for connection in (check, watch) if check_first else (watch, check):
        feed_bytes(connection, drain(4))
    registry.run_for(500)
    assert registry.events() == [("changes", 1)] and registry.count("list_already_known") == 1
    assert registry.count("watches_stale") == 0 and not registry.wholes()


def test_a_check_proves_nothing_where_no_watch_stands():
    registry = Registry(LARGE)
    check = registry.check()
    for watch in registry.watches():
        watch.close("reset")
    feed_bytes(check, CHUNKED + drain(4))
    registry.hub.run_for(200)
    assert registry.events() == [("changes", 1)] and registry.count("watches_stale") == 0


def test_a_whole_list_in_place_of_changes_is_taken_only_at_a_higher_version():
    registry = Registry(LARGE)
    feed_bytes(registry.watches()[0], chunk(changes(5, listed_server("s3"))))
    registry.events()
    for rev, events in ((4, []), (5, []), (6, [("complete", 2)])):
        feed_bytes(
            registry.check(),
            CHUNKED + chunk(changes(rev, listed_server("s1"), listed_server("s2"), whole=True)),
        )
        assert registry.events() == events
    assert registry.discovery.version == 6


def test_changes_since_a_version_that_discovery_has_gone_back_from_are_left():
    registry = Registry(LARGE)
    feed_bytes(registry.watches()[0], chunk(changes(50, listed_server("s3"))))
    check = registry.check()
    for watch in registry.watches():
        watch.close("reset")
    registry.hub.run_for(400)
    registry.answer_whole(LARGE, rev=3)  # its new start
    registry.events()
    feed_bytes(check, CHUNKED + drain(52))
    assert check.over and registry.events() == [] and registry.discovery.version == 3


def test_after_a_new_start_at_lower_versions_held_back_news_are_seen():
    registry = Registry(LARGE)
    feed_bytes(registry.watches()[0], chunk(changes(50, listed_server("s3"))))
    for watch in registry.watches():
        watch.close("reset")
    registry.hub.run_for(400)
    registry.answer_whole(LARGE, rev=3)
    registry.grant_watches()
    feed_bytes(registry.check(), CHUNKED + drain(4))
    registry.run_for(150, step=50)
    assert registry.count("watches_stale") == 1


def silent(registry, check):
    registry.run_for(2700)


def half_a_line(registry, check):
    """Then a byte now and then, which must not keep it up."""
    feed_bytes(check, CHUNKED + chunk(b'{"rev":'))
    for _ in range(6):
        registry.run_for(450)
        feed_bytes(check, chunk(b" "))


def answered(data):
    return lambda registry, check: feed_bytes(check, data)


FAILURES = {
    "silent": silent,
    "half a line": half_a_line,
    "reset": lambda registry, check: check.close("reset"),
    "503": answered(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
    "no line": answered(CHUNKED + b"0\r\n\r\n"),
    "no list": answered(CHUNKED + chunk({"rev": 1})),
    "no body": answered(head("Content-Length: 0")),
}


@pytest.mark.parametrize("failure", FAILURES)
def test_a_failed_check_changes_nothing_and_two_in_a_row_ask_for_the_whole_list(failure):
    registry = Registry(LARGE)
    for ending in (FAILURES[failure], answered(CHUNKED + EMPTY), FAILURES[failure]):
        check = registry.check()
        ending(registry, check)
        assert check.over and not registry.wholes() and not registry.discovery.unreachable
    check = registry.check()
    FAILURES[failure](registry, check)
    assert check.over and not registry.wholes()[0].peer.may_reveal_restart
    assert (
        registry.events() == []
        and registry.logged("discovery_lost") == 0
        and len(registry.watches()) == 2
    )
    registry.answer_whole(LARGE)
    FAILURES[failure](registry, registry.check())
    assert not registry.wholes()  # counted anew


def test_a_whole_list_with_a_spoilt_entry_is_asked_for_again_at_the_next_check():
    registry = Registry(LARGE)
    registry.discovery.check_complete_list()
    spoilt = orjson.dumps(
        changes(
            2,
            listed_server("s1", "odd"),
            *(listed_server(f"s{k}") for k in range(2, LARGE)),
            whole=True,
        )
    )
    for _ in range(2):
        (connection,) = registry.wholes()
        feed_bytes(connection, head(f"Content-Length: {len(spoilt)}") + spoilt)
        registry.run_for(3000)
    assert (
        registry.count("bad_entries") == 1 and not registry.wholes()
    )  # the same words again tell nothing
    assert registry.checks()


def test_two_checks_are_never_under_way():
    registry = Registry(LARGE, discovery_check=500.0, discovery_bytes_per_s=1000.0)
    for _ in range(25):
        registry.run_for(250)
        assert len(registry.checks()) <= 1
    assert len(registry.wholes()) == 1 and not registry.checks()  # after two silent ones


def test_no_check_by_version_beside_a_whole_list_under_way():
    registry = Registry(LARGE)
    registry.discovery.check_complete_list()
    registry.run_for(2000)
    feed_bytes(registry.wholes()[0], CHUNKED)  # not silent
    registry.run_for(2000)
    assert registry.wholes() and not registry.checks()


def test_a_check_ends_with_a_move_and_goes_on_at_the_new_address():
    registry = Registry(LARGE)
    check = registry.check()
    registry.discovery.move(("127.0.0.2", 8500))
    assert check.over and not registry.checks() and registry.discovery.failed_checks == 0
    registry.answer_whole(LARGE)
    registry.grant_watches()
    assert registry.check().address == ("127.0.0.2", 8500)


def test_a_list_that_shrinks_below_the_bound_is_asked_for_whole_again():
    registry = Registry(LARGE)
    feed_bytes(registry.check(), CHUNKED + EMPTY)
    registry.discovery.check_complete_list()
    registry.answer_whole(SMALL, rev=2)
    for _ in range(3):
        registry.run_for(3000)
        assert not registry.checks()
        registry.answer_whole(SMALL, rev=2)


def test_whole_lists_go_on_at_a_tenth_of_the_budget_at_most():
    registry = Registry(LARGE)
    size = registry.discovery.pace.size
    asked = []
    for _ in range(1000):
        registry.run_for(250)
        for check in registry.checks():
            feed_bytes(check, CHUNKED + EMPTY)
        if registry.wholes():
            asked.append(registry.hub.time)
            registry.answer_whole(LARGE)
    assert len(asked) > 2
    for before, after in zip([1000.0, *asked], asked, strict=False):
        assert size / 1.3 <= after - before <= 1.5 * size / 1.3 + 3250


def test_the_bound_and_the_period_are_those_of_the_budget():
    pace = CompleteListPace(Limits(), 7)
    for size, affordable in ((0, True), (BOUND, True), (BOUND + 1, False)):
        pace.taken(size, 0.0)
        assert pace.affordable() == affordable == pace.due(1.0)
    pace.taken(862_000, 0.0)
    assert round(pace.period_ms()) == 663_077
    assert not pace.due(663_000.0) and pace.due(1.5 * 663_077)


def test_assigners_draw_their_times_apart_and_each_the_same_again():
    def times(seed):
        pace = CompleteListPace(Limits(), seed)
        return [(pace.taken(862_000, 0.0), pace.due_at_ms)[1] for _ in range(3)]

    drawn = [times(seed) for seed in range(780)]
    assert drawn == [times(seed) for seed in range(780)]
    assert len({at for each in drawn for at in each}) == 3 * 780
    firsts = sorted(each[0] for each in drawn)
    assert max(later - sooner for sooner, later in pairwise(firsts)) < 0.05 * (
        firsts[-1] - firsts[0]
    )


def test_the_assigners_seed_is_the_draws():
    assert Registry(LARGE).discovery.pace.seed == 0x8C1F


def test_a_drain_that_the_watches_hold_back_is_known_within_six_seconds(world):
    """On sockets: empty lines on the watches, the drain only on the check, though it was listed
    after the last one."""
    world.start()
    watches = world.listed(*(f"s{k}" for k in range(LARGE)))
    world.logged("endpoint_list", version=1)
    world.discovery.listener.settimeout(0.1)
    began, check = time.monotonic(), None
    while check is None:
        for watch in watches:
            watch.send(EMPTY)
        try:
            check = world.discovery.next("watch")
        except TimeoutError:
            assert time.monotonic() - began < 6.0
    world.discovery.listener.settimeout(PATIENCE)
    assert check.path.endswith("since=1")
    check.send(CHUNKED, drain(2))
    assert world.logged("endpoint_list", version=2)["scope"] == "changes"
    assert time.monotonic() - began < 6.0
    assert check.ended()
    world.discovery.next("whole").send(CHUNKED, chunk(world.listing("s2", rev=2)), b"0\r\n\r\n")
    assert (
        world.logged("watches_stale", version=2)
        and world.logged("endpoint_list", version=2)["scope"] == "complete"
    )
