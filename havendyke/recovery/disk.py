"""The system calls that the state's directory needs, so that a test can fail at any of them."""

import errno
import fcntl
import os
import stat
from typing import Protocol

FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
LOCK_NAME = "lock"


class StateDisk(Protocol):
    """What `StateDirectory` asks of a disk. Names are those of files in its directory.

    Each method raises OSError where the system call fails.
    """

    def create_directory(self) -> None:
        """Creates the directory where it is missing."""

    def lock(self) -> int:
        """Locks the directory for this process, and returns the lock's handle for `unlock`.

        Raises BlockingIOError where another process holds it.
        """

    def unlock(self, handle: int) -> None:
        """Releases the lock."""

    def list_names(self) -> list[str]:
        """The names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """A file's bytes."""

    def create(self, name: str) -> int:
        """Opens a file for writing, and empties it where it exists."""

    def write(self, handle: int, data: bytes) -> int:
        """Writes some of the bytes; returns how many."""

    def sync(self, handle: int) -> None:
        """Makes a file's bytes durable."""

    def close(self, handle: int) -> None:
        """Closes a file."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, in the place of one that has the name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_directory(self) -> None:
        """Makes the creations, renames and removals of files durable."""


class Disk:
    """The operating system's calls on one directory."""

    def __init__(self, directory: str) -> None:
        """Opens nothing yet; the directory may be missing."""
        self.directory = directory

    def create_directory(self) -> None:
        """Creates the directory where it is missing."""
        os.makedirs(self.directory, mode=DIRECTORY_MODE, exist_ok=True)

    def lock(self) -> int:
        """Locks the directory for this process, and returns the lock's handle for `unlock`.

        Raises BlockingIOError where another process holds it.
        """
        handle = os.open(self._path(LOCK_NAME), os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        return handle

    def unlock(self, handle: int) -> None:
        """Releases the lock."""
        os.close(handle)

    def list_names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(os.listdir(self.directory))

    def read(self, name: str) -> bytes:
        """A file's bytes."""
        path = self._path(name)
        # A pipe without a writer would block the start.
        _require_regular(name, os.stat(path))
        with open(path, "rb") as file:
            return file.read()

    def create(self, name: str) -> int:
        """Opens a file for writing, and empties it where it exists."""
        path = self._path(name)
        if os.path.lexists(path):
            # Through a link, a file elsewhere would be emptied.
            _require_regular(name, os.lstat(path))
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)

    def write(self, handle: int, data: bytes) -> int:
        """Writes some of the bytes; returns how many."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Makes a file's bytes durable."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Closes a file."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, in the place of one that has the name."""
        os.rename(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self._path(name))

    def sync_directory(self) -> None:
        """Makes the creations, renames and removals of files durable."""
        handle = os.open(self.directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)


def _require_regular(name: str, status: os.stat_result) -> None:
    if not stat.S_ISREG(status.st_mode):
        raise OSError(errno.EINVAL, f"{name} is no regular file")
