"""The command line `python -m fuzz`. Invalid input gives one line on standard error and status
2."""

import json
import secrets
import sys
import time
from pathlib import Path

import click

from . import cases, engine, faults, minimise, record, registry


def chosen_targets(names) -> list:
    return (
        [registry.target(name) for name in names]
        if names
        else [t for _, t in sorted(registry.load().items())]
    )


class Tools(click.Group):
    def main(self, args=None, **options):
        try:
            return super().main(args, standalone_mode=False, **options)
        except click.ClickException as error:
            click.echo(f"fuzz: {error.format_message()}", err=True)
            sys.exit(2)
        except (registry.UnknownTarget, cases.InvalidInput, faults.InvalidFault) as error:
            click.echo(f"fuzz: {error.args[0]}", err=True)
            sys.exit(2)


@click.group(cls=Tools)
def tools():
    """Fuzzing of every parser and state machine."""


@tools.command("list")
@click.option("--json", "as_json", is_flag=True, help="One JSON line per target.")
def list_(as_json):
    """List the targets, what they test and how many inputs are kept."""
    for target in chosen_targets(()):
        count = len(list((cases.CORPUS_DIR / target.name).glob("*.hex")))
        summary = {
            "target": target.name,
            "engine": target.engine,
            "kept": count,
            "seeds": len(target.seeds()),
            "about": target.description,
        }
        click.echo(
            json.dumps(summary)
            if as_json
            else (
                f"{target.name:14} {target.engine:11} {count:4} kept {len(target.seeds()):4} "
                f"seeds  {target.description}"
            )
        )


@tools.command()
@click.argument("names", nargs=-1)
@click.option("--seconds", type=click.IntRange(1, 100_000), default=60, help="For each target.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, help="Targets run in parallel.")
@click.option(
    "--seed",
    type=click.IntRange(0, 2**31),
    default=lambda: secrets.randbelow(2**31),
    help="Of the first target, one higher for each further target; random if not given.",
)
@click.option(
    "--engine",
    "engine_name",
    type=click.Choice(["atheris", "hypothesis"]),
    help="Instead of the target's own engine.",
)
def run(names, seconds, jobs, seed, engine_name):
    """Fuzz the given targets, or all of them. The exit status is 1 if there are findings."""

    def print_summary(summary):
        click.echo(
            f"{summary['target']:14} {summary['executions']:9} executions "
            f"in {summary['seconds']:.0f} s, {summary['new']} new, "
            f"quiet for {summary['quiet']:.0f} s, {len(summary['findings'])} findings, seed "
            f"{summary['seed']}" + (f"; {summary['error']}" if "error" in summary else "")
        )

    targets = chosen_targets(names)
    summaries = engine.run(targets, seconds, jobs, seed, engine_name, print_summary)
    for target in targets:
        for signature, message, data in engine.minimised_findings(target):
            path = cases.write_input(cases.WORK_DIR / target.name / "small", data)
            click.echo(
                f"\n{target.name}: {signature}\n  {message}\n"
                f"  python -m fuzz replay {target.name} --file {path}"
            )
    if any("error" in summary for summary in summaries):
        sys.exit(2)
    sys.exit(1 if any(summary["findings"] for summary in summaries) else 0)


@tools.command()
@click.argument("names", nargs=-1)
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    help="Run only this input, with one target.",
)
@click.option(
    "--reach", is_flag=True, help="Print the share of branches that the kept inputs reach."
)
def replay(names, path, reach):
    """Run the kept inputs. The exit status is 1 if one of them fails."""
    coverage = record.BranchCoverage() if reach else None
    targets, failures, count, started_at = chosen_targets(names), 0, 0, time.monotonic()
    if path is not None and len(targets) != 1:
        raise click.UsageError("--file needs exactly one target")
    for target in targets:
        for name, data in (
            [(str(path), cases.read_input(path))] if path is not None else cases.kept_inputs(target)
        ):
            count += 1
            error = cases.run_and_catch(target, data)
            if error is not None:
                failures += 1
                click.echo(f"{target.name}: {name}: {cases.signature(error)}: {str(error)[:400]}")
    click.echo(
        f"{count} inputs of {len(targets)} targets, {failures} fail, "
        f"{time.monotonic() - started_at:.1f} s"
    )
    if coverage:
        for name, share, branches in coverage.branch_shares():
            click.echo(f"  {name:32} {share:6.1%} of {branches} branches")
    sys.exit(1 if failures else 0)


@tools.command("minimise")
@click.argument("name")
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--keep", is_flag=True, help="Keep the minimised input among the findings, which replay runs."
)
def minimise_(name, path, keep):
    """Minimise a failing input."""
    target = registry.target(name)
    data = cases.read_input(path)
    small, attempts = minimise.shrink(target, data)
    error = cases.run_and_catch(target, small)
    if error is None:
        click.echo(f"{path} does not fail; kept unchanged" if keep else f"{path} does not fail")
    else:
        click.echo(
            f"{len(data)} bytes to {len(small)} in {attempts} attempts: {cases.signature(error)}"
        )
    written_path = cases.write_input(
        cases.FINDINGS_DIR / name if keep else cases.WORK_DIR / name / "small", small
    )
    click.echo(str(written_path))


@tools.command()
@click.argument("names", nargs=-1)
@click.option(
    "--most",
    type=click.IntRange(1, 100_000),
    default=2000,
    help="Inputs considered, the shortest first.",
)
def merge(names, most):
    """Add the inputs that runs have found to the corpus and reduce it without losing coverage."""
    for target in chosen_targets(names):
        before, after, size, transitions = engine.merge(target, most)
        click.echo(
            f"{target.name:14} {before} inputs, {after} kept with {size} bytes, {transitions} line "
            "transitions reached"
        )


@tools.command("record")
def record_():
    """Write RECORD.md from the recorded runs."""
    click.echo(record.write())


@tools.command("faults")
@click.argument("names", nargs=-1)
@click.option("--seconds", type=click.IntRange(1, 3600), default=20, help="For each fault.")
@click.option("--jobs", type=click.IntRange(1, 64), default=4)
@click.option(
    "--replay", "replay_only", is_flag=True, help="Run only the kept inputs, without a search."
)
def faults_(names, seconds, jobs, replay_only):
    """Patch deliberate faults into copies of the code and check that the targets find them. The
    exit status is 1 if a fault is not found."""
    survived = 0
    for result in faults.run(names, seconds, jobs, replay_only):
        survived += not result["found"]
        click.echo(
            f"{result['fault']:24} {result['target']:14} "
            + (
                f"found by {result['by']} in {result['seconds']:.1f} s: {result['signature']}"
                if result["found"]
                else f"SURVIVED {result['seconds']:.1f} s"
            )
        )
    click.echo(f"{survived} survived")
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    tools()
