"""Migration of a slice from one server to another."""

from ..state import HEALTHY, Server, Slice
from .demand import demand_of

# A snapshot may have rounded a weight to about 0; a primary needs one above this.
MIN_WEIGHT = 1e-6
PRIMARY_WEIGHT = 1.0
# In migrations. The planner replaces it before it limits a migration.
INITIAL_BUDGET = 9.0


class SliceMigrator:
    """Changes the primary server of slices, and charges each migration to a budget."""

    def __init__(self) -> None:
        # Migrations that still fit into the push. The planner sets it after failover, which it does
        # not limit. Restoring ejected servers ignores it and may make it negative.
        self.budget = INITIAL_BUDGET

    def migrate(self, slice_: Slice, target: Server | None, now_ms: float) -> None:
        """Makes `target` the primary; with None, the slice has no server."""
        self.budget -= 1
        source = slice_.primary()
        demand = demand_of(slice_)
        slice_.desired = _table_after(slice_, source, target)
        if target is not None:
            target.assigned_load += demand
            target.assigned_slices.append(slice_)
            target.last_slice_received_ms = now_ms
            slice_.migrated_ms = now_ms
            slice_.last_push_serial = None
        if source is not None:
            source.assigned_load -= demand
            source.assigned_slices.remove(slice_)


def _table_after(
    slice_: Slice, source: Server | None, target: Server | None
) -> dict[Server, float]:
    if target is None:
        return {}
    # A standby that takes over keeps its weight: each entry saved lets the push change another
    # slice in time.
    weight = slice_.desired.get(target, slice_.published.get(target, 0.0))
    if weight <= MIN_WEIGHT:
        weight = PRIMARY_WEIGHT
    table = {
        server: standby_weight
        for server, standby_weight in slice_.desired.items()
        if server is not target
        and standby_weight < weight
        and (server is not source or (target.ejected and server.health == HEALTHY))
    }
    table[target] = weight
    return table
