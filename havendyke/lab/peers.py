"""The other sides of the platform's protocol, in the laboratory's time, each able to fail as its
page tells.

Written from the protocol's description: a relay that is the store, discovery, collectors and
servers. A `World` has them round one real assigner. It moves the clock from event to event, so that
a minute costs what happens in it."""

import orjson

from ..net.deadlines import DeadlineQueue
from ..net.resp import encode
from .hub import LabHub, Transport, feed

CARRIED = 45.0  # ms; a call whose answer stays away is carried out within this, or never
ANSWER = 2.0  # ms until an answer leaves
APPLIED = 300.0  # ms from an order to the answers to its mark
PING, EMPTY = 1000.0, 2000.0  # signs of life of the relay and of discovery
ENDINGS = (
    "well",
    "cut_done",
    "cut_undone",
    "silent_done",
    "silent_undone",
    "junk_done",
    "junk_undone",
    "busy",
    "late",
    "twice",
    "stale_id",
    "spoilt_done",
)


class Peer:
    """The far end of one connection of the assigner's; `take(line)` gets what it writes, line by
    line."""

    def __init__(self, world, connection):
        self.world, self.connection, self.read, self.silent, self.gone = (
            world,
            connection,
            0,
            False,
            False,
        )
        self.held = None  # what is held up on its way, in order

    def up(self):
        if not self.connection.ended:
            self.connection.connection_made(
                Transport(lambda: self.world.after(0.5, self.look), self.end)
            )

    def end(self):
        self.gone = True

    def look(self):
        if self.silent or self.gone:
            return
        whole = self.connection.transport.written
        while not self.silent and (stop := whole.find(b"\n", self.read)) >= 0:
            told, self.read = whole[self.read : stop], stop + 1
            self.take(told)

    def say(self, data: bytes):
        if self.held is not None:
            self.held.append(data)
        elif not self.silent and not self.connection.ended:
            self.world.said(self.connection, data)
            feed(self.connection, data)

    def drip(self, wait: float):
        """From now on its bytes come one message each `wait` ms, until none is left behind: a
        connection keeps order."""
        if self.held is None:
            self.held = []
            self.world.after(wait, lambda: self.drop(wait))

    def flush(self):
        """What is held up arrives now; nothing more is held up."""
        held, self.held = self.held, None
        for data in held or ():
            self.say(data)

    def drop(self, wait):
        held, self.held = self.held, None
        if held is None:
            return
        if held:
            self.say(held[0])
        if len(held) > 1:
            self.held = held[1:]
            self.world.after(wait, lambda: self.drop(wait))

    def close(self, how: str = "reset"):
        self.connection.close(how)


def told(**what) -> bytes:
    return orjson.dumps({"jsonrpc": "2.0", **what}) + b"\n"


class RelayPeer(Peer):
    def take(self, line):
        self.world.relay.call(self, orjson.loads(line))


class Relay:
    """The store and the proxies' streams. `ending` says how the next calls end; a row is `{host:
    share}`.

    `shut` has, for each proxy, what it was told to leave out: one that is away misses orders and
    keeps what it has."""

    def __init__(self, world, store: dict, proxies):
        self.world, self.store, self.ending, self.pieces = world, store, "well", 0
        self.given, self.joined = set(store), set(proxies)
        self.shut = {proxy: set() for proxy in proxies}
        self.peers, self.watchers, self.carried, self.down = [], [], 0, False
        world.after(PING, self.ping)

    def ping(self):
        if not self.down:
            self.tell("ping")
        self.world.after(PING, self.ping)

    def live(self) -> list:
        self.watchers = [w for w in self.watchers if not w.connection.ended]
        return self.watchers

    def tell(self, method, to=None, **params):
        data = told(method=method, params=params) if params else told(method=method)
        for watcher in [to] if to else self.live():
            watcher.say(data)

    def row(self, piece, to=None):
        self.tell("GRANT", to, partition=piece, yes=True)
        for host, share in self.store[piece].items():
            self.tell("ROW", to, partition=piece, host=host, share=share)

    def join(self, proxy, to=None):
        self.tell("SUBSCRIBE", to, sidecar=proxy, az="a", share=3.0, standing=not self.shut[proxy])

    def comes(self, proxy):
        if proxy not in self.joined:
            self.joined.add(proxy)
            self.shut.setdefault(proxy, set())
            self.join(proxy)

    def leaves(self, proxy):
        if proxy in self.joined:
            self.joined.discard(proxy)
            self.tell("CLOSED", sidecar=proxy)

    def taken(self, piece):
        if piece in self.given:
            self.given.discard(piece)
            self.tell("GRANT", partition=piece, yes=False)

    def gives(self, piece, lines: dict):
        self.store[piece] = dict(lines)
        self.given.add(piece)
        self.row(piece)

    def call(self, peer, asked):
        number = asked.get("id")
        if self.down:
            peer.silent = True
            return
        if asked["method"] == "relay.watch":
            peer.say(told(id=number, result=True))
            for proxy in sorted(self.joined):
                self.join(proxy, peer)
            for piece in sorted(self.given):
                self.row(piece, peer)
            self.watchers.append(peer)
            return
        orders, ending = asked["params"]["orders"], self.ending
        if ending in (
            "well",
            "cut_done",
            "silent_done",
            "junk_done",
            "twice",
            "stale_id",
            "spoilt_done",
        ):
            self.carry_out(orders)
        if ending == "twice":
            self.carry_out(
                orders
            )  # the same call once more behind it: orders say what shall be, not what to add
        if ending == "late":
            self.world.after(CARRIED, lambda: self.carry_out(orders))
        answer = {
            "well": told(id=number, result={"taken": len(orders)}),
            "twice": told(id=number, result={"taken": len(orders)}),
            "junk_done": b"{]\n",
            "junk_undone": b"\xff\xfe{\n",
            "busy": told(id=number, error={"code": 1, "message": "BUSY"}),
            "stale_id": told(id=number - 1, result={"taken": len(orders)}),
            "spoilt_done": told(id=number, result={"taken": -1}),
        }.get(ending)
        if answer:
            self.world.after(ANSWER, lambda: peer.say(answer))
        elif ending.startswith("cut") or ending == "late":
            self.world.after(ANSWER, peer.close)

    def carry_out(self, orders):
        self.carried += 1
        for o in orders:
            if o["op"] == "SET" and o["table"] in self.given:
                self.store[o["table"]].pop(o["host"], None)
                if o["share"] > 0:
                    self.store[o["table"]][o["host"]] = o["share"]
            elif o["op"] == "DEL" and o["table"] in self.given:
                self.store[o["table"]].clear()
            elif o["op"] in ("OUT", "IN"):
                for proxy in self.joined:
                    (self.shut[proxy].add if o["op"] == "OUT" else self.shut[proxy].discard)(
                        o["host"]
                    )
            elif o["op"] == "SYNC":
                self.world.after(
                    APPLIED,
                    lambda mark=o["nonce_out"], to=tuple(self.joined): self.answers(mark, to),
                )

    def answers(self, mark, proxies):
        for proxy in proxies:
            if proxy in self.joined:
                self.tell("ACK", sidecar=proxy, version=mark, lag_ms=APPLIED)


class RegistryPeer(Peer):
    follow, sent = None, 0

    def take(self, line):
        if line.startswith(b"GET "):
            path = line.split(b" ")[1].decode()
            self.follow = "follow=1" in path
            self.sent = int(path.rpartition("since=")[2]) if "since=" in path else -1
        elif line == b"\r":
            self.world.registry.asked(self)


class Registry:
    """Discovery: versions of a list, told whole or as watches. `entries` is {uid: entry}."""

    def __init__(self, world, entries: dict):
        self.world, self.entries, self.version, self.changed = world, entries, 1, {}
        self.watchers, self.down, self.spoil, self.garbage = [], False, None, b""
        world.after(EMPTY, self.empty)

    def empty(self):
        if not self.down:
            for watcher in self.live():
                self.chunk(watcher, b"\n")
        self.world.after(EMPTY, self.empty)

    def live(self) -> list:
        self.watchers = [w for w in self.watchers if not w.connection.ended]
        return self.watchers

    @staticmethod
    def chunk(peer, data):
        peer.say(b"%x\r\n%s\r\n" % (len(data), data))

    def body(self, whole, since=-1) -> bytes:
        entries = [
            e for uid, e in self.entries.items() if whole or self.changed.get(uid, 0) > since
        ]
        entries = [e for e in entries if not whole or e["state"] != "terminated"]
        if self.spoil and entries:
            entries, self.spoil = [entries[0] | self.spoil, *entries[1:]], None
        return orjson.dumps({"rev": self.version, "all": whole, "targets": entries})

    def asked(self, peer):
        if self.down:
            peer.silent = True
            return
        if self.garbage:
            peer.say(self.garbage)
            return
        if not peer.follow:
            body = self.body(True)
            peer.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        peer.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        whole = peer.sent > self.version or peer.sent < 0
        if whole or peer.sent < self.version:
            self.chunk(peer, self.body(whole, peer.sent) + b"\n")
        peer.sent = self.version
        self.watchers.append(peer)

    def change(self, **entries):
        """Entries by uid: a dict to merge."""
        self.version += 1
        for uid, more in entries.items():
            self.entries[uid] = self.entries.get(uid, {}) | more
            self.changed[uid] = self.version
        if not self.down:
            for watcher in self.live():
                self.chunk(watcher, self.body(False, watcher.sent) + b"\n")
                watcher.sent = self.version

    def restart(self):
        """It lost its history: versions begin anew, watches end, and who asks is told the whole
        list."""
        self.version, self.changed = 1, dict.fromkeys(self.entries, 1)
        for watcher in self.live():
            watcher.close()


class ServerPeer(Peer):
    def take(self, line):
        if line == b"\r":
            self.world.answer_probe(self)


class World:
    """One assigner and everybody round it. `make(hub)` gives the assigner."""

    relay_type, registry_type = Relay, Registry

    def __init__(self, make, store: dict, entries: dict, proxies=range(6), hub=None, **limits):
        """`hub`: one of the caller's own, in place of a `LabHub` with these limits."""
        self.deadlines, self.hub = DeadlineQueue(), hub or LabHub(**limits)
        self.hub.dialled = self.dialled
        self.relay, self.registry = (
            self.relay_type(self, store, proxies),
            self.registry_type(self, entries),
        )
        self.probe_answers, self.refused = "well", set()  # ports that refuse
        self.assigner = make(self.hub)
        self.callers = []

    def after(self, wait, call):
        self.deadlines.add(self.hub.time + wait, call)

    def said(self, connection, data: bytes):
        """A peer is about to say this on a connection; for those who count."""

    def dialled(self, connection):
        name, port = connection.peer.name, connection.address[1]
        kind = {
            "relay": RelayPeer,
            "relay_watch": RelayPeer,
            "discovery": RegistryPeer,
            "health_checks": ServerPeer,
        }[name]
        if port in self.refused or name == "health_checks" and self.probe_answers == "refused":
            self.after(0.5, lambda: connection.close("refused"))
        elif not (name == "health_checks" and self.probe_answers == "absent"):
            peer = kind(self, connection)
            if kind is RelayPeer:
                self.relay.peers = [p for p in self.relay.peers if not p.connection.ended] + [peer]
            self.after(0.5, peer.up)

    def answer_probe(self, peer):
        body = b"TEXT inflight=2, queue=0"
        peer.say(
            {
                "well": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
                "full": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
                "junk": b"junk\r\n\r\n",
                "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT",
            }.get(self.probe_answers, b"")
        )
        if self.probe_answers == "cut":
            peer.close()

    def pass_time(self, ms: float):
        end = self.hub.time + ms
        self.hub.run()
        while True:
            ours, its = self.deadlines.next_at_ms(), self.hub.deadlines.next_at_ms()
            at = min(x for x in (ours, its, end + 1) if x is not None)
            if at > end:
                break
            self.hub.time = max(self.hub.time, at)
            for call in self.deadlines.pop_due(self.hub.time) + self.hub.deadlines.pop_due(
                self.hub.time
            ):
                call()
                self.hub.run()
        self.hub.time = end
        self.hub.made = [c for c in self.hub.made if not c.ended]

    def stand_still(self, ms: float):
        """The assigner alone does nothing meanwhile; then everything is late at once."""
        self.hub.time += ms

    def collector(self, zone: str | None):
        """A newcomer at the assigner's address; joined where a zone is named."""
        connection = self.assigner.collectors.accept()
        if not connection.ended:
            connection.connection_made(Transport())
            if zone is not None:
                feed(connection, encode("SOURCE", "az", zone))
        self.callers = [c for c in self.callers if not c.ended] + [connection]
        return connection

    def disagreements(self) -> list:
        """What the decisions believe and the store has otherwise, in words; empty once all has come
        to rest."""
        c, relay, wrong = self.assigner.registry.controller, self.relay, []
        joined, held = (
            {p.id for p in c.proxies if p.connected},
            {p.id for p in c.slices if p.assigned},
        )
        if joined != relay.joined:
            wrong.append(f"proxies {sorted(joined)} in place of {sorted(relay.joined)}")
        if held != relay.given:
            wrong.append(f"slices {sorted(held)} in place of {sorted(relay.given)}")
        tables = {p.id: {s.id: w for s, w in p.published.items()} for p in c.slices if p.assigned}
        for piece in held & relay.given:
            if tables[piece] != relay.store[piece]:
                wrong.append(f"slice {piece} {tables[piece]} in place of {relay.store[piece]}")
        named = {host for piece in relay.given for host in relay.store[piece]}
        out = {s.id for s in c.servers if s.ejected} & named
        for proxy in sorted(relay.joined):
            if relay.shut[proxy] & named != out:
                wrong.append(
                    f"proxy {proxy} leaves out {sorted(relay.shut[proxy] & named)}, not "
                    f"{sorted(out)}"
                )
        late = [
            p.id
            for p in c.proxies
            if p.connected and p.acknowledged_serial != c.observed.channel.last_serial
        ]
        if late:
            wrong.append(f"marks unanswered by {late}")
        channel = self.assigner.relay.channel
        if not channel.is_available:
            wrong.append(f"the relay counts as away: {channel.reason}")
        return wrong
