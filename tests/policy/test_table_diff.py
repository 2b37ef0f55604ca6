"""Which entries of a slice's table are published first."""

from controller_harness import STANDBY_WEIGHT, ControllerHarness

from havendyke import interface as core


def test_a_push_takes_up_drains_first_then_single_endpoints_then_stale_entries():
    # Each loss of a server leaves a slice without a standby endpoint unserved.
    scene = ControllerHarness()
    a, b, d, draining = scene.add_servers(4)
    stale, exposed, urgent = scene.add_slices([a, a, draining])
    scene.set_listed_state(core.ServerState.DRAINING, draining)
    scene.evaluate_health()
    scene.set_published(stale, {a: 1.0, b: STANDBY_WEIGHT, d: STANDBY_WEIGHT})
    scene.set_desired(stale, {a: 1.0, b: STANDBY_WEIGHT})
    scene.set_desired(exposed, {a: 1.0, b: STANDBY_WEIGHT})
    scene.set_desired(urgent, {b: 1.0})
    assert scene.push_order([stale, exposed, urgent]) == [urgent, exposed, stale]


def test_unavailable_servers_are_left_before_new_standby_endpoints_are_added():
    # Servers that drain together and are standby to many slices would fill the channel beyond
    # their grace.
    scene = ControllerHarness()
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
    # Slices beyond what the primary can carry leave it first, which may take many pushes.
    scene = ControllerHarness()
    returned, standby = scene.add_servers(2)
    (slice_,) = scene.add_slices([returned])
    scene.set_ejected(returned)
    scene.set_desired(slice_, {returned: 1.0, standby: STANDBY_WEIGHT})
    scene.evaluate_health()
    orders, _ = scene.table_difference(slice_)
    assert orders == [core.SetEndpointWeight(slice_, standby, STANDBY_WEIGHT)]
