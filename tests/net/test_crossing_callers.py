"""Collectors, strangers and answers to probes that cross an end, a flood or a restart, on loopback
sockets."""

import socket
import time

import pytest
from helpers import listed_server
from world import CHUNKED, Place, chunk, head, resp

SOURCE = resp("SOURCE", "az", "a")
LOAD = resp("LOAD", "az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0")


@pytest.mark.parametrize("end", ["ended", "shut", "reset"])
def test_reports_and_the_end_in_one_read_count(world, end):
    world.start()
    world.listed("s1")
    world.logged("endpoint_list")
    caller = world.dial()
    caller.send(SOURCE + LOAD * 3)
    if end == "reset":
        world.logged("collector_connected")  # what a reset overtakes is gone for everybody
        world.counted("reports_load", 3)
    if end == "shut":
        caller.socket.shutdown(socket.SHUT_WR)
        assert caller.ended()
    caller.close(reset=end == "reset")
    world.counted("reports_load", 3)
    assert world.logged("collector_disconnected")["zone"] == "a"


@pytest.mark.parametrize(
    "told, answer",
    [
        (resp("PING"), b"+PONG"),
        (resp("PING") * 3, b"PONG"),
        (resp("WHO"), b"NACK"),
        (resp("LOAD", "az", "a") + b"x" * 200_000, b"NACK"),
        (SOURCE + resp("PING"), b"PONG"),
    ],
    ids=["ping", "pings", "unknown", "unknown and a flood behind it", "collector"],
)
def test_the_last_answer_reaches_its_asker_though_it_shuts_its_side_or_floods(world, told, answer):
    world.start()
    caller = world.dial()
    caller.socket.settimeout(5)
    try:
        caller.send(told)
        caller.socket.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the other side has ended it: what it wrote before is what counts
    got = b""
    try:
        while more := caller.socket.recv(4096):
            got += more
    except ConnectionResetError:
        got += b" reset"
    assert answer.strip(b"+") in got and b"reset" not in got


def test_a_collector_of_a_byte_at_a_time_is_heard_and_one_who_stops_is_not_waited_for(world):
    world.start()
    world.listed("s1")
    world.logged("endpoint_list")
    slow, stopped = world.dial(), world.dial()
    stopped.send(SOURCE[:7])
    for byte in SOURCE + LOAD:
        slow.send(bytes([byte]))
    world.counted("reports_load", 1)
    assert stopped.ended() and world.counters()["closed_clients_unidentified"] == 1


def test_a_thousand_strangers_beside_collectors_leave_those_heard(world):
    world.start(limits={"memory_mb": 192, "sockets": 256})
    world.listed("s1")
    world.logged("endpoint_list")
    collectors = [world.dial() for _ in range(3)]
    for one in collectors:
        one.send(SOURCE)
        world.logged("collector_connected")
    for _ in range(1000):
        world.dial()
    for one in collectors:
        one.send(LOAD)
    world.counted("reports_load", 3)
    assert world.pong()
    counted = world.counters()
    assert counted["open_clients"] <= 100 and counted["descriptors"] < 256
    assert not world.seen("collector_disconnected") and not world.seen("listen_failed")


def test_a_flood_of_reports_lets_questions_and_the_list_through(world):
    world.start()
    watches = world.listed("s1")
    world.logged("endpoint_list")
    flood = world.dial()
    flood.send(SOURCE)
    flood.socket.setblocking(False)
    asker = world.dial()
    for rev in range(2, 12):
        try:
            while flood.socket.send(LOAD * 500):
                pass
        except BlockingIOError:
            pass
        watches[0].send(chunk({"rev": rev, "all": False, "targets": [listed_server("s1")]}))
        assert world.logged("endpoint_list", version=rev) and world.pong(asker)


# Probes


class Probed:
    """A server of the list that answers probes as a test says."""

    def __init__(self, world):
        self.place = Place(lambda peer: peer.until(b"\r\n\r\n").split(b" ")[1].decode())
        world.places.append(self.place)
        self.entry = listed_server("s1", endpoint=self.place.address)

    def next(self):
        return self.place.next("/health/live")


def asks(world, **more):
    """The assigner that has a server in its list, and that server."""
    server = Probed(world)
    world.start()
    world.discovery.next("whole").send(
        CHUNKED, chunk({"rev": 1, "all": True, "targets": [server.entry | more]}), b"0\r\n\r\n"
    )
    watch = world.discovery.next("watch")
    watch.send(CHUNKED, chunk(b"\n"))
    return server, watch


@pytest.mark.parametrize(
    "told, outcome",
    [
        (head("Content-Length: 9") + b"ok", "reset"),
        (head("Content-Length: 2") + b"ok", "passed"),
        (b"HTTP/1.1 2", "reset"),
        (CHUNKED + b"2\r\nok\r\n", "reset"),
        (head("Connection: close") + b"ok", "passed"),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "saturated"),
        (b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n", "error"),
        (b"nonsense\r\n\r\n", "error"),
        (b"", "reset"),
    ],
)
def test_an_answer_that_breaks_off_is_no_answer(world, told, outcome):
    server, _ = asks(world)
    asked = server.next()
    asked.send(told)
    asked.close()
    world.counted(f"health_checks_{outcome}", 1)


def test_an_answer_after_its_deadline_is_overdue_and_takes_no_room(world):
    server, _ = asks(world)
    late = server.next()
    world.counted("health_checks_timed_out", 1)
    assert late.ended()  # nobody is there any more
    late.close()
    server.next().send(head("Content-Length: 2") + b"ok")
    world.counted("health_checks_passed", 1)


@pytest.mark.parametrize(
    "change", [{"state": "terminated"}, {"state": "terminating"}, {"boot_ms": 1}]
)
@pytest.mark.parametrize(
    "told", [head("Content-Length: 2") + b"ok", None], ids=["answered", "reset"]
)
def test_an_answer_for_a_server_that_left_or_restarted_meanwhile_does_no_harm(world, change, told):
    server, watch = asks(world)
    held = server.next()
    entry = server.entry | change
    if "boot_ms" in change:
        entry["boot_ms"] = time.time() * 1000
    watch.send(chunk({"rev": 2, "all": False, "targets": [entry]}))
    assert world.logged("endpoint_list", version=2)
    if told:
        held.send(told)
    held.close(reset=told is None)
    world.counted("health_checks_passed" if told else "health_checks_reset", 1)
    # Of the process before its start it is no news: neither well nor ill.
    assert (world.seen("health_check")[-1:] or [{}])[0].get("outcome") == (
        "superseded" if "boot_ms" in change else None if told else "reset"
    )
    assert (
        world.pong()
        and world.counters().get("failures", 0) + world.counters().get("failed_reconciliations", 0)
        == 0
    )
