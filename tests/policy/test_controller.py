"""Tests of the controller as a whole."""

from controller_harness import ControllerHarness, HealthState, weight_orders

from havendyke import interface as core


def test_without_slices_proxies_are_bound_to_a_table_of_all_usable_servers():
    harness = ControllerHarness(slice_count=0)
    servers = harness.add_servers(3)
    harness.set_listed_state(core.ServerState.DRAINING, servers[2])
    harness.connect_proxies(2)
    harness.evaluate_health()
    harness.plan_shared_tables()
    orders = harness.emit()
    assert {o.server for o in weight_orders(orders)} == set(servers[:2])
    assert sum(isinstance(o, core.BindTable) for o in orders) == 2


def test_a_slice_that_is_not_assigned_gets_no_orders():
    harness = ControllerHarness()
    primary, _ = harness.add_servers(2)
    (slice_,) = harness.add_slices([primary])
    harness.assign(slice_, False)
    harness.set_listed_state(core.ServerState.GONE, primary)
    assert not weight_orders(harness.reconcile())


def test_a_server_known_only_from_the_snapshot_is_available_until_a_current_list_lacks_it():
    # A cached endpoint list may be older than the server.
    harness = ControllerHarness()
    harness.add_servers(3)
    harness.set_list_received(False)
    server = harness.add_server("new")
    harness.add_slices([server])
    harness.evaluate_health()
    assert harness.health(server) is not HealthState.UNAVAILABLE
    harness.set_list_received(True)
    harness.evaluate_health()
    assert harness.health(server) is HealthState.UNAVAILABLE
