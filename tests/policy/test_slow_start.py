"""Tests of the load and slices of a server that warms up."""

from collections import Counter

import pytest
from controller_harness import (
    CAUTIOUS_START_MS,
    WARM_UP_LOAD_SHARE,
    ControllerHarness,
    HealthState,
    controller_group,
    rounding_offset,
)

from havendyke import interface as core
from havendyke.policy.admission import ADJUST_INTERVAL_MS
from havendyke.policy.slow_start import CAUTIOUS_OVERLOAD_SHARE


def test_slices_beyond_the_admissible_load_of_a_fleet_that_warms_up_get_no_endpoint():
    # All of the traffic would overload servers that warm up, and they would fail.
    harness = ControllerHarness()
    former = harness.add_servers(4)
    slices = harness.add_slices(former * 5)
    started = harness.add_servers(4, started_ms=harness.now_ms - 1000.0)
    harness.set_listed_state(core.ServerState.DRAINING, *former)
    harness.evaluate_health()
    harness.plan()
    assert 0 < sum(bool(harness.desired(slice_)) for slice_ in slices) < len(slices)
    assert all(
        harness.assigned_load(s) <= harness.baseline_load * harness.guaranteed_capacity(s)
        for s in started
    )


def full_baseline_load(harness, total_demand):
    """Returns the baseline load of a controller that trusts its estimates of demand."""
    return WARM_UP_LOAD_SHARE * harness.overload_factor * total_demand / harness.peak_fleet_capacity


@pytest.mark.parametrize("up_for_ms, reduced", [(1000.0, True), (CAUTIOUS_START_MS + 1, False)])
def test_the_baseline_load_is_reduced_after_the_controllers_start(up_for_ms, reduced):
    # A controller that has just restarted has no estimate of demand.
    harness = ControllerHarness()
    slices = harness.add_slices(harness.add_servers(4))
    harness.advance(up_for_ms)
    harness.estimate_demand(slices)
    assert (harness.baseline_load < full_baseline_load(harness, len(slices))) == reduced


@pytest.mark.parametrize(
    "failures, latency_ms, reduced",
    [
        pytest.param(0, 100.0, False, id="fast"),
        pytest.param(0, 900.0, False, id="slow"),
        pytest.param(10, 900.0, True, id="slow and failing"),
        pytest.param(10, 100.0, False, id="failing"),
    ],
)
def test_the_baseline_load_is_reduced_while_the_servers_with_reports_are_overloaded(
    failures, latency_ms, reduced
):
    # Servers that have just started have no reports, so the median hides the overload.
    harness = ControllerHarness(slice_count=60)
    servers = harness.add_servers(10)
    harness.add_servers(12, started_ms=harness.now_ms - 2000.0)
    slices = harness.add_slices([servers[k % 10] for k in range(60)])
    for server in servers:
        harness.report_server(server, 20, failures, latency_ms)
    harness.advance(CAUTIOUS_START_MS + 1)
    harness.evaluate_health()
    harness.estimate_demand(slices)
    total_demand = sum(map(harness.demand, slices))
    assert (harness.baseline_load < 0.6 * full_baseline_load(harness, total_demand)) == reduced


@pytest.mark.parametrize(
    "limit, intervals, reduced",
    [
        pytest.param(0.5, 1, True, id="shed"),
        pytest.param(0.8, 1, True, id="just lifted"),
        pytest.param(0.8, 2, False, id="lifted for an interval"),
        pytest.param(1.0, 1, False, id="never shed"),
    ],
)
def test_the_baseline_load_is_reduced_until_all_load_that_was_shed_has_returned(
    limit, intervals, reduced
):
    # A server that got its slices while a quarter of the load was admitted was overloaded, and
    # failed, once all requests were admitted again.
    harness = ControllerHarness()
    slices = harness.add_slices(harness.add_servers(4))
    harness.advance(CAUTIOUS_START_MS + 1)
    harness.admission_probability = limit
    for _ in range(intervals):
        harness.adjust_admission()
        harness.advance(ADJUST_INTERVAL_MS)
    harness.estimate_demand(slices)
    assert (harness.baseline_load < full_baseline_load(harness, len(slices))) == reduced


def test_a_restarted_server_keeps_only_the_slices_that_it_can_carry():
    harness = ControllerHarness()
    restarted, *others = harness.add_servers(4)
    slices = harness.add_slices([restarted] * 4 + others * 4)
    harness.list_servers([restarted], started_ms=harness.now_ms)
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_with_primary(restarted, slices) <= 1
    entries = [entry for slice_ in slices for entry in harness.desired(slice_).items()]
    assert all(weight == 1 for server, weight in entries if server is restarted)


@pytest.mark.parametrize(
    "age_ms, others_latency_ms, latency_ms, least, most",
    [
        pytest.param(1000.0, 900.0, 60.0, 0.25, 0.251, id="fast beside an overloaded fleet"),
        pytest.param(8000.0, 1000.0, 1000.0, 0.0, 0.3, id="as slow as an overloaded fleet"),
    ],
)
def test_the_guaranteed_capacity_of_a_server_that_warms_up(
    age_ms, others_latency_ms, latency_ms, least, most
):
    harness = ControllerHarness()
    servers = harness.add_servers(4)
    started = servers[0]
    harness.set_started(started, harness.now_ms - age_ms)
    for server in servers:
        latency = latency_ms if server is started else others_latency_ms
        harness.report_server(server, 40, latency_ms=latency)
    harness.evaluate_health()
    assert least - 0.001 <= harness.guaranteed_capacity(started) <= most


def test_a_start_in_the_future_counts_as_now():
    harness = ControllerHarness()
    (server,) = harness.add_servers(1, started_ms=200_000.0)
    harness.evaluate_health()
    assert harness.health(server) is HealthState.WARMING_UP and harness.capacity(server) > 0


def list_with_assumed_start(harness, servers, started_ms):
    """Applies a cached endpoint list whose start times are unconfirmed."""
    harness.list_servers(
        servers,
        started_ms=started_ms,
        zones=3,
        scope=core.ListScope.CACHED,
        start_confirmed=False,
    )


def test_servers_whose_start_is_assumed_keep_their_slices():
    # Otherwise a restart of the controller would cost a healthy fleet most of its tables.
    harness = ControllerHarness()
    servers = [harness.add_server(f"s{k}") for k in range(3)]
    list_with_assumed_start(harness, servers, harness.now_ms)
    slices = harness.add_slices(servers * 2)
    harness.connect_proxies(2)
    harness.evaluate_health()
    harness.plan()
    assert [harness.health(server) for server in servers] == [HealthState.WARMING_UP] * 3
    assert all(harness.primary(slice_) is not None for slice_ in slices)
    harness.list_servers(servers[:1], started_ms=harness.now_ms)  # confirmed
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_with_primary(servers[0], slices) < 2


def test_any_other_start_time_replaces_an_assumed_one():
    harness = ControllerHarness()
    server = harness.add_server("a")
    list_with_assumed_start(harness, [server], harness.now_ms)
    list_with_assumed_start(harness, [server], harness.now_ms - 8000.0)
    assert harness.started_ms(server) == harness.now_ms - 8000.0
    assert harness.start_is_assumed(server)
    harness.list_servers([server], started_ms=None)
    harness.evaluate_health()
    assert harness.health(server) is HealthState.HEALTHY and not harness.start_is_assumed(server)


def replace_servers(harness, second):
    """Replaces 18 of 60 servers twice: successors start, and their predecessors drain 2 s later."""
    if second in (0, 4):
        successors = [harness.add_server(f"n{len(harness.servers)}") for _ in range(18)]
        harness.list_servers(successors, started_ms=harness.now_ms)
    if second in (2, 6):
        predecessors = harness.servers[:18] if second == 2 else harness.servers[18:36]
        harness.list_servers(predecessors, core.ServerState.DRAINING)


@pytest.mark.parametrize("count", [1, 5, 230])
def test_all_controllers_together_use_but_do_not_overload_servers_that_warm_up(count):
    # Shares of less than one slice per controller must not round down to 0 at all controllers, and
    # successors that run beside their predecessors must not count twice.
    harnesses = controller_group(count, 60, [k % 60 for k in range(360)])
    begin = harnesses[0].now_ms + CAUTIOUS_START_MS
    assigned, admissible = Counter(), Counter()
    for harness in harnesses:
        harness.set_queue_unlimited()
        harness.evaluate_health()
        harness.plan()
        for second in range(10):
            harness.advance_to(begin + 1000.0 * second)
            replace_servers(harness, second)
            harness.evaluate_health()
            harness.plan()
            harness.publish_desired()
            for server in harness.servers_warming_up():
                assigned[second, server.id] += harness.assigned_load(server)
                admissible[second, server.id] = (
                    WARM_UP_LOAD_SHARE * 3.0 * 6.0 * harness.guaranteed_capacity(server)
                )
    assert max(assigned[key] - 1.15 * admissible[key] for key in admissible) <= 1.0
    last = [(9, server.id) for server in harness.servers]
    assert sum(assigned[key] for key in last) > 0.5 * sum(admissible[key] for key in last)


@pytest.mark.parametrize("count", [2, 5, 12, 230])
def test_rounded_shares_of_all_controllers_never_exceed_the_total(count):
    for server in (f"s{k}" for k in range(5)):
        offsets = [rounding_offset(server, index, count) for index in range(count)]
        for share in (0.1, 0.3, 0.5, 0.9, 1.48, 2.6):
            total = sum(int(share + offset) for offset in offsets)
            assert count * share - 1 < total <= count * share + 1e-9


@pytest.mark.parametrize(
    "sizes_stated, shedding, reduced",
    [
        pytest.param(False, core.LoadShedding.NONE, True, id="neither is known"),
        pytest.param(True, core.LoadShedding.NONE, False, id="sizes are stated"),
        pytest.param(False, core.LoadShedding.BY_SHARE, False, id="load is shed"),
    ],
)
def test_the_baseline_load_is_scaled_by_what_an_overloaded_fleet_completes(
    sizes_stated, shedding, reduced
):
    # With a demand of twice the fleet's capacity, the fair share of a small server was 6 times the
    # load that it could carry.
    harness = ControllerHarness(sizes_stated=sizes_stated, load_shedding=shedding)
    servers = harness.add_servers(4)
    slices = harness.add_slices(servers)
    for server in servers:
        harness.report_server(server, 20, 15, 900.0)
    harness.advance(CAUTIOUS_START_MS + 1)
    harness.evaluate_health()
    harness.estimate_demand(slices)
    cautious = (
        full_baseline_load(harness, len(slices)) * CAUTIOUS_OVERLOAD_SHARE / WARM_UP_LOAD_SHARE
    )
    completed_share = 0.25 if reduced else 1.0
    assert harness.baseline_load == pytest.approx(completed_share * cautious)
