"""A version of the product as a process that uses the bench's wire format, and a session with it.

The version is started by the `sim` command of its own deploy file, in its own folder; none of its
modules are imported."""

import json
import os
import shlex
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

from havendyke import interface

from ._wire import Handles, Message, decode_order, encode_event, encode_settings, nanoseconds

DEPLOY_FILE = "deploy/balancer.toml"
SIM_KEY = "sim"
DEPLOYED_INTERPRETER = ".venv/bin/python"
CONTROLLER_ID = 1  # on the wire


class VersionError(Exception):
    """A version that cannot be started, exits early or gives no answer."""


def deployed_command(folder: Path, key: str) -> str:
    """A command of the version's own deploy file, with the present interpreter in it."""
    try:
        command: str = tomllib.loads((folder / DEPLOY_FILE).read_text())[key]
    except (OSError, ValueError, KeyError) as error:
        raise VersionError(f"{DEPLOY_FILE} has no {key} command: {error}") from error
    return command.replace(DEPLOYED_INTERPRETER, shlex.quote(sys.executable))


def last_line(stderr: IO[bytes]) -> str:
    """The last line in the file of a process's standard error."""
    stderr.seek(0)
    lines = stderr.read().decode(errors="replace").strip().splitlines()
    return lines[-1] if lines else ""


class VersionProcess:
    """A running version, which reads one line and answers one line for each batch."""

    def __init__(self, name: str, process: subprocess.Popen[bytes], stderr: IO[bytes]) -> None:
        """`stderr`: the file to which the process writes its standard error."""
        self.name = name
        self._process = process
        self._stderr = stderr

    def send(self, line: bytes) -> None:
        """Sends a batch; raises `VersionError` where the process has exited."""
        assert self._process.stdin
        try:
            self._process.stdin.write(line)
            self._process.stdin.flush()
        except OSError:
            raise self._exit_error() from None

    def receive(self) -> bytes:
        """The answer to the last batch; raises `VersionError` where the process has exited."""
        assert self._process.stdout
        line = self._process.stdout.readline()
        if not line.endswith(b"\n"):
            raise self._exit_error()
        return line

    def _exit_error(self) -> VersionError:
        """An error with the last line that the process wrote to standard error."""
        self._process.wait()
        reason = last_line(self._stderr) or "the process exited early"
        return VersionError(f"{self.name}: {reason}")


@contextmanager
def running_version(name: str, folder: Path) -> Iterator[VersionProcess]:
    """Runs the version in a folder within the context.

    Raises `VersionError` where its deploy file has no `sim` command."""
    try:
        command = deployed_command(folder, SIM_KEY)
    except VersionError as error:
        raise VersionError(f"{name}: {error}") from error
    with (
        # A pipe would fill up and block the process, since it is not read meanwhile.
        tempfile.TemporaryFile() as stderr,
        subprocess.Popen(
            command,
            shell=True,
            cwd=folder,
            env=dict(os.environ, PYTHONHASHSEED="0"),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=stderr,
        ) as process,
    ):
        try:
            yield VersionProcess(name, process, stderr)
        finally:
            process.kill()
            process.communicate()


class Session:
    """A controller in another process, with the part of `ObjectRegistry` that a day uses.

    `exchange` sends a batch and returns the messages of the answer that drives the day."""

    def __init__(
        self,
        exchange: Callable[[bytes], list[Message]],
        settings: interface.Settings,
        seed: int,
    ) -> None:
        """The settings and the seed are sent with the first batch."""
        self.handles = Handles()
        self.server, self.slice = self.handles.server, self.handles.slice
        self.proxy = self.handles.proxy
        self.pending_events: list[interface.Event] = []
        self.serial = 0
        self._exchange = exchange
        self._now_ms = 0.0
        boot = {"kind": "BOOT", "settings": encode_settings(settings), "salt": seed}
        self._pending_messages: list[Message] = [boot]

    def reconcile(self, now_ms: float) -> list[interface.Order]:
        """Sends the pending events and returns the orders of the answer."""
        messages = (encode_event(event) for event in self.pending_events)
        self._pending_messages += [message for message in messages if message]
        self.pending_events = []
        self._now_ms = now_ms
        return [decode_order(message, self.handles) for message in self._send(now_ms)]

    def close(self) -> None:
        """Deletes the version's controller, so that the next day starts with a new one."""
        self._pending_messages = [{"kind": "TEARDOWN"}]
        self._send(self._now_ms)

    def _send(self, now_ms: float) -> list[Message]:
        inbox = [{**message, "assignerId": CONTROLLER_ID} for message in self._pending_messages]
        batch = {"ts": nanoseconds(now_ms), "serial": self.serial, "inbox": inbox}
        self._pending_messages, self.serial = [], self.serial + 1
        return self._exchange(json.dumps(batch, separators=(",", ":")).encode() + b"\n")
