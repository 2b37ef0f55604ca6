"""Collectors, unidentified clients and health checks that cross the end of a connection, a flood or
a restart, on loopback sockets."""

import contextlib
import select
import socket
import threading
import time

import pytest
from helpers import listed_server
from loopback_peers import (
    CHUNKED,
    PeerListener,
    chunk,
    http_head,
    one_loop_iteration,
    resp_command,
)

SOURCE = resp_command("SOURCE", "az", "a")
LOAD = resp_command(
    "LOAD", "az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0"
)


@pytest.mark.parametrize("end", ["ended", "shut", "reset"])
def test_reports_that_arrive_with_the_end_of_their_connection_count(deployment, end):
    deployment.start()
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    caller = deployment.connect()
    caller.send(SOURCE + LOAD * 3)
    if end == "reset":
        deployment.wait_for_event("collector_connected")  # a reset discards what is still unread
        deployment.wait_for_counter("reports_load", 3)
    if end == "shut":
        caller.socket.shutdown(socket.SHUT_WR)
        assert caller.wait_for_close()
    caller.close(reset=end == "reset")
    deployment.wait_for_counter("reports_load", 3)
    assert deployment.wait_for_event("collector_disconnected")["zone"] == "a"


@pytest.mark.parametrize(
    "sent, expected",
    [
        (resp_command("PING"), b"+PONG"),
        (resp_command("PING") * 3, b"PONG"),
        (resp_command("WHO"), b"NACK"),
        (resp_command("LOAD", "az", "a") + b"x" * 200_000, b"NACK"),
        (SOURCE + resp_command("PING"), b"PONG"),
    ],
    ids=["ping", "pings", "unknown", "unknown and a flood behind it", "collector"],
)
def test_the_last_reply_reaches_a_client_that_closes_its_side_or_floods(deployment, sent, expected):
    deployment.start()
    caller = deployment.connect()
    caller.socket.settimeout(5)
    try:
        caller.send(sent)
        caller.socket.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the assigner has closed the connection; its reply can still be read
    received = b""
    try:
        while data := caller.socket.recv(4096):
            received += data
    except ConnectionResetError:
        received += b" reset"
    assert expected.strip(b"+") in received and b"reset" not in received


def test_a_collector_that_sends_byte_by_byte_is_read_and_one_that_stalls_is_closed(deployment):
    deployment.start()
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    slow, stopped = deployment.connect(), deployment.connect()
    stopped.send(SOURCE[:7])
    for byte in SOURCE + LOAD:
        slow.send(bytes([byte]))
    deployment.wait_for_counter("reports_load", 1)
    assert stopped.wait_for_close() and deployment.counters()["closed_clients_unidentified"] == 1


def test_a_thousand_unidentified_clients_do_not_disconnect_collectors(deployment):
    deployment.start(limits={"memory_mb": 192, "sockets": 256})
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    collectors = [deployment.connect() for _ in range(3)]
    for collector in collectors:
        collector.send(SOURCE)
        deployment.wait_for_event("collector_connected")
    for _ in range(1000):
        deployment.connect()
    for collector in collectors:
        collector.send(LOAD)
    deployment.wait_for_counter("reports_load", 3)
    assert deployment.ping()
    counters = deployment.counters()
    assert counters["open_clients"] <= 100 and counters["descriptors"] < 256
    assert not deployment.logged_events("collector_disconnected") and not deployment.logged_events(
        "listen_failed"
    )


def test_a_flood_of_reports_does_not_block_pings_and_the_endpoint_list(deployment):
    deployment.start()
    watches = deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    flood = deployment.connect()
    flood.send(SOURCE)
    flood.socket.setblocking(False)
    client = deployment.connect()
    for rev in range(2, 12):
        try:
            while flood.socket.send(LOAD * 500):
                pass
        except BlockingIOError:
            pass
        watches[0].send(chunk({"rev": rev, "all": False, "targets": [listed_server("s1")]}))
        assert deployment.wait_for_event("endpoint_list", version=rev) and deployment.ping(client)


# Guards against messages that are acted on for a client that has gone: the kernel still delivers
# them after a reset. A sound end, in contrast, comes after all reports before it.
@pytest.mark.parametrize("end", ["reset", "unread answers", "closed"])
def test_what_waits_unread_when_a_client_resets_its_connection_is_dropped(deployment, end):
    deployment.start()
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    caller = deployment.connect()
    caller.send(SOURCE)
    deployment.wait_for_event("collector_connected")
    if end == "unread answers":
        caller.send(resp_command("PING"))  # closing with an unread answer resets the connection
        deployment.wait_for_counter("pings", 1)
    with one_loop_iteration(deployment):
        caller.send(LOAD * 2000)
        caller.close(reset=end == "reset")
    deployment.wait_for_event("collector_disconnected", why="ended" if end == "closed" else "reset")
    assert deployment.counters().get("reports_load", 0) == (2000 if end == "closed" else 0)


def wait_until_idle(deployment):
    """Waits until the assigner has read what it was sent."""
    deadline = time.monotonic() + 60
    before_s, now_s = -1.0, 0.0
    while now_s - before_s > 0.05:
        assert time.monotonic() < deadline
        time.sleep(0.3)
        before_s, now_s = now_s, deployment.counters()["cpu_s"]


MEMORY_LIMIT_MB = 96


# Guards against a process that is killed for its memory: hundreds of clients stopped half way
# through large messages, and each part of those was kept at twenty times its bytes.
@pytest.mark.parametrize(
    "unfinished",
    [b"*150000\r\n" + b"$1\r\nx\r\n" * 12_000, b"*2\r\n$4\r\nLOAD\r\n$900000\r\n" + b"x" * 300_000],
    ids=["many short parts", "one long part"],
)
def test_unfinished_messages_of_many_clients_stay_within_the_memory_limit(deployment, unfinished):
    deployment.start(limits={"memory_mb": MEMORY_LIMIT_MB, "sockets": 1024})
    deployment.serve_endpoint_list("s1")
    deployment.wait_for_event("endpoint_list")
    for _ in range(120):
        client = deployment.connect()
        client.socket.settimeout(10)
        # The connection is closed where the budget of the buffers is used up.
        with contextlib.suppress(OSError):
            client.send(SOURCE + unfinished)
    wait_until_idle(deployment)
    assert deployment.ping()
    assert deployment.counters()["memory_max_mb"] < MEMORY_LIMIT_MB


MAX_ANSWER_S = 1.0


# Guards against late answers: one client's messages were all handled before any other client's.
@pytest.mark.parametrize(
    "flood",
    [
        b"*149000\r\n" + b"$1\r\nx\r\n" * 149_000,
        resp_command("LOAD", "report", "x" * 1_000_000) + resp_command("PING") * 70_000,
    ],
    ids=["many short parts", "small messages behind a large one"],
)
def test_a_client_that_sends_without_pause_does_not_keep_others_waiting(deployment, flood):
    deployment.start()
    flooding, client = deployment.connect(), deployment.connect()
    flooding.send(SOURCE)
    client.send(SOURCE)
    with flood_from(flooding.socket, flood):
        end_s = time.monotonic() + 4.0
        while time.monotonic() < end_s:
            start_s = time.monotonic()
            assert deployment.ping(client)
            assert time.monotonic() - start_s < MAX_ANSWER_S
            time.sleep(0.02)


@contextlib.contextmanager
def flood_from(sock, data):
    """Sends the data again and again from a thread, and discards the answers."""
    stopped = threading.Event()

    def flood():
        unsent = memoryview(data)
        while not stopped.is_set():
            readable, writable, _ = select.select([sock], [sock], [], 0.1)
            if readable:
                sock.recv(1 << 16)
            if writable:
                unsent = unsent[sock.send(unsent) :] or memoryview(data)

    sock.setblocking(False)
    thread = threading.Thread(target=flood)
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


# Health checks.


class CheckedServer:
    """A server of the endpoint list that replies to health checks as a test decides."""

    def __init__(self, deployment):
        self.listener = PeerListener(
            lambda peer: peer.read_until(b"\r\n\r\n").split(b" ")[1].decode()
        )
        deployment.extra_listeners.append(self.listener)
        self.entry = listed_server("s1", endpoint=self.listener.address)

    def next(self):
        return self.listener.next("/health/live")


def start_with_server(deployment, **fields):
    """Starts the assigner with one server in its list; returns the server and a discovery watch."""
    server = CheckedServer(deployment)
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk({"rev": 1, "all": True, "targets": [server.entry | fields]}), b"0\r\n\r\n"
    )
    watch = deployment.discovery.next("watch")
    watch.send(CHUNKED, chunk(b"\n"))
    return server, watch


@pytest.mark.parametrize(
    "sent, outcome",
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
def test_a_truncated_reply_does_not_pass_a_health_check(deployment, sent, outcome):
    server, _ = start_with_server(deployment)
    check = server.next()
    check.send(sent)
    check.close()
    deployment.wait_for_counter(f"health_checks_{outcome}", 1)


def test_a_health_check_past_its_deadline_is_closed_and_frees_its_slot(deployment):
    server, _ = start_with_server(deployment)
    late = server.next()
    deployment.wait_for_counter("health_checks_timed_out", 1)
    assert late.wait_for_close()
    late.close()
    server.next().send(http_head("Content-Length: 2") + b"ok")
    deployment.wait_for_counter("health_checks_passed", 1)


@pytest.mark.parametrize(
    "change", [{"state": "terminated"}, {"state": "terminating"}, {"boot_ms": 1}]
)
@pytest.mark.parametrize(
    "sent", [http_head("Content-Length: 2") + b"ok", None], ids=["answered", "reset"]
)
def test_a_reply_of_a_server_that_left_or_restarted_in_the_meantime_is_harmless(
    deployment, change, sent
):
    server, watch = start_with_server(deployment)
    check = server.next()
    entry = server.entry | change
    if "boot_ms" in change:
        entry["boot_ms"] = time.time() * 1000
    watch.send(chunk({"rev": 2, "all": False, "targets": [entry]}))
    assert deployment.wait_for_event("endpoint_list", version=2)
    if sent:
        check.send(sent)
    check.close(reset=sent is None)
    deployment.wait_for_counter("health_checks_passed" if sent else "health_checks_reset", 1)
    # A reply of the process before the restart says nothing about the present one.
    assert (deployment.logged_events("health_check")[-1:] or [{}])[0].get("outcome") == (
        "superseded" if "boot_ms" in change else None if sent else "reset"
    )
    assert (
        deployment.ping()
        and deployment.counters().get("failures", 0)
        + deployment.counters().get("failed_reconciliations", 0)
        == 0
    )
