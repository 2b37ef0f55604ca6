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
from world import CHUNKED, PATIENCE, Place, accepted, asked, called, chunk, head, resp, subscribe

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
load_config = module.load_config
def held(environ, path=None, reloading=False):
    made = load_config(environ, path, reloading)
    return made if reloading else hold(made)
module.load_config = held
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
def held(world):
    """Starts it with code that holds it; `held()` lets it go on."""
    reading, writing = os.pipe()

    yield (
        lambda code: world.start(code, stdin=reading, wait="held"),
        lambda: os.write(writing, b"\n"),
    )
    os.close(reading)
    os.close(writing)


@pytest.mark.parametrize("point", [AT_CONFIG, AT_FIRST_TURN], ids=["config", "first turn"])
def test_a_reload_asked_for_while_it_starts_is_not_lost(world, held, point):
    start, go = held
    start(point)
    moved = Place(asked)
    world.places.append(moved)
    world.write(discovery=moved.address)
    world.process.send_signal(signal.SIGHUP)
    go()
    assert "follow=1" in moved.next("watch").path
    assert world.logged("listening") and world.pong()


@pytest.mark.parametrize("name", [signal.SIGHUP, signal.SIGUSR1])
def test_signals_ahead_of_the_program_do_not_end_it(world, name, tmp_path):
    """As the operators start it, with a stand-in of the interpreter that holds it before its first
    line."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    fake = tmp_path / "python"
    fake.write_text(
        f'#!/bin/sh\necho \'{{"event":"held"}}\' >&2\nread go\nexec {sys.executable} "$@"\n'
    )
    fake.chmod(0o755)
    world.write()
    world.process = subprocess.Popen(
        ["/bin/sh", "-c", re.sub(r"\S*bin/python", str(fake), run)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(world.folder / "config.json")},
    )
    world.logged("held")
    world.process.send_signal(name)
    world.process.stdin.write(b"go\n")
    world.process.stdin.flush()
    assert world.logged("listening") and world.pong()
    assert world.end() == 0


@pytest.mark.parametrize("point", [AT_CONFIG, AT_FIRST_TURN], ids=["config", "first turn"])
def test_an_end_asked_for_while_it_starts_ends_it_well(world, held, point):
    start, go = held
    start(point)
    world.process.send_signal(signal.SIGTERM)
    go()
    assert world.process.wait(PATIENCE) == 0


def test_counters_asked_for_while_it_starts_are_told_once_it_runs(world, held):
    start, go = held
    start(AT_CONFIG)
    world.process.send_signal(signal.SIGUSR1)
    go()
    world.logged("listening")
    assert world.counters(asked=False)["event"] == "counters"


def test_a_question_that_waits_while_a_turn_runs_is_answered(world, held):
    """Connected and asked while the loop stands in a turn: the kernel takes it in, the loop answers
    after."""
    start, go = held
    start(
        AT_FIRST_TURN.replace(
            "    hold()\n    start(self)",
            "    start(self)\n    self.event_loop.loop.call_later(0, hold)",
        )
    )
    asker = world.dial()
    asker.send(resp("PING"))
    go()
    assert asker.until(b"PONG\r\n")


def test_the_address_still_taken_is_waited_for(world):
    host, _, port = world.listen.rpartition(":")
    with socket.create_server((host, int(port))):
        world.start(wait="listen_failed")
    assert world.logged("listening") and world.pong()


def test_what_fails_behind_the_bind_leaves_no_leftover_on_the_address(world):
    world.start(
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
    assert world.logged("listening") and world.pong()


@pytest.mark.parametrize("which", ["discovery", "relay", "both"])
@pytest.mark.parametrize("how", ["silent", "refusing", "a byte at a time"])
def test_it_is_up_whatever_discovery_and_the_relay_do(world, which, how):
    away = [
        place
        for name, place in (("discovery", world.discovery), ("relay", world.relay))
        if which in (name, "both")
    ]
    if how == "refusing":
        for place in away:
            place.listener.close()  # its port refuses from now on
    world.start()
    assert world.pong()
    if how == "a byte at a time":
        if which != "relay":
            watch = world.discovery.next("watch")
            for byte in CHUNKED + chunk({"rev": 9, "all": False, "targets": []}):
                watch.send(bytes([byte]))
            assert world.logged("endpoint_list")["version"] == 9
        if which != "discovery":
            stream = world.relay.next("watch")
            for byte in b'{"id":%d,"result":true}\n' % stream.call["id"]:
                stream.send(bytes([byte]))
            assert world.logged("watch_synchronised")["slices"] == 0
    if how == "refusing":
        world.counted_from(
            "closed_discovery_refused" if which != "relay" else "closed_relay_watch_refused", 2
        )
    assert world.counters().get("failures", 0) == 0
    assert world.pong() and world.end() == 0


@pytest.mark.parametrize("given", [("stdout",), ("stderr",), ("stdout", "stderr")])
@pytest.mark.parametrize("times", [1, 2])
def test_an_end_does_not_wait_for_readers_of_what_it_says(world, given, times):
    """Full pipes that nobody reads."""
    reading, writing = os.pipe()
    world.start(**dict.fromkeys(given, writing), wait=None)
    while world.process.poll() is None and not _listens(world):
        pass
    # By a description of its own, so that the program's stays as a shell hands it over.
    full = os.open(f"/proc/self/fd/{writing}", os.O_WRONLY | os.O_NONBLOCK)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(full, b"x")
    for _ in range(times):
        world.process.send_signal(signal.SIGTERM)
    assert world.process.wait(PATIENCE) == 0
    for descriptor in (reading, writing, full):
        os.close(descriptor)


def _listens(world):
    try:
        return world.pong()
    except OSError:
        return False


def test_counters_that_nobody_reads_do_not_stop_it(world):
    world.start()
    world.process.send_signal(signal.SIGUSR1)
    assert stat.S_ISFIFO(os.fstat(world.process.stdout.fileno()).st_mode)
    # Some hundred fill a pipe; each is told before the next is asked for, for the loop answers in
    # between.
    for _ in range(300):
        world.process.send_signal(signal.SIGUSR1)
        assert world.pong()
    assert world.end() == 0


def called_line(world):
    """The relay's side of a call with a slice's first spare line, held: nothing of it is
    answered."""
    world.start()
    world.listed("s1", "s2", "s3")
    streams = world.stands(subscribe(1), SLICE_ASSIGNED, TABLE_ENTRY)
    return world.relay.next("call"), streams


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
def test_it_ends_at_once_whatever_is_on_its_way(world, more):
    call, (stream, _) = called_line(world)
    assert call.call["params"]["orders"]
    if more == "half a news line":
        stream.send(b'{"jsonrpc":"2.0","method":"ACK","params":{"side')
    if more == "a flood of reports":
        collector = world.dial()
        collector.send(resp("SOURCE", "az", "a"))
        world.logged("collector_connected")
        collector.socket.setblocking(False)
        report = resp(
            "LOAD", "az", "a", "host", "s1", "n", "9", "bad", "0", "avg", "9.0", "window", "500.0"
        )
        try:
            while collector.socket.send(report * 200):
                pass
        except BlockingIOError:
            pass
    if more == "with SIGHUP before":
        world.process.send_signal(signal.SIGHUP)
    world.process.send_signal(signal.SIGTERM)
    if more == "twice":
        world.process.send_signal(signal.SIGTERM)
    if more == "with SIGHUP":
        world.process.send_signal(signal.SIGHUP)
    assert world.process.wait(PATIENCE) == 0


# Reload


def test_a_call_under_way_ends_at_the_old_relay_and_what_comes_next_goes_to_the_new(world):
    old, _ = called_line(world)
    moved = Place(called)
    world.places.append(moved)
    world.write(distributor={"address": moved.address})
    world.process.send_signal(signal.SIGHUP)
    stream = moved.next("watch")
    old.send(accepted(old, old.call))
    stream.send(
        {"id": stream.call["id"], "result": True}, subscribe(1), SLICE_ASSIGNED, TABLE_ENTRY
    )
    # The mark of the call is not answered: it is asked for again, and by the new address.
    assert moved.next("call").call["params"]["orders"]
    assert old.ended() and world.pong()


def test_a_call_of_unknown_end_is_judged_by_the_new_relay(world):
    old, _ = called_line(world)
    moved = Place(called)
    world.places.append(moved)
    world.write(distributor={"address": moved.address})
    old.close(reset=True)
    world.logged("call_unknown")
    world.process.send_signal(signal.SIGHUP)
    for _ in range(3):  # news on two connections, and the look at what stands
        stream = moved.next("watch")
        stream.send(
            {"id": stream.call["id"], "result": True}, subscribe(1), SLICE_ASSIGNED, TABLE_ENTRY
        )
    assert world.logged("call_compared")["matching"] == 0
    again = moved.next("call")
    assert again.call["params"]["orders"][0]["op"] in ("SET", "LIMIT") and world.pong()


def test_a_whole_list_half_read_is_read_at_the_new_address(world):
    world.start()
    whole = world.discovery.next("whole")
    body = chunk(world.listing("s1", "s2"))
    whole.send(CHUNKED + body[:60])
    moved = Place(asked)
    world.places.append(moved)
    for _ in range(2):  # and twice in a row
        world.write(discovery=moved.address)
        world.process.send_signal(signal.SIGHUP)
        world.logged("reloaded")
    moved.next("whole").send(
        head("Content-Length: 49"), b'{"rev":7,"all":true,"targets":[' + b" " * 16 + b"]}"
    )
    assert world.logged("endpoint_list")["version"] == 7
    moved.next("watch").send(CHUNKED, chunk(b"\n"))
    assert whole.ended()
    assert world.pong()


def test_there_and_back_to_the_old_address(world):
    world.start()
    watches = world.listed("s1", "s2", "s3")
    world.logged("endpoint_list")
    moved = Place(asked)
    world.places.append(moved)
    world.write(discovery=moved.address)
    world.process.send_signal(signal.SIGHUP)
    left = moved.next("watch")  # which says nothing
    world.write()
    world.process.send_signal(signal.SIGHUP)
    world.logged("reloaded")
    world.logged("reloaded")
    watches[0].send(chunk(world.listing("s1", "s2", rev=2)))
    assert world.logged("endpoint_list")["version"] == 2 and left.ended()
    watches[0].send(
        chunk(world.listing("s1", "s2", rev=3))
    )  # only those at the other address have gone
    assert world.logged("endpoint_list")["version"] == 3 and world.pong()


def test_relay_and_discovery_move_together(world):
    world.start()
    old = world.listed("s1", "s2", "s3") + world.stands(subscribe(1), SLICE_ASSIGNED, TABLE_ENTRY)
    world.logged("watch_synchronised")
    discovery, relay = Place(asked), Place(called)
    world.places += [discovery, relay]
    world.write(discovery=discovery.address, distributor={"address": relay.address})
    world.process.send_signal(signal.SIGHUP)
    stream = relay.next("watch")
    stream.send(
        {"id": stream.call["id"], "result": True}, subscribe(1), SLICE_ASSIGNED, TABLE_ENTRY
    )
    discovery.next("watch").send(CHUNKED, chunk(world.listing("s1", "s2", "s3", rev=5)))
    assert world.logged("endpoint_list")["version"] == 5 and world.pong()
    assert all(peer.ended() for peer in old)  # once the new ones stand, and not for their silence
    world.counted_from("closed_relay_watch_moved", 1)
    assert world.counters().get("events_ProxyDisconnected", 0) == 0
