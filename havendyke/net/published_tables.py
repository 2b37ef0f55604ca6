"""Published tables by slice, compared with the precision of the relay's snapshots.

A snapshot rounds weights to `SNAPSHOT_WEIGHT_STEP`: tables that differ by less look the same, and a
small weight appears as 0.
"""

from .relay_orders import ClearOrder, RelayOrder, WeightOrder

Table = dict[str, float]  # weights by server id
Tables = dict[int, Table]  # by slice id

SNAPSHOT_WEIGHT_STEP = 0.001
# Half a step, with a margin for floating-point sums that were computed in a different order.
ABSOLUTE_TOLERANCE = 0.501 * SNAPSHOT_WEIGHT_STEP
RELATIVE_TOLERANCE = 1e-4
# Replaces a weight that a snapshot has rounded to 0.
MIN_WEIGHT = 1e-9


def weights_match(weight: float, other: float) -> bool:
    """Whether two weights are equal within a snapshot's precision."""
    return abs(weight - other) <= ABSOLUTE_TOLERANCE + RELATIVE_TOLERANCE * abs(other)


def tables_match(table: Table, other: Table) -> bool:
    """Whether two tables are equal within a snapshot's precision."""
    return table.keys() == other.keys() and all(
        weights_match(weight, other[server_id]) for server_id, weight in table.items()
    )


def restore_precision(snapshot: Table, known: Table) -> Table:
    """A snapshot's table, with the exact weights where they are known.

    An entry shown with weight 0 gets `MIN_WEIGHT`: with 0, the controller would count its slice as
    covered by a standby endpoint that any order then removes.
    """
    return {
        server_id: known[server_id]
        if server_id in known and weights_match(weight, known[server_id])
        else max(weight, MIN_WEIGHT)
        for server_id, weight in snapshot.items()
    }


def apply_order(tables: Tables, order: RelayOrder) -> None:
    """Applies an order to the tables as the relay does; unknown slices are ignored."""
    if not isinstance(order, WeightOrder | ClearOrder):
        return
    table = tables.get(order.slice_id)
    if table is None:
        return
    if isinstance(order, ClearOrder):
        table.clear()
    elif order.weight > 0:
        table[order.server_id] = order.weight
    else:
        table.pop(order.server_id, None)
