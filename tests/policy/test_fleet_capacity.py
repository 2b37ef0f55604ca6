"""Tests of the fleet's peak capacity, which determines the load of servers that warm up."""

from controller_harness import FleetCapacityHarness


def test_successors_that_run_beside_their_predecessors_do_not_raise_the_peak():
    # Counting both would reduce the load of each server that warms up.
    fleet = FleetCapacityHarness()
    # In the last step, 36 servers leave and 20 more start with the same endpoint list.
    for healthy, warming_up in ((120, 0), (120, 36), (84, 36), (84, 52), (48, 72)):
        fleet.observe(healthy, warming_up)
    assert fleet.peak == 120.0
    fleet.observe(48, 32)  # servers that warm up are lost with their zone; they have no successors
    assert fleet.peak == 120.0


def test_servers_that_all_warm_up_count_in_full():
    fleet = FleetCapacityHarness()
    fleet.observe(0, 120)
    fleet.observe(0, 80)
    assert fleet.peak == 120.0
