"""Commits changes in a thread of its own, so that the event loop never waits for the disk."""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from .changes import Change
from .generations import describe_error
from .records import RecordSizeError
from .state import PersistedState


class EventLog(Protocol):
    """Writes a log line; may be called from any thread."""

    def __call__(self, event: str, **fields: object) -> None:
        """Logs an event with its fields."""


class CommitTarget(Protocol):
    """The storage for commits; `StateDirectory`, except in tests."""

    def commit(self, changes: Sequence[Change], state: PersistedState) -> None:
        """Makes changes durable atomically; raises OSError and `RecordSizeError`."""

    def rotate(self, state: PersistedState) -> None:
        """Makes a complete state durable; raises OSError and `RecordSizeError`."""


@dataclass(frozen=True)
class WriterOptions:
    """Options of batching and retrying commits."""

    commit_delay_ms: float = 50.0  # wait for further changes before a commit
    # Beyond it, the next commit is a snapshot, so that a slow disk does not use up memory.
    max_pending_changes: int = 20_000
    # Backoff after a failed commit, doubled after each further failure.
    retry_delay_ms: float = 500.0
    max_retry_delay_ms: float = 30_000.0


@dataclass(frozen=True)
class _Batch:
    """The content of a commit: changes, or a snapshot that replaces them."""

    changes: list[Change]
    snapshot: PersistedState | None
    submitted: int  # number of changes submitted up to this batch


class StateWriter:
    """Commits submitted changes in a thread of its own.

    The condition guards `_pending`, `_pending_snapshot`, `_stopping`, `_submitted` and
    `_committed`. `_state` is used only by the thread.
    """

    def __init__(
        self,
        directory: CommitTarget,
        state: PersistedState,
        options: WriterOptions,
        log: EventLog,
    ) -> None:
        """`state` is the state in the directory; `log` is called from the thread."""
        self.counts = {
            "commits": 0,
            "changes": 0,
            "failures": 0,
            "snapshots": 0,
            "changes_superseded": 0,
        }
        self.log = log
        self._directory = directory
        self._options = options
        self._state = state.copy()  # includes the batch that is being committed
        self._condition = threading.Condition()
        self._pending: list[Change] = []
        self._pending_snapshot: PersistedState | None = None
        self._stopping = False
        self._submitted = 0
        self._committed = 0
        self._thread = threading.Thread(target=self._run, name="recovery", daemon=True)

    def start(self) -> None:
        """Starts the thread; called once."""
        self._thread.start()

    def submit(
        self, changes: Sequence[Change], take_snapshot: Callable[[], PersistedState]
    ) -> None:
        """Submits changes for the next commit; never waits for the disk.

        Beyond `max_pending_changes`, commits the state that `take_snapshot` returns instead.
        """
        if not changes:
            return
        with self._condition:
            self._submitted += len(changes)
            pending = len(self._pending) + len(changes)
            if self._pending_snapshot is not None or pending > self._options.max_pending_changes:
                self.counts["changes_superseded"] += pending
                self._pending = []
                self._pending_snapshot = take_snapshot()
            else:
                self._pending += changes
            self._condition.notify_all()

    def wait_until_committed(self, timeout_s: float) -> bool:
        """Waits for all changes submitted so far; returns False on timeout."""
        with self._condition:
            submitted = self._submitted
            return self._condition.wait_for(lambda: self._committed >= submitted, timeout_s)

    def stop(self, timeout_s: float) -> None:
        """Stops the thread after a last attempt to commit pending changes.

        Returns after `timeout_s` at the latest, even if the disk still blocks the thread.
        """
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    # Called in the thread

    def _run(self) -> None:
        retry_delay_ms = self._options.retry_delay_ms
        while (batch := self._next_batch()) is not None:
            try:
                self._write(batch)
                if retry_delay_ms > self._options.retry_delay_ms:
                    self.log("state_persisted_again")
                retry_delay_ms = self._options.retry_delay_ms
                self._count_commit(batch)
            except (OSError, RecordSizeError) as error:
                self.counts["failures"] += 1
                self.log(
                    "state_not_persisted",
                    cause=describe_error(error),
                    retry_in_ms=retry_delay_ms,
                )
                if not self._wait_for_retry(retry_delay_ms):
                    return
                retry_delay_ms = min(2 * retry_delay_ms, self._options.max_retry_delay_ms)

    def _next_batch(self) -> _Batch | None:
        """Waits for the next batch; returns None once stopped with nothing pending."""
        with self._condition:
            self._condition.wait_for(lambda: self._has_pending() or self._stopping)
            if not self._has_pending():
                return None
            if not self._stopping:
                self._condition.wait_for(
                    lambda: self._stopping, self._options.commit_delay_ms / 1000
                )
            batch = _Batch(self._pending, self._pending_snapshot, self._submitted)
            self._pending = []
            self._pending_snapshot = None
            return batch

    def _has_pending(self) -> bool:
        return bool(self._pending) or self._pending_snapshot is not None

    def _write(self, batch: _Batch) -> None:
        if batch.snapshot is not None:
            self._state = batch.snapshot
            self._directory.rotate(self._state)
            self.counts["snapshots"] += 1
            return
        for change in batch.changes:
            change.apply(self._state)
        self._directory.commit(batch.changes, self._state)

    def _count_commit(self, batch: _Batch) -> None:
        self.counts["commits"] += 1
        self.counts["changes"] += len(batch.changes)
        with self._condition:
            self._committed = batch.submitted
            self._condition.notify_all()

    def _wait_for_retry(self, retry_delay_ms: float) -> bool:
        """Replaces the failed batch by a snapshot and waits; returns False if stopping."""
        with self._condition:
            if self._stopping:
                return False
            if self._pending_snapshot is None:
                # The log may contain a part of the failed batch. A snapshot replaces it, together
                # with the changes submitted since.
                snapshot = self._state.copy()
                for change in self._pending:
                    change.apply(snapshot)
                self._pending_snapshot = snapshot
                self._pending = []
            self._condition.wait_for(lambda: self._stopping, retry_delay_ms / 1000)
            return True
