"""Lives of the real program among stand-ins that fail.

    python -m benchmarks soak [--seeds A:B] [--lives N] [--seconds S] [--jobs J]

Each seed draws a scene and plays some lives on the same address and folders, one right after the
other: calls to the relay that break in every way, watches that are cut, spoilt lists, proxies and
slices that come and go, the relay moved by SIGHUP, torn configurations, signals in series, crowds,
damaged state folders. Named collectors report and ask PING on their open connections until the
kill, 0.7 s after SIGTERM.

Checked: ready in 30 s, and nine in ten starts in 10 s; every PING answered in 3 s, every stranger
answered or closed in 6 s; exit status 0 within 0.7 s; at rest each slice has a server, nothing is
unpublished, descriptors and memory are back; no defect and no unknown event in the log;
`havendyke state verify` is clean.

A seed fixes the draws and their order; the clock leaves open at which moment of the program they
meet it. Not covered: the five rules over what proxies do, a full or read-only disk, the log line by
line.

Status 0: no fault; 1: some."""

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


async def play_seed(seed: int, lives: int, seconds: float) -> list[RunReport]:
    """Plays one seed's lives, one after the other."""
    with tempfile.TemporaryDirectory() as folder:
        scenario = Scenario(Path(folder), seed)
        await scenario.start()
        try:
            return [await ProgramRun(scenario, seconds).run() for _ in range(lives)]
        finally:
            scenario.close()


async def play(seeds: range, lives: int, seconds: float, jobs: int) -> dict[int, list[RunReport]]:
    """Plays all seeds, so many at a time."""
    slots = asyncio.Semaphore(jobs)

    async def play_one(seed: int) -> list[RunReport]:
        async with slots:
            return await play_seed(seed, lives, seconds)

    reports = await asyncio.gather(*(play_one(seed) for seed in seeds))
    return dict(zip(seeds, reports, strict=True))


def faults(reports: dict[int, list[RunReport]]) -> list[str]:
    """All faults, each with its seed and life; late starts are judged over all."""
    found = [
        f"seed {seed} life {number}: {fault}"
        for seed, lives in reports.items()
        for number, run in enumerate(lives, 1)
        for fault in run.faults
    ]
    starts = [run.ready_s for lives in reports.values() for run in lives]
    in_time = sum(0 < ready_s <= READY_TARGET_S for ready_s in starts)
    if in_time < READY_TARGET_SHARE * len(starts):
        found.append(f"{in_time} of {len(starts)} starts were ready in {READY_TARGET_S} s")
    return found


def seed_range(text: str) -> range:
    """`A:B`, the seeds from A to B - 1."""
    first, _, end = text.partition(":")
    return range(int(first), int(end))


def main(arguments: Sequence[str]) -> int:
    """Prints one JSON line; returns the status."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=seed_range, default=range(1, 4))
    parser.add_argument("--lives", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args(arguments)
    reports = asyncio.run(play(options.seeds, options.lives, options.seconds, options.jobs))
    found = faults(reports)
    starts = sorted(run.ready_s for lives in reports.values() for run in lives)
    result = {
        "seeds": [options.seeds.start, options.seeds.stop],
        "lives": len(starts),
        "steps": sum(len(run.steps) for lives in reports.values() for run in lives),
        "ready_s": {"median": starts[len(starts) // 2], "max": starts[-1]},
        "faults": found,
    }
    print(json.dumps(result))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
