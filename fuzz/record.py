"""Writes the summary page of the fuzzing runs, and measures the branch coverage of the kept
inputs."""

import json

from . import cases, engine, registry

MODULES = ("config", "fields", "registry", "policy", "state", "net")
RECORD = cases.PACKAGE_DIR / "RECORD.md"


class BranchCoverage:
    """Measures from its creation on, which must precede the import of `havendyke`."""

    def __init__(self):
        import coverage

        self.coverage = coverage.Coverage(
            branch=True, source_pkgs=["havendyke"], omit=["*/lab/*"], data_file=None
        )
        self.coverage.start()

    def branch_shares(self) -> list:
        """(file, share of branches reached, number of branches) of the modules in `MODULES`."""
        self.coverage.stop()
        shares = []
        for path in sorted(self.coverage.get_data().measured_files()):
            module_path = path.rpartition("havendyke/")[2]
            if module_path.split("/")[0].removesuffix(
                ".py"
            ) in MODULES and not module_path.endswith("__init__.py"):
                numbers = self.coverage._analyze(path).numbers
                if numbers.n_branches:
                    share = numbers.n_executed_branches / numbers.n_branches
                    shares.append((module_path, share, numbers.n_branches))
        return shares


def runs() -> list:
    return (
        [json.loads(line) for line in engine.RUNS_FILE.read_text().splitlines()]
        if engine.RUNS_FILE.exists()
        else []
    )


def table(records: list) -> list:
    """One row per target: the totals of its runs, and its last run."""
    rows = [
        "| target | engine | runs | seconds | executions | a second | last run: new | findings | "
        "quiet at its end |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name in sorted({t["target"] for t in records}):
        own_runs = [t for t in records if t["target"] == name]
        seconds, executions, last = (
            sum(t["seconds"] for t in own_runs),
            sum(t["executions"] for t in own_runs),
            own_runs[-1],
        )
        rows.append(
            f"| {name} | {last['version']} | {len(own_runs)} | {seconds:.0f} | {executions} | "
            f"{executions / seconds:.0f} | "
            f"{last['new']} | {len(last['findings'])} | "
            f"{seconds_without_finding(own_runs):.0f} s |"
        )
    return rows


def seconds_without_finding(own_runs: list) -> float:
    """Total duration of a target's runs since its last run with a finding."""
    seconds = 0.0
    for run in reversed(own_runs):
        if run["findings"]:
            break
        seconds += run["seconds"]
    return seconds


def write() -> str:
    records = runs()
    unknown = {t["target"] for t in records} - set(registry.load())
    records = [t for t in records if t["target"] not in unknown]
    total = sum(t["seconds"] for t in records)
    lines = [
        "# How long each target ran",
        "",
        "Written by `python -m fuzz record` from `runs.jsonl`, a line for each run. "
        '"New" is edges (atheris) or steps from',
        "line to line (hypothesis) that the run reached beyond the kept inputs; "
        '"quiet" is how long the last runs went on',
        "without a finding. A run that found something is followed by its cure in `FINDINGS.md`.",
        "",
        *table(records),
        "",
        f"In all {len(records)} runs, {total / 60:.0f} minutes of one process.",
    ]
    RECORD.write_text("\n".join(lines) + "\n")
    return (
        f"{len(records)} runs of {len({t['target'] for t in records})} targets, "
        f"{total / 60:.0f} minutes"
    )
