"""The scripted exchange of one assigner with stub peers: six servers, three proxies and four
slices.

A step ends when the relay has received nothing for `QUIET_PERIOD_S`, so that all messages that a
step causes are recorded as its own."""

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
    """A free address for the assigner to listen on."""
    with socket.create_server((HOST, 0)) as listener:
        return "{}:{}".format(*listener.getsockname())


def list_entry(name: str, endpoint: str) -> dict[str, Any]:
    """A server's entry in the endpoint list."""
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
    """A collector's load report of a server."""
    values = {"az": "a", "host": server, "n": str(attempts), "bad": str(failures)}
    values |= {"avg": "40.0", "window": "500.0", "report": "inflight:2,util:0.40"}
    return resp_command("LOAD", *(word for pair in values.items() for word in pair))


def slice_report(number: int, requests: int) -> bytes:
    """A collector's load report of a slice."""
    values = {"partition": str(number), "kind": "lookup", "n": str(requests), "bad": "0"}
    return resp_command(
        "SHARD", *(word for pair in values.items() for word in pair), "window", "500.0"
    )


@dataclass
class Program:
    """The assigner process of one version and its configuration file."""

    folder: Path
    config_file: Path
    listen: str
    process: subprocess.Popen[bytes] | None = None
    stderr: IO[bytes] | None = None

    def write_configuration(self, discovery: Discovery, relay: Relay) -> None:
        """Writes the configuration with the addresses of these peers."""
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
        """Runs the `run` command of the version's own deploy file."""
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

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process
        self.process.send_signal(number)


class Exchange:
    """One version and its stub peers."""

    def __init__(self, program: Program) -> None:
        """Creates the stubs; `play` starts them."""
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
        """All stubs that have an address."""
        return [self.discovery, self.relay, self.moved_relay, *self.servers.values()]

    async def play(self, steps: Sequence[str]) -> int:
        """Plays the steps and returns the program's exit status.

        Raises `VersionError` where the program does not start or does not exit."""
        for listener in self.listeners:
            await listener.start()
        for name, server in self.servers.items():
            self.discovery.entries[name] = list_entry(name, server.address)
        self.program.write_configuration(self.discovery, self.relay)
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
            raise VersionError("the program does not exit after SIGTERM") from error

    async def _wait_until_quiet(self) -> None:
        """Waits until the relays have received nothing for `QUIET_PERIOD_S`."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + STEP_TIMEOUT_S
        received, quiet_since = self._relay_message_count(), loop.time()
        while loop.time() < min(limit, quiet_since + QUIET_PERIOD_S):
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._relay_message_count() != received:
                received, quiet_since = self._relay_message_count(), loop.time()

    def _relay_message_count(self) -> int:
        return sum(message.peer in RELAYS for message in self.recorder.messages)

    async def _wait_until_listening(self, process: subprocess.Popen[bytes]) -> None:
        """Waits until the assigner accepts connections."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + START_TIMEOUT_S
        while True:
            try:
                await (await self._connect("connection check")).close()
                return
            except OSError as error:
                if process.poll() is not None or loop.time() > limit:
                    assert self.program.stderr
                    reason = last_line(self.program.stderr) or str(error)
                    raise VersionError(f"the program does not listen: {reason}") from error
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _connect(self, name: str) -> Collector:
        return await Collector.connect(name, self.recorder, self.program.listen)

    # Steps

    async def begin(self) -> None:
        """Sends nothing beyond the stubs' answers at the start."""

    async def report_loads(self) -> None:
        """A collector reports, with a malformed report and one of an unknown server."""
        self.collector = await self._connect("collector")
        self.collector.send(resp_command("SOURCE", "az", "a"), resp_command("PING"))
        self.collector.send(*(load_report(name, 60, 0) for name in SERVERS))
        self.collector.send(*(slice_report(number, 60) for number in range(4)))
        self.collector.send(
            resp_command("LOAD", "az", "a"), load_report("unknown", 9, 0), resp_command("PING")
        )

    async def send_unknown_command(self) -> None:
        """A client sends a command that the collectors' protocol does not have."""
        client = await self._connect("stranger")
        client.send(resp_command("WHO"))

    async def replace_proxy(self) -> None:
        """A proxy connects and another one disconnects."""
        self.relay.connect_proxy(3, "a")
        self.relay.disconnect_proxy(2)

    async def drain_server(self) -> None:
        """A server in a slice's table drains."""
        self.discovery.update_states(s1="terminating")

    async def remove_server(self) -> None:
        """The drained server leaves the endpoint list."""
        self.discovery.update_states(s1="terminated")

    async def fail_server(self) -> None:
        """A server fails all attempts and all health checks."""
        assert self.collector
        self.servers["s2"].healthy = False
        self.collector.send(load_report("s2", 60, 60))

    async def break_call(self) -> None:
        """The relay closes the connection of the next call and does not apply its orders."""
        self.relay.closes_on_next_call = True
        self.discovery.update_states(s3="terminating")

    async def reassign_slice(self) -> None:
        """A slice is withdrawn and assigned again with another table."""
        self.relay.unassign_slice(3)
        await self._wait_until_quiet()
        self.relay.assign_slice(3, {"s5": 1.0})

    async def change_relay_address(self) -> None:
        """The reloaded configuration has another relay address, and servers drain."""
        self.program.write_configuration(self.discovery, self.moved_relay)
        self.program.send_signal(signal.SIGHUP)
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
