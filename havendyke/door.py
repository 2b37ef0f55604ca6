"""Ids become the controller's objects here, once for each id; behind the door nobody knows an id."""
from .interface import Settings
from .rules import Controller


class Door:
    """One controller, the ids of what it knows, and what has come in for its next turn."""

    def __init__(self, settings: Settings, seed: int):
        self.controller = Controller(settings, seed)
        self.servers, self.slices, self.proxies = {}, {}, {}
        self.inbox = []

    @staticmethod
    def one(kind, make, ident):
        if ident not in kind:
            kind[ident] = make(ident)
        return kind[ident]

    def server(self, ident: str):
        return self.one(self.servers, self.controller.server, ident)

    def slice(self, ident: int):
        return self.one(self.slices, self.controller.slice, ident)

    def proxy(self, ident: int):
        return self.one(self.proxies, self.controller.proxy, ident)

    def turn(self, now: float) -> list:
        events, self.inbox = self.inbox, []
        return self.controller.turn(now, events)
