"""Tests of when health checks are sent and when the endpoint list is requested."""

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
def test_the_endpoint_list_is_requested_once_and_again_after_a_failure(on_request, requests):
    harness = ControllerHarness(list_on_request=on_request, list_request_timeout_ms=8000.0)
    orders = harness.request_observations() + harness.request_observations()
    assert sum(isinstance(o, core.RequestEndpointList) for o in orders) == requests
    harness.list_servers([], scope=core.ListScope.FAILED)
    harness.advance(2001)
    assert any(isinstance(o, core.RequestEndpointList) for o in harness.request_observations())


def checked_servers(harness, duration_ms):
    """Yields the id of each server checked within the duration; all checks pass at once."""
    for _ in range(int(duration_ms / RECONCILE_INTERVAL_MS)):
        for order in harness.request_observations():
            harness.report_health_check(order.server, PASSED)
            yield order.server.id
        harness.advance(RECONCILE_INTERVAL_MS)


@pytest.mark.parametrize("count", [1, 5, 230])
def test_all_controllers_together_check_a_server_at_a_bounded_rate(count):
    # Hundreds of controllers that each check at a rate of their own would use much of a server's
    # CPU.
    checks = Counter()
    for harness in controller_group(count, 40, [k % 40 for k in range(240)], health_checks=True):
        harness.evaluate_health()
        harness.plan()
        checks.update(checked_servers(harness, 20_000.0))
    assert len(checks) == 40
    assert max(checks.values()) <= 2 * CHECKS_PER_SERVER_PER_S * 20 * 1.2
    assert min(checks.values()) >= 20


def test_the_first_checks_are_spread_over_an_interval():
    (harness,) = controller_group(1, 200, list(range(200)), health_checks=True)
    checks = []
    for _ in range(3):
        checks.append(len(harness.request_observations()))
        harness.advance(250.0)
    assert sum(checks) == 200 and max(checks) < 150


def test_a_server_that_failed_a_check_is_checked_again_before_the_others():
    harness = controller_group(5, 40, [k % 40 for k in range(240)], health_checks=True)[0]
    for order in harness.request_observations():
        harness.report_health_check(order.server, PASSED)
    failed, passed = harness.servers[:2]
    harness.set_last_check(failed, harness.now_ms)
    harness.set_last_check(passed, harness.now_ms)
    harness.report_health_check(failed, REFUSED)
    harness.advance(600.0)
    checked = {order.server for order in harness.request_observations()}
    assert failed in checked and passed not in checked
