"""Signals, bind errors and peers that cross the start, a reload or the end of the process, on
loopback sockets."""

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

# Code that pauses the program at a chosen point: it logs the event `held` and continues once it has
# read a byte from standard input.
PAUSE = """
import os
def pause(result=None):
    os.write(2, b'{"event":"held"}\\n')
    os.read(0, 1)
    return result
"""
AT_IMPORT = PAUSE + "pause()"
AT_CONFIG = (
    PAUSE
    + """
import havendyke.config as module
load = module.load_config
def paused_load(environ, path=None, reloading=False):
    loaded = load(environ, path, reloading)
    return loaded if reloading else pause(loaded)
module.load_config = paused_load
"""
)
AT_FIRST_RECONCILIATION = (
    PAUSE
    + """
import havendyke.net.assigner as module
start = module.Assigner.start
def paused_start(self):
    pause()
    start(self)
module.Assigner.start = paused_start
"""
)


@pytest.fixture
def paused(deployment):
    """Two functions: one starts the process with code that pauses it, one lets it continue."""
    reading, writing = os.pipe()

    yield (
        lambda code: deployment.start(code, stdin=reading, wait="held"),
        lambda: os.write(writing, b"\n"),
    )
    os.close(reading)
    os.close(writing)


@pytest.mark.parametrize(
    "point", [AT_CONFIG, AT_FIRST_RECONCILIATION], ids=["config", "first turn"]
)
def test_a_reload_requested_during_the_start_is_not_lost(deployment, paused, point):
    start, resume = paused
    start(point)
    new_discovery = PeerListener(discovery_request_kind)
    deployment.extra_listeners.append(new_discovery)
    deployment.write_config(discovery=new_discovery.address)
    deployment.process.send_signal(signal.SIGHUP)
    resume()
    assert "follow=1" in new_discovery.next("watch").path
    assert deployment.wait_for_event("listening") and deployment.ping()


@pytest.mark.parametrize("signum", [signal.SIGHUP, signal.SIGUSR1])
def test_signals_before_the_program_runs_do_not_end_it(deployment, signum, tmp_path):
    """Started with the command of the deploy file; a fake interpreter pauses before the program's
    first line."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    interpreter = tmp_path / "python"
    interpreter.write_text(
        f'#!/bin/sh\necho \'{{"event":"held"}}\' >&2\nread go\nexec {sys.executable} "$@"\n'
    )
    interpreter.chmod(0o755)
    deployment.write_config()
    deployment.process = subprocess.Popen(
        ["/bin/sh", "-c", re.sub(r"\S*bin/python", str(interpreter), command)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(deployment.folder / "config.json")},
    )
    deployment.wait_for_event("held")
    deployment.process.send_signal(signum)
    deployment.process.stdin.write(b"go\n")
    deployment.process.stdin.flush()
    assert deployment.wait_for_event("listening") and deployment.ping()
    assert deployment.stop() == 0


@pytest.mark.parametrize(
    "point", [AT_CONFIG, AT_FIRST_RECONCILIATION], ids=["config", "first turn"]
)
def test_a_termination_requested_during_the_start_ends_the_process(deployment, paused, point):
    start, resume = paused
    start(point)
    deployment.process.send_signal(signal.SIGTERM)
    resume()
    assert deployment.process.wait(STEP_TIMEOUT_S) == 0


def test_counters_requested_during_the_start_are_written_once_it_listens(deployment, paused):
    start, resume = paused
    start(AT_CONFIG)
    deployment.process.send_signal(signal.SIGUSR1)
    resume()
    deployment.wait_for_event("listening")
    assert deployment.counters(request=False)["event"] == "counters"


def test_a_ping_that_arrives_during_a_reconciliation_is_answered(deployment, paused):
    """The kernel accepts connection and bytes while the event loop is blocked; the loop replies
    afterwards."""
    start, resume = paused
    start(
        AT_FIRST_RECONCILIATION.replace(
            "    pause()\n    start(self)",
            "    start(self)\n    self.event_loop.loop.call_later(0, pause)",
        )
    )
    client = deployment.connect()
    client.send(resp_command("PING"))
    resume()
    assert client.read_until(b"PONG\r\n")


def test_a_listen_address_in_use_is_retried(deployment):
    host, _, port = deployment.listen.rpartition(":")
    with socket.create_server((host, int(port))):
        deployment.start(wait="listen_failed")
    assert deployment.wait_for_event("listening") and deployment.ping()


def test_a_failure_after_the_bind_releases_the_listen_address(deployment):
    deployment.start(
        """
import asyncio.base_events as module
create = module.BaseEventLoop.create_server
async def fail_once(self, *arguments, **options):
    module.BaseEventLoop.create_server = create
    raise OSError(98, "forced")
module.BaseEventLoop.create_server = fail_once
""",
        wait="listen_failed",
    )
    assert deployment.wait_for_event("listening") and deployment.ping()


@pytest.mark.parametrize("which", ["discovery", "relay", "both"])
@pytest.mark.parametrize("how", ["silent", "refusing", "a byte at a time"])
def test_the_assigner_listens_whatever_discovery_and_the_relay_do(deployment, which, how):
    affected = [
        peer
        for name, peer in (("discovery", deployment.discovery), ("relay", deployment.relay))
        if which in (name, "both")
    ]
    if how == "refusing":
        for peer in affected:
            peer.listener.close()  # further connections are refused
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
def test_the_process_ends_while_its_output_pipes_are_full(deployment, given, times):
    """Nobody reads the pipes."""
    reading, writing = os.pipe()
    deployment.start(**dict.fromkeys(given, writing), wait=None)
    while deployment.process.poll() is None and not _listens(deployment):
        pass
    # Opened separately, so that the program's file description stays blocking, as from a shell.
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


def test_counters_that_nobody_reads_do_not_block_the_process(deployment):
    deployment.start()
    deployment.process.send_signal(signal.SIGUSR1)
    assert stat.S_ISFIFO(os.fstat(deployment.process.stdout.fileno()).st_mode)
    # A few hundred lines fill a pipe. Each is written before the next is requested, since the event
    # loop answers a ping in between.
    for _ in range(300):
        deployment.process.send_signal(signal.SIGUSR1)
        assert deployment.ping()
    assert deployment.stop() == 0


def start_with_unanswered_call(deployment):
    """Starts the assigner up to its first call, which gets no reply; returns the connection of the
    call and the watch streams."""
    deployment.start()
    deployment.serve_endpoint_list("s1", "s2", "s3")
    streams = deployment.serve_relay_watches(proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY)
    return deployment.relay.next("call"), streams


@pytest.mark.parametrize(
    "situation",
    [
        "a call just written",
        "half a news line",
        "a flood of reports",
        "twice",
        "with SIGHUP",
        "with SIGHUP before",
    ],
)
def test_the_process_ends_at_once_whatever_is_in_progress(deployment, situation):
    call, (stream, _) = start_with_unanswered_call(deployment)
    assert call.call["params"]["orders"]
    if situation == "half a news line":
        stream.send(b'{"jsonrpc":"2.0","method":"ACK","params":{"side')
    if situation == "a flood of reports":
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
    if situation == "with SIGHUP before":
        deployment.process.send_signal(signal.SIGHUP)
    deployment.process.send_signal(signal.SIGTERM)
    if situation == "twice":
        deployment.process.send_signal(signal.SIGTERM)
    if situation == "with SIGHUP":
        deployment.process.send_signal(signal.SIGHUP)
    assert deployment.process.wait(STEP_TIMEOUT_S) == 0


# Reload.


def test_a_call_in_progress_ends_at_the_old_relay_and_later_ones_go_to_the_new_one(deployment):
    old, _ = start_with_unanswered_call(deployment)
    new_relay = PeerListener(relay_request_kind)
    deployment.extra_listeners.append(new_relay)
    deployment.write_config(distributor={"address": new_relay.address})
    deployment.process.send_signal(signal.SIGHUP)
    stream = new_relay.next("watch")
    old.send(apply_reply(old, old.call))
    stream.send(
        {"id": stream.call["id"], "result": True}, proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY
    )
    # No proxy acknowledges the push: acknowledgements are requested again, from the new relay.
    assert new_relay.next("call").call["params"]["orders"]
    assert old.wait_for_close() and deployment.ping()


def test_a_call_with_unknown_outcome_is_resolved_at_the_new_relay(deployment):
    old, _ = start_with_unanswered_call(deployment)
    new_relay = PeerListener(relay_request_kind)
    deployment.extra_listeners.append(new_relay)
    deployment.write_config(distributor={"address": new_relay.address})
    old.close(reset=True)
    deployment.wait_for_event("call_unknown")
    deployment.process.send_signal(signal.SIGHUP)
    for _ in range(3):  # two watch streams and the snapshot
        stream = new_relay.next("watch")
        stream.send(
            {"id": stream.call["id"], "result": True},
            proxy_connected(1),
            SLICE_ASSIGNED,
            TABLE_ENTRY,
        )
    assert deployment.wait_for_event("call_compared")["matching"] == 0
    retry = new_relay.next("call")
    assert retry.call["params"]["orders"][0]["op"] in ("SET", "LIMIT") and deployment.ping()


def test_a_complete_list_read_in_part_is_requested_at_the_new_address(deployment):
    deployment.start()
    request = deployment.discovery.next("complete")
    body = chunk(deployment.endpoint_list_message("s1", "s2"))
    request.send(CHUNKED + body[:60])
    new_discovery = PeerListener(discovery_request_kind)
    deployment.extra_listeners.append(new_discovery)
    for _ in range(2):  # two reloads in a row
        deployment.write_config(discovery=new_discovery.address)
        deployment.process.send_signal(signal.SIGHUP)
        deployment.wait_for_event("reloaded")
    new_discovery.next("complete").send(
        http_head("Content-Length: 49"), b'{"rev":7,"all":true,"targets":[' + b" " * 16 + b"]}"
    )
    assert deployment.wait_for_event("endpoint_list")["version"] == 7
    new_discovery.next("watch").send(CHUNKED, chunk(b"\n"))
    assert request.wait_for_close()
    assert deployment.ping()


def test_a_reload_back_to_the_old_address(deployment):
    deployment.start()
    watches = deployment.serve_endpoint_list("s1", "s2", "s3")
    deployment.wait_for_event("endpoint_list")
    new_discovery = PeerListener(discovery_request_kind)
    deployment.extra_listeners.append(new_discovery)
    deployment.write_config(discovery=new_discovery.address)
    deployment.process.send_signal(signal.SIGHUP)
    abandoned = new_discovery.next("watch")  # gets no response
    deployment.write_config()
    deployment.process.send_signal(signal.SIGHUP)
    deployment.wait_for_event("reloaded")
    deployment.wait_for_event("reloaded")
    watches[0].send(chunk(deployment.endpoint_list_message("s1", "s2", rev=2)))
    assert deployment.wait_for_event("endpoint_list")["version"] == 2 and abandoned.wait_for_close()
    watches[0].send(
        chunk(deployment.endpoint_list_message("s1", "s2", rev=3))
    )  # only the connections to the other address were closed
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
    )  # closed once the new ones are synchronised, not as silent
    deployment.wait_for_counter_at_least("closed_relay_watch_moved", 1)
    assert deployment.counters().get("events_ProxyDisconnected", 0) == 0
