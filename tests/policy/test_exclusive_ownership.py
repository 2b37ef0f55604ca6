"""Tests of exclusive ownership: when the next primary may be published after the former one."""

import pytest
from controller_scene import (
    CAUTIOUS_START_MS,
    CONNECT_RACE_WINDOW_MS,
    HANDOVERS_WITHIN_EMPTY_LIMIT,
    LONG_AGO_MS,
    OVERLOADED_REPORTS_TO_MIGRATE,
    PUSH_INTERVAL_MS,
    ControllerScene,
    add_slices_with_demand,
    clear_orders,
    weight_orders,
)

from havendyke import interface as core

LEASE_MS = 1500.0
WRITE_IN_FLIGHT_MS = 4000.0
HANDOVER_MS = LEASE_MS + WRITE_IN_FLIGHT_MS


def exclusive_scene(**settings):
    """Returns a controller of a deployment with exclusive ownership."""
    return ControllerScene(
        exclusive_ownership=True,
        lease_ms=LEASE_MS,
        max_write_in_flight_ms=WRITE_IN_FLIGHT_MS,
        **settings,
    )


def slice_of_former_primary(scene):
    """Returns a settled slice and the server that is to be its next primary."""
    former, following = scene.add_servers(2)
    (slice_,) = scene.add_slices([former])
    scene.set_assigned_at(slice_, LONG_AGO_MS)
    scene.set_last_disconnect(LONG_AGO_MS)
    return slice_, following


def cleared_slice(proxy_count):
    """Returns a controller whose push 1 cleared a slice's table, the next primary and proxies."""
    scene = exclusive_scene(list_request_timeout_ms=0.0)
    slice_, following = slice_of_former_primary(scene)
    proxies = scene.connect_proxies(proxy_count)
    scene.set_desired(slice_, {following: 1.0})
    assert core.ClearTable(slice_) in scene.emit()
    return scene, following, proxies


def handover_ms(scene, following, limit_ms=20_000.0, between=lambda: None):
    """Returns the time until the next primary is published, or None if it exceeds the limit.

    `between` is called between attempts.
    """
    start_ms = scene.now_ms
    while scene.now_ms - start_ms <= limit_ms:
        if [o.server for o in weight_orders(scene.emit())] == [following]:
            return scene.now_ms - start_ms
        between()
        scene.advance(100.0)
    return None


def test_proxies_that_disconnect_after_their_acknowledgement_do_not_delay_the_next_primary():
    # Otherwise a rolling restart of the proxies would leave slices without an endpoint.
    scene, following, proxies = cleared_slice(8)
    scene.acknowledge(*proxies)
    restarting = iter(proxies)

    def disconnect_next():
        proxy = next(restarting, None)
        if proxy:
            scene.disconnect(proxy)

    assert handover_ms(scene, following, between=disconnect_next) == WRITE_IN_FLIGHT_MS


def test_proxies_that_connect_after_the_push_and_disconnect_do_not_delay_the_next_primary():
    scene, following, proxies = cleared_slice(2)
    scene.acknowledge(*proxies)
    scene.advance(1000.0)
    late = scene.add_proxy(7)
    scene.connect(late)
    scene.advance(1000.0)
    scene.disconnect(late)
    assert handover_ms(scene, following) == WRITE_IN_FLIGHT_MS - 2000.0


@pytest.mark.parametrize("elapsed_ms", [0.0, 700.0, 2500.0])
def test_a_proxy_that_disconnects_unacknowledged_is_waited_for_until_its_lease_ends(elapsed_ms):
    scene, following, proxies = cleared_slice(3)
    scene.acknowledge(*proxies[1:])
    scene.advance(elapsed_ms)
    scene.disconnect(proxies[0])
    assert handover_ms(scene, following) == LEASE_MS + WRITE_IN_FLIGHT_MS


def test_a_proxy_that_disconnected_before_the_push_is_waited_for_until_its_lease_ends():
    scene = exclusive_scene()
    slice_, following = slice_of_former_primary(scene)
    proxies = scene.connect_proxies(2)
    scene.disconnect(proxies[0])
    scene.advance(500.0)
    scene.set_desired(slice_, {following: 1.0})
    assert core.ClearTable(slice_) in scene.emit()
    scene.acknowledge(*proxies[1:])
    assert handover_ms(scene, following) == LEASE_MS - 500.0 + WRITE_IN_FLIGHT_MS


def test_a_connected_proxy_that_does_not_acknowledge_delays_the_next_primary_indefinitely():
    scene, following, proxies = cleared_slice(3)
    scene.acknowledge(*proxies[1:])
    assert handover_ms(scene, following) is None


@pytest.mark.parametrize(
    "connected_after_ms, awaited",
    [(CONNECT_RACE_WINDOW_MS, True), (CONNECT_RACE_WINDOW_MS + 1.0, False)],
)
def test_a_proxy_that_connects_as_the_push_is_sent_must_acknowledge_it(connected_after_ms, awaited):
    # It may have read the former primary's entry from the relay before the push reached the relay.
    scene, following, proxies = cleared_slice(2)
    scene.acknowledge(*proxies)
    scene.advance(connected_after_ms)
    late = scene.add_proxy(7)
    scene.connect(late)
    scene.advance(WRITE_IN_FLIGHT_MS - connected_after_ms)
    assert bool(weight_orders(scene.emit())) != awaited
    if awaited:
        scene.acknowledge(late)
        assert handover_ms(scene, following) == WRITE_IN_FLIGHT_MS


def test_a_slice_assigned_without_an_entry_waits_for_the_former_controllers_proxies():
    # From the assignment on, they may use that controller's last table until their leases end.
    scene = exclusive_scene()
    _, following = scene.add_servers(2)
    scene.connect_proxies(2)
    scene.set_last_disconnect(LONG_AGO_MS)
    slice_ = scene.add_slice(0)
    scene.assign(slice_)
    scene.set_desired(slice_, {following: 1.0})
    assert handover_ms(scene, following) == LEASE_MS + WRITE_IN_FLIGHT_MS


def test_an_acknowledgement_is_processed_without_iterating_over_all_slices():
    scene, _, proxies = cleared_slice(3)
    scene.forbid_iteration_over_slices()
    scene.acknowledge(*proxies)
    assert not scene.has_unacknowledged_pushes()


def test_a_cleared_slice_whose_next_primary_changes_still_gets_one():
    scene = exclusive_scene()
    former, following = scene.add_servers(2)
    (slice_,) = scene.add_slices([former])
    scene.connect_proxies(1)
    scene.set_desired(slice_, {})
    scene.emit()
    scene.acknowledge(scene.proxies[0])
    scene.evaluate_health()
    scene.estimate_demand([slice_])
    scene.migrate(slice_, following)
    scene.advance(6000)
    assert [o.server for o in weight_orders(scene.emit())] == [following]


@pytest.mark.parametrize("disconnects, wait_ms", [(False, 4000.0), (True, 5500.0)])
def test_the_next_primary_waits_until_all_writes_to_the_former_have_ended(disconnects, wait_ms):
    # A proxy whose stream broke continues to write until its lease ends, and its writes in flight
    # would conflict with those at the next primary.
    scene = exclusive_scene()
    former, following = scene.add_servers(2)
    (slice_,) = scene.add_slices([former])
    last, *others = scene.connect_proxies(8)
    scene.set_desired(slice_, {following: 1.0})
    assert core.ClearTable(slice_) in scene.emit()
    scene.acknowledge(*others)
    scene.advance(2000)
    # The next primary changes again; the wait is still measured from the push that cleared the
    # table.
    scene.set_last_push(slice_, None)
    assert not weight_orders(scene.emit())
    if disconnects:
        scene.disconnect(last)
    else:
        scene.acknowledge(last)
    scene.advance(wait_ms - 10)
    scene.evaluate_health()
    assert not weight_orders(scene.emit())
    scene.advance(10)
    assert [o.server for o in weight_orders(scene.emit())] == [following]


def test_a_push_does_not_clear_the_entry_that_it_has_just_set():
    scene = ControllerScene(exclusive_ownership=True, lease_ms=500.0, max_write_in_flight_ms=500.0)
    draining, following = scene.add_servers(2)
    (slice_,) = scene.add_slices([draining])
    scene.connect_proxies(1)
    scene.set_listed_state(core.ServerState.DRAINING, draining)
    scene.evaluate_health()
    scene.plan()
    assert core.ClearTable(slice_) in scene.emit() and scene.published(slice_) == {}
    scene.acknowledge(scene.proxies[0])
    scene.advance(3000)
    scene.evaluate_health()
    scene.plan()
    orders = scene.emit()
    assert [(o.server, o.weight) for o in weight_orders(orders)] == [(following, 1.0)]
    assert not clear_orders(orders) and scene.published(slice_) == {following: 1.0}


# Rebalancing


def overloaded_server(max_empty_table_ms):
    """Returns a controller after planning, and the first of its ten servers, which is overloaded.

    Each server has four slices.
    """
    scene = exclusive_scene(
        slice_count=40, max_empty_table_ms=max_empty_table_ms, channel_queue_limit=61_560.0
    )
    servers = scene.add_servers(10)
    overloaded, *others = servers
    add_slices_with_demand(scene, [servers[k % 10] for k in range(40)])
    scene.connect_proxies(20)
    scene.report_server(overloaded, 20, 10, latency_ms=1900.0)
    for server in others:
        scene.report_server(server, 20)
    scene.evaluate_health()
    scene.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
    scene.plan()
    return scene, overloaded


def migrated(scene, former):
    """Returns the first server's slices that have been migrated off it."""
    return [slice_ for slice_ in scene.slices[::10] if scene.primary(slice_) is not former]


MIN_EMPTY_TABLE_LIMIT_MS = HANDOVERS_WITHIN_EMPTY_LIMIT * HANDOVER_MS + 1.0


@pytest.mark.parametrize(
    "max_empty_table_ms, migrations",
    [(MIN_EMPTY_TABLE_LIMIT_MS, 1), (MIN_EMPTY_TABLE_LIMIT_MS - 1.0, 0), (0.0, 0)],
)
def test_an_overloaded_server_releases_a_slice_if_tables_may_stay_empty_for_long_enough(
    max_empty_table_ms, migrations
):
    scene, overloaded = overloaded_server(max_empty_table_ms)
    assert len(migrated(scene, overloaded)) == migrations
    assert len(clear_orders(scene.emit())) == migrations


def test_a_migrated_slice_is_settled_before_the_next_one_is_cleared():
    scene, overloaded = overloaded_server(MIN_EMPTY_TABLE_LIMIT_MS)
    scene.emit()
    scene.advance(PUSH_INTERVAL_MS)
    scene.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
    scene.plan()
    slices = migrated(scene, overloaded)
    assert not any(order.slice in slices for order in clear_orders(scene.emit()))
    assert all(
        scene.published(slice_) == {} and scene.clearing_push_is_unacknowledged(slice_)
        for slice_ in slices[:1]
    )


def test_slices_with_exclusive_ownership_have_no_standby_endpoints():
    scene, _ = overloaded_server(MIN_EMPTY_TABLE_LIMIT_MS)
    assert all(len(scene.desired(slice_)) == 1 for slice_ in scene.slices)


@pytest.mark.parametrize("exclusive, most", [(True, 1), (False, 3)])
def test_an_owner_that_warms_up_takes_over_one_slice_at_a_time(exclusive, most):
    # Requests that waited for three slices arrived all at once and overloaded a server that could
    # carry the slices themselves.
    scene = exclusive_scene() if exclusive else ControllerScene()
    warming_up, draining, full = scene.add_servers(3)
    slices = scene.add_slices([draining] * 3 + [full] * 9)
    scene.advance(CAUTIOUS_START_MS + 1)
    scene.set_started(warming_up, scene.now_ms - 15_000.0)
    scene.set_listed_state(core.ServerState.DRAINING, draining)
    scene.evaluate_health()
    scene.plan()
    assert scene.slices_with_primary(warming_up, slices) == most
    assert not scene.slices_with_primary(draining, slices)
