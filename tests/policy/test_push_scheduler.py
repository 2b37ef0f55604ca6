"""Tests of when pushes are sent, and of what they contain."""

import pytest
from controller_harness import (
    PUSH_INTERVAL_MS,
    ControllerHarness,
    weight_orders,
)

from havendyke import interface as core


def test_a_push_has_only_changed_entries_and_one_acknowledgement_request():
    harness = ControllerHarness()
    former, following = harness.add_servers(2)
    changed, unchanged = harness.add_slices([former, following])
    harness.connect_proxies(3)
    harness.set_desired(changed, {following: 1.0})
    orders = harness.emit()
    assert {(o.server, o.weight) for o in weight_orders(orders)} == {
        (following, 1.0),
        (former, 0.0),
    }
    assert sum(isinstance(o, core.RequestAcknowledgement) for o in orders) == 1
    assert harness.published(changed) == {following: 1.0}
    assert harness.published(unchanged) == {following: 1.0}


def test_at_most_one_ordinary_push_is_sent_per_second():
    harness = ControllerHarness()
    former, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([former])
    harness.connect_proxies(1)
    harness.set_desired(slice_, {following: 1.0})
    assert harness.emit()
    harness.evaluate_health()
    harness.set_desired(slice_, {former: 1.0})
    harness.advance(999)
    assert harness.emit() == []
    harness.advance(1)
    assert harness.emit()


@pytest.mark.parametrize("message_limit, pushed", [(0, True), (5, False)])
def test_a_drain_does_not_wait_for_the_next_ordinary_push(message_limit, pushed):
    # With a grace period of 2 s, a push one second later reaches some proxies after the server has
    # stopped.
    harness = ControllerHarness(message_limit=message_limit, message_limit_window_ms=10_000.0)
    draining, other = harness.add_servers(2)
    slices = harness.add_slices([draining] * 2)
    harness.connect_proxies(1)
    harness.evaluate_health()
    harness.set_desired(slices[0], {other: 1.0})
    assert harness.emit()
    harness.set_listed_state(core.ServerState.DRAINING, draining)
    harness.advance(500)
    harness.evaluate_health()
    harness.plan()
    assert bool(weight_orders(harness.emit())) == pushed


def test_entries_that_exceed_the_budget_of_a_push_stay_unpublished():
    # If a slice counted as published without its entries having been sent, its traffic would stay
    # on a server that drains.
    harness = ControllerHarness(channel_queue_limit=96.0)
    former, following = harness.add_servers(2)
    slices = harness.add_slices([former] * 8)
    harness.connect_proxies(2)
    harness.evaluate_health()
    for slice_ in slices:
        harness.set_desired(slice_, {following: 1.0})
    pushed = {o.slice for o in weight_orders(harness.emit())}
    assert 0 < len(pushed) < 8
    assert all((harness.published(s) == {following: 1.0}) == (s in pushed) for s in slices)


@pytest.mark.parametrize(
    "elapsed_ms, acknowledged, queued",
    [(1000.0, False, 200.0), (1000.0, True, 0.0), (60_000.0, False, 0.0)],
)
def test_the_queue_is_estimated_from_acknowledgements_and_the_slowest_rate(
    elapsed_ms, acknowledged, queued
):
    harness = ControllerHarness()
    proxies = harness.connect_proxies(2)
    harness.add_unacknowledged_push(entries_per_proxy=100.0, proxies=proxies, queued_entries=5000.0)
    harness.advance(elapsed_ms)
    if acknowledged:
        harness.acknowledge(*proxies)
    assert harness.queued_entries() == queued


# Guards against an overfilled channel: after a break of the relay's notifications the queue of a
# slow channel was taken for empty (case 9).
def test_what_waits_in_the_channel_stays_counted_when_notifications_were_missed():
    harness = ControllerHarness()
    proxies = harness.connect_proxies(2)
    harness.add_unacknowledged_push(entries_per_proxy=100.0, proxies=proxies, queued_entries=5000.0)
    harness.advance(1000.0)
    harness.resynchronise(*proxies)
    assert harness.queued_entries() == 200.0
    harness.acknowledge(*proxies)
    assert harness.queued_entries() == 0.0


def test_an_acknowledgement_that_may_have_been_missed_is_requested_once():
    harness = ControllerHarness()
    former, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([former])
    proxies = harness.connect_proxies(2)
    harness.set_desired(slice_, {following: 1.0})
    harness.emit()
    harness.resynchronise(*proxies)
    harness.advance(1000)
    assert harness.emit() == [core.RequestAcknowledgement(2, True)]
    harness.advance(1000)
    assert harness.emit() == []
    harness.acknowledge(*proxies, nonce=2)
    assert not harness.has_unacknowledged_pushes()


def test_an_acknowledgement_is_requested_from_a_proxy_that_reconnects():
    # Without one, its slices would never count as settled.
    harness = ControllerHarness()
    former, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([former])
    stays, returns = harness.connect_proxies(2)
    harness.set_desired(slice_, {following: 1.0})
    harness.emit()
    harness.acknowledge(stays, returns)
    harness.disconnect(returns)
    assert (harness.acknowledged_push(stays), harness.acknowledged_push(returns)) == (1, 0)
    harness.connect(returns, first=False)
    harness.advance(1000)
    assert harness.emit() == [core.RequestAcknowledgement(2, True)]
    harness.advance(1000)
    assert harness.emit() == []


def test_no_orders_are_emitted_while_the_channel_is_disconnected():
    # Orders would accumulate and be sent all at once on reconnection, beyond the channel's limit.
    harness = ControllerHarness(channel_queue_limit=400.0)
    former, following = harness.add_servers(2)
    slices = harness.add_slices([former] * 60)
    harness.connect_proxies(4)
    harness.evaluate_health()
    for slice_ in slices:
        harness.set_desired(slice_, {following: 1.0})
    assert len(weight_orders(harness.emit())) > 30
    harness.set_channel_connected(False)
    for _ in range(30):
        harness.advance(1000.0)
        assert harness.emit() == []
    harness.set_channel_connected(True)
    assert harness.emit() == []  # the earlier orders are only now being sent
    harness.advance(1000.0)
    assert weight_orders(harness.emit())


@pytest.mark.parametrize("unsent_nonces, queue_is_empty", [((), False), ((1,), True)])
def test_a_push_that_was_never_sent_does_not_delay_the_next(unsent_nonces, queue_is_empty):
    # No proxy will acknowledge it, so its entries would count as queued forever.
    harness = ControllerHarness(channel_queue_limit=2000.0)
    former, following = harness.add_servers(2)
    slices = harness.add_slices([former] * 8)
    harness.connect_proxies(40)
    for slice_ in slices:
        harness.set_desired(slice_, {following: 1.0})
    assert weight_orders(harness.emit())
    harness.set_channel_connected(False, unsent_nonces)
    harness.set_channel_connected(True)
    harness.advance(PUSH_INTERVAL_MS)
    assert (harness.queued_entries() == 0) == queue_is_empty


def takeover_beside_a_drain(count, **settings):
    """Returns a controller, a server that drains, and newly assigned slices without an endpoint.

    The controller has `count` of these slices, and two slices of the server that drains.
    """
    harness = ControllerHarness(**settings)
    _, _, ejected, draining = harness.add_servers(4)
    without_endpoint = harness.add_slices([ejected] * count)
    for slice_id in (count, count + 1):
        slice_ = harness.add_slice(slice_id)
        harness.assign(slice_)
        harness.restore_entry(slice_, draining)
    harness.connect_proxies(2)
    harness.set_listed_state(core.ServerState.DRAINING, ejected, draining)
    harness.set_ejected(ejected)
    harness.set_ejected_before(ejected)
    harness.evaluate_health()
    harness.plan()
    return harness, draining, without_endpoint


def test_slices_without_an_endpoint_get_one_entry_each_so_that_an_ejection_fits():
    # Entries of primaries and standbys would fill two pushes and delay the ejection beyond the
    # grace period. The limit allows 21 orders per proxy.
    harness, draining, slices = takeover_beside_a_drain(12, channel_queue_limit=116.0)
    orders = harness.emit()
    assert {o.slice for o in weight_orders(orders)} >= set(slices)
    assert len(weight_orders(orders)) == 14
    assert core.SetEjection(draining, True) in orders
    harness.advance(2 * PUSH_INTERVAL_MS)
    harness.acknowledge(*harness.proxies)
    harness.plan()
    assert {o.slice for o in weight_orders(harness.emit())} & set(slices)  # the standby endpoints


@pytest.mark.parametrize("next_push_in_ms", [-100.0, 100.0])
def test_every_push_reserves_channel_capacity_for_drains(next_push_in_ms):
    harness, draining, _ = takeover_beside_a_drain(0, channel_queue_limit=116.0)
    harness.set_next_push_in(next_push_in_ms)
    harness.assume_queued_share(0.55)
    assert core.SetEjection(draining, True) in harness.emit()


def largest_deployment():
    """Returns one of 1,024 controllers of 1,500 slices, before its first reconciliation."""
    return ControllerHarness.unstarted(
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


def first_events(harness, servers, slices, proxies):
    """Returns events that list all servers, assign all slices and connect all proxies.

    Each slice has one published endpoint.
    """
    endpoints = [harness.add_server(f"s{k}") for k in range(servers)]
    entries = [
        core.EndpointEntry(server, core.ServerState.READY, None, k % 3, 0, 0, 1.0)
        for k, server in enumerate(endpoints)
    ]
    events = [core.EndpointListUpdate(core.ListScope.COMPLETE, entries)]
    for slice_id in range(slices):
        slice_ = harness.add_slice(slice_id)
        events += [
            core.SliceAssignment(slice_, True),
            core.SnapshotEntry(slice_, endpoints[slice_id % servers], 1.0),
        ]
    return events + [
        core.ProxyConnected(harness.add_proxy(k), k % 3, 1.0, True) for k in range(proxies)
    ]


def test_the_queue_stays_within_its_limit_when_the_largest_fleet_connects_at_once():
    harness = largest_deployment()
    events = first_events(harness, servers=1024, slices=1500, proxies=2000)
    queued_kinds = (
        core.SetEndpointWeight,
        core.SetEjection,
        core.SetAdmission,
        core.RequestAcknowledgement,
    )
    queued = 0.0
    for step in range(12):
        harness.advance_to(1000.0 + 250.0 * step)
        orders = harness.reconcile([core.TimerFired(0)] if step else events)
        count = sum(type(order) in queued_kinds for order in orders)
        queued = max(0.0, queued - 0.25 * 450_000.0) + (2000 * (count + 8) if count else 0)
        assert queued <= 900_000.0
        if not step:
            assert 100 < count < 300
    assert sum(map(harness.has_all_entries, harness.slices)) > 200
