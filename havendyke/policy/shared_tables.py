"""Tables for deployments without slices.

One table serves all request classes; one per zone serves the classes limited to their own zone.
"""

from collections.abc import Iterable

from ..interface import BindTable, Settings
from ..state import HEALTHY, UNAVAILABLE, WARMING_UP, ObservedState, Proxy, Server

# Weights are multiples of an eighth of a server's size, so that small changes of capacity cause no
# push.
WEIGHT_STEPS = 8
# A server that warms up is added to the tables once its guaranteed capacity exceeds this share of
# its size.
MIN_WARM_UP_SHARE = 0.3


class SharedTables:
    """Fills the tables of a deployment without slices, and binds them to proxies.

    These tables are the first slices of the observed state. Load reports may add further slices,
    which are filled the same way but bound to no proxy.
    """

    def __init__(self, settings: Settings, observed: ObservedState) -> None:
        self._slices = observed.slices
        self._zonal_classes = tuple(
            k for k, c in enumerate(settings.request_classes) if c.own_zone_only
        )
        if settings.slice_count:
            return
        _add_table(observed, 0, None)
        if self._zonal_classes:
            for zone in range(settings.zone_count):
                _add_table(observed, 1 + zone, zone)

    @property
    def entry_count(self) -> int:
        """The number of desired entries in all tables."""
        return sum(len(table.desired) for table in self._slices)

    def plan(self, servers: Iterable[Server]) -> None:
        """Fills the tables with all usable servers, weighted by capacity in coarse steps."""
        usable = [server for server in servers if server.health > UNAVAILABLE]
        for table in self._slices:
            in_zone = [server for server in usable if table.zone in (None, server.zone)]
            preferred = [server for server in in_zone if _is_preferred(server)] or in_zone
            table.desired = {server: _weight(server) for server in preferred}

    def bindings(self, proxy: Proxy) -> list[BindTable]:
        """Returns the orders that bind a proxy to its tables."""
        bindings = [BindTable(proxy, self._slices[0], ())]
        if self._zonal_classes:
            for table in self._slices[1 + proxy.zone : 2 + proxy.zone]:
                bindings.append(BindTable(proxy, table, self._zonal_classes))
        return bindings


def _add_table(observed: ObservedState, table_id: int, zone: int | None) -> None:
    table = observed.add_slice(table_id)
    table.assigned = True
    table.zone = zone


def _is_preferred(server: Server) -> bool:
    return server.health == HEALTHY or (
        server.health == WARMING_UP and server.guaranteed_capacity > MIN_WARM_UP_SHARE * server.size
    )


def _weight(server: Server) -> float:
    steps = max(1, round(WEIGHT_STEPS * server.capacity / server.size))
    return steps / WEIGHT_STEPS * server.size
