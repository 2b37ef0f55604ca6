"""The directory of the state: one snapshot and the log of the changes after it, under a lock.

`snapshot-N` holds a complete state and ends with an end marker, `log-N` the changes after it. A new
generation is written under another name, made durable and renamed; only then is the one before the
last removed. After a crash the newest readable snapshot, with the complete commits of its log, is a
state that was committed. A snapshot that cannot be used is renamed with the prefix `damaged-`, so
that an operator can examine it.
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
    LOG_NAME,
    SNAPSHOT_NAME,
    SnapshotError,
    describe_error,
    generations,
    log_name,
    read_snapshot,
    replay_log,
    snapshot_name,
)
from .state import PersistedState

DEFAULT_MAX_LOG_BYTES = 8 << 20
DAMAGED_PREFIX = "damaged-"
# Other names with the prefix are an operator's: they are neither counted nor removed.
DAMAGED_NAME = re.compile(DAMAGED_PREFIX + SNAPSHOT_NAME.pattern)
MAX_DAMAGED_FILES = 5  # beyond it the oldest is removed
MAX_GENERATIONS = 2  # the older one is the fallback where the newest snapshot is damaged
UNFINISHED_SNAPSHOT_NAME = "new"
END_MARKER: StoredRecord = (records.END, {})


class DirectoryLockedError(OSError):
    """Another process uses the directory."""


@dataclass
class LoadedState:
    """What a directory held; generation 0 where it held no state."""

    state: PersistedState
    generation: int = 0
    replayed_changes: int = 0
    findings: tuple[str, ...] = ()  # lines for operators: what was used, and what was wrong


class StateDirectory:
    """Loads the newest state, and commits changes to it.

    `open` comes first. Owns the lock and the open log.
    """

    def __init__(self, disk: StateDisk, max_log_bytes: int = DEFAULT_MAX_LOG_BYTES) -> None:
        """A log over `max_log_bytes` ends its generation at the next commit."""
        self.disk = disk
        self.generation = 0
        self.log_bytes = 0
        # Why the log cannot be appended to; the next commit begins a new generation.
        self.write_error: OSError | records.RecordSizeError | None = None
        self._max_log_bytes = max_log_bytes
        self._lock: int | None = None
        self._log: int | None = None
        self._next_serial = 0

    def open(self, write: bool = True) -> LoadedState:
        """Loads the newest state and, to write, locks the directory and begins a generation.

        Raises `DirectoryLockedError`, and OSError where the directory cannot be read. One that
        cannot be written is no error: `write_error` has it, and the first commit retries.

        Without `write` it takes no lock and changes no file, so that it can read the directory of a
        running assigner.
        """
        if write:
            self._acquire_lock()
        names = self.disk.list_names()
        loaded = self._load(names, quarantine=write)
        self.generation = max(
            [
                loaded.generation,
                *generations(names, SNAPSHOT_NAME),
                *generations(names, LOG_NAME),
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
        """Makes the changes durable, all or none; raises OSError and `RecordSizeError`.

        `state` already has the changes: where the log is full, or a write may have damaged it, all
        of `state` begins a new generation instead.
        """
        if self.write_error is not None or self.log_bytes > self._max_log_bytes:
            self.rotate(state)
            return
        assert self._log is not None, "the directory is not open for writing"
        first_serial = self._next_serial
        try:
            data = self._frames([*map(encode, changes), END_MARKER])
            self._write(self._log, data)
            self.disk.sync(self._log)
        except (OSError, records.RecordSizeError) as error:
            # How much of it is on the disk is unknown, so nothing may be appended.
            self.write_error = error
            self._next_serial = first_serial
            raise
        self.log_bytes += len(data)

    def rotate(self, state: PersistedState) -> None:
        """Begins a new generation with `state` as its snapshot.

        Raises OSError and `RecordSizeError`, with the files of the generation before untouched; the
        next write must be another rotation then, since the log's serials have begun anew.
        """
        generation = self.generation + 1
        begin_marker: StoredRecord = (records.BEGIN, {"generation": generation})
        self._write_snapshot([begin_marker, *map(encode, snapshot(state)), END_MARKER])
        self._next_serial = 0
        log_start = records.encode_header() + self._frames([begin_marker])
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
        for generation in generations(names, SNAPSHOT_NAME):
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
        """Renames a damaged file, so that an operator can examine it."""
        try:
            self.disk.rename(name, f"{DAMAGED_PREFIX}{name}")
            damaged = generations(self.disk.list_names(), DAMAGED_NAME)
            for oldest in damaged[MAX_DAMAGED_FILES:]:
                self.disk.remove(f"{DAMAGED_PREFIX}{snapshot_name(oldest)}")
        except OSError:
            # It stays where it is; no later generation has its name.
            pass

    # Writing

    def _write_snapshot(self, stored_records: Sequence[StoredRecord]) -> None:
        self._next_serial = 0
        data = records.encode_header() + self._frames(stored_records)
        handle = self.disk.create(UNFINISHED_SNAPSHOT_NAME)
        try:
            self._write(handle, data)
            self.disk.sync(handle)
        finally:
            self.disk.close(handle)

    def _frames(self, stored_records: Iterable[StoredRecord]) -> bytes:
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
        newest = generations(names, SNAPSHOT_NAME)[:MAX_GENERATIONS]
        for name in names:
            match = SNAPSHOT_NAME.fullmatch(name) or LOG_NAME.fullmatch(name)
            if match and int(match[1]) not in newest:
                # A folder in its place, say: the new generation stands all the same.
                with suppress(OSError):
                    self.disk.remove(name)
