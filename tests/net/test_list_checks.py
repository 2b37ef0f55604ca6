"""Checks of the endpoint list by version: their results and failures, and when the complete list is
requested."""

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

LARGE, SMALL = 400, 20  # servers
MAX_AFFORDABLE_BYTES = 39_000  # 13,000 bytes/s, with a check every 3 s
KEEP_ALIVE = chunk(b"\n")


def update(rev, *entries, complete=False):
    return {"rev": rev, "all": complete, "targets": list(entries)}


def draining_update(rev, name="s1"):
    return chunk(update(rev, listed_server(name, "terminating")))


class SimulatedDiscovery:
    """Discovery's side of the connections, controlled by the test."""

    def __init__(self, server_count, **limits):
        self.assigner, self.event_loop = make_assigner(**limits)
        self.client = suspend_reconciliation(self.assigner).discovery
        self.client.start()
        self.send_complete_list(server_count)
        self.establish_watches()
        take_pending_events(self.assigner)

    def connections(self) -> list:
        open_connections = self.event_loop.standing("discovery")
        return [self.event_loop.up(c) for c in open_connections]

    def list_queries(self) -> list:
        return [c for c in self.connections() if not c.peer.follow]

    def checks(self) -> list:
        return [c for c in self.connections() if isinstance(c.peer, VersionCheck)]

    def watches(self) -> list:
        return [
            c for c in self.connections() if c.peer.follow and not isinstance(c.peer, VersionCheck)
        ]

    def establish_watches(self):
        for watch in self.watches():
            if not watch.peer.established:
                feed_bytes(watch, CHUNKED + KEEP_ALIVE)

    def send_complete_list(self, server_count, rev=1):
        body = orjson.dumps(
            update(rev, *(listed_server(f"s{k}") for k in range(server_count)), complete=True)
        )
        (connection,) = self.list_queries()
        feed_bytes(connection, head(f"Content-Length: {len(body)}") + body)

    def pass_time(self, ms, step=250.0):
        """Lets time pass while the watches receive keep-alive lines."""
        end = self.event_loop.time + ms
        while self.event_loop.time < end:
            for watch in self.watches():
                feed_bytes(watch, KEEP_ALIVE)
            self.event_loop.pass_time(min(step, end - self.event_loop.time))

    def wait_for_check(self):
        """Waits for the next check by version, and establishes its connection."""
        end = self.event_loop.time + 3500.0
        while not self.checks() and self.event_loop.time < end:
            self.pass_time(250.0)
        (check,) = self.checks()
        return check

    def events(self) -> list:
        return [
            (e.scope, len(e.entries))
            for e in take_pending_events(self.assigner, core.EndpointListUpdate)
        ]

    def count(self, name) -> int:
        return self.event_loop.counters.get(name, 0)

    def logged(self, name) -> int:
        return sum(event == name for event, _ in self.event_loop.logged)


def test_a_small_list_is_requested_completely_at_each_check():
    discovery = SimulatedDiscovery(SMALL)
    for _ in range(4):
        discovery.pass_time(3000)
        assert not discovery.checks()
        discovery.send_complete_list(SMALL)
    assert discovery.count("list_unchanged") == 4


def test_a_large_list_is_checked_by_version_and_an_empty_line_ends_the_check():
    discovery = SimulatedDiscovery(LARGE)
    feed_bytes(discovery.watches()[0], chunk(update(5, listed_server("s3"))))
    discovery.events()
    for _ in range(4):
        check = discovery.wait_for_check()
        assert b"/registry/instances?follow=1&since=5 " in check.transport.written
        feed_bytes(
            check,
            CHUNKED
            + chunk(b"\n" + orjson.dumps(update(9, listed_server("s1"))) + b"\n")
            + draining_update(9),
        )
        assert check.ended and discovery.events() == []
    assert not discovery.list_queries() and discovery.count("closed_discovery_done") == 5


def test_an_update_that_the_watches_withhold_is_applied_and_the_complete_list_requested():
    discovery = SimulatedDiscovery(LARGE)
    check = discovery.wait_for_check()
    feed_bytes(check, CHUNKED + draining_update(4))
    assert check.ended and discovery.events() == [("changes", 1)] and discovery.client.version == 4
    discovery.pass_time(150, step=50)
    assert (
        discovery.count("watches_stale") == 1
        and not discovery.list_queries()[0].peer.may_reveal_restart
    )
    discovery.send_complete_list(LARGE, rev=4)
    assert discovery.events() == [("complete", LARGE)]
    # Logged once, until a watch brings an update again.
    for rev, logged in ((5, 1), (7, 2)):
        feed_bytes(discovery.wait_for_check(), CHUNKED + draining_update(rev))
        discovery.pass_time(150, step=50)
        discovery.send_complete_list(LARGE, rev=rev)
        assert discovery.logged("watches_stale") == logged
        feed_bytes(discovery.watches()[0], chunk(update(rev + 1, listed_server("s5"))))


@pytest.mark.parametrize("check_first", [True, False])
def test_an_update_by_a_check_and_a_watch_at_once_is_one_event_and_no_stale_watch(check_first):
    discovery = SimulatedDiscovery(LARGE)
    check, watch = discovery.wait_for_check(), discovery.watches()[0]
    feed_bytes(check, CHUNKED)
    for connection in (check, watch) if check_first else (watch, check):
        feed_bytes(connection, draining_update(4))
    discovery.pass_time(500)
    assert discovery.events() == [("changes", 1)] and discovery.count("list_already_known") == 1
    assert discovery.count("watches_stale") == 0 and not discovery.list_queries()


def test_a_check_reveals_no_stale_watch_if_none_is_established():
    discovery = SimulatedDiscovery(LARGE)
    check = discovery.wait_for_check()
    for watch in discovery.watches():
        watch.close("reset")
    feed_bytes(check, CHUNKED + draining_update(4))
    discovery.event_loop.pass_time(200)
    assert discovery.events() == [("changes", 1)] and discovery.count("watches_stale") == 0


def test_a_complete_list_in_place_of_changes_is_applied_only_at_a_higher_version():
    discovery = SimulatedDiscovery(LARGE)
    feed_bytes(discovery.watches()[0], chunk(update(5, listed_server("s3"))))
    discovery.events()
    for rev, events in ((4, []), (5, []), (6, [("complete", 2)])):
        feed_bytes(
            discovery.wait_for_check(),
            CHUNKED + chunk(update(rev, listed_server("s1"), listed_server("s2"), complete=True)),
        )
        assert discovery.events() == events
    assert discovery.client.version == 6


def test_changes_since_a_version_before_a_restart_of_discovery_are_ignored():
    discovery = SimulatedDiscovery(LARGE)
    feed_bytes(discovery.watches()[0], chunk(update(50, listed_server("s3"))))
    check = discovery.wait_for_check()
    for watch in discovery.watches():
        watch.close("reset")
    discovery.event_loop.pass_time(400)
    discovery.send_complete_list(LARGE, rev=3)  # after its restart
    discovery.events()
    feed_bytes(check, CHUNKED + draining_update(52))
    assert check.ended and discovery.events() == [] and discovery.client.version == 3


def test_stale_watches_are_detected_after_a_restart_at_lower_versions():
    discovery = SimulatedDiscovery(LARGE)
    feed_bytes(discovery.watches()[0], chunk(update(50, listed_server("s3"))))
    for watch in discovery.watches():
        watch.close("reset")
    discovery.event_loop.pass_time(400)
    discovery.send_complete_list(LARGE, rev=3)
    discovery.establish_watches()
    feed_bytes(discovery.wait_for_check(), CHUNKED + draining_update(4))
    discovery.pass_time(150, step=50)
    assert discovery.count("watches_stale") == 1


def stay_silent(discovery, check):
    discovery.pass_time(2700)


def send_half_a_line(discovery, check):
    """Sends an incomplete line, then single bytes, which must not extend the timeout."""
    feed_bytes(check, CHUNKED + chunk(b'{"rev":'))
    for _ in range(6):
        discovery.pass_time(450)
        feed_bytes(check, chunk(b" "))


def respond_with(data):
    return lambda discovery, check: feed_bytes(check, data)


FAILURES = {
    "silent": stay_silent,
    "half a line": send_half_a_line,
    "reset": lambda discovery, check: check.close("reset"),
    "503": respond_with(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
    "no line": respond_with(CHUNKED + b"0\r\n\r\n"),
    "no list": respond_with(CHUNKED + chunk({"rev": 1})),
    "no body": respond_with(head("Content-Length: 0")),
}


@pytest.mark.parametrize("failure", FAILURES)
def test_a_failed_check_has_no_effect_and_two_in_a_row_request_the_complete_list(failure):
    discovery = SimulatedDiscovery(LARGE)
    for ending in (FAILURES[failure], respond_with(CHUNKED + KEEP_ALIVE), FAILURES[failure]):
        check = discovery.wait_for_check()
        ending(discovery, check)
        assert check.ended and not discovery.list_queries() and not discovery.client.unreachable
    check = discovery.wait_for_check()
    FAILURES[failure](discovery, check)
    assert check.ended and not discovery.list_queries()[0].peer.may_reveal_restart
    assert (
        discovery.events() == []
        and discovery.logged("discovery_lost") == 0
        and len(discovery.watches()) == 2
    )
    discovery.send_complete_list(LARGE)
    FAILURES[failure](discovery, discovery.wait_for_check())
    assert not discovery.list_queries()  # the count was reset


def test_a_complete_list_with_an_invalid_entry_is_requested_again_at_the_next_check():
    discovery = SimulatedDiscovery(LARGE)
    discovery.client.check_complete_list()
    invalid = orjson.dumps(
        update(
            2,
            listed_server("s1", "odd"),
            *(listed_server(f"s{k}") for k in range(2, LARGE)),
            complete=True,
        )
    )
    for _ in range(2):
        (connection,) = discovery.list_queries()
        feed_bytes(connection, head(f"Content-Length: {len(invalid)}") + invalid)
        discovery.pass_time(3000)
    assert (
        discovery.count("bad_entries") == 1 and not discovery.list_queries()
    )  # the same bytes again are not decoded
    assert discovery.checks()


def test_two_checks_are_never_in_flight():
    discovery = SimulatedDiscovery(
        LARGE, discovery_check_interval_ms=500.0, discovery_bytes_per_s=1000.0
    )
    for _ in range(25):
        discovery.pass_time(250)
        assert len(discovery.checks()) <= 1
    assert len(discovery.list_queries()) == 1 and not discovery.checks()  # after two silent ones


def test_no_check_by_version_while_a_complete_list_is_in_flight():
    discovery = SimulatedDiscovery(LARGE)
    discovery.client.check_complete_list()
    discovery.pass_time(2000)
    feed_bytes(discovery.list_queries()[0], CHUNKED)  # not silent
    discovery.pass_time(2000)
    assert discovery.list_queries() and not discovery.checks()


def test_a_check_ends_at_an_address_change_and_the_next_goes_to_the_new_address():
    discovery = SimulatedDiscovery(LARGE)
    check = discovery.wait_for_check()
    discovery.client.set_address(("127.0.0.2", 8500))
    assert check.ended and not discovery.checks() and discovery.client.failed_checks == 0
    discovery.send_complete_list(LARGE)
    discovery.establish_watches()
    assert discovery.wait_for_check().address == ("127.0.0.2", 8500)


def test_a_list_that_shrinks_below_the_limit_is_requested_completely_again():
    discovery = SimulatedDiscovery(LARGE)
    feed_bytes(discovery.wait_for_check(), CHUNKED + KEEP_ALIVE)
    discovery.client.check_complete_list()
    discovery.send_complete_list(SMALL, rev=2)
    for _ in range(3):
        discovery.pass_time(3000)
        assert not discovery.checks()
        discovery.send_complete_list(SMALL, rev=2)


def test_large_complete_lists_take_at_most_a_tenth_of_the_budget():
    discovery = SimulatedDiscovery(LARGE)
    size = discovery.client.pace.size
    requested_ms = []
    for _ in range(1000):
        discovery.pass_time(250)
        for check in discovery.checks():
            feed_bytes(check, CHUNKED + KEEP_ALIVE)
        if discovery.list_queries():
            requested_ms.append(discovery.event_loop.time)
            discovery.send_complete_list(LARGE)
    assert len(requested_ms) > 2
    for before, after in zip([1000.0, *requested_ms], requested_ms, strict=False):
        assert size / 1.3 <= after - before <= 1.5 * size / 1.3 + 3250


def test_the_size_limit_and_the_period_follow_from_the_budget():
    pace = CompleteListPace(Limits(), 7)
    for size, affordable in (
        (0, True),
        (MAX_AFFORDABLE_BYTES, True),
        (MAX_AFFORDABLE_BYTES + 1, False),
    ):
        pace.record_list(size, 0.0)
        assert pace.affordable() == affordable == pace.due(1.0)
    pace.record_list(862_000, 0.0)
    assert round(pace.period_ms()) == 663_077
    assert not pace.due(663_000.0) and pace.due(1.5 * 663_077)


def test_request_times_differ_between_assigners_and_are_reproducible():
    def due_times(seed):
        pace = CompleteListPace(Limits(), seed)
        return [(pace.record_list(862_000, 0.0), pace.due_at_ms)[1] for _ in range(3)]

    drawn = [due_times(seed) for seed in range(780)]
    assert drawn == [due_times(seed) for seed in range(780)]
    assert len({due_ms for assigner in drawn for due_ms in assigner}) == 3 * 780
    first_times = sorted(assigner[0] for assigner in drawn)
    assert max(later - earlier for earlier, later in pairwise(first_times)) < 0.05 * (
        first_times[-1] - first_times[0]
    )


def test_the_draws_use_the_assigners_seed():
    assert SimulatedDiscovery(LARGE).client.pace.seed == 0x8C1F


def test_a_drain_that_the_watches_withhold_is_known_within_six_seconds(world):
    """On sockets: the watches bring only keep-alive lines. The drain is listed after the previous
    check and comes only with the next one."""
    world.start()
    watches = world.listed(*(f"s{k}" for k in range(LARGE)))
    world.logged("endpoint_list", version=1)
    world.discovery.listener.settimeout(0.1)
    started_s, check = time.monotonic(), None
    while check is None:
        for watch in watches:
            watch.send(KEEP_ALIVE)
        try:
            check = world.discovery.next("watch")
        except TimeoutError:
            assert time.monotonic() - started_s < 6.0
    world.discovery.listener.settimeout(PATIENCE)
    assert check.path.endswith("since=1")
    check.send(CHUNKED, draining_update(2))
    assert world.logged("endpoint_list", version=2)["scope"] == "changes"
    assert time.monotonic() - started_s < 6.0
    assert check.ended()
    world.discovery.next("whole").send(CHUNKED, chunk(world.listing("s2", rev=2)), b"0\r\n\r\n")
    assert (
        world.logged("watches_stale", version=2)
        and world.logged("endpoint_list", version=2)["scope"] == "complete"
    )
