"""Signals, the address and peers that cross a start, a reload or an end, on loopback sockets."""

import contextlib
import os
import re
import signal
import socket
import stat
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from helpers import SLICE_ASSIGNED, TABLE_ENTRY
from loopback_peers import (
    CHUNKED,
    STEP_TIMEOUT_S,
    PeerListener,
    apply_reply,
    chunk,
    discovery_request_kind,
    http_head,
    proxy_connected,
    relay_request_kind,
    resp_command,
)

ROOT = Path(__file__).parents[2]

# Holds the program at a named point: it says so in its log and goes on once a byte comes on
# standard input.
HOLD = """
import os
def hold(made=None):
    os.write(2, b'{"event":"held"}\\n')
    os.read(0, 1)
    return made
"""
AT_IMPORT = HOLD + "hold()"
AT_CONFIG = (
    HOLD
    + """
import havendyke.config as module
load = module.load
def held(environ, path=None, reloading=False):
    made = load(environ, path, reloading)
    return made if reloading else hold(made)
module.load = held
"""
)
AT_FIRST_TURN = (
    HOLD
    + """
import havendyke.net.assigner as module
start = module.Assigner.start
def held(self):
    hold()
    start(self)
module.Assigner.start = held
"""
)


@pytest.fixture
def held(deployment):
    """Starts it with code that holds it; `held()` lets it go on."""
    reading, writing = os.pipe()

    yield (
        lambda code: deployment.start(code, stdin=reading, wait="held"),
        lambda: os.write(writing, b"\n"),
    )
    os.close(reading)
    os.close(writing)


@pytest.mark.parametrize("point", [AT_CONFIG, AT_FIRST_TURN], ids=["config", "first turn"])
def test_a_reload_asked_for_while_it_starts_is_not_lost(deployment, held, point):
    start, go = held
    start(point)
    moved = PeerListener(discovery_request_kind)
    deployment.extra_listeners.append(moved)
    deployment.write_config(discovery=moved.address)
    deployment.process.send_signal(signal.SIGHUP)
    go()
    assert "follow=1" in moved.next("watch").path
    assert deployment.wait_for_event("listening") and deployment.ping()


@pytest.mark.parametrize("name", [signal.SIGHUP, signal.SIGUSR1])
def test_signals_ahead_of_the_program_do_not_end_it(deployment, name, tmp_path):
    """As the operators start it, with a stand-in of the interpreter that holds it before its first
    line."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    fake = tmp_path / "python"
    fake.write_text(
        f'#!/bin/sh\necho \'{{"event":"held"}}\' >&2\nread go\nexec {sys.executable} "$@"\n'
    )
    fake.chmod(0o755)
    deployment.write_config()
    deployment.process = subprocess.Popen(
        ["/bin/sh", "-c", re.sub(r"\S*bin/python", str(fake), run)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(deployment.folder / "config.json")},
    )
    deployment.wait_for_event("held")
    deployment.process.send_signal(name)
    deployment.process.stdin.write(b"go\n")
    deployment.process.stdin.flush()
    assert deployment.wait_for_event("listening") and deployment.ping()
    assert deployment.stop() == 0


@pytest.mark.parametrize("point", [AT_CONFIG, AT_FIRST_TURN], ids=["config", "first turn"])
def test_an_end_asked_for_while_it_starts_ends_it_well(deployment, held, point):
    start, go = held
    start(point)
    deployment.process.send_signal(signal.SIGTERM)
    go()
    assert deployment.process.wait(STEP_TIMEOUT_S) == 0


def test_counters_asked_for_while_it_starts_are_told_once_it_runs(deployment, held):
    start, go = held
    start(AT_CONFIG)
    deployment.process.send_signal(signal.SIGUSR1)
    go()
    deployment.wait_for_event("listening")
    assert deployment.counters(request=False)["event"] == "counters"


def test_a_question_that_waits_while_a_turn_runs_is_answered(deployment, held):
    """Connected and asked while the loop stands in a turn: the kernel takes it in, the loop answers
    after."""
    start, go = held
    start(
        AT_FIRST_TURN.replace(
            "    hold()\n    start(self)",
            "    start(self)\n    self.event_loop.loop.call_later(0, hold)",
        )
    )
    asker = deployment.connect()
    asker.send(resp_command("PING"))
    go()
    assert asker.read_until(b"PONG\r\n")


def test_the_address_still_taken_is_waited_for(deployment):
    host, _, port = deployment.listen.rpartition(":")
    with socket.create_server((host, int(port))):
        deployment.start(wait="listen_failed")
    assert deployment.wait_for_event("listening") and deployment.ping()


def test_what_fails_behind_the_bind_leaves_no_leftover_on_the_address(deployment):
    deployment.start(
        """
import asyncio.base_events as module
create = module.BaseEventLoop.create_server
async def fails(self, *given, **more):
    module.BaseEventLoop.create_server = create
    raise OSError(98, "forced")
module.BaseEventLoop.create_server = fails
""",
        wait="listen_failed",
    )
    assert deployment.wait_for_event("listening") and deployment.ping()


@pytest.mark.parametrize("which", ["discovery", "relay", "both"])
@pytest.mark.parametrize("how", ["silent", "refusing", "a byte at a time"])
def test_it_is_up_whatever_discovery_and_the_relay_do(deployment, which, how):
    away = [
        place
        for name, place in (("discovery", deployment.discovery), ("relay", deployment.relay))
        if which in (name, "both")
    ]
    if how == "refusing":
        for place in away:
            place.listener.close()  # its port refuses from now on
    deployment.start()
    assert deployment.ping()
    if how == "a byte at a time":
        if which != "relay":
            watch = deployment.discovery.next("watch")
            for byte in CHUNKED + chunk({"rev": 9, "all": False, "targets": []}):
                watch.send(bytes([byte]))
            assert deployment.wait_for_event("endpoint_list")["version"] == 9
        if which != "discovery":
            stream = deployment.relay.next("watch")
            for byte in b'{"id":%d,"result":true}\n' % stream.call["id"]:
                stream.send(bytes([byte]))
            assert deployment.wait_for_event("watch_synchronised")["slices"] == 0
    if how == "refusing":
        deployment.wait_for_counter_at_least(
            "closed_discovery_refused" if which != "relay" else "closed_relay_watch_refused", 2
        )
    assert deployment.counters().get("failures", 0) == 0
    assert deployment.ping() and deployment.stop() == 0


@pytest.mark.parametrize("given", [("stdout",), ("stderr",), ("stdout", "stderr")])
@pytest.mark.parametrize("times", [1, 2])
def test_an_end_does_not_wait_for_readers_of_what_it_says(deployment, given, times):
    """Full pipes that nobody reads."""
    reading, writing = os.pipe()
    deployment.start(**dict.fromkeys(given, writing), wait=None)
    while deployment.process.poll() is None and not _listens(deployment):
        pass
    # By a description of its own, so that the program's stays as a shell hands it over.
    full = os.open(f"/proc/self/fd/{writing}", os.O_WRONLY | os.O_NONBLOCK)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(full, b"x")
    for _ in range(times):
        deployment.process.send_signal(signal.SIGTERM)
    assert deployment.process.wait(STEP_TIMEOUT_S) == 0
    for descriptor in (reading, writing, full):
        os.close(descriptor)


def _listens(deployment):
    try:
        return deployment.ping()
    except OSError:
        return False


def test_counters_that_nobody_reads_do_not_stop_it(deployment):
    deployment.start()
    deployment.process.send_signal(signal.SIGUSR1)
    assert stat.S_ISFIFO(os.fstat(deployment.process.stdout.fileno()).st_mode)
    # Some hundred fill a pipe; each is told before the next is asked for, for the loop answers in
    # between.
    for _ in range(300):
        deployment.process.send_signal(signal.SIGUSR1)
        assert deployment.ping()
    assert deployment.stop() == 0


def called_line(deployment):
    """The relay's side of a call with a slice's first spare line, held: nothing of it is
    answered."""
    deployment.start()
    deployment.serve_endpoint_list("s1", "s2", "s3")
    streams = deployment.serve_relay_watches(proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY)
    return deployment.relay.next("call"), streams


@pytest.mark.parametrize(
    "more",
    [
        "a call just written",
        "half a news line",
        "a flood of reports",
        "twice",
        "with SIGHUP",
        "with SIGHUP before",
    ],
)
def test_it_ends_at_once_whatever_is_on_its_way(deployment, more):
    call, (stream, _) = called_line(deployment)
    assert call.call["params"]["orders"]
    if more == "half a news line":
        stream.send(b'{"jsonrpc":"2.0","method":"ACK","params":{"side')
    if more == "a flood of reports":
        collector = deployment.connect()
        collector.send(resp_command("SOURCE", "az", "a"))
        deployment.wait_for_event("collector_connected")
        collector.socket.setblocking(False)
        report = resp_command(
            "LOAD", "az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0"
        )
        try:
            while collector.socket.send(report * 200):
                pass
        except BlockingIOError:
            pass
    if more == "with SIGHUP before":
        deployment.process.send_signal(signal.SIGHUP)
    deployment.process.send_signal(signal.SIGTERM)
    if more == "twice":
        deployment.process.send_signal(signal.SIGTERM)
    if more == "with SIGHUP":
        deployment.process.send_signal(signal.SIGHUP)
    assert deployment.process.wait(STEP_TIMEOUT_S) == 0


# Reload


def test_a_call_under_way_ends_at_the_old_relay_and_what_comes_next_goes_to_the_new(deployment):
    old, _ = called_line(deployment)
    moved = PeerListener(relay_request_kind)
    deployment.extra_listeners.append(moved)
    deployment.write_config(distributor={"address": moved.address})
    deployment.process.send_signal(signal.SIGHUP)
    stream = moved.next("watch")
    old.send(apply_reply(old, old.call))
    stream.send(
        {"id": stream.call["id"], "result": True}, proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY
    )
    # The mark of the call is not answered: it is asked for again, and by the new address.
    assert moved.next("call").call["params"]["orders"]
    assert old.wait_for_close() and deployment.ping()


def test_a_call_of_unknown_end_is_judged_by_the_new_relay(deployment):
    old, _ = called_line(deployment)
    moved = PeerListener(relay_request_kind)
    deployment.extra_listeners.append(moved)
    deployment.write_config(distributor={"address": moved.address})
    old.close(reset=True)
    deployment.wait_for_event("call_unknown")
    deployment.process.send_signal(signal.SIGHUP)
    for _ in range(3):  # news on two connections, and the look at what stands
        stream = moved.next("watch")
        stream.send(
            {"id": stream.call["id"], "result": True},
            proxy_connected(1),
            SLICE_ASSIGNED,
            TABLE_ENTRY,
        )
    assert deployment.wait_for_event("call_compared")["matching"] == 0
    again = moved.next("call")
    assert again.call["params"]["orders"][0]["op"] in ("SET", "LIMIT") and deployment.ping()


def test_a_whole_list_half_read_is_read_at_the_new_address(deployment):
    deployment.start()
    whole = deployment.discovery.next("complete")
    body = chunk(deployment.endpoint_list_message("s1", "s2"))
    whole.send(CHUNKED + body[:60])
    moved = PeerListener(discovery_request_kind)
    deployment.extra_listeners.append(moved)
    for _ in range(2):  # and twice in a row
        deployment.write_config(discovery=moved.address)
        deployment.process.send_signal(signal.SIGHUP)
        deployment.wait_for_event("reloaded")
    moved.next("complete").send(
        http_head("Content-Length: 49"), b'{"rev":7,"all":true,"targets":[' + b" " * 16 + b"]}"
    )
    assert deployment.wait_for_event("endpoint_list")["version"] == 7
    moved.next("watch").send(CHUNKED, chunk(b"\n"))
    assert whole.wait_for_close()
    assert deployment.ping()


def test_there_and_back_to_the_old_address(deployment):
    deployment.start()
    watches = deployment.serve_endpoint_list("s1", "s2", "s3")
    deployment.wait_for_event("endpoint_list")
    moved = PeerListener(discovery_request_kind)
    deployment.extra_listeners.append(moved)
    deployment.write_config(discovery=moved.address)
    deployment.process.send_signal(signal.SIGHUP)
    left = moved.next("watch")  # which says nothing
    deployment.write_config()
    deployment.process.send_signal(signal.SIGHUP)
    deployment.wait_for_event("reloaded")
    deployment.wait_for_event("reloaded")
    watches[0].send(chunk(deployment.endpoint_list_message("s1", "s2", rev=2)))
    assert deployment.wait_for_event("endpoint_list")["version"] == 2 and left.wait_for_close()
    watches[0].send(
        chunk(deployment.endpoint_list_message("s1", "s2", rev=3))
    )  # only those at the other address have gone
    assert deployment.wait_for_event("endpoint_list")["version"] == 3 and deployment.ping()


def test_relay_and_discovery_move_together(deployment):
    deployment.start()
    old = deployment.serve_endpoint_list("s1", "s2", "s3") + deployment.serve_relay_watches(
        proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY
    )
    deployment.wait_for_event("watch_synchronised")
    discovery, relay = PeerListener(discovery_request_kind), PeerListener(relay_request_kind)
    deployment.extra_listeners += [discovery, relay]
    deployment.write_config(discovery=discovery.address, distributor={"address": relay.address})
    deployment.process.send_signal(signal.SIGHUP)
    stream = relay.next("watch")
    stream.send(
        {"id": stream.call["id"], "result": True}, proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY
    )
    discovery.next("watch").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2", "s3", rev=5))
    )
    assert deployment.wait_for_event("endpoint_list")["version"] == 5 and deployment.ping()
    assert all(
        peer.wait_for_close() for peer in old
    )  # once the new ones stand, and not for their silence
    deployment.wait_for_counter_at_least("closed_relay_watch_moved", 1)
    assert deployment.counters().get("events_ProxyDisconnected", 0) == 0
