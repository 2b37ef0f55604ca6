"""Health checks: outcomes, the concurrency limit and unusable addresses."""

import pytest
from helpers import StubTransport, feed, make_assigner, suspend_reconciliation, take_pending_events

from havendyke import interface as core


def wait_for_timeout(connection, event_loop):
    event_loop.run_for(600)


CHECK_OUTCOMES = {
    "refused": (core.HealthCheckOutcome.REFUSED, lambda c, event_loop: c.close("refused")),
    "unreachable": (core.HealthCheckOutcome.REFUSED, lambda c, event_loop: c.close("timeout")),
    "no socket left": (
        core.HealthCheckOutcome.NOT_SENT,
        lambda c, event_loop: c.close("local_failure"),
    ),
    "reset": (
        core.HealthCheckOutcome.RESET,
        lambda c, event_loop: (c.connection_made(StubTransport()), c.close("reset")),
    ),
    "silent": (
        core.HealthCheckOutcome.TIMED_OUT,
        lambda c, event_loop: (c.connection_made(StubTransport()), wait_for_timeout(c, event_loop)),
    ),
    "503": (
        core.HealthCheckOutcome.SATURATED,
        lambda c, event_loop: (
            c.connection_made(StubTransport()),
            feed(c, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        ),
    ),
    "junk": (
        core.HealthCheckOutcome.ERROR,
        lambda c, event_loop: (c.connection_made(StubTransport()), feed(c, b"junk\r\n")),
    ),
    "report": (
        core.HealthCheckOutcome.PASSED,
        lambda c, event_loop: (
            c.connection_made(StubTransport()),
            feed(c, b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\nTEXT inflight=7, x=2, "),
        ),
    ),
    "to the end": (
        core.HealthCheckOutcome.PASSED,
        lambda c, event_loop: (
            c.connection_made(StubTransport()),
            feed(c, b"HTTP/1.1 200 OK\r\n\r\nTEXT inflight=7"),
            c.eof_received(),
        ),
    ),
}


@pytest.mark.parametrize("case", CHECK_OUTCOMES)
def test_each_way_a_health_check_ends_has_its_outcome(case):
    assigner, event_loop = make_assigner()
    take_pending_events(suspend_reconciliation(assigner))
    assigner.health_checker.check(assigner.registry.servers["s1"])
    connection = event_loop.open("health_checks", establish=False)
    outcome, act = CHECK_OUTCOMES[case]
    act(connection, event_loop)
    (event,) = take_pending_events(assigner)
    assert (event.outcome, connection.ended, assigner.health_checker.in_flight) == (
        outcome,
        True,
        0,
    )
    assert event.load == (
        core.ServerLoad(in_flight=7.0)
        if outcome is core.HealthCheckOutcome.PASSED
        else core.ServerLoad()
    )


def test_a_check_beyond_the_limit_is_queued():
    # With 200 checks due at once and a limit of 64, checks that are not queued would get no result
    # and no retry for 2 s.
    assigner, event_loop = make_assigner(max_health_checks=2)
    for name in ("s1", "s2", "s3", "s3"):
        assigner.health_checker.check(assigner.registry.servers[name])
    assert assigner.health_checker.in_flight == 2 and len(event_loop.connections) == 2
    assert [event for event, _ in event_loop.logged].count("health_checks_queued") == 1
    event_loop.connections[0].close("refused")
    assert (
        assigner.health_checker.in_flight == 2
        and len(event_loop.connections) == 3
        and not assigner.health_checker.queue
    )


@pytest.mark.parametrize(
    "address", ["", "host.example:80", "127.0.0.1", "127.0.0.1:99999", "[::1]:x"]
)
def test_a_server_without_a_usable_address_is_not_checked(address):
    assigner, event_loop = make_assigner()
    server = assigner.registry.servers["s1"]
    assigner.peer_codecs.endpoint_list.endpoints[server] = address
    assigner.health_checker.check(server)
    assert event_loop.counters["health_checks_skipped"] == 1 and not event_loop.connections
