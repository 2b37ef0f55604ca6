"""An event loop with a simulated clock and simulated transports: the assigner's network code runs
on it without sockets and without waiting."""

from dataclasses import replace

from ..config import Limits
from ..net.buffer import BufferBudget
from ..net.deadlines import DeadlineQueue
from ..net.event_loop import EventLoop
from ..net.slots import SlotTable


class Transport:
    """Keeps what a connection writes.

    `unread`: bytes that the peer has not read yet. `on_write()` is called after each write,
    `on_abort()` when the connection is aborted."""

    def __init__(self, on_write=None, on_abort=None):
        self.written = b""
        self.aborted = False
        self.unread = 0
        self.on_write = on_write
        self.on_abort = on_abort
        self.paused = False

    def write(self, data: bytes):
        """Keeps the data."""
        self.written += data
        if self.on_write:
            self.on_write()

    def write_eof(self):
        """Does nothing: peers do not read the end."""

    def abort(self):
        """Aborts the connection."""
        if self.on_abort and not self.aborted:
            self.on_abort()
        self.aborted = True

    def get_extra_info(self, name):
        """There is no socket."""

    def pause_reading(self):
        """Has `feed` wait until what was delivered is handled."""
        self.paused = True

    def resume_reading(self):
        """Ends `pause_reading`."""
        self.paused = False

    def get_write_buffer_size(self) -> int:
        """Bytes that the peer has not read yet."""
        return self.unread


class SimulatedEventLoop(EventLoop):
    """Times are ms, from 1000 on; `limits` are fields of `Limits`.

    `connections`: those that were requested, oldest first. None is open before `establish` or
    `open` is called for it, or before `on_connect(connection)`, where it is set, opens it."""

    def __init__(self, **limits):
        self.limits = replace(Limits(), **limits)
        self.counters = {}
        self.logged = []
        self.time = 1000.0
        self.connections = []
        self.pending_callbacks = []
        self.deadlines = DeadlineQueue()
        self.slots = SlotTable(self.limits.max_connections)
        self.loop = self
        self.buffer_budget = BufferBudget(1e6)
        self.started_s = 0.0
        self.on_connect = None
        self.discard_buffer = bytearray(self.limits.initial_buffer_bytes)
        self.lingering_connections = 0

    def log(self, event, **fields):
        """Keeps the log record."""
        self.logged.append((event, fields))

    def now(self) -> float:
        """The simulated clock."""
        return self.time

    def wall_offset_ms(self) -> float:
        """What to add to Unix milliseconds to get the simulated clock's."""
        return -5000.0

    def arm(self):
        """Does nothing: `run_for` looks at the deadlines itself."""

    def call_soon(self, call):
        """Calls back in the next `run`; stands in for asyncio's loop."""
        self.pending_callbacks.append(call)

    def connect(self, address, peer, timeout_ms=None):
        """Requests a connection; None where no slot is free."""
        connection = self.new_connection(peer, timeout_ms)
        if connection is None:
            return None
        connection.address = address
        self.connections.append(connection)
        if self.on_connect:
            self.on_connect(connection)
        return connection

    def run_for(self, ms: float):
        """Advances the time and runs the deadlines as they pass."""
        end = self.time + ms
        while (first := self.deadlines.next_at_ms()) is not None and first <= end:
            self.time = max(self.time, first)
            for call in self.deadlines.pop_due(self.time):
                call()
            self.run()
        self.time = end

    def run(self):
        """Runs the pending callbacks, and those that they add."""
        while self.pending_callbacks:
            self.pending_callbacks.pop(0)()

    def open_connections(self, *names) -> list:
        """The connections of these peers that are not closed, oldest first; forgets closed ones."""
        self.connections = [c for c in self.connections if not c.ended]
        return [c for c in self.connections if c.peer.name in names]

    @staticmethod
    def establish(connection):
        """Opens a connection that is not open yet."""
        if connection.transport is None:
            connection.connection_made(Transport())
        return connection

    def open(self, name: str, establish: bool = True):
        """The newest connection of this peer that is not closed; opened first, if asked for."""
        newest = [c for c in self.connections if c.peer.name == name and not c.ended][-1]
        return self.establish(newest) if establish else newest


def feed(connection, data: bytes):
    """Delivers bytes as a socket does: no more at a time than fit the connection's buffer."""
    while data and not connection.ended:
        space = connection.get_buffer(-1)
        count = min(len(space), len(data))
        space[:count] = data[:count]
        connection.buffer_updated(count)
        data = data[count:]
        while not connection.ended and getattr(connection.transport, "paused", False):
            connection.handle_input()
