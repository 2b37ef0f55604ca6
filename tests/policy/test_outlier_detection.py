"""Tests of which servers are marked unhealthy, and for how long."""

import pytest
from controller_harness import (
    CONSECUTIVE_FAILURES_TO_EJECT,
    MAX_EJECTION_TIME_MS,
    UNANSWERED_CHECKS_TO_EJECT,
    ControllerHarness,
)

from havendyke import interface as core


@pytest.mark.parametrize(
    "failures, latency_ms, others_failures, outlier",
    [
        pytest.param(30, 100.0, 0, True, id="fails beside fast answers"),
        pytest.param(30, 900.0, 0, False, id="overloaded: fails beside slow answers"),
        pytest.param(30, 100.0, 20, False, id="the median server fails too"),
        pytest.param(2, 100.0, 0, False, id="few failures"),
    ],
)
def test_a_failing_server_is_distinguished_from_an_overloaded_one(
    failures, latency_ms, others_failures, outlier
):
    harness = ControllerHarness()
    server, *others = harness.add_servers(5)
    harness.report_server(server, 40, failures, latency_ms)
    for other in others:
        harness.report_server(other, 40, others_failures)
    harness.evaluate_health()
    assert harness.is_outlier(server) == outlier


@pytest.mark.parametrize("suspects, outliers", [(2, 2), (4, 0)])
def test_more_than_half_of_the_servers_are_never_outliers(suspects, outliers):
    # A majority more likely indicates a stall of the controller or a fault of its own network.
    harness = ControllerHarness()
    for server in harness.add_servers(6)[:suspects]:
        harness.set_consecutive_failures(server, CONSECUTIVE_FAILURES_TO_EJECT)
    harness.evaluate_health()
    assert sum(map(harness.is_outlier, harness.servers)) == outliers


@pytest.mark.parametrize(
    "own_age_ms, fleet_age_ms, latency_ms, attempts, in_flight, outlier",
    [
        pytest.param(2000.0, 0.0, 100.0, 5, None, True, id="unresponsive"),
        pytest.param(5000.0, 5000.0, 100.0, 5, None, False, id="no server's reports come"),
        pytest.param(0.0, 0.0, 100.0, 5, None, False, id="requests succeed, checks are delayed"),
        pytest.param(2000.0, 0.0, 100.0, 2, None, False, id="too few requests to miss answers"),
        pytest.param(2000.0, 0.0, 900.0, 5, None, False, id="slow: checks wait in its queue"),
        pytest.param(2000.0, 0.0, 900.0, 5, 2, True, id="slow, but no longer queue than others"),
        pytest.param(2000.0, 0.0, 900.0, 5, 40, False, id="slow, with a longer queue"),
    ],
)
def test_unanswered_checks_make_an_outlier_only_if_answers_are_overdue(
    own_age_ms, fleet_age_ms, latency_ms, attempts, in_flight, outlier
):
    harness = ControllerHarness()
    servers = harness.add_servers(4)
    server = servers[0]
    harness.report_server(server, attempts, latency_ms=latency_ms)
    for each in servers if in_flight else ():
        harness.report_in_flight(each, in_flight if each is server else 2)
    harness.set_unanswered_checks(server, UNANSWERED_CHECKS_TO_EJECT)
    harness.set_last_success(server, harness.now_ms - own_age_ms)
    harness.set_fleet_last_success(harness.now_ms - fleet_age_ms)
    harness.evaluate_health()
    assert harness.is_outlier(server) == outlier


def test_the_ejection_time_doubles_up_to_its_maximum():
    harness = ControllerHarness()
    server = harness.add_servers(5)[0]
    durations = []
    for _ in range(3):
        harness.set_consecutive_failures(server, CONSECUTIVE_FAILURES_TO_EJECT)
        harness.evaluate_health()
        durations.append(harness.unhealthy_until(server) - harness.now_ms)
        harness.advance_to(harness.unhealthy_until(server) + 1)
        harness.set_consecutive_failures(server, 0)
        harness.evaluate_health()
        assert not harness.is_outlier(server) and harness.is_recovering(server)
    assert durations[1] == 2 * durations[0] and durations[2] <= MAX_EJECTION_TIME_MS


def test_a_check_superseded_by_a_new_incarnation_does_not_count_as_a_failure():
    harness = ControllerHarness(health_checks=True)
    server, *_ = harness.add_servers(6)
    harness.report_health_check(server, core.HealthCheckOutcome.REFUSED)
    harness.report_health_check(server, core.HealthCheckOutcome.SUPERSEDED)
    harness.evaluate_health()
    assert harness.consecutive_failures(server) == 1
    assert not harness.is_outlier(server)
    assert not harness.check_in_flight(server)


@pytest.mark.parametrize("connection_capacity, outlier", [(119.0, False), (400.0, True)])
def test_a_server_whose_connections_are_exhausted_is_no_outlier(connection_capacity, outlier):
    # Its connections stay open for a while after its slices have migrated, and the slices open new
    # ones at servers whose connections are exhausted too.
    harness = ControllerHarness(
        slice_count=160, connection_capacity=connection_capacity, connection_idle_ms=15_000.0
    )
    servers = harness.add_servers(20)
    harness.set_request_rate(harness.connect_proxies(150), 1.6)
    for server in servers:
        harness.report_server(server, 40, 20 if server is servers[0] else 0)
    harness.plan()
    harness.evaluate_health()
    assert harness.is_outlier(servers[0]) == outlier


def test_health_checks_that_could_not_be_sent_say_nothing_of_a_server():
    harness = ControllerHarness(health_checks=True)
    servers = harness.add_servers(5)
    for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
        harness.report_health_check(servers[0], core.HealthCheckOutcome.NOT_SENT)
        harness.evaluate_health()
        assert not harness.is_outlier(servers[0]) and not harness.check_in_flight(servers[0])
