"""Tests of the controller as a whole."""

from controller_scene import ControllerScene, HealthState, weight_orders

from havendyke import interface as core


def test_without_slices_proxies_are_bound_to_a_table_of_all_usable_servers():
    scene = ControllerScene(slice_count=0)
    servers = scene.add_servers(3)
    scene.set_listed_state(core.ServerState.DRAINING, servers[2])
    scene.connect_proxies(2)
    scene.evaluate_health()
    scene.plan_without_slices()
    orders = scene.emit()
    assert {o.server for o in weight_orders(orders)} == set(servers[:2])
    assert sum(isinstance(o, core.BindTable) for o in orders) == 2


def test_a_slice_that_is_not_assigned_gets_no_orders():
    scene = ControllerScene()
    primary, _ = scene.add_servers(2)
    (slice_,) = scene.add_slices([primary])
    scene.assign(slice_, False)
    scene.set_listed_state(core.ServerState.GONE, primary)
    assert not weight_orders(scene.reconcile())


def test_a_server_known_only_from_the_snapshot_is_available_until_a_current_list_lacks_it():
    # A cached endpoint list may be older than the server.
    scene = ControllerScene()
    scene.add_servers(3)
    scene.set_list_received(False)
    server = scene.add_server("new")
    scene.add_slices([server])
    scene.evaluate_health()
    assert scene.health(server) is not HealthState.UNAVAILABLE
    scene.set_list_received(True)
    scene.evaluate_health()
    assert scene.health(server) is HealthState.UNAVAILABLE
