"""Tests of which servers are marked unhealthy, and for how long."""

import pytest
from controller_scene import (
    CONSECUTIVE_FAILURES_TO_EJECT,
    MAX_EJECTION_TIME_MS,
    UNANSWERED_CHECKS_TO_EJECT,
    ControllerScene,
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
    scene = ControllerScene()
    server, *others = scene.add_servers(5)
    scene.report_server(server, 40, failures, latency_ms)
    for other in others:
        scene.report_server(other, 40, others_failures)
    scene.evaluate_health()
    assert scene.is_outlier(server) == outlier


@pytest.mark.parametrize("suspects, outliers", [(2, 2), (4, 0)])
def test_more_than_half_of_the_servers_are_never_outliers(suspects, outliers):
    # A majority more likely indicates a stall of the controller or a fault of its own network.
    scene = ControllerScene()
    for server in scene.add_servers(6)[:suspects]:
        scene.set_consecutive_failures(server, CONSECUTIVE_FAILURES_TO_EJECT)
    scene.evaluate_health()
    assert sum(map(scene.is_outlier, scene.servers)) == outliers


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
    scene = ControllerScene()
    servers = scene.add_servers(4)
    server = servers[0]
    scene.report_server(server, attempts, latency_ms=latency_ms)
    for each in servers if in_flight else ():
        scene.report_in_flight(each, in_flight if each is server else 2)
    scene.set_unanswered_checks(server, UNANSWERED_CHECKS_TO_EJECT)
    scene.set_last_success(server, scene.now_ms - own_age_ms)
    scene.set_fleet_last_success(scene.now_ms - fleet_age_ms)
    scene.evaluate_health()
    assert scene.is_outlier(server) == outlier


def test_the_ejection_time_doubles_up_to_its_maximum():
    scene = ControllerScene()
    server = scene.add_servers(5)[0]
    durations = []
    for _ in range(3):
        scene.set_consecutive_failures(server, CONSECUTIVE_FAILURES_TO_EJECT)
        scene.evaluate_health()
        durations.append(scene.unhealthy_until(server) - scene.now_ms)
        scene.advance_to(scene.unhealthy_until(server) + 1)
        scene.set_consecutive_failures(server, 0)
        scene.evaluate_health()
        assert not scene.is_outlier(server) and scene.is_recovering(server)
    assert durations[1] == 2 * durations[0] and durations[2] <= MAX_EJECTION_TIME_MS


def test_a_check_superseded_by_a_new_incarnation_does_not_count_as_a_failure():
    scene = ControllerScene(health_checks=True)
    server, *_ = scene.add_servers(6)
    scene.end_health_check(server, core.HealthCheckOutcome.REFUSED)
    scene.end_health_check(server, core.HealthCheckOutcome.SUPERSEDED)
    scene.evaluate_health()
    assert scene.consecutive_failures(server) == 1
    assert not scene.is_outlier(server)
    assert not scene.check_in_flight(server)


@pytest.mark.parametrize("connection_capacity, outlier", [(119.0, False), (400.0, True)])
def test_a_server_whose_connections_are_exhausted_is_no_outlier(connection_capacity, outlier):
    # Its connections stay open for a while after its slices have migrated, and the slices open new
    # ones at servers whose connections are exhausted too.
    scene = ControllerScene(
        slice_count=160, connection_capacity=connection_capacity, connection_idle_ms=15_000.0
    )
    servers = scene.add_servers(20)
    scene.set_request_rate(scene.connect_proxies(150), 1.6)
    for server in servers:
        scene.report_server(server, 40, 20 if server is servers[0] else 0)
    scene.plan()
    scene.evaluate_health()
    assert scene.is_outlier(servers[0]) == outlier
