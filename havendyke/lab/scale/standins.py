"""The laboratory's relay and discovery for scale runs.

The relay measures how long a removed task stays in the proxies' tables."""

from ..peers import Discovery, Relay
from .fleet import CHANNEL_RATE_PER_PROXY, MEAN_PUSH_DELAY_MS
from .size import ZONE_NAMES

MESSAGE_OVERHEAD_ENTRIES = 8.0  # cost of a message, in table entries


class ScaleRelay(Relay):
    """A relay with proxies in all zones.

    Each proxy applies a push after the transmission time on the channel and its own delay."""

    def __init__(self, simulation, store, proxies):
        super().__init__(simulation, store, proxies)
        self.removal_started_ms, self.removal_times_ms = {}, []
        self.ejected_hosts, self.order_count = set(), 0

    def proxy_zone(self, proxy: int) -> str:
        return ZONE_NAMES[proxy % self.simulation.fleet.size.zones]

    def notify_connected(self, proxy, to=None):
        share = (
            self.simulation.fleet.requests_per_slice()
            * self.simulation.fleet.size.slices
            / len(self.ejected)
        )
        self.notify(
            "SUBSCRIBE",
            to,
            sidecar=proxy,
            az=self.proxy_zone(proxy),
            share=round(share, 2),
            standing=not self.ejected[proxy],
        )

    def track_removal(self, names: list):
        """Starts to time the removal of these tasks from the proxies' tables that contain them."""
        in_tables = {host for slice_id in self.assigned_slices for host in self.store[slice_id]}
        for name in in_tables.intersection(names) - self.ejected_hosts:
            self.removal_started_ms.setdefault(name, self.simulation.now_ms())

    def apply_orders(self, orders):
        super().apply_orders(orders)
        self.order_count += len(orders)
        for order in orders:
            if order["op"] in ("OUT", "IN"):
                (self.ejected_hosts.add if order["op"] == "OUT" else self.ejected_hosts.discard)(
                    order["host"]
                )
        if not self.removal_started_ms:
            return
        in_tables = {
            host for slice_id in self.assigned_slices for host in self.store[slice_id]
        } - self.ejected_hosts
        for name in [n for n in self.removal_started_ms if n not in in_tables]:
            self.removal_times_ms.append(
                self.simulation.now_ms()
                - self.removal_started_ms.pop(name)
                + self.last_proxy_delay_ms(len(orders))
            )

    def last_proxy_delay_ms(self, entries: int) -> float:
        """From the call until the last proxy has applied it: the transmission time on the channel,
        then the longest delay of a proxy."""
        delays_ms = [
            self.simulation.rng.uniform(0.5, 1.5) * MEAN_PUSH_DELAY_MS
            for _ in self.connected_proxies
        ]
        return 1000.0 * (entries + MESSAGE_OVERHEAD_ENTRIES) / CHANNEL_RATE_PER_PROXY + max(
            delays_ms, default=0.0
        )


class ScaleDiscovery(Discovery):
    """Discovery that encodes the whole list once per version instead of once per request."""

    def __init__(self, simulation, entries):
        super().__init__(simulation, entries)
        self.cached_list = None

    def list_body(self, complete, since=-1):
        if not complete:
            return super().list_body(complete, since)
        if self.cached_list is None or self.cached_list[0] != self.version:
            self.cached_list = (self.version, super().list_body(complete))
        return self.cached_list[1]
