"""Case 1: an assigner is cut off in a hand-over; another one has its slices meanwhile."""

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from suva import (  # noqa: E402
    DRAIN_S,
    PROXIES,
    REQUESTS_PER_S,
    SERVERS,
    SERVICE_MU,
    SETTINGS,
    SLICES,
    choose,
    proxies,
    servers,
    tables,
)
from world import HOST, NotRunError, Proxy, World, reset, run_case  # noqa: E402

# Two batches of a rolling deploy, and the time between them.
BATCHES = (("t-00", "t-01"), ("t-02", "t-03"))
BATCH_INTERVAL_S = 3.0
HOT_SLICES = (0, 1, 33)  # of the first assigner, on servers of the first batch
CUT_AFTER_BATCH_S = 0.3
CUT_S = 6.0
TAKEOVER_S = 1.0
REDIAL_S = (0.14, 0.7)
READ_STORE_S = (0.084, 0.41)


class Site(World):
    """The platform as one of two assigners meets it; servers, store and tables are shared."""

    other: "Site"
    service_mu = SERVICE_MU

    def __init__(self, index: int, first: "Site | None" = None) -> None:
        super().__init__({**SETTINGS, "balancers": 2, "me": index}, servers(), proxies(), seed=54)
        self.name = f"n{index + 1}"
        self.slices = {k for k in range(SLICES) if k // SERVERS % 2 == index}
        self.home = set(self.slices)
        self.lease_ends: dict[tuple[int, int], float] = {}  # proxy, slice: no writes from then on
        self.open_connections: set[asyncio.StreamWriter] = set()
        self.fillers: list[socket.socket] = []
        self.accepting: asyncio.Task
        self.listener = socket.create_server((HOST, self.relay_port), backlog=8)
        self.listener.setblocking(False)
        if first is None:
            self.store = tables(list(self.servers))
            return
        self.store, self.servers, self.rng = first.store, first.servers, first.rng
        self.violations, self.latest_epoch = first.violations, first.latest_epoch
        self.epochs, self.lease_ends = first.epochs, first.lease_ends
        for own, same in zip(self.proxies, first.proxies, strict=True):
            own.tables = same.tables

    def charge(self) -> list[int]:
        """The slices in this assigner's charge."""
        return sorted(self.slices)

    async def open_relay(self) -> None:
        """Opens the relay's address, which can be cut off."""
        self.accepting = asyncio.get_running_loop().create_task(self.accept())

    async def accept(self) -> None:
        """Accepts the assigner's connections."""
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=sock)
            self.open_connections.add(writer)
            self.spawn(self.serve_relay(reader, writer))

    def cut(self) -> None:
        """The assigner's zone is cut off from the relay and the proxies.

        Open connections fall silent. New ones never come up: nobody accepts, and connections of
        the stand-in fill the queue of the listener.
        """
        self.record(f"trouble: {self.name} is cut off")
        self.accepting.cancel()
        self.cut_connections |= self.open_connections
        self.watches.clear()
        for _ in range(12):
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            with contextlib.suppress(OSError):
                filler.connect((HOST, self.relay_port))
        for proxy in self.proxies:
            proxy.joined = False
        self.end_leases(self.slices)

    def heal(self) -> None:
        """The link is back: what was open is reset, and the proxies dial again."""
        self.record(f"trouble: {self.name} is back")
        for filler in self.fillers:
            filler.close()
        for writer in self.cut_connections:
            reset(writer)
        self.cut_connections.clear()
        self.open_connections.clear()
        self.accepting = asyncio.get_running_loop().create_task(self.accept())
        for proxy in self.proxies:
            asyncio.get_running_loop().call_later(self.rng.uniform(*REDIAL_S), self.join, proxy)

    def give(self, slices: set[int]) -> None:
        """The store gives slices into this assigner's charge; proxies read them again."""
        self.record(f"store: gives {len(slices)} slices to {self.name}")
        self.slices |= slices
        for slice_id in sorted(slices):
            self.news("GRANT", partition=slice_id, yes=True)
            for name, (share, _) in self.store[slice_id].items():
                self.news("ROW", partition=slice_id, host=name, share=share)
        for proxy in self.proxies:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(*READ_STORE_S), self.read_store, proxy, proxy.stream
            )

    def take(self, slices: set[int]) -> None:
        """The store takes slices away: they change hands."""
        self.record(f"store: takes {len(slices)} slices from {self.name}")
        self.slices -= slices
        for slice_id in sorted(slices):
            self.news("GRANT", partition=slice_id, yes=False)
        self.end_leases(slices)

    def end_leases(self, slices: set[int]) -> None:
        """Proxies write for the lease more, then not before they have read the store."""
        end = self.now() + self.seconds("lease")
        for proxy in self.proxies:
            self.lease_ends |= {(proxy.number, slice_id): end for slice_id in slices}

    def read_store(self, proxy: Proxy, stream: int) -> None:
        """As `World.read_store`; the proxy may write again."""
        super().read_store(proxy, stream)
        if proxy.joined and proxy.stream == stream:
            for slice_id in self.slices:
                self.lease_ends.pop((proxy.number, slice_id), None)

    def may_write(self, proxy: Proxy, slice_id: int) -> bool:
        """Whether the proxy sends writes of the slice now."""
        end = self.lease_ends.get((proxy.number, slice_id))
        return end is None or self.now() < end

    def end(self) -> None:
        """Ends what belongs to this assigner."""
        self.accepting.cancel()
        self.listener.close()
        super().end()


def build_world() -> Site:
    """Sixteen servers, twelve proxies and eighty slices of two assigners."""
    first = Site(0)
    first.other = Site(1, first)
    return first


async def clients(sites: list[Site], number: int) -> None:
    """The clients of one proxy."""
    rng = sites[0].rng
    while True:
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S / PROXIES))
        slice_id, write = choose(rng, HOT_SLICES)
        site = sites[0] if slice_id in sites[0].slices else sites[1]
        site.spawn_request(site.proxies[number], slice_id, write)


async def scenario(first: Site, trouble: bool) -> None:
    """Batches of servers drain; the first assigner's zone is cut off for six seconds."""
    second = first.other
    second.record, second.scratch = first.record, first.scratch
    try:
        await play([first, second], trouble)
    finally:
        second.end()


def tell(sites: list[Site], names: tuple[str, ...], state: str) -> None:
    """Discovery tells both assigners; a terminated server no longer runs."""
    for site in sites:
        site.list_change(names, state)
    for name in names if state == "terminated" else ():
        sites[0].servers[name].running = False


async def cut_and_heal(first: Site, second: Site) -> None:
    """A partition of the first assigner's zone; the store gives its slices to the second."""
    first.cut()
    await asyncio.sleep(TAKEOVER_S)
    first.slices = set()
    second.give(set(first.home))
    await asyncio.sleep(CUT_S - TAKEOVER_S)
    second.take(set(first.home))
    first.slices = set(first.home)
    first.heal()


async def play(sites: list[Site], trouble: bool) -> None:
    """The course of the case."""
    first, second = sites
    for site in sites:
        await site.open()
        site.start_assigner(site.scratch)
    for site in sites:
        await site.assigner_ready()
        for proxy in site.proxies:
            site.join(proxy)
    await asyncio.sleep(1.0)
    for number in range(PROXIES):
        first.spawn(clients(sites, number))
    await asyncio.sleep(6.0)
    loop = asyncio.get_running_loop()
    for index, batch in enumerate(BATCHES):
        for after_s, state in ((0.0, "terminating"), (DRAIN_S, "terminated")):
            loop.call_later(index * BATCH_INTERVAL_S + after_s, tell, sites, batch, state)
    await asyncio.sleep(BATCH_INTERVAL_S + CUT_AFTER_BATCH_S)
    if trouble:
        first.spawn(cut_and_heal(first, second))
    await asyncio.sleep(CUT_S + 8.0)
    if any(process.poll() is not None for site in sites for process in site.processes):
        raise NotRunError("an assigner has ended")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, build_world, scenario))
