"""A directory in memory with the interface of `recovery.disk.Disk` and the failures of a disk.

Data that were not synced, and changes of names without a sync of the directory, are lost in a
crash: all, none or half of them.
"""

import errno
from collections.abc import Callable, Sequence
from typing import Any

from ..recovery.changes import Change
from ..recovery.directory import StateDirectory
from ..recovery.state import PersistedState

MAX_WRITE_BYTES = 4096  # a longer write is cut to this size
LOCK_HANDLE = "lock"


class ProcessDied(BaseException):
    """The process ends at this call; its code does not handle it."""


class Storage:
    """The files, which outlive processes: `durable` as a crash leaves them, `live` as processes see
    them."""

    def __init__(self) -> None:
        self.durable: dict[str, bytes] = {}
        self.live: dict[str, bytearray] = {}
        self.locked = False

    def crash(self, loss: str = "all") -> None:
        """Ends all processes; `loss` says how much of what was not synced is lost.

        "all"; "none"; or "half": half of what each file has beyond its synced bytes is left, and
        names are as last changed.
        """
        if loss == "none":
            left = {name: bytes(data) for name, data in self.live.items()}
        elif loss == "half":
            left = {name: self._half_synced(name) for name in self.live}
        else:
            left = dict(self.durable)
        self.durable = left
        self.live = {name: bytearray(data) for name, data in left.items()}
        self.locked = False

    def _half_synced(self, name: str) -> bytes:
        data = bytes(self.live[name])
        synced = self.durable.get(name, b"")
        kept = len(synced) if data.startswith(synced) else 0
        return data[: kept + (len(data) - kept) // 2]


class SimulatedFile:
    """An open file: its name when it was opened, and its bytes."""

    def __init__(self, name: str, data: bytearray) -> None:
        self.name = name
        self.data = data


def _ignore_call(call: str) -> None:
    """Does nothing; the default of `SimulatedDisk.on_call`."""


class SimulatedDisk:
    """The disk as one process sees it."""

    def __init__(
        self,
        storage: Storage,
        die_at_call: int | None = None,
        free_bytes: int | None = None,
        read_only: bool = False,
        on_call: Callable[[str], None] = _ignore_call,
        sync_fails: bool = False,
    ) -> None:
        """By default, a disk without failures.

        `die_at_call`: the number of the call at which the process dies. `free_bytes`: bytes until
        the disk is full; None: no limit. `read_only`: each change is refused. `on_call`: called
        with the name of each call before it takes effect, so that a test may delay it.
        `sync_fails`: syncs of files fail.
        """
        self.storage = storage
        self.die_at_call = die_at_call
        self.free_bytes = free_bytes
        self.read_only = read_only
        self.on_call = on_call
        self.sync_fails = sync_fails
        self.calls = 0
        self._synced: dict[int, bytes] = {}  # by the identity of a file's bytes

    def create_directory(self) -> None:
        """Does nothing: the directory exists."""
        self._call("create_directory", changes=False)

    def lock(self) -> Any:
        """Locks the directory; raises BlockingIOError where it is locked."""
        self._call("lock")
        if self.storage.locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self.storage.locked = True
        return LOCK_HANDLE

    def unlock(self, handle: Any) -> None:
        """Releases the lock."""
        self.storage.locked = False

    def list_names(self) -> list[str]:
        """The names of all files, sorted."""
        self._call("list_names", changes=False)
        return sorted(self.storage.live)

    def read(self, name: str) -> bytes:
        """A file's bytes."""
        self._call("read", changes=False)
        self._require(name)
        return bytes(self.storage.live[name])

    def create(self, name: str) -> Any:
        """Opens a file for writing, and empties it where it exists."""
        self._call("create")
        self.storage.live[name] = bytearray()
        return SimulatedFile(name, self.storage.live[name])

    def write(self, handle: Any, data: bytes) -> int:
        """Writes the bytes, or some of them; returns how many."""
        self._call("write")
        count = min(len(data), MAX_WRITE_BYTES)
        if self.free_bytes is not None:
            if self.free_bytes <= 0:
                raise OSError(errno.ENOSPC, "No space left on device")
            count = min(count, self.free_bytes)
            self.free_bytes -= count
        handle.data.extend(data[:count])
        return count

    def sync(self, handle: Any) -> None:
        """Makes a file's bytes durable, under its present name."""
        self._call("sync")
        if self.sync_fails:
            raise OSError(errno.EIO, "Input/output error")
        names = [name for name, data in self.storage.live.items() if data is handle.data]
        name = names[0] if names else handle.name
        self._synced[id(handle.data)] = bytes(handle.data)
        if name in self.storage.durable:
            self.storage.durable[name] = bytes(handle.data)

    def close(self, handle: Any) -> None:
        """Does nothing: the bytes stay in memory."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces one that has the new name."""
        self._call("rename")
        self._require(old)
        self.storage.live[new] = self.storage.live.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._call("remove")
        self._require(name)
        del self.storage.live[name]

    def sync_directory(self) -> None:
        """Makes the creations, renames and removals of files durable."""
        self._call("sync_directory")
        self.storage.durable = {
            name: self._synced.get(id(data), self.storage.durable.get(name, b""))
            for name, data in self.storage.live.items()
        }

    def _call(self, name: str, changes: bool = True) -> None:
        self.calls += 1
        if self.die_at_call is not None and self.calls >= self.die_at_call:
            raise ProcessDied(name)
        self.on_call(name)
        if changes and self.read_only:
            raise OSError(errno.EROFS, "Read-only file system")

    def _require(self, name: str) -> None:
        if name not in self.storage.live:
            raise OSError(errno.ENOENT, "No such file or directory")


class InlineWriter:
    """A writer without a thread: `submit` commits before it returns, so that runs are
    deterministic."""

    def __init__(
        self,
        directory: StateDirectory,
        state: PersistedState,
        options: object,
        log: Callable[..., None],
    ) -> None:
        self.directory = directory
        self.log = log
        self.counts = {"commits": 0, "failures": 0}

    def start(self) -> None:
        """Does nothing: there is no thread."""

    def submit(
        self, changes: Sequence[Change], take_snapshot: Callable[[], PersistedState]
    ) -> None:
        """Commits the changes; a failure is logged and counted."""
        if not changes:
            return
        try:
            self.directory.commit(changes, take_snapshot())
            self.counts["commits"] += 1
        except OSError as error:
            self.counts["failures"] += 1
            self.log("state_not_persisted", cause=error.strerror)

    def stop(self, timeout_s: float) -> None:
        """Does nothing: all changes are committed."""
