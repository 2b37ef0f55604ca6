"""Stores the state in a locked directory, as a snapshot and a log of the changes after it.

`snapshot-N` holds a complete state and ends with an end marker; `log-N` holds the changes after it.
A new snapshot is written under a temporary name, synced and renamed; only then are generations
before the previous one removed. After a crash, the newest readable snapshot with the complete
commits of its log is a state that was committed. A snapshot that cannot be used is renamed with the
prefix `damaged-`, so that an operator can examine it.
"""

import re
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from . import records
from .changes import Change, snapshot
from .codec import StoredRecord, encode
from .disk import StateDisk
from .generations import (
    LOG_PATTERN,
    SNAPSHOT_PATTERN,
    SnapshotError,
    describe_error,
    list_generations,
    log_name,
    read_snapshot,
    replay_log,
    snapshot_name,
)
from .state import PersistedState

DEFAULT_MAX_LOG_BYTES = 8 << 20
DAMAGED_PREFIX = "damaged-"
# Other names with the prefix belong to the operator, and are neither counted nor removed.
DAMAGED_PATTERN = re.compile(DAMAGED_PREFIX + SNAPSHOT_PATTERN.pattern)
MAX_DAMAGED_FILES = 5  # beyond it, the oldest are removed
MAX_GENERATIONS = 2  # the older one is the fallback if the newest snapshot is damaged
UNFINISHED_SNAPSHOT_NAME = "new"
END_MARKER: StoredRecord = (records.END, {})


class DirectoryLockedError(OSError):
    """Another process has locked the directory."""


@dataclass
class LoadedState:
    """The state that a directory contained; generation 0 if there was none."""

    state: PersistedState
    generation: int = 0
    replayed_changes: int = 0
    findings: tuple[str, ...] = ()  # lines for operators: what was loaded, and any damage


class StateDirectory:
    """Loads the newest state and commits changes to it.

    Owns the lock and the open log. Call `open` first.
    """

    def __init__(self, disk: StateDisk, max_log_bytes: int = DEFAULT_MAX_LOG_BYTES) -> None:
        """A log larger than `max_log_bytes` ends its generation at the next commit."""
        self.disk = disk
        self.generation = 0
        self.log_bytes = 0
        # Why the log cannot be appended to; the next commit then starts a new generation.
        self.write_error: OSError | records.RecordSizeError | None = None
        self._max_log_bytes = max_log_bytes
        self._lock: int | None = None
        self._log: int | None = None
        self._next_serial = 0

    def open(self, write: bool = True) -> LoadedState:
        """Loads the newest state; with `write`, locks the directory and starts a generation.

        Raises `DirectoryLockedError`, and OSError if the directory cannot be read. If it cannot be
        written to, sets `write_error` instead, and the first commit retries.

        Without `write`, takes no lock and changes no file, so that the directory of a running
        assigner can be read.
        """
        if write:
            self._acquire_lock()
        names = self.disk.list_names()
        loaded = self._load(names, quarantine=write)
        self.generation = max(
            [
                loaded.generation,
                *list_generations(names, SNAPSHOT_PATTERN),
                *list_generations(names, LOG_PATTERN),
            ]
        )
        if write:
            try:
                self.rotate(loaded.state)
            except OSError as error:
                self.write_error = error
                loaded.findings += (f"cannot be written: {describe_error(error)}",)
        return loaded

    def commit(self, changes: Sequence[Change], state: PersistedState) -> None:
        """Makes the changes durable atomically; raises OSError and `RecordSizeError`.

        `state` already includes the changes: if the log is full, or a failed write may have damaged
        it, a new generation starts with a snapshot of `state` instead.
        """
        if self.write_error is not None or self.log_bytes > self._max_log_bytes:
            self.rotate(state)
            return
        assert self._log is not None, "the directory is not open for writing"
        first_serial = self._next_serial
        try:
            data = self._encode_frames([*map(encode, changes), END_MARKER])
            self._write(self._log, data)
            self.disk.sync(self._log)
        except (OSError, records.RecordSizeError) as error:
            # The log may end with a part of the commit, so nothing may be appended to it.
            self.write_error = error
            self._next_serial = first_serial
            raise
        self.log_bytes += len(data)

    def rotate(self, state: PersistedState) -> None:
        """Starts a new generation with `state` as its snapshot.

        Raises OSError and `RecordSizeError`, and leaves the files of the previous generation
        unchanged; the next write must then be another rotation, as the serial numbers were reset.
        """
        generation = self.generation + 1
        begin_marker: StoredRecord = (records.BEGIN, {"generation": generation})
        self._write_snapshot([begin_marker, *map(encode, snapshot(state)), END_MARKER])
        self._next_serial = 0
        log_start = records.encode_header() + self._encode_frames([begin_marker])
        log = self.disk.create(log_name(generation))
        try:
            self._write(log, log_start)
            self.disk.sync(log)
            self.disk.rename(UNFINISHED_SNAPSHOT_NAME, snapshot_name(generation))
            self.disk.sync_directory()
        except BaseException:
            self.disk.close(log)
            raise
        if self._log is not None:
            self.disk.close(self._log)
        self._log = log
        self.log_bytes = len(log_start)
        self.generation = generation
        self.write_error = None
        self._remove_old_generations()

    def close(self) -> None:
        """Closes the log and releases the lock."""
        if self._log is not None:
            self.disk.close(self._log)
        if self._lock is not None:
            self.disk.unlock(self._lock)
        self._log = None
        self._lock = None

    # Loading

    def _acquire_lock(self) -> None:
        self.disk.create_directory()
        try:
            self._lock = self.disk.lock()
        except BlockingIOError:
            raise DirectoryLockedError("another process has the folder") from None

    def _load(self, names: Sequence[str], quarantine: bool) -> LoadedState:
        findings: list[str] = []
        for generation in list_generations(names, SNAPSHOT_PATTERN):
            name = snapshot_name(generation)
            try:
                state = read_snapshot(self.disk, generation)
            except SnapshotError as error:
                findings.append(f"{name}: {error}")
                if quarantine:
                    self._quarantine(name)
                continue
            replayed = 0
            if log_name(generation) in names:
                replayed = replay_log(self.disk, generation, state, findings)
            findings.append(f"goes by {name} and {replayed} changes after it")
            return LoadedState(state, generation, replayed, tuple(findings))
        return LoadedState(PersistedState(), findings=(*findings, "no state was found"))

    def _quarantine(self, name: str) -> None:
        """Renames a damaged snapshot, so that an operator can examine it."""
        try:
            self.disk.rename(name, f"{DAMAGED_PREFIX}{name}")
            damaged = list_generations(self.disk.list_names(), DAMAGED_PATTERN)
            for oldest in damaged[MAX_DAMAGED_FILES:]:
                self.disk.remove(f"{DAMAGED_PREFIX}{snapshot_name(oldest)}")
        except OSError:
            # The file keeps its name, which no later generation uses.
            pass

    # Writing

    def _write_snapshot(self, stored_records: Sequence[StoredRecord]) -> None:
        self._next_serial = 0
        data = records.encode_header() + self._encode_frames(stored_records)
        handle = self.disk.create(UNFINISHED_SNAPSHOT_NAME)
        try:
            self._write(handle, data)
            self.disk.sync(handle)
        finally:
            self.disk.close(handle)

    def _encode_frames(self, stored_records: Iterable[StoredRecord]) -> bytes:
        frames = []
        for kind, fields in stored_records:
            frames.append(records.encode_frame(self._next_serial, kind, fields))
            self._next_serial += 1
        return b"".join(frames)

    def _write(self, handle: int, data: bytes) -> None:
        while data:
            data = data[self.disk.write(handle, data) :]

    def _remove_old_generations(self) -> None:
        names = self.disk.list_names()
        newest = list_generations(names, SNAPSHOT_PATTERN)[:MAX_GENERATIONS]
        for name in names:
            match = SNAPSHOT_PATTERN.fullmatch(name) or LOG_PATTERN.fullmatch(name)
            if match and int(match[1]) not in newest:
                # The new generation is complete even if, for example, a directory has this name.
                with suppress(OSError):
                    self.disk.remove(name)
