"""Reads a generation of the state: a snapshot and the log of the changes after it."""

import re
from collections.abc import Sequence

from . import records
from .codec import RecordError, apply_record
from .disk import StateDisk
from .records import BEGIN, END, Record
from .state import PersistedState

# Exactly the names that `snapshot_name` and `log_name` return: a file whose number is written in
# another way, such as `snapshot-02`, was not created by this program.
SNAPSHOT_PATTERN = re.compile(r"snapshot-(0|[1-9][0-9]*)")
LOG_PATTERN = re.compile(r"log-(0|[1-9][0-9]*)")


class SnapshotError(ValueError):
    """A snapshot that cannot be used; the text states the reason."""


def snapshot_name(generation: int) -> str:
    """Returns the file name of a generation's snapshot."""
    return f"snapshot-{generation}"


def log_name(generation: int) -> str:
    """Returns the file name of a generation's log."""
    return f"log-{generation}"


def list_generations(names: Sequence[str], pattern: re.Pattern[str]) -> list[int]:
    """Returns the generations of the file names that match, newest first."""
    numbers = [int(match[1]) for name in names if (match := pattern.fullmatch(name))]
    return sorted(numbers, reverse=True)


def describe_error(error: Exception) -> str:
    """Returns the system's text for an error, without the path, or else the error's own text."""
    return str(getattr(error, "strerror", None) or error)


def read_snapshot(disk: StateDisk, generation: int) -> PersistedState:
    """Returns the state of a snapshot; raises `SnapshotError`.

    A snapshot is used completely or not at all, since a part of it is not a state that existed.
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
    """Applies the complete commits of a log to `state`; returns the number of changes.

    Adds any damage to the log to `findings`.
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
    committed = _committed_count(file.records)
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


def _committed_count(file_records: Sequence[Record]) -> int:
    """Returns the number of records up to the last marker; ignores an incomplete commit."""
    for length in range(len(file_records), 0, -1):
        if file_records[length - 1].is_marker:
            return length
    return 0


def _replay(state: PersistedState, schema: int, file_records: Sequence[Record]) -> int:
    """Applies changes until one cannot be decoded; returns the number of records before it."""
    for index, record in enumerate(file_records):
        if record.is_marker:
            continue
        try:
            apply_record(state, record.kind, record.fields, schema)
        except RecordError:
            return index
    return len(file_records)
