"""Real assigners: the program in a process of its own, connected to the stand-ins over loopback.

They run through a start and a calm phase only. Their processor time and traffic validate the
figures of the hollow assigners, which stand for the whole fleet."""

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
from .fleet import Fleet, assigner_settings, replace_some_tasks
from .guard import MB, Guard
from .hollow import REPORT_WINDOW_MS, HollowAssigner
from .meter import IN, KINDS, OUT, Meter, ReferenceLoop, count_messages
from .size import ZONE_NAMES, Size
from .standins import ScaleDiscovery, ScaleRelay

START_S, CALM_S = 6.0, 12.0  # as long as the phases of hollow assigners
SETTLE_S = 12.0
CONNECT_RETRY_S, CONNECT_TIMEOUT_S = 0.05, 10.0


class SocketConnection:
    """The part of a connection that stand-ins use: whether it has ended, and closing it."""

    def __init__(self, writer):
        self.writer = writer

    @property
    def ended(self) -> bool:
        return self.writer.is_closing()

    def close(self, how="reset"):
        self.writer.close()


class RealAssigner:
    """An assigner process with its peers; gives the stand-ins the interface of
    `lab.peers.Simulation`."""

    report_messages, requests_by_task, send_reports = (
        HollowAssigner.report_messages,
        HollowAssigner.requests_by_task,
        HollowAssigner.send_reports,
    )
    apply_change = HollowAssigner.apply_change

    def __init__(self, fleet: Fleet, number: int):
        self.fleet, self.number, self.meter, self.next_report = fleet, number, Meter(), 0
        self.rng = fleet.assigner_rng(number)
        self.stopped_tasks = set()
        self.started_s, self.process, self.collectors, self.servers = time.monotonic(), None, {}, []
        self.directory = tempfile.TemporaryDirectory()

    def now_ms(self) -> float:
        return 1000.0 * (time.monotonic() - self.started_s)

    def after(self, wait, call):
        asyncio.get_running_loop().call_later(wait / 1000.0, call)

    async def start(self):
        self.relay = ScaleRelay(
            self, self.fleet.initial_tables(self.number), range(self.fleet.size.proxies)
        )
        self.discovery = ScaleDiscovery(self, self.fleet.entries)
        ports = [await self.listen(kind) for kind in (RelayPeer, DiscoveryPeer)]
        listen = await self.free_port()
        raw = {
            "name": f"assigner-{self.number}",
            "listen": f"127.0.0.1:{listen}",
            "seed": f"{1 + 7919 * self.number:x}",
            "discovery": f"127.0.0.1:{ports[1]}",
            "distributor": {"address": f"127.0.0.1:{ports[0]}"},
            "settings": assigner_settings(self.fleet.size, self.number),
            "limits": {"memory_mb": 128, "sockets": 1024},
        }
        path = Path(self.directory.name) / "config.json"
        path.write_text(json.dumps(raw))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "havendyke", "--config", str(path)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
        await self.connect_collectors(listen)

    async def free_port(self) -> int:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return port

    async def listen(self, peer_type) -> int:
        async def serve(reader, writer):
            await self.serve(peer_type(self, SocketConnection(writer)), reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def serve(self, peer, reader, writer):
        """Serves one connection of the assigner until it ends."""
        kind = []

        def send(data):
            if not writer.is_closing():
                self.meter.count(kind[0], IN, data, count_messages(kind[0], data))
                writer.write(data)

        peer.send = send
        try:
            while line := await reader.readline():
                if not kind:
                    kind.append(self.connection_kind(peer, line))
                self.meter.count(
                    kind[0], OUT, line, int(kind[0] in ("calls", "news") or line == b"\r\n")
                )
                peer.receive_line(line[:-1])
                if kind[0] in ("list", "probes") and line == b"\r\n":
                    break  # the connection carries a single request
        except (ConnectionError, asyncio.CancelledError):
            pass  # the assigner closed the connection, or the run has ended
        finally:
            writer.close()

    @staticmethod
    def connection_kind(peer, line: bytes) -> str:
        """The kind of traffic, from the first line of a connection."""
        if isinstance(peer, RelayPeer):
            return "news" if b"relay.watch" in line else "calls"
        if isinstance(peer, ServerPeer):
            return "probes"
        return "watch" if b"follow=1" in line else "list"

    def answer_health_check(self, peer):
        body = b"TEXT inflight=2, queue=0"
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    # Collectors

    async def connect_collectors(self, port: int):
        deadline_s = time.monotonic() + CONNECT_TIMEOUT_S
        for zone in ZONE_NAMES[: self.fleet.size.zones]:
            while zone not in self.collectors:
                try:
                    _, self.collectors[zone] = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    if time.monotonic() > deadline_s:
                        raise
                    await asyncio.sleep(CONNECT_RETRY_S)
            self.deliver(zone, [HollowAssigner.source_message(zone)])

    def deliver(self, zone: str, messages: list):
        data = b"".join(messages)
        self.meter.count("reports", IN, data, len(messages))
        self.collectors[zone].write(data)

    async def run_traffic(self):
        """Sends reports and task changes every second until cancelled."""
        fleet, second = self.fleet, 0
        while True:
            fleet.now_ms = self.now_ms()
            replace_some_tasks(fleet, second)
            for names, state in fleet.take_due_changes():
                self.apply_change(names, state)
            fleet.set_offered_load(self.requests_by_task())
            self.send_reports()
            second += 1
            await asyncio.sleep(REPORT_WINDOW_MS / 1000.0)

    def unix_ms(self) -> float:
        return 1000.0 * time.time()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(2)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for server in self.servers:
            server.close()
        self.directory.cleanup()


async def _measure_span(assigner: RealAssigner, seconds: float, guard: Guard) -> dict:
    """The processor time, memory and traffic of one assigner, as means per second."""
    process, reference_loop = psutil.Process(assigner.process.pid), ReferenceLoop()
    assigner.meter.take()
    used = process.cpu_times()
    before_s, started_s = used.user + used.system, time.monotonic()
    while time.monotonic() - started_s < seconds:
        guard.check()
        reference_loop.run()
        await asyncio.sleep(min(0.5, seconds))
    used, elapsed_s = process.cpu_times(), time.monotonic() - started_s
    traffic = assigner.meter.take()["traffic"]
    return {
        "cpu_ms": round(1000 * (used.user + used.system - before_s) / elapsed_s, 3),
        "memory_mb": round(process.memory_info().rss / MB, 2),
        "yardstick_ms": reference_loop.take(),
        "traffic": {
            kind: {name: round(n / elapsed_s, 2) for name, n in traffic[kind].items()}
            for kind in KINDS
        },
    }


async def _measure(size: Size, seed: int, count: int, guard: Guard, spans: tuple) -> list:
    assigners, tasks = [], []
    try:
        for number in range(count):
            fleet = Fleet(size, seed)
            assigner = RealAssigner(fleet, number)
            assigners.append(assigner)
            port = await assigner.listen(ServerPeer)
            for entry in fleet.entries.values():
                entry["endpoint"] = f"127.0.0.1:{port}"
            await assigner.start()
            tasks.append(asyncio.create_task(assigner.run_traffic()))
        start, settle, calm = spans
        await asyncio.gather(*(_measure_span(a, start, guard) for a in assigners))
        await asyncio.sleep(settle)
        return list(await asyncio.gather(*(_measure_span(a, calm, guard) for a in assigners)))
    finally:
        for task in tasks:
            task.cancel()
        for assigner in assigners:
            assigner.stop()


def measure(
    size: Size, seed: int, count: int, guard: Guard, spans=(START_S, SETTLE_S, CALM_S)
) -> list:
    """Runs `count` real assigners through a start and a calm phase; returns what each used in the
    calm phase."""
    return asyncio.run(_measure(size, seed, count, guard, spans))
