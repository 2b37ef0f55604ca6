"""Published tables compared with the relay's snapshots, which round weights."""

import pytest

from havendyke.net.published_tables import apply_order, restore_precision, tables_match
from havendyke.net.relay_orders import ClearOrder, EjectionOrder, WeightOrder


@pytest.mark.parametrize(
    "snapshot, known, match",
    [
        ({"s1": 0.333}, {"s1": 1 / 3}, True),
        ({"s1": 0.0}, {"s1": 0.0004}, True),
        ({"s1": 0.335}, {"s1": 1 / 3}, False),
        ({"s1": 0.0}, {}, False),
        ({"s1": 1.0}, {"s2": 1.0}, False),
        ({}, {}, True),
    ],
)
def test_tables_match_within_a_snapshots_precision(snapshot, known, match):
    assert tables_match(snapshot, known) == match


def test_known_weights_replace_rounded_ones_and_no_entry_gets_weight_0():
    snapshot = {"s1": 0.333, "s2": 0.5, "s3": 0.0}
    restored = restore_precision(snapshot, {"s1": 1 / 3, "s2": 0.25})
    assert restored["s1"] == 1 / 3 and restored["s2"] == 0.5
    assert 0.0 < restored["s3"] < 1e-6


def test_orders_change_known_tables_only():
    tables = {1: {"s1": 1.0}, 2: {"s1": 1.0}}
    for order in (
        WeightOrder(1, "s2", 0.5),
        WeightOrder(1, "s1", 0.0),
        WeightOrder(3, "s1", 1.0),
        ClearOrder(2),
        EjectionOrder("s2", ejected=True),
    ):
        apply_order(tables, order)
    assert tables == {1: {"s2": 0.5}, 2: {}}
