"""Tests of failover: the next primary of a slice that lost its own, and its standby endpoint."""

from collections import Counter

import pytest
from controller_harness import ControllerHarness, controller_group

from havendyke import interface as core


@pytest.mark.parametrize(
    "state, servers, left",
    [
        (core.ServerState.DRAINING, 4, True),
        (core.ServerState.GONE, 4, True),
        (core.ServerState.READY, 1, False),  # nothing else is ready
    ],
)
def test_all_slices_leave_an_unavailable_server_and_no_table_gets_empty(state, servers, left):
    harness = ControllerHarness()
    endpoints = harness.add_servers(servers)
    slices = harness.add_slices([endpoints[0]] * 3)
    harness.set_listed_state(state, endpoints[0])
    harness.set_unhealthy_for(endpoints[0], 9000.0)
    harness.evaluate_health()
    harness.plan()
    tables = [harness.desired(slice_) for slice_ in slices]
    assert all(table and (endpoints[0] not in table) == left for table in tables)


def test_a_slice_whose_primary_is_gone_fails_over_to_its_standby_in_another_zone():
    harness = ControllerHarness()
    servers = harness.add_servers(6)
    slices = harness.add_slices(servers * 5)
    harness.evaluate_health()
    harness.plan()
    standby = next(s for s, weight in harness.desired(slices[0]).items() if weight < 1)
    assert standby.zone != servers[0].zone
    harness.set_listed_state(core.ServerState.GONE, servers[0])
    harness.evaluate_health()
    harness.plan()
    assert harness.primary(slices[0]) is standby


def stays_in_zone(number, unhealthy, zones):
    """Whether a slice stays in its primary's zone when the primary drains or is unhealthy.

    Its standby endpoint drains, so that the target is chosen by rendezvous hashing.
    """
    harness = ControllerHarness(zone_count=zones)
    servers = harness.add_servers(12)
    for server in servers:
        harness.set_zone(server, server.zone % zones)
    slice_ = harness.add_slices(servers * 3)[number]
    harness.evaluate_health()
    harness.plan()
    for server in harness.desired(slice_):
        stays_ready = unhealthy and server is harness.primary(slice_)
        state = core.ServerState.READY if stays_ready else core.ServerState.DRAINING
        harness.set_listed_state(state, server)
    harness.set_unhealthy_for(servers[number], 5000.0 if unhealthy else None)
    harness.evaluate_health()
    harness.plan()
    target = harness.primary(slice_)
    assert target not in (None, servers[number])
    return target.zone == servers[number].zone


@pytest.mark.parametrize(
    "unhealthy, zones, stay",
    [
        # The whole zone may be lost, and this controller has reports on few of its servers.
        pytest.param(True, 3, {False}, id="unhealthy: to other zones"),
        pytest.param(True, 1, {True}, id="unhealthy in the only zone: stays"),
        # The endpoint list shows a drain, which implies nothing about the zone.
        pytest.param(False, 3, {True, False}, id="drained: to any zone"),
    ],
)
def test_the_zone_of_the_next_primary_depends_on_how_a_server_was_lost(unhealthy, zones, stay):
    assert {stays_in_zone(number, unhealthy, zones) for number in range(12)} == stay


def test_many_controllers_spread_the_slices_of_a_lost_server():
    # With fewer slices than servers no slice fits a server's share, and all controllers see the
    # same largest server.
    assigned = Counter()
    for harness in controller_group(40, 60, [0, 0] * 40):
        gone, *others = harness.servers
        for server in others:
            latency = 50.0 if server is harness.servers[7] else 100.0
            harness.report_server(server, 20, latency_ms=latency)
        harness.set_listed_state(core.ServerState.GONE, gone)
        harness.evaluate_health()
        harness.plan()
        assigned.update(harness.primary(slice_).id for slice_ in harness.assigned_slices)
    assert sum(assigned.values()) == 80 and max(assigned.values()) <= 8
