"""Tests of which server a slice gets when none has room for it."""

import pytest
from controller_harness import (
    STANDBY_WEIGHT,
    ControllerHarness,
    default_settings,
    servers_in_zone,
)

from havendyke import interface as core
from havendyke.policy.last_resort import LastResort


def drain(harness, *servers):
    """The endpoint list reports these servers as draining."""
    harness.set_listed_state(core.ServerState.DRAINING, *servers)


def list_as_started(harness, *servers):
    """The endpoint list reports that these servers have just started."""
    for server in servers:
        harness.set_started(server, harness.now_ms - 100.0)


def fleet(count, **settings):
    """A harness, its servers, and four slices on each of them but the first."""
    harness = ControllerHarness(**settings)
    servers = harness.add_servers(count)
    slices = harness.add_slices(servers[1:] * 4)
    harness.connect_proxies(2)
    return harness, servers, slices


def plan(harness):
    harness.evaluate_health()
    harness.plan()


def primaries(harness, slices):
    return {harness.primary(slice_) for slice_ in slices}


EXCLUSIVE_OWNERSHIP = {
    "exclusive_ownership": True,
    "lease_ms": 800.0,
    "max_write_in_flight_ms": 3000.0,
    "max_empty_table_ms": 12_000.0,
}


def make_unhealthy(harness, server):
    harness.set_unhealthy_for(server, 5000.0)


def make_ejected_and_unhealthy(harness, server):
    make_unhealthy(harness, server)
    harness.set_ejected(server)


def make_ejected(harness, server):
    harness.set_ejected(server)


def presume_lost(harness, server):
    harness.presume_lost(server)


@pytest.mark.parametrize(
    "impair, settings",
    [
        pytest.param(make_unhealthy, {}, id="unhealthy"),
        pytest.param(make_ejected_and_unhealthy, {}, id="ejected and unhealthy"),
        pytest.param(make_ejected, {}, id="still ejected"),
        pytest.param(presume_lost, {}, id="presumed lost"),
        pytest.param(presume_lost, EXCLUSIVE_OWNERSHIP, id="presumed lost, exclusive ownership"),
    ],
)
def test_no_slice_is_left_without_a_server_while_one_is_listed_as_warm(impair, settings):
    # Tables stayed empty for longer than allowed while listed servers could serve (review/7, 8).
    harness, (impaired, *others), slices = fleet(4, **settings)
    impair(harness, impaired)
    drain(harness, *others)
    plan(harness)
    assert primaries(harness, slices) == {impaired}


def test_the_last_resort_has_no_ejection_before_its_slices_have_another_endpoint():
    # Its ejection outlasted the servers that had replaced it (review/7).
    harness, (ejected, *others), slices = fleet(4)
    make_ejected_and_unhealthy(harness, ejected)
    drain(harness, *others)
    plan(harness)
    orders = harness.emit()
    assert core.SetEjection(ejected, False) in orders
    assert any(
        order.server is ejected and order.weight
        for order in orders
        if isinstance(order, core.SetEndpointWeight)
    )
    successor = harness.add_server("successor")
    harness.list_servers([successor])
    harness.advance(1000.0)
    plan(harness)
    assert primaries(harness, slices) == {successor}
    harness.publish_desired()
    for slice_ in slices:
        harness.set_published(slice_, {successor: 1.0, ejected: 1.0})
    assert core.SetEjection(ejected, True) in harness.ejection_orders()


def test_an_ejection_ends_when_the_last_other_endpoint_of_a_slice_drains():
    harness = ControllerHarness()
    primary, standby = harness.add_servers(2)
    (slice_,) = harness.add_slices([primary])
    harness.connect_proxies(1)
    for set_table in (harness.set_published, harness.set_desired):
        set_table(slice_, {primary: 1.0, standby: STANDBY_WEIGHT})
    make_ejected_and_unhealthy(harness, primary)
    plan(harness)
    assert core.SetEjection(primary, False) not in harness.ejection_orders()
    harness.set_desired(slice_, {primary: 1.0, standby: STANDBY_WEIGHT})
    drain(harness, standby)
    plan(harness)
    assert core.SetEjection(primary, False) in harness.ejection_orders()


def test_a_draining_server_is_no_last_resort():
    harness, (gone, *others), slices = fleet(4)
    harness.set_listed_state(core.ServerState.GONE, gone)
    harness.set_ejected(gone)
    drain(harness, *others)
    plan(harness)
    assert primaries(harness, slices) == {None}
    assert core.SetEjection(gone, False) not in harness.ejection_orders()


@pytest.mark.parametrize("ejected", [False, True])
def test_servers_with_a_listed_start_are_no_last_resort(ejected):
    # Beyond the load that it admits, such a server fails for all of its slices.
    harness, servers, slices = fleet(4)
    first = servers[0]
    list_as_started(harness, first)
    if ejected:
        harness.set_ejected(first)
    drain(harness, *servers[1:])
    plan(harness)
    left_alone = [slice_ for slice_ in slices if harness.primary(slice_) is None]
    assert len(left_alone) >= len(slices) - harness.admissible_load(first)


def test_the_best_server_is_chosen_first():
    harness = ControllerHarness()
    servers = harness.add_servers(7)
    ejected_and_unhealthy, unhealthy, presumed_lost, assumed, ejected, busy, idle = servers
    make_ejected_and_unhealthy(harness, ejected_and_unhealthy)
    make_unhealthy(harness, unhealthy)
    presume_lost(harness, presumed_lost)
    recently_ms = harness.now_ms - 100.0
    harness.list_servers([assumed], started_ms=recently_ms, start_confirmed=False)
    harness.set_ejected(ejected)
    harness.evaluate_health()
    last_resort = LastResort(default_settings())
    chosen = []
    while servers:
        best = last_resort.choose(servers, lambda server: server is busy, harness.now_ms)
        chosen.append(best)
        servers.remove(best)
    expected = [idle, busy, ejected, assumed, presumed_lost, unhealthy, ejected_and_unhealthy]
    assert chosen == expected


def test_the_last_resorts_share_the_slices():
    harness, servers, slices = fleet(6)
    spare, other, *leaving = servers
    for server in (spare, other):
        make_unhealthy(harness, server)
    drain(harness, *leaving)
    plan(harness)
    counts = [harness.slices_with_primary(server, slices) for server in (spare, other)]
    assert sum(counts) == len(slices) and max(counts) - min(counts) <= 1


def test_servers_of_a_lost_zone_keep_what_no_other_server_has_room_for():
    # All others have just started: the slices of the lost zone were left without a server.
    harness = ControllerHarness()
    servers = harness.add_servers(12)
    lost = servers_in_zone(servers, 0)
    slices = harness.add_slices(lost * 4)
    harness.connect_proxies(2)
    harness.presume_lost(*lost)
    list_as_started(harness, *(server for server in servers if server not in lost))
    plan(harness)
    assert None not in primaries(harness, slices)
    before = [harness.primary(slice_) for slice_ in slices]
    plan(harness)
    assert [harness.primary(slice_) for slice_ in slices] == before


def test_an_unhealthy_server_keeps_its_slices_rather_than_a_lost_zone_gets_them():
    harness, (presumed_lost, unhealthy), slices = fleet(2)
    make_unhealthy(harness, unhealthy)
    presume_lost(harness, presumed_lost)
    for slice_ in slices:
        harness.add_requests(slice_, 10.0)
    plan(harness)
    assert unhealthy in primaries(harness, slices)
    assert harness.assigned_load(presumed_lost) <= 1.25 * harness.admissible_load(presumed_lost)
