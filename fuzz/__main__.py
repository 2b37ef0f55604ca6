"""`python -m fuzz`: the tools round the targets. Bad input is one line on standard error, status
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
    def main(self, args=None, **more):
        try:
            return super().main(args, standalone_mode=False, **more)
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
@click.option("--json", "as_json", is_flag=True, help="One JSON line a target.")
def list_(as_json):
    """The targets, what they are for and how many inputs are kept."""
    for target in chosen_targets(()):
        count = len(list((cases.CORPUS_DIR / target.name).glob("*.hex")))
        told = {
            "target": target.name,
            "engine": target.engine,
            "kept": count,
            "seeds": len(target.seeds()),
            "about": target.description,
        }
        click.echo(
            json.dumps(told)
            if as_json
            else (
                f"{target.name:14} {target.engine:11} {count:4} kept {len(target.seeds()):4} "
                f"seeds  {target.description}"
            )
        )


@tools.command()
@click.argument("names", nargs=-1)
@click.option("--seconds", type=click.IntRange(1, 100_000), default=60, help="For each target.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, help="Targets at a time.")
@click.option(
    "--seed",
    type=click.IntRange(0, 2**31),
    default=lambda: secrets.randbelow(2**31),
    help="Of the first target, one more for each further one; a fresh one where none is given.",
)
@click.option(
    "--engine",
    "by",
    type=click.Choice(["atheris", "hypothesis"]),
    help="In place of the target's own.",
)
def run(names, seconds, jobs, seed, by):
    """Fuzz targets, all where none is named. Status 1 where something was found."""

    def tell(told):
        click.echo(
            f"{told['target']:14} {told['executions']:9} executions in {told['seconds']:.0f} s, "
            f"{told['new']} new, "
            f"quiet for {told['quiet']:.0f} s, {len(told['findings'])} findings, seed "
            f"{told['seed']}" + (f"; {told['error']}" if "error" in told else "")
        )

    targets = chosen_targets(names)
    made = engine.run(targets, seconds, jobs, seed, by, tell)
    for target in targets:
        for sign, said, data in engine.minimised_findings(target):
            path = cases.write_input(cases.WORK_DIR / target.name / "small", data)
            click.echo(
                f"\n{target.name}: {sign}\n  {said}\n  python -m fuzz replay {target.name} --file "
                f"{path}"
            )
    if any("error" in told for told in made):
        sys.exit(2)
    sys.exit(1 if any(told["findings"] for told in made) else 0)


@tools.command()
@click.argument("names", nargs=-1)
@click.option(
    "--file",
    "path",
    type=click.Path(path_type=Path),
    help="One input alone, for the target that is named.",
)
@click.option(
    "--reach", is_flag=True, help="Tell the share of branches that the kept inputs reach."
)
def replay(names, path, reach):
    """Run the kept inputs. Status 1 where one fails."""
    watch = record.Branches() if reach else None
    targets, bad, count, began = chosen_targets(names), 0, 0, time.monotonic()
    if path is not None and len(targets) != 1:
        raise click.UsageError("--file goes with one target")
    for target in targets:
        for name, data in (
            [(str(path), cases.read_input(path))] if path is not None else cases.kept_inputs(target)
        ):
            count += 1
            error = cases.run_and_catch(target, data)
            if error is not None:
                bad += 1
                click.echo(f"{target.name}: {name}: {cases.signature(error)}: {str(error)[:400]}")
    click.echo(
        f"{count} inputs of {len(targets)} targets, {bad} fail, {time.monotonic() - began:.1f} s"
    )
    if watch:
        for name, share, branches in watch.shares():
            click.echo(f"  {name:32} {share:6.1%} of {branches} branches")
    sys.exit(1 if bad else 0)


@tools.command("minimise")
@click.argument("name")
@click.argument("path", type=click.Path(path_type=Path))
@click.option(
    "--keep", is_flag=True, help="Keep the small input among the findings, which replay runs."
)
def minimise_(name, path, keep):
    """Make an input that fails as small as it gets."""
    target = registry.target(name)
    data = cases.read_input(path)
    small, tries = minimise.shrink(target, data)
    error = cases.run_and_catch(target, small)
    if error is None:
        click.echo(f"{path} does not fail; kept as it is" if keep else f"{path} does not fail")
    else:
        click.echo(f"{len(data)} bytes to {len(small)} in {tries} tries: {cases.signature(error)}")
    where = cases.write_input(
        cases.FINDINGS_DIR / name if keep else cases.WORK_DIR / name / "small", small
    )
    click.echo(str(where))


@tools.command()
@click.argument("names", nargs=-1)
@click.option(
    "--most",
    type=click.IntRange(1, 100_000),
    default=2000,
    help="Inputs that are looked at, the shortest first.",
)
def merge(names, most):
    """Take what runs have found into the corpus, and keep the least of it that reaches the same."""
    for target in chosen_targets(names):
        before, after, size, reached = engine.merge(target, most)
        click.echo(
            f"{target.name:14} {before} inputs, {after} kept with {size} bytes, {reached} steps "
            "reached"
        )


@tools.command("record")
def record_():
    """Write RECORD.md from the runs that were kept."""
    click.echo(record.write())


@tools.command("faults")
@click.argument("names", nargs=-1)
@click.option("--seconds", type=click.IntRange(1, 3600), default=20, help="For each fault.")
@click.option("--jobs", type=click.IntRange(1, 64), default=4)
@click.option("--replay", "only", is_flag=True, help="Only by the kept inputs, without a search.")
def faults_(names, seconds, jobs, only):
    """Patch deliberate faults into copies and see whether they are found. Status 1 where one
    survives."""
    survived = 0
    for told in faults.run(names, seconds, jobs, only):
        survived += not told["found"]
        click.echo(
            f"{told['fault']:24} {told['target']:14} "
            + (
                f"found by {told['by']} in {told['seconds']:.1f} s: {told['signature']}"
                if told["found"]
                else f"SURVIVED {told['seconds']:.1f} s"
            )
        )
    click.echo(f"{survived} survived")
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    tools()
