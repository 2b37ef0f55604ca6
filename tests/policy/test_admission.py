"""Tests of admission control while the fleet is overloaded."""

import pytest
from controller_harness import COMPLETED_SHARE_ADMITTED, ControllerHarness

from havendyke import interface as core


def test_an_overloaded_fleet_gets_no_retries_and_admits_less():
    harness = ControllerHarness()
    servers = harness.add_servers(4)
    (slice_,) = harness.add_slices(servers[:1])
    assert set(harness.retry_policies) == {
        core.RetryPolicy.IF_NOT_STARTED,
        core.RetryPolicy.ONCE_AFTER_ANY_FAILURE,
    }
    for server in servers:
        harness.report_server(server, 50, 25, 900.0)
    harness.report_slice(slice_, 200)
    harness.evaluate_health()
    harness.adjust_admission()
    assert set(harness.retry_policies) == {core.RetryPolicy.NEVER}
    assert harness.admission_probability == pytest.approx(COMPLETED_SHARE_ADMITTED * 100 / 200)


@pytest.mark.parametrize("failing_count, lowered", [(1, False), (2, False), (3, True)])
def test_few_failing_servers_do_not_lower_the_admission_probability(failing_count, lowered):
    # A lower probability would reject requests to all servers because of a few overloaded ones.
    harness = ControllerHarness()
    servers = harness.add_servers(5)
    (slice_,) = harness.add_slices(servers[:1])
    for number, server in enumerate(servers):
        harness.report_server(server, 90, 60 if number < failing_count else 0, 900.0)
    harness.report_slice(slice_, 450)
    harness.evaluate_health()
    harness.adjust_admission()
    assert (harness.admission_probability < 1.0) == lowered


def test_fast_failures_at_all_servers_do_not_lower_the_admission_probability():
    # Fast failures are refused connections: they cost a server no work, and load shedding frees no
    # connection.
    harness = ControllerHarness()
    servers = harness.add_servers(4)
    (slice_,) = harness.add_slices(servers[:1])
    for server in servers:
        harness.report_server(server, 50, 25, 130.0)
    harness.report_slice(slice_, 200)
    harness.admission_probability = 0.5
    harness.evaluate_health()
    harness.adjust_admission()
    assert harness.overloaded and harness.admission_probability > 0.5


@pytest.mark.parametrize("failures, raised", [(50, False), (5, True)])
def test_the_limit_is_not_raised_while_most_attempts_fail_beside_servers_without_reports(
    failures, raised
):
    # Most servers warm up and have no reports, so the median server shows no failures.
    harness = ControllerHarness()
    reported = harness.add_servers(4)
    harness.add_servers(6, started_ms=harness.now_ms - 1000.0)
    (slice_,) = harness.add_slices(reported[:1])
    for server in reported:
        harness.report_server(server, 90, failures, 900.0)
    harness.report_slice(slice_, 400)
    harness.admission_probability = 0.5
    harness.evaluate_health()
    harness.adjust_admission()
    assert (harness.admission_probability > 0.5) == raised
