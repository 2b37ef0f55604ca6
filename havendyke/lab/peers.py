"""The other sides of the platform's protocol, in the laboratory's time, each able to fail as its
page tells.

Written from the protocol's description: a relay that is the store, discovery, collectors and
servers. A `Simulation` has them round one real assigner. It moves the clock from event to event, so
that a minute costs what happens in it."""

import orjson

from ..net.deadlines import DeadlineQueue
from ..net.resp import encode
from .event_loop import SimulatedEventLoop, Transport, feed

CARRIED = 45.0  # ms; a call whose answer stays away is carried out within this, or never
ANSWER = 2.0  # ms until an answer leaves
APPLIED = 300.0  # ms from an order to the answers to its mark
PING, EMPTY = 1000.0, 2000.0  # signs of life of the relay and of discovery
CALL_OUTCOMES = (
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

    def __init__(self, simulation, connection):
        self.simulation, self.connection, self.read, self.silent, self.aborted = (
            simulation,
            connection,
            0,
            False,
            False,
        )
        self.delayed = None  # what is held up on its way, in order

    def establish(self):
        if not self.connection.over:
            self.connection.connection_made(
                Transport(lambda: self.simulation.after(0.5, self.read_written), self.on_abort)
            )

    def on_abort(self):
        self.aborted = True

    def read_written(self):
        if self.silent or self.aborted:
            return
        whole = self.connection.transport.written
        while not self.silent and (stop := whole.find(b"\n", self.read)) >= 0:
            told, self.read = whole[self.read : stop], stop + 1
            self.receive_line(told)

    def send(self, data: bytes):
        if self.delayed is not None:
            self.delayed.append(data)
        elif not self.silent and not self.connection.over:
            self.simulation.on_peer_data(self.connection, data)
            feed(self.connection, data)

    def delay_messages(self, wait: float):
        """From now on its bytes come one message each `wait` ms, until none is left behind: a
        connection keeps order."""
        if self.delayed is None:
            self.delayed = []
            self.simulation.after(wait, lambda: self.deliver_next(wait))

    def deliver_delayed(self):
        """What is held up arrives now; nothing more is held up."""
        held, self.delayed = self.delayed, None
        for data in held or ():
            self.send(data)

    def deliver_next(self, wait):
        held, self.delayed = self.delayed, None
        if held is None:
            return
        if held:
            self.send(held[0])
        if len(held) > 1:
            self.delayed = held[1:]
            self.simulation.after(wait, lambda: self.deliver_next(wait))

    def close(self, how: str = "reset"):
        self.connection.close(how)


def encode_message(**what) -> bytes:
    return orjson.dumps({"jsonrpc": "2.0", **what}) + b"\n"


class RelayPeer(Peer):
    def receive_line(self, line):
        self.simulation.relay.handle_call(self, orjson.loads(line))


class Relay:
    """The store and the proxies' streams. `call_outcome` says how the next calls end; a row is
    `{host: share}`.

    `ejected` has, for each proxy, what it was told to leave out: one that is away misses orders and
    keeps what it has."""

    def __init__(self, simulation, store: dict, proxies):
        self.simulation, self.store, self.call_outcome, self.pieces = simulation, store, "well", 0
        self.assigned_slices, self.connected_proxies = set(store), set(proxies)
        self.ejected = {proxy: set() for proxy in proxies}
        self.peers, self.watchers, self.applied_calls, self.down = [], [], 0, False
        simulation.after(PING, self.ping)

    def ping(self):
        if not self.down:
            self.notify("ping")
        self.simulation.after(PING, self.ping)

    def open_watches(self) -> list:
        self.watchers = [w for w in self.watchers if not w.connection.over]
        return self.watchers

    def notify(self, method, to=None, **params):
        data = (
            encode_message(method=method, params=params)
            if params
            else encode_message(method=method)
        )
        for watcher in [to] if to else self.open_watches():
            watcher.send(data)

    def send_table(self, piece, to=None):
        self.notify("GRANT", to, partition=piece, yes=True)
        for host, share in self.store[piece].items():
            self.notify("ROW", to, partition=piece, host=host, share=share)

    def notify_connected(self, proxy, to=None):
        self.notify(
            "SUBSCRIBE", to, sidecar=proxy, az="a", share=3.0, standing=not self.ejected[proxy]
        )

    def connect_proxy(self, proxy):
        if proxy not in self.connected_proxies:
            self.connected_proxies.add(proxy)
            self.ejected.setdefault(proxy, set())
            self.notify_connected(proxy)

    def disconnect_proxy(self, proxy):
        if proxy in self.connected_proxies:
            self.connected_proxies.discard(proxy)
            self.notify("CLOSED", sidecar=proxy)

    def unassign_slice(self, piece):
        if piece in self.assigned_slices:
            self.assigned_slices.discard(piece)
            self.notify("GRANT", partition=piece, yes=False)

    def assign_slice(self, piece, lines: dict):
        self.store[piece] = dict(lines)
        self.assigned_slices.add(piece)
        self.send_table(piece)

    def handle_call(self, peer, asked):
        number = asked.get("id")
        if self.down:
            peer.silent = True
            return
        if asked["method"] == "relay.watch":
            peer.send(encode_message(id=number, result=True))
            for proxy in sorted(self.connected_proxies):
                self.notify_connected(proxy, peer)
            for piece in sorted(self.assigned_slices):
                self.send_table(piece, peer)
            self.watchers.append(peer)
            return
        orders, ending = asked["params"]["orders"], self.call_outcome
        if ending in (
            "well",
            "cut_done",
            "silent_done",
            "junk_done",
            "twice",
            "stale_id",
            "spoilt_done",
        ):
            self.apply_orders(orders)
        if ending == "twice":
            self.apply_orders(
                orders
            )  # the same call once more behind it: orders say what shall be, not what to add
        if ending == "late":
            self.simulation.after(CARRIED, lambda: self.apply_orders(orders))
        answer = {
            "well": encode_message(id=number, result={"taken": len(orders)}),
            "twice": encode_message(id=number, result={"taken": len(orders)}),
            "junk_done": b"{]\n",
            "junk_undone": b"\xff\xfe{\n",
            "busy": encode_message(id=number, error={"code": 1, "message": "BUSY"}),
            "stale_id": encode_message(id=number - 1, result={"taken": len(orders)}),
            "spoilt_done": encode_message(id=number, result={"taken": -1}),
        }.get(ending)
        if answer:
            self.simulation.after(ANSWER, lambda: peer.send(answer))
        elif ending.startswith("cut") or ending == "late":
            self.simulation.after(ANSWER, peer.close)

    def apply_orders(self, orders):
        self.applied_calls += 1
        for o in orders:
            if o["op"] == "SET" and o["table"] in self.assigned_slices:
                self.store[o["table"]].pop(o["host"], None)
                if o["share"] > 0:
                    self.store[o["table"]][o["host"]] = o["share"]
            elif o["op"] == "DEL" and o["table"] in self.assigned_slices:
                self.store[o["table"]].clear()
            elif o["op"] in ("OUT", "IN"):
                for proxy in self.connected_proxies:
                    (self.ejected[proxy].add if o["op"] == "OUT" else self.ejected[proxy].discard)(
                        o["host"]
                    )
            elif o["op"] == "SYNC":
                self.simulation.after(
                    APPLIED,
                    lambda mark=o["nonce_out"], to=tuple(self.connected_proxies): self.acknowledge(
                        mark, to
                    ),
                )

    def acknowledge(self, mark, proxies):
        for proxy in proxies:
            if proxy in self.connected_proxies:
                self.notify("ACK", sidecar=proxy, version=mark, lag_ms=APPLIED)


class DiscoveryPeer(Peer):
    follow, sent = None, 0

    def receive_line(self, line):
        if line.startswith(b"GET "):
            path = line.split(b" ")[1].decode()
            self.follow = "follow=1" in path
            self.sent = int(path.rpartition("since=")[2]) if "since=" in path else -1
        elif line == b"\r":
            self.simulation.discovery.handle_request(self)


class Discovery:
    """Discovery: versions of a list, told whole or as watches. `entries` is {uid: entry}."""

    def __init__(self, simulation, entries: dict):
        self.simulation, self.entries, self.version, self.changed = simulation, entries, 1, {}
        self.watchers, self.down, self.corrupt_fields, self.garbage_reply = [], False, None, b""
        simulation.after(EMPTY, self.send_keepalive)

    def send_keepalive(self):
        if not self.down:
            for watcher in self.open_watches():
                self.send_chunk(watcher, b"\n")
        self.simulation.after(EMPTY, self.send_keepalive)

    def open_watches(self) -> list:
        self.watchers = [w for w in self.watchers if not w.connection.over]
        return self.watchers

    @staticmethod
    def send_chunk(peer, data):
        peer.send(b"%x\r\n%s\r\n" % (len(data), data))

    def list_body(self, whole, since=-1) -> bytes:
        entries = [
            e for uid, e in self.entries.items() if whole or self.changed.get(uid, 0) > since
        ]
        entries = [e for e in entries if not whole or e["state"] != "terminated"]
        if self.corrupt_fields and entries:
            entries, self.corrupt_fields = [entries[0] | self.corrupt_fields, *entries[1:]], None
        return orjson.dumps({"rev": self.version, "all": whole, "targets": entries})

    def handle_request(self, peer):
        if self.down:
            peer.silent = True
            return
        if self.garbage_reply:
            peer.send(self.garbage_reply)
            return
        if not peer.follow:
            body = self.list_body(True)
            peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        whole = peer.sent > self.version or peer.sent < 0
        if whole or peer.sent < self.version:
            self.send_chunk(peer, self.list_body(whole, peer.sent) + b"\n")
        peer.sent = self.version
        self.watchers.append(peer)

    def change(self, **entries):
        """Entries by uid: a dict to merge."""
        self.version += 1
        for uid, more in entries.items():
            self.entries[uid] = self.entries.get(uid, {}) | more
            self.changed[uid] = self.version
        if not self.down:
            for watcher in self.open_watches():
                self.send_chunk(watcher, self.list_body(False, watcher.sent) + b"\n")
                watcher.sent = self.version

    def restart(self):
        """It lost its history: versions begin anew, watches end, and who asks is told the whole
        list."""
        self.version, self.changed = 1, dict.fromkeys(self.entries, 1)
        for watcher in self.open_watches():
            watcher.close()


class ServerPeer(Peer):
    def receive_line(self, line):
        if line == b"\r":
            self.simulation.answer_health_check(self)


class Simulation:
    """One assigner and everybody round it. `make(event_loop)` gives the assigner."""

    relay_type, discovery_type = Relay, Discovery

    def __init__(
        self, make, store: dict, entries: dict, proxies=range(6), event_loop=None, **limits
    ):
        """`event_loop`: one of the caller's own, in place of a `SimulatedEventLoop` with these
        limits."""
        self.deadlines, self.event_loop = (
            DeadlineQueue(),
            event_loop or SimulatedEventLoop(**limits),
        )
        self.event_loop.on_connect = self.connect_peer
        self.relay, self.discovery = (
            self.relay_type(self, store, proxies),
            self.discovery_type(self, entries),
        )
        self.health_check_reply, self.refused_ports = "well", set()  # ports that refuse
        self.assigner = make(self.event_loop)
        self.clients = []

    def after(self, wait, call):
        self.deadlines.add(self.event_loop.time + wait, call)

    def on_peer_data(self, connection, data: bytes):
        """A peer is about to say this on a connection; for those who count."""

    def connect_peer(self, connection):
        name, port = connection.peer.name, connection.address[1]
        kind = {
            "relay": RelayPeer,
            "relay_watch": RelayPeer,
            "discovery": DiscoveryPeer,
            "health_checks": ServerPeer,
        }[name]
        if (
            port in self.refused_ports
            or name == "health_checks"
            and self.health_check_reply == "refused"
        ):
            self.after(0.5, lambda: connection.close("refused"))
        elif not (name == "health_checks" and self.health_check_reply == "absent"):
            peer = kind(self, connection)
            if kind is RelayPeer:
                self.relay.peers = [p for p in self.relay.peers if not p.connection.over] + [peer]
            self.after(0.5, peer.establish)

    def answer_health_check(self, peer):
        body = b"TEXT inflight=2, queue=0"
        peer.send(
            {
                "well": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
                "full": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
                "junk": b"junk\r\n\r\n",
                "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT",
            }.get(self.health_check_reply, b"")
        )
        if self.health_check_reply == "cut":
            peer.close()

    def run_for(self, ms: float):
        end = self.event_loop.time + ms
        self.event_loop.run()
        while True:
            ours, its = self.deadlines.next_at_ms(), self.event_loop.deadlines.next_at_ms()
            at = min(x for x in (ours, its, end + 1) if x is not None)
            if at > end:
                break
            self.event_loop.time = max(self.event_loop.time, at)
            for call in self.deadlines.pop_due(
                self.event_loop.time
            ) + self.event_loop.deadlines.pop_due(self.event_loop.time):
                call()
                self.event_loop.run()
        self.event_loop.time = end
        self.event_loop.connections = [c for c in self.event_loop.connections if not c.over]

    def stall(self, ms: float):
        """The assigner alone does nothing meanwhile; then everything is late at once."""
        self.event_loop.time += ms

    def connect_collector(self, zone: str | None):
        """A newcomer at the assigner's address; joined where a zone is named."""
        connection = self.assigner.collectors.accept()
        if not connection.over:
            connection.connection_made(Transport())
            if zone is not None:
                feed(connection, encode("SOURCE", "az", zone))
        self.clients = [c for c in self.clients if not c.over] + [connection]
        return connection

    def disagreements(self) -> list:
        """What the decisions believe and the store has otherwise, in words; empty once all has come
        to rest."""
        c, relay, wrong = self.assigner.registry.controller, self.relay, []
        joined, held = (
            {p.id for p in c.proxies if p.connected},
            {p.id for p in c.slices if p.assigned},
        )
        if joined != relay.connected_proxies:
            wrong.append(f"proxies {sorted(joined)} in place of {sorted(relay.connected_proxies)}")
        if held != relay.assigned_slices:
            wrong.append(f"slices {sorted(held)} in place of {sorted(relay.assigned_slices)}")
        tables = {p.id: {s.id: w for s, w in p.published.items()} for p in c.slices if p.assigned}
        for piece in held & relay.assigned_slices:
            if tables[piece] != relay.store[piece]:
                wrong.append(f"slice {piece} {tables[piece]} in place of {relay.store[piece]}")
        named = {host for piece in relay.assigned_slices for host in relay.store[piece]}
        out = {s.id for s in c.servers if s.ejected} & named
        for proxy in sorted(relay.connected_proxies):
            if relay.ejected[proxy] & named != out:
                wrong.append(
                    f"proxy {proxy} leaves out {sorted(relay.ejected[proxy] & named)}, not "
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
