"""Collectors, strangers and answers to probes that cross an end, a flood or a restart, on loopback
sockets."""

import socket
import time

import pytest
from helpers import listed_server
from loopback_peers import CHUNKED, PeerListener, chunk, http_head, resp_command

SOURCE = resp_command("SOURCE", "az", "a")
LOAD = resp_command(
    "LOAD", "az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0"
)


@pytest.mark.parametrize("end", ["ended", "shut", "reset"])
def test_reports_and_the_end_in_one_read_count(deployment, end):
    deployment.start()
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    caller = deployment.connect()
    caller.send(SOURCE + LOAD * 3)
    if end == "reset":
        deployment.wait_for_event(
            "collector_connected"
        )  # what a reset overtakes is gone for everybody
        deployment.wait_for_counter("reports_load", 3)
    if end == "shut":
        caller.socket.shutdown(socket.SHUT_WR)
        assert caller.wait_for_close()
    caller.close(reset=end == "reset")
    deployment.wait_for_counter("reports_load", 3)
    assert deployment.wait_for_event("collector_disconnected")["zone"] == "a"


@pytest.mark.parametrize(
    "told, answer",
    [
        (resp_command("PING"), b"+PONG"),
        (resp_command("PING") * 3, b"PONG"),
        (resp_command("WHO"), b"NACK"),
        (resp_command("LOAD", "az", "a") + b"x" * 200_000, b"NACK"),
        (SOURCE + resp_command("PING"), b"PONG"),
    ],
    ids=["ping", "pings", "unknown", "unknown and a flood behind it", "collector"],
)
def test_the_last_answer_reaches_its_asker_though_it_shuts_its_side_or_floods(
    deployment, told, answer
):
    deployment.start()
    caller = deployment.connect()
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


def test_a_collector_of_a_byte_at_a_time_is_heard_and_one_who_stops_is_not_waited_for(deployment):
    deployment.start()
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    slow, stopped = deployment.connect(), deployment.connect()
    stopped.send(SOURCE[:7])
    for byte in SOURCE + LOAD:
        slow.send(bytes([byte]))
    deployment.wait_for_counter("reports_load", 1)
    assert stopped.wait_for_close() and deployment.counters()["closed_clients_unidentified"] == 1


def test_a_thousand_strangers_beside_collectors_leave_those_heard(deployment):
    deployment.start(limits={"memory_mb": 192, "sockets": 256})
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    collectors = [deployment.connect() for _ in range(3)]
    for one in collectors:
        one.send(SOURCE)
        deployment.wait_for_event("collector_connected")
    for _ in range(1000):
        deployment.connect()
    for one in collectors:
        one.send(LOAD)
    deployment.wait_for_counter("reports_load", 3)
    assert deployment.ping()
    counted = deployment.counters()
    assert counted["open_clients"] <= 100 and counted["descriptors"] < 256
    assert not deployment.logged_events("collector_disconnected") and not deployment.logged_events(
        "listen_failed"
    )


def test_a_flood_of_reports_lets_questions_and_the_list_through(deployment):
    deployment.start()
    watches = deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    flood = deployment.connect()
    flood.send(SOURCE)
    flood.socket.setblocking(False)
    asker = deployment.connect()
    for rev in range(2, 12):
        try:
            while flood.socket.send(LOAD * 500):
                pass
        except BlockingIOError:
            pass
        watches[0].send(chunk({"rev": rev, "all": False, "targets": [listed_server("s1")]}))
        assert deployment.wait_for_event("endpoint_list", version=rev) and deployment.ping(asker)


# Probes


class Probed:
    """A server of the list that answers probes as a test says."""

    def __init__(self, deployment):
        self.place = PeerListener(lambda peer: peer.read_until(b"\r\n\r\n").split(b" ")[1].decode())
        deployment.extra_listeners.append(self.place)
        self.entry = listed_server("s1", endpoint=self.place.address)

    def next(self):
        return self.place.next("/health/live")


def asks(deployment, **more):
    """The assigner that has a server in its list, and that server."""
    server = Probed(deployment)
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk({"rev": 1, "all": True, "targets": [server.entry | more]}), b"0\r\n\r\n"
    )
    watch = deployment.discovery.next("watch")
    watch.send(CHUNKED, chunk(b"\n"))
    return server, watch


@pytest.mark.parametrize(
    "told, outcome",
    [
        (http_head("Content-Length: 9") + b"ok", "reset"),
        (http_head("Content-Length: 2") + b"ok", "passed"),
        (b"HTTP/1.1 2", "reset"),
        (CHUNKED + b"2\r\nok\r\n", "reset"),
        (http_head("Connection: close") + b"ok", "passed"),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "saturated"),
        (b"HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n", "error"),
        (b"nonsense\r\n\r\n", "error"),
        (b"", "reset"),
    ],
)
def test_an_answer_that_breaks_off_is_no_answer(deployment, told, outcome):
    server, _ = asks(deployment)
    asked = server.next()
    asked.send(told)
    asked.close()
    deployment.wait_for_counter(f"health_checks_{outcome}", 1)


def test_an_answer_after_its_deadline_is_overdue_and_takes_no_room(deployment):
    server, _ = asks(deployment)
    late = server.next()
    deployment.wait_for_counter("health_checks_timed_out", 1)
    assert late.wait_for_close()  # nobody is there any more
    late.close()
    server.next().send(http_head("Content-Length: 2") + b"ok")
    deployment.wait_for_counter("health_checks_passed", 1)


@pytest.mark.parametrize(
    "change", [{"state": "terminated"}, {"state": "terminating"}, {"boot_ms": 1}]
)
@pytest.mark.parametrize(
    "told", [http_head("Content-Length: 2") + b"ok", None], ids=["answered", "reset"]
)
def test_an_answer_for_a_server_that_left_or_restarted_meanwhile_does_no_harm(
    deployment, change, told
):
    server, watch = asks(deployment)
    held = server.next()
    entry = server.entry | change
    if "boot_ms" in change:
        entry["boot_ms"] = time.time() * 1000
    watch.send(chunk({"rev": 2, "all": False, "targets": [entry]}))
    assert deployment.wait_for_event("endpoint_list", version=2)
    if told:
        held.send(told)
    held.close(reset=told is None)
    deployment.wait_for_counter("health_checks_passed" if told else "health_checks_reset", 1)
    # Of the process before its start it is no news: neither well nor ill.
    assert (deployment.logged_events("health_check")[-1:] or [{}])[0].get("outcome") == (
        "superseded" if "boot_ms" in change else None if told else "reset"
    )
    assert (
        deployment.ping()
        and deployment.counters().get("failures", 0)
        + deployment.counters().get("failed_reconciliations", 0)
        == 0
    )
