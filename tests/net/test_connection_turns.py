"""What the bytes of one peer may cost in one turn of the event loop."""

import socket

import pytest
from helpers import StubTransport, connect_client, make_assigner, suspend_reconciliation

from havendyke.fields import excerpt
from havendyke.net.resp import encode

PING, PONG = encode("PING"), encode("PONG")
SOURCE = encode("SOURCE", "az", "a")
REPORT = encode(
    "LOAD", "az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0"
)


class RecordingTransport(StubTransport):
    """Records whether reading is paused."""

    reading = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


@pytest.fixture
def clients():
    """The event loop of an assigner, and two clients of it."""
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner)
    connections = []
    for _ in range(2):
        connections.append(connect_client(assigner))
        connections[-1].transport = RecordingTransport()
    return event_loop, *connections


def receive(connection, data):
    """Delivers bytes in one read; they must fit."""
    space = connection.get_buffer(-1)
    space[: len(data)] = data
    connection.buffer_updated(len(data))


def answers(connection):
    return connection.transport.written.count(PONG)


# Guards against late answers: one client's messages were all handled in one turn, while the others
# waited.
def test_another_client_is_answered_before_a_flood_is_handled(clients):
    event_loop, flooding, other = clients
    receive(flooding, PING * 200)
    first = answers(flooding)
    receive(other, PING)
    assert 0 < first < 100 and answers(other) == 1
    assert not flooding.transport.reading and other.transport.reading
    event_loop.run()
    assert answers(flooding) == 200 and flooding.transport.reading


def test_a_turn_ends_by_time_too(clients, monkeypatch):
    event_loop, slow, _ = clients

    def handle_slowly(connection):
        event_loop.time += 1.0
        return True

    monkeypatch.setattr(slow.peer, "handle_next", handle_slowly)
    start_ms = event_loop.time
    receive(slow, PING)
    assert event_loop.time - start_ms == 1.0 and not slow.transport.reading


@pytest.mark.parametrize("end", ["closed", "lost"])
def test_messages_that_wait_for_their_turn_are_dropped_with_their_connection(clients, end):
    event_loop, flooding, _ = clients
    receive(flooding, SOURCE + PING * 80 + REPORT * 9)
    assert 0 < answers(flooding) < 80
    if end == "closed":
        flooding.close("evicted")
    else:
        flooding.connection_lost(ConnectionResetError())
    event_loop.run()
    assert answers(flooding) < 80 and "reports_load" not in event_loop.counters


# Guards against a failure of our own: a write that fails within a turn ends the connection before
# the turn that was scheduled after it.
def test_a_turn_of_a_connection_whose_socket_is_closed_does_nothing(clients, monkeypatch):
    event_loop, flooding, _ = clients
    receive(flooding, SOURCE + PING * 80)
    closed = socket.socket()
    closed.close()
    monkeypatch.setattr(flooding.transport, "get_extra_info", lambda name: closed)
    flooding.connection_lost(BrokenPipeError())
    event_loop.run()
    assert flooding.ended and answers(flooding) < 80


def test_nothing_more_is_read_than_one_turn_may_look_through(clients):
    event_loop, client, _ = clients
    receive(client, SOURCE)
    limit = event_loop.limits.max_read_bytes
    data = b"*2\r\n$4\r\nLOAD\r\n$900000\r\n" + b"x" * 500_000
    while data:
        space = client.get_buffer(-1)
        assert 0 < len(space) <= limit
        receive(client, data[: len(space)])
        data = data[len(space) :]
    assert len(client.buffer.data) > 30 * limit


def test_an_error_message_quotes_a_long_value_without_reading_all_of_it():
    class CountingText(str):
        reprs = []

        def __repr__(self):
            self.reprs.append(len(self))
            return super().__repr__()

        def __getitem__(self, item):
            return CountingText(super().__getitem__(item))

    message = {"n": CountingText("9" * 1_000_000)}
    assert excerpt(message) == repr({"n": "9" * 1_000_000})[:120]
    assert max(CountingText.reprs) <= 120


def test_a_load_of_very_many_values_is_rejected_unread(clients):
    event_loop, client, _ = clients
    load = ",".join(["inflight:1"] * 1500)
    fields = ("az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0")
    data = SOURCE + encode("LOAD", *fields, "report", load) + PING
    while data:
        space = client.get_buffer(-1)
        receive(client, data[: len(space)])
        data = data[len(space) :]
    event_loop.run()
    assert event_loop.counters["bad_reports"] == 1 and answers(client) == 1
