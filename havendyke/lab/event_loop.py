"""A hub whose clock and transports the caller moves: the real front runs on it without a socket or
a second passing."""

from dataclasses import replace

from ..config import Limits
from ..net.buffer import BufferBudget
from ..net.deadlines import DeadlineQueue
from ..net.event_loop import EventLoop
from ..net.slots import SlotTable


class Transport:
    """What a connection writes, kept; `unread` is what its peer has not taken yet (bytes).
    `on_write()` is called after a write, `on_abort()` once the connection was let go."""

    def __init__(self, on_write=None, on_abort=None):
        self.written, self.aborted, self.unread, self.on_write, self.on_abort = (
            b"",
            False,
            0,
            on_write,
            on_abort,
        )

    def write(self, data: bytes):
        self.written += data
        if self.on_write:
            self.on_write()

    def write_eof(self):
        pass

    def abort(self):
        if self.on_abort and not self.aborted:
            self.on_abort()
        self.aborted = True

    def get_write_buffer_size(self) -> int:
        return self.unread


class SimulatedEventLoop(EventLoop):
    """Times are ms, from 1000 on; `limits` are fields of `Limits`. Connections asked for are in
    `connections`, oldest first; none comes up until `establish` or `open` says so, or
    `on_connect(connection)`, where it is set, does it."""

    def __init__(self, **limits):
        self.limits = replace(Limits(), **limits)
        self.counters, self.logged, self.time, self.connections, self.pending_callbacks = (
            {},
            [],
            1000.0,
            [],
            [],
        )
        self.deadlines, self.slots, self.loop = DeadlineQueue(), SlotTable(self.limits.slots), self
        self.buffer_budget, self.started_s, self.on_connect = BufferBudget(1e6), 0.0, None
        self.discard_buffer, self.lingering_connections = bytearray(self.limits.buffer), 0

    def log(self, event, **more):
        self.logged.append((event, more))

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return -5000.0

    def arm(self):
        pass

    def call_soon(self, call):
        self.pending_callbacks.append(call)

    def connect(self, address, peer, wait=None):
        made = self.new_connection(peer, wait)
        if made is None:
            return None
        made.address = address
        self.connections.append(made)
        if self.on_connect:
            self.on_connect(made)
        return made

    def run_for(self, ms: float):
        end = self.time + ms
        while (first := self.deadlines.next_at_ms()) is not None and first <= end:
            self.time = max(self.time, first)
            for call in self.deadlines.pop_due(self.time):
                call()
            self.run()
        self.time = end

    def run(self):
        while self.pending_callbacks:
            self.pending_callbacks.pop(0)()

    def open_connections(self, *names) -> list:
        """The connections of these peers that are not over, oldest first; those that are over are
        forgotten."""
        self.connections = [c for c in self.connections if not c.over]
        return [c for c in self.connections if c.peer.name in names]

    @staticmethod
    def establish(connection):
        if connection.transport is None:
            connection.connection_made(Transport())
        return connection

    def open(self, name: str, establish: bool = True):
        """The newest connection of these peers that is not over; brought up first."""
        made = [c for c in self.connections if c.peer.name == name and not c.over][-1]
        return self.establish(made) if establish else made


def feed(connection, data: bytes):
    """Bytes as a socket brings them: no more at a time than the room there is."""
    while data and not connection.over:
        room = connection.get_buffer(-1)
        count = min(len(room), len(data))
        room[:count] = data[:count]
        connection.buffer_updated(count)
        data = data[count:]
