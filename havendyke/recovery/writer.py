"""The thread that commits changes, so that no decision waits for the disk."""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from .changes import Change
from .generations import describe_error
from .records import RecordSizeError
from .state import PersistedState


class EventLog(Protocol):
    """Writes a line of the log; may be called from any thread."""

    def __call__(self, event: str, **fields: object) -> None:
        """Logs an event with its fields."""


class CommitTarget(Protocol):
    """Where changes are committed to; `StateDirectory`, except in tests."""

    def commit(self, changes: Sequence[Change], state: PersistedState) -> None:
        """Makes changes durable, all or none; raises OSError and `RecordSizeError`."""

    def rotate(self, state: PersistedState) -> None:
        """Makes a complete state durable; raises OSError and `RecordSizeError`."""


@dataclass(frozen=True)
class WriterOptions:
    """How commits are gathered and retried."""

    gather_ms: float = 50.0  # how long a commit waits for further changes
    # Beyond it the next commit is a snapshot, so that a slow disk costs no memory.
    max_pending_changes: int = 20_000
    retry_ms: float = 500.0  # after a failed commit, doubled after each further one
    max_retry_ms: float = 30_000.0


@dataclass(frozen=True)
class _Batch:
    """What one commit takes: changes, or a complete state in their place."""

    changes: list[Change]
    snapshot: PersistedState | None
    submitted: int  # changes that were submitted when it was taken


class StateWriter:
    """Commits what is submitted, in a thread of its own.

    The condition guards what both sides use: `_pending`, `_pending_snapshot`, `_stopping` and the
    two counts of changes. `_state` belongs to the thread.
    """

    def __init__(
        self,
        directory: CommitTarget,
        state: PersistedState,
        options: WriterOptions,
        log: EventLog,
    ) -> None:
        """`state` is what the directory has; `log` is called from the thread."""
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
        self._state = state.copy()  # with the changes of the batch that is being committed
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
        """Hands over changes for the next commit; never waits for the disk.

        Beyond `max_pending_changes`, the state that `take_snapshot` returns is committed instead.
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
        """Waits for all changes submitted so far; returns whether they were committed in time."""
        with self._condition:
            submitted = self._submitted
            return self._condition.wait_for(lambda: self._committed >= submitted, timeout_s)

    def stop(self, timeout_s: float) -> None:
        """Ends the thread after one last attempt to commit pending changes.

        Returns after `timeout_s` at the latest, also where the disk still blocks the thread.
        """
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    # In the thread

    def _run(self) -> None:
        retry_ms = self._options.retry_ms
        while (batch := self._next_batch()) is not None:
            try:
                self._write(batch)
                if retry_ms > self._options.retry_ms:
                    self.log("state_persisted_again")
                retry_ms = self._options.retry_ms
                self._count_commit(batch)
            except (OSError, RecordSizeError) as error:
                self.counts["failures"] += 1
                self.log(
                    "state_not_persisted",
                    cause=describe_error(error),
                    retry_in_ms=retry_ms,
                )
                if not self._wait_for_retry(retry_ms):
                    return
                retry_ms = min(2 * retry_ms, self._options.max_retry_ms)

    def _next_batch(self) -> _Batch | None:
        """Waits for changes and gathers further ones; None once stopped with nothing pending."""
        with self._condition:
            self._condition.wait_for(lambda: self._has_pending() or self._stopping)
            if not self._has_pending():
                return None
            if not self._stopping:
                self._condition.wait_for(lambda: self._stopping, self._options.gather_ms / 1000)
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

    def _wait_for_retry(self, retry_ms: float) -> bool:
        """Makes a snapshot of what failed the next commit; returns whether there is to be one."""
        with self._condition:
            if self._stopping:
                return False
            if self._pending_snapshot is None:
                # The log may hold a part of the failed batch: a snapshot replaces it, with what
                # was submitted since.
                snapshot = self._state.copy()
                for change in self._pending:
                    change.apply(snapshot)
                self._pending_snapshot = snapshot
                self._pending = []
            self._condition.wait_for(lambda: self._stopping, retry_ms / 1000)
            return True
