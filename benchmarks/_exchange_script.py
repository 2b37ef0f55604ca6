"""The scripted exchange of one assigner with its stand-ins: six servers, three proxies and four
slices.

A step ends when the relay has received nothing for a while, so that what a step leads to is sent
within it."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from ._stub_peers import (
    HOST,
    Collector,
    Discovery,
    Listener,
    Recorder,
    Relay,
    Server,
    Store,
    resp_command,
)
from ._version import VersionError, deployed_command, last_line

RUN_KEY = "run"
CONFIGURATION_VARIABLE = "ROUTER_CONFIG"
QUIET_PERIOD_S = 1.5  # longer than the interval between two pushes
STEP_TIMEOUT_S = 8.0
START_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
RELAY, MOVED_RELAY = RELAYS = ("relay", "moved relay")
SERVERS = tuple(f"s{k}" for k in range(1, 7))
SETTINGS = {
    "requestClasses": [
        {"name": "lookup", "promise": 1e9, "hardLimit": 3e9, "repeat": "pure"},
        {"name": "write", "promise": 2e9, "hardLimit": 6e9, "repeat": "side_effect"},
    ],
    "familyInfo": {
        "keyRanges": 8,
        "dataPlaneSize": 6,
        "channelRate": 2000.0,
        "pendingMax": 4000.0,
        "overhead": 8.0,
        "pushDelay": 3e8,
        "throttleBy": "share",
    },
    "telemetry": {"source": "collectors"},
    "localities": ["a", "b"],
    "kinds": ["m1", "m2"],
    "weightKind": "nominal",
    "limits": {"probes": True},
}


def free_address() -> str:
    """An address for the assigner to listen at."""
    with socket.create_server((HOST, 0)) as free:
        return "{}:{}".format(*free.getsockname())


def list_entry(name: str, endpoint: str) -> dict[str, Any]:
    """A server in the endpoint list."""
    number = int(name[1:])
    return {
        "uid": name,
        "endpoint": endpoint,
        "az": "ab"[number % 2],
        "model": "m2",
        "pod_group": number % 3,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def load_report(server: str, attempts: int, failures: int) -> bytes:
    """A collector's report of a server."""
    values = {"az": "a", "host": server, "n": str(attempts), "bad": str(failures)}
    values |= {"avg": "40.0", "window": "500.0", "report": "inflight:2,util:0.40"}
    return resp_command("LOAD", *(word for pair in values.items() for word in pair))


def slice_report(number: int, requests: int) -> bytes:
    """A collector's report of a slice."""
    values = {"partition": str(number), "kind": "lookup", "n": str(requests), "bad": "0"}
    return resp_command(
        "SHARD", *(word for pair in values.items() for word in pair), "window", "500.0"
    )


@dataclass
class Program:
    """The assigner of one version with its configuration's file."""

    folder: Path
    config_file: Path
    listen: str
    process: subprocess.Popen[bytes] | None = None
    stderr: IO[bytes] | None = None

    def write(self, discovery: Discovery, relay: Relay) -> None:
        """Writes the configuration."""
        text = json.dumps(
            {
                "name": "n1",
                "listen": self.listen,
                "discovery": discovery.address,
                "seed": "8c1f",
                "distributor": {"address": relay.address},
                "settings": SETTINGS,
            }
        )
        self.config_file.write_text(text)

    @contextmanager
    def running(self) -> Iterator[subprocess.Popen[bytes]]:
        """The process, by the `run` command of the version's own deploy file."""
        environment = {
            **os.environ,
            CONFIGURATION_VARIABLE: str(self.config_file),
            "PYTHONHASHSEED": "0",
        }
        with (
            tempfile.TemporaryFile() as self.stderr,
            subprocess.Popen(
                deployed_command(self.folder, RUN_KEY),
                shell=True,
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=self.stderr,
            ) as self.process,
        ):
            try:
                yield self.process
            finally:
                self.process.kill()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process
        self.process.send_signal(number)


class Exchange:
    """One version among its stand-ins."""

    def __init__(self, program: Program) -> None:
        """Prepares the stand-ins; `play` starts them."""
        self.recorder = Recorder()
        self.program = program
        self.servers = {name: Server(name, self.recorder) for name in SERVERS}
        self.discovery = Discovery(self.recorder)
        store = Store(
            {0: {"s1": 1.0}, 1: {"s2": 1.0}, 2: {"s3": 1.0}, 3: {"s4": 1.0}}, {1: "a", 2: "b"}
        )
        self.relay = Relay(RELAY, self.recorder, store)
        self.moved_relay = Relay(MOVED_RELAY, self.recorder, store)
        self.collector: Collector | None = None

    @property
    def listeners(self) -> list[Listener]:
        """All stand-ins that have an address."""
        return [self.discovery, self.relay, self.moved_relay, *self.servers.values()]

    async def play(self, steps: Sequence[str]) -> int:
        """Plays the steps and returns the program's exit status; raises `VersionError`."""
        for listener in self.listeners:
            await listener.start()
        for name, server in self.servers.items():
            self.discovery.entries[name] = list_entry(name, server.address)
        self.program.write(self.discovery, self.relay)
        self.recorder.step = steps[0]
        try:
            with self.program.running() as process:
                return await self._play_steps(steps, process)
        finally:
            for listener in self.listeners:
                listener.close()

    async def _play_steps(self, steps: Sequence[str], process: subprocess.Popen[bytes]) -> int:
        await self._wait_until_listening(process)
        for name in steps:
            self.recorder.step = name
            await STEPS[name](self)
            await self._wait_until_quiet()
        process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            raise VersionError("it does not end") from error

    async def _wait_until_quiet(self) -> None:
        """Waits until the relays have received nothing for a while."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + STEP_TIMEOUT_S
        calls, quiet_since = self._relay_messages(), loop.time()
        while loop.time() < min(limit, quiet_since + QUIET_PERIOD_S):
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._relay_messages() != calls:
                calls, quiet_since = self._relay_messages(), loop.time()

    def _relay_messages(self) -> int:
        return sum(message.peer in RELAYS for message in self.recorder.messages)

    async def _wait_until_listening(self, process: subprocess.Popen[bytes]) -> None:
        """Waits until the assigner can be connected to."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + START_TIMEOUT_S
        while True:
            try:
                await (await self._connect("newcomer")).close()
                return
            except OSError as error:
                if process.poll() is not None or loop.time() > limit:
                    assert self.program.stderr
                    reason = last_line(self.program.stderr) or str(error)
                    raise VersionError(f"it does not listen: {reason}") from error
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _connect(self, name: str) -> Collector:
        return await Collector.connect(name, self.recorder, self.program.listen)

    # Steps

    async def begin(self) -> None:
        """Nothing but what the stand-ins answer at the start."""

    async def report_loads(self) -> None:
        """A collector reports; a message is malformed, and another names an unknown server."""
        self.collector = await self._connect("collector")
        self.collector.send(resp_command("SOURCE", "az", "a"), resp_command("PING"))
        self.collector.send(*(load_report(name, 60, 0) for name in SERVERS))
        self.collector.send(*(slice_report(number, 60) for number in range(4)))
        self.collector.send(
            resp_command("LOAD", "az", "a"), load_report("unknown", 9, 0), resp_command("PING")
        )

    async def send_unknown_command(self) -> None:
        """Somebody sends what no collector sends."""
        stranger = await self._connect("stranger")
        stranger.send(resp_command("WHO"))

    async def replace_proxy(self) -> None:
        """A proxy connects and another one leaves."""
        self.relay.connect_proxy(3, "a")
        self.relay.disconnect_proxy(2)

    async def drain_server(self) -> None:
        """A server of a slice drains."""
        self.discovery.update_states(s1="terminating")

    async def remove_server(self) -> None:
        """The drained server is gone."""
        self.discovery.update_states(s1="terminated")

    async def fail_server(self) -> None:
        """All attempts at a server fail, and its health checks."""
        assert self.collector
        self.servers["s2"].healthy = False
        self.collector.send(load_report("s2", 60, 60))

    async def break_call(self) -> None:
        """The relay ends the connection of the next call and does not carry the call out."""
        self.relay.closes_on_next_call = True
        self.discovery.update_states(s3="terminating")

    async def reassign_slice(self) -> None:
        """A slice is withdrawn and comes back with another table."""
        self.relay.unassign_slice(3)
        await self._wait_until_quiet()
        self.relay.assign_slice(3, {"s5": 1.0})

    async def change_relay_address(self) -> None:
        """The configuration names another address of the relay, and a server drains."""
        self.program.write(self.discovery, self.moved_relay)
        self.program.signal(signal.SIGHUP)
        await self._wait_until_quiet()
        self.discovery.update_states(s4="terminating", s5="terminating")


STEPS: dict[str, Callable[[Exchange], Awaitable[None]]] = {
    "start": Exchange.begin,
    "load reports": Exchange.report_loads,
    "stranger": Exchange.send_unknown_command,
    "proxy replaced": Exchange.replace_proxy,
    "server drains": Exchange.drain_server,
    "server gone": Exchange.remove_server,
    "server fails": Exchange.fail_server,
    "call broken": Exchange.break_call,
    "slice moved": Exchange.reassign_slice,
    "relay moved": Exchange.change_relay_address,
}
