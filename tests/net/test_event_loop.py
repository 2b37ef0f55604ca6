"""The event loop adapter: stalls of the process, full slots, and the limits of a connection."""

import asyncio
import errno
import time

import pytest
from helpers import connect_client, feed, make_assigner, suspend_reconciliation, weight_order

from havendyke.config import Limits
from havendyke.net.connection import Connection
from havendyke.net.event_loop import EventLoop
from havendyke.net.resp import encode


def test_after_a_stall_pending_input_is_handled_before_the_deadlines():
    # Otherwise an assigner that stalls repeatedly takes servers for dead that answered in time.
    class Peer:
        name, outcome = "probes", None

        def opened(self, connection):
            self.outcome = "up"

        def closed(self, connection, reason):
            self.outcome = self.outcome or reason

    async def stall():
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        event_loop, peer = EventLoop(Limits(), lambda *a, **k: None), Peer()
        event_loop.connect(server.sockets[0].getsockname(), peer, 50.0)
        await asyncio.sleep(0)
        time.sleep(0.3)
        while peer.outcome is None:
            await asyncio.sleep(0.01)
        return peer.outcome

    assert asyncio.run(stall()) == "up"


@pytest.mark.parametrize(
    "error, reason",
    [
        (errno.EMFILE, "local_failure"),
        (errno.ENFILE, "local_failure"),
        (errno.ENOBUFS, "local_failure"),
        (errno.ENOMEM, "local_failure"),
        (errno.EADDRNOTAVAIL, "local_failure"),
        (errno.EAGAIN, "local_failure"),
        (errno.ENETDOWN, "local_failure"),
        (errno.ECONNREFUSED, "refused"),
        (errno.ECONNRESET, "reset"),
        (errno.EHOSTUNREACH, "unreachable"),
        (errno.ENETUNREACH, "unreachable"),
        (errno.ETIMEDOUT, "unreachable"),
    ],
)
def test_a_socket_that_this_host_cannot_open_is_not_a_refusal_by_the_remote_end(error, reason):
    # Healthy servers were taken for dead while the assigner had no descriptors left.
    class Peer:
        name, reason = "health_checks", None

        def closed(self, connection, reason):
            self.reason = reason

    async def fail_to_connect(*arguments):
        raise OSError(error, "cannot connect")

    async def connect():
        event_loop, peer = EventLoop(Limits(), lambda *a, **k: None), Peer()
        event_loop.loop.create_connection = fail_to_connect
        event_loop.connect(("127.0.0.1", 1), peer)
        while peer.reason is None:
            await asyncio.sleep(0)
        return peer.reason

    assert asyncio.run(connect()) == reason


def test_a_message_over_the_limit_closes_only_its_connection():
    assigner, event_loop = make_assigner(max_message_bytes=4096, initial_buffer_bytes=64)
    bad, good = connect_client(suspend_reconciliation(assigner)), connect_client(assigner)
    feed(bad, b"*2\r\n$3000\r\n" + b"x" * 3000 + b"\r\n$2000\r\n" + b"x" * 2000)
    feed(good, encode("PING"))
    assert bad.ended and good.transport.written and event_loop.counters["bad_messages"] == 1


def test_a_full_slot_table_rejects_new_connections():
    assigner, event_loop = make_assigner(max_connections=1)
    connect_client(suspend_reconciliation(assigner))
    late = connect_client(assigner)
    assert late.ended and event_loop.counters["slots_full"] == 1 and len(event_loop.slots) == 1
    assigner.relay.enqueue([weight_order(1, "s1")])
    assigner.discovery.start()
    assigner.relay.watch.start()
    assigner.health_checker.check(assigner.registry.servers["s1"])
    event_loop.connections[0].close(
        "gone"
    ) if event_loop.connections else assigner.collectors.clients[0].connection.close("gone")
    event_loop.run_for(1000)
    assert any(isinstance(c, Connection) and not c.ended for c in event_loop.connections)
