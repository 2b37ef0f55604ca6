"""Tests of which entries of a slice's table are published first."""

from controller_scene import STANDBY_WEIGHT, ControllerScene

from havendyke import interface as core


def test_a_push_handles_drains_first_then_single_endpoints_then_stale_entries():
    # A slice without a standby endpoint has no endpoint once its server is lost.
    scene = ControllerScene()
    primary, standby, former_standby, draining = scene.add_servers(4)
    stale, single, urgent = scene.add_slices([primary, primary, draining])
    scene.set_listed_state(core.ServerState.DRAINING, draining)
    scene.evaluate_health()
    scene.set_published(
        stale, {primary: 1.0, standby: STANDBY_WEIGHT, former_standby: STANDBY_WEIGHT}
    )
    scene.set_desired(stale, {primary: 1.0, standby: STANDBY_WEIGHT})
    scene.set_desired(single, {primary: 1.0, standby: STANDBY_WEIGHT})
    scene.set_desired(urgent, {standby: 1.0})
    assert scene.push_order([stale, single, urgent]) == [urgent, single, stale]


def test_unavailable_servers_are_left_before_new_standby_endpoints_are_added():
    # If servers that drain together are standbys of many slices, their replacements would fill the
    # channel beyond the grace period.
    scene = ControllerScene()
    draining, standby, next_standby = scene.add_servers(3)
    (slice_,) = scene.add_slices([draining])
    scene.set_published(slice_, {draining: 1.0, standby: STANDBY_WEIGHT})
    scene.set_desired(slice_, {standby: 1.0, next_standby: STANDBY_WEIGHT})
    scene.set_listed_state(core.ServerState.DRAINING, draining)
    scene.evaluate_health()
    for entry in ((standby, 1.0), (draining, 0.0)):
        orders, published = scene.table_difference(slice_)
        scene.set_published(slice_, published)
        assert [(o.server, o.weight) for o in orders] == [entry]


def test_a_slice_whose_primary_waits_to_be_unejected_is_served_by_its_standby_until_then():
    # Slices beyond the primary's admissible load must leave it first, which may take many pushes.
    scene = ControllerScene()
    returned, standby = scene.add_servers(2)
    (slice_,) = scene.add_slices([returned])
    scene.set_ejected(returned)
    scene.set_desired(slice_, {returned: 1.0, standby: STANDBY_WEIGHT})
    scene.evaluate_health()
    orders, _ = scene.table_difference(slice_)
    assert orders == [core.SetEndpointWeight(slice_, standby, STANDBY_WEIGHT)]
