"""One life of the real program in a soak: its start, drawn faults, rest, and its end."""

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
    entry,
    free_address,
    load_report,
    slice_report,
)
from ._soak_log import log_faults
from ._soak_peers import (
    JUNK_NOTIFICATIONS,
    STRANGERS,
    CallEnding,
    FailingDiscovery,
    FailingRelay,
    PingingCollector,
    is_turned_away,
)
from ._stand_ins import Recorder, Server, Store
from ._version import deployed_command

OPERATOR_VARIABLE = "HAVENDYKE_OPERATOR"
SEEDS_PER_NETWORK = 250
SLICES = 8
READY_LIMIT_S = 30.0
PING_INTERVAL_S = 0.2
PING_LIMIT_S = 3.0
STRANGER_LIMIT_S = 6.0
KILL_AFTER_S = 0.7  # from SIGTERM: the page's earliest
REST_S = 6.0
SETTLE_S = 1.5
MOVED_CLOSES_AFTER_S = 1.5
MAX_STEP_PAUSE_S = 0.6
CROWD = 200
STATE_DAMAGE_SHARE = 0.4
EXTRA_DESCRIPTORS = 12  # at rest, beyond those at the first rest: health checks come and go
EXTRA_MEMORY_KB = 12_000
STATE_DAMAGES = ("torn log", "junk snapshot", "foreign names", "pipe")


@dataclass
class LifeReport:
    """What one life showed."""

    ready_s: float = 0.0
    steps: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


class Scene:
    """The platform, the files and the draws of one seed, over several lives."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Draws what lasts; `start` brings the stand-ins up."""
        self.random = random.Random(seed)
        self.folder = folder
        # On a loopback address of its own: at the common one, another seed's stand-in might take
        # the port between two lives.
        host = f"127.0.{1 + seed // SEEDS_PER_NETWORK}.{1 + seed % SEEDS_PER_NETWORK}"
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
        self.keeps_state = self.random.random() < 0.5
        self.state_folder = folder / "state"

    async def start(self) -> None:
        """Brings the stand-ins up and writes the files."""
        for listener in (self.relay, self.discovery, *self.servers.values()):
            await listener.start()
        for name, server in self.servers.items():
            self.discovery.entries[name] = entry(name, server.address)
        self.write_configuration()
        text = f"[state]\nfolder {self.state_folder}\n"
        (self.folder / "operator.conf").write_text(text)

    def close(self) -> None:
        """Ends the stand-ins."""
        for listener in (*self.relays, self.discovery, *self.servers.values()):
            listener.close()

    @property
    def configuration(self) -> Path:
        """The configuration's file."""
        return self.folder / "config.json"

    def write_configuration(self) -> None:
        """Puts a complete configuration in place at once."""
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
        new.replace(self.configuration)

    def damage_state(self) -> str:
        """Does to the state folder what disks and people do between two lives."""
        kinds = [kind for kind in STATE_DAMAGES if self.random.random() < STATE_DAMAGE_SHARE]
        logs = [path for path in self.state_folder.glob("log-*") if path.name[4:].isdigit()]
        if not logs:
            return "none yet"
        newest = max(int(path.name[4:]) for path in logs)
        for kind in kinds:
            self._damage(kind, newest)
        return ", ".join(kinds) or "as it was"

    def _damage(self, kind: str, newest: int) -> None:
        if kind == "torn log":
            log = self.state_folder / f"log-{newest}"
            log.write_bytes(log.read_bytes()[:-3])
        elif kind == "junk snapshot":
            (self.state_folder / f"snapshot-{newest}").write_bytes(b"junk")
        elif kind == "foreign names":
            for name in ("damaged-notes", "snapshot-07", "log-1.bak"):
                (self.state_folder / name).write_text("by hand")
        else:
            with suppress(FileExistsError):
                os.mkfifo(self.state_folder / f"snapshot-{newest + 1}")


class Life:
    """One run of the program among the stand-ins of a scene."""

    def __init__(self, scene: Scene, seconds: float) -> None:
        """`seconds`: how long faults go on."""
        self.scene = scene
        self.report = LifeReport()
        self._seconds = seconds
        self._random = scene.random
        self._collectors: list[PingingCollector] = []
        self._process: subprocess.Popen[bytes] | None = None
        self._pinging = True
        self._rested_at = 0  # bytes of the log

    async def run(self) -> LifeReport:
        """Plays the life and returns what it showed."""
        if self.scene.keeps_state:
            self.report.steps.append(f"state folder: {self.scene.damage_state()}")
        with tempfile.TemporaryFile() as stderr:
            self._start(stderr)
            try:
                await self._play(stderr)
            finally:
                assert self._process
                self._process.kill()
                self._process.wait()
                for collector in self._collectors:
                    collector.close()
            self._check_log(stderr)
        self._check_state()
        return self.report

    def _fault(self, text: str) -> None:
        self.report.faults.append(text)

    # Start and end

    def _start(self, stderr: IO[bytes]) -> None:
        environment = {**os.environ, CONFIGURATION_VARIABLE: str(self.scene.configuration)}
        environment.pop(OPERATOR_VARIABLE, None)
        if self.scene.keeps_state:
            environment[OPERATOR_VARIABLE] = str(self.scene.folder / "operator.conf")
        self._process = subprocess.Popen(
            deployed_command(ROOT, RUN_KEY),
            shell=True,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=stderr,
        )

    async def _play(self, stderr: IO[bytes]) -> None:
        early = self._random.random() < 0.3
        if early:
            await self._program_runs()
            self._signals(signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP)
        if not await self._becomes_ready():
            return
        pinging = asyncio.create_task(self._ping())
        await asyncio.sleep(REST_S / 2)
        descriptors, memory_kb = self._descriptors(), self._memory_kb()
        await self._faults()
        await self._rest()
        if self._descriptors() > descriptors + EXTRA_DESCRIPTORS:
            self._fault(f"descriptors: {descriptors} before, {self._descriptors()} at rest")
        if self._memory_kb() > memory_kb + EXTRA_MEMORY_KB:
            self._fault(f"memory: {memory_kb} KB before, {self._memory_kb()} at rest")
        self._check_agreement()
        # Read back, a table that is not the one believed is one line of the log.
        self._rested_at = stderr.seek(0, os.SEEK_END)
        self.scene.relay.cut_watches(1)
        await asyncio.sleep(SETTLE_S)
        await self._end()
        self._pinging = False
        await pinging

    async def _program_runs(self) -> None:
        """Waits until the shell has given way to the program: before, signals are the shell's."""
        assert self._process
        command = Path(f"/proc/{self._process.pid}/cmdline")
        while b"havendyke\0" not in command.read_bytes() or b"trap" in command.read_bytes():
            await asyncio.sleep(0.001)

    async def _becomes_ready(self) -> bool:
        began = time.monotonic()
        while time.monotonic() - began < READY_LIMIT_S:
            with suppress(OSError):
                await self._connect_collector("a")
                await self._connect_collector("b")
                self.report.ready_s = round(time.monotonic() - began, 3)
                return True
            assert self._process
            if self._process.poll() is not None:
                self._fault(f"ended at its start with status {self._process.returncode}")
                return False
            await asyncio.sleep(0.01)
        self._fault("not ready in 30 s")
        return False

    async def _end(self) -> None:
        """SIGTERM, others with it; collectors go on until the kill."""
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
        self._signals(*series)
        try:
            status = await asyncio.to_thread(self._process.wait, KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            self._fault(f"still there {KILL_AFTER_S} s after its end was asked for")
            return
        if status != 0:
            self._fault(f"exit status {status}")

    def _signals(self, *numbers: signal.Signals) -> None:
        for number in numbers:
            if self._process and self._process.poll() is None:
                self._process.send_signal(number)

    # Collectors

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.scene.listen.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def _connect_collector(self, zone: str) -> None:
        self._collectors.append(PingingCollector(zone, *await self._connect()))

    async def _ping(self) -> None:
        """Each collector reports and asks PING; an answer that is late is a fault."""
        behind_since: dict[PingingCollector, float] = {}
        while self._pinging:
            for collector in [c for c in self._collectors if c.is_open]:
                if collector.answered < collector.sent:
                    since = behind_since.setdefault(collector, time.monotonic())
                    if time.monotonic() - since > PING_LIMIT_S:
                        self._fault("a collector's PING was not answered in time")
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

    async def _faults(self) -> None:
        ends = time.monotonic() + self._seconds
        steps = list(STEPS)
        if self._random.random() < 1 / 3:
            await self._step("crowd")
        while time.monotonic() < ends:
            await self._step(self._random.choice(steps))
            await asyncio.sleep(self._random.random() * MAX_STEP_PAUSE_S)

    async def _step(self, name: str) -> None:
        self.report.steps.append(name)
        await (STEPS | {"crowd": Life.crowd})[name](self)

    async def break_calls(self) -> None:
        """The next calls end in drawn ways, and a server drains so that there are some."""
        endings = [self._random.choice(list(CallEnding)) for _ in range(3)]
        self.report.steps += [ending.value for ending in endings]
        self.scene.relay.endings += endings
        await self.drain()

    async def drain(self) -> None:
        """A server drains, and comes back after a start."""
        name = self._random.choice(SERVERS)
        self.scene.discovery.change(**{name: "terminating"})
        await asyncio.sleep(self._random.random())
        self.scene.discovery.restart_server(name, round(time.time() * 1000))

    async def cut_relay_watches(self) -> None:
        """One watch of the relay breaks, or both."""
        self.scene.relay.cut_watches(self._random.choice((1, 2)))

    async def relay_says_junk(self) -> None:
        """The relay's watch brings a message that no protocol has."""
        self.scene.relay.say_junk(self._random.choice(JUNK_NOTIFICATIONS))

    async def cut_discovery_watches(self) -> None:
        """One watch of discovery breaks, or both."""
        self.scene.discovery.cut_watches(self._random.choice((1, 2)))

    async def spoil_list(self) -> None:
        """A change of the list cannot be read."""
        self.scene.discovery.spoil_change(self._random.choice(SERVERS))

    async def replace_proxy(self) -> None:
        """A proxy leaves and comes back."""
        proxy = self._random.choice((1, 2, 3))
        self.scene.relay.disconnect_proxy(proxy)
        await asyncio.sleep(self._random.random() / 2)
        self.scene.relay.connect_proxy(proxy, "ab"[proxy % 2])

    async def reassign_slice(self) -> None:
        """A slice is withdrawn and given back."""
        number = self._random.randrange(SLICES)
        table = self.scene.relay.withdraw_slice(number)
        await asyncio.sleep(self._random.random() / 2)
        self.scene.relay.grant_slice(number, table)

    async def move_relay(self) -> None:
        """SIGHUP moves the relay; the old address closes its connections 1.5 s later."""
        former = self.scene.relay
        self.scene.relay = next(relay for relay in self.scene.relays if relay is not former)
        await self.scene.relay.start()
        self.scene.write_configuration()
        self._signals(signal.SIGHUP)
        await asyncio.sleep(MOVED_CLOSES_AFTER_S)
        former.endings.clear()
        former.close()

    async def torn_configuration(self) -> None:
        """SIGHUP while the file is torn, then with a complete one."""
        whole = self.scene.configuration.read_bytes()
        self.scene.configuration.write_bytes(whole[: len(whole) // 2])
        self._signals(signal.SIGHUP)
        await asyncio.sleep(0.1)
        self.scene.write_configuration()
        self._signals(signal.SIGHUP)

    async def signal_series(self) -> None:
        """Signals that change nothing, several at once."""
        numbers = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
        self._signals(*(self._random.choice(numbers) for _ in range(5)))

    async def fail_server(self) -> None:
        """A server's health checks fail for a while."""
        server = self.scene.servers[self._random.choice(SERVERS)]
        server.healthy = False
        await asyncio.sleep(self._random.random())
        server.healthy = True

    async def crowd(self) -> None:
        """Hundreds of strangers at once; each is answered or closed in time."""
        turned_away = await asyncio.gather(
            *(
                is_turned_away(self._connect, STRANGERS[k % len(STRANGERS)], STRANGER_LIMIT_S)
                for k in range(CROWD)
            )
        )
        if not all(turned_away):
            self._fault(f"{turned_away.count(False)} strangers kept for {STRANGER_LIMIT_S} s")

    # Checks

    async def _rest(self) -> None:
        """Everything works again, and all comes to rest."""
        for relay in self.scene.relays:
            relay.endings.clear()
        self.scene.discovery.change(**dict.fromkeys(SERVERS, "in_service"))
        await asyncio.sleep(REST_S)
        open_ones = [collector for collector in self._collectors if collector.is_open]
        if len(open_ones) < len(self._collectors):
            self._fault(f"{len(self._collectors) - len(open_ones)} named collectors were closed")

    def _check_agreement(self) -> None:
        for number, table in self.scene.store.tables.items():
            usable = [name for name in table if name not in self.scene.store.ejected]
            if not usable:
                self._fault(f"slice {number} has no server at rest: {table}")

    def _descriptors(self) -> int:
        assert self._process
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def _memory_kb(self) -> int:
        assert self._process
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        return int(next(line.split()[1] for line in lines if line.startswith("VmRSS")))

    def _check_log(self, stderr: IO[bytes]) -> None:
        stderr.seek(self._rested_at)
        after_rest = stderr.read() if self._rested_at else b""
        stderr.seek(0)
        self.report.faults += log_faults(stderr.read().decode(errors="replace"))
        if b'"snapshot_differs"' in after_rest:
            self._fault("at rest the store's tables are not the ones believed")

    def _check_state(self) -> None:
        if not self.scene.keeps_state or not self.report.ready_s:
            return
        command = [sys.executable, "-m", "havendyke", "state", "verify"]
        verified = subprocess.run(
            [*command, str(self.scene.state_folder)], cwd=ROOT, capture_output=True, text=True
        )
        if verified.returncode:
            self._fault(f"state verify: {verified.stdout.strip()} {verified.stderr.strip()}")


STEPS: dict[str, Callable[[Life], Awaitable[None]]] = {
    "calls break": Life.break_calls,
    "server drains": Life.drain,
    "relay watches cut": Life.cut_relay_watches,
    "relay says junk": Life.relay_says_junk,
    "discovery watches cut": Life.cut_discovery_watches,
    "list spoilt": Life.spoil_list,
    "proxy replaced": Life.replace_proxy,
    "slice reassigned": Life.reassign_slice,
    "relay moves": Life.move_relay,
    "configuration torn": Life.torn_configuration,
    "signals": Life.signal_series,
    "server fails": Life.fail_server,
}
