"""Estimates of slices' demand and of the controllers that share a server."""

import pytest
from controller_harness import ControllerHarness, controller_group


@pytest.mark.parametrize("assigned_for_ms, light", [(0.0, False), (60_000.0, True)])
def test_a_slice_just_assigned_counts_as_the_mean_until_it_has_reports(assigned_for_ms, light):
    # Its primary would look empty and get still more slices.
    scene = ControllerHarness()
    slices = scene.add_slices(scene.add_servers(4))
    unreported, *reported = slices
    scene.set_assigned_at(unreported, scene.now_ms - assigned_for_ms)
    for slice_ in reported:
        scene.set_assigned_at(slice_, scene.now_ms - 60_000.0)
        scene.add_requests(slice_, 30.0)
    scene.estimate_demand(slices)
    assert (scene.demand(unreported) < 0.9 * scene.demand(reported[0])) == light


@pytest.mark.parametrize("controllers, sharing", [(1, 1), (5, 5), (230, 6)])
def test_controllers_that_share_a_server_are_those_that_hold_its_slices(controllers, sharing):
    # If each server's period grew with all controllers, it could hardly ever give up a slice.
    scene = controller_group(controllers, 40, [k % 40 for k in range(240)])[0]
    scene.estimate_connections()
    assert scene.controllers_per_server == sharing
