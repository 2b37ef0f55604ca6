"""What the runs amount to, as a page; and which share of the product's branches the kept inputs
reach."""

import json

from . import cases, engine, registry

MODULES = ("config", "fields", "registry", "policy", "state", "net")
RECORD = cases.PACKAGE_DIR / "RECORD.md"


class Branches:
    """Watches from now on; begin before the product is imported."""

    def __init__(self):
        import coverage

        self.watch = coverage.Coverage(
            branch=True, source_pkgs=["havendyke"], omit=["*/lab/*"], data_file=None
        )
        self.watch.start()

    def shares(self) -> list:
        """(file, share of its branches reached, how many it has), for the modules that fuzzing is
        for."""
        self.watch.stop()
        made = []
        for path in sorted(self.watch.get_data().measured_files()):
            short = path.rpartition("havendyke/")[2]
            if short.split("/")[0].removesuffix(".py") in MODULES and not short.endswith(
                "__init__.py"
            ):
                numbers = self.watch._analyze(path).numbers
                if numbers.n_branches:
                    share = numbers.n_executed_branches / numbers.n_branches
                    made.append((short, share, numbers.n_branches))
        return made


def runs() -> list:
    return (
        [json.loads(line) for line in engine.RUNS_FILE.read_text().splitlines()]
        if engine.RUNS_FILE.exists()
        else []
    )


def table(told: list) -> list:
    """A row a target: all its runs added up, and its last one."""
    rows = [
        "| target | engine | runs | seconds | executions | a second | last run: new | findings | "
        "quiet at its end |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name in sorted({t["target"] for t in told}):
        mine = [t for t in told if t["target"] == name]
        seconds, count, last = (
            sum(t["seconds"] for t in mine),
            sum(t["executions"] for t in mine),
            mine[-1],
        )
        rows.append(
            f"| {name} | {last['version']} | {len(mine)} | {seconds:.0f} | {count} | "
            f"{count / seconds:.0f} | "
            f"{last['new']} | {len(last['findings'])} | {quiet(mine):.0f} s |"
        )
    return rows


def quiet(mine: list) -> float:
    """Seconds at the end of a target's runs in which nothing was found: whole runs without a
    finding."""
    made = 0.0
    for told in reversed(mine):
        if told["findings"]:
            break
        made += told["seconds"]
    return made


def write() -> str:
    told = runs()
    unknown = {t["target"] for t in told} - set(registry.load())
    told = [t for t in told if t["target"] not in unknown]
    total = sum(t["seconds"] for t in told)
    lines = [
        "# How long each target ran",
        "",
        "Written by `python -m fuzz record` from `runs.jsonl`, a line for each run. "
        '"New" is edges (atheris) or steps from',
        "line to line (hypothesis) that the run reached beyond the kept inputs; "
        '"quiet" is how long the last runs went on',
        "without a finding. A run that found something is followed by its cure in `FINDINGS.md`.",
        "",
        *table(told),
        "",
        f"In all {len(told)} runs, {total / 60:.0f} minutes of one process.",
    ]
    RECORD.write_text("\n".join(lines) + "\n")
    return (
        f"{len(told)} runs of {len({t['target'] for t in told})} targets, {total / 60:.0f} minutes"
    )
