"""Limits the load of each server, and ranks servers for a slice by rendezvous hashing."""

from collections.abc import Iterable
from math import log

from ..state import HEALTHY, WARMING_UP, Server, Slice, rendezvous_hash
from .slow_start import SlowStart

# A server may carry this multiple of its fair share.
MAX_FAIR_SHARES = 1.25
# Lower bound of capacities and divisors, since a server's capacity may be 0.
MIN_CAPACITY = 1e-6
# Load per capacity while no server is usable; sets no limit.
NO_CAPACITY_LOAD = 1e9


class LoadLimits:
    """Owns `load_per_capacity`: the load per unit of capacity at equal utilization of all servers.

    Loads are in units of demand.
    """

    def __init__(self, slow_start: SlowStart) -> None:
        self._slow_start = slow_start
        self.load_per_capacity = NO_CAPACITY_LOAD

    def update(self, servers: Iterable[Server], total_demand: float) -> None:
        """Divides the total demand by the usable capacity."""
        usable = sum(server.capacity for server in servers if server.health >= WARMING_UP)
        self.load_per_capacity = total_demand / usable if usable else NO_CAPACITY_LOAD

    def utilization(self, server: Server, additional_load: float = 0.0) -> float:
        """Returns the server's load, plus the additional load, in fair shares."""
        load = server.assigned_load + additional_load
        return load / max(self.load_per_capacity * server.capacity, MIN_CAPACITY)

    def admissible_load(self, server: Server, fair_shares: float = MAX_FAIR_SHARES) -> float:
        """Returns the load that the server may carry by slow start, or by its fair share."""
        if server.health == WARMING_UP:
            load = self._slow_start.admissible_load(server)
        else:
            load = fair_shares * self.load_per_capacity * server.capacity
        if server.rounding_offset is None:
            return load
        # One controller's share of a server is about one slice. Each controller rounds it to whole
        # slices with an offset of its own; with a common one, all controllers together would
        # overload the server or leave it empty.
        return int(load + server.rounding_offset)

    def fits(self, server: Server, demand: float, fair_shares: float) -> bool:
        """Whether the server may take on this demand."""
        if server.health == WARMING_UP:
            return self._fits_while_warming_up(server, demand)
        return server.health > WARMING_UP and server.assigned_load + demand <= self.admissible_load(
            server, fair_shares
        )

    def _fits_while_warming_up(self, server: Server, demand: float) -> bool:
        limit = self._slow_start.additional_load_limit(server)
        if server.rounding_offset is not None:
            limit = int(limit + server.rounding_offset)
        return (
            server.assigned_load + demand <= limit
            and not self._slow_start.leaves_checks_unanswered(server)
        )

    def may_take_oversized(self, server: Server, demand: float) -> bool:
        """Whether an unused server may take one slice that exceeds any server's share.

        Without this exception, all such slices would go to the largest server.
        """
        return (
            server.health == HEALTHY
            and not server.assigned_slices
            and self.load_per_capacity * server.capacity < demand
        )


def rendezvous_score(slice_: Slice, server: Server) -> float:
    """Returns the weighted rendezvous score; the server with the highest one is chosen."""
    return -max(server.capacity, MIN_CAPACITY) / log(rendezvous_hash(slice_, server))
