"""Orders become the fewest resources, and a forwarder that follows them has the tables that were
ordered."""

import orjson
from test_streams import Forwarder

from havendyke import interface as core
from havendyke.registry import ObjectRegistry
from havendyke.xds.resources import CLUSTER, ENDPOINTS, VIRTUAL_HOSTS
from havendyke.xds.stream import DeltaStream, SnapshotAcknowledged
from havendyke.xds.tables import Tables


def scene(pieces=8):
    registry = ObjectRegistry(
        core.Settings(request_classes=[core.RequestClass(1000.0, 3000.0)], slice_count=pieces), 1
    )
    tables = Tables(lambda uid: f"127.0.0.9:{uid}")
    for k in range(pieces):
        tables.given(k, {"a" if k % 2 else "b": 1.0, "c": 0.02}, 0)
    stream, forwarder = DeltaStream(tables.snapshot), Forwarder()
    forwarder.start(stream)
    return registry, tables, stream, forwarder


def held(forwarder, piece):
    return orjson.loads(forwarder.held[VIRTUAL_HOSTS][f"slice/{piece}"].body)


def test_a_line_changes_one_host_and_a_withdrawal_one_endpoint():
    registry, tables, stream, forwarder = scene()
    before = len(forwarder.ledger)
    forwarder.settle(
        stream,
        stream.update_snapshot(
            tables.order(
                [
                    core.SetEndpointWeight(registry.slice(3), registry.server("b"), 1.0),
                    core.SetEndpointWeight(registry.slice(3), registry.server("a"), 0.0),
                    core.RequestAcknowledgement(5, False),
                ]
            )
        ),
    )
    assert [(k, n) for k, n, _ in forwarder.ledger[before:]] == [
        (VIRTUAL_HOSTS, "slice/3")
    ] and "a" not in held(forwarder, 3)
    before = len(forwarder.ledger)
    forwarder.settle(
        stream,
        stream.update_snapshot(
            tables.order(
                [
                    core.SetEjection(registry.server("a"), True),
                    core.RequestAcknowledgement(6, False),
                ]
            )
        ),
    )
    assert [(k, n) for k, n, _ in forwarder.ledger[before:]] == [(ENDPOINTS, "a")]
    assert b"draining" in forwarder.held[ENDPOINTS]["a"].body and stream.events[
        -1
    ] == SnapshotAcknowledged(6)


def test_a_server_that_no_table_names_goes_once_the_tables_are_acknowledged():
    registry, tables, stream, forwarder = scene(2)
    moved = [core.SetEndpointWeight(registry.slice(k), registry.server("d"), 1.0) for k in range(2)]
    gone = [core.SetEndpointWeight(registry.slice(1), registry.server("a"), 0.0)]
    out = stream.update_snapshot(
        tables.order([*moved, *gone, core.RequestAcknowledgement(9, False)])
    )
    assert not any("a" in r.removed and r.resource_type == CLUSTER for r in out)
    forwarder.settle(stream, out)
    assert (
        "a" not in forwarder.held[CLUSTER]
        and "d" in forwarder.held[CLUSTER]
        and held(forwarder, 1)["d"] > 900
    )


def test_a_spare_however_small_is_a_line_and_an_empty_table_none():
    registry, tables, stream, forwarder = scene(2)
    forwarder.settle(
        stream,
        stream.update_snapshot(
            tables.order(
                [
                    core.SetEndpointWeight(registry.slice(0), registry.server("c"), 1e-6),
                    core.RequestAcknowledgement(1, False),
                ]
            )
        ),
    )
    assert held(forwarder, 0)["c"] == 1
    forwarder.settle(
        stream,
        stream.update_snapshot(
            tables.order(
                [core.ClearTable(registry.slice(0)), core.RequestAcknowledgement(2, False)]
            )
        ),
    )
    assert held(forwarder, 0) == {} and stream.events[-1] == SnapshotAcknowledged(2)
