"""What clients that send without pause cost: `clients [--against COMMIT]`.

Starts the program on loopback, once for each flood and number of flooding clients, and reports the
peak of its memory (MiB) and the longest wait for the answer to another client's PING (ms)."""

import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ._earlier import PACKAGE, ROOT, UnknownRevisionError, extract
from ._stub_peers import resp_command
from .start import HOST, PING, Options, UsageError, answers, configuration

CLIENT_COUNTS = (1, 60, 480)
FLOOD_S = 4.0
READING_S = 6.0  # after the flood, for what still waits in the sockets
PING_INTERVAL_S = 0.02
PING_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01
READ_BYTES = 1 << 16
LIMITS = {"memory_mb": 192, "sockets": 1024}
KIB_PER_MIB = 1024

IDENTIFICATION = resp_command("SOURCE", "az", "a")
LARGE_VALUE = "x" * 1_000_000
# The messages that each flooding client sends again and again.
FLOODS = {
    "pings": PING * 4_000,
    "invalid reports": resp_command("LOAD", "az", "a") * 4_000,
    "new names": b"".join(
        resp_command("LOAD", "az", "a", "host", f"new-{number}") for number in range(4_000)
    ),
    "many short parts": b"*149000\r\n" + b"$1\r\nx\r\n" * 149_000,
    "small messages behind a large one": resp_command("LOAD", "x", LARGE_VALUE) + PING * 70_000,
}
# Messages that each client sends once, up to their middle.
UNFINISHED = {
    "unfinished, many short parts": FLOODS["many short parts"][:500_000],
    "unfinished, one long part": resp_command("LOAD", "x", LARGE_VALUE)[:500_000],
}


@dataclass(frozen=True)
class Cost:
    """What one flood cost."""

    peak_memory_mb: float
    longest_wait_ms: float


class Program:
    """One running program."""

    def __init__(self, folder: Path) -> None:
        """Starts the version in a folder and waits until it answers."""
        with socket.create_server((HOST, 0)) as listener:
            self.port: int = listener.getsockname()[1]
        path = folder / "config.json"
        path.write_text(json.dumps(configuration(self.port, 1) | {"limits": LIMITS}))
        self.process = subprocess.Popen(
            [sys.executable, "-m", PACKAGE, "--config", str(path)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            cwd=folder,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )
        while not answers(self.port):
            if self.process.poll() is not None:
                raise RuntimeError("the program exited before it answered")
            time.sleep(POLL_INTERVAL_S)

    def connect(self) -> socket.socket:
        """A connection of a client that has named its zone."""
        connection = socket.create_connection((HOST, self.port), PING_TIMEOUT_S)
        connection.sendall(IDENTIFICATION)
        return connection

    def peak_memory_mb(self) -> float:
        """The largest resident size so far (MiB)."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        kib = status.partition("VmHWM:")[2].split()[0]
        return round(int(kib) / KIB_PER_MIB, 1)

    def close(self) -> None:
        """Ends the process."""
        self.process.kill()
        self.process.wait()


class PingingClient:
    """Another client, which sends a PING and waits for its answer, from a thread."""

    def __init__(self, program: Program) -> None:
        """Connects; sends nothing yet."""
        self.longest_wait_s = 0.0
        self._connection = program.connect()
        self._stopped = threading.Event()

    @contextmanager
    def running(self) -> Iterator[None]:
        """Sends PINGs within the context."""
        thread = threading.Thread(target=self._run)
        thread.start()
        try:
            yield
        finally:
            self._stopped.set()
            thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(PING_INTERVAL_S):
            started_s = time.monotonic()
            self._connection.sendall(PING)
            # A wait without an answer counts as long as it took.
            with suppress(OSError):
                self._connection.recv(READ_BYTES)
            self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - started_s)


def send_from_all(connections: Sequence[socket.socket], data: bytes, repeat: bool) -> None:
    """Sends the data from all connections for `FLOOD_S` at most, and discards the answers."""
    selector = selectors.DefaultSelector()
    unsent = {}
    for connection in connections:
        connection.setblocking(False)
        selector.register(connection, selectors.EVENT_READ | selectors.EVENT_WRITE)
        unsent[connection] = memoryview(data)
    end_s = time.monotonic() + FLOOD_S
    while selector.get_map() and time.monotonic() < end_s:
        for key, events in selector.select(POLL_INTERVAL_S):
            connection = key.fileobj
            assert isinstance(connection, socket.socket)
            with suppress(BlockingIOError):
                try:
                    if events & selectors.EVENT_READ and not connection.recv(READ_BYTES):
                        raise ConnectionResetError
                    if events & selectors.EVENT_WRITE:
                        sent = connection.send(unsent[connection][:READ_BYTES])
                        unsent[connection] = unsent[connection][sent:]
                except ConnectionError:
                    selector.unregister(connection)
                    continue
            if not unsent[connection] and repeat:
                unsent[connection] = memoryview(data)
            elif not unsent[connection]:
                selector.unregister(connection)


def cost_of(folder: Path, data: bytes, client_count: int, repeat: bool) -> Cost:
    """What the data costs the version in a folder."""
    program = Program(folder)
    connections: list[socket.socket] = []
    try:
        other = PingingClient(program)
        with other.running():
            connections += [program.connect() for _ in range(client_count)]
            send_from_all(connections, data, repeat)
            time.sleep(READING_S)
        return Cost(program.peak_memory_mb(), round(1000 * other.longest_wait_s, 1))
    finally:
        for connection in connections:
            connection.close()
        program.close()


def measure(versions: Mapping[str, Path]) -> dict[str, Any]:
    """All figures of the versions, by flood and number of clients: [memory, wait]."""
    figures: dict[str, Any] = {}
    for name, data in (FLOODS | UNFINISHED).items():
        for client_count in CLIENT_COUNTS:
            for version, folder in versions.items():
                cost = cost_of(folder, data, client_count, repeat=name in FLOODS)
                key = f"{version}{name}, {client_count} clients"
                figures[key] = [cost.peak_memory_mb, cost.longest_wait_ms]
    return {
        "benchmark": "clients",
        "limits": LIMITS,
        "peak_memory_mb_and_longest_wait_ms": figures,
    }


def main(arguments: Sequence[str]) -> int:
    """Prints the figures as one line of JSON; returns the exit status."""
    options = Options(prog="benchmarks clients")
    options.add_argument("--against", metavar="COMMIT", help="an earlier version")
    try:
        before = options.parse_args(arguments).against
        with tempfile.TemporaryDirectory() as workspace:
            versions = {"": Path(workspace) / "present"}
            versions[""].mkdir()
            (versions[""] / PACKAGE).symlink_to(ROOT / PACKAGE)
            if before is not None:
                versions["earlier, "] = Path(workspace) / "earlier"
                extract(before, versions["earlier, "])
            print(json.dumps(measure(versions)))
    except (UsageError, UnknownRevisionError) as error:
        print(f"benchmarks: clients: {error}", file=sys.stderr)
        return 2
    return 0
