"""How often servers are asked for their health, and when the endpoint list is asked for."""

from collections import Counter

import pytest
from controller_harness import (
    CHECKS_PER_SERVER_PER_S,
    RECONCILE_INTERVAL_MS,
    ControllerHarness,
    controller_group,
)

from havendyke import interface as core

PASSED, REFUSED = core.HealthCheckOutcome.PASSED, core.HealthCheckOutcome.REFUSED


@pytest.mark.parametrize("on_request, requests", [(True, 1), (False, 0)])
def test_the_endpoint_list_is_asked_for_once_and_again_after_a_failure(on_request, requests):
    scene = ControllerHarness(list_on_request=on_request, list_request_timeout_ms=8000.0)
    orders = scene.request_observations() + scene.request_observations()
    assert sum(isinstance(o, core.RequestEndpointList) for o in orders) == requests
    scene.list_servers([], scope=core.ListScope.FAILED)
    scene.advance(2001)
    assert any(isinstance(o, core.RequestEndpointList) for o in scene.request_observations())


def checked_servers(scene, duration_ms):
    """The servers that are asked within the duration, each passing at once."""
    for _ in range(int(duration_ms / RECONCILE_INTERVAL_MS)):
        for order in scene.request_observations():
            scene.report_health_check(order.server, PASSED)
            yield order.server.id
        scene.advance(RECONCILE_INTERVAL_MS)


@pytest.mark.parametrize("count", [1, 5, 230])
def test_all_controllers_together_check_a_server_at_a_bounded_rate(count):
    # Checks by each of hundreds of controllers at its own rate would take much of a server's CPU.
    checks = Counter()
    for scene in controller_group(count, 40, [k % 40 for k in range(240)], health_checks=True):
        scene.evaluate_health()
        scene.plan()
        checks.update(checked_servers(scene, 20_000.0))
    assert len(checks) == 40
    assert max(checks.values()) <= 2 * CHECKS_PER_SERVER_PER_S * 20 * 1.2
    assert min(checks.values()) >= 20


def test_the_first_checks_are_spread_over_an_interval():
    (scene,) = controller_group(1, 200, list(range(200)), health_checks=True)
    checks = []
    for _ in range(3):
        checks.append(len(scene.request_observations()))
        scene.advance(250.0)
    assert sum(checks) == 200 and max(checks) < 150


def test_a_server_that_failed_a_check_is_checked_again_before_the_others():
    scene = controller_group(5, 40, [k % 40 for k in range(240)], health_checks=True)[0]
    for order in scene.request_observations():
        scene.report_health_check(order.server, PASSED)
    suspect, sound = scene.servers[:2]
    scene.set_last_check(suspect, scene.now_ms)
    scene.set_last_check(sound, scene.now_ms)
    scene.report_health_check(suspect, REFUSED)
    scene.advance(600.0)
    checked = {order.server for order in scene.request_observations()}
    assert suspect in checked and sound not in checked
