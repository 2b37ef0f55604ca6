"""Well-formed messages with drawn field values: no unvalidated value may reach an event."""

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
MAX_TIME_MS = 1e15  # beyond any meaningful time


def check_numbers(*numbers, minimum=0.0, maximum=MAX_TIME_MS):
    for number in numbers:
        check(
            type(number) in (int, float) and math.isfinite(number) and minimum <= number <= maximum,
            "an event has the value",
            number,
        )


def check_event(event, assigner):
    """Checks that the numbers in an event are finite and in range, and its objects are known."""
    registry = assigner.registry
    match event:
        case core.ServerLoadReport():
            check_numbers(
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
            check_numbers(event.requests, event.failures, event.window_ms)
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
                check_numbers(entry.size)
                check(
                    entry.started_ms is None or math.isfinite(entry.started_ms),
                    "a start at",
                    entry.started_ms,
                )
                check(
                    entry.started_ms is None or entry.started_ms <= assigner.event_loop.now(),
                    "a start in the future",
                    entry.started_ms,
                )
        case core.ProxyConnected() | core.ProxyResynchronised():
            check_numbers(event.request_rate)
            check(0 <= event.zone < len(ZONES), "zone", event.zone)
        case core.PushAcknowledged():
            check_numbers(event.latency_ms)
            check(0 <= event.nonce < 65536, "nonce", event.nonce)
        case core.SnapshotEntry():
            check_numbers(event.weight)
        case core.HealthCheckResult():
            check_numbers(event.latency_ms, *(v for v in astuple(event.load) if v is not None))


def pending_events_of(assigner) -> list:
    events, assigner.registry.pending_events = assigner.registry.pending_events, []
    for event in events:
        check_event(event, assigner)
    return events


# Drawn field values: valid, unusual or missing. A field takes two draws: the kind and the value.


def resp_field(draw, valid):
    """The text of a RESP field: valid, unusual, or None for a missing field."""
    kind = draw.below(8)
    if kind < 5:
        return draw.choice(valid)
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


VALID_REPORT = encode(
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
    description="LOAD and SHARD messages of collectors, each followed by a valid one",
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
    assigner, event_loop = make_assigner()
    connection = assigner.collectors.accept()
    event_loop.establish(connection)
    feed_checked(connection, encode("SOURCE", "az", "a"))
    pending_events_of(assigner)
    while not draw.exhausted and not connection.ended:
        is_slice_report = draw.flag()
        fields = (
            {
                "partition": ("0", "4", "7", "8"),
                "kind": CLASSES,
                "n": ("0", "40"),
                "bad": ("0", "90"),
                "window": ("1000.0",),
            }
            if is_slice_report
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
        message = [draw.choice(("SHARD" if is_slice_report else "LOAD",) * 6 + ("load", "ACK", ""))]
        values = {}
        for name, valid in fields.items():
            value = resp_field(draw, valid)
            if value is not None:
                values[name] = value
                message += [name, value]
        message += [] if draw.below(8) else ["odd"]
        feed_checked(connection, encode(*message) + VALID_REPORT)
        events = pending_events_of(assigner)
        check(not connection.ended, "an invalid report disconnected its collector")
        check(
            events and isinstance(events[-1], core.ServerLoadReport) and events[-1].attempts == 7,
            "the valid report after",
            message,
            "is lost",
        )
        check(len(events) <= 2, "one message caused", len(events) - 1, "events")
        if len(events) == 2 and not is_slice_report:
            check(
                events[0].attempts == reference.number(values["n"], 1e6),
                "n is",
                events[0].attempts,
                "of",
                values,
            )
            check(
                events[0].latency_ms == reference.number(values.get("avg", "0"), 1e6),
                "avg of",
                values,
            )
        if len(events) == 2 and is_slice_report:
            check(
                events[0].requests == reference.number(values["n"], 1e6),
                "n is",
                events[0].requests,
                "of",
                values,
            )
    event_loop.run_for(10)


@register(
    name="figures",
    description="numbers and load reports as texts, compared with a strict parser",
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
def number_texts(data):
    text = str(data, "utf-8", "replace")
    for parse, expected in (
        (lambda: parse_number(text, "n", 1e6), reference.number(text, 1e6)),
        (
            lambda: parse_count({"n": text}, "n", 10**6),
            int(text) if re.fullmatch("[0-9]{1,15}", text) and int(text) <= 10**6 else None,
        ),
    ):
        try:
            parsed = parse()
        except FieldError:
            parsed = None
        check(parsed == expected, "read", text, "as", parsed, "instead of", expected)
    try:
        for value in astuple(parse_server_load(text, 1e6)):
            check_numbers(0.0 if value is None else value, maximum=1e6)
    except FieldError:
        pass


def draw_entry(draw) -> tuple:
    """A drawn entry of the endpoint list, and whether all of its fields are valid."""
    fields = listed_server(
        draw.choice(("s1", "s2", "s3", "s4")),
        draw.choice(("in_service", "terminating", "terminated")),
        boot_ms=draw.choice((0, 0, 1000, 5999, 6000.5)),
        capacity_hint=draw.choice((0, 1.0, 2.5)),
    )
    is_valid = True
    for _ in range(draw.below(3)):
        name, value = draw.choice(tuple(fields)), draw.unusual_value()
        removable = draw.flag()
        if removable and draw.flag():
            fields.pop(name, None)
        else:
            fields[name] = value
        is_valid = False
    return fields, is_valid


@register(
    name="list",
    description="endpoint lists, complete and as changes, with invalid entries among valid ones",
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
def endpoint_lists(data):
    draw = Draw(data)
    assigner, event_loop = make_assigner()
    invalid_entries = []
    while not draw.exhausted:
        drawn_entries = [draw_entry(draw) for _ in range(draw.below(5))]
        message = {
            "rev": draw.choice((1, 2, 40, 2**62)),
            "all": draw.flag(),
            "targets": [entry for entry, _ in drawn_entries],
        }
        if draw.below(8) == 7:
            message[draw.choice(tuple(message))] = draw.unusual_value()
        try:
            message = orjson.loads(orjson.dumps(message))
        except (orjson.JSONEncodeError, TypeError):
            continue  # not representable as JSON
        count_before = len(invalid_entries)
        try:
            received = assigner.peer_codecs.endpoint_list.decode(
                message, on_invalid_entry=invalid_entries.append
            )
        except FieldError:
            continue
        event, version = received.event, received.version
        check_event(event, assigner)
        check(type(version) is int, "version", version)
        listed_ids = {entry.server.id for entry in event.entries}
        for fields, is_valid in (
            drawn_entries if message["targets"] == [entry for entry, _ in drawn_entries] else ()
        ):
            check(not is_valid or fields["uid"] in listed_ids, "the valid entry", fields, "is lost")
        check(
            len(invalid_entries) == count_before or event.scope == core.ListScope.CHANGES,
            "a list with invalid entries counts as complete",
        )
        # The same start time is decoded to the same value as the clock advances.
        # If a server is listed twice, the last entry counts.
        for entry in {entry.server: entry for entry in event.entries}.values():
            event_loop.time += 7
            lists = assigner.peer_codecs.endpoint_list
            start_ms = lists.start_ms(entry.server, lists.start_times[entry.server].unix_ms)
            check(
                start_ms == entry.started_ms,
                "a start time changed from",
                entry.started_ms,
                "to",
                start_ms,
            )


@register(
    name="news",
    description="notifications of the relay with values of every kind",
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
def watch_messages(data):
    draw = Draw(data)
    assigner, event_loop = make_assigner()
    assigner.relay.start()
    stream = event_loop.open("relay_watch")
    feed_checked(stream, b'{"jsonrpc":"2.0","id":1,"result":true}\n')
    templates = {
        "SUBSCRIBE": {"sidecar": 1, "az": "a", "share": 2.5, "standing": True},
        "CLOSED": {"sidecar": 1},
        "ACK": {"sidecar": 1, "version": 7, "lag_ms": 3.5},
        "GRANT": {"partition": 4, "yes": True},
        "ROW": {"partition": 4, "host": "s1", "share": 1.0},
        "ping": {},
    }
    while not draw.exhausted:
        if stream.ended:
            event_loop.run_for(600)
            if not event_loop.open_connections("relay_watch"):
                break
            stream = event_loop.open("relay_watch")
            feed_checked(stream, b'{"jsonrpc":"2.0","id":1,"result":true}\n')
        method = draw.choice(tuple(templates))
        params = dict(templates[method])
        for name in params:
            if name in ("sidecar", "partition"):
                params[name] = draw.below(9)
        for _ in range(draw.below(3) if params else 0):
            name = draw.choice(tuple(params))
            params[name] = draw.unusual_value()
        if draw.below(9) == 8:
            params = draw.unusual_value()
        try:
            message = {"jsonrpc": "2.0", "method": method, "params": params}
            if draw.below(9) == 8:
                message[draw.choice(("method", "id", "result", "error"))] = draw.unusual_value()
            encoded = orjson.dumps(message)
        except (orjson.JSONEncodeError, TypeError):
            continue
        feed_checked(stream, encoded + b"\n")
        event_loop.run_for(draw.choice((0, 1, 70)))
        pending_events_of(assigner)
        check(not event_loop.counters.get("failures"), "a failure:", event_loop.logged[-1:])


@register(
    name="relay_answers",
    description="replies to relay calls with unusual values in every field",
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
    assigner, event_loop = make_assigner()
    relay = assigner.relay
    server_number = 0
    while not draw.exhausted:
        if not relay.call:
            server_number += 1
            relay.enqueue(
                [
                    WeightOrder(1, f"s{server_number}", 1.0),
                    AcknowledgementOrder(server_number % 65536, all_proxies=False),
                ]
            )
            event_loop.run_for(draw.choice((0, 60, 600)))
            for connection in event_loop.open_connections("relay", "relay_watch"):
                event_loop.establish(connection)
        calls = event_loop.open_connections("relay")
        if not relay.call or not calls:
            event_loop.run_for(300)
            continue
        count = len(relay.call.orders)
        reply = {
            "jsonrpc": "2.0",
            "id": relay.call.request_id,
            "result": {"taken": draw.below(count + 1)},
        }
        if draw.below(3) == 2:
            reply = {
                "id": relay.call.request_id,
                "error": {"code": 1, "message": draw.choice(("BUSY", "SYNTAX", "odd"))},
            }
        for _ in range(draw.below(3)):
            field = draw.choice(("id", "result", "error", "taken"))
            (
                reply.get("result")
                if field == "taken" and isinstance(reply.get("result"), dict)
                else reply
            )[field] = draw.unusual_value()
        try:
            encoded = orjson.dumps(reply)
        except (orjson.JSONEncodeError, TypeError):
            continue
        request_id, orders = relay.call.request_id, dict(relay.call.orders)
        feed_checked(calls[-1], encoded + b"\n")
        event_loop.run()
        if relay.call and relay.call.request_id == request_id:
            check(relay.call.orders == orders, "a stale reply changed the call in flight")
        elif "error" not in reply and not relay.unresolved.orders:
            check(
                reply.get("id") == request_id
                and type(reply["result"]["taken"]) is int
                and 0 <= reply["result"]["taken"] <= count,
                "accepted",
                reply,
            )
        check(not event_loop.counters.get("failures"), "a failure:", event_loop.logged[-1:])
        event_loop.run_for(draw.choice((0, 5, 120, 2000)))
        pending_events_of(assigner)


@register(
    name="probe",
    description="replies to health checks, complete or cut at any byte",
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
    end, pair = draw.below(6), make_assigner()
    assigner, event_loop = pair
    server = assigner.registry.server("s1")
    pending_events_of(assigner)
    assigner.health_checker.check(server)
    (connection,) = event_loop.open_connections(HealthCheck.name)
    event_loop.establish(connection)
    feed_checked(connection, draw.remaining_bytes())
    if end in (1, 2, 4, 5) and not connection.ended:
        connection.eof_received() if end != 4 else connection.connection_lost(
            ConnectionResetError()
        )
    event_loop.run_for(PAST_ALL_DEADLINES_MS)
    results = [
        event for event in pending_events_of(assigner) if isinstance(event, core.HealthCheckResult)
    ]
    check(
        len(results) == 1 and results[0].server is server,
        "a health check has",
        len(results),
        "results",
    )
    check(
        results[0].outcome in tuple(core.HealthCheckOutcome)[:-1],
        "outcome",
        results[0].outcome,
    )
    check(
        assigner.health_checker.in_flight == 0
        and not event_loop.open_connections(HealthCheck.name),
        "a finished health check is still in flight",
    )
