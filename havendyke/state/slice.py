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
    """One slice: its published and its desired table, both weights by server, and its demand.

    Without slices a deployment has shared tables of this type instead; `zone` is set where a table
    serves the request classes that stay in their zone.
    """

    def __init__(self, ident: int, request_class_count: int) -> None:
        self.id = ident
        self.hash_prefix = blake2b(f"{ident}/".encode(), digest_size=DIGEST_BYTES)
        self.zone: int | None = None
        self.assigned = False
        self.assigned_ms = NEVER_MS
        self.published: dict[Server, float] = {}
        self.desired: dict[Server, float] = {}
        self.requests = DecayingHistogram(request_class_count)  # a bin for each class
        self.demand: float | None = None  # 1 for the mean; None before the first estimate
        self.migrated_ms = NEVER_MS
        # Serial of the last push that changed the table; None after a migration or an assignment,
        # until the next push changes it.
        self.last_push_serial: int | None = None
        # Exclusive ownership: the push that removed the endpoint, until another one is published.
        self.clearing_push: Push | None = None

    def primary(self) -> Server | None:
        """The server with the largest desired weight."""
        return max(self.desired, key=self.desired.__getitem__) if self.desired else None

    def is_published(self) -> bool:
        """Whether each desired endpoint is published with its weight; further ones may be."""
        published = self.published
        return all(published.get(server) == weight for server, weight in self.desired.items())

    def share_if_unejected(self, server: Server) -> float:
        """The share of the slice that an ejected server would get if it were unejected."""
        weight = self.published.get(server, 0.0)
        if not weight:
            return weight
        return weight / (weight + sum(w for s, w in self.published.items() if not s.ejected))


def unreferenced_servers(servers: Iterable[Server], slices: Iterable[Slice]) -> list[Server]:
    """The servers that the endpoint list no longer has and no table names."""
    named = {
        server
        for slice_ in slices
        for table in (slice_.published, slice_.desired)
        for server in table
    }
    return [
        server
        for server in servers
        if (server.state is None or server.state == ServerState.GONE) and server not in named
    ]


def slices_by_server(slices: Iterable[Slice]) -> dict[Server, list[Slice]]:
    """The assigned slices whose published tables name a server, by server."""
    found: dict[Server, list[Slice]] = defaultdict(list)
    for slice_ in slices:
        if slice_.assigned:
            for server in slice_.published:
                found[server].append(slice_)
    return found
