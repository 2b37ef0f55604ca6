"""Tests of which entries of a slice's table are published first."""

from controller_harness import STANDBY_WEIGHT, ControllerHarness

from havendyke import interface as core


def test_a_push_handles_drains_first_then_single_endpoints_then_stale_entries():
    # A slice without a standby endpoint has no endpoint once its server is lost.
    harness = ControllerHarness()
    primary, standby, former_standby, draining = harness.add_servers(4)
    stale, single, urgent = harness.add_slices([primary, primary, draining])
    harness.set_listed_state(core.ServerState.DRAINING, draining)
    harness.evaluate_health()
    harness.set_published(
        stale, {primary: 1.0, standby: STANDBY_WEIGHT, former_standby: STANDBY_WEIGHT}
    )
    harness.set_desired(stale, {primary: 1.0, standby: STANDBY_WEIGHT})
    harness.set_desired(single, {primary: 1.0, standby: STANDBY_WEIGHT})
    harness.set_desired(urgent, {standby: 1.0})
    assert harness.push_order([stale, single, urgent]) == [urgent, single, stale]


def test_unavailable_servers_are_left_before_new_standby_endpoints_are_added():
    # If servers that drain together are standbys of many slices, their replacements would fill the
    # channel beyond the grace period.
    harness = ControllerHarness()
    draining, standby, next_standby = harness.add_servers(3)
    (slice_,) = harness.add_slices([draining])
    harness.set_published(slice_, {draining: 1.0, standby: STANDBY_WEIGHT})
    harness.set_desired(slice_, {standby: 1.0, next_standby: STANDBY_WEIGHT})
    harness.set_listed_state(core.ServerState.DRAINING, draining)
    harness.evaluate_health()
    for entry in ((standby, 1.0), (draining, 0.0)):
        orders, published = harness.table_difference(slice_)
        harness.set_published(slice_, published)
        assert [(o.server, o.weight) for o in orders] == [entry]


def test_a_slice_whose_primary_waits_to_be_unejected_is_served_by_its_standby_until_then():
    # Slices beyond the primary's admissible load must leave it first, which may take many pushes.
    harness = ControllerHarness()
    returned, standby = harness.add_servers(2)
    (slice_,) = harness.add_slices([returned])
    harness.set_ejected(returned)
    harness.set_desired(slice_, {returned: 1.0, standby: STANDBY_WEIGHT})
    harness.evaluate_health()
    orders, _ = harness.table_difference(slice_)
    assert orders == [core.SetEndpointWeight(slice_, standby, STANDBY_WEIGHT)]
