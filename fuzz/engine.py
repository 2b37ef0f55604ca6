"""Runs targets in processes of their own, gathers what they tell, and keeps what is worth
keeping."""

import json
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime, timezone
from importlib.metadata import version
from pathlib import Path

from . import cases
from .minimise import shrink
from .registry import Target

RUNS_FILE = cases.PACKAGE_DIR / "runs.jsonl"
GRACE = 60.0  # s that a run may take beyond its time
MAX_CORPUS_INPUTS = 60  # inputs of a target in the corpus


def work(target: Target) -> Path:
    return cases.WORK_DIR / target.name


def prepared(target: Target) -> Path:
    """The target's work folder with all kept inputs as files for libFuzzer."""
    folder = work(target) / "inputs"
    folder.mkdir(parents=True, exist_ok=True)
    for _, data in cases.kept_inputs(target):
        (folder / cases.input_name(data)).write_bytes(data)
    return work(target)


def one(target: Target, seconds: int, seed: int, engine: str | None = None) -> dict:
    """One process on one target; its last word, with what went wrong with the process itself under
    `error`."""
    folder = prepared(target)
    asked = {
        "target": target.name,
        "engine": engine or target.engine,
        "seconds": seconds,
        "seed": seed,
        "folder": str(folder),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "fuzz.child"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=cases.PACKAGE_DIR.parent,
    )
    try:
        out, errors = process.communicate(json.dumps(asked), timeout=seconds + GRACE)
    except subprocess.TimeoutExpired:
        process.kill()
        out, errors = process.communicate()
        errors += "\nit did not end in time"
    lines = [json.loads(line) for line in out.splitlines() if line.startswith("{")]
    told = (
        lines[-1]
        if lines
        else {**asked, "executions": 0, "findings": [], "reached": 0, "new": 0, "quiet": 0.0}
    )
    told["seconds"] = max(told["seconds"], 0.1)
    if asked["engine"] == "atheris":
        reached = coverage_of(errors)
        told |= {
            "reached": reached[-1][1] if reached else 0,
            "new": reached[-1][1] - reached[0][1] if reached else 0,
        }
        # Which execution brought the last new edge tells when, at the run's own pace.
        last = max((n for n, _, new in ((a, b, c) for a, b, c in reached) if new), default=0)
        told["quiet"] = round(
            told["seconds"] * (1 - min(1.0, last / max(told["executions"], 1))), 1
        )
    if not lines or process.returncode not in (0, None) and not told["executions"]:
        told["error"] = (
            errors.strip().splitlines()[-1][:300]
            if errors.strip()
            else f"status {process.returncode}"
        )
    return told


def coverage_of(errors: str) -> list:
    """(execution, edges, whether new) of libFuzzer's lines."""
    made = []
    for line in errors.splitlines():
        words = line.split()
        if (
            len(words) > 3
            and words[0].startswith("#")
            and words[0][1:].isdigit()
            and "cov:" in words
        ):
            made.append((int(words[0][1:]), int(words[words.index("cov:") + 1]), words[1] == "NEW"))
    return made


def run(targets: list, seconds: int, jobs: int, seed: int, engine=None, tell=print) -> list:
    """All targets, `jobs` at a time; each run is told and kept as one line of `runs.jsonl`."""

    def each(numbered):
        number, target = numbered
        told = one(target, seconds, seed + number, engine)
        told |= {
            "at": datetime.now(timezone.utc).strftime("%Y-%m-%dT%H:%MZ"),
            "version": version_of(told["engine"]),
        }
        tell(told)
        return told

    for target in targets:
        shutil.rmtree(work(target) / "found", ignore_errors=True)
    with ThreadPoolExecutor(jobs) as pool:
        made = list(pool.map(each, enumerate(targets)))
    with RUNS_FILE.open("a") as file:
        for told in made:
            file.write(json.dumps(told, sort_keys=True) + "\n")
    return made


def version_of(engine: str) -> str:
    return f"{engine} {version(engine)}"


def minimised_findings(target: Target) -> list:
    """What the last run found, each made small: (signature, said, input)."""
    made = []
    for path in sorted((work(target) / "found").glob("*.json")):
        told = json.loads(path.read_text())
        data, _ = shrink(target, bytes.fromhex(told["input"]), 600)
        made.append((told["signature"], told["said"], data))
    return made


def merge(target: Target, most: int = 3000) -> tuple:
    """Keeps the smallest inputs that together reach what all reach: (before, after, bytes, steps
    reached)."""
    folder, inputs = cases.CORPUS_DIR / target.name, {}
    for source in (folder, work(target) / "fresh"):
        for path in source.glob("*.hex"):
            inputs[cases.read_input(path)] = None
    for path in (work(target) / "inputs").glob("*") if target.engine == "atheris" else ():
        inputs[path.read_bytes()[: target.max_size]] = None
    seeds, reach = target.seeds(), cases.TransitionTrace()
    reached = set().union(*(reach.of(target, seed) for seed in seeds)) if seeds else set()
    candidates = sorted(
        (data for data in inputs if len(data) <= cases.MAX_INPUT_BYTES and data not in seeds),
        key=lambda d: (len(d), d),
    )
    each = {}
    for data in candidates[:most]:
        if cases.run_and_catch(target, data) is None:
            each[data] = reach.of(target, data)
    chosen = []
    while each and len(chosen) < MAX_CORPUS_INPUTS:
        # The most new steps first; of equals the shorter.
        best = max(each, key=lambda d: (len(each[d] - reached), -len(d)))
        fresh = each.pop(best) - reached
        if not fresh:
            break
        reached |= fresh
        chosen.append(best)
        each = {d: r for d, r in each.items() if not r <= reached}
    shutil.rmtree(folder, ignore_errors=True)
    for data in chosen:
        cases.write_input(folder, data)
    return len(inputs), len(chosen), sum(map(len, chosen)), len(reached)
