"""`havendyke state`: inspects and changes the persisted state of an assigner.

`import` and `compact` require the assigner to be stopped; the other commands only read, and can be
used while it runs.
"""

import os
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click
import orjson

from ..recovery.changes import difference, snapshot
from ..recovery.codec import RecordError, decode, encode
from ..recovery.directory import DirectoryLockedError, LoadedState, StateDirectory
from ..recovery.disk import Disk
from ..recovery.generations import describe_error
from ..recovery.machine_clock import read_timestamp
from ..recovery.records import RecordSizeError
from ..recovery.state import PersistedState
from ..recovery.timestamps import age_of
from ..recovery.trust import ServerAssessment, assess_all, describe_age
from .main import CommandError, json_option, print_result

EXPORT_FORMAT = "havendyke state 1"
DEFAULT_WARM_UP_MS = 16_000.0
MAX_ERROR_LENGTH = 100  # characters
# The finding of `StateDirectory` that names the loaded files begins so; any other is damage.
LOADED_PREFIX = "goes by"


@click.group("state")
def command() -> None:
    """What is kept on disk."""


@command.command()
@click.argument("folder")
@click.option(
    "--cold",
    type=float,
    default=DEFAULT_WARM_UP_MS,
    help="The settings' time of a cold server, ms.",
)
@json_option
def show(folder: str, cold: float, as_json: bool) -> None:
    """The state in FOLDER and what a start now would believe of it."""
    _, loaded = _open(folder)
    state, now = loaded.state, read_timestamp()
    result = {
        "folder": folder,
        "generation": loaded.generation,
        "goes_by": loaded.findings,
        **_counts(state),
        "last_alive": describe_age(age_of(state.last_alive, now)),
        "believed": [_assessment_row(each) for each in assess_all(state, now, cold)],
    }
    print_result(result, as_json, lambda shown: _format_state(shown, _counts(state)))


@command.command()
@click.argument("folder")
@json_option
def verify(folder: str, as_json: bool) -> None:
    """Read everything in FOLDER. Status 1 where something is damaged."""
    _, loaded = _open(folder)
    damage = [finding for finding in loaded.findings if not finding.startswith(LOADED_PREFIX)]
    result = {
        "folder": folder,
        "generation": loaded.generation,
        "damage": damage,
        **_counts(loaded.state),
    }
    print_result(result, as_json, _format_verification)
    raise click.exceptions.Exit(1 if damage else 0)


@command.command()
@click.argument("folder")
def compact(folder: str) -> None:
    """Begin a new generation in FOLDER: one snapshot, an empty log. The assigner must be
    stopped."""
    directory, loaded = _open(folder, write=True)  # opening for writing starts a generation
    directory.close()
    click.echo(_format_generation(directory, loaded.state))
    if directory.write_error:
        raise CommandError(f"{folder}: {describe_error(directory.write_error)}")


@command.command()
@click.argument("folder")
def export(folder: str) -> None:
    """The state in FOLDER as JSON, to keep or to bring elsewhere."""
    _, loaded = _open(folder)
    exported = {
        "form": EXPORT_FORMAT,
        "at": time.time(),
        "changes": [encode(change) for change in snapshot(loaded.state)],
    }
    click.echo(orjson.dumps(exported, option=orjson.OPT_INDENT_2).decode())


@command.command("import")
@click.argument("folder")
@click.argument("path")
def import_(folder: str, path: str) -> None:
    """Put an exported state in the place of what FOLDER has, which stays as the generation
    before."""
    state = _read_export(path)
    os.makedirs(folder, mode=0o700, exist_ok=True)
    directory, _ = _open(folder, write=True)
    try:
        directory.rotate(state)
    except (OSError, RecordSizeError) as error:
        raise CommandError(f"{folder}: {describe_error(error)}") from None
    finally:
        directory.close()
    click.echo(_format_generation(directory, state))


@command.command()
@click.argument("one")
@click.argument("other")
@json_option
def diff(one: str, other: str, as_json: bool) -> None:
    """What makes the state ONE the state OTHER; each a folder or an exported file. Status 1 where
    they differ."""
    records = [encode(change) for change in difference(_read_state(one), _read_state(other))]
    rows = [{"kind": kind, **fields} for kind, fields in records]
    print_result(rows, as_json, _format_differences)
    raise click.exceptions.Exit(1 if rows else 0)


def _open(folder: str, write: bool = False) -> tuple[StateDirectory, LoadedState]:
    if not os.path.isdir(folder):
        raise CommandError(f"{folder}: no such folder")
    directory = StateDirectory(Disk(folder))
    try:
        return directory, directory.open(write)
    except DirectoryLockedError as error:
        raise CommandError(f"{folder}: {error}; stop the assigner first") from None
    except OSError as error:
        raise CommandError(f"{folder}: {error.strerror}") from None


def _read_state(path: str) -> PersistedState:
    """Returns the state of a directory or of an exported file."""
    return _open(path)[1].state if os.path.isdir(path) else _read_export(path)


def _read_export(path: str) -> PersistedState:
    index = -1
    try:
        exported = orjson.loads(Path(path).read_bytes())
        if not isinstance(exported, dict) or exported.get("form") != EXPORT_FORMAT:
            raise CommandError(f"{path}: not a state as 'havendyke state export' writes it")
        state = PersistedState()
        for kind, fields in exported["changes"]:
            index += 1
            decode(kind, fields).apply(state)
        return state
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}") from None
    except RecordError as error:
        raise CommandError(f"{path}: change {index}: {error}") from None
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        reason = f"{type(error).__name__}: {str(error)[:MAX_ERROR_LENGTH]}"
        raise CommandError(f"{path}: {reason}") from None


# Output


def _counts(state: PersistedState) -> dict[str, int]:
    return {
        "servers": len(state.servers),
        "drains": len(state.tombstones),
        "shut": len(state.ejected),
        "slices": len(state.slices),
        "learned": len(state.estimates),
        "list_version": state.list_version,
    }


def _assessment_row(assessment: ServerAssessment) -> dict[str, Any]:
    return {
        "server": assessment.uid,
        "state": assessment.state.value,
        "trust": round(assessment.trust, 3),
        "why": assessment.reason,
    }


def _format_state(shown: Mapping[str, Any], counts: Mapping[str, int]) -> str:
    summary = ", ".join(f"{count} {name}" for name, count in counts.items())
    lines = [*shown["goes_by"], f"last alive {shown['last_alive']}; {summary}"]
    lines += [
        f"{row['server']:24} {row['state']:9} {row['trust']:5.2f}  {row['why']}"
        for row in shown["believed"]
    ]
    return "\n".join(lines)


def _format_verification(shown: Mapping[str, Any]) -> str:
    if shown["damage"]:
        return "\n".join(shown["damage"])
    counts = f"{shown['servers']} servers, {shown['slices']} slices"
    return f"well: generation {shown['generation']}, {counts}"


def _format_differences(rows: list[dict[str, Any]]) -> str:
    return "\n".join(orjson.dumps(row).decode() for row in rows) or "alike"


def _format_generation(directory: StateDirectory, state: PersistedState) -> str:
    counts = f"{len(state.servers)} servers, {len(state.slices)} slices"
    return f"generation {directory.generation}: {counts}"
