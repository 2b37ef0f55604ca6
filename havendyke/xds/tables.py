"""The tables of slices as resources, in plain bodies; no I/O.

A server is a cluster of its own with one endpoint. A slice is a virtual host that spreads its
requests over clusters by weight. A changed table entry changes one virtual host. An ejection
changes the health of one endpoint, however many slices contain the server, as the controller's own
orders do. `wire` encodes the bodies.
"""

from collections.abc import Callable, Iterable, Mapping

import orjson

from .. import interface as core
from .resources import CLUSTER, ENDPOINTS, VIRTUAL_HOSTS, Resource, Snapshot, make_resource

SORT_KEYS = orjson.OPT_SORT_KEYS


class TableResources:
    """The published tables of one controller's slices, as its orders leave them.

    `address_of` returns a server's host:port.
    """

    def __init__(self, address_of: Callable[[str], str]) -> None:
        self.address_of = address_of
        self.snapshot = Snapshot()
        self.tables: dict[int, dict[str, float]] = {}  # {slice id: {server id: weight}}
        self.ejected: set[str] = set()

    def _virtual_host(self, slice_id: int) -> tuple[str, Resource]:
        """A slice's virtual host, with weights in thousandths of their sum.

        A weight is at least 1, since the smallest entry, a standby's, stays in the table.
        """
        weights = {s: weight for s, weight in self.tables.get(slice_id, {}).items() if weight > 0}
        total = sum(weights.values())
        body = {s: max(1, round(1000 * weight / total)) for s, weight in weights.items()}
        return VIRTUAL_HOSTS, make_resource(
            f"slice/{slice_id}",
            orjson.dumps(body, option=SORT_KEYS),
            [(CLUSTER, server_id) for server_id in sorted(body)],
        )

    def _server_resources(self, server_id: str) -> list[tuple[str, Resource]]:
        """A server's cluster and endpoint; an ejected server stays in the tables as draining."""
        health = "draining" if server_id in self.ejected else "healthy"
        return [
            (CLUSTER, make_resource(server_id, b"cluster")),
            (
                ENDPOINTS,
                make_resource(
                    server_id,
                    orjson.dumps([self.address_of(server_id), health]),
                    [(CLUSTER, server_id)],
                ),
            ),
        ]

    def _servers_in_use(self) -> set[str]:
        return {
            s for weights in self.tables.values() for s, weight in weights.items() if weight > 0
        }

    def set_table(self, slice_id: int, weights: Mapping[str, float], push_nonce: int) -> Snapshot:
        """Replaces a slice's table; returns the next snapshot."""
        self.tables[slice_id] = dict(weights)
        return self._update_snapshot({slice_id}, set(), push_nonce)

    def apply_orders(self, orders: Iterable[core.Order]) -> Snapshot:
        """Returns the snapshot after the orders, with their nonce or else the previous one."""
        slice_ids: set[int] = set()
        server_ids: set[str] = set()
        push_nonce = self.snapshot.push_nonce
        for order in orders:
            match order:
                case core.SetEndpointWeight():
                    weights = self.tables.setdefault(order.slice.id, {})
                    weights[order.server.id] = order.weight
                    if not order.weight:
                        del weights[order.server.id]
                    slice_ids.add(order.slice.id)
                case core.ClearTable():
                    self.tables[order.slice.id] = {}
                    slice_ids.add(order.slice.id)
                case core.SetEjection():
                    (self.ejected.add if order.ejected else self.ejected.discard)(order.server.id)
                    server_ids.add(order.server.id)
                case core.RequestAcknowledgement():
                    push_nonce = order.nonce
        return self._update_snapshot(slice_ids, server_ids, push_nonce)

    def _update_snapshot(
        self, slice_ids: set[int], server_ids: set[str], push_nonce: int
    ) -> Snapshot:
        """Rebuilds the resources of these slices and servers; removes clusters no longer in use."""
        in_use = self._servers_in_use()
        present = set(self.snapshot.names(CLUSTER))
        updated = [
            item
            for server_id in sorted((in_use - present) | (server_ids & in_use))
            for item in self._server_resources(server_id)
        ]
        updated += [self._virtual_host(slice_id) for slice_id in sorted(slice_ids)]
        removed = [
            (resource_type, server_id)
            for server_id in sorted(present - in_use)
            for resource_type in (ENDPOINTS, CLUSTER)
        ]
        self.snapshot = self.snapshot.with_changes(push_nonce, updated, removed)
        return self.snapshot
