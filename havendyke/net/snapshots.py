"""Snapshots of the published tables, and what they tell about a call with unknown outcome."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from .published_tables import Table, Tables, tables_match, weights_match


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The tables that a stream has received so far."""

    tables: Tables
    # Whether no slice or entry can be missing: the relay marks no end, but sends no ping before it.
    complete: bool


# Returns False if the snapshot does not suffice because it is incomplete.
SnapshotCallback = Callable[[Snapshot], bool]


class SnapshotRequest(NamedTuple):
    """A request for the tables as they are at `since_ms` or later."""

    since_ms: float
    callback: SnapshotCallback


class SnapshotRequests:
    """The requests that no snapshot has satisfied yet, oldest first."""

    def __init__(self) -> None:
        """There is no request initially."""
        self._requests: list[SnapshotRequest] = []

    def __bool__(self) -> bool:
        """Whether there is a request."""
        return bool(self._requests)

    def add(self, since_ms: float, callback: SnapshotCallback) -> None:
        """Adds a request for the tables as they are at `since_ms` or later."""
        self._requests.append(SnapshotRequest(since_ms, callback))

    def can_be_answered(self, requested_ms: float) -> bool:
        """Whether a stream that requested the tables at `requested_ms` can satisfy a request."""
        return any(request.since_ms <= requested_ms for request in self._requests)

    def answer(self, requested_ms: float, snapshot: Snapshot) -> None:
        """Passes on a snapshot that was requested at `requested_ms`."""
        answerable = [r for r in self._requests if r.since_ms <= requested_ms]
        self._requests = [r for r in self._requests if r.since_ms > requested_ms]
        for request in answerable:
            if not request.callback(snapshot):
                self._requests.append(request)


class TableChange(NamedTuple):
    """A table before a call and after it."""

    before: Table
    after: Table


class CallOutcome(Enum):
    """Whether the relay carried out a call."""

    CARRIED_OUT = auto()
    NOT_CARRIED_OUT = auto()
    UNKNOWN = auto()


def call_outcome(
    changes: Mapping[int, TableChange], known: Tables, snapshot: Snapshot
) -> CallOutcome:
    """What a snapshot tells about a call that makes these changes, by slice.

    `known`: all tables before the call. An incomplete snapshot cannot prove that an entry was
    removed, since it may still arrive. It suffices to repeat a call, which has no further effect on
    tables.
    """
    tables = snapshot.tables
    shown = {slice_id: change for slice_id, change in changes.items() if slice_id in tables}
    all_match = all(tables_match(after, tables[s]) for s, (_, after) in shown.items())
    if not changes or snapshot.complete:
        carried_out = bool(shown) and all_match
        return CallOutcome.CARRIED_OUT if carried_out else CallOutcome.NOT_CARRIED_OUT
    if any(_has_entry_of(tables[s], before, after) for s, (before, after) in shown.items()):
        return CallOutcome.NOT_CARRIED_OUT
    if not all_match and _seems_complete(changes, known, tables):
        return CallOutcome.NOT_CARRIED_OUT
    if len(shown) == len(changes) and all(
        tables_match(after, tables[s]) and _has_entry_of(tables[s], after, before)
        for s, (before, after) in shown.items()
    ):
        return CallOutcome.CARRIED_OUT
    return CallOutcome.UNKNOWN


def _seems_complete(changes: Mapping[int, TableChange], known: Tables, tables: Tables) -> bool:
    """Whether every table that has entries in any case shows one."""
    return all(
        slice_id in tables and (tables[slice_id] or not all(changes.get(slice_id, (table,))))
        for slice_id, table in known.items()
    )


def superseded_slices(changes: Mapping[int, TableChange], snapshot: Snapshot) -> list[int]:
    """The slices whose table is neither the one before the call nor the one after it.

    Somebody else has changed them, or has them now. `snapshot` must be complete.
    """
    return [
        slice_id
        for slice_id, change in changes.items()
        if slice_id not in snapshot.tables
        or not any(tables_match(table, snapshot.tables[slice_id]) for table in change)
    ]


def _has_entry_of(shown: Table, table: Table, other: Table) -> bool:
    """Whether a shown table has an entry of `table` that `other` lacks."""
    return any(
        _has_entry(table, server_id, weight) and not _has_entry(other, server_id, weight)
        for server_id, weight in shown.items()
    )


def _has_entry(table: Table, server_id: str, weight: float) -> bool:
    return server_id in table and weights_match(weight, table[server_id])
