"""The assigner's peers in simulated time, with the failures that the platform documents.

The peers are the relay with its store, discovery, collectors and servers. A `Simulation` connects
them to one real assigner and advances the clock from event to event, so that a simulated minute
costs only what happens in it."""

import orjson

from ..net.deadlines import DeadlineQueue
from ..net.resp import encode
from .event_loop import SimulatedEventLoop, Transport, feed

LATE_APPLY_MS = 45.0  # a call without a reply is carried out within this, or never
REPLY_DELAY_MS = 2.0
ACKNOWLEDGEMENT_DELAY_MS = 300.0  # from a call to the acknowledgements of its nonce
RELAY_PING_MS = 1000.0
DISCOVERY_KEEPALIVE_MS = 2000.0
CALL_OUTCOMES = (
    "answered",
    "closed_applied",
    "closed_discarded",
    "silent_applied",
    "silent_discarded",
    "garbage_applied",
    "garbage_discarded",
    "busy",
    "late",
    "applied_twice",
    "stale_id",
    "invalid_applied",
)


class Peer:
    """The far end of one connection of the assigner; `receive_line` gets each line that the
    assigner writes."""

    def __init__(self, simulation, connection):
        self.simulation = simulation
        self.connection = connection
        self.read = 0
        self.silent = False
        self.aborted = False
        self.delayed = None  # messages that are delayed, in order; None: messages arrive at once

    def establish(self):
        """The connection is up."""
        if not self.connection.ended:
            self.connection.connection_made(
                Transport(lambda: self.simulation.after(0.5, self.read_written), self.on_abort)
            )

    def on_abort(self):
        """The assigner has closed the connection; what it wrote last is lost."""
        self.aborted = True

    def read_written(self):
        """Reads the complete lines that the assigner has written."""
        if self.silent or self.aborted:
            return
        written = self.connection.transport.written
        while not self.silent and (stop := written.find(b"\n", self.read)) >= 0:
            line = written[self.read : stop]
            self.read = stop + 1
            self.receive_line(line)

    def send(self, data: bytes):
        """Sends a message to the assigner, after those that are delayed."""
        if self.delayed is not None:
            self.delayed.append(data)
        elif not self.silent and not self.connection.ended:
            self.simulation.on_peer_data(self.connection, data)
            feed(self.connection, data)

    def delay_messages(self, interval_ms: float):
        """From now on one message arrives each interval, until none is left: a connection keeps
        the order of its messages."""
        if self.delayed is None:
            self.delayed = []
            self.simulation.after(interval_ms, lambda: self.deliver_next(interval_ms))

    def deliver_delayed(self):
        """Delivers all delayed messages and delays no more."""
        messages = self.delayed
        self.delayed = None
        for data in messages or ():
            self.send(data)

    def deliver_next(self, interval_ms):
        """Delivers the first delayed message."""
        messages = self.delayed
        self.delayed = None
        if messages is None:
            return
        if messages:
            self.send(messages[0])
        if len(messages) > 1:
            self.delayed = messages[1:]
            self.simulation.after(interval_ms, lambda: self.deliver_next(interval_ms))

    def close(self, why: str = "reset"):
        """Ends the connection."""
        self.connection.close(why)


def encode_message(**fields) -> bytes:
    """A message of the relay, as one line."""
    return orjson.dumps({"jsonrpc": "2.0", **fields}) + b"\n"


class RelayPeer(Peer):
    """The relay's end of a connection."""

    def receive_line(self, line):
        """Receives a call."""
        self.simulation.relay.handle_call(self, orjson.loads(line))


class Relay:
    """The store and the proxies' streams.

    `store`: by slice, {host: share}. `call_outcome`: how the next calls end. `ejected`: by proxy,
    the servers that orders have ejected there; a disconnected proxy misses orders and keeps its
    state."""

    def __init__(self, simulation, store: dict, proxies):
        self.simulation = simulation
        self.store = store
        self.call_outcome = "answered"
        self.assigned_slices = set(store)
        self.connected_proxies = set(proxies)
        self.ejected = {proxy: set() for proxy in proxies}
        self.peers = []
        self.watchers = []
        self.applied_calls = 0
        self.down = False
        simulation.after(RELAY_PING_MS, self.ping)

    def ping(self):
        """Sends a ping to all watches, again and again."""
        if not self.down:
            self.notify("ping")
        self.simulation.after(RELAY_PING_MS, self.ping)

    def open_watches(self) -> list:
        """The peers whose connections carry a watch."""
        self.watchers = [w for w in self.watchers if not w.connection.ended]
        return self.watchers

    def notify(self, method, to=None, **params):
        """Sends a notification to the peer `to`, or to all watches."""
        data = (
            encode_message(method=method, params=params)
            if params
            else encode_message(method=method)
        )
        for watcher in [to] if to else self.open_watches():
            watcher.send(data)

    def send_table(self, slice_id, to=None):
        """Notifies of the assignment of a slice and of its table."""
        self.notify("GRANT", to, partition=slice_id, yes=True)
        for host, share in self.store[slice_id].items():
            self.notify("ROW", to, partition=slice_id, host=host, share=share)

    def notify_connected(self, proxy, to=None):
        """Notifies that a proxy is connected."""
        self.notify(
            "SUBSCRIBE", to, sidecar=proxy, az="a", share=3.0, standing=not self.ejected[proxy]
        )

    def connect_proxy(self, proxy):
        """Connects a proxy that is disconnected."""
        if proxy not in self.connected_proxies:
            self.connected_proxies.add(proxy)
            self.ejected.setdefault(proxy, set())
            self.notify_connected(proxy)

    def disconnect_proxy(self, proxy):
        """Disconnects a proxy that is connected."""
        if proxy in self.connected_proxies:
            self.connected_proxies.discard(proxy)
            self.notify("CLOSED", sidecar=proxy)

    def unassign_slice(self, slice_id):
        """Takes a slice from the assigner."""
        if slice_id in self.assigned_slices:
            self.assigned_slices.discard(slice_id)
            self.notify("GRANT", partition=slice_id, yes=False)

    def assign_slice(self, slice_id, table: dict):
        """Assigns a slice, with this table in the store."""
        self.store[slice_id] = dict(table)
        self.assigned_slices.add(slice_id)
        self.send_table(slice_id)

    def handle_call(self, peer, request):
        """Starts a watch, or ends a call with orders by `call_outcome`."""
        number = request.get("id")
        if self.down:
            peer.silent = True
            return
        if request["method"] == "relay.watch":
            peer.send(encode_message(id=number, result=True))
            for proxy in sorted(self.connected_proxies):
                self.notify_connected(proxy, peer)
            for slice_id in sorted(self.assigned_slices):
                self.send_table(slice_id, peer)
            self.watchers.append(peer)
            return
        orders = request["params"]["orders"]
        outcome = self.call_outcome
        if outcome in (
            "answered",
            "closed_applied",
            "silent_applied",
            "garbage_applied",
            "applied_twice",
            "stale_id",
            "invalid_applied",
        ):
            self.apply_orders(orders)
        if outcome == "applied_twice":
            self.apply_orders(orders)  # orders state a result, so that a repetition changes nothing
        if outcome == "late":
            self.simulation.after(LATE_APPLY_MS, lambda: self.apply_orders(orders))
        reply = {
            "answered": encode_message(id=number, result={"taken": len(orders)}),
            "applied_twice": encode_message(id=number, result={"taken": len(orders)}),
            "garbage_applied": b"{]\n",
            "garbage_discarded": b"\xff\xfe{\n",
            "busy": encode_message(id=number, error={"code": 1, "message": "BUSY"}),
            "stale_id": encode_message(id=number - 1, result={"taken": len(orders)}),
            "invalid_applied": encode_message(id=number, result={"taken": -1}),
        }.get(outcome)
        if reply:
            self.simulation.after(REPLY_DELAY_MS, lambda: peer.send(reply))
        elif outcome.startswith("closed") or outcome == "late":
            self.simulation.after(REPLY_DELAY_MS, peer.close)

    def apply_orders(self, orders):
        """Carries out the orders of a call."""
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
                    ACKNOWLEDGEMENT_DELAY_MS,
                    lambda nonce=o["nonce_out"], to=tuple(self.connected_proxies): self.acknowledge(
                        nonce, to
                    ),
                )

    def acknowledge(self, nonce, proxies):
        """Notifies of the acknowledgement of a nonce by those proxies that are connected still."""
        for proxy in proxies:
            if proxy in self.connected_proxies:
                self.notify("ACK", sidecar=proxy, version=nonce, lag_ms=ACKNOWLEDGEMENT_DELAY_MS)


class DiscoveryPeer(Peer):
    """Discovery's end of a connection; `sent_version`: that of the last list it sent."""

    follow = None
    sent_version = 0

    def receive_line(self, line):
        """Reads a line of a request; the empty one ends it."""
        if line.startswith(b"GET "):
            path = line.split(b" ")[1].decode()
            self.follow = "follow=1" in path
            self.sent_version = int(path.rpartition("since=")[2]) if "since=" in path else -1
        elif line == b"\r":
            self.simulation.discovery.handle_request(self)


class Discovery:
    """Versions of an endpoint list, sent complete or to watches; `entries`: by uid.

    `corrupt_fields`: fields that replace those of the first entry of the next list.
    `garbage_reply`: bytes that are sent in place of every reply."""

    def __init__(self, simulation, entries: dict):
        self.simulation = simulation
        self.entries = entries
        self.version = 1
        self.changed = {}
        self.watchers = []
        self.down = False
        self.corrupt_fields = None
        self.garbage_reply = b""
        simulation.after(DISCOVERY_KEEPALIVE_MS, self.send_keepalive)

    def send_keepalive(self):
        """Sends an empty line to all watches, again and again."""
        if not self.down:
            for watcher in self.open_watches():
                self.send_chunk(watcher, b"\n")
        self.simulation.after(DISCOVERY_KEEPALIVE_MS, self.send_keepalive)

    def open_watches(self) -> list:
        """The peers whose connections carry a watch."""
        self.watchers = [w for w in self.watchers if not w.connection.ended]
        return self.watchers

    @staticmethod
    def send_chunk(peer, data):
        """Sends a chunk of a chunked body."""
        peer.send(b"%x\r\n%s\r\n" % (len(data), data))

    def list_body(self, complete, since=-1) -> bytes:
        """The complete list, or what has changed since a version."""
        entries = [
            e for uid, e in self.entries.items() if complete or self.changed.get(uid, 0) > since
        ]
        entries = [e for e in entries if not complete or e["state"] != "terminated"]
        if self.corrupt_fields and entries:
            entries = [entries[0] | self.corrupt_fields, *entries[1:]]
            self.corrupt_fields = None
        return orjson.dumps({"rev": self.version, "all": complete, "targets": entries})

    def handle_request(self, peer):
        """Answers a request for the list, or starts a watch."""
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
        complete = peer.sent_version > self.version or peer.sent_version < 0
        if complete or peer.sent_version < self.version:
            self.send_chunk(peer, self.list_body(complete, peer.sent_version) + b"\n")
        peer.sent_version = self.version
        self.watchers.append(peer)

    def change(self, **entries):
        """Makes a new version; `entries`: by uid, fields to merge into an entry."""
        self.version += 1
        for uid, fields in entries.items():
            self.entries[uid] = self.entries.get(uid, {}) | fields
            self.changed[uid] = self.version
        if not self.down:
            for watcher in self.open_watches():
                self.send_chunk(watcher, self.list_body(False, watcher.sent_version) + b"\n")
                watcher.sent_version = self.version

    def restart(self):
        """Restarts without its history: versions begin at 1, watches end, and the next request is
        answered with the complete list."""
        self.version = 1
        self.changed = dict.fromkeys(self.entries, 1)
        for watcher in self.open_watches():
            watcher.close()


class ServerPeer(Peer):
    """A server's end of a health check."""

    def receive_line(self, line):
        """Reads a line of the request; the empty one ends it."""
        if line == b"\r":
            self.simulation.answer_health_check(self)


class Simulation:
    """One assigner and its peers; `make(event_loop)` returns the assigner.

    `health_check_reply`: how servers answer health checks. `refused_ports`: ports that refuse
    connections."""

    relay_type = Relay
    discovery_type = Discovery

    def __init__(
        self, make, store: dict, entries: dict, proxies=range(6), event_loop=None, **limits
    ):
        """`event_loop`: used in place of a new `SimulatedEventLoop` with these limits."""
        self.deadlines = DeadlineQueue()
        self.event_loop = event_loop or SimulatedEventLoop(**limits)
        self.event_loop.on_connect = self.connect_peer
        self.relay = self.relay_type(self, store, proxies)
        self.discovery = self.discovery_type(self, entries)
        self.health_check_reply = "ok"
        self.refused_ports = set()
        self.assigner = make(self.event_loop)
        self.clients = []

    def after(self, delay_ms, call):
        """Calls back after the delay."""
        self.deadlines.add(self.event_loop.time + delay_ms, call)

    def on_peer_data(self, connection, data: bytes):
        """Called before a peer's data reach the assigner; does nothing here."""

    def connect_peer(self, connection):
        """Connects the peer that the assigner dials, or refuses the connection."""
        name = connection.peer.name
        port = connection.address[1]
        peer_type = {
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
            peer = peer_type(self, connection)
            if peer_type is RelayPeer:
                self.relay.peers = [p for p in self.relay.peers if not p.connection.ended] + [peer]
            self.after(0.5, peer.establish)

    def answer_health_check(self, peer):
        """Answers a health check by `health_check_reply`."""
        body = b"TEXT inflight=2, queue=0"
        peer.send(
            {
                "ok": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
                "full": b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
                "garbage": b"junk\r\n\r\n",
                "truncated": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT",
            }.get(self.health_check_reply, b"")
        )
        if self.health_check_reply == "truncated":
            peer.close()

    def run_for(self, ms: float):
        """Advances the time; runs the deadlines of the peers and of the assigner as they pass."""
        end = self.event_loop.time + ms
        self.event_loop.run()
        while True:
            peers_at = self.deadlines.next_at_ms()
            assigner_at = self.event_loop.deadlines.next_at_ms()
            at = min(x for x in (peers_at, assigner_at, end + 1) if x is not None)
            if at > end:
                break
            self.event_loop.time = max(self.event_loop.time, at)
            for call in self.deadlines.pop_due(
                self.event_loop.time
            ) + self.event_loop.deadlines.pop_due(self.event_loop.time):
                call()
                self.event_loop.run()
        self.event_loop.time = end
        self.event_loop.connections = [c for c in self.event_loop.connections if not c.ended]

    def stall(self, ms: float):
        """The assigner alone stands still for this time; then all its deadlines are late."""
        self.event_loop.time += ms

    def connect_collector(self, zone: str | None):
        """Connects a client to the assigner; with a zone, it identifies itself as a collector."""
        connection = self.assigner.collectors.accept()
        if not connection.ended:
            connection.connection_made(Transport())
            if zone is not None:
                feed(connection, encode("SOURCE", "az", zone))
        self.clients = [c for c in self.clients if not c.ended] + [connection]
        return connection

    def disagreements(self) -> list:
        """Where the controller's state and the relay's differ, in words.

        Empty once everything has settled."""
        c = self.assigner.registry.controller
        relay = self.relay
        differences = []
        connected = {p.id for p in c.proxies if p.connected}
        assigned = {s.id for s in c.slices if s.assigned}
        if connected != relay.connected_proxies:
            differences.append(
                f"proxies {sorted(connected)} in place of {sorted(relay.connected_proxies)}"
            )
        if assigned != relay.assigned_slices:
            differences.append(
                f"slices {sorted(assigned)} in place of {sorted(relay.assigned_slices)}"
            )
        tables = {p.id: {s.id: w for s, w in p.published.items()} for p in c.slices if p.assigned}
        for slice_id in assigned & relay.assigned_slices:
            if tables[slice_id] != relay.store[slice_id]:
                differences.append(
                    f"slice {slice_id} {tables[slice_id]} in place of {relay.store[slice_id]}"
                )
        hosts = {host for slice_id in relay.assigned_slices for host in relay.store[slice_id]}
        ejected = {s.id for s in c.servers if s.ejected} & hosts
        for proxy in sorted(relay.connected_proxies):
            if relay.ejected[proxy] & hosts != ejected:
                differences.append(
                    f"proxy {proxy} has ejected {sorted(relay.ejected[proxy] & hosts)}, not "
                    f"{sorted(ejected)}"
                )
        late = [
            p.id
            for p in c.proxies
            if p.connected and p.acknowledged_serial != c.observed.channel.last_serial
        ]
        if late:
            differences.append(f"no acknowledgement by proxies {late}")
        channel = self.assigner.relay.channel
        if not channel.is_available:
            differences.append(f"the relay is unavailable: {channel.reason}")
        return differences
