"""Real assigners beside hollow ones: the program as a process on loopback, against the same
stand-ins on sockets.

It goes through the start and a calm span alone: what it spends there, and what crosses its sockets,
checks the hollow ones' figures, which take the place of a whole fleet's."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from ..peers import DiscoveryPeer, RelayPeer, ServerPeer
from .fleet import Fleet, change_some, settings
from .guard import MB, Guard
from .hollow import WINDOW_MS, HollowAssigner
from .meter import IN, KINDS, OUT, Meter, Yardstick, messages_in
from .size import ZONE_NAMES, Size
from .standins import ScaleRegistry, ScaleRelay

START_S, CALM_S = 6.0, 12.0  # as the hollow ones' phases
SETTLE_S = 12.0
DIAL_S, LISTEN_S = 0.05, 10.0


class SocketConnection:
    """What a stand-in sees of a connection: whether it is over, and its end."""

    def __init__(self, writer):
        self.writer = writer

    @property
    def over(self) -> bool:
        return self.writer.is_closing()

    def close(self, how="reset"):
        self.writer.close()


class RealAssigner:
    """One process and the peers round it. It offers the stand-ins what `lab.peers.Simulation`
    offers them."""

    report_lines, offers, report = (
        HollowAssigner.report_lines,
        HollowAssigner.offers,
        HollowAssigner.report,
    )
    change = HollowAssigner.change

    def __init__(self, fleet: Fleet, number: int):
        self.fleet, self.number, self.meter, self.next_line = fleet, number, Meter(), 0
        self.chance = fleet.own_chance(number)
        self.absent = set()
        self.began, self.process, self.collectors, self.servers = time.monotonic(), None, {}, []
        self.folder = tempfile.TemporaryDirectory()

    def now(self) -> float:
        return 1000.0 * (time.monotonic() - self.began)

    def after(self, wait, call):
        asyncio.get_running_loop().call_later(wait / 1000.0, call)

    async def start(self):
        self.relay = ScaleRelay(self, self.fleet.store(self.number), range(self.fleet.size.proxies))
        self.discovery = ScaleRegistry(self, self.fleet.entries)
        ports = [await self.listen(kind) for kind in (RelayPeer, DiscoveryPeer)]
        listen = await self.free_port()
        raw = {
            "name": f"assigner-{self.number}",
            "listen": f"127.0.0.1:{listen}",
            "seed": f"{1 + 7919 * self.number:x}",
            "discovery": f"127.0.0.1:{ports[1]}",
            "distributor": {"address": f"127.0.0.1:{ports[0]}"},
            "settings": settings(self.fleet.size, self.number),
            "limits": {"memory_mb": 128, "sockets": 1024},
        }
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(raw))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "havendyke", "--config", str(path)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
        await self.join_collectors(listen)

    async def free_port(self) -> int:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return port

    async def listen(self, make) -> int:
        async def serve(reader, writer):
            await self.serve(make(self, SocketConnection(writer)), reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def serve(self, peer, reader, writer):
        """One connection of the assigner's, until it ends."""
        kind = []

        def say(data):
            if not writer.is_closing():
                self.meter.count(kind[0], IN, data, messages_in(kind[0], data))
                writer.write(data)

        peer.send = say
        try:
            while line := await reader.readline():
                if not kind:
                    kind.append(self.kind(peer, line))
                self.meter.count(
                    kind[0], OUT, line, int(kind[0] in ("calls", "news") or line == b"\r\n")
                )
                peer.receive_line(line[:-1])
                if kind[0] in ("list", "probes") and line == b"\r\n":
                    break  # it asked for one answer on this connection
        except (ConnectionError, asyncio.CancelledError):
            pass  # the other side has gone, or the run is over
        finally:
            writer.close()

    @staticmethod
    def kind(peer, line: bytes) -> str:
        """What the first line of a connection says that it carries."""
        if isinstance(peer, RelayPeer):
            return "news" if b"relay.watch" in line else "calls"
        if isinstance(peer, ServerPeer):
            return "probes"
        return "watch" if b"follow=1" in line else "list"

    def answer_health_check(self, peer):
        body = b"TEXT inflight=2, queue=0"
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    # Collectors

    async def join_collectors(self, port: int):
        end = time.monotonic() + LISTEN_S
        for zone in ZONE_NAMES[: self.fleet.size.zones]:
            while zone not in self.collectors:
                try:
                    _, self.collectors[zone] = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    if time.monotonic() > end:
                        raise
                    await asyncio.sleep(DIAL_S)
            self.bring(zone, [HollowAssigner.source(zone)])

    def bring(self, zone: str, messages: list):
        data = b"".join(messages)
        self.meter.count("reports", IN, data, len(messages))
        self.collectors[zone].write(data)

    async def go_on(self):
        """Reports and changes of tasks, second by second, until it is cancelled."""
        fleet, second = self.fleet, 0
        while True:
            fleet.now = self.now()
            change_some(fleet, second)
            for names, state in fleet.ripe():
                self.change(names, state)
            fleet.load(self.offers())
            self.report()
            second += 1
            await asyncio.sleep(WINDOW_MS / 1000.0)

    def unix_ms(self) -> float:
        return 1000.0 * time.time()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(2)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for server in self.servers:
            server.close()
        self.folder.cleanup()


async def _span(assigner: RealAssigner, seconds: float, guard: Guard) -> dict:
    """What one assigner spends in a span: means a second."""
    process, yardstick = psutil.Process(assigner.process.pid), Yardstick()
    assigner.meter.take()
    used = process.cpu_times()
    before, began = used.user + used.system, time.monotonic()
    while time.monotonic() - began < seconds:
        guard.check()
        yardstick.lay()
        await asyncio.sleep(min(0.5, seconds))
    used, took = process.cpu_times(), time.monotonic() - began
    traffic = assigner.meter.take()["traffic"]
    return {
        "cpu_ms": round(1000 * (used.user + used.system - before) / took, 3),
        "memory_mb": round(process.memory_info().rss / MB, 2),
        "yardstick_ms": yardstick.take(),
        "traffic": {
            kind: {name: round(n / took, 2) for name, n in traffic[kind].items()} for kind in KINDS
        },
    }


async def _measure(size: Size, seed: int, count: int, guard: Guard, spans: tuple) -> list:
    assigners, tasks = [], []
    try:
        for number in range(count):
            fleet = Fleet(size, seed)
            made = RealAssigner(fleet, number)
            assigners.append(made)
            port = await made.listen(ServerPeer)
            for entry in fleet.entries.values():
                entry["endpoint"] = f"127.0.0.1:{port}"
            await made.start()
            tasks.append(asyncio.create_task(made.go_on()))
        start, settle, calm = spans
        await asyncio.gather(*(_span(a, start, guard) for a in assigners))
        await asyncio.sleep(settle)
        return list(await asyncio.gather(*(_span(a, calm, guard) for a in assigners)))
    finally:
        for task in tasks:
            task.cancel()
        for assigner in assigners:
            assigner.end()


def measure(
    size: Size, seed: int, count: int, guard: Guard, spans=(START_S, SETTLE_S, CALM_S)
) -> list:
    """Runs so many real assigners through a start and a calm span; what each spends in the calm
    span."""
    return asyncio.run(_measure(size, seed, count, guard, spans))
