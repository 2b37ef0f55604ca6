"""Tests of which slices migrate off overloaded servers, and to which targets."""

from collections import Counter

import pytest
from controller_harness import (
    LONG_AGO_MS,
    MIGRATION_INTERVAL_MS,
    OVERLOADED_REPORTS_TO_MIGRATE,
    PUSH_INTERVAL_MS,
    ControllerHarness,
    add_slices_with_demand,
    controller_group,
)


@pytest.mark.parametrize("reports, migrated", [(1, False), (2, True)])
def test_one_slice_migrates_off_an_overloaded_server(reports, migrated):
    harness = ControllerHarness()
    servers = harness.add_servers(5)
    overloaded, *others = servers
    slices = harness.add_slices([overloaded] * 6 + others * 3)
    harness.connect_proxies(1)
    harness.push_count = 1
    for _ in range(reports):
        harness.advance(1000)
        for server in servers:
            harness.report_server(server, 20, latency_ms=600.0 if server is overloaded else 100.0)
        for slice_ in slices:
            harness.report_slice(slice_, 10)
        harness.evaluate_health()
        harness.estimate_demand(slices)
        harness.rebalance()
    assert harness.slices_with_primary(overloaded, slices) == (5 if migrated else 6)


def test_a_slice_is_settled_once_most_proxies_have_acknowledged_it():
    harness = ControllerHarness()
    (slice_,) = harness.add_slices(harness.add_servers(1))
    proxies = harness.connect_proxies(5)
    harness.set_last_push(slice_, 3)
    for proxy in proxies[:3]:
        harness.set_acknowledged_push(proxy, 3)
    harness.evaluate_health()
    assert not harness.is_settled(slice_)
    harness.set_acknowledged_push(proxies[3], 3)
    harness.evaluate_health()
    assert harness.is_settled(slice_)


def test_a_target_has_no_more_requests_in_flight_than_the_median_server():
    # A server used only by other controllers has no reports here and appears average, whatever its
    # load.
    harness = ControllerHarness(sizes_stated=False)
    servers = harness.add_servers(4)
    source, *_, busy = servers
    slices = harness.add_slices([source] * 6 + servers[1:2])
    harness.connect_proxies(1)
    harness.assume_demand_reported()
    harness.set_fleet_last_success(harness.now_ms)
    harness.keep_overloaded_reports()
    harness.set_overloaded_reports(source, OVERLOADED_REPORTS_TO_MIGRATE)
    for server, in_flight in zip(servers, (9, 2, 2, 30), strict=True):
        harness.report_in_flight(server, in_flight)
    harness.report_server(source, 20, latency_ms=900.0)
    harness.evaluate_health()
    harness.set_relative_latency(source, 3.0)
    harness.estimate_demand(slices)
    harness.assume_demand_reported()
    harness.rebalance()
    assert harness.slices_with_primary(source, slices) == 5
    assert not harness.slices_with_primary(busy, slices)


@pytest.mark.parametrize("others_failures, migrates", [(0, True), (40, False)])
def test_a_failing_server_in_a_healthy_fleet_releases_a_slice_per_push(others_failures, migrates):
    # Its own failures raise the fleet's error rate, which must not delay its migrations.
    harness = ControllerHarness()
    servers = harness.add_servers(6)
    failing = servers[0]
    slices = harness.add_slices([failing] * 4 + servers[1:5])
    harness.connect_proxies(1)
    for slice_ in slices:
        harness.set_last_migration(slice_, LONG_AGO_MS)
        harness.set_assigned_at(slice_, LONG_AGO_MS)
        harness.add_requests(slice_, 10.0)
    for server in servers[1:]:
        harness.report_server(server, 100, others_failures, 100.0)
    harness.report_server(failing, 100, 60, 900.0)
    harness.set_overloaded_reports(failing, OVERLOADED_REPORTS_TO_MIGRATE + 1)
    harness.set_last_migration_from(failing, harness.now_ms - PUSH_INTERVAL_MS)
    harness.set_fleet_last_success(harness.now_ms)
    harness.keep_overloaded_reports()
    harness.evaluate_health()
    harness.estimate_demand(slices)
    assert harness.errors_elevated and harness.overloaded != migrates
    harness.rebalance()
    assert (harness.last_migration_from(failing) == harness.now_ms) == migrates


def test_controllers_with_the_same_reports_choose_different_targets():
    migrations = Counter()
    for harness in controller_group(8, 40, [k // 8 % 40 for k in range(2560)], sizes_stated=False):
        overloaded = harness.servers[0]
        for number, server in enumerate(harness.servers):
            latency = 900.0 if server is overloaded else 100.0 + number
            harness.report_server(server, 20, latency_ms=latency)
        harness.evaluate_health()
        harness.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
        before = {slice_: harness.primary(slice_) for slice_ in harness.assigned_slices}
        harness.plan()
        targets = {s: harness.primary(s) for s in before if harness.primary(s) is not before[s]}
        migrations.update(target.id for target in targets.values() if target)
    assert sum(migrations.values()) >= 8 and max(migrations.values()) <= 3


@pytest.mark.parametrize("latency_ms, migrations", [(250.0, 0), (900.0, 1)])
def test_a_server_releases_slices_only_if_it_is_slow_by_the_latency_objectives(
    latency_ms, migrations
):
    # For a while a migration occupies connections at both source and target; among fast servers,
    # migrations would exhaust the connections for no gain.
    harness = ControllerHarness(
        slice_count=160,
        connection_capacity=119.0,
        connection_idle_ms=15_000.0,
        channel_queue_limit=61_560.0,
    )
    servers = harness.add_servers(20)
    primaries = [servers[k % 20] for k in range(160)]
    slices = add_slices_with_demand(harness, primaries)
    harness.set_request_rate(harness.connect_proxies(150), 1.6)
    for server in servers:
        latency = latency_ms if server is servers[0] else 100.0
        harness.report_server(server, 20, latency_ms=latency)
    harness.evaluate_health()
    harness.set_overloaded_reports(servers[0], OVERLOADED_REPORTS_TO_MIGRATE)
    harness.plan()
    migrated = [
        slice_
        for slice_, former in zip(slices, primaries, strict=True)
        if harness.primary(slice_) is not former
    ]
    assert len(migrated) == migrations


def test_all_controllers_together_migrate_one_slice_per_interval_off_a_server():
    # With an interval for each controller, migrations would multiply by their number.
    migrations = 0
    interval_ms = MIGRATION_INTERVAL_MS * 5
    for harness in controller_group(5, 40, [k // 5 % 40 for k in range(1600)], sizes_stated=False):
        overloaded = harness.servers[0]
        for _ in range(int(2 * interval_ms / 1000)):
            for server in harness.servers:
                latency = 900.0 if server is overloaded else 100.0
                harness.report_server(server, 20, latency_ms=latency)
            harness.evaluate_health()
            harness.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
            before = len(harness.slices_of(overloaded)) or 8
            harness.plan()
            harness.publish_desired()
            migrations += before - harness.slices_with_primary(overloaded, harness.assigned_slices)
            harness.advance(1000.0)
    assert 5 <= migrations <= 10
