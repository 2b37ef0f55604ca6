"""Messages that parse, with fields as a drawn hand left them: nothing half-checked may reach an
event."""

import math
import re
from dataclasses import astuple

import orjson

from havendyke import interface as core
from havendyke.fields import FieldError
from havendyke.net.health_checks import HealthCheck
from havendyke.net.relay_orders import AcknowledgementOrder, WeightOrder
from havendyke.net.resp import encode
from havendyke.net.wire_fields import parse_count, parse_number
from havendyke.net.wire_reports import parse_server_load

from .. import reference
from ..draw import Draw
from ..registry import check, register
from .world import PAST_ALL_DEADLINES_MS, SETTINGS, feed_checked, listed_server, make_assigner

ZONES, CLASSES = SETTINGS["localities"], [c["name"] for c in SETTINGS["requestClasses"]]
NEVER = 1e15  # ms; nothing that is meant is as far from now


def finite(*figures, least=0.0, most=NEVER):
    for figure in figures:
        check(
            type(figure) in (int, float) and math.isfinite(figure) and least <= figure <= most,
            "an event says",
            figure,
        )


def sound(event, assigner):
    """Every figure in an event is finite and in range, and what it names is known."""
    registry = assigner.registry
    match event:
        case core.ServerLoadReport():
            finite(
                event.attempts,
                event.failures,
                event.latency_ms,
                event.window_ms,
                *(v for v in astuple(event.load) if v is not None),
            )
            check(
                event.failures <= event.attempts
                and registry.servers.get(event.server.id) is event.server,
                "a report",
                event,
            )
            check(0 <= event.zone < len(ZONES), "zone", event.zone)
        case core.SliceLoadReport():
            finite(event.requests, event.failures, event.window_ms)
            check(
                0 <= event.request_class < len(CLASSES) and event.slice.id in registry.slices,
                "a report",
                event,
            )
        case core.EndpointListUpdate():
            check(
                event.scope
                in (core.ListScope.CHANGES, core.ListScope.COMPLETE, core.ListScope.CACHED),
                "scope",
                event.scope,
            )
            for entry in event.entries:
                check(entry.state in ("ready", "draining", "gone"), "state", entry.state)
                finite(entry.size)
                check(
                    entry.started_ms is None or math.isfinite(entry.started_ms),
                    "a start at",
                    entry.started_ms,
                )
                check(
                    entry.started_ms is None or entry.started_ms <= assigner.event_loop.now(),
                    "a start to come",
                    entry.started_ms,
                )
        case core.ProxyConnected():
            finite(event.request_rate)
            check(0 <= event.zone < len(ZONES), "zone", event.zone)
        case core.PushAcknowledged():
            finite(event.latency_ms)
            check(0 <= event.nonce < 65536, "mark", event.nonce)
        case core.SnapshotEntry():
            finite(event.weight)
        case core.HealthCheckResult():
            finite(event.latency_ms, *(v for v in astuple(event.load) if v is not None))


def events_of(assigner) -> list:
    told, assigner.registry.pending_events = assigner.registry.pending_events, []
    for event in told:
        sound(event, assigner)
    return told


# Values of every kind: right ones, odd ones, and none. A field's draw is (kind, value).


def words(draw, right):
    """A RESP field's text: right, odd, or left out."""
    kind = draw.below(8)
    if kind < 5:
        return draw.choice(right)
    if kind == 5:
        return None
    return draw.choice(
        (
            "",
            "-1",
            "1e999",
            "nan",
            "inf",
            "-inf",
            "1_0",
            " 7",
            "7 ",
            "0x1",
            "\u0661\u0662",
            "9" * 40,
            "1.5",
            "+3",
            "1e3",
            "\x00",
            "queue",
            "\u00e9",
            "1e-400",
            ".5",
            "5.",
            "-0",
            "9" * 5000,
        )
    )


GOOD = encode(
    "LOAD",
    "az",
    "a",
    "host",
    "s1",
    "n",
    "7",
    "bad",
    "1",
    "avg",
    "41.7",
    "window",
    "1000.0",
    "report",
    "inflight:7,util:0.61",
)


@register(
    name="reports",
    description="LOAD and SHARD of collectors, good neighbours beside them",
    step_size=1,
    max_size=400,
    covers=("net/wire_reports", "net/collectors", "net/resp"),
    seeds=lambda: [
        bytes([0] * 20),
        bytes([1] * 20),
        bytes([0, 0, 5] * 9),
        bytes([0, 7, 3] * 9),
        bytes([2, 6, 1] * 9),
        bytes([1, 0, 6, 2, 0, 6, 4, 0, 6, 9, 0, 0]),
    ],
)
def reports(data):
    draw = Draw(data)
    assigner, hub = make_assigner()
    connection = assigner.collectors.accept()
    hub.establish(connection)
    feed_checked(connection, encode("SOURCE", "az", "a"))
    events_of(assigner)
    while not draw.exhausted and not connection.ended:
        shard = draw.flag()
        fields = (
            {
                "partition": ("0", "4", "7", "8"),
                "kind": CLASSES,
                "n": ("0", "40"),
                "bad": ("0", "90"),
                "window": ("1000.0",),
            }
            if shard
            else {
                "az": ZONES,
                "host": ("s1", "s3", "s9"),
                "n": ("0", "7", "1000000"),
                "bad": ("0", "7"),
                "avg": ("0", "41.7", "1e6"),
                "window": ("1000.0", "0"),
                "report": ("", "inflight:7,util:0.61", "queue:nan", "x:1", "TEXT util=1, queue=2"),
            }
        )
        made = [draw.choice(("SHARD" if shard else "LOAD",) * 6 + ("load", "ACK", ""))]
        told = {}
        for name, right in fields.items():
            value = words(draw, right)
            if value is not None:
                told[name] = value
                made += [name, value]
        made += [] if draw.below(8) else ["odd"]
        feed_checked(connection, encode(*made) + GOOD)
        came = events_of(assigner)
        check(not connection.ended, "a spoilt report ended its collector")
        check(
            came and isinstance(came[-1], core.ServerLoadReport) and came[-1].attempts == 7,
            "the good report behind",
            made,
            "is lost",
        )
        check(len(came) <= 2, "one message made", len(came) - 1, "events")
        if len(came) == 2 and not shard:
            check(
                came[0].attempts == reference.number(told["n"], 1e6),
                "n is",
                came[0].attempts,
                "of",
                told,
            )
            check(came[0].latency_ms == reference.number(told.get("avg", "0"), 1e6), "avg of", told)
        if len(came) == 2 and shard:
            check(
                came[0].requests == reference.number(told["n"], 1e6),
                "n is",
                came[0].requests,
                "of",
                told,
            )
    hub.run_for(10)


@register(
    name="figures",
    description="numbers and load reports as texts, against a strict reader",
    covers=("net/wire_fields", "net/wire_reports"),
    max_size=120,
    dictionary=(b"inflight", b":", b"=", b",", b"TEXT ", b"util", b"1e", b"_", b"nan", b"inf"),
    seeds=lambda: [
        b"1.5",
        b"1_0",
        b" 7",
        b"-0",
        b"1e400",
        b"nan",
        "\u0661".encode(),
        b"inflight:7,util:0.61",
        b"TEXT inflight=7, queue=2, util=1_0",
        b"util=:1",
        b"9" * 100,
        b".",
        b"5.",
        b"+3",
        b"1e5",
    ],
)
def figures(data):
    told = str(data, "utf-8", "replace")
    for read, right in (
        (lambda: parse_number(told, "n", 1e6), reference.number(told, 1e6)),
        (
            lambda: parse_count({"n": told}, "n", 10**6),
            int(told) if re.fullmatch("[0-9]{1,15}", told) and int(told) <= 10**6 else None,
        ),
    ):
        try:
            seen = read()
        except FieldError:
            seen = None
        check(seen == right, "read", told, "as", seen, "instead of", right)
    try:
        for value in astuple(parse_server_load(told, 1e6)):
            finite(0.0 if value is None else value, most=1e6)
    except FieldError:
        pass


def entry(draw) -> tuple:
    """An entry of the list, and whether all of it is right."""
    made = listed_server(
        draw.choice(("s1", "s2", "s3", "s4")),
        draw.choice(("in_service", "terminating", "terminated")),
        boot_ms=draw.choice((0, 0, 1000, 5999, 6000.5)),
        capacity_hint=draw.choice((0, 1.0, 2.5)),
    )
    right = True
    for _ in range(draw.below(3)):
        name, value = draw.choice(tuple(made)), draw.unusual_value()
        spoilt = draw.flag()
        if spoilt and draw.flag():
            made.pop(name, None)
        else:
            made[name] = value
        right = False
    return made, right


@register(
    name="list",
    description="discovery's list, whole and in changes, with spoilt entries among good ones",
    max_size=300,
    covers=("net/wire_endpoint_list", "net/discovery"),
    seeds=lambda: [
        bytes(40),
        bytes([3] * 40),
        bytes([1, 2, 0, 2, 2, 5, 1, 8] * 6),
        bytes([0, 1, 5, 8, 2, 1] * 8),
        bytes([2, 0, 0, 0, 0, 2, 4, 0, 9] * 4),
    ],
)
def entries(data):
    draw = Draw(data)
    assigner, hub = make_assigner()
    spoilt = []
    while not draw.exhausted:
        made = [entry(draw) for _ in range(draw.below(5))]
        told = {
            "rev": draw.choice((1, 2, 40, 2**62)),
            "all": draw.flag(),
            "targets": [e for e, _ in made],
        }
        if draw.below(8) == 7:
            told[draw.choice(tuple(told))] = draw.unusual_value()
        try:
            told = orjson.loads(orjson.dumps(told))
        except (orjson.JSONEncodeError, TypeError):
            continue  # no JSON reader would pass it on
        before = len(spoilt)
        try:
            received = assigner.peer_codecs.endpoint_list.decode(
                told, on_invalid_entry=spoilt.append
            )
        except FieldError:
            continue
        event, version = received.event, received.version
        sound(event, assigner)
        check(type(version) is int, "version", version)
        named = {e.server.id for e in event.entries}
        for told_entry, right in made if told["targets"] == [e for e, _ in made] else ():
            check(not right or told_entry["uid"] in named, "the good entry", told_entry, "is lost")
        check(
            len(spoilt) == before or event.scope == core.ListScope.CHANGES,
            "a spoilt list takes others for gone",
        )
        # The same start is the same time, whatever the clock does meanwhile.
        for e in {e.server: e for e in event.entries}.values():  # named twice, the last one counts
            hub.time += 7
            lists = assigner.peer_codecs.endpoint_list
            again = lists.start_ms(e.server, lists.start_times[e.server].unix_ms)
            check(again == e.started_ms, "a start moved from", e.started_ms, "to", again)


@register(
    name="news",
    description="the relay's notifications with fields of every kind",
    max_size=300,
    covers=("net/relay_stream", "net/relay_watch", "net/wire_relay"),
    seeds=lambda: [
        bytes(40),
        bytes([1, 0, 2, 0, 3, 0, 4, 0] * 5),
        bytes([4, 4, 0, 4, 9, 12] * 5),
        bytes([2, 0, 3, 1, 4, 2, 0, 9] * 5),
        bytes([0, 1, 1, 3, 200] * 8),
    ],
)
def news(data):
    draw = Draw(data)
    assigner, hub = make_assigner()
    assigner.relay.start()
    stream = hub.open("relay_watch")
    feed_checked(stream, b'{"jsonrpc":"2.0","id":1,"result":true}\n')
    forms = {
        "SUBSCRIBE": {"sidecar": 1, "az": "a", "share": 2.5, "standing": True},
        "CLOSED": {"sidecar": 1},
        "ACK": {"sidecar": 1, "version": 7, "lag_ms": 3.5},
        "GRANT": {"partition": 4, "yes": True},
        "ROW": {"partition": 4, "host": "s1", "share": 1.0},
        "ping": {},
    }
    while not draw.exhausted:
        if stream.ended:
            hub.run_for(600)
            if not hub.open_connections("relay_watch"):
                break
            stream = hub.open("relay_watch")
            feed_checked(stream, b'{"jsonrpc":"2.0","id":1,"result":true}\n')
        kind = draw.choice(tuple(forms))
        params = dict(forms[kind])
        for name in params:
            if name in ("sidecar", "partition"):
                params[name] = draw.below(9)
        for _ in range(draw.below(3) if params else 0):
            name = draw.choice(tuple(params))
            params[name] = draw.unusual_value()
        if draw.below(9) == 8:
            params = draw.unusual_value()
        try:
            message = {"jsonrpc": "2.0", "method": kind, "params": params}
            if draw.below(9) == 8:
                message[draw.choice(("method", "id", "result", "error"))] = draw.unusual_value()
            line = orjson.dumps(message)
        except (orjson.JSONEncodeError, TypeError):
            continue
        feed_checked(stream, line + b"\n")
        hub.run_for(draw.choice((0, 1, 70)))
        events_of(assigner)
        check(not hub.counters.get("failures"), "a failure:", hub.logged[-1:])


@register(
    name="relay_answers",
    description="answers to calls, with every field spoilt",
    max_size=200,
    covers=("net/relay_client", "net/wire_relay", "net/json_lines"),
    seeds=lambda: [
        bytes(30),
        bytes([1, 2, 3, 4, 5, 6, 7, 8] * 3),
        bytes([6, 0, 7, 1, 5, 2] * 4),
        bytes([9, 3] * 9),
    ],
)
def relay_answers(data):
    draw = Draw(data)
    assigner, hub = make_assigner()
    relay = assigner.relay
    serial = 0
    while not draw.exhausted:
        if not relay.call:
            serial += 1
            relay.enqueue(
                [
                    WeightOrder(1, f"s{serial}", 1.0),
                    AcknowledgementOrder(serial % 65536, all_proxies=False),
                ]
            )
            hub.run_for(draw.choice((0, 60, 600)))
            for connection in hub.open_connections("relay", "relay_watch"):
                hub.establish(connection)
        calls = hub.open_connections("relay")
        if not relay.call or not calls:
            hub.run_for(300)
            continue
        count = len(relay.call.orders)
        form = {
            "jsonrpc": "2.0",
            "id": relay.call.request_id,
            "result": {"taken": draw.below(count + 1)},
        }
        if draw.below(3) == 2:
            form = {
                "id": relay.call.request_id,
                "error": {"code": 1, "message": draw.choice(("BUSY", "SYNTAX", "odd"))},
            }
        for _ in range(draw.below(3)):
            spot = draw.choice(("id", "result", "error", "taken"))
            (
                form.get("result")
                if spot == "taken" and isinstance(form.get("result"), dict)
                else form
            )[spot] = draw.unusual_value()
        try:
            line = orjson.dumps(form)
        except (orjson.JSONEncodeError, TypeError):
            continue
        number, sent = relay.call.request_id, dict(relay.call.orders)
        feed_checked(calls[-1], line + b"\n")
        hub.run()
        if relay.call and relay.call.request_id == number:
            check(relay.call.orders == sent, "a stale answer changed the call under way")
        elif "error" not in form and not relay.unresolved.orders:
            check(
                form.get("id") == number
                and type(form["result"]["taken"]) is int
                and 0 <= form["result"]["taken"] <= count,
                "believed",
                form,
            )
        check(not hub.counters.get("failures"), "a failure:", hub.logged[-1:])
        hub.run_for(draw.choice((0, 5, 120, 2000)))
        events_of(assigner)


@register(
    name="probe",
    description="a server's answers to probes, whole and broken at any byte",
    max_size=400,
    covers=("net/health_checks", "net/http", "net/wire_reports"),
    dictionary=(
        b"HTTP/1.1 200 OK\r\n",
        b"Content-Length: ",
        b"\r\n\r\n",
        b"TEXT inflight=",
        b"queue=",
        b", ",
        b"nan",
    ),
    seeds=lambda: [
        b"\x00HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nTEXT inflight=7, queue=2, u=0.6",
        b"\x01HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        b"\x02HTTP/1.1 200 OK\r\n\r\nTEXT queue=nan",
        b"\x03",
        b"\x04HTTP/1.1 500 X\r\n\r\n",
        b"\x00junk",
        b"\x05HTTP/1.1 200 OK\r\n\r\nTEXT util=1",
    ],
)
def probe(data):
    draw = Draw(data)
    end, assigner_hub = draw.below(6), make_assigner()
    assigner, hub = assigner_hub
    server = assigner.registry.server("s1")
    events_of(assigner)
    assigner.health_checker.check(server)
    (connection,) = hub.open_connections(HealthCheck.name)
    hub.establish(connection)
    feed_checked(connection, draw.remaining_bytes())
    if end in (1, 2, 4, 5) and not connection.ended:
        connection.eof_received() if end != 4 else connection.connection_lost(
            ConnectionResetError()
        )
    hub.run_for(PAST_ALL_DEADLINES_MS)
    told = [e for e in events_of(assigner) if isinstance(e, core.HealthCheckResult)]
    check(len(told) == 1 and told[0].server is server, "a probe ended", len(told), "times")
    check(
        told[0].outcome in tuple(core.HealthCheckOutcome)[:-1],
        "outcome",
        told[0].outcome,
    )
    check(
        assigner.health_checker.in_flight == 0 and not hub.open_connections(HealthCheck.name),
        "a probe's place is not free again",
    )
