"""`havendyke lab`: simulations of the fleet.

They need the libraries of the development environment, which are imported only when needed.
"""

import importlib
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import ModuleType
from typing import Any, TypeVar

import click

from .main import CommandError, json_option, print_result

RECORDS = Path("benchmarks/records")
FOLDER = click.Path(path_type=Path, exists=True, file_okay=False, writable=True)
MAX_AXIS_DIGITS = 9  # of the value of an axis
MAX_SHOWN_LENGTH = 40  # characters of an argument quoted in an error

Function = TypeVar("Function", bound=Callable[..., Any])


def _limits_options(function: Function) -> Function:
    """Adds the options for the seed and the limits of a run."""
    for option in (
        click.option("--seed", type=click.IntRange(0, 1 << 32), default=1, show_default=True),
        click.option(
            "--seconds",
            type=click.FloatRange(1, 3600),
            default=600.0,
            show_default=True,
            help="The run ends after this.",
        ),
        click.option(
            "--memory-mb",
            type=click.FloatRange(64),
            default=4096.0,
            show_default=True,
            help="The run ends beyond this, and beyond half of the machine's in any case.",
        ),
    ):
        function = option(function)
    return function


@click.group("lab")
def command() -> None:
    """The laboratory."""


@command.group()
def scale() -> None:
    """A model of the fleet: hollow assigners, many in a process, and real ones beside them; what
    each role costs.

    Needs the development's libraries (requirements-dev.txt). Every limit that is passed ends the
    run with one line and status 2; a record is never overwritten."""


@scale.command()
@json_option
def plan(as_json: bool) -> None:
    """The points of a whole measurement, with their axes."""
    points = {
        point.name: {"role": point.role, **point.size.as_dict()}
        for point in _import_module("size").plan()
    }
    print_result(points, as_json, _format_plan)


@scale.command()
@click.argument("axes", nargs=-1)
@click.option(
    "--workers",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="Processes of hollow assigners.",
)
@click.option(
    "--real",
    "real_count",
    type=click.IntRange(0, 3),
    default=0,
    show_default=True,
    help="Real assigners on loopback after the hollow ones.",
)
@click.option("--into", type=FOLDER, help="A folder for the record; without it, it is printed.")
@click.option("--name", default="run", show_default=True, help="The record's name.")
@_limits_options
def run(
    axes: Sequence[str],
    workers: int,
    real_count: int,
    into: Path | None,
    name: str,
    seed: int,
    seconds: float,
    memory_mb: float,
) -> None:
    """One run with AXIS=NUMBER as given, the others as the base has them: tasks, slices, proxies,
    assigners, zones, classes, changes (a minute), reports (a second), hollow."""
    size, record, guard = _import_module("size"), _import_module("record"), _import_module("guard")
    scale_run, errors = _import_module("run"), _run_errors()
    _check_record_name(name, into)
    try:
        point = size.Point(name, "single", size.read_size(_parse_axes(axes)))
        limits = guard.machine_limits(seconds, memory_mb)
        measured = scale_run.measure(point, seed, workers, limits, real_count=real_count)
        if into is None:
            print_result(measured, True)
        else:
            click.echo(record.write(into, name, measured))
    except errors as error:
        raise CommandError(str(error)) from None


@scale.command()
@click.option("--into", type=FOLDER, default=RECORDS, show_default=True)
@click.option(
    "--at-once",
    type=click.IntRange(1, 16),
    default=3,
    show_default=True,
    help="Runs beside each other.",
)
@click.option("--only", default="", help="Points whose names have this in them.")
@_limits_options
def measure(
    into: Path, at_once: int, only: str, seed: int, seconds: float, memory_mb: float
) -> None:
    """All points of the plan that have no record yet."""
    batch, guard, errors = _import_module("batch"), _import_module("guard"), _run_errors()
    try:
        limits = guard.machine_limits(seconds, memory_mb)
        batch.measure_all(into, seed, at_once, limits, click.echo, only)
    except errors as error:
        raise CommandError(str(error)) from None


@scale.command()
@click.argument("metric")
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--records", type=click.Path(path_type=Path), default=RECORDS, show_default=True)
def plot(metric: str, path: Path, records: Path) -> None:
    """Draw METRIC (calm/bytes, release/cpu, memory) along each axis into the new file PATH."""
    record, plotting = _import_module("record"), _import_module("plot")
    try:
        plotting.draw(record.read_all(records), metric, path)
    except (record.RecordError, plotting.PlotError) as error:
        raise CommandError(str(error)) from None
    click.echo(path)


def _import_module(name: str) -> ModuleType:
    """Imports a module of `lab.scale`; raises `CommandError` if a library is missing."""
    try:
        return importlib.import_module(f"havendyke.lab.scale.{name}")
    except ModuleNotFoundError as error:
        raise CommandError(
            f"the laboratory needs {error.name}: pip install -r requirements-dev.txt"
        ) from None


def _run_errors() -> tuple[type[Exception], ...]:
    """Returns the errors that are reported in one line: of arguments, limits and workers."""
    return (
        _import_module("size").SizeError,
        _import_module("record").RecordError,
        _import_module("guard").LimitExceededError,
        _import_module("workers").WorkerError,
    )


def _check_record_name(name: str, into: Path | None) -> None:
    if not name.replace("-", "").replace("_", "").isalnum():
        shown = name[:MAX_SHOWN_LENGTH]
        raise CommandError(f"a record's name has letters, digits, - and _, not '{shown}'")
    if into is not None and (into / f"{name}.json").exists():
        raise CommandError(
            f"{into / name}.json: there is a record already; nothing was overwritten"
        )


def _parse_axes(arguments: Sequence[str]) -> dict[str, int]:
    """Parses axes such as tasks=400; returns values by name. Raises `CommandError`."""
    axes = {}
    for argument in arguments:
        name, _, value = argument.partition("=")
        if not (value.isascii() and value.isdecimal()) or len(value) > MAX_AXIS_DIGITS:
            raise CommandError(f"an axis is NAME=NUMBER, not '{argument[:MAX_SHOWN_LENGTH]}'")
        axes[name] = int(value)
    return axes


def _format_plan(points: Mapping[str, Mapping[str, Any]]) -> str:
    return "\n".join(
        f"{name:16} {' '.join(f'{axis}={value}' for axis, value in axes.items())}"
        for name, axes in points.items()
    )
