"""A new configuration while it runs: addresses move, what stands goes on."""

import json
import signal
import socket
import subprocess
import sys

import pytest
from helpers import (
    PROXY_CONNECTED,
    PROXY_DISCONNECTED,
    PUSH_ACKNOWLEDGED,
    SLICE_ASSIGNED,
    SUCCESS_REPLY,
    TABLE_ENTRY,
    Transport,
    complete_list,
    feed,
    http_response,
    listed_server,
    make_assigner,
    open_watch_stream,
    raw_config,
    sent_orders,
    suspend_reconciliation,
    take_pending_events,
    weight_order,
)

from havendyke import config
from havendyke import interface as core

NEW = {"distributor": {"address": "127.0.0.2:6400"}, "discovery": "127.0.0.2:8500"}


def reload(assigner, **more):
    assigner.reload(config.read_config(raw_config(**NEW | more), {}))


@pytest.fixture
def running(tmp_path):
    """The program itself; what writes its file; what waits for a line of its log."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"

    def write(raw):
        (tmp_path / "config.json").write_text(
            json.dumps(raw | {"listen": listen}) if isinstance(raw, dict) else raw
        )

    def logged(event):
        return next(
            logged for logged in map(json.loads, process.stderr) if logged["event"] == event
        )

    write(raw_config(discovery="127.0.0.1:1", distributor={"address": "127.0.0.1:1"}))
    process = subprocess.Popen(
        [sys.executable, "-m", "havendyke", "--config", str(tmp_path / "config.json")],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    try:
        logged("listening")
        yield process, write, logged
    finally:
        process.kill()
        process.communicate()


def at(hub, name, host):
    """The open connections of these peers at an address, brought up."""
    made = [
        c for c in hub.connections if c.peer.name == name and not c.over and c.address[0] == host
    ]
    for c in made:
        if c.transport is None:
            c.connection_made(Transport())
    return made


@pytest.mark.parametrize("times", [1, 2])
def test_news_from_the_new_address_stands_before_the_old_goes_and_nobody_has_left(times):
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    take_pending_events(assigner)
    (old,) = at(hub, "relay_watch", "127.0.0.1")
    if times == 2:
        reload(
            assigner, distributor={"address": "127.0.0.3:6400"}
        )  # and again, in the middle of it
    reload(assigner)
    feed(old, [PUSH_ACKNOWLEDGED])
    assert not old.over
    (new,) = at(hub, "relay_watch", "127.0.0.2")
    feed(new, [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY])
    hub.run_for(100)
    assert not old.over
    hub.run_for(1000)
    hub.run()
    assert [c for c in hub.connections if c.peer.name == "relay_watch" and not c.over] == [new]
    assert [type(e).__name__ for e in take_pending_events(assigner)] == ["PushAcknowledged"]
    feed(new, [PROXY_DISCONNECTED])
    assert [type(e).__name__ for e in take_pending_events(assigner)] == ["ProxyDisconnected"]


def test_an_old_address_that_closes_first_takes_nobody_along():
    assigner, hub = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), hub, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    take_pending_events(assigner)
    (old,) = at(hub, "relay_watch", "127.0.0.1")
    reload(assigner)
    feed(
        at(hub, "relay_watch", "127.0.0.2")[0],
        [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY],
    )
    hub.run_for(100)
    old.close("ended")
    hub.run_for(1000)
    assert take_pending_events(assigner) == []


@pytest.mark.parametrize("ends", ["answered", "broken", "idle"])
def test_a_call_under_way_ends_at_the_old_address_and_the_next_goes_to_the_new(ends):
    assigner, hub = make_assigner()
    relay = suspend_reconciliation(assigner).relay
    relay.order([weight_order(1, "s1")])
    (old,) = at(hub, "relay", "127.0.0.1")
    if ends == "idle":
        feed(old, [{"id": sent_orders(old)[1], "result": {"taken": 1}}])
    reload(assigner)
    relay.order([weight_order(2, "s1")])
    assert old.over == (ends == "idle")
    if ends == "answered":
        feed(old, [{"id": sent_orders(old)[1], "result": {"taken": 1}}])
    elif ends == "broken":
        old.close("reset")
        hub.run_for(900)
    (new,) = at(hub, "relay", "127.0.0.2")
    hub.run()
    assert old.over and [o["table"] for o in sent_orders(new)[0][-1]] == (
        [1, 2] if ends == "broken" else [2]
    )


def test_the_watch_at_the_new_address_stands_before_the_old_ones_go():
    assigner, hub = make_assigner(discovery_streams=1)
    suspend_reconciliation(assigner).discovery.open_watches()
    (old,) = at(hub, "discovery", "127.0.0.1")
    feed(old, http_response({"rev": 3, "all": False, "targets": []}))
    reload(assigner)
    whole, watch = at(hub, "discovery", "127.0.0.2")
    take_pending_events(assigner)
    feed(
        old,
        http_response(
            {"rev": 4, "all": False, "targets": [listed_server("s1", "terminating")]}
        ).split(b"\r\n\r\n", 1)[1],
    )
    assert len(take_pending_events(assigner, core.EndpointListUpdate)) == 1 and not old.over
    feed(
        watch,
        http_response({"rev": 4, "all": False, "targets": [listed_server("s1", "terminating")]}),
    )
    feed(whole, http_response(complete_list("s1", rev=4), chunked=False))
    assert [e.scope for e in take_pending_events(assigner, core.EndpointListUpdate)] == ["complete"]
    hub.run_for(600)
    hub.run()
    assert old.over and not watch.over and assigner.discovery.queries == [watch.peer]


def test_what_waits_for_a_restart_is_said():
    assigner, hub = make_assigner()
    suspend_reconciliation(assigner)
    reload(assigner, listen="127.0.0.9:1", limits={"memory_mb": 64})
    assert [more["after_restart"] for event, more in hub.logged if event == "reloaded"] == [
        ["listen", "limits"]
    ]


@pytest.mark.parametrize(
    "bad, said",
    [
        ("", "not JSON"),
        ('{"name":', "not JSON"),
        (None, "No such file"),
        (raw_config(discovery="x"), "'discovery'"),
    ],
)
def test_a_bad_file_is_said_and_the_old_one_goes_on(tmp_path, running, bad, said):
    process, write, logged = running
    if bad is None:
        (tmp_path / "config.json").unlink()
    else:
        write(bad)
    process.send_signal(signal.SIGHUP)
    assert said in logged("reload_refused")["cause"]
    write(raw_config(**NEW))
    for _ in range(3):
        process.send_signal(signal.SIGHUP)
    assert logged("reloaded")["relay"] == ["127.0.0.2", 6400] and process.poll() is None


def whole_of(hub, host="127.0.0.1"):
    return next(c for c in at(hub, "discovery", host) if not c.peer.follow)


@pytest.mark.parametrize("lost", ["before the look", "under the look"])
def test_an_old_list_passed_over_beside_a_watch_is_taken_once_none_stands(lost):
    assigner, hub = make_assigner(discovery_streams=1)
    discovery = suspend_reconciliation(assigner).discovery
    discovery.open_watches()
    (watch,) = at(hub, "discovery", "127.0.0.1")
    feed(watch, http_response({"rev": 5, "all": False, "targets": [listed_server("s1")]}))
    old = http_response(complete_list("s1", "s2", rev=2), chunked=False)
    discovery.check()
    feed(whole_of(hub), old)
    assert discovery.version == 5
    if lost == "under the look":
        discovery.check()
    watch.close("reset")  # discovery itself may have gone, and begun its versions anew
    if lost == "before the look":
        hub.run_for(400)
    feed(whole_of(hub), old)
    assert discovery.version == 2


def test_discovery_at_a_new_address_may_have_lower_versions_while_the_old_watch_stands():
    assigner, hub = make_assigner(discovery_streams=1)
    discovery = suspend_reconciliation(assigner).discovery
    discovery.open_watches()
    feed(
        at(hub, "discovery", "127.0.0.1")[0],
        http_response({"rev": 5, "all": False, "targets": [listed_server("s1")]}),
    )
    reload(assigner)
    feed(whole_of(hub, "127.0.0.2"), http_response(complete_list("s1", "s2", rev=2), chunked=False))
    assert discovery.version == 2
