"""One run of the program in a soak: start, injected faults, recovery and exit."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from ._earlier import ROOT
from ._exchange_script import (
    CONFIGURATION_VARIABLE,
    RUN_KEY,
    SERVERS,
    SETTINGS,
    free_address,
    list_entry,
    load_report,
    slice_report,
)
from ._soak_log import log_faults
from ._soak_peers import (
    INVALID_NOTIFICATIONS,
    UNKNOWN_CLIENT_DATA,
    CallOutcome,
    FailingDiscovery,
    FailingRelay,
    PingingCollector,
    is_answered_or_closed,
)
from ._stub_peers import Recorder, Server, Store
from ._version import deployed_command

OPERATOR_VARIABLE = "HAVENDYKE_OPERATOR"
SEEDS_PER_SUBNET = 250
SLICES = 8
READY_TIMEOUT_S = 30.0
PING_INTERVAL_S = 0.2
PING_TIMEOUT_S = 3.0
UNKNOWN_CLIENT_TIMEOUT_S = 6.0
EXIT_TIMEOUT_S = 0.7  # the shortest documented time from SIGTERM to SIGKILL
SETTLE_S = 6.0
RESYNC_S = 1.5
OLD_RELAY_CLOSE_DELAY_S = 1.5
MAX_STEP_INTERVAL_S = 0.6
UNKNOWN_CLIENT_COUNT = 200
STATE_DAMAGE_PROBABILITY = 0.4
MAX_EXTRA_DESCRIPTORS = 12  # open health checks vary the count
MAX_EXTRA_MEMORY_KB = 12_000
STATE_DAMAGES = ("truncated log", "corrupt snapshot", "unknown files", "pipe")


@dataclass
class RunReport:
    """The start time, the steps and the faults of one run."""

    ready_s: float = 0.0
    steps: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class Scenario:
    """The stub peers, the files and the random generator of one seed, shared by its runs."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Draws what all runs share; `start` starts the stubs."""
        self.random = random.Random(seed)
        self.folder = folder
        # Each seed has its own loopback address: on a shared one, another seed's stub might take
        # the port between two runs.
        host = f"127.0.{1 + seed // SEEDS_PER_SUBNET}.{1 + seed % SEEDS_PER_SUBNET}"
        self.listen = f"{host}:{free_address().rpartition(':')[2]}"
        recorder = Recorder()
        self.store = Store(
            {number: {SERVERS[number % len(SERVERS)]: 1.0} for number in range(SLICES)},
            {1: "a", 2: "b", 3: "a"},
        )
        self.relays = [FailingRelay(name, recorder, self.store) for name in ("r1", "r2")]
        self.relay = self.relays[0]
        self.discovery = FailingDiscovery(recorder)
        self.servers = {name: Server(name, recorder) for name in SERVERS}
        self.persists_state = self.random.random() < 0.5
        self.state_folder = folder / "state"

    async def start(self) -> None:
        """Starts the stubs and writes the configuration and the operator's file."""
        for listener in (self.relay, self.discovery, *self.servers.values()):
            await listener.start()
        for name, server in self.servers.items():
            self.discovery.entries[name] = list_entry(name, server.address)
        self.write_configuration()
        text = f"[state]\nfolder {self.state_folder}\n"
        (self.folder / "operator.conf").write_text(text)

    def close(self) -> None:
        """Closes the stubs."""
        for listener in (*self.relays, self.discovery, *self.servers.values()):
            listener.close()

    @property
    def config_file(self) -> Path:
        """The path of the program's configuration."""
        return self.folder / "config.json"

    def write_configuration(self) -> None:
        """Replaces the configuration atomically."""
        text = json.dumps(
            {
                "name": "n1",
                "listen": self.listen,
                "discovery": self.discovery.address,
                "seed": "8c1f",
                "distributor": {"address": self.relay.address},
                "settings": SETTINGS,
            }
        )
        new = self.folder / "config.new"
        new.write_text(text)
        new.replace(self.config_file)

    def damage_state(self) -> str:
        """Damages the state folder between two runs and returns a description."""
        kinds = [kind for kind in STATE_DAMAGES if self.random.random() < STATE_DAMAGE_PROBABILITY]
        logs = [path for path in self.state_folder.glob("log-*") if path.name[4:].isdigit()]
        if not logs:
            return "no log yet"
        newest = max(int(path.name[4:]) for path in logs)
        for kind in kinds:
            self._damage(kind, newest)
        return ", ".join(kinds) or "undamaged"

    def _damage(self, kind: str, newest: int) -> None:
        if kind == "truncated log":
            log = self.state_folder / f"log-{newest}"
            log.write_bytes(log.read_bytes()[:-3])
        elif kind == "corrupt snapshot":
            (self.state_folder / f"snapshot-{newest}").write_bytes(b"junk")
        elif kind == "unknown files":
            for name in ("damaged-notes", "snapshot-07", "log-1.bak"):
                (self.state_folder / name).write_text("by hand")
        else:
            with suppress(FileExistsError):
                os.mkfifo(self.state_folder / f"snapshot-{newest + 1}")


class ProgramRun:
    """One run of the program with the stub peers of a scenario."""

    def __init__(self, scenario: Scenario, seconds: float) -> None:
        """`seconds`: how long faults are injected."""
        self.scenario = scenario
        self.report = RunReport()
        self._seconds = seconds
        self._random = scenario.random
        self._collectors: list[PingingCollector] = []
        self._process: subprocess.Popen[bytes] | None = None
        self._keep_pinging = True
        self._settled_offset = 0  # size of the log when all had settled

    async def run(self) -> RunReport:
        """Runs the program and returns the report."""
        if self.scenario.persists_state:
            self.report.steps.append(f"state folder: {self.scenario.damage_state()}")
        with tempfile.TemporaryFile() as stderr:
            self._start(stderr)
            try:
                await self._run_program(stderr)
            finally:
                assert self._process
                self._process.kill()
                self._process.wait()
                for collector in self._collectors:
                    collector.close()
            self._check_log(stderr)
        self._check_state()
        return self.report

    def _add_fault(self, text: str) -> None:
        self.report.faults.append(text)

    # Start and exit

    def _start(self, stderr: IO[bytes]) -> None:
        environment = {**os.environ, CONFIGURATION_VARIABLE: str(self.scenario.config_file)}
        environment.pop(OPERATOR_VARIABLE, None)
        if self.scenario.persists_state:
            environment[OPERATOR_VARIABLE] = str(self.scenario.folder / "operator.conf")
        self._process = subprocess.Popen(
            deployed_command(ROOT, RUN_KEY),
            shell=True,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=stderr,
        )

    async def _run_program(self, stderr: IO[bytes]) -> None:
        signals_early = self._random.random() < 0.3
        if signals_early:
            await self._wait_for_program()
            self._send_signals(signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)
        if not await self._wait_until_ready():
            return
        pinging = asyncio.create_task(self._ping_collectors())
        await asyncio.sleep(SETTLE_S / 2)
        descriptors, memory_kb = self._descriptor_count(), self._memory_kb()
        await self._inject_faults()
        await self._settle()
        if self._descriptor_count() > descriptors + MAX_EXTRA_DESCRIPTORS:
            self._add_fault(
                f"descriptors: {descriptors} before, {self._descriptor_count()} after settling"
            )
        if self._memory_kb() > memory_kb + MAX_EXTRA_MEMORY_KB:
            self._add_fault(f"memory: {memory_kb} KB before, {self._memory_kb()} after settling")
        self._check_tables()
        # The new watch sends the published tables; one that differs from the assigner's view is
        # logged as `snapshot_differs`.
        self._settled_offset = stderr.seek(0, os.SEEK_END)
        self.scenario.relay.reset_watches(1)
        await asyncio.sleep(RESYNC_S)
        await self._terminate()
        self._keep_pinging = False
        await pinging

    async def _wait_for_program(self) -> None:
        """Waits until the shell has executed the program; before, the shell would get signals."""
        assert self._process
        command = Path(f"/proc/{self._process.pid}/cmdline")
        while b"havendyke\0" not in command.read_bytes() or b"trap" in command.read_bytes():
            await asyncio.sleep(0.001)

    async def _wait_until_ready(self) -> bool:
        began = time.monotonic()
        while time.monotonic() - began < READY_TIMEOUT_S:
            with suppress(OSError):
                await self._connect_collector("a")
                await self._connect_collector("b")
                self.report.ready_s = round(time.monotonic() - began, 3)
                return True
            assert self._process
            if self._process.poll() is not None:
                self._add_fault(f"exited at its start with status {self._process.returncode}")
                return False
            await asyncio.sleep(0.01)
        self._add_fault("not ready in 30 s")
        return False

    async def _terminate(self) -> None:
        """Sends SIGTERM or SIGINT, also with other signals; collectors report until the kill."""
        assert self._process
        series = self._random.choice(
            (
                (signal.SIGTERM,),
                (signal.SIGTERM, signal.SIGTERM),
                (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1),
                (signal.SIGUSR2, signal.SIGUSR1, signal.SIGINT),
            )
        )
        self.report.steps.append(f"end: {' '.join(number.name for number in series)}")
        self._send_signals(*series)
        try:
            status = await asyncio.to_thread(self._process.wait, EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._add_fault(f"still running {EXIT_TIMEOUT_S} s after SIGTERM or SIGINT")
            return
        if status != 0:
            self._add_fault(f"exit status {status}")

    def _send_signals(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            if self._process and self._process.poll() is None:
                self._process.send_signal(number)

    # Collectors

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.scenario.listen.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _connect_collector(self, zone: str) -> None:
        self._collectors.append(PingingCollector(zone, *await self._connect()))

    async def _ping_collectors(self) -> None:
        """Sends each collector's reports and PINGs; a late answer is a fault."""
        behind_since: dict[PingingCollector, float] = {}
        while self._keep_pinging:
            for collector in [c for c in self._collectors if c.is_open]:
                if collector.answered < collector.sent:
                    since = behind_since.setdefault(collector, time.monotonic())
                    if time.monotonic() - since > PING_TIMEOUT_S:
                        self._add_fault("a collector's PING was not answered in time")
                        behind_since.pop(collector)
                        collector.answered = collector.sent
                else:
                    behind_since.pop(collector, None)
                collector.ping(
                    *(load_report(name, 20, 0) for name in SERVERS),
                    *(slice_report(number, 15) for number in range(SLICES)),
                )
            await asyncio.sleep(PING_INTERVAL_S)

    # Faults

    async def _inject_faults(self) -> None:
        ends = time.monotonic() + self._seconds
        steps = list(STEPS)
        if self._random.random() < 1 / 3:
            await self._run_step("crowd")
        while time.monotonic() < ends:
            await self._run_step(self._random.choice(steps))
            await asyncio.sleep(self._random.random() * MAX_STEP_INTERVAL_S)

    async def _run_step(self, name: str) -> None:
        self.report.steps.append(name)
        await (STEPS | {"crowd": ProgramRun.connect_unknown_clients})[name](self)

    async def break_calls(self) -> None:
        """Draws the outcomes of the next calls and drains a server, which causes calls."""
        call_outcomes = [self._random.choice(list(CallOutcome)) for _ in range(3)]
        self.report.steps += [outcome.value for outcome in call_outcomes]
        self.scenario.relay.call_outcomes += call_outcomes
        await self.drain_server()

    async def drain_server(self) -> None:
        """A server drains and is ready again after a restart."""
        name = self._random.choice(SERVERS)
        self.scenario.discovery.update_states(**{name: "terminating"})
        await asyncio.sleep(self._random.random())
        self.scenario.discovery.restart_server(name, round(time.time() * 1000))

    async def reset_relay_watches(self) -> None:
        """Resets one or both watches of the relay."""
        self.scenario.relay.reset_watches(self._random.choice((1, 2)))

    async def send_invalid_notification(self) -> None:
        """The relay's watch sends an invalid notification."""
        self.scenario.relay.send_invalid_notification(self._random.choice(INVALID_NOTIFICATIONS))

    async def reset_discovery_watches(self) -> None:
        """Resets one or both watches of discovery."""
        self.scenario.discovery.reset_watches(self._random.choice((1, 2)))

    async def send_unreadable_list_change(self) -> None:
        """Discovery's watches send a change of the list that cannot be read."""
        self.scenario.discovery.send_unreadable_change(self._random.choice(SERVERS))

    async def replace_proxy(self) -> None:
        """A proxy disconnects and connects again."""
        proxy = self._random.choice((1, 2, 3))
        self.scenario.relay.disconnect_proxy(proxy)
        await asyncio.sleep(self._random.random() / 2)
        self.scenario.relay.connect_proxy(proxy, "ab"[proxy % 2])

    async def reassign_slice(self) -> None:
        """A slice is withdrawn and assigned again."""
        number = self._random.randrange(SLICES)
        table = self.scenario.relay.unassign_slice(number)
        await asyncio.sleep(self._random.random() / 2)
        self.scenario.relay.assign_slice(number, table)

    async def change_relay_address(self) -> None:
        """SIGHUP reloads another relay address; the old relay closes its connections later."""
        old_relay = self.scenario.relay
        self.scenario.relay = next(
            relay for relay in self.scenario.relays if relay is not old_relay
        )
        await self.scenario.relay.start()
        self.scenario.write_configuration()
        self._send_signals(signal.SIGHUP)
        await asyncio.sleep(OLD_RELAY_CLOSE_DELAY_S)
        old_relay.call_outcomes.clear()
        old_relay.close()

    async def reload_truncated_configuration(self) -> None:
        """SIGHUP with a truncated configuration file, then with a complete one."""
        complete = self.scenario.config_file.read_bytes()
        self.scenario.config_file.write_bytes(complete[: len(complete) // 2])
        self._send_signals(signal.SIGHUP)
        await asyncio.sleep(0.1)
        self.scenario.write_configuration()
        self._send_signals(signal.SIGHUP)

    async def send_signal_series(self) -> None:
        """Sends several signals that change nothing."""
        numbers = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
        self._send_signals(*(self._random.choice(numbers) for _ in range(5)))

    async def fail_server(self) -> None:
        """A server fails its health checks for up to a second."""
        server = self.scenario.servers[self._random.choice(SERVERS)]
        server.healthy = False
        await asyncio.sleep(self._random.random())
        server.healthy = True

    async def connect_unknown_clients(self) -> None:
        """Many unknown clients connect at once; each must be answered or closed in time."""
        served = await asyncio.gather(
            *(
                is_answered_or_closed(
                    self._connect,
                    UNKNOWN_CLIENT_DATA[k % len(UNKNOWN_CLIENT_DATA)],
                    UNKNOWN_CLIENT_TIMEOUT_S,
                )
                for k in range(UNKNOWN_CLIENT_COUNT)
            )
        )
        if not all(served):
            self._add_fault(
                f"{served.count(False)} unknown clients neither answered nor closed in "
                f"{UNKNOWN_CLIENT_TIMEOUT_S} s"
            )

    # Checks

    async def _settle(self) -> None:
        """Ends all faults and waits until the program has recovered."""
        for relay in self.scenario.relays:
            relay.call_outcomes.clear()
        self.scenario.discovery.update_states(**dict.fromkeys(SERVERS, "in_service"))
        await asyncio.sleep(SETTLE_S)
        connected = [collector for collector in self._collectors if collector.is_open]
        if len(connected) < len(self._collectors):
            self._add_fault(
                f"{len(self._collectors) - len(connected)} named collectors were closed"
            )

    def _check_tables(self) -> None:
        for number, table in self.scenario.store.tables.items():
            usable = [name for name in table if name not in self.scenario.store.ejected]
            if not usable:
                self._add_fault(f"slice {number} has no server after settling: {table}")

    def _descriptor_count(self) -> int:
        assert self._process
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def _memory_kb(self) -> int:
        assert self._process
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        return int(next(line.split()[1] for line in lines if line.startswith("VmRSS")))

    def _check_log(self, stderr: IO[bytes]) -> None:
        stderr.seek(self._settled_offset)
        after_settling = stderr.read() if self._settled_offset else b""
        stderr.seek(0)
        self.report.faults += log_faults(stderr.read().decode(errors="replace"))
        if b'"snapshot_differs"' in after_settling:
            self._add_fault("published tables differ from the assigner's view after settling")

    def _check_state(self) -> None:
        if not self.scenario.persists_state or not self.report.ready_s:
            return
        command = [sys.executable, "-m", "havendyke", "state", "verify"]
        verified = subprocess.run(
            [*command, str(self.scenario.state_folder)], cwd=ROOT, capture_output=True, text=True
        )
        if verified.returncode:
            self._add_fault(f"state verify: {verified.stdout.strip()} {verified.stderr.strip()}")


STEPS: dict[str, Callable[[ProgramRun], Awaitable[None]]] = {
    "calls break": ProgramRun.break_calls,
    "server drains": ProgramRun.drain_server,
    "relay watches cut": ProgramRun.reset_relay_watches,
    "relay says junk": ProgramRun.send_invalid_notification,
    "discovery watches cut": ProgramRun.reset_discovery_watches,
    "list spoilt": ProgramRun.send_unreadable_list_change,
    "proxy replaced": ProgramRun.replace_proxy,
    "slice reassigned": ProgramRun.reassign_slice,
    "relay moves": ProgramRun.change_relay_address,
    "configuration torn": ProgramRun.reload_truncated_configuration,
    "signals": ProgramRun.send_signal_series,
    "server fails": ProgramRun.fail_server,
}
