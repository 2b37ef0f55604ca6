"""Runs each target in a process of its own, collects the results and maintains the corpus."""

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
EXIT_GRACE_S = 60.0  # by which a run may exceed its duration before it is killed
MAX_CORPUS_INPUTS = 60  # per target


def work_directory(target: Target) -> Path:
    return cases.WORK_DIR / target.name


def prepare_work_directory(target: Target) -> Path:
    """Writes all kept inputs of the target as files for libFuzzer; returns the work directory."""
    inputs_directory = work_directory(target) / "inputs"
    inputs_directory.mkdir(parents=True, exist_ok=True)
    for _, data in cases.kept_inputs(target):
        (inputs_directory / cases.input_name(data)).write_bytes(data)
    return work_directory(target)


def run_target(target: Target, seconds: int, seed: int, engine: str | None = None) -> dict:
    """Runs one target in a process; returns its last status, with a failure of the process itself
    as `error`."""
    directory = prepare_work_directory(target)
    request = {
        "target": target.name,
        "engine": engine or target.engine,
        "seconds": seconds,
        "seed": seed,
        "folder": str(directory),
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
        out, errors = process.communicate(json.dumps(request), timeout=seconds + EXIT_GRACE_S)
    except subprocess.TimeoutExpired:
        process.kill()
        out, errors = process.communicate()
        errors += "\nthe process did not exit in time"
    lines = [json.loads(line) for line in out.splitlines() if line.startswith("{")]
    result = (
        lines[-1]
        if lines
        else {**request, "executions": 0, "findings": [], "reached": 0, "new": 0, "quiet": 0.0}
    )
    result["seconds"] = max(result["seconds"], 0.1)
    if request["engine"] == "atheris":
        coverage = parse_coverage(errors)
        result |= {
            "reached": coverage[-1][1] if coverage else 0,
            "new": coverage[-1][1] - coverage[0][1] if coverage else 0,
        }
        # libFuzzer reports the execution that reached the last new edge, not its time: the time is
        # estimated from the average rate of the run.
        last_new_execution = max(
            (n for n, _, new in ((a, b, c) for a, b, c in coverage) if new), default=0
        )
        result["quiet"] = round(
            result["seconds"] * (1 - min(1.0, last_new_execution / max(result["executions"], 1))), 1
        )
    if not lines or process.returncode not in (0, None) and not result["executions"]:
        result["error"] = (
            errors.strip().splitlines()[-1][:300]
            if errors.strip()
            else f"status {process.returncode}"
        )
    return result


def parse_coverage(errors: str) -> list:
    """(execution, edges, whether an input was new) of each status line of libFuzzer."""
    coverage = []
    for line in errors.splitlines():
        fields = line.split()
        if (
            len(fields) > 3
            and fields[0].startswith("#")
            and fields[0][1:].isdigit()
            and "cov:" in fields
        ):
            coverage.append(
                (int(fields[0][1:]), int(fields[fields.index("cov:") + 1]), fields[1] == "NEW")
            )
    return coverage


def run(targets: list, seconds: int, jobs: int, seed: int, engine=None, report=print) -> list:
    """Runs the targets, `jobs` at a time; each run is reported and appended to `runs.jsonl`."""

    def run_numbered(numbered):
        number, target = numbered
        result = run_target(target, seconds, seed + number, engine)
        result |= {
            "at": datetime.now(timezone.utc).strftime("%Y-%m-%dT%H:%MZ"),
            "version": engine_version(result["engine"]),
        }
        report(result)
        return result

    for target in targets:
        shutil.rmtree(work_directory(target) / "found", ignore_errors=True)
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(run_numbered, enumerate(targets)))
    with RUNS_FILE.open("a") as file:
        for result in results:
            file.write(json.dumps(result, sort_keys=True) + "\n")
    return results


def engine_version(engine: str) -> str:
    return f"{engine} {version(engine)}"


def minimised_findings(target: Target) -> list:
    """Findings of the last run with minimised inputs: (signature, message, input)."""
    findings = []
    for path in sorted((work_directory(target) / "found").glob("*.json")):
        finding = json.loads(path.read_text())
        data, _ = shrink(target, bytes.fromhex(finding["input"]), 600)
        findings.append((finding["signature"], finding["said"], data))
    return findings


def merge(target: Target, max_candidates: int = 3000) -> tuple:
    """Reduces the corpus and the inputs of the last run to a small set that reaches the same line
    transitions; returns (inputs before, inputs after, bytes, transitions)."""
    corpus_directory, inputs = cases.CORPUS_DIR / target.name, {}
    for source in (corpus_directory, work_directory(target) / "fresh"):
        for path in source.glob("*.hex"):
            inputs[cases.read_input(path)] = None
    for path in (work_directory(target) / "inputs").glob("*") if target.engine == "atheris" else ():
        inputs[path.read_bytes()[: target.max_size]] = None
    seeds, trace = target.seeds(), cases.TransitionTrace()
    reached = (
        set().union(*(trace.transitions_of(target, seed) for seed in seeds)) if seeds else set()
    )
    candidates = sorted(
        (data for data in inputs if len(data) <= cases.MAX_INPUT_BYTES and data not in seeds),
        key=lambda d: (len(d), d),
    )
    transitions_by_input = {}
    for data in candidates[:max_candidates]:
        if cases.run_and_catch(target, data) is None:
            transitions_by_input[data] = trace.transitions_of(target, data)
    chosen = []
    while transitions_by_input and len(chosen) < MAX_CORPUS_INPUTS:
        # Greedy choice by new transitions; ties go to the shorter input.
        best = max(
            transitions_by_input, key=lambda d: (len(transitions_by_input[d] - reached), -len(d))
        )
        new_transitions = transitions_by_input.pop(best) - reached
        if not new_transitions:
            break
        reached |= new_transitions
        chosen.append(best)
        transitions_by_input = {d: r for d, r in transitions_by_input.items() if not r <= reached}
    shutil.rmtree(corpus_directory, ignore_errors=True)
    for data in chosen:
        cases.write_input(corpus_directory, data)
    return len(inputs), len(chosen), sum(map(len, chosen)), len(reached)
