"""The time from the program's start to its first answer, with and without precompiled bytecode, at
four sizes of the known endpoint list: `start [--against COMMIT]`.

Starts processes on loopback, versions interleaved. The figures, also those of an earlier version,
are ratios to the present version's median start without bytecode and without servers."""

import argparse
import json
import os
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NoReturn

from ._earlier import PACKAGE, ROOT, UnknownRevisionError, extract

SIZES = (0, 200, 1024, 4096)  # servers in the known list
REPEATS = 7
HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.001
PING = b"*1\r\n$4\r\nPING\r\n"
SETTINGS = {
    "requestClasses": [{"name": "lookup", "promise": 1e9, "hardLimit": 3e9, "repeat": "pure"}],
    "familyInfo": {"keyRanges": 240},
    "localities": ["a"],
    "kinds": ["m"],
}


class UsageError(ValueError):
    """The command line is invalid."""


class Options(argparse.ArgumentParser):
    """A parser that raises instead of printing its usage."""

    def error(self, message: str) -> NoReturn:
        """Raises `CallError`."""
        raise UsageError(message)


def server(number: int) -> dict[str, Any]:
    """A server's entry in the known list."""
    return {
        "uid": f"s{number}",
        "endpoint": "127.0.0.9:80",
        "az": "a",
        "model": "m",
        "pod_group": 3,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def configuration(port: int, servers: int) -> dict[str, Any]:
    """A configuration whose discovery and relay are unreachable."""
    return {
        "name": "n",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:1",
        "seed": "1",
        "settings": SETTINGS,
        "distributor": {"address": f"{HOST}:1"},
        "known": {"rev": 1, "all": True, "targets": [server(k) for k in range(servers)]},
    }


def start_time_s(folder: Path, servers: int) -> float:
    """Seconds from the start of the version in a folder to its first answer."""
    with socket.create_server((HOST, 0)) as listener:
        port = listener.getsockname()[1]
    path = folder / "config.json"
    path.write_text(json.dumps(configuration(port, servers)))
    began = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-m", PACKAGE, "--config", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        cwd=folder,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    )
    try:
        while process.poll() is None:
            if answers(port):
                return time.perf_counter() - began
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError("the program exited before it answered")
    finally:
        process.kill()
        process.wait()


def answers(port: int) -> bool:
    """Whether the program answers a PING on the port."""
    try:
        with socket.create_connection((HOST, port)) as connection:
            connection.sendall(PING)
            return bool(connection.recv(16))
    except OSError:
        return False


def prepare(sources: Path, folder: Path, compiled: bool) -> None:
    """Copies a version's package into a folder and optionally compiles it."""
    skipped = shutil.ignore_patterns("__pycache__")
    shutil.copytree(sources / PACKAGE, folder / PACKAGE, ignore=skipped)
    if compiled:
        subprocess.run([sys.executable, "-m", "compileall", "-q", str(folder)], check=True)


def prepare_all(workspace: Path, before: str | None) -> dict[str, Path]:
    """Folders with each version, plain and compiled, by their names in the figures."""
    versions = {"": ROOT}
    if before is not None:
        versions["earlier "] = workspace / "sources"
        extract(before, versions["earlier "])
    folders = {}
    for version, sources in versions.items():
        for kind in ("plain", "compiled"):
            folders[version + kind] = workspace / (version + kind)
            prepare(sources, folders[version + kind], kind == "compiled")
    return folders


def measure(before: str | None = None) -> dict[str, Any]:
    """All figures, with those of an earlier version if one is given."""
    with tempfile.TemporaryDirectory() as workspace:
        folders = prepare_all(Path(workspace), before)
        times: dict[tuple[str, int], list[float]] = {
            (kind, size): [] for size in SIZES for kind in folders
        }
        for _ in range(REPEATS):
            for kind, size in times:
                times[kind, size].append(start_time_s(folders[kind], size))
    base = statistics.median(times["plain", 0])
    return {
        "benchmark": "start",
        **({} if before is None else {"before": before}),
        "repeats": REPEATS,
        "ratio_to": "plain, no server",
        "min_median_max": {
            f"{kind}, {size} servers": [
                round(f(seconds) / base, 2) for f in (min, statistics.median, max)
            ]
            for (kind, size), seconds in times.items()
        },
    }


def main(arguments: Sequence[str]) -> int:
    """Prints the figures as one line of JSON; returns the exit status."""
    options = Options(prog="benchmarks start")
    options.add_argument("--against", metavar="COMMIT", help="an earlier version")
    try:
        figures = measure(options.parse_args(arguments).against)
    except (UsageError, UnknownRevisionError) as error:
        print(f"benchmarks: start: {error}", file=sys.stderr)
        return 2
    print(json.dumps(figures))
    return 0
