"""A relay that breaks, silences and garbles, by drawn days in the test's own time: at the end all must agree."""
import random

import orjson
import pytest
from helpers import Transport, feed, front, listed

from havendyke import interface as core

SERVERS = [f"s{k}" for k in range(1, 7)]


class Relay:
    """The relay's side of the published messages, over the connections that the hub was asked for."""

    def __init__(self, hub, chance):
        self.hub, self.chance, self.rough, self.silent_till = hub, chance, True, 0.0
        self.store = {piece: {SERVERS[piece % 6]: 1.0} for piece in range(8)}
        self.given, self.joined, self.shut = set(range(8)), set(range(6)), set()
        self.read, self.watchers, self.late, self.most = {}, [], [], 0

    def tell(self, method, to=None, **params):
        for c in [to] if to else [c for c in self.watchers if not c.over]:
            feed(c, [{"method": method, "params": params}])

    def row(self, piece, to=None):
        self.tell("GRANT", to, partition=piece, yes=True)
        for host, share in self.store[piece].items():
            self.tell("ROW", to, partition=piece, host=host, share=share)

    def step(self):
        open_now = [c for c in self.hub.made if not c.over and c.peer.name in ("relay", "news")]
        self.most = max(self.most, len(open_now))
        for c in open_now if self.hub.time >= self.silent_till else ():
            if c.transport is None:
                c.connection_made(Transport())
            lines = c.transport.written.splitlines()
            for line in lines[self.read.get(c, 0):]:
                self.read[c] = self.read.get(c, 0) + 1
                if not c.over:
                    self.call(c, orjson.loads(line))
        for at, mark in [item for item in self.late if item[0] <= self.hub.time]:
            self.late.remove((at, mark))
            for proxy in self.joined:
                self.tell("ACK", sidecar=proxy, version=mark, lag_ms=300.0)

    def call(self, c, told):
        if told["method"] == "relay.watch":
            feed(c, [{"id": told["id"], "result": True}])
            for proxy in self.joined:
                self.join(proxy, c)
            for piece in self.given:
                self.row(piece, c)
            self.watchers.append(c)
            return
        orders, draw = told["params"]["orders"], self.chance.random()
        ending = self.chance.choice(["break", "silent", "junk", "busy"]) if self.rough and draw < 0.4 else "well"
        if ending == "well" or ending != "busy" and self.chance.random() < 0.5:
            self.carry_out(orders)
        if ending == "break":
            c.close("reset")
        elif ending != "silent":
            feed(c, {"junk": b"{]\n", "busy": [{"id": told["id"], "error": {"message": "BUSY"}}],
                     "well": [{"id": told["id"], "result": {"taken": len(orders)}}]}[ending])

    def carry_out(self, orders):
        for o in orders:
            if o["op"] == "SET" and o["table"] in self.given:
                self.store[o["table"]].pop(o["host"], None)
                if o["share"] > 0:
                    self.store[o["table"]][o["host"]] = o["share"]
            elif o["op"] in ("OUT", "IN"):
                (self.shut.add if o["op"] == "OUT" else self.shut.discard)(o["host"])
            elif o["op"] == "SYNC":
                self.late.append((self.hub.time + 300.0, o["nonce_out"]))

    def join(self, proxy, to=None):
        self.tell("SUBSCRIBE", to, sidecar=proxy, az="a", share=3.0, standing=False)

    def trouble(self):
        kind = self.chance.randrange(7)
        live = [c for c in self.watchers if not c.over]
        if kind < 2:
            for c in live if kind else live[:1]:
                c.close("reset")
        elif kind == 2:
            self.silent_till = self.hub.time + self.chance.random() * 4000
        elif kind == 3 and live:
            self.watchers.remove(self.chance.choice(live))  # half-open: it stays up and silent
        elif kind == 4 and live:
            feed(live[0], b"\x00garbage\n")
        elif kind == 5:
            proxy = self.chance.randrange(6)
            if proxy in self.joined:
                self.tell("CLOSED", sidecar=proxy)
            self.joined.add(proxy)
            self.join(proxy)
        else:
            piece = self.chance.randrange(8)
            self.tell("GRANT", partition=piece, yes=False)
            self.store[piece] = {self.chance.choice(SERVERS): 1.0}
            self.row(piece)


@pytest.mark.parametrize("seed", range(8))
def test_after_any_troubles_of_the_relay_all_agree(seed):
    assigner, hub = front(news_streams=2)
    chance = random.Random(seed)
    relay, version = Relay(hub, chance), 1
    assigner.start()
    states = dict.fromkeys(SERVERS, "in_service")
    for step in range(7500):
        hub.pass_time(10)
        hub.run()
        relay.step()
        relay.rough = step < 6000
        if step % 100 == 0 and hub.time >= relay.silent_till:
            relay.tell("ping")
        if relay.rough and step % 90 == 89:
            relay.trouble()
        if step % 150 == 0 and step <= 6000:
            name = chance.choice(SERVERS)
            well = states[name] == "in_service" and step < 6000 and list(states.values()).count("in_service") > 3
            changed = [name] if step < 6000 else SERVERS
            states |= dict.fromkeys(changed, "terminating" if well else "in_service")
            version += 1
            assigner.tell(assigner.messages.members(
                {"rev": version, "all": False, "targets": [listed(n, states[n]) for n in changed]})[0])
    c = assigner.door.controller
    assert {p.id for p in c.proxies if p.joined} == relay.joined
    assert {p.id for p in c.slices if p.held} == relay.given
    assert {p.id: {s.id: w for s, w in p.present.items()} for p in c.slices if p.held} == relay.store
    assert {s.id for s in c.servers if s.out} == relay.shut
    assert all(p.answered == c.serial for p in c.proxies if p.joined) and assigner.relay.away is None
    assert hub.counters["relay_unknown"] > 5 and relay.most <= 16
    assert not any(isinstance(e, core.Reached) for e in assigner.door.inbox) and not hub.counters.get("failures")


def test_many_generations_of_servers_leave_nothing_behind():
    assigner, hub = front()
    relay = Relay(hub, random.Random(3))
    relay.rough = False
    assigner.start()
    version, alive = 1, SERVERS
    tell = lambda names, state: assigner.tell(assigner.messages.members(  # noqa: E731
        {"rev": version, "all": False, "targets": [listed(n, state) for n in names]})[0])
    tell(alive, "in_service")
    sizes = []
    for generation in range(12):
        fresh = [f"g{generation}-{k}" for k in range(6)]
        for names, state in ((fresh, "in_service"), (alive, "terminating"), (alive, "terminated")):
            version += 1
            tell(names, state)
            for step in range(800):
                hub.pass_time(10)
                hub.run()
                relay.step()
                if step % 100 == 0:
                    relay.tell("ping")
        alive = fresh
        kept = assigner.messages
        sizes.append([len(x) for x in (assigner.door.servers, assigner.door.controller.servers, kept.endpoints,
                                       kept.started, assigner.probes.last)])
    assert all(size <= 12 for size in sum(sizes[2:], [])) and len(assigner.door.shut) <= 72
    assert {n for table in relay.store.values() for n in table} <= set(alive) and hub.counters["servers_forgotten"] > 50


@pytest.mark.parametrize("shut", [False, True])
def test_a_name_that_comes_back_after_it_was_forgotten_is_opened_before_it_is_used(shut):
    assigner, _ = front()
    server = assigner.door.server("s9")
    server.state, server.out = "gone", shut
    assigner.door.inbox = []
    assigner.sweep()
    assert "s9" not in assigner.door.servers
    assert assigner.door.server("s9").doubt == shut and not assigner.door.shut
