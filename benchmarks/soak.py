"""Repeated runs of the program with stub peers that fail.

    python -m benchmarks soak [--seeds A:B] [--lives N] [--seconds S] [--jobs J]

Each seed draws a scenario and runs the program `--lives` times, one run right after the other, on
the same address and folders. It injects failed calls to the relay, reset watches, unreadable lists,
proxies that disconnect, slices that are reassigned, a relay address changed by SIGHUP, truncated
configurations, series of signals, many unknown clients and damaged state folders. Named collectors
report and send PING on their open connections until the kill, 0.7 s after SIGTERM.

Checked: ready in 30 s, and nine in ten starts in 10 s; every PING answered in 3 s, every unknown
client answered or closed in 6 s; exit status 0 within 0.7 s; after the faults each slice has a
server, nothing is unpublished, descriptors and memory are back at their level; no defect and no
unregistered event in the log; `havendyke state verify` succeeds.

A seed fixes the draws and their order, but not the program's state at the time of each. Not
covered: the five rules on the proxies' behavior, a full or read-only disk, single lines of the log.

Exit status 0: no fault; 1: some."""

import argparse
import asyncio
import json
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from ._soak_run import ProgramRun, RunReport, Scenario

READY_TARGET_S = 10.0
READY_TARGET_SHARE = 0.9


async def run_seed(seed: int, runs: int, seconds: float) -> list[RunReport]:
    """Runs the program for one seed, `runs` times."""
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(Path(folder), seed)
        await scenario.start()
        try:
            return [await ProgramRun(scenario, seconds).run() for _ in range(runs)]
        finally:
            scenario.close()


async def run_seeds(
    seeds: range, runs: int, seconds: float, jobs: int
) -> dict[int, list[RunReport]]:
    """Runs all seeds, at most `jobs` at a time."""
    slots = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> list[RunReport]:
        async with slots:
            return await run_seed(seed, runs, seconds)

    reports = await asyncio.gather(*(run_one(seed) for seed in seeds))
    return dict(zip(seeds, reports, strict=True))


def faults(reports: dict[int, list[RunReport]]) -> list[str]:
    """All faults, each with its seed and run; the share of late starts is that of all runs."""
    found = [
        f"seed {seed} run {number}: {fault}"
        for seed, runs in reports.items()
        for number, run in enumerate(runs, 1)
        for fault in run.faults
    ]
    starts = [run.ready_s for runs in reports.values() for run in runs]
    in_time = sum(0 < ready_s <= READY_TARGET_S for ready_s in starts)
    if in_time < READY_TARGET_SHARE * len(starts):
        found.append(f"{in_time} of {len(starts)} starts were ready in {READY_TARGET_S} s")
    return found


def parse_seed_range(text: str) -> range:
    """Parses `A:B`, the seeds from A to B - 1."""
    first, _, end = text.partition(":")
    return range(int(first), int(end))


def main(arguments: Sequence[str]) -> int:
    """Prints one JSON line; returns the exit status."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=parse_seed_range, default=range(1, 4))
    parser.add_argument("--lives", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(arguments)
    reports = asyncio.run(run_seeds(options.seeds, options.lives, options.seconds, options.jobs))
    found = faults(reports)
    starts = sorted(run.ready_s for runs in reports.values() for run in runs)
    result = {
        "seeds": [options.seeds.start, options.seeds.stop],
        "lives": len(starts),
        "steps": sum(len(run.steps) for runs in reports.values() for run in runs),
        "ready_s": {"median": starts[len(starts) // 2], "max": starts[-1]},
        "faults": found,
    }
    print(json.dumps(result))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
