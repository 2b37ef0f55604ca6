"""Adapter to asyncio's event loop: clock, deadlines, connections, log and counters.

The protocols' state machines use asyncio only through `EventLoop`.
"""

import asyncio
import errno
import time
from collections.abc import Callable
from typing import Any

from ..config import Limits
from .buffer import BufferBudget
from .connection import Connection, Peer
from .deadlines import Deadline, DeadlineQueue
from .log import EventLog
from .slots import SlotTable

Address = tuple[str, int]

# asyncio's timers may fire early by this much.
TIMER_TOLERANCE_MS = 0.2
MAX_LOGGED_CAUSE_CHARS = 300
# Errors of socket(2) and connect(2) that this host causes, before anything reaches the remote end:
# no descriptors, memory or free ports are left, a local rule forbids it, or the network is down.
LOCAL_CONNECT_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EACCES,
        errno.EPERM,
        errno.ENETDOWN,
    }
)
# Why a connection was closed that could not be attempted, because of such an error.
LOCAL_FAILURE = "local_failure"


class EventLoop:
    """The event loop of one assigner; created while asyncio's loop runs.

    Owns all connections, deadlines and counters. Times are milliseconds of the monotonic clock.
    """

    def __init__(self, limits: Limits, log: EventLog) -> None:
        """Attaches to the running asyncio loop and logs its unhandled errors."""
        self.limits = limits
        self.log = log
        self.counters: dict[str, float] = {}
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self._log_loop_failure)
        self.deadlines = DeadlineQueue()
        self.slots: SlotTable[Connection] = SlotTable(limits.max_connections)
        self.buffer_budget = BufferBudget(limits.buffer_budget_bytes)
        self.discard_buffer = bytearray(limits.initial_buffer_bytes)
        self.lingering_connections = 0
        self.started_s = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = 0.0
        self._catching_up = False
        self._connect_tasks: set[asyncio.Task[None]] = set()

    @staticmethod
    def now() -> float:
        """The monotonic clock in milliseconds."""
        return time.monotonic() * 1000

    @staticmethod
    def wall_offset_ms() -> float:
        """The offset that converts Unix milliseconds to the monotonic clock."""
        return time.monotonic() * 1000 - time.time() * 1000

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def log_failure(self, peer: str, error: Exception) -> None:
        """Counts and logs a defect of this program; `peer` names where it occurred."""
        self.count("failures")
        self.log("failure", peer=peer, cause=f"{type(error).__name__}: {error}")

    def soon(self, callback: Callable[[], None]) -> None:
        """Schedules the callback after those that are already scheduled."""
        self.loop.call_soon(callback)

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Deadline:
        """Calls back after the delay, unless the returned deadline is cancelled before."""
        deadline = self.deadlines.add(self.now() + delay_ms, callback)
        self.arm()
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancels a deadline; has no effect on None or a deadline that has passed."""
        self.deadlines.cancel(deadline)

    def arm(self) -> None:
        """Schedules a timer of asyncio's loop for the next deadline."""
        next_at_ms = self.deadlines.next_at_ms()
        if next_at_ms is None or (self._timer is not None and self._timer_at_ms <= next_at_ms):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at_ms = next_at_ms
        self._timer = self.loop.call_at(next_at_ms / 1000, self._run_deadlines)

    def connect(
        self, address: Address, peer: Peer, timeout_ms: float | None = None
    ) -> Connection | None:
        """Starts to connect; returns None if no slot is free.

        `peer` is notified once the connection is established or has failed.
        """
        connection = self.new_connection(peer, timeout_ms)
        if connection is not None:
            task = self.loop.create_task(self._connect(connection, address))
            connection.connect_task = task
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
        return connection

    def new_connection(self, peer: Peer, timeout_ms: float | None = None) -> Connection | None:
        """Creates a connection; None if no slot is free.

        It is closed if it is not established in time, by default within `connect_timeout_ms`.
        """
        connection = Connection(self, peer)
        if not self._assign_slot(connection):
            return None
        connection.deadline = self.after(
            timeout_ms or self.limits.connect_timeout_ms, lambda: connection.close("timeout")
        )
        return connection

    def accept(self, peer: Peer) -> Connection:
        """Creates the connection of a new client, rejected already if no slot is free."""
        connection = Connection(
            self, peer, self.limits.client_connection, drop_unread_on_reset=True
        )
        if self._assign_slot(connection):
            self.count("accepted")
        else:
            connection.reject()
        return connection

    def _assign_slot(self, connection: Connection) -> bool:
        connection.slot = self.slots.acquire(connection)
        if connection.slot is None:
            self.count("slots_full")
        return connection.slot is not None

    async def _connect(self, connection: Connection, address: Address) -> None:
        try:
            await self.loop.create_connection(lambda: connection, *address)
        except ConnectionRefusedError:
            connection.close("refused")
        except (OSError, ValueError, OverflowError) as error:
            connection.close(_connect_failure(error))

    def _run_deadlines(self) -> None:
        self._timer = None
        # After a stall of this process, bytes that arrived meanwhile are read before any deadline
        # expires: the process was silent, not its peers.
        late_ms = self.now() - self._timer_at_ms
        self._catching_up = not self._catching_up and late_ms > self.limits.stall_threshold_ms
        if self._catching_up:
            delay_s = self.limits.catch_up_ms / 1000
            self._timer = self.loop.call_later(delay_s, self._run_deadlines)
            return
        for callback in self.deadlines.pop_due(self.now() + TIMER_TOLERANCE_MS):
            try:
                callback()
            except Exception as error:
                self.log_failure("deadline", error)
        self.arm()

    def _log_loop_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.count("failures")
        cause = f"{context.get('message')}: {context.get('exception')!r}"
        self.log("failure", peer="loop", cause=cause[:MAX_LOGGED_CAUSE_CHARS])


def _connect_failure(error: Exception) -> str:
    """The reason for which a connection that failed to connect is closed."""
    if isinstance(error, ConnectionResetError):
        return "reset"
    if isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS:
        return LOCAL_FAILURE
    return "unreachable"
