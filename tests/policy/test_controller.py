"""Tests of the controller as a whole."""

import pytest
from controller_harness import ControllerHarness, HealthState, weight_orders

from havendyke import interface as core
from havendyke.policy.server_capacity import CACHED_LIST_TRUST_MS


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


@pytest.mark.parametrize(
    "settings",
    [{}, {"exclusive_ownership": True, "lease_ms": 800.0, "max_write_in_flight_ms": 3000.0}],
    ids=["shared", "exclusive"],
)
def test_published_tables_are_not_emptied_while_no_current_list_arrives(settings):
    # A start with an empty cached list beside a silent discovery emptied all tables after 3 s.
    harness = ControllerHarness(**settings)
    servers = [harness.add_server(name) for name in ("a", "b", "c")]
    harness.list_servers([], scope=core.ListScope.CACHED)
    slices = harness.add_slices(servers * 2)
    harness.connect_proxies(3)
    orders = []
    for _ in range(40):
        harness.advance(250.0)
        orders += harness.reconcile([core.TimerFired(0)])
    assert not any(isinstance(order, core.ClearTable) for order in orders)
    assert [harness.primary(slice_) for slice_ in slices] == servers * 2
    harness.list_servers(servers[:1], scope=core.ListScope.COMPLETE)
    harness.evaluate_health()
    harness.plan()
    assert {harness.primary(slice_) for slice_ in slices} == {servers[0]}


def test_slices_leave_unlisted_servers_of_an_old_list_for_listed_ones():
    harness = ControllerHarness()
    unlisted = harness.add_server("unlisted")
    listed = harness.add_server("listed")
    harness.list_servers([listed], scope=core.ListScope.CACHED)
    slices = harness.add_slices([unlisted] * 4)
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_with_primary(unlisted, slices) == 4
    harness.advance(CACHED_LIST_TRUST_MS + 1.0)
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_with_primary(listed, slices) == 4
