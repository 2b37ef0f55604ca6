"""Tests of the estimates of slices' demand and of the controllers that share a server."""

import pytest
from controller_harness import ControllerHarness, controller_group


@pytest.mark.parametrize("assigned_for_ms, underestimated", [(0.0, False), (60_000.0, True)])
def test_a_newly_assigned_slice_has_the_mean_demand_until_it_has_reports(
    assigned_for_ms, underestimated
):
    # Without an estimate, its primary would appear unused and get more slices.
    harness = ControllerHarness()
    slices = harness.add_slices(harness.add_servers(4))
    unreported, *reported = slices
    harness.set_assigned_at(unreported, harness.now_ms - assigned_for_ms)
    for slice_ in reported:
        harness.set_assigned_at(slice_, harness.now_ms - 60_000.0)
        harness.add_requests(slice_, 30.0)
    harness.estimate_demand(slices)
    assert (harness.demand(unreported) < 0.9 * harness.demand(reported[0])) == underestimated


@pytest.mark.parametrize("controllers, sharing", [(1, 1), (5, 5), (230, 6)])
def test_a_server_is_shared_by_the_controllers_with_slices_on_it(controllers, sharing):
    # If a server's migration interval grew with the number of all controllers, it could hardly ever
    # release a slice.
    harness = controller_group(controllers, 40, [k % 40 for k in range(240)])[0]
    harness.estimate_connections()
    assert harness.controllers_per_server == sharing
