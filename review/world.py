"""Stand-ins for the platform around one assigner: relay, proxies, servers, discovery, collectors.

They follow the operators' pages. All run in one asyncio loop on the real clock; the assigner runs
as a process of its own, started with the `run` command of the deploy file, and meets them on
loopback sockets only.
"""

import asyncio
import contextlib
import itertools
import json
import logging
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PASSED, BROKEN, NOT_RUN = 0, 1, 2
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing the socket resets the connection
HOST = "127.0.0.1"


class NotRunError(Exception):
    """The case could not run."""


def free_port() -> int:
    """A loopback port that is free now."""
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()[1]


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as a network fault would."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def __call__(self, *words: object) -> None:
        """Writes one line."""
        at_s = time.monotonic() - self.started_s
        self.file.write(f"{at_s:8.3f} {' '.join(map(str, words))}\n")
        self.file.flush()


class Server:
    """A server: holds each request for its service time; listed with a state and a start time."""

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone, self.state, self.boot_ms = name, zone, "in_service", 0
        self.running = True
        self.writes_in_hand: dict[int, int] = {}  # by slice

    def entry(self) -> dict:
        """Its entry in discovery's list."""
        return {
            "uid": self.name,
            "endpoint": f"{HOST}:9",  # not used: the settings allow no probes
            "az": self.zone,
            "model": "m1",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


class Proxy:
    """A proxy: its stream to the relay, and the tables that it has applied."""

    def __init__(self, number: int, zone: str) -> None:
        self.number, self.zone = number, zone
        self.joined = False
        self.first_stream = True
        self.stream = 0  # counts its streams; messages on an earlier one are lost
        self.may_write_until: float | None = None  # while it has no stream
        self.has_read_store = False
        self.tables: dict[int, dict[str, tuple[float, int]]] = {}  # slice: server: share, epoch
        self.out: set[str] = set()
        self.last_delivery_s = 0.0

    def pick(self, slice_id: int, rng: random.Random) -> tuple[str, int] | None:
        """A line of the slice's table at random by weight, without withdrawn servers."""
        lines = [
            (name, share, epoch)
            for name, (share, epoch) in self.tables.get(slice_id, {}).items()
            if name not in self.out
        ]
        if not lines:
            return None
        name, _, epoch = rng.choices(lines, [share for _, share, _ in lines])[0]
        return name, epoch


class World:
    """The platform, its store, its proxies and servers, and what they saw."""

    name = "n1"
    service_mu = -1.32  # of the servers' lognormal service time in seconds: 0.32 in the mean

    def __init__(self, settings: dict, servers: list[Server], proxies: list[Proxy], seed: int):
        self.settings, self.family = settings, settings["familyInfo"]
        self.servers = {server.name: server for server in servers}
        self.proxies = proxies
        self.rng = random.Random(seed)
        self.exclusive = self.family["oneOwner"]
        self.record: Record
        # The relay.
        self.store: dict[int, dict[str, tuple[float, int]]] = {}
        # Numbers the lines that were set; a line's epoch tells earlier owners from later ones.
        self.epochs = itertools.count(1)
        self.watches: set[asyncio.StreamWriter] = set()
        self.break_calls = False  # reset each call after its last byte, not carried out
        self.calls_broken = 0
        self.pause_s = 0.0  # between the pieces of what stands: the slices, then their lines
        self.cut_connections: set[asyncio.StreamWriter] = set()  # silent, and nothing is read
        self.channel_free_s = 0.0
        self.ordered = 0
        # Discovery.
        self.rev = 1
        self.list_watches: set[asyncio.StreamWriter] = set()
        # What was seen.
        self.latest_epoch: dict[int, int] = {}  # by slice, of the newest owner that took a write
        self.violations: list[str] = []
        self.sums: dict[tuple[str, str], list[float]] = {}  # zone, server: tries, bad, total ms
        self.slice_sums: dict[tuple[int, str], list[int]] = {}
        self.without_line: dict[int, int] = {}  # by slice, requests let in that found no server
        self.tasks: list[asyncio.Task] = []
        self.processes: list[subprocess.Popen] = []
        self.relay_port, self.discovery_port, self.listen_port = (free_port() for _ in range(3))

    @staticmethod
    def now() -> float:
        """The clock of the stand-ins in seconds."""
        return time.monotonic()

    def spawn(self, coroutine) -> None:
        """Starts a task that ends with the world."""
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def seconds(self, key: str) -> float:
        """A time of the settings."""
        return self.family[key] / 1e9

    # Relay

    def send(self, writer: asyncio.StreamWriter, **fields: object) -> None:
        """Writes one JSON-RPC message; nothing on a connection that is cut."""
        if not writer.is_closing() and writer not in self.cut_connections:
            writer.write(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def news(self, method: str, **params: object) -> None:
        """Sends a notification on all connections that follow the news."""
        for writer in list(self.watches):
            self.send(writer, method=method, params=params)

    async def serve_relay(self, reader, writer) -> None:
        """One connection of the assigner."""
        try:
            while line := await reader.readline():
                if writer in self.cut_connections:
                    continue
                call = json.loads(line)
                if call["method"] == "relay.watch":
                    await self.serve_watch(reader, writer, call["id"])
                    return
                orders = call["params"]["orders"]
                if self.break_calls:
                    self.record(
                        f"relay, {self.name}: call broken, not carried out:", orders_text(orders)
                    )
                    self.calls_broken += 1
                    reset(writer)
                    return
                self.record(f"relay, {self.name}: call carried out:", orders_text(orders))
                self.send(writer, id=call["id"], result={"taken": self.apply(orders)})
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_watch(self, reader, writer, call_id) -> None:
        """What stands, then news, with a sign of life every second."""
        self.send(writer, id=call_id, result=True)
        for proxy in self.proxies:
            if proxy.joined:
                self.send(writer, method="SUBSCRIBE", params=self.subscription(proxy))
        for slice_id in self.charge():
            self.send(writer, method="GRANT", params={"partition": slice_id, "yes": True})
        self.watches.add(writer)
        self.record(f"relay, {self.name}: news connection opened")
        if self.pause_s:
            self.record(f"relay: the lines of the tables come {self.pause_s} s later")
            await asyncio.sleep(self.pause_s)
        for slice_id in self.charge():
            for name, (share, _) in self.store[slice_id].items():
                row = {"partition": slice_id, "host": name, "share": share}
                self.send(writer, method="ROW", params=row)
        try:
            while not reader.at_eof() and not writer.is_closing():
                self.send(writer, method="ping")
                await asyncio.sleep(1.0)
        finally:
            self.watches.discard(writer)

    def charge(self) -> list[int]:
        """The slices in the assigner's charge."""
        return list(self.store)

    @staticmethod
    def subscription(proxy: Proxy) -> dict:
        """What the relay tells of a proxy that has joined."""
        return {
            "sidecar": proxy.number,
            "az": proxy.zone,
            "share": 10.0,
            "standing": proxy.first_stream,
        }

    def apply(self, orders: list[dict]) -> int:
        """Carries orders out in the store and sends each proxy its message; returns the count."""
        count, effective, charge = 0, [], set(self.charge())
        for order in orders:
            if "host" in order and order["host"] not in self.servers:
                break
            count += 1
            if "table" in order and order["table"] not in charge:
                continue  # counts as taken and changes nothing
            self.apply_to_store(order)
            if order["op"] == "SET" and order["share"] > 0:
                order = {**order, "epoch": self.store[order["table"]][order["host"]][1]}
            effective.append(order)
        for proxy in self.proxies:
            if proxy.joined:
                self.deliver(proxy, effective)
        return count

    def apply_to_store(self, order: dict) -> None:
        """Changes of tables take effect in the store."""
        table = self.store.get(order.get("table", -1))
        if table is None:
            return
        if order["op"] == "DEL":
            table.clear()
        elif order["op"] == "SET" and order["share"] <= 0:
            table.pop(order["host"], None)
        elif order["op"] == "SET":
            known = table.get(order["host"])
            if self.exclusive and known is None:
                table.clear()
            epoch = known[1] if known else next(self.epochs)
            table[order["host"]] = (order["share"], epoch)

    def deliver(self, proxy: Proxy, orders: list[dict]) -> None:
        """Queues a message to one proxy: the channel's rate, then the way, in order."""
        now = self.now()
        lines = self.family["overhead"] + len(orders)
        self.channel_free_s = max(self.channel_free_s, now) + lines / self.family["channelRate"]
        delay = self.rng.expovariate(1.0 / self.seconds("pushDelay"))
        at = self.channel_free_s + min(delay, self.seconds("lateMost"))
        at = proxy.last_delivery_s = max(at, proxy.last_delivery_s)
        loop = asyncio.get_running_loop()
        loop.call_later(at - now, self.arrive, proxy, proxy.stream, orders, now)

    def arrive(self, proxy: Proxy, stream: int, orders: list[dict], sent_s: float) -> None:
        """A proxy applies a message, unless the stream that carried it has ended."""
        if not proxy.joined or proxy.stream != stream:
            return
        for order in orders:
            self.apply_to_proxy(proxy, order, sent_s)

    def apply_to_proxy(self, proxy: Proxy, order: dict, sent_s: float) -> None:
        """One order as the proxy applies it."""
        table = proxy.tables.setdefault(order.get("table", -1), {})
        match order["op"]:
            case "DEL":
                table.clear()
            case "SET" if order["share"] <= 0:
                table.pop(order["host"], None)
            case "SET":
                if self.exclusive:
                    table.clear()
                table[order["host"]] = (order["share"], order.get("epoch", 0))
            case "OUT":
                proxy.out.add(order["host"])
            case "IN":
                proxy.out.discard(order["host"])
            case "SYNC":
                lag_ms = round((self.now() - sent_s) * 1000, 1)
                self.news("ACK", sidecar=proxy.number, version=order["nonce_out"], lag_ms=lag_ms)

    def join(self, proxy: Proxy) -> None:
        """A proxy's stream is up: it reads the store soon after."""
        proxy.joined, proxy.stream = True, proxy.stream + 1
        proxy.last_delivery_s = self.now()
        self.news("SUBSCRIBE", **self.subscription(proxy))
        proxy.first_stream = False
        delay = self.rng.uniform(0.08, 0.4)
        proxy.last_delivery_s = self.now() + delay
        asyncio.get_running_loop().call_later(delay, self.read_store, proxy, proxy.stream)

    def read_store(self, proxy: Proxy, stream: int) -> None:
        """The proxy takes over all tables of the store."""
        if proxy.joined and proxy.stream == stream:
            for slice_id in self.charge():
                proxy.tables[slice_id] = dict(self.store[slice_id])
            proxy.has_read_store, proxy.may_write_until = True, None

    def part(self, proxy: Proxy) -> None:
        """A proxy's stream breaks: it keeps what it holds."""
        if proxy.joined:
            proxy.joined = False
            proxy.may_write_until = self.now() + self.seconds("lease")
            self.news("CLOSED", sidecar=proxy.number)

    # Discovery

    def listing(self, names: tuple[str, ...] | None = None) -> bytes:
        """The whole list, or changed entries."""
        entries = [
            server.entry()
            for server in self.servers.values()
            if (server.state != "terminated" if names is None else server.name in names)
        ]
        return (
            json.dumps({"rev": self.rev, "all": names is None, "targets": entries}).encode() + b"\n"
        )

    async def serve_discovery(self, reader, writer) -> None:
        """A query for the list, or a watch."""
        try:
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            if "follow=1" not in path:
                body = self.listing()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if f"since={self.rev}" not in path:
                write_chunk(writer, self.listing())
            self.list_watches.add(writer)
            while not reader.at_eof() and not writer.is_closing():
                write_chunk(writer, b"\n")
                await asyncio.sleep(2.0)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.list_watches.discard(writer)
            writer.close()

    def list_change(self, names: tuple[str, ...], state: str) -> None:
        """Discovery tells a change of servers."""
        self.rev += 1
        for name in names:
            self.servers[name].state = state
        self.record(f"discovery, {self.name}: tells", *names, state)
        for writer in list(self.list_watches):
            write_chunk(writer, self.listing(names))

    # Traffic

    async def client(self, proxy: Proxy, interval_s: float, choose) -> None:
        """Clients of one proxy: requests at random intervals."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1.0 / interval_s))
            slice_id, write = choose(self.rng)
            self.spawn_request(proxy, slice_id, write)

    def spawn_request(self, proxy: Proxy, slice_id: int, write: bool) -> None:
        """One request; its task is not kept, as it ends by itself within seconds."""
        task = asyncio.get_running_loop().create_task(self.request(proxy, slice_id, write))
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)

    async def request(self, proxy: Proxy, slice_id: int, write: bool) -> None:
        """A proxy takes in a request, picks a server and waits for its answer."""
        taken_in = self.now()
        kind = self.settings["requestClasses"][int(write)]["name"]
        counts = self.slice_sums.setdefault((slice_id, kind), [0, 0])
        counts[0] += 1
        choice = proxy.pick(slice_id, self.rng)
        while choice is None and self.now() - taken_in < self.seconds("waitsForTable"):
            await asyncio.sleep(0.01)
            choice = proxy.pick(slice_id, self.rng)
        if write and not self.may_write(proxy, slice_id):
            choice = None
        if choice is None:
            counts[1] += 1
            self.without_line[slice_id] = self.without_line.get(slice_id, 0) + 1
            self.record(f"proxy {proxy.number}: refused, slice {slice_id}", kind)
            return
        name, epoch = choice
        served = await self.run_at(self.servers[name], proxy, slice_id, write, epoch)
        tries = self.sums.setdefault((proxy.zone, name), [0, 0, 0.0])
        tries[0] += 1
        if served:
            tries[2] += (self.now() - taken_in) * 1000
        else:
            tries[1] += 1
            counts[1] += 1

    def may_write(self, proxy: Proxy, slice_id: int) -> bool:
        """Whether a proxy of an exclusive site sends writes now."""
        if not self.exclusive:
            return True
        if proxy.may_write_until is not None:
            return self.now() < proxy.may_write_until
        return proxy.has_read_store

    async def run_at(
        self, server: Server, proxy: Proxy, slice_id: int, write: bool, epoch: int
    ) -> bool:
        """A server takes in a request and answers after its service time."""
        if not server.running:
            return False
        if write:
            self.check_write(server, proxy, slice_id, epoch)
            server.writes_in_hand[slice_id] = server.writes_in_hand.get(slice_id, 0) + 1
        await asyncio.sleep(min(self.rng.lognormvariate(self.service_mu, 0.6), 2.9))
        if write:
            server.writes_in_hand[slice_id] -= 1
            self.record(f"{server.name}: write of slice {slice_id} answered")
        return server.running

    def check_write(self, server: Server, proxy: Proxy, slice_id: int, epoch: int) -> None:
        """Rule 2 where a slice has one owner, as each write reaches a server."""
        self.record(f"{server.name}: takes write of slice {slice_id} from proxy {proxy.number}")
        if not self.exclusive:
            return
        holders = [
            other.name
            for other in self.servers.values()
            if other is not server and other.writes_in_hand.get(slice_id)
        ]
        if holders:
            self.violate(f"slice {slice_id}: {server.name} takes a write, {holders} hold one")
        if epoch < self.latest_epoch.get(slice_id, 0):
            self.violate(f"slice {slice_id}: former owner {server.name} takes a write")
        self.latest_epoch[slice_id] = max(epoch, self.latest_epoch.get(slice_id, 0))

    def violate(self, text: str) -> None:
        """Notes a broken rule."""
        self.violations.append(text)
        self.record("BROKEN", text)

    # Collectors

    async def collect(self, zone: str, first: bool) -> None:
        """Passes on, each interval, what the proxies of a zone met; the first, slices too."""
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, self.listen_port)
                writer.write(resp("SOURCE", "az", zone))
                while not writer.is_closing():
                    await asyncio.sleep(self.seconds("interval"))
                    self.report(writer, zone, first)
                    await writer.drain()
            except OSError:
                await asyncio.sleep(0.5)

    def report(self, writer, zone: str, first: bool) -> None:
        """Writes the sums of one interval and begins new ones."""
        window = str(self.family["interval"] / 1e6)
        for key in [key for key in self.sums if key[0] == zone]:
            tries, bad, total_ms = self.sums.pop(key)
            fields = {"az": zone, "host": key[1], "n": int(tries), "bad": int(bad)}
            if tries > bad:
                fields["avg"] = round(total_ms / (tries - bad), 1)
            words = [str(word) for pair in fields.items() for word in pair]
            writer.write(resp("LOAD", *words, "window", window))
        if first:
            for (slice_id, kind), (count, bad) in self.slice_sums.items():
                fields = {"partition": slice_id, "kind": kind, "n": count, "bad": bad}
                words = [str(word) for pair in fields.items() for word in pair]
                writer.write(resp("SHARD", *words, "window", window))
            self.slice_sums = {}

    # The assigner

    def config(self) -> dict:
        """The assigner's configuration."""
        return {
            "name": self.name,
            "listen": f"{HOST}:{self.listen_port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "distributor": {"address": f"{HOST}:{self.relay_port}"},
            "known": json.loads(self.listing()),
            "settings": self.settings,
        }

    def start_assigner(self, folder: str) -> subprocess.Popen:
        """Starts one assigner by the deploy file's `run`."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        config = self.config()
        path = Path(folder) / f"config-{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        scratch = Path(folder) / f"tmp-{self.name}-{len(self.processes)}"
        scratch.mkdir()
        environment = {
            **os.environ,
            "ROUTER_NAME": config["name"],
            "ROUTER_LISTEN": config["listen"],
            "ROUTER_DISCOVERY": config["discovery"],
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        log = (Path(folder) / f"assigner-{self.name}-{len(self.processes)}.log").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        self.record(f"assigner {self.name}: started, process {len(self.processes)}")
        return process

    async def assigner_ready(self) -> None:
        """Waits for the first PONG after a start, 30 s at most."""
        until = self.now() + 30
        while self.now() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.listen_port)
                writer.write(resp("PING"))
                answer = await asyncio.wait_for(reader.readuntil(b"PONG\r\n"), 5)
                writer.close()
                if answer:
                    self.record(f"assigner {self.name}: answered PONG")
                    return
            await asyncio.sleep(0.1)
        raise NotRunError("the assigner gave no PONG within 30 s")

    async def open(self) -> None:
        """Opens the relay and discovery, and starts the collectors."""
        await self.open_relay()
        await asyncio.start_server(self.serve_discovery, HOST, self.discovery_port)
        for index, zone in enumerate(self.settings["localities"]):
            self.spawn(self.collect(zone, index == 0))

    async def open_relay(self) -> None:
        """Opens the relay's address."""
        await asyncio.start_server(self.serve_relay, HOST, self.relay_port, limit=1 << 20)

    def reset_news(self) -> None:
        """Resets all connections that follow the news."""
        self.record(f"relay: resets {len(self.watches)} news connections")
        for writer in list(self.watches):
            self.watches.discard(writer)
            reset(writer)

    def end(self) -> None:
        """Ends every process and task that the case started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
                try:
                    process.wait(5)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
        for task in list(self.tasks):
            task.cancel()


def orders_text(orders: list[dict]) -> str:
    """Orders in short."""
    return "; ".join(" ".join(str(v) for k, v in o.items() if k != "epoch") for o in orders)


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes one chunk of an HTTP body."""
    if not writer.is_closing():
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def resp(*words: str) -> bytes:
    """A RESP2 array of bulk strings."""
    parts = [f"*{len(words)}\r\n".encode()]
    for word in words:
        raw = word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(raw), raw))
    return b"".join(parts)


def run_case(folder: Path, build_world, scenario) -> int:
    """Runs `scenario(world, trouble)`; returns the exit status of the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record("trouble:", trouble)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # of connections that were reset

    async def play() -> int:
        world = build_world()
        world.record = record
        with tempfile.TemporaryDirectory() as scratch:
            world.scratch = scratch
            try:
                await asyncio.wait_for(scenario(world, trouble), 110)
            finally:
                world.end()
                if log := os.environ.get("KEEP_LOGS"):
                    for path in Path(scratch).glob("*.log"):
                        Path(log, path.name).write_bytes(path.read_bytes())
        return BROKEN if world.violations else PASSED

    try:
        status = asyncio.run(play())
    except (TimeoutError, NotRunError, OSError) as error:
        record("not run:", type(error).__name__, error)
        return NOT_RUN
    record("result:", {PASSED: "held", BROKEN: "broken"}[status])
    return status
