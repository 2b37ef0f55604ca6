"""Tests that servers which warm up are not overloaded by a surge of requests."""

from collections import Counter

import pytest
from controller_harness import (
    CAUTIOUS_START_MS,
    PUSH_INTERVAL_MS,
    ControllerHarness,
    add_slices_with_demand,
    controller_group,
)

from havendyke import interface as core

TIMED_OUT = core.HealthCheckOutcome.TIMED_OUT
AGE_MS = 12_000.0  # of 16 s of warm-up
PASSED = core.HealthCheckOutcome.PASSED
# The load of a fair share of present capacity, with a fifth for rounding and demand.
LOAD_WITH_ROOM_FOR_A_SURGE = 1.2


def warming_up_fleet(**changes):
    """Twelve servers, one of which warms up and has two of 24 slices."""
    harness = ControllerHarness(
        slice_count=24, health_checks=True, channel_queue_limit=61_560.0, **changes
    )
    servers = harness.add_servers(12)
    add_slices_with_demand(harness, [servers[k % 12] for k in range(24)])
    harness.connect_proxies(20)
    harness.advance(CAUTIOUS_START_MS + 1)
    harness.set_started(servers[0], harness.now_ms - AGE_MS)
    harness.set_recovering(servers[0])
    return harness, servers[0], servers[1:]


def reconcile(harness):
    harness.evaluate_health()
    harness.plan()
    harness.publish_desired()


@pytest.mark.parametrize("outcome, released", [(PASSED, False), (TIMED_OUT, True)])
def test_a_server_that_warms_up_releases_slices_while_its_checks_time_out(outcome, released):
    # Its queue is full seconds before a load report shows that.
    harness, started, _ = warming_up_fleet()
    reconcile(harness)
    before = harness.assigned_load(started)
    harness.report_health_check(started, outcome)
    harness.advance(PUSH_INTERVAL_MS)
    reconcile(harness)
    assert before > 0 and (harness.assigned_load(started) <= before / 2) == released


@pytest.mark.parametrize("outcome, added", [(PASSED, True), (TIMED_OUT, False)])
def test_a_server_that_warms_up_gets_no_slices_while_its_checks_time_out(outcome, added):
    harness, started, others = warming_up_fleet()
    for slice_ in harness.slices:
        if harness.primary(slice_) is started:
            harness.set_desired(slice_, {others[0]: 1.0})
            harness.set_published(slice_, {others[0]: 1.0})
    harness.report_health_check(started, outcome)
    for _ in range(3):
        harness.advance(PUSH_INTERVAL_MS / 4)
        reconcile(harness)
    assert bool(harness.slices_of(started)) == added


def test_slices_of_a_server_whose_checks_time_out_go_to_no_other_that_warms_up():
    # It would be the next to be overloaded.
    harness, started, others = warming_up_fleet()
    for server in others[:4]:
        harness.set_started(server, harness.now_ms - AGE_MS)
    reconcile(harness)
    kept = {slice_ for server in others[:4] for slice_ in harness.slices_of(server)}
    before = harness.assigned_load(started)
    harness.report_health_check(started, TIMED_OUT)
    harness.advance(PUSH_INTERVAL_MS)
    reconcile(harness)
    assert harness.assigned_load(started) < before
    assert {s for server in others[:4] for s in harness.slices_of(server)} <= kept


def test_an_exclusive_owner_that_warms_up_keeps_its_slices_though_its_checks_time_out():
    # A hand-over leaves a slice without a server for longer than the overload lasts.
    harness, started, _ = warming_up_fleet(
        exclusive_ownership=True,
        lease_ms=1500.0,
        max_write_in_flight_ms=2000.0,
        max_empty_table_ms=9000.0,
    )
    reconcile(harness)
    before = harness.assigned_load(started)
    harness.report_health_check(started, TIMED_OUT)
    harness.advance(PUSH_INTERVAL_MS)
    reconcile(harness)
    assert harness.assigned_load(started) == before > 0


def test_a_controller_whose_checks_stay_unanswered_everywhere_releases_no_slices():
    # The fault is its own, and the healthy servers could not carry all of the load.
    harness, started, others = warming_up_fleet()
    reconcile(harness)
    before = harness.assigned_load(started)
    for server in (started, *others):
        harness.report_health_check(server, TIMED_OUT)
    harness.advance(PUSH_INTERVAL_MS)
    reconcile(harness)
    assert harness.assigned_load(started) == before > 0


@pytest.mark.parametrize("count", [1, 5])
def test_few_servers_that_warm_up_are_left_room_for_a_surge_by_all_controllers_together(count):
    # A crowd of twice the usual load felled servers that had twice their fair share.
    harnesses = controller_group(count, 60, [k % 60 for k in range(360)])
    assigned, fair = Counter(), Counter()
    for harness in harnesses:
        harness.set_queue_unlimited()
        harness.advance(CAUTIOUS_START_MS + 1)
        successors = [harness.add_server(f"n{k}") for k in range(6)]
        harness.list_servers(successors, started_ms=harness.now_ms)
        harness.list_servers(harness.servers[:6], core.ServerState.DRAINING)
        for _ in range(8):
            harness.advance(PUSH_INTERVAL_MS)
            reconcile(harness)
        for server in successors:
            assigned[server.id] += harness.assigned_load(server)
            fair[server.id] = 6.0 * harness.guaranteed_capacity(server)
    limits = {name: LOAD_WITH_ROOM_FOR_A_SURGE * load + 1.0 for name, load in fair.items()}
    assert all(assigned[name] <= limits[name] for name in limits)
    assert sum(assigned.values()) > 0.4 * sum(fair.values())
