"""Orders change as few resources as possible, and a proxy that applies these has the tables."""

import orjson
from test_streams import DeltaProxy

from havendyke import interface as core
from havendyke.registry import ObjectRegistry
from havendyke.xds.resources import CLUSTER, ENDPOINTS, VIRTUAL_HOSTS
from havendyke.xds.stream import DeltaStream, SnapshotAcknowledged
from havendyke.xds.tables import TableResources


def connected_proxy(slice_count=8):
    registry = ObjectRegistry(
        core.Settings(request_classes=[core.RequestClass(1000.0, 3000.0)], slice_count=slice_count),
        1,
    )
    tables = TableResources(lambda server_id: f"127.0.0.9:{server_id}")
    for k in range(slice_count):
        tables.set_table(k, {"a" if k % 2 else "b": 1.0, "c": 0.02}, 0)
    stream, proxy = DeltaStream(tables.snapshot), DeltaProxy()
    proxy.connect(stream)
    return registry, tables, stream, proxy


def host_weights(proxy, slice_id):
    return orjson.loads(proxy.resources[VIRTUAL_HOSTS][f"slice/{slice_id}"].body)


def test_a_table_entry_changes_one_virtual_host_and_an_ejection_one_endpoint():
    registry, tables, stream, proxy = connected_proxy()
    before = len(proxy.applied)
    proxy.settle(
        stream,
        stream.update_snapshot(
            tables.apply_orders(
                [
                    core.SetEndpointWeight(registry.slice(3), registry.server("b"), 1.0),
                    core.SetEndpointWeight(registry.slice(3), registry.server("a"), 0.0),
                    core.RequestAcknowledgement(5, False),
                ]
            )
        ),
    )
    assert [(k, n) for k, n, _ in proxy.applied[before:]] == [
        (VIRTUAL_HOSTS, "slice/3")
    ] and "a" not in host_weights(proxy, 3)
    before = len(proxy.applied)
    proxy.settle(
        stream,
        stream.update_snapshot(
            tables.apply_orders(
                [
                    core.SetEjection(registry.server("a"), True),
                    core.RequestAcknowledgement(6, False),
                ]
            )
        ),
    )
    assert [(k, n) for k, n, _ in proxy.applied[before:]] == [(ENDPOINTS, "a")]
    assert b"draining" in proxy.resources[ENDPOINTS]["a"].body and stream.events[
        -1
    ] == SnapshotAcknowledged(6)


def test_a_server_in_no_table_is_removed_once_the_tables_are_acknowledged():
    registry, tables, stream, proxy = connected_proxy(2)
    added_entries = [
        core.SetEndpointWeight(registry.slice(k), registry.server("d"), 1.0) for k in range(2)
    ]
    removed_entries = [core.SetEndpointWeight(registry.slice(1), registry.server("a"), 0.0)]
    responses = stream.update_snapshot(
        tables.apply_orders(
            [*added_entries, *removed_entries, core.RequestAcknowledgement(9, False)]
        )
    )
    assert not any("a" in r.removed and r.resource_type == CLUSTER for r in responses)
    proxy.settle(stream, responses)
    assert (
        "a" not in proxy.resources[CLUSTER]
        and "d" in proxy.resources[CLUSTER]
        and host_weights(proxy, 1)["d"] > 900
    )


def test_the_smallest_weight_is_kept_and_a_cleared_table_is_empty():
    registry, tables, stream, proxy = connected_proxy(2)
    proxy.settle(
        stream,
        stream.update_snapshot(
            tables.apply_orders(
                [
                    core.SetEndpointWeight(registry.slice(0), registry.server("c"), 1e-6),
                    core.RequestAcknowledgement(1, False),
                ]
            )
        ),
    )
    assert host_weights(proxy, 0)["c"] == 1
    proxy.settle(
        stream,
        stream.update_snapshot(
            tables.apply_orders(
                [core.ClearTable(registry.slice(0)), core.RequestAcknowledgement(2, False)]
            )
        ),
    )
    assert host_weights(proxy, 0) == {} and stream.events[-1] == SnapshotAcknowledged(2)
