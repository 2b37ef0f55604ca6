"""Tests of when health checks are sent and when the endpoint list is requested."""

from collections import Counter

import pytest
from controller_scene import (
    CHECKS_PER_SERVER_PER_S,
    RECONCILE_INTERVAL_MS,
    ControllerScene,
    controller_group,
)

from havendyke import interface as core

PASSED, REFUSED = core.HealthCheckOutcome.PASSED, core.HealthCheckOutcome.REFUSED


@pytest.mark.parametrize("on_request, requests", [(True, 1), (False, 0)])
def test_the_endpoint_list_is_requested_once_and_again_after_a_failure(on_request, requests):
    scene = ControllerScene(list_on_request=on_request, list_request_timeout_ms=8000.0)
    orders = scene.request_observations() + scene.request_observations()
    assert sum(isinstance(o, core.RequestEndpointList) for o in orders) == requests
    scene.list_servers([], scope=core.ListScope.FAILED)
    scene.advance(2001)
    assert any(isinstance(o, core.RequestEndpointList) for o in scene.request_observations())


def checked_servers(scene, duration_ms):
    """Yields the id of each server checked within the duration; all checks pass at once."""
    for _ in range(int(duration_ms / RECONCILE_INTERVAL_MS)):
        for order in scene.request_observations():
            scene.end_health_check(order.server, PASSED)
            yield order.server.id
        scene.advance(RECONCILE_INTERVAL_MS)


@pytest.mark.parametrize("count", [1, 5, 230])
def test_all_controllers_together_check_a_server_at_a_bounded_rate(count):
    # Hundreds of controllers that each check at a rate of their own would use much of a server's
    # CPU.
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
        scene.end_health_check(order.server, PASSED)
    failed, passed = scene.servers[:2]
    scene.set_last_check(failed, scene.now_ms)
    scene.set_last_check(passed, scene.now_ms)
    scene.end_health_check(failed, REFUSED)
    scene.advance(600.0)
    checked = {order.server for order in scene.request_observations()}
    assert failed in checked and passed not in checked
