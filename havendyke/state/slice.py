"""A slice of the key space and its routing table."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from hashlib import blake2b
from typing import TYPE_CHECKING

from ..interface import ServerState
from .histogram import DecayingHistogram
from .rendezvous import DIGEST_BYTES
from .server import NEVER_MS

if TYPE_CHECKING:
    from .push import Push
    from .server import Server


class Slice:
    """A slice: its published and desired tables, as weights by server, and its demand.

    A deployment without slices has shared tables of this type instead; `zone` is set for a table of
    the request classes that must stay in their zone.
    """

    def __init__(self, slice_id: int, request_class_count: int) -> None:
        self.id = slice_id
        self.hash_prefix = blake2b(f"{slice_id}/".encode(), digest_size=DIGEST_BYTES)
        self.zone: int | None = None
        self.assigned = False
        self.assigned_ms = NEVER_MS
        self.observed_since_ms = NEVER_MS  # when its load reports began
        self.published: dict[Server, float] = {}
        self.desired: dict[Server, float] = {}
        self.requests = DecayingHistogram(request_class_count)  # one bin per class
        self.demand: float | None = None  # relative to the mean; None before the first estimate
        self.migrated_ms = NEVER_MS
        # The last push that changed the table; None after a migration or an assignment, until
        # the next push changes it.
        self.last_push_serial: int | None = None
        # Exclusive ownership: the push that emptied the table, until an endpoint is published.
        self.clearing_push: Push | None = None

    def primary(self) -> Server | None:
        """The server with the largest desired weight."""
        return max(self.desired, key=self.desired.__getitem__) if self.desired else None

    def is_published(self) -> bool:
        """Whether each desired entry is published with its weight; others may be published too."""
        published = self.published
        return all(published.get(server) == weight for server, weight in self.desired.items())

    def share_if_unejected(self, server: Server) -> float:
        """The share of the slice that an ejected server would receive if it were unejected."""
        weight = self.published.get(server, 0.0)
        if not weight:
            return weight
        return weight / (weight + sum(w for s, w in self.published.items() if not s.ejected))


def unreferenced_servers(servers: Iterable[Server], slices: Iterable[Slice]) -> list[Server]:
    """Servers that are not in the endpoint list and in no table."""
    referenced = {
        server
        for slice_ in slices
        for table in (slice_.published, slice_.desired)
        for server in table
    }
    return [
        server
        for server in servers
        if (server.state is None or server.state == ServerState.GONE) and server not in referenced
    ]


def slices_by_server(slices: Iterable[Slice]) -> dict[Server, list[Slice]]:
    """Maps each server to the assigned slices whose published tables contain it."""
    slices_of: dict[Server, list[Slice]] = defaultdict(list)
    for slice_ in slices:
        if slice_.assigned:
            for server in slice_.published:
                slices_of[server].append(slice_)
    return slices_of
