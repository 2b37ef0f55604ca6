"""Connections: the asyncio protocol, with a receive buffer, a slot and errors confined to it."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from enum import Enum, StrEnum
from typing import TYPE_CHECKING, Any, Protocol, cast

from ..config import ConnectionLimits
from .buffer import Buffer
from .deadlines import Deadline

if TYPE_CHECKING:
    from .event_loop import EventLoop

MAX_LOGGED_FIELD_CHARS = 200
RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE)


class Peer(Protocol):
    """The application protocol of a connection."""

    name: str  # the kind of peer, in log lines and counters

    def opened(self, connection: Any) -> None:
        """Called once the connection is established."""

    def handle_next(self, connection: Any) -> bool:
        """Handles the next message, or a part of it, and no more; returns whether it did.

        False where the connection's buffer must receive more bytes first.
        """

    def closed(self, connection: Any, reason: str) -> None:
        """Called once when the connection has ended."""


class CloseReason(StrEnum):
    """Reasons of the relay's client and watch for closing connections, in the log and counters.

    All other reasons are literals in calls of `Connection.close`.
    """

    IDLE = "idle"
    MOVED = "moved"  # the peer has a new address
    SILENT = "silent"
    DONE = "done"  # the snapshot is complete
    OVERDUE = "overdue"  # may have missed what a lost stream carried


class ConnectionState(Enum):
    """Lifecycle of a connection."""

    CONNECTING = "connecting"
    OPEN = "open"
    LINGERING = "lingering"  # `Peer` is notified; received bytes are discarded
    CLOSED = "closed"


class Connection(asyncio.BufferedProtocol):
    """A connection that occupies a slot of the event loop and has a buffer.

    Input is handled in turns of limited length, so that a remote end that sends without pause does
    not keep the others waiting. Nothing more is read until all complete messages were handled.

    An exception in a method of `Peer` closes this connection and no other. `ValueError` means that
    the remote end sent a malformed message, any other exception that this program has a defect.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        peer: Peer,
        limits: ConnectionLimits | None = None,
        drop_unread_on_reset: bool = False,
    ) -> None:
        """`limits`: by default those of connections that the assigner opens.

        `drop_unread_on_reset`: whether bytes that were received before a reset of the connection
        and were not handled by then are dropped.
        """
        self.event_loop = event_loop
        self.peer = peer
        self.limits = limits or event_loop.limits.outgoing_connection
        self.buffer = Buffer(
            self.limits.initial_buffer_bytes,
            event_loop.limits.max_message_bytes,
            event_loop.buffer_budget,
        )
        self._reading_paused = False
        self._turn_scheduled = False
        self.state = ConnectionState.CONNECTING
        self.ended = False  # as far as the `Peer` is concerned: lingering or closed
        self.slot: int | None = None
        self.transport: asyncio.Transport | None = None
        self._drop_unread_on_reset = drop_unread_on_reset
        self.deadline: Deadline | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.last_received_ms = event_loop.now()  # initially the time of creation

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the socket is connected."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
            return
        self.state = ConnectionState.OPEN
        self.event_loop.cancel(self.deadline)
        self.deadline = None
        self._call_peer(self.peer.opened, self)

    def get_buffer(self, sizehint: int) -> memoryview | bytearray:
        """Called by asyncio for the space for the next bytes."""
        space: memoryview | None = None
        if not self.ended:
            space = self._call_peer(self.buffer.free_space)
        # Bytes that arrive after the end are discarded.
        if space is None:
            return self.event_loop.discard_buffer
        return space[: self.limits.max_read_bytes]

    def buffer_updated(self, count: int) -> None:
        """Called by asyncio when `count` bytes were received."""
        if self._drop_unread_on_reset:
            self._close_if_reset()
        if not self.ended:
            self.buffer.end += count
            self.last_received_ms = self.event_loop.now()
            self._take_turn(self.last_received_ms)

    def handle_input(self) -> None:
        """Handles messages until none is complete or the turn is over; then goes on later."""
        if not self.ended:
            self._take_turn(self.event_loop.now())

    def _take_turn(self, now_ms: float) -> None:
        if self._call_peer(self._handle_messages, now_ms + self.limits.max_turn_ms):
            self._schedule_turn()
        elif self._reading_paused and self.transport is not None:
            self._reading_paused = False
            self.transport.resume_reading()

    def _handle_messages(self, end_ms: float) -> bool:
        """Handles messages until none is complete or the turn is over; returns whether it is."""
        for _ in range(self.limits.max_messages_per_turn):
            if not self.peer.handle_next(self) or self.ended:
                return False
            if self.event_loop.now() >= end_ms:
                break
        return True

    def eof_received(self) -> bool:
        """Called by asyncio when the remote end has closed its direction; closes ours as well."""
        if not self.ended:
            self.close("ended")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Called by asyncio when the socket is closed."""
        self._stop_lingering()
        if error is None:
            self.close("ended")
        else:
            self.close("reset" if isinstance(error, ConnectionResetError) else "lost")

    def write(self, data: bytes) -> None:
        """Sends bytes; closes the connection if too many of them are unread.

        A remote end that does not read must not use up the memory.
        """
        if self.transport is not None and not self.ended:
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > self.limits.max_write_buffer_bytes:
                self.close("unread")

    def close(self, reason: str, linger_ms: float = 0.0) -> None:
        """Ends the connection and notifies its `Peer` once.

        For `linger_ms` the remote end may still read what was written last.
        """
        if self.ended:
            return
        self.ended = True
        self.state = ConnectionState.CLOSED
        self.event_loop.cancel(self.deadline)
        # Deferred: a caller may be using messages that are slices of the buffer.
        self.event_loop.loop.call_soon(self.buffer.release)
        if not (linger_ms > 0 and self._start_lingering(linger_ms)):
            self._release_slot()
            self._abort()
        self.event_loop.count(f"closed_{self.peer.name}_{reason}")
        self._call_peer(self.peer.closed, self, reason)

    def reject(self) -> None:
        """Has the connection aborted once it is established, without notifying its `Peer`."""
        self.ended = True
        self.state = ConnectionState.CLOSED

    def _schedule_turn(self) -> None:
        """Has the other connections go first; reads nothing more until then."""
        if self.transport is not None and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.event_loop.loop.call_soon(self._run_scheduled_turn)

    def _run_scheduled_turn(self) -> None:
        self._turn_scheduled = False
        if self._drop_unread_on_reset:
            self._close_if_reset()
        self.handle_input()

    def _close_if_reset(self) -> None:
        """Closes a connection that has failed; the kernel still delivers what it had received."""
        if self.ended:
            return  # its socket may be closed already
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if sock is not None else 0
        if error:
            self.close("reset" if error in RESET_ERRORS else "lost")

    def _call_peer(self, method: Callable[..., Any], *arguments: Any) -> Any:
        try:
            return method(*arguments)
        except ValueError as error:
            self.event_loop.count("bad_messages")
            field = str(error)[:MAX_LOGGED_FIELD_CHARS]
            self.event_loop.log("bad_message", peer=self.peer.name, field=field)
            self.close("bad")
        except Exception as error:
            self.event_loop.log_failure(self.peer.name, error)
            self.close("failure")
        return None

    def _start_lingering(self, wait_ms: float) -> bool:
        """Closes only our direction; returns whether that succeeded.

        Closing a socket with unread input sends a reset, which may overtake the bytes written last.
        Few connections linger at a time, so that a flood cannot occupy all slots.
        """
        event_loop = self.event_loop
        if (
            self.transport is None
            or event_loop.lingering_connections >= event_loop.limits.max_lingering_connections
        ):
            return False
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError):
            return False  # the socket is closed already
        self.state = ConnectionState.LINGERING
        event_loop.lingering_connections += 1
        self.deadline = event_loop.after(wait_ms, self._stop_lingering)
        return True

    def _stop_lingering(self) -> None:
        if self.state is ConnectionState.LINGERING:
            self.state = ConnectionState.CLOSED
            self.event_loop.lingering_connections -= 1
            self.event_loop.cancel(self.deadline)
            self._release_slot()
            self._abort()

    def _release_slot(self) -> None:
        if self.slot is not None:
            self.event_loop.slots.release(self.slot)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()
