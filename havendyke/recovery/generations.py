"""Reads one generation of the state: its snapshot, and the log of the changes after it."""

import re
from collections.abc import Sequence

from . import records
from .codec import RecordError, apply_record
from .disk import StateDisk
from .records import BEGIN, END, Record
from .state import PersistedState

# As `snapshot_name` and `log_name` write them: another spelling of a number is another's file.
SNAPSHOT_NAME = re.compile(r"snapshot-(0|[1-9][0-9]*)")
LOG_NAME = re.compile(r"log-(0|[1-9][0-9]*)")


class SnapshotError(ValueError):
    """A snapshot that cannot be used; the text says why."""


def snapshot_name(generation: int) -> str:
    """The name of a generation's snapshot."""
    return f"snapshot-{generation}"


def log_name(generation: int) -> str:
    """The name of a generation's log."""
    return f"log-{generation}"


def generations(names: Sequence[str], pattern: re.Pattern[str]) -> list[int]:
    """The generations of the names that match, newest first."""
    numbers = [int(match[1]) for name in names if (match := pattern.fullmatch(name))]
    return sorted(numbers, reverse=True)


def describe_error(error: Exception) -> str:
    """The system's text for an error where there is one (without the path), else the error's."""
    return str(getattr(error, "strerror", None) or error)


def read_snapshot(disk: StateDisk, generation: int) -> PersistedState:
    """The state of a snapshot; raises `SnapshotError`.

    A snapshot is used completely or not at all, since a part of it is a state that never was.
    """
    try:
        file = records.read_records(disk.read(snapshot_name(generation)))
    except (records.RecordFileError, OSError) as error:
        raise SnapshotError(describe_error(error)) from None
    if file.damage:
        raise SnapshotError(f"{file.damage.reason} at byte {file.damage.offset}")
    if not _is_complete(file.records, generation):
        raise SnapshotError("it does not end, or is of another generation")
    state = PersistedState()
    replayed = _replay(state, file.schema, file.records)
    if replayed < len(file.records):
        raise SnapshotError(f"record {replayed} cannot be used")
    return state


def replay_log(disk: StateDisk, generation: int, state: PersistedState, findings: list[str]) -> int:
    """Makes the changes of a log's complete commits in `state`; returns how many.

    What is wrong with the log is added to `findings`.
    """
    name = log_name(generation)
    try:
        file = records.read_records(disk.read(name))
    except (records.RecordFileError, OSError) as error:
        findings.append(f"{name}: {describe_error(error)}")
        return 0
    if file.records and not _is_of_generation(file.records[0], generation):
        findings.append(f"{name}: of another generation")
        return 0
    committed = _committed_length(file.records)
    replayed = _replay(state, file.schema, file.records[:committed])
    if file.damage:
        findings.append(f"{name}: {file.damage.reason} at byte {file.damage.offset}")
    elif committed < len(file.records):
        findings.append(f"{name}: its last commit is torn")
    if replayed < committed:
        findings.append(f"{name}: record {replayed} cannot be used")
    return sum(not record.is_marker for record in file.records[:replayed])


def _is_of_generation(first: Record, generation: int) -> bool:
    return bool(first.fields.get("generation") == generation)


def _is_complete(file_records: Sequence[Record], generation: int) -> bool:
    return (
        bool(file_records)
        and file_records[-1].kind == END
        and file_records[0].kind == BEGIN
        and _is_of_generation(file_records[0], generation)
    )


def _committed_length(file_records: Sequence[Record]) -> int:
    """The number of records up to the last marker: a commit without its end never was."""
    for length in range(len(file_records), 0, -1):
        if file_records[length - 1].is_marker:
            return length
    return 0


def _replay(state: PersistedState, schema: int, file_records: Sequence[Record]) -> int:
    """Makes changes until one cannot be decoded; returns how many records were used."""
    for used, record in enumerate(file_records):
        if record.is_marker:
            continue
        try:
            apply_record(state, record.kind, record.fields, schema)
        except RecordError:
            return used
    return len(file_records)
