"""One socket, in or out: its buffer, its end and the calls to its peer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, StrEnum
from typing import TYPE_CHECKING, Any, Protocol, cast

from .buffer import Buffer
from .deadlines import Deadline

if TYPE_CHECKING:
    from .event_loop import EventLoop

MAX_LOGGED_FIELD_CHARS = 200


class Peer(Protocol):
    """Who speaks the protocol of a connection."""

    name: str  # of its kind, in the log and the counters

    def opened(self, connection: Any) -> None:
        """The connection is up."""

    def received(self, connection: Any) -> None:
        """More bytes are in the connection's buffer."""

    def closed(self, connection: Any, why: str) -> None:
        """The connection has ended; called once."""


class CloseReason(StrEnum):
    """Why the relay's client and watch close connections, in the log and the counters.

    The text of any other reason stands where `Connection.close` is called.
    """

    IDLE = "idle"
    MOVED = "moved"  # the other side has another address now
    SILENT = "silent"
    DONE = "done"
    OVERDUE = "overdue"


class ConnectionState(Enum):
    """Where a connection is in its life."""

    CONNECTING = "connecting"
    OPEN = "open"
    LINGERING = "lingering"  # ended for its peer; bytes of the other side are read and discarded
    CLOSED = "closed"


class Connection(asyncio.BufferedProtocol):
    """A connection with a slot of the event loop and a buffer.

    An error that the peer raises ends this connection and no other: `ValueError` where the other
    side sent what cannot be read, anything else for a defect of ours.
    """

    def __init__(
        self, event_loop: EventLoop, peer: Peer, initial_buffer_size: int | None = None
    ) -> None:
        """The buffer begins with `initial_buffer_size` bytes, or with those of the limits."""
        limits = event_loop.limits
        self.event_loop = event_loop
        self.peer = peer
        self.buffer = Buffer(
            initial_buffer_size or limits.initial_buffer_bytes,
            limits.max_message_bytes,
            event_loop.buffer_budget,
        )
        self.state = ConnectionState.CONNECTING
        self.slot: int | None = None
        self.transport: asyncio.Transport | None = None
        self.deadline: Deadline | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.last_received_ms = event_loop.now()  # at first, when it was made

    @property
    def ended(self) -> bool:
        """Whether the connection has ended for its peer."""
        return self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Of asyncio: the socket is connected."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
            return
        self.state = ConnectionState.OPEN
        self.event_loop.cancel(self.deadline)
        self.deadline = None
        self._call_peer(self.peer.opened, self)

    def get_buffer(self, sizehint: int) -> memoryview | bytearray:
        """Of asyncio: where the next bytes go."""
        free_space = None if self.ended else self._call_peer(self.buffer.free_space)
        # What comes after the end is read and discarded.
        return self.event_loop.discard_buffer if free_space is None else free_space

    def buffer_updated(self, count: int) -> None:
        """Of asyncio: so many bytes have come."""
        if not self.ended:
            self.buffer.end += count
            self.last_received_ms = self.event_loop.now()
            self._call_peer(self.peer.received, self)

    def eof_received(self) -> bool:
        """Of asyncio: the other side has ended its direction, with which ours ends too."""
        if not self.ended:
            self.close("ended")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Of asyncio: the socket is closed."""
        self._stop_lingering()
        if error is None:
            self.close("ended")
        else:
            self.close("reset" if isinstance(error, ConnectionResetError) else "lost")

    def write(self, data: bytes) -> None:
        """Sends bytes; closes the connection where too many wait for the other side to read them.

        One that does not read must not fill the memory.
        """
        if self.transport is not None and not self.ended:
            self.transport.write(data)
            if (
                self.transport.get_write_buffer_size()
                > self.event_loop.limits.max_write_buffer_bytes
            ):
                self.close("unread")

    def close(self, why: str, linger_ms: float = 0.0) -> None:
        """Ends the connection for good; its peer is notified once.

        For `linger_ms` the other side may still read what was written just now.
        """
        if self.ended:
            return
        self.state = ConnectionState.CLOSED
        self.event_loop.cancel(self.deadline)
        # Messages that are slices of the buffer may be in use right now.
        self.event_loop.loop.call_soon(self.buffer.release)
        if not (linger_ms > 0 and self._start_lingering(linger_ms)):
            self._release_slot()
            self._abort()
        self.event_loop.count(f"closed_{self.peer.name}_{why}")
        self._call_peer(self.peer.closed, self, why)

    def reject(self) -> None:
        """Has the connection end as soon as it is up, without notifying its peer."""
        self.state = ConnectionState.CLOSED

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
        """Ends our direction alone; returns whether it could.

        With bytes of the other side unread a close is a reset, which overtakes what was written
        last. Few connections linger at a time, or a flood would take all slots.
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
            return False  # it is gone already
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
