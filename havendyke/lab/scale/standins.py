"""The laboratory's relay and discovery, told to measure: how long a change takes to its last proxy,
by zone and size."""

from ..peers import Discovery, Relay
from .fleet import LINES_A_PROXY, PUSH_MS
from .size import ZONE_NAMES

HEAD_LINES = 8.0  # that a message costs beside its own lines


class ScaleRelay(Relay):
    """Proxies lie in all zones, and each carries out what it was told once the channel and its way
    allow."""

    def __init__(self, simulation, store, proxies):
        super().__init__(simulation, store, proxies)
        self.waits, self.taken_ms, self.shut_out, self.orders = {}, [], set(), 0

    def zone(self, proxy: int) -> str:
        return ZONE_NAMES[proxy % self.simulation.fleet.size.zones]

    def notify_connected(self, proxy, to=None):
        share = (
            self.simulation.fleet.requests() * self.simulation.fleet.size.slices / len(self.ejected)
        )
        self.notify(
            "SUBSCRIBE",
            to,
            sidecar=proxy,
            az=self.zone(proxy),
            share=round(share, 2),
            standing=not self.ejected[proxy],
        )

    def changed(self, names: list):
        """From now on these tasks must leave the proxies' tables, where they are in them."""
        used = {host for piece in self.assigned_slices for host in self.store[piece]}
        for name in used.intersection(names) - self.shut_out:
            self.waits.setdefault(name, self.simulation.now())

    def apply_orders(self, orders):
        super().apply_orders(orders)
        self.orders += len(orders)
        for order in orders:
            if order["op"] in ("OUT", "IN"):
                (self.shut_out.add if order["op"] == "OUT" else self.shut_out.discard)(
                    order["host"]
                )
        if not self.waits:
            return
        used = {
            host for piece in self.assigned_slices for host in self.store[piece]
        } - self.shut_out
        for name in [n for n in self.waits if n not in used]:
            self.taken_ms.append(
                self.simulation.now() - self.waits.pop(name) + self.last_proxy(len(orders))
            )

    def last_proxy(self, lines: int) -> float:
        """From the call to the proxy that applies it last: the channel's pace, then the slowest way
        of all."""
        ways = [self.simulation.chance.uniform(0.5, 1.5) * PUSH_MS for _ in self.connected_proxies]
        return 1000.0 * (lines + HEAD_LINES) / LINES_A_PROXY + max(ways, default=0.0)


class ScaleRegistry(Discovery):
    """Discovery's agent. The list's words are made once for each version, not once for each that
    asks."""

    def __init__(self, simulation, entries):
        super().__init__(simulation, entries)
        self.made = None

    def list_body(self, whole, since=-1):
        if not whole:
            return super().list_body(whole, since)
        if self.made is None or self.made[0] != self.version:
            self.made = (self.version, super().list_body(whole))
        return self.made[1]
