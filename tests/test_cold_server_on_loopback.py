"""The real program on loopback: what it orders for a server that warms up and stops answering."""

import asyncio
import copy
import json
import os
import subprocess
import time
from pathlib import Path

from benchmarks._exchange_script import (
    CONFIGURATION_VARIABLE,
    RUN_KEY,
    SERVERS,
    SETTINGS,
    free_address,
    list_entry,
    load_report,
    slice_report,
)
from benchmarks._stub_peers import Collector, Discovery, Recorder, Relay, Server, Store
from benchmarks._version import deployed_command
from havendyke.config import deployment

ROOT = Path(__file__).parents[1]
COLD = SERVERS[0]
SLICES = 24
WARM_UP_S = 60.0
AGE_AT_START_S = 45.0
START_TIMEOUT_S = 15.0
SETTLE_S = 3.0
# Two health checks that time out, a push and its way to the relay.
RELEASE_TIMEOUT_S = 5.0
REPORT_INTERVAL_S = 0.25


class StallingServer(Server):
    """Answers health checks until it stalls; then it accepts them and stays silent."""

    stalled = False

    async def handle(self, reader, writer):
        while self.stalled:
            await asyncio.sleep(REPORT_INTERVAL_S)
        await super().handle(reader, writer)


def settings():
    raw = copy.deepcopy(SETTINGS)
    raw["familyInfo"]["keyRanges"] = SLICES
    raw["obligations"] = {"cold": WARM_UP_S * 1e9, "coldFrom": 0.2, "overloadFactor": 3.0}
    assert deployment.read_settings(raw).warm_up_ms == WARM_UP_S * 1000
    return raw


class Scene:
    """The program before six servers, one of which has restarted and warms up."""

    def __init__(self, folder):
        recorder = Recorder()
        self.recorder = recorder
        table = {number: {SERVERS[number % len(SERVERS)]: 1.0} for number in range(SLICES)}
        self.store = Store(table, {1: "a", 2: "b", 3: "a"})
        self.relay = Relay("relay", recorder, self.store)
        self.discovery = Discovery(recorder)
        self.servers = {name: StallingServer(name, recorder) for name in SERVERS}
        self.config_file = folder / "config.json"
        self.listen = free_address()
        self.collector = None
        self.process = None

    async def start(self):
        for listener in (self.relay, self.discovery, *self.servers.values()):
            await listener.start()
        for name, server in self.servers.items():
            self.discovery.entries[name] = list_entry(name, server.address)
        boot_s = time.time() - AGE_AT_START_S
        self.discovery.entries[COLD]["boot_ms"] = round(boot_s * 1000)
        configuration = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": "8c1f",
            "distributor": {"address": self.relay.address},
            "settings": settings(),
        }
        self.config_file.write_text(json.dumps(configuration))
        self.process = subprocess.Popen(
            deployed_command(ROOT, RUN_KEY),
            shell=True,
            cwd=ROOT,
            env={**os.environ, CONFIGURATION_VARIABLE: str(self.config_file)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        await self.until(self.connect_collector, START_TIMEOUT_S)

    def close(self):
        if self.process:
            self.process.kill()
            self.process.wait()
        for listener in (self.relay, self.discovery, *self.servers.values()):
            listener.close()

    async def connect_collector(self):
        try:
            self.collector = await Collector.connect("collector", self.recorder, self.listen)
        except OSError:
            return False
        self.collector.send(b"*3\r\n$6\r\nSOURCE\r\n$2\r\naz\r\n$1\r\na\r\n")
        return True

    async def until(self, condition, timeout_s):
        """Waits for the condition while reports arrive; returns whether it came."""
        ends = time.monotonic() + timeout_s
        while time.monotonic() < ends:
            if await condition():
                return True
            if self.collector:
                reports = [load_report(name, 20, 0) for name in SERVERS]
                reports += [slice_report(number, 15) for number in range(SLICES)]
                self.collector.send(*reports)
            await asyncio.sleep(REPORT_INTERVAL_S)
        return False

    def slices_of(self, name):
        """The slices of which the published tables send the most to the server."""
        tables = self.store.tables.items()
        return [number for number, table in tables if table and max(table, key=table.get) == name]


def play(folder, scenario):
    async def run():
        scene = Scene(folder)
        try:
            await scene.start()
            await scene.until(lambda: asyncio.sleep(0, False), SETTLE_S)
            return await scenario(scene)
        finally:
            scene.close()

    return asyncio.run(run())


async def slices_before_and_after_a_stall(scene):
    before = len(scene.slices_of(COLD))
    scene.servers[COLD].stalled = True

    async def released():
        return len(scene.slices_of(COLD)) <= before / 2

    return before, await scene.until(released, RELEASE_TIMEOUT_S)


def test_a_cold_server_that_stops_answering_checks_loses_slices_before_its_load_reports_tell(
    tmp_path,
):
    before, released = play(tmp_path, slices_before_and_after_a_stall)
    assert before >= 2 and released
