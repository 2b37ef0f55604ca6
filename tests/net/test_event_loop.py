"""The event loop adapter: a standstill, full slots, and the limits of one connection."""

import asyncio
import time

from helpers import connect_client, feed, make_assigner, suspend_reconciliation, weight_order

from havendyke.config import Limits
from havendyke.net.connection import Connection
from havendyke.net.event_loop import EventLoop
from havendyke.net.resp import encode


def test_after_a_standstill_what_came_in_goes_before_the_deadlines():
    # Standing still again and again, it took servers for dead that had answered meanwhile.
    class Peer:
        name, ends = "probes", None

        def opened(self, connection):
            self.ends = "up"

        def closed(self, connection, why):
            self.ends = self.ends or why

    async def stand_still():
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        hub, peer = EventLoop(Limits(), lambda *a, **k: None), Peer()
        hub.connect(server.sockets[0].getsockname(), peer, 50.0)
        await asyncio.sleep(0)
        time.sleep(0.3)
        while peer.ends is None:
            await asyncio.sleep(0.01)
        return peer.ends

    assert asyncio.run(stand_still()) == "up"


def test_a_message_over_the_limit_ends_its_connection_only():
    assigner, hub = make_assigner(message=4096, buffer=64)
    bad, good = connect_client(suspend_reconciliation(assigner)), connect_client(assigner)
    feed(bad, b"*2\r\n$3000\r\n" + b"x" * 3000 + b"\r\n$2000\r\n" + b"x" * 2000)
    feed(good, encode("PING"))
    assert bad.over and good.transport.written and hub.counters["bad_messages"] == 1


def test_a_full_table_turns_newcomers_away():
    assigner, hub = make_assigner(slots=1)
    connect_client(suspend_reconciliation(assigner))
    late = connect_client(assigner)
    assert late.over and hub.counters["slots_full"] == 1 and len(hub.slots) == 1
    assigner.relay.order([weight_order(1, "s1")])
    assigner.discovery.start()
    assigner.relay.watch.start()
    assigner.health_checker.check(assigner.registry.servers["s1"])
    hub.connections[0].close("gone") if hub.connections else assigner.collectors.clients[
        0
    ].connection.close("gone")
    hub.run_for(1000)
    assert any(isinstance(c, Connection) and not c.over for c in hub.connections)
