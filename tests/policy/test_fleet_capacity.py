"""The fleet's capacity at its largest, by which servers that warm up get their part."""

from controller_harness import FleetCapacityHarness


def test_successors_beside_their_predecessors_do_not_enlarge_the_fleet():
    # Counted twice, they would reduce what each server that warms up gets.
    fleet = FleetCapacityHarness()
    # In the fourth step 20 more start with the endpoint list that the 36 left in.
    for healthy, warming_up in ((120, 0), (120, 36), (84, 36), (84, 52), (48, 72)):
        fleet.observe(healthy, warming_up)
    assert fleet.peak == 120.0
    fleet.observe(48, 32)  # servers that warm up are lost with their zone: no successors
    assert fleet.peak == 120.0


def test_servers_that_all_warm_up_count_in_full():
    fleet = FleetCapacityHarness()
    fleet.observe(0, 120)
    fleet.observe(0, 80)
    assert fleet.peak == 120.0
