"""Tests of how recovered servers get slices again."""

from collections import Counter

from controller_harness import (
    CAUTIOUS_START_MS,
    ControllerHarness,
    add_slices_with_demand,
    controller_group,
)


def test_recovered_servers_get_slices_though_no_server_is_slow():
    harness = ControllerHarness(
        slice_count=160,
        connection_capacity=119.0,
        connection_idle_ms=15_000.0,
        channel_queue_limit=61_560.0,
    )
    servers = harness.add_servers(20)
    add_slices_with_demand(harness, [servers[k % 16] for k in range(160)])
    harness.set_request_rate(harness.connect_proxies(150), 1.6)
    harness.set_recovering(servers[19])
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_of(servers[19])


def test_spare_slices_are_searched_once_for_all_recovered_servers():
    # A search through all slices for each server would take much of a reconciliation.
    harness = ControllerHarness(slice_count=300, channel_queue_limit=61_560.0)
    servers = harness.add_servers(60)
    recovered = servers[30:]
    add_slices_with_demand(harness, [servers[k % 30] for k in range(300)])
    harness.connect_proxies(150)
    queries = harness.count_settled_queries()
    harness.set_recovering(*recovered)
    harness.evaluate_health()
    harness.plan()
    assert sum(bool(harness.slices_of(server)) for server in recovered) > 5
    assert max(queries.values()) <= 2


def test_recovered_servers_get_no_slices_of_servers_that_warm_up():
    # Such a migration only moves a slice from one cold cache to another.
    harness = ControllerHarness(slice_count=40, channel_queue_limit=61_560.0)
    servers = harness.add_servers(8)
    warming_up = harness.add_servers(4, started_ms=harness.now_ms - 8000.0)
    add_slices_with_demand(harness, [warming_up[k % 2] for k in range(30)] + servers)
    harness.connect_proxies(20)
    recovered = warming_up[2:]
    harness.set_recovering(*recovered)
    harness.evaluate_health()
    harness.estimate_demand(harness.assigned_slices)
    harness.set_migration_budget(9.0)
    harness.ramp_up_recovered(harness.assigned_slices)
    assert not any(harness.slices_of(server) for server in recovered)


def test_healthy_servers_release_slices_to_those_that_warm_up_from_all_controllers_together():
    # If each controller rounded its share of a server up, healthy servers would stay overloaded.
    loads = Counter()
    for harness in controller_group(5, 60, [k % 24 for k in range(360)]):
        harness.set_queue_unlimited()
        harness.advance(CAUTIOUS_START_MS)
        for server in harness.servers[24:]:
            harness.set_started(server, harness.now_ms - 6000.0)
            harness.set_recovering(server)
        for _ in range(8):
            harness.advance(1000.0)
            harness.evaluate_health()
            harness.plan()
            harness.publish_desired()
        loads.update({server.id: harness.assigned_load(server) for server in harness.servers})
    assert sum(loads[f"s{k}"] for k in range(24)) < 200 and max(loads.values()) <= 10


def test_recovered_servers_get_no_more_slices_than_the_migration_budget():
    # More entries would leave no capacity for those of standby endpoints.
    harness = ControllerHarness(slice_count=300, channel_queue_limit=61_560.0)
    servers = harness.add_servers(60)
    recovered = servers[30:]
    slices = harness.add_slices([servers[k % 30] for k in range(300)])
    harness.connect_proxies(150)
    harness.set_recovering(*recovered)
    harness.evaluate_health()
    harness.estimate_demand(slices)
    harness.set_migration_budget(3.0)
    harness.ramp_up_recovered(slices)
    assert sum(len(harness.slices_of(server)) for server in recovered) == 3
