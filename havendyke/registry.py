"""Maps ids from the wire to the controller's objects; the controller never looks up an id."""

from collections.abc import Callable, Hashable
from typing import TypeVar

from .interface import Event, Order, Settings
from .policy import Controller
from .state import Proxy, Server, Slice, unreferenced_servers

Id = TypeVar("Id", bound=Hashable)
Object = TypeVar("Object")


class ObjectRegistry:
    """A controller, its objects by id, and the events pending for its next reconciliation.

    `seed` determines all random choices of the controller.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.controller = Controller(settings, seed)
        self.servers: dict[str, Server] = {}
        self.slices: dict[int, Slice] = {}
        self.proxies: dict[int, Proxy] = {}
        # Ids of servers removed while ejected, oldest first; `recovery` adds persisted ones.
        self.ejected_ids: dict[str, None] = {}
        self.pending_events: list[Event] = []

    def server(self, server_id: str) -> Server:
        """Returns the server with this id, adding it if the id is new."""
        if server_id in self.servers:
            return self.servers[server_id]
        server = self.controller.add_server(server_id)
        self.servers[server_id] = server
        if server_id in self.ejected_ids:
            # Proxies still apply the ejection; it must be revoked before the server is used.
            del self.ejected_ids[server_id]
            server.ejection_unconfirmed = server.ever_ejected = True
        return server

    def slice(self, slice_id: int) -> Slice:
        """Returns the slice with this id, adding it if the id is new."""
        return _get_or_add(self.slices, slice_id, self.controller.add_slice)

    def proxy(self, proxy_id: int) -> Proxy:
        """Returns the proxy with this id, adding it if the id is new."""
        return _get_or_add(self.proxies, proxy_id, self.controller.add_proxy)

    def remove_unreferenced_servers(self, max_ejected_ids: int) -> list[Server]:
        """Removes and returns the servers that neither the endpoint list nor any table contains.

        The adapter calls this periodically, since the cost of a reconciliation grows with the
        number of servers. The ids of ejected servers are kept, at most the latest
        `max_ejected_ids`.
        """
        # A pending event may still refer to an otherwise unreferenced server.
        if self.pending_events:
            return []
        removed = unreferenced_servers(self.controller.servers, self.controller.slices)
        for server in removed:
            self.controller.servers.remove(server)
            del self.servers[server.id]
            # A proxy that is away may have missed the end of an earlier ejection.
            if server.ejected or server.ever_ejected or server.ejection_unconfirmed:
                self.ejected_ids[server.id] = None
        while len(self.ejected_ids) > max_ejected_ids:
            del self.ejected_ids[next(iter(self.ejected_ids))]
        return removed

    def reconcile(self, now_ms: float) -> list[Order]:
        """Passes the pending events to the controller and returns its orders."""
        events, self.pending_events = self.pending_events, []
        return self.controller.reconcile(now_ms, events)


def _get_or_add(objects: dict[Id, Object], object_id: Id, add: Callable[[Id], Object]) -> Object:
    if object_id not in objects:
        objects[object_id] = add(object_id)
    return objects[object_id]
