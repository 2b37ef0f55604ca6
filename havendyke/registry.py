"""Ids become the controller's objects here, once for each id; nothing behind it looks up an id."""

from collections.abc import Callable, Hashable
from typing import TypeVar

from .interface import Event, Order, Settings
from .policy import Controller
from .state import Proxy, Server, Slice, departed

Id = TypeVar("Id", bound=Hashable)
Object = TypeVar("Object")


class ObjectRegistry:
    """One controller, its objects by id, and the events that wait for its next reconciliation.

    The seed decides all random choices of the controller.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.controller = Controller(settings, seed)
        self.servers: dict[str, Server] = {}
        self.slices: dict[int, Slice] = {}
        self.proxies: dict[int, Proxy] = {}
        # Ids that were forgotten while ejected, oldest first; `recovery` adds persisted ones.
        self.ejected_ids: dict[str, None] = {}
        self.pending_events: list[Event] = []

    def server(self, ident: str) -> Server:
        """The server of an id, made when the id is new."""
        if ident in self.servers:
            return self.servers[ident]
        server = self.controller.add_server(ident)
        self.servers[ident] = server
        if ident in self.ejected_ids:
            # The proxies still hold the ejection: it must be lifted before the server is used.
            del self.ejected_ids[ident]
            server.ejection_unconfirmed = server.ever_ejected = True
        return server

    def slice(self, ident: int) -> Slice:
        """The slice of an id, made when the id is new."""
        return _get_or_add(self.slices, ident, self.controller.add_slice)

    def proxy(self, ident: int) -> Proxy:
        """The proxy of an id, made when the id is new."""
        return _get_or_add(self.proxies, ident, self.controller.add_proxy)

    def remove_unreferenced_servers(self, max_ejected_ids: int) -> list[Server]:
        """Removes and returns the servers that no list and no table names any more.

        The adapter calls this at intervals, since the cost of a reconciliation grows with the
        number of servers. Of the ids that left while ejected, the last `max_ejected_ids` are
        remembered.
        """
        # A pending event may refer to a server that no table and no list names.
        if self.pending_events:
            return []
        gone = departed(self.controller.servers, self.controller.slices)
        for server in gone:
            self.controller.servers.remove(server)
            del self.servers[server.id]
            if server.ejected or server.ejection_unconfirmed:
                self.ejected_ids[server.id] = None
        while len(self.ejected_ids) > max_ejected_ids:
            del self.ejected_ids[next(iter(self.ejected_ids))]
        return gone

    def reconcile(self, now_ms: float) -> list[Order]:
        """Hands the pending events to the controller and returns its orders."""
        events, self.pending_events = self.pending_events, []
        return self.controller.reconcile(now_ms, events)


def _get_or_add(objects: dict[Id, Object], ident: Id, add: Callable[[Id], Object]) -> Object:
    if ident not in objects:
        objects[ident] = add(ident)
    return objects[ident]
