"""Health checks: each outcome, the limit on how many are in flight, addresses."""

import pytest
from helpers import StubTransport, feed, make_assigner, suspend_reconciliation, take_pending_events

from havendyke import interface as core


def wait_for_timeout(connection, hub):
    hub.run_for(600)


CALL_OUTCOMES = {
    "refused": (core.HealthCheckOutcome.REFUSED, lambda c, hub: c.close("refused")),
    "unreachable": (core.HealthCheckOutcome.REFUSED, lambda c, hub: c.close("timeout")),
    "reset": (
        core.HealthCheckOutcome.RESET,
        lambda c, hub: (c.connection_made(StubTransport()), c.close("reset")),
    ),
    "silent": (
        core.HealthCheckOutcome.TIMED_OUT,
        lambda c, hub: (c.connection_made(StubTransport()), wait_for_timeout(c, hub)),
    ),
    "503": (
        core.HealthCheckOutcome.SATURATED,
        lambda c, hub: (
            c.connection_made(StubTransport()),
            feed(c, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        ),
    ),
    "junk": (
        core.HealthCheckOutcome.ERROR,
        lambda c, hub: (c.connection_made(StubTransport()), feed(c, b"junk\r\n")),
    ),
    "report": (
        core.HealthCheckOutcome.PASSED,
        lambda c, hub: (
            c.connection_made(StubTransport()),
            feed(c, b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\nTEXT inflight=7, x=2, "),
        ),
    ),
    "to the end": (
        core.HealthCheckOutcome.PASSED,
        lambda c, hub: (
            c.connection_made(StubTransport()),
            feed(c, b"HTTP/1.1 200 OK\r\n\r\nTEXT inflight=7"),
            c.eof_received(),
        ),
    ),
}


@pytest.mark.parametrize("case", CALL_OUTCOMES)
def test_each_end_of_a_health_check_has_its_outcome(case):
    assigner, hub = make_assigner()
    take_pending_events(suspend_reconciliation(assigner))
    assigner.health_checker.check(assigner.registry.servers["s1"])
    connection = hub.open("health_checks", establish=False)
    outcome, act = CALL_OUTCOMES[case]
    act(connection, hub)
    (event,) = take_pending_events(assigner)
    assert (event.outcome, connection.over, assigner.health_checker.in_flight) == (outcome, True, 0)
    assert event.load == (
        core.ServerLoad(in_flight=7.0)
        if outcome is core.HealthCheckOutcome.PASSED
        else core.ServerLoad()
    )


def test_a_check_beyond_the_limit_waits_for_another_to_end():
    # 200 servers were asked at one look with room for 64: the rest was never answered, nor asked
    # again for 2 s.
    assigner, hub = make_assigner(probes_open=2)
    for name in ("s1", "s2", "s3", "s3"):
        assigner.health_checker.check(assigner.registry.servers[name])
    assert assigner.health_checker.in_flight == 2 and len(hub.connections) == 2
    assert [said for said, _ in hub.logged].count("health_checks_queued") == 1
    hub.connections[0].close("refused")
    assert (
        assigner.health_checker.in_flight == 2
        and len(hub.connections) == 3
        and not assigner.health_checker.queue
    )


@pytest.mark.parametrize("end", ["", "host.example:80", "127.0.0.1", "127.0.0.1:99999", "[::1]:x"])
def test_a_server_without_a_usable_address_is_not_checked(end):
    assigner, hub = make_assigner()
    server = assigner.registry.servers["s1"]
    assigner.messages.endpoint_list.endpoints[server] = end
    assigner.health_checker.check(server)
    assert hub.counters["health_checks_skipped"] == 1 and not hub.connections
