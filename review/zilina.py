"""A small deployment like hroncok-zilina: its settings, servers with health checks, and rule 1.

Figures are those of the site file and of the wire page's example, or lie inside their ranges.
"""

import asyncio
import json
import time

from world import HOST, Proxy, Server, World, free_port, reset

MS, S = 1_000_000, 1_000_000_000
ZONES = ["zilina", "martin", "ruzomberok"]
SERVERS, PROXIES, SLICES = 15, 6, 80
REQUESTS_PER_S = 100
WRITE_SHARE = 0.3
SLACK_S = 0.3  # the time limits on sockets are longer by this

SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zone": 0,
    "localities": ZONES,
    "kinds": ["m1"],
    "weightKind": "nominal",
    "registryMode": "push",
    "requestClasses": [
        {"name": "read-status", "promise": S, "hardLimit": 3 * S, "repeat": "pure"},
        {
            "name": "log-service",
            "promise": 2500 * MS,
            "hardLimit": 6 * S,
            "repeat": "side_effect",
        },
    ],
    "familyInfo": {
        "keyRanges": SLICES,
        "dataPlaneSize": PROXIES,
        "oneOwner": False,
        "lease": 1500 * MS,
        "lingers": 6020 * MS,
        "emptyFor": 3800 * MS,
        "channelRate": 2100.0,
        "pendingMax": 4200.0,
        "overhead": 8.0,
        "pushDelay": 290 * MS,
        "lateMost": 725 * MS,
        "interval": 500 * MS,
        "ingestRate": 250.0,
        "throttleBy": "share",
        "waitsForTable": 200 * MS,
        "updateCap": 0,
        "strikes": 8,
    },
    "limits": {"probes": True, "connectTimeout": 250 * MS, "connIdle": 15 * S},
    "obligations": {
        "cold": 10 * S,
        "coldFrom": 0.16,
        "drainGrace": 3400 * MS,
        "overloadFactor": 3.0,
        "fall": 1500 * MS,
    },
    "telemetry": {"source": "answers", "names": ["depth", "mean_ms"]},
}


class Zilina(World):
    """The platform, with servers that answer health checks, and a check of rule 1."""

    def __init__(self) -> None:
        servers = [Server(f"d-{k:02}", ZONES[k % 3]) for k in range(SERVERS)]
        proxies = [Proxy(k, ZONES[k % 3]) for k in range(PROXIES)]
        super().__init__(SETTINGS, servers, proxies, seed=54)
        self.ports: dict[str, int] = {}
        for slice_id in range(SLICES):
            self.store[slice_id] = {servers[slice_id % SERVERS].name: (1.0, 0)}
        self.empty_since: dict[tuple[int, int], float] = {}
        self.reported: set[tuple[int, int]] = set()

    async def open(self) -> None:
        """As `World.open`, and the servers' addresses."""
        for server in self.servers.values():
            await self.open_server(server)
        await super().open()
        self.spawn(self.watch_tables())

    async def open_server(self, server: Server) -> None:
        """Opens a server's address."""
        self.ports[server.name] = free_port()

        async def answer(reader, writer) -> None:
            try:
                if not server.running:
                    reset(writer)
                    return
                await reader.readuntil(b"\r\n\r\n")
                if server.state == "in_service":
                    body = b"TEXT queue=0, latency_ms=140.0"
                    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                    writer.write(head + body)
                else:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                writer.close()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()

        await asyncio.start_server(answer, HOST, self.ports[server.name])

    def listing(self, names: tuple[str, ...] | None = None) -> bytes:
        """As `World.listing`, with the servers' addresses."""
        message = json.loads(super().listing(names))
        for entry in message["targets"]:
            entry["endpoint"] = f"{HOST}:{self.ports.get(entry['uid'], 9)}"
        return json.dumps(message).encode() + b"\n"

    def crash(self, names: tuple[str, ...]) -> None:
        """Servers die."""
        self.record("servers die:", *names)
        for name in names:
            self.servers[name].running = False

    def come_back(self, names: tuple[str, ...]) -> None:
        """Servers run again, cold; discovery tells."""
        for name in names:
            self.servers[name].running = True
            self.servers[name].boot_ms = time.time() * 1000
        self.list_change(names, "in_service")

    async def add_successors(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """New servers in the zones of those that leave; they start cold."""
        successors = tuple(f"{name}-new" for name in names)
        for name, successor in zip(names, successors, strict=True):
            self.servers[successor] = Server(successor, self.servers[name].zone)
            await self.open_server(self.servers[successor])
        self.come_back(successors)
        return successors

    def is_warm(self, server: Server) -> bool:
        """Whether the list shows it ready, started as long ago as a warm-up takes."""
        age_ms = time.time() * 1000 - server.boot_ms
        return server.state == "in_service" and age_ms >= SETTINGS["obligations"]["cold"] / MS

    async def watch_tables(self) -> None:
        """Rule 1: no joined proxy lacks a line to pick for longer than `emptyFor`."""
        while True:
            await asyncio.sleep(0.05)
            has_warm = any(self.is_warm(server) for server in self.servers.values())
            for proxy in self.proxies:
                for slice_id in self.store:
                    self.check_table(proxy, slice_id, has_warm)

    def check_table(self, proxy: Proxy, slice_id: int, has_warm: bool) -> None:
        """The rule for one proxy and slice."""
        key = (proxy.number, slice_id)
        table = proxy.tables.get(slice_id, {})
        has_line = any(name not in proxy.out for name in table)
        if has_line or not has_warm or not proxy.joined or not proxy.has_read_store:
            self.empty_since.pop(key, None)
            return
        since = self.empty_since.setdefault(key, self.now())
        empty_s = self.now() - since
        if empty_s > self.seconds("emptyFor") + SLACK_S and key not in self.reported:
            self.reported.add(key)
            self.violate(
                f"proxy {proxy.number} has had no line to pick for slice {slice_id} for "
                f"{empty_s:.1f} s: table {sorted(table)}, out {sorted(proxy.out)}"
            )


def choose(rng) -> tuple[int, bool]:
    """The slice of a request, and whether it is a write."""
    return rng.randrange(SLICES), rng.random() < WRITE_SHARE
