"""Tests of when pushes are sent, and of what they contain."""

import pytest
from controller_scene import (
    PUSH_INTERVAL_MS,
    ControllerScene,
    weight_orders,
)

from havendyke import interface as core


def test_a_push_has_only_changed_entries_and_one_acknowledgement_request():
    scene = ControllerScene()
    former, following = scene.add_servers(2)
    changed, unchanged = scene.add_slices([former, following])
    scene.connect_proxies(3)
    scene.set_desired(changed, {following: 1.0})
    orders = scene.emit()
    assert {(o.server, o.weight) for o in weight_orders(orders)} == {
        (following, 1.0),
        (former, 0.0),
    }
    assert sum(isinstance(o, core.RequestAcknowledgement) for o in orders) == 1
    assert scene.published(changed) == {following: 1.0}
    assert scene.published(unchanged) == {following: 1.0}


def test_at_most_one_ordinary_push_is_sent_per_second():
    scene = ControllerScene()
    former, following = scene.add_servers(2)
    (slice_,) = scene.add_slices([former])
    scene.connect_proxies(1)
    scene.set_desired(slice_, {following: 1.0})
    assert scene.emit()
    scene.evaluate_health()
    scene.set_desired(slice_, {former: 1.0})
    scene.advance(999)
    assert scene.emit() == []
    scene.advance(1)
    assert scene.emit()


@pytest.mark.parametrize("message_limit, pushed", [(0, True), (5, False)])
def test_a_drain_does_not_wait_for_the_next_ordinary_push(message_limit, pushed):
    # With a grace period of 2 s, a push one second later reaches some proxies after the server has
    # stopped.
    scene = ControllerScene(message_limit=message_limit, message_limit_window_ms=10_000.0)
    draining, other = scene.add_servers(2)
    slices = scene.add_slices([draining] * 2)
    scene.connect_proxies(1)
    scene.evaluate_health()
    scene.set_desired(slices[0], {other: 1.0})
    assert scene.emit()
    scene.set_listed_state(core.ServerState.DRAINING, draining)
    scene.advance(500)
    scene.evaluate_health()
    scene.plan()
    assert bool(weight_orders(scene.emit())) == pushed


def test_entries_that_exceed_the_budget_of_a_push_stay_unpublished():
    # If a slice counted as published without its entries having been sent, its traffic would stay
    # on a server that drains.
    scene = ControllerScene(channel_queue_limit=96.0)
    former, following = scene.add_servers(2)
    slices = scene.add_slices([former] * 8)
    scene.connect_proxies(2)
    scene.evaluate_health()
    for slice_ in slices:
        scene.set_desired(slice_, {following: 1.0})
    pushed = {o.slice for o in weight_orders(scene.emit())}
    assert 0 < len(pushed) < 8
    assert all((scene.published(s) == {following: 1.0}) == (s in pushed) for s in slices)


@pytest.mark.parametrize(
    "elapsed_ms, acknowledged, queued",
    [(1000.0, False, 200.0), (1000.0, True, 0.0), (60_000.0, False, 0.0)],
)
def test_the_queue_is_estimated_from_acknowledgements_and_the_slowest_rate(
    elapsed_ms, acknowledged, queued
):
    scene = ControllerScene()
    proxies = scene.connect_proxies(2)
    scene.add_unacknowledged_push(entries_per_proxy=100.0, proxies=proxies, queued_entries=5000.0)
    scene.advance(elapsed_ms)
    if acknowledged:
        scene.acknowledge(*proxies)
    assert scene.queued_entries() == queued


def test_an_acknowledgement_is_requested_from_a_proxy_that_reconnects():
    # Without one, no slice would ever count as settled.
    scene = ControllerScene()
    former, following = scene.add_servers(2)
    (slice_,) = scene.add_slices([former])
    stays, returns = scene.connect_proxies(2)
    scene.set_desired(slice_, {following: 1.0})
    scene.emit()
    scene.acknowledge(stays, returns)
    scene.disconnect(returns)
    assert (scene.acknowledged_push(stays), scene.acknowledged_push(returns)) == (1, 0)
    scene.connect(returns, first=False)
    scene.advance(1000)
    assert scene.emit() == [core.RequestAcknowledgement(2, True)]
    scene.advance(1000)
    assert scene.emit() == []


def test_no_orders_are_emitted_while_the_channel_is_disconnected():
    # Orders would accumulate and be sent all at once on reconnection, beyond the channel's limit.
    scene = ControllerScene(channel_queue_limit=400.0)
    former, following = scene.add_servers(2)
    slices = scene.add_slices([former] * 60)
    scene.connect_proxies(4)
    scene.evaluate_health()
    for slice_ in slices:
        scene.set_desired(slice_, {following: 1.0})
    assert len(weight_orders(scene.emit())) > 30
    scene.set_channel_connected(False)
    for _ in range(30):
        scene.advance(1000.0)
        assert scene.emit() == []
    scene.set_channel_connected(True)
    assert scene.emit() == []  # the earlier orders are only now being sent
    scene.advance(1000.0)
    assert weight_orders(scene.emit())


@pytest.mark.parametrize("unsent_nonces, queue_is_empty", [((), False), ((1,), True)])
def test_a_push_that_was_never_sent_does_not_delay_the_next(unsent_nonces, queue_is_empty):
    # No proxy will acknowledge it, so its entries would count as queued forever.
    scene = ControllerScene(channel_queue_limit=2000.0)
    former, following = scene.add_servers(2)
    slices = scene.add_slices([former] * 8)
    scene.connect_proxies(40)
    for slice_ in slices:
        scene.set_desired(slice_, {following: 1.0})
    assert weight_orders(scene.emit())
    scene.set_channel_connected(False, unsent_nonces)
    scene.set_channel_connected(True)
    scene.advance(PUSH_INTERVAL_MS)
    assert (scene.queued_entries() == 0) == queue_is_empty


def takeover_beside_a_drain(count, **settings):
    """Returns a controller, a server that drains, and newly assigned slices without an endpoint.

    The controller has `count` of these slices, and two slices of the server that drains.
    """
    scene = ControllerScene(**settings)
    _, _, ejected, draining = scene.add_servers(4)
    without_endpoint = scene.add_slices([ejected] * count)
    for ident in (count, count + 1):
        slice_ = scene.add_slice(ident)
        scene.assign(slice_)
        scene.read_back(slice_, draining)
    scene.connect_proxies(2)
    scene.set_listed_state(core.ServerState.DRAINING, ejected, draining)
    scene.set_ejected(ejected)
    scene.set_ejected_before(ejected)
    scene.evaluate_health()
    scene.plan()
    return scene, draining, without_endpoint


def test_slices_without_an_endpoint_get_one_entry_each_so_that_an_ejection_fits():
    # Entries of primaries and standbys would fill two pushes and delay the ejection beyond the
    # grace period. The limit allows 21 orders per proxy.
    scene, draining, slices = takeover_beside_a_drain(12, channel_queue_limit=116.0)
    orders = scene.emit()
    assert {o.slice for o in weight_orders(orders)} >= set(slices)
    assert len(weight_orders(orders)) == 14
    assert core.SetEjection(draining, True) in orders
    scene.advance(2 * PUSH_INTERVAL_MS)
    scene.acknowledge(*scene.proxies)
    scene.plan()
    assert {o.slice for o in weight_orders(scene.emit())} & set(slices)  # the standby endpoints


@pytest.mark.parametrize("next_push_in_ms", [-100.0, 100.0])
def test_every_push_reserves_channel_capacity_for_drains(next_push_in_ms):
    scene, draining, _ = takeover_beside_a_drain(0, channel_queue_limit=116.0)
    scene.set_next_push_in(next_push_in_ms)
    scene.assume_queued_share(0.55)
    assert core.SetEjection(draining, True) in scene.emit()


def largest_deployment():
    """Returns one of 1,024 controllers of 1,500 slices, before its first reconciliation."""
    return ControllerScene.unstarted(
        core.Settings(
            request_classes=[core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT)],
            zone_count=3,
            slice_count=1500,
            controller_count=1024,
            health_checks=True,
            channel_queue_limit=900_000.0,
            channel_rate_per_s=450_000.0,
            message_overhead=8.0,
            warm_up_ms=16_000.0,
            initial_capacity_share=0.2,
            warm_up_overload_factor=3.0,
            connection_capacity=119.0,
            connection_idle_ms=15_000.0,
        ),
        seed=3,
    )


def first_events(scene, servers, slices, proxies):
    """Returns events that list all servers, assign all slices and connect all proxies.

    Each slice has one published endpoint.
    """
    endpoints = [scene.add_server(f"s{k}") for k in range(servers)]
    entries = [
        core.EndpointEntry(server, core.ServerState.READY, None, k % 3, 0, 0, 1.0)
        for k, server in enumerate(endpoints)
    ]
    events = [core.EndpointListUpdate(core.ListScope.COMPLETE, entries)]
    for ident in range(slices):
        slice_ = scene.add_slice(ident)
        events += [
            core.SliceAssignment(slice_, True),
            core.SnapshotEntry(slice_, endpoints[ident % servers], 1.0),
        ]
    return events + [
        core.ProxyConnected(scene.add_proxy(k), k % 3, 1.0, True) for k in range(proxies)
    ]


def test_the_queue_stays_within_its_limit_when_the_largest_fleet_connects_at_once():
    scene = largest_deployment()
    events = first_events(scene, servers=1024, slices=1500, proxies=2000)
    queued_kinds = (
        core.SetEndpointWeight,
        core.SetEjection,
        core.SetAdmission,
        core.RequestAcknowledgement,
    )
    queued = 0.0
    for step in range(12):
        scene.advance_to(1000.0 + 250.0 * step)
        orders = scene.reconcile([core.TimerFired(0)] if step else events)
        count = sum(type(order) in queued_kinds for order in orders)
        queued = max(0.0, queued - 0.25 * 450_000.0) + (2000 * (count + 8) if count else 0)
        assert queued <= 900_000.0
        if not step:
            assert 100 < count < 300
    assert sum(map(scene.has_all_entries, scene.slices)) > 200
