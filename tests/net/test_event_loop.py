"""The event loop adapter: stalls of the process, full slots, and the limits of a connection."""

import asyncio
import time

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
    assigner.relay.order([weight_order(1, "s1")])
    assigner.discovery.start()
    assigner.relay.watch.start()
    assigner.health_checker.check(assigner.registry.servers["s1"])
    event_loop.made[0].close("gone") if event_loop.made else assigner.collectors.clients[
        0
    ].connection.close("gone")
    event_loop.pass_time(1000)
    assert any(isinstance(c, Connection) and not c.ended for c in event_loop.made)
