"""An assigner on an event loop that the test moves, and what its peers send."""

import orjson

from havendyke import config
from havendyke.lab import event_loop as lab
from havendyke.lab.event_loop import SimulatedEventLoop as FakeEventLoop
from havendyke.lab.event_loop import Transport  # noqa: F401  for the tests
from havendyke.net.assigner import Assigner
from havendyke.net.buffer import Buffer
from havendyke.net.relay_orders import WeightOrder
from havendyke.net.relay_stream import StreamPurpose

SETTINGS = {
    "requestClasses": [
        {"name": "lookup", "promise": 1e9, "hardLimit": 3e9, "repeat": "pure"},
        {"name": "write", "promise": 2e9, "hardLimit": 6e9, "repeat": "side_effect"},
    ],
    "familyInfo": {
        "keyRanges": 8,
        "dataPlaneSize": 6,
        "channelRate": 2000.0,
        "pendingMax": 4000.0,
        "overhead": 8.0,
        "pushDelay": 3e8,
        "throttleBy": "share",
    },
    "localities": ["a", "b"],
    "kinds": ["m1", "m2"],
    "weightKind": "nominal",
    "limits": {"probes": True},
}


def raw_config(**more):
    return {
        "name": "n1",
        "listen": "127.0.0.1:8443",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "distributor": {"address": "127.0.0.1:6400"},
        "settings": SETTINGS,
    } | more


def listed_server(ident, state="in_service", **more):
    return {
        "uid": ident,
        "endpoint": "127.0.0.9:80",
        "az": "a",
        "model": "m2",
        "pod_group": 3,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    } | more


def complete_list(*idents, rev=1, full=True):
    return {"rev": rev, "all": full, "targets": [listed_server(i) for i in idents]}


def feed(connection, data):
    """Bytes, or messages of the relay."""
    lab.feed(
        connection,
        data if isinstance(data, bytes) else b"".join(orjson.dumps(d) + b"\n" for d in data),
    )


def make_assigner(**limits):
    """An assigner on a hub of the test's own, its discovery and relay not yet up."""
    hub = FakeEventLoop(**{"news_streams": 1} | limits)  # a test opens further ones itself
    return Assigner(
        config.read_config(raw_config(known=complete_list("s1", "s2", "s3")), {}), hub
    ), hub


# Messages of the relay and of discovery, and what comes of them.

PROXY_CONNECTED = {
    "method": "SUBSCRIBE",
    "params": {"sidecar": 1, "az": "a", "share": 2.0, "standing": True},
}
PROXY_DISCONNECTED = {"method": "CLOSED", "params": {"sidecar": 1}}
PUSH_ACKNOWLEDGED = {"method": "ACK", "params": {"sidecar": 1, "version": 7, "lag_ms": 3.0}}
SLICE_ASSIGNED = {"method": "GRANT", "params": {"partition": 4, "yes": True}}
TABLE_ENTRY = {"method": "ROW", "params": {"partition": 4, "host": "s1", "share": 1.0}}
SUCCESS_REPLY = {"id": 1, "result": True}


def weight_order(slice_id, server_id, weight=1.0):
    return WeightOrder(slice_id, server_id, weight)


def table_entry(server_id, weight):
    """The relay's notification of an entry in the table of the slice that `GRANT` assigns."""
    return {"method": "ROW", "params": {"partition": 4, "host": server_id, "share": weight}}


def take_pending_events(assigner, *kinds):
    events = [e for e in assigner.registry.pending_events if not kinds or isinstance(e, kinds)]
    assigner.registry.pending_events = []
    return events


def suspend_reconciliation(assigner):
    """Turns are left out: what the front tells stays in the inbox."""
    assigner.reconcile_pending = True
    return assigner


def open_watch_stream(assigner, hub, *news):
    """One connection with news, on which this stands."""
    assigner.relay.watch.add_stream()
    feed(hub.open("relay_watch"), [SUCCESS_REPLY, *news])
    hub.run_for(100)


def snapshot_stream(hub):
    """The newest stream that was opened for a snapshot, brought up."""
    hub.open("relay_watch")
    return [
        c
        for c in hub.connections
        if c.peer.name == "relay_watch" and c.peer.purpose is StreamPurpose.SNAPSHOT and not c.over
    ][-1]


def sent_orders(connection):
    """The orders of the calls that went out on a connection, and the last call's number."""
    calls = [orjson.loads(text) for text in connection.transport.written.splitlines()]
    return [c["params"]["orders"] for c in calls], calls[-1]["id"]


def http_response(body, chunked=True):
    body = orjson.dumps(body) + b"\n"
    if chunked:
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (
            len(body),
            body,
        )
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class StubTransport:
    def __init__(self):
        self.written = b""

    def write_eof(self):
        pass

    def write(self, data):
        self.written += data

    def abort(self):
        pass

    def get_write_buffer_size(self):
        return 0


def connect_client(assigner):
    made = assigner.collectors.accept()
    made.connection_made(StubTransport())
    return made


def parse_in_parts(make, data, cuts):
    buffer, found = Buffer(16, 4096), []
    parser = make(buffer, 4096)
    for part in [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]:
        while part:  # as a socket does: no more than the room there is, then the parser's turn
            room = buffer.free_space()
            count = min(len(room), len(part))
            room[:count] = part[:count]
            buffer.end += count
            part = part[count:]
            while (item := parser.next()) is not None:
                found.append(
                    [bytes(i) for i in item]
                    if isinstance(item, list)
                    else bytes(item)
                    if isinstance(item, memoryview)
                    else item
                )
    return found
