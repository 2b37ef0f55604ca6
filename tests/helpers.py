"""An assigner on an event loop that the test advances, and messages of its peers."""

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


def raw_config(**changes):
    return {
        "name": "n1",
        "listen": "127.0.0.1:8443",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "distributor": {"address": "127.0.0.1:6400"},
        "settings": SETTINGS,
    } | changes


def listed_server(server_id, state="in_service", **changes):
    return {
        "uid": server_id,
        "endpoint": "127.0.0.9:80",
        "az": "a",
        "model": "m2",
        "pod_group": 3,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    } | changes


def complete_list(*server_ids, rev=1, complete=True):
    return {
        "rev": rev,
        "all": complete,
        "targets": [listed_server(server_id) for server_id in server_ids],
    }


def feed(connection, data):
    """Delivers bytes, or a list of relay messages, to a connection."""
    lab.feed(
        connection,
        data if isinstance(data, bytes) else b"".join(orjson.dumps(d) + b"\n" for d in data),
    )


def make_assigner(settings=SETTINGS, **limits):
    """An assigner on its own event loop, before discovery and the relay have answered."""
    event_loop = FakeEventLoop(**{"relay_watch_count": 1} | limits)  # a test opens more itself
    config_ = raw_config(known=complete_list("s1", "s2", "s3"), settings=settings)
    return Assigner(config.read_config(config_, {}), event_loop), event_loop


# Messages of the relay and of discovery, and their effects.

PROXY_CONNECTED = {
    "method": "SUBSCRIBE",
    "params": {"sidecar": 1, "az": "a", "share": 2.0, "standing": True},
}
PROXY_DISCONNECTED = {"method": "CLOSED", "params": {"sidecar": 1}}
PUSH_ACKNOWLEDGED = {"method": "ACK", "params": {"sidecar": 1, "version": 7, "lag_ms": 3.0}}
SLICE_ASSIGNED = {"method": "GRANT", "params": {"partition": 4, "yes": True}}
TABLE_ENTRY = {"method": "ROW", "params": {"partition": 4, "host": "s1", "share": 1.0}}
PING = {"method": "ping"}
SUCCESS_REPLY = {"id": 1, "result": True}


def weight_order(slice_id, server_id, weight=1.0):
    return WeightOrder(slice_id, server_id, weight)


def table_entry(server_id, weight):
    """The relay's notification of a table entry, in the slice of `SLICE_ASSIGNED`."""
    return {"method": "ROW", "params": {"partition": 4, "host": server_id, "share": weight}}


def take_pending_events(assigner, *kinds):
    events = [e for e in assigner.registry.pending_events if not kinds or isinstance(e, kinds)]
    assigner.registry.pending_events = []
    return events


def suspend_reconciliation(assigner):
    """Suppresses reconciliations, so that events remain pending."""
    assigner.reconcile_pending = True
    return assigner


def open_watch_stream(assigner, event_loop, *notifications):
    """Opens a relay watch stream that reports these notifications and is synchronized."""
    assigner.relay.watch.add_stream()
    feed(event_loop.open("relay_watch"), [SUCCESS_REPLY, *notifications])
    event_loop.run_for(100)


def snapshot_stream(event_loop):
    """Opens the connection of the latest stream for a snapshot and returns it."""
    event_loop.open("relay_watch")
    return [
        c
        for c in event_loop.connections
        if c.peer.name == "relay_watch" and c.peer.purpose is StreamPurpose.SNAPSHOT and not c.ended
    ][-1]


def sent_orders(connection):
    """The orders of each call sent on a connection, and the last call's id."""
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

    def get_extra_info(self, name):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def connect_client(assigner):
    client = assigner.collectors.accept()
    client.connection_made(StubTransport())
    return client


def parse_in_parts(make_parser, data, cuts):
    buffer, items = Buffer(16, 4096), []
    parser = make_parser(buffer, 4096)
    for part in [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]:
        while part:  # like a socket: at most the free space is filled before the parser runs
            free_space = buffer.free_space()
            count = min(len(free_space), len(part))
            free_space[:count] = part[:count]
            buffer.end += count
            part = part[count:]
            while (item := parser.next()) is not None or getattr(parser, "is_behind", False):
                if item is None:
                    continue
                items.append(
                    [bytes(i) for i in item]
                    if isinstance(item, list)
                    else bytes(item)
                    if isinstance(item, memoryview)
                    else item
                )
    return items
