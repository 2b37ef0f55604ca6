"""Migration of a slice from one server to another."""

from ..state import HEALTHY, Server, Slice
from .demand import demand_of

# A weight up to this is one that a snapshot has rounded to nothing; a primary needs a larger one.
MIN_WEIGHT = 1e-6
PRIMARY_WEIGHT = 1.0
# Migrations; the planner replaces it before the first that is limited.
INITIAL_BUDGET = 9.0


class SliceMigrator:
    """Changes the primary server of slices, and counts each migration against a budget."""

    def __init__(self) -> None:
        # Migrations that the push has room for. The planner sets it after failover, which it does
        # not limit; restoring ejected servers ignores it and may take it below 0.
        self.budget = INITIAL_BUDGET

    def migrate(self, slice_: Slice, target: Server | None, now_ms: float) -> None:
        """Makes `target` the primary; None leaves the slice without a server."""
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
    # A standby that takes over keeps its weight: each entry saved covers another slice in time.
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
