"""The system calls of `StateDirectory`, behind an interface so that tests can fail any of them."""

import errno
import fcntl
import os
import stat
from typing import Protocol

FILE_MODE = 0o600
DIRECTORY_MODE = 0o700
LOCK_NAME = "lock"


class StateDisk(Protocol):
    """The file operations of `StateDirectory`; names are those of files in its directory.

    Each method raises OSError if the system call fails.
    """

    def create_directory(self) -> None:
        """Creates the directory if it does not exist."""

    def lock(self) -> int:
        """Locks the directory for this process; returns a handle for `unlock`.

        Raises BlockingIOError if another process holds the lock.
        """

    def unlock(self, handle: int) -> None:
        """Releases the lock."""

    def list_names(self) -> list[str]:
        """Returns the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def create(self, name: str) -> int:
        """Opens a file for writing; truncates an existing one."""

    def write(self, handle: int, data: bytes) -> int:
        """Writes a part or all of `data`; returns the number of bytes written."""

    def sync(self, handle: int) -> None:
        """Flushes the content of a file to the disk."""

    def close(self, handle: int) -> None:
        """Closes a file."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces an existing one."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_directory(self) -> None:
        """Flushes created, renamed and removed directory entries to the disk."""


class Disk:
    """The file operations on a directory of the operating system."""

    def __init__(self, directory: str) -> None:
        """Opens nothing yet; the directory need not exist."""
        self.directory = directory

    def create_directory(self) -> None:
        """Creates the directory if it does not exist."""
        os.makedirs(self.directory, mode=DIRECTORY_MODE, exist_ok=True)

    def lock(self) -> int:
        """Locks the directory for this process; returns a handle for `unlock`.

        Raises BlockingIOError if another process holds the lock.
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
        """Returns the names of all files, sorted."""
        return sorted(os.listdir(self.directory))

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        path = self._path(name)
        # Opening a FIFO without a writer would block the start.
        _require_regular(name, os.stat(path))
        with open(path, "rb") as file:
            return file.read()

    def create(self, name: str) -> int:
        """Opens a file for writing; truncates an existing one."""
        path = self._path(name)
        if os.path.lexists(path):
            # Opening a symbolic link would truncate its target.
            _require_regular(name, os.lstat(path))
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)

    def write(self, handle: int, data: bytes) -> int:
        """Writes a part or all of `data`; returns the number of bytes written."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Flushes the content of a file to the disk."""
        os.fsync(handle)

    def close(self, handle: int) -> None:
        """Closes a file."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces an existing one."""
        os.rename(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self._path(name))

    def sync_directory(self) -> None:
        """Flushes created, renamed and removed directory entries to the disk."""
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
