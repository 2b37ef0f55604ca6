"""Stand-ins for everything around the assigner, on loopback and the real clock.

One process plays the relay with its store, the proxies behind it, discovery, the collectors, the
servers and the clients. The assigners are the project's own program, started by the deploy file's
`run`. The rules are judged by what proxies hold and send, never by what the assigner believes.

Chosen where the pages are silent: a message reaches a proxy in order and is lost only with its
stream; an order reaches all joined proxies; discovery never forgets a version.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import defaultdict, deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SLACK_S = 0.3  # "Those limits are 300 ms longer"
TICK_S = 0.01
PING_S = 1.0
KEEPALIVE_S = 2.0
LATE_S = 0.5  # how late the stand-ins may run; beyond it there is no verdict


def now() -> float:
    """The real clock, in seconds."""
    return time.time()


def free_port() -> int:
    """A port of 127.0.0.1 that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Server:
    """A server: its entry in the list, and what it does with requests and health checks."""

    def __init__(self, uid: str, zone: str, boot: float = 0.0, capacity: float = 100.0) -> None:
        self.uid, self.zone, self.boot, self.capacity = uid, zone, boot, capacity
        self.mode = "up"  # up, hung (accepts, never answers), silent, dead
        self.fell_over = False
        self.endpoint = ""
        self.arrivals: deque[tuple[float, bool]] = deque()  # time, from a proxy that knew the start
        self.served = 0
        self.listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens for health checks."""
        self.listener = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()
        self.endpoint = f"{host}:{port}"

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.mode in ("hung", "silent") or self.fell_over:
                await asyncio.sleep(5)
            elif self.mode == "up":
                body = b"TEXT queue=0, latency_ms=20.5"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.mode == "dead":
                writer.transport.abort()
            writer.close()

    def answers(self) -> bool:
        """Whether it answers requests."""
        return self.mode == "up" and not self.fell_over


class Proxy:
    """A proxy: its tables, withdrawals and levels, by assigner where orders are."""

    def __init__(self, number: int, zone: str, rate: float) -> None:
        self.number, self.zone, self.rate = number, zone, rate
        self.tables: dict[int, dict[str, float]] = {}
        self.owner: dict[int, int] = defaultdict(int)  # by slice, the number of its owner
        self.withdrawn: dict[str, set[str]] = defaultdict(set)
        self.levels: dict[str, dict[str, tuple[float, int]]] = defaultdict(dict)
        self.joined: dict[str, float] = {}  # since, by assigner
        self.inbox: dict[str, deque[dict]] = defaultdict(deque)  # messages on their way
        self.epoch: dict[str, int] = defaultdict(int)
        self.held: dict[str, bool] = defaultdict(bool)  # had an order since its own start
        self.read_at: dict[str, float] = {}
        self.broke_at: dict[str, float] = {}  # end of its last stream that had read the store
        self.last_message: dict[str, float] = defaultdict(float)  # when it was ordered

    def usable(self, slice_id: int, holder: str) -> dict[str, float]:
        """The lines that it may pick from."""
        out = self.withdrawn[holder]
        return {s: w for s, w in self.tables.get(slice_id, {}).items() if w > 0 and s not in out}


class Assigner:
    """One process of the project, and what the platform tells it."""

    def __init__(self, world: "World", name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.relay_port = free_port()
        self.discovery_port = free_port()
        self.listen = f"127.0.0.1:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.answered_at: float | None = None  # first PONG since the last start
        self.told: dict[str, tuple[str, float, float]] = {}  # uid: state, boot, told not in service
        self.start_told: dict[str, float] = {}  # uid: when its last start was told
        self.channel: deque[dict] = deque()
        self.channel_free = 0.0
        self.excused: list[tuple[float, float]] = []  # from, seconds that limits wait
        self.watchers: set[asyncio.StreamWriter] = set()
        self.calls: set[asyncio.StreamWriter] = set()
        self.follow: dict[asyncio.StreamWriter, int] = {}
        self.reports: list[bytes] = []
        self.on_call = lambda orders: None  # after a call was answered
        self.known: dict = {"rev": 0, "all": True, "targets": []}
        self.expected_end = False
        self.level_count = 0
        self.last_ready_s = 0.0

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def config(self) -> dict:
        """Its configuration file."""
        return {
            "name": self.name,
            "listen": self.listen,
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "seed": f"{self.world.random.getrandbits(64):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "distributor": {"address": f"127.0.0.1:{self.relay_port}"},
            "known": self.known,
            "settings": self.world.settings(self),
        }

    def write_config(self) -> Path:
        """Replaces the file at once, as the platform does."""
        path = self.world.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config()))
        new.rename(path)
        return path

    def excuse_s(self, since: float) -> float:
        """How much longer a limit that runs since then is."""
        return sum(span for at, span in self.excused if at + span >= since)


class World:
    """The deployment, its days' events and the verdict."""

    def __init__(self, folder: Path, seed: int = 1, **options) -> None:
        self.out = folder
        self.random = random.Random(seed)
        self.options = {
            "zones": ["a", "b"],
            "classes": [("lookup", "pure", 1000, 3000), ("record", "side_effect", 2500, 6000)],
            "slices": 24,
            "proxies": 6,
            "rate": 20.0,
            "channel_rate": 2000.0,
            "pending": 4200.0,
            "head": 8.0,
            "delay_ms": 380.0,
            "late_most_ms": 950.0,
            "empty_ms": 3800,
            "grace_ms": 3000,
            "cold_ms": 16000,
            "cold_from": 0.16,
            "factor": 3.0,
            "fall_ms": 1500,
            "interval_ms": 500,
            "exclusive": False,
            "lease_ms": 1500,
            "lingers_ms": 6020,
            "long_writes": 0.3,
            "probes": True,
            "retry_default": 1,
            "throttle": "share",
            "weights": "nominal",
            "sync_ms": (100, 490),
        } | options
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(folder / "record.txt", "w")  # noqa: SIM115
        self.started = now()
        self.servers: dict[str, Server] = {}
        self.version = 1
        self.changed: dict[str, int] = {}
        self.entries: dict[str, dict] = {}
        self.proxies: list[Proxy] = []
        self.assigners: dict[str, Assigner] = {}
        self.store: dict[int, dict[str, float]] = {}
        self.holder: dict[int, str] = {}
        self.given_at: dict[int, float] = {}
        self.home: dict[int, str] = {}
        self.violations: list[str] = []
        self.rules_broken: set[str] = set()
        self.empty_since: dict[tuple[int, int], float] = {}
        self.empty_longest = 0.0
        self.drain_latest = 0.0
        self.counts: dict[str, int] = defaultdict(int)
        self.met: dict = defaultdict(lambda: [0, 0])
        self.asked: dict = defaultdict(lambda: [0, 0])
        self.writes: dict[int, list[tuple[float, float, str]]] = defaultdict(list)
        self.owner: dict[int, int] = defaultdict(int)  # by slice, how often it was set
        self.written: dict[int, tuple[int, str]] = {}  # by slice, the latest owner that got a write
        self.longest_queue = 0.0
        self.slow = 1.0
        self.sampled_empty: dict[tuple[int, int], bool] = {}
        self.tasks: set[asyncio.Task] = set()
        self.clients_on = False
        self.slice_weights: list[float] = []
        self.late = 0.0
        self.deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

    # The record

    def log(self, *words: object) -> None:
        """Writes a line of the record."""
        self.record_file.write(f"{now() - self.started:8.3f} {' '.join(map(str, words))}\n")

    def broken(self, rule: str, *words: object) -> None:
        """A rule was broken."""
        text = f"{rule}: {' '.join(map(str, words))}"
        if len(self.violations) < 200:
            self.violations.append(text)
            self.log("BROKEN", text)
        self.rules_broken.add(rule)

    def spawn(self, work) -> asyncio.Task:
        """Runs a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log("STAND-IN FAILED", repr(task.exception()))
            self.counts["stand-in failures"] += 1

    def after(self, delay_s: float, call, *arguments) -> None:
        """Calls back after a delay."""
        asyncio.get_running_loop().call_later(max(0.0, delay_s), call, *arguments)

    # Settings

    def settings(self, assigner: Assigner) -> dict:
        """The settings of an assigner, in the wire's words."""
        o, ms = self.options, 1_000_000
        return {
            "balancers": max(1, len(self.assigners)),
            "me": list(self.assigners).index(assigner.name),
            "zone": o["zones"].index(assigner.zone),
            "localities": o["zones"],
            "kinds": ["m1"],
            "weightKind": o["weights"],
            "registryMode": "push",
            "requestClasses": [
                {
                    "name": name,
                    "promise": aim * ms,
                    "hardLimit": limit * ms,
                    "repeat": repeat,
                    "group": "all",
                    "window": 5000 * ms,
                    "worth": 1.0,
                    "lateWorth": 0.1,
                }
                for name, repeat, aim, limit in o["classes"]
            ],
            "familyInfo": {
                "keyRanges": o["slices"],
                "dataPlaneSize": o["proxies"],
                "channelRate": o["channel_rate"],
                "pendingMax": o["pending"],
                "overhead": o["head"],
                "pushDelay": int(o["delay_ms"] * ms),
                "lateMost": int(o["late_most_ms"] * ms),
                "interval": o["interval_ms"] * ms,
                "throttleBy": o["throttle"],
                "oneOwner": o["exclusive"],
                "lease": o["lease_ms"] * ms,
                "lingers": o["lingers_ms"] * ms,
                "emptyFor": o["empty_ms"] * ms,
                "updateCap": 0,
                "countedOver": 10000 * ms,
                "ingestRate": 250.0,
                "retryDefault": o["retry_default"],
                "waitsForTable": 200 * ms,
                "lbMethod": "weighted",
                "strikes": 8,
                "firstWait": 1.2,
                "smallestConnTable": 119.0,
                "zonal": False,
                "classOwnZone": [False for _ in o["classes"]],
                "classWrites": [repeat == "side_effect" for _, repeat, _, _ in o["classes"]],
            },
            "limits": {
                "probes": o["probes"],
                "connectTimeout": 250 * ms,
                "connIdle": 15000 * ms,
                "maxStreams": 100,
                "mayTell": False,
            },
            "obligations": {
                "cold": o["cold_ms"] * ms,
                "coldFrom": o["cold_from"],
                "drainGrace": o["grace_ms"] * ms,
                "overloadFactor": o["factor"],
                "fall": o["fall_ms"] * ms,
                "askWithin": 10000 * ms,
            },
            "telemetry": {"source": "answers", "names": ["depth", "mean_ms"]},
        }

    # Servers and discovery

    async def add_server(self, uid: str, zone: str, boot: float = 0.0, listed=True) -> Server:
        """A server comes up."""
        server = Server(uid, zone, boot, self.options.get("capacity", 100.0))
        await server.open()
        self.servers[uid] = server
        if listed:
            self.list_change({uid: "in_service"})
        return server

    def remove(self, server: Server) -> None:
        """A server ends; the list says so."""
        server.mode = "dead"
        self.list_change({server.uid: "terminated"})

    def entry(self, uid: str, state: str) -> dict:
        """Its entry in the list."""
        server = self.servers[uid]
        return {
            "uid": uid,
            "endpoint": server.endpoint,
            "az": server.zone,
            "model": "m1",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": int(server.boot * 1000),
        }

    def list_change(self, states: dict[str, str]) -> None:
        """Discovery learns of a change and tells it."""
        self.version += 1
        for uid, state in states.items():
            self.entries[uid] = self.entry(uid, state)
            self.changed[uid] = self.version
        self.log("list", self.version, states)
        for assigner in self.assigners.values():
            self.tell(assigner)

    def tell(self, assigner: Assigner) -> None:
        """Discovery writes what its watches lack."""
        for writer, since in list(assigner.follow.items()):
            if since < self.version and not writer.is_closing():
                entries = [e for u, e in self.entries.items() if self.changed[u] > since]
                message = {"rev": self.version, "all": False, "targets": entries}
                assigner.follow[writer] = self.version
                self._chunk(writer, message)
                self.note_told(assigner, entries)

    def note_told(self, assigner: Assigner, entries: list[dict], complete: bool = False) -> None:
        """Discovery has written these entries to the assigner."""
        at = now()
        for entry in entries:
            uid, state, boot = entry["uid"], entry["state"], entry["boot_ms"] / 1000
            old = assigner.told.get(uid)
            since = 0.0
            if state != "in_service":
                since = old[2] if old and old[0] != "in_service" and old[2] else at
            if old is None or old[1] != boot:
                assigner.start_told[uid] = at
            assigner.told[uid] = (state, boot, since)
        if complete:
            listed = {entry["uid"] for entry in entries}
            for uid, (state, boot, _) in list(assigner.told.items()):
                if uid not in listed and state == "in_service":
                    assigner.told[uid] = ("terminated", boot, at)

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, message: dict | None) -> None:
        data = json.dumps(message).encode() + b"\n" if message is not None else b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def complete_list(self) -> dict:
        """The whole list."""
        entries = [e for e in self.entries.values() if e["state"] != "terminated"]
        return {"rev": self.version, "all": True, "targets": entries}

    async def _discovery(self, assigner: Assigner, reader, writer) -> None:
        try:
            path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            if "follow=1" not in path:
                message = self.complete_list()
                body = json.dumps(message).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                self.note_told(assigner, message["targets"], complete=True)
                await writer.drain()
                return
            since = int(path.rpartition("since=")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if since < 0:
                message = self.complete_list()
                self._chunk(writer, message)
                self.note_told(assigner, message["targets"], complete=True)
                since = self.version
            else:
                self._chunk(writer, None)
            assigner.follow[writer] = since
            self.tell(assigner)
            while not reader.at_eof() and not writer.is_closing():
                await asyncio.sleep(KEEPALIVE_S)
                self._chunk(writer, None)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            assigner.follow.pop(writer, None)
            writer.close()

    # The relay

    @staticmethod
    def _line(writer: asyncio.StreamWriter, **fields: object) -> None:
        if not writer.is_closing():
            writer.write(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def notify(self, assigner: Assigner, method: str, to=None, **params: object) -> None:
        """Sends news."""
        for writer in [to] if to else list(assigner.watchers):
            if params:
                self._line(writer, method=method, params=params)
            else:
                self._line(writer, method=method)

    def _present(self, assigner: Assigner, writer) -> None:
        for proxy in self.proxies:
            if assigner.name in proxy.joined:
                self._subscribe(assigner, proxy, writer)
        for slice_id, holder in self.holder.items():
            if holder == assigner.name:
                self._grant(assigner, slice_id, writer)

    def _subscribe(self, assigner: Assigner, proxy: Proxy, to=None) -> None:
        self.notify(
            assigner,
            "SUBSCRIBE",
            to,
            sidecar=proxy.number,
            az=proxy.zone,
            share=proxy.rate,
            standing=not proxy.held["any"],
        )

    def _grant(self, assigner: Assigner, slice_id: int, to=None) -> None:
        self.notify(assigner, "GRANT", to, partition=slice_id, yes=True)
        for host, share in self.store[slice_id].items():
            self.notify(assigner, "ROW", to, partition=slice_id, host=host, share=round(share, 3))

    async def _relay(self, assigner: Assigner, reader, writer) -> None:
        try:
            while line := await asyncio.wait_for(reader.readline(), 9.5):
                call = json.loads(line)
                if call["method"] == "relay.watch":
                    self._line(writer, id=call["id"], result=True)
                    self._present(assigner, writer)
                    assigner.watchers.add(writer)
                    while not reader.at_eof() and not writer.is_closing():
                        await asyncio.sleep(0.2)
                    return
                orders = call["params"]["orders"]
                if not self.clients_on:
                    error = {"code": 1, "message": "BUSY"}
                    self._line(writer, id=call["id"], error=error)
                    continue
                taken = self.apply(assigner, orders)
                self.log(assigner.name, "answered", json.dumps(orders))
                self._line(writer, id=call["id"], result={"taken": taken})
                await writer.drain()
                assigner.on_call(orders)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            assigner.watchers.discard(writer)
            assigner.calls.discard(writer)
            writer.close()

    def apply(self, assigner: Assigner, orders: list[dict]) -> int:
        """Carries out a call: the store at once, the proxies by the channel."""
        accepted, mark, for_all = [], None, False
        for order in orders:
            op = order["op"]
            if op in ("SET", "DEL") and self.holder.get(order["table"]) != assigner.name:
                continue
            if op == "SET":
                self._set(self.store[order["table"]], order)
                self.owner[order["table"]] += 1
                order["owner"] = self.owner[order["table"]]
            elif op == "DEL":
                self.store[order["table"]].clear()
            if op == "SYNC":
                mark, for_all = order["nonce_out"], bool(order["yes"])
            else:
                accepted.append(order)
        joined = [p for p in self.proxies if assigner.name in p.joined]
        lines = self.options["head"] + len(accepted) + (mark is not None) + assigner.level_count
        assigner.level_count = min(
            2, assigner.level_count + sum(o["op"] == "LIMIT" for o in accepted)
        )
        for proxy in joined if accepted or (mark is not None and for_all) else ():
            self._queue(assigner, proxy, accepted, mark, lines)
        waiting = sum(m["lines"] for m in assigner.channel)
        self.longest_queue = max(self.longest_queue, waiting)
        if waiting > self.options["pending"]:
            self.broken("short queue", f"{waiting} lines wait at {assigner.name}")
        return len(orders)

    def _queue(self, assigner, proxy, orders, mark, lines) -> None:
        at = now()
        assigner.channel_free = max(at, assigner.channel_free)
        assigner.channel_free += lines / (self.options["channel_rate"] / self.slow)
        message = {
            "proxy": proxy,
            "epoch": proxy.epoch[assigner.name],
            "orders": orders,
            "mark": mark,
            "lines": lines,
            "ordered": at,
            "start": assigner.starts,
        }
        assigner.channel.append(message)
        self.after(assigner.channel_free - at, self._leave, assigner, message)

    def _leave(self, assigner: Assigner, message: dict) -> None:
        if message not in assigner.channel:
            return
        assigner.channel.remove(message)
        delay = self.draw_delay_s()
        proxy = message["proxy"]
        at = max(now() + delay, proxy.read_at.get("due " + assigner.name, 0.0))
        at = max(at, proxy.read_at.get("arrival " + assigner.name, 0.0))
        proxy.read_at["arrival " + assigner.name] = at
        proxy.inbox[assigner.name].append(message)
        self.after(at - now(), self._arrive, assigner, proxy, message["epoch"])

    def draw_delay_s(self) -> float:
        """The way of a message: a quarter take nearly the longest time, the mean is as stated."""
        mean, most = self.options["delay_ms"] / 1000, self.options["late_most_ms"] / 1000
        if self.random.random() < 0.25:
            return most * self.random.uniform(0.9, 1.0)
        rest = max(0.02, (mean - 0.25 * 0.95 * most) / 0.75)
        return rest * self.random.uniform(0.4, 1.6)

    def _arrive(self, assigner: Assigner, proxy: Proxy, epoch: int) -> None:
        if epoch != proxy.epoch[assigner.name]:
            return
        # Not the message of this timer: timers of the same time fire in any order.
        message = proxy.inbox[assigner.name].popleft()
        name = assigner.name
        for order in message["orders"]:
            # What was ordered before the proxy read the store was in the store.
            if message["ordered"] > proxy.read_at.get(f"slice {order.get('table')}", 0.0):
                self._apply_order(proxy, name, order)
        self.log("applied", proxy.number, len(message["orders"]), "mark", message["mark"])
        proxy.held["any"] = True
        proxy.last_message[name] = max(proxy.last_message[name], message["ordered"])
        if message["mark"] is not None:
            lag = 1000 * (now() - message["ordered"])
            self.notify(
                assigner, "ACK", sidecar=proxy.number, version=message["mark"], lag_ms=round(lag, 1)
            )

    def _apply_order(self, proxy: Proxy, name: str, order: dict) -> None:
        match order["op"]:
            case "SET":
                self._set(proxy.tables.setdefault(order["table"], {}), order)
                proxy.owner[order["table"]] = order["owner"]
            case "DEL":
                proxy.tables[order["table"]] = {}
            case "OUT":
                proxy.withdrawn[name].add(order["host"])
            case "IN":
                proxy.withdrawn[name].discard(order["host"])
            case "LIMIT":
                for word in order.get("routes") or [c[0] for c in self.options["classes"]]:
                    proxy.levels[name][word] = (order["admit"], order["policy"])

    def _set(self, table: dict[str, float], order: dict) -> None:
        if order["share"] > 0 and self.options["exclusive"]:
            table.clear()
        if order["share"] > 0:
            table[order["host"]] = order["share"]
        else:
            table.pop(order["host"], None)

    # Proxies

    def join(self, proxy: Proxy, assigner: Assigner) -> None:
        """A proxy's stream to an assigner stands."""
        if not assigner.running or assigner.name in proxy.joined:
            return
        at = now()
        proxy.joined[assigner.name] = at
        due = at + self.random.uniform(*self.options["sync_ms"]) / 1000
        proxy.read_at["due " + assigner.name] = due
        self._subscribe(assigner, proxy)
        epoch = proxy.epoch[assigner.name]
        self.after(due - at, self._read, proxy, assigner, epoch, None)

    def _read(self, proxy: Proxy, assigner: Assigner, epoch: int, slice_id: int | None) -> None:
        if proxy.epoch[assigner.name] != epoch or assigner.name not in proxy.joined:
            return
        if slice_id is None:
            proxy.read_at["done " + assigner.name] = now()
        for number, holder in self.holder.items():
            if holder == assigner.name and slice_id in (None, number):
                proxy.tables[number] = dict(self.store[number])
                proxy.owner[number] = self.owner[number]
                proxy.read_at[f"slice {number}"] = now()

    def leave(self, proxy: Proxy, assigner: Assigner, notice_s: float = 0.0) -> None:
        """A proxy's stream breaks; the relay notices after a while."""
        if proxy.joined.pop(assigner.name, None) is None:
            return
        proxy.epoch[assigner.name] += 1
        proxy.inbox[assigner.name].clear()
        proxy.broke_at[assigner.name] = now()
        for message in [m for m in assigner.channel if m["proxy"] is proxy]:
            assigner.channel.remove(message)
        self.after(notice_s, lambda: self.notify(assigner, "CLOSED", sidecar=proxy.number))

    # Processes

    async def start_assigner(self, assigner: Assigner) -> None:
        """Starts the project's program by the deploy file's command."""
        path = assigner.write_config()
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": assigner.name,
            "ROUTER_LISTEN": assigner.listen,
            "ROUTER_DISCOVERY": f"127.0.0.1:{assigner.discovery_port}",
            "TMPDIR": str(self.folder),
        }
        log = open(self.folder / f"{assigner.name}.log", "a")  # noqa: SIM115
        assigner.starts += 1
        assigner.answered_at = None
        assigner.expected_end = False
        assigner.told = {}
        assigner.start_told = {}
        assigner.level_count = 0
        assigner.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.deploy["run"],
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.log("start", assigner.name)
        self.spawn(self._watch_process(assigner, assigner.process))
        self.spawn(self._ready(assigner, assigner.starts, now()))

    async def _watch_process(self, assigner: Assigner, process) -> None:
        code = await process.wait()
        self.log("end", assigner.name, code)
        if not assigner.expected_end:
            self.broken("crash", f"{assigner.name} ended with {code}")
        assigner.channel.clear()
        for proxy in self.proxies:
            if proxy.joined.pop(assigner.name, None) is not None:
                proxy.epoch[assigner.name] += 1
                proxy.inbox[assigner.name].clear()
                proxy.broke_at[assigner.name] = now()

    async def _ready(self, assigner: Assigner, start: int, began: float) -> None:
        host, port = assigner.listen.split(":")
        while assigner.starts == start and now() - began < 30:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                await asyncio.wait_for(reader.readuntil(b"PONG\r\n"), 1)
                writer.close()
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.02)
                continue
            assigner.answered_at = now()
            assigner.last_ready_s = now() - began
            self.log("ready", assigner.name, f"{assigner.last_ready_s:.2f}")
            self.spawn(self._collect(assigner, start))
            return
        if assigner.starts == start and assigner.running:
            self.broken("crash", f"{assigner.name} is not ready after 30 s")

    async def _collect(self, assigner: Assigner, start: int) -> None:
        host, port = assigner.listen.split(":")
        while assigner.starts == start and assigner.running:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(self._resp("SOURCE", "az", self.options["zones"][0]))
                while assigner.starts == start and assigner.running:
                    for data in self.take_reports(assigner):
                        writer.write(data)
                    await writer.drain()
                    await asyncio.sleep(self.options["interval_ms"] / 1000)
            except OSError:
                await asyncio.sleep(0.1)

    @staticmethod
    def _resp(*words: object) -> bytes:
        parts = [str(word).encode() for word in words]
        return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)

    def take_reports(self, assigner: Assigner) -> list[bytes]:
        """The sums since the last time."""
        window = float(self.options["interval_ms"])
        out = []
        for (name, zone, uid), (count, bad) in list(self.met.items()):
            if name == assigner.name and count:
                words = ["LOAD", "az", zone, "host", uid, "n", count, "bad", bad]
                words += ["avg", 30.5 if bad < count else 0.0, "window", window]
                words += ["report", "queue:1,latency_ms:25.5"]
                out.append(self._resp(*words))
                del self.met[(name, zone, uid)]
        for (name, slice_id, word), (count, bad) in list(self.asked.items()):
            if name == assigner.name and count:
                words = ["SHARD", "partition", slice_id, "kind", word]
                words += ["n", count, "bad", bad, "window", window]
                out.append(self._resp(*words))
                del self.asked[(name, slice_id, word)]
        return out

    # Clients

    def send_requests(self, span_s: float) -> None:
        """Requests of the last tick, at every proxy that runs."""
        classes = self.options["classes"]
        for proxy in self.proxies:
            expected = proxy.rate * span_s
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                slice_id = self.random.choices(range(len(self.slice_weights)), self.slice_weights)[
                    0
                ]
                word, repeat = classes[0 if self.random.random() < 0.7 else 1][:2]
                self.request(proxy, slice_id, word, repeat)

    def request(self, proxy: Proxy, slice_id: int, word: str, repeat: str) -> None:
        """One request, and the repeats that the assigner's orders allow."""
        holder = self.holder.get(slice_id, "")
        self.counts["requests"] += 1
        sum_ = self.asked[(holder, slice_id, word)]
        sum_[0] += 1
        admit, policy = proxy.levels[holder].get(word, (1.0, self.options["retry_default"]))
        if self.random.random() >= admit:
            self.counts["shed"] += 1
            return
        write = repeat == "side_effect"
        if self.options["exclusive"] and write and not self._may_write(proxy, slice_id, holder):
            self.counts["held back"] += 1
            return
        usable = proxy.usable(slice_id, holder)
        tried: list[str] = []
        for _ in range(2):
            choice = {s: w for s, w in usable.items() if s not in tried}
            if not choice:
                if not tried:
                    self.counts["refused"] += 1
                    sum_[1] += 1
                    self.log("request", proxy.number, slice_id, word, "refused: no line to pick")
                return
            uid = self.random.choices(list(choice), list(choice.values()))[0]
            tried.append(uid)
            ok, started = self.attempt(proxy, slice_id, uid, holder, write)
            outcome = "answered" if ok else "no answer" if started else "not connected"
            self.log("request", proxy.number, slice_id, word, uid, outcome)
            if ok:
                self.counts["served"] += 1
                return
            self.counts["failed tries"] += 1
            if started and policy == 2 and repeat == "side_effect":
                self.broken("no effect twice", f"{word} is repeated after a try that may have run")
            if policy == 0 or (policy == 1 and started):
                break
        sum_[1] += 1

    def _may_write(self, proxy: Proxy, slice_id: int, holder: str) -> bool:
        at, lease = now(), self.options["lease_ms"] / 1000
        read = proxy.read_at.get(f"slice {slice_id}", 0.0)
        if holder in proxy.joined and read >= max(
            proxy.joined[holder], self.given_at.get(slice_id, 0.0)
        ):
            return True
        lost = max(proxy.broke_at.get(holder, 0.0), self.given_at.get(slice_id, 0.0))
        return read > 0 and at - lost < lease

    def attempt(self, proxy, slice_id, uid, holder, write) -> tuple[bool, bool]:
        """A try at a server: whether it was answered, and whether it may have run."""
        server, at = self.servers.get(uid), now()
        self._check_drain(proxy, slice_id, uid, holder)
        sum_ = self.met[(holder, proxy.zone, uid)]
        sum_[0] += 1
        if server is None or server.mode == "dead":
            sum_[1] += 1
            return False, False
        if write and self.options["exclusive"]:
            self._check_write(proxy, slice_id, uid)
        assigner = self.assigners.get(holder)
        told = assigner.start_told.get(uid) if assigner else None
        known = told is not None and assigner.told[uid][1] == server.boot
        aware = known and (
            proxy.last_message[holder] >= told or at - told > self.options["grace_ms"] / 1000
        )
        server.arrivals.append((at, aware))
        if server.boot and server.mode == "up" and not server.fell_over:
            self._check_cold(server)
        if not server.answers():
            sum_[1] += 1
            return False, True
        server.served += 1
        return True, True

    # The rules

    def _check_drain(self, proxy: Proxy, slice_id: int, uid: str, holder: str) -> None:
        assigner = self.assigners.get(holder)
        if assigner is None or holder not in proxy.joined or uid not in assigner.told:
            return
        state, _, since = assigner.told[uid]
        if state == "in_service" or not assigner.answered_at:
            return
        begun = max(since, proxy.joined[holder], self.given_at.get(slice_id, 0.0))
        begun = max(begun, assigner.answered_at + 1.0)
        late = now() - begun - assigner.excuse_s(begun)
        self.drain_latest = max(self.drain_latest, late)
        limit = self.options["grace_ms"] / 1000 * self.slow + SLACK_S
        if late > limit:
            self.broken(
                "safe drain",
                f"proxy {proxy.number} sends to {uid} ({state}) for slice {slice_id}",
                f"{late:.2f} s after it was told, limit {limit:.2f} s",
            )

    def _check_write(self, proxy: Proxy, slice_id: int, uid: str) -> None:
        at = now()
        span = (0.95, 1.0) if self.random.random() < self.options["long_writes"] else (0.05, 0.3)
        held = self.random.uniform(*span) * self.options["lingers_ms"] / 1000
        writes = [w for w in self.writes[slice_id] if w[1] > at]
        for _, _, other in writes:
            if other != uid:
                self.broken("no effect twice", f"slice {slice_id}: a write at {uid} beside {other}")
                break
        writes.append((at, at + held, uid))
        self.log("write", proxy.number, slice_id, uid, f"in hand for {held:.3f} s")
        self.writes[slice_id] = writes[-50:]
        owner, latest = proxy.owner[slice_id], self.written.get(slice_id, (0, uid))
        if owner < latest[0] and uid != latest[1]:
            self.broken("no effect twice", f"slice {slice_id}: {uid} written after {latest[1]}")
        self.written[slice_id] = max(latest, (owner, uid))

    def _check_cold(self, server: Server) -> None:
        o, at = self.options, now()
        window = o["fall_ms"] / 1000
        while server.arrivals and server.arrivals[0][0] < at - window:
            server.arrivals.popleft()
        age = at - server.boot
        if age > o["cold_ms"] / 1000:
            return
        share = o["cold_from"] + (1 - o["cold_from"]) * age / (o["cold_ms"] / 1000)
        budget = o["factor"] * share * server.capacity * window
        sent = len(server.arrivals)
        if sent > budget + 3 * budget**0.5:
            server.fell_over = True
            aware = sum(a for _, a in server.arrivals) / sent
            self.log("fell over", server.uid, sent, round(budget, 1), f"aware {aware:.2f}")
            if aware >= 2 / 3:
                self.broken("safe fail-back", f"{server.uid} got {sent}, budget {budget:.1f}")

    def _check_empty(self) -> None:
        at, o = now(), self.options
        for assigner in self.assigners.values():
            warm = assigner.answered_at is not None and any(
                state == "in_service" and at - boot >= o["cold_ms"] / 1000
                for state, boot, _ in assigner.told.values()
            )
            for proxy in self.proxies:
                joined = proxy.joined.get(assigner.name)
                for slice_id, holder in self.holder.items():
                    if holder != assigner.name:
                        continue
                    key = (proxy.number, slice_id)
                    if joined is None or not warm or proxy.usable(slice_id, holder):
                        self.empty_since.pop(key, None)
                        self.sampled_empty.pop(key, None)
                        continue
                    begun = self.empty_since.setdefault(key, at)
                    begun = max(begun, joined, self.given_at[slice_id], assigner.answered_at + 1.0)
                    lasted = at - begun - assigner.excuse_s(begun)
                    self.empty_longest = max(self.empty_longest, lasted)
                    limit = o["empty_ms"] / 1000 * self.slow + SLACK_S
                    if lasted > limit and key not in self.sampled_empty:
                        self.sampled_empty[key] = True
                        listed = [u for u, t in assigner.told.items() if t[0] == "in_service"]
                        self.broken(
                            "nobody left without a server",
                            f"proxy {proxy.number} has no line for slice {slice_id} of",
                            f"{assigner.name} for {lasted:.2f} s, limit {limit:.2f} s; table",
                            proxy.tables.get(slice_id),
                            "withdrawn",
                            sorted(proxy.withdrawn[holder]),
                            "in service",
                            sorted(listed),
                        )

    # The day

    async def _tick(self) -> None:
        last, next_check = now(), 0.0
        while True:
            await asyncio.sleep(TICK_S)
            at = now()
            self.late = max(self.late, at - last - TICK_S)
            if self.clients_on:
                self.send_requests(min(at - last, 0.2))
                if at >= next_check:
                    next_check = at + 0.05
                    self._check_empty()
            last = at

    async def _pings(self) -> None:
        while True:
            await asyncio.sleep(PING_S)
            for assigner in self.assigners.values():
                self.notify(assigner, "ping")

    async def open_ports(self, assigner: Assigner) -> None:
        """Listens for an assigner at its relay and discovery addresses."""

        async def relay(reader, writer):
            assigner.calls.add(writer)
            await self._relay(assigner, reader, writer)

        async def discovery(reader, writer):
            await self._discovery(assigner, reader, writer)

        host, size = "127.0.0.1", 1 << 20
        await asyncio.start_server(relay, host, assigner.relay_port, limit=size)
        await asyncio.start_server(discovery, host, assigner.discovery_port)

    def reset_relay(self, assigner: Assigner) -> None:
        """The relay's connections of an assigner break."""
        assigner.excused.append((now(), 4.0))
        self.log("relay connections break", assigner.name)
        for writer in list(assigner.calls):
            writer.transport.abort()

    async def begin(self, assigners: int, servers: list[str]) -> None:
        """Builds the deployment: `servers` are the zones of the servers; starts everything."""
        o = self.options
        for number, zone in enumerate(servers):
            await self.add_server(f"s-{number:02d}", zone)
        weights = [(1 + k) ** -0.5 for k in range(o["slices"])]
        self.random.shuffle(weights)
        self.slice_weights = weights
        names = list(self.servers)
        for number in range(o["proxies"]):
            zone = o["zones"][number % len(o["zones"])]
            self.proxies.append(Proxy(number, zone, o["rate"]))
        for number in range(assigners):
            zone = o["zones"][number % len(o["zones"])]
            self.assigners[f"n{number}"] = Assigner(self, f"n{number}", zone)
        for slice_id in range(o["slices"]):
            self.store[slice_id] = {names[slice_id % len(names)]: 1.0}
            self.home[slice_id] = f"n{slice_id % assigners}"
            self.holder[slice_id] = self.home[slice_id]
            self.given_at[slice_id] = now()
        for assigner in self.assigners.values():
            assigner.known = self.complete_list()
            await self.open_ports(assigner)
            await self.start_assigner(assigner)
        self.spawn(self._tick())
        self.spawn(self._pings())
        began = now()
        while not all(a.answered_at for a in self.assigners.values()):
            await asyncio.sleep(0.02)
            if now() - began > 30:
                raise RuntimeError("an assigner is not ready after 30 s")
        self.clients_on = True
        self.log("clients come")
        for assigner in self.assigners.values():
            for proxy in self.proxies:
                self.after(self.random.uniform(0, 0.1), self.join, proxy, assigner)

    async def finish(self) -> None:
        """Ends all processes and closes the record."""
        for task in list(self.tasks):
            if task.get_coro().__name__ != "_watch_process":
                task.cancel()
        for assigner in self.assigners.values():
            if assigner.running:
                assigner.expected_end = True
                with contextlib.suppress(ProcessLookupError):
                    assigner.process.send_signal(signal.SIGCONT)
                    assigner.process.kill()
                await assigner.process.wait()
        for key, value in sorted(self.counts.items()):
            self.log("count", key, value)
        self.log("longest empty", round(self.empty_longest, 2))
        self.log("latest send after a drain was told", round(self.drain_latest, 2))
        self.log("longest queue", self.longest_queue, "stand-ins late by", round(self.late, 3))


def run(scenario, seconds: float, folder: Path, seed: int = 1, **options) -> int:
    """Runs a scenario; returns 1 if a rule was broken, 0 if not, 2 if it could not run."""
    options = dict(options)
    rule = options.pop("rule", None)
    assigners = options.pop("assigners", 1)
    servers = options.pop("servers")
    world = World(folder, seed, **options)

    async def day() -> None:
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            await world.begin(assigners, servers)
            await asyncio.wait_for(scenario(world), seconds)
        finally:
            await world.finish()

    try:
        asyncio.run(day())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        world.log("COULD NOT RUN", repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        for assigner in world.assigners.values():
            log = world.folder / f"{assigner.name}.log"
            if log.exists():
                world.record_file.write(f"--- log of {assigner.name}\n{log.read_text()}")
        world.record_file.close()
        shutil.rmtree(world.folder, ignore_errors=True)
    if world.late > LATE_S:
        print(f"the stand-ins ran {world.late:.2f} s late: no verdict", file=sys.stderr)
        return 2
    if world.counts["stand-in failures"]:
        print("a stand-in failed, see record.txt", file=sys.stderr)
        return 2
    for text in world.violations[:5]:
        print(text)
    print(
        f"broken: {sorted(world.rules_broken)}; longest empty {world.empty_longest:.2f} s, latest "
        f"send after a drain {world.drain_latest:.2f} s, queue {world.longest_queue:.0f}, "
        f"{dict(world.counts)}, late {world.late:.3f}"
    )
    if rule is None:
        return 1 if world.rules_broken else 0
    return 1 if rule in world.rules_broken else 0
