"""Tests of which slices migrate off overloaded servers, and to which targets."""

from collections import Counter

import pytest
from controller_scene import (
    LONG_AGO_MS,
    MIGRATION_INTERVAL_MS,
    OVERLOADED_REPORTS_TO_MIGRATE,
    PUSH_INTERVAL_MS,
    ControllerScene,
    add_slices_with_demand,
    controller_group,
)


@pytest.mark.parametrize("reports, migrated", [(1, False), (2, True)])
def test_one_slice_migrates_off_an_overloaded_server(reports, migrated):
    scene = ControllerScene()
    servers = scene.add_servers(5)
    overloaded, *others = servers
    slices = scene.add_slices([overloaded] * 6 + others * 3)
    scene.connect_proxies(1)
    scene.push_count = 1
    for _ in range(reports):
        scene.advance(1000)
        for server in servers:
            scene.report_server(server, 20, latency_ms=600.0 if server is overloaded else 100.0)
        for slice_ in slices:
            scene.report_slice(slice_, 10)
        scene.evaluate_health()
        scene.estimate_demand(slices)
        scene.rebalance()
    assert scene.slices_with_primary(overloaded, slices) == (5 if migrated else 6)


def test_a_slice_is_settled_once_most_proxies_have_acknowledged_it():
    scene = ControllerScene()
    (slice_,) = scene.add_slices(scene.add_servers(1))
    proxies = scene.connect_proxies(5)
    scene.set_last_push(slice_, 3)
    for proxy in proxies[:3]:
        scene.set_acknowledged_push(proxy, 3)
    scene.evaluate_health()
    assert not scene.is_settled(slice_)
    scene.set_acknowledged_push(proxies[3], 3)
    scene.evaluate_health()
    assert scene.is_settled(slice_)


def test_a_target_has_no_more_requests_in_flight_than_the_median_server():
    # A server used only by other controllers has no reports here and appears average, whatever its
    # load.
    scene = ControllerScene(sizes_stated=False)
    servers = scene.add_servers(4)
    source, *_, busy = servers
    slices = scene.add_slices([source] * 6 + servers[1:2])
    scene.connect_proxies(1)
    scene.assume_demand_reported()
    scene.set_fleet_last_success(scene.now_ms)
    scene.keep_overloaded_reports()
    scene.set_overloaded_reports(source, OVERLOADED_REPORTS_TO_MIGRATE)
    for server, in_flight in zip(servers, (9, 2, 2, 30), strict=True):
        scene.report_in_flight(server, in_flight)
    scene.report_server(source, 20, latency_ms=900.0)
    scene.evaluate_health()
    scene.set_relative_latency(source, 3.0)
    scene.estimate_demand(slices)
    scene.assume_demand_reported()
    scene.rebalance()
    assert scene.slices_with_primary(source, slices) == 5
    assert not scene.slices_with_primary(busy, slices)


@pytest.mark.parametrize("others_failures, migrates", [(0, True), (40, False)])
def test_a_failing_server_in_a_healthy_fleet_releases_a_slice_per_push(others_failures, migrates):
    # Its own failures raise the fleet's error rate, which must not delay its migrations.
    scene = ControllerScene()
    servers = scene.add_servers(6)
    failing = servers[0]
    slices = scene.add_slices([failing] * 4 + servers[1:5])
    scene.connect_proxies(1)
    for slice_ in slices:
        scene.set_last_migration(slice_, LONG_AGO_MS)
        scene.set_assigned_at(slice_, LONG_AGO_MS)
        scene.add_requests(slice_, 10.0)
    for server in servers[1:]:
        scene.report_server(server, 100, others_failures, 100.0)
    scene.report_server(failing, 100, 60, 900.0)
    scene.set_overloaded_reports(failing, OVERLOADED_REPORTS_TO_MIGRATE + 1)
    scene.set_last_migration_from(failing, scene.now_ms - PUSH_INTERVAL_MS)
    scene.set_fleet_last_success(scene.now_ms)
    scene.keep_overloaded_reports()
    scene.evaluate_health()
    scene.estimate_demand(slices)
    assert scene.errors_elevated and scene.overloaded != migrates
    scene.rebalance()
    assert (scene.last_migration_from(failing) == scene.now_ms) == migrates


def test_controllers_with_the_same_reports_choose_different_targets():
    migrations = Counter()
    for scene in controller_group(8, 40, [k // 8 % 40 for k in range(2560)], sizes_stated=False):
        overloaded = scene.servers[0]
        for number, server in enumerate(scene.servers):
            latency = 900.0 if server is overloaded else 100.0 + number
            scene.report_server(server, 20, latency_ms=latency)
        scene.evaluate_health()
        scene.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
        before = {slice_: scene.primary(slice_) for slice_ in scene.assigned_slices}
        scene.plan()
        targets = {s: scene.primary(s) for s in before if scene.primary(s) is not before[s]}
        migrations.update(target.id for target in targets.values() if target)
    assert sum(migrations.values()) >= 8 and max(migrations.values()) <= 3


@pytest.mark.parametrize("latency_ms, migrations", [(250.0, 0), (900.0, 1)])
def test_a_server_releases_slices_only_if_it_is_slow_by_the_latency_objectives(
    latency_ms, migrations
):
    # For a while a migration occupies connections at both source and target; among fast servers it
    # exhausts them for no gain.
    scene = ControllerScene(
        slice_count=160,
        connection_capacity=119.0,
        connection_idle_ms=15_000.0,
        channel_queue_limit=61_560.0,
    )
    servers = scene.add_servers(20)
    primaries = [servers[k % 20] for k in range(160)]
    slices = add_slices_with_demand(scene, primaries)
    scene.set_request_rate(scene.connect_proxies(150), 1.6)
    for server in servers:
        latency = latency_ms if server is servers[0] else 100.0
        scene.report_server(server, 20, latency_ms=latency)
    scene.evaluate_health()
    scene.set_overloaded_reports(servers[0], OVERLOADED_REPORTS_TO_MIGRATE)
    scene.plan()
    migrated = [
        slice_
        for slice_, former in zip(slices, primaries, strict=True)
        if scene.primary(slice_) is not former
    ]
    assert len(migrated) == migrations


def test_all_controllers_together_migrate_one_slice_per_interval_off_a_server():
    # With an interval for each controller, migrations would multiply by their number.
    migrations = 0
    interval_ms = MIGRATION_INTERVAL_MS * 5
    for scene in controller_group(5, 40, [k // 5 % 40 for k in range(1600)], sizes_stated=False):
        overloaded = scene.servers[0]
        for _ in range(int(2 * interval_ms / 1000)):
            for server in scene.servers:
                latency = 900.0 if server is overloaded else 100.0
                scene.report_server(server, 20, latency_ms=latency)
            scene.evaluate_health()
            scene.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
            before = len(scene.slices_of(overloaded)) or 8
            scene.plan()
            scene.publish_desired()
            migrations += before - scene.slices_with_primary(overloaded, scene.assigned_slices)
            scene.advance(1000.0)
    assert 5 <= migrations <= 10
