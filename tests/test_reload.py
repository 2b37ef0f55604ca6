"""Reloads of the configuration: new addresses of peers, with established connections continuing."""

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

NEW_ADDRESSES = {"distributor": {"address": "127.0.0.2:6400"}, "discovery": "127.0.0.2:8500"}


def reload(assigner, **changes):
    assigner.reload(config.read_config(raw_config(**NEW_ADDRESSES | changes), {}))


@pytest.fixture
def running(tmp_path):
    """The running program, a function that writes its file and one that waits for a log event."""
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


def connections_at(event_loop, name, host):
    """Establishes and returns the open connections to a kind of peer at an address."""
    connections = [
        c for c in event_loop.made if c.peer.name == name and not c.ended and c.address[0] == host
    ]
    for connection in connections:
        if connection.transport is None:
            connection.connection_made(Transport())
    return connections


@pytest.mark.parametrize("times", [1, 2])
def test_the_watch_at_the_new_address_is_established_before_the_old_one_is_closed(times):
    assigner, event_loop = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    take_pending_events(assigner)
    (old,) = connections_at(event_loop, "relay_watch", "127.0.0.1")
    if times == 2:
        reload(assigner, distributor={"address": "127.0.0.3:6400"})  # two changes in a row
    reload(assigner)
    feed(old, [PUSH_ACKNOWLEDGED])
    assert not old.ended
    (new,) = connections_at(event_loop, "relay_watch", "127.0.0.2")
    feed(new, [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY])
    event_loop.pass_time(100)
    assert not old.ended
    event_loop.pass_time(1000)
    event_loop.run()
    assert [c for c in event_loop.made if c.peer.name == "relay_watch" and not c.ended] == [new]
    assert [type(e).__name__ for e in take_pending_events(assigner)] == ["PushAcknowledged"]
    feed(new, [PROXY_DISCONNECTED])
    assert [type(e).__name__ for e in take_pending_events(assigner)] == ["ProxyDisconnected"]


def test_no_proxy_is_disconnected_if_the_old_watch_closes_first():
    assigner, event_loop = make_assigner()
    open_watch_stream(
        suspend_reconciliation(assigner), event_loop, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY
    )
    take_pending_events(assigner)
    (old,) = connections_at(event_loop, "relay_watch", "127.0.0.1")
    reload(assigner)
    feed(
        connections_at(event_loop, "relay_watch", "127.0.0.2")[0],
        [SUCCESS_REPLY, PROXY_CONNECTED, SLICE_ASSIGNED, TABLE_ENTRY],
    )
    event_loop.pass_time(100)
    old.close("ended")
    event_loop.pass_time(1000)
    assert take_pending_events(assigner) == []


@pytest.mark.parametrize("ends", ["answered", "broken", "idle"])
def test_a_call_in_flight_ends_at_the_old_address_and_the_next_goes_to_the_new(ends):
    assigner, event_loop = make_assigner()
    relay = suspend_reconciliation(assigner).relay
    relay.order([weight_order(1, "s1")])
    (old,) = connections_at(event_loop, "relay", "127.0.0.1")
    if ends == "idle":
        feed(old, [{"id": sent_orders(old)[1], "result": {"taken": 1}}])
    reload(assigner)
    relay.order([weight_order(2, "s1")])
    assert old.ended == (ends == "idle")
    if ends == "answered":
        feed(old, [{"id": sent_orders(old)[1], "result": {"taken": 1}}])
    elif ends == "broken":
        old.close("reset")
        event_loop.pass_time(900)
    (new,) = connections_at(event_loop, "relay", "127.0.0.2")
    event_loop.run()
    assert old.ended and [o["table"] for o in sent_orders(new)[0][-1]] == (
        [1, 2] if ends == "broken" else [2]
    )


def test_the_discovery_watch_at_the_new_address_is_established_before_the_old_one_is_closed():
    assigner, event_loop = make_assigner(discovery_watch_count=1)
    suspend_reconciliation(assigner).discovery.open_watches()
    (old,) = connections_at(event_loop, "discovery", "127.0.0.1")
    feed(old, http_response({"rev": 3, "all": False, "targets": []}))
    reload(assigner)
    list_query, watch = connections_at(event_loop, "discovery", "127.0.0.2")
    take_pending_events(assigner)
    feed(
        old,
        http_response(
            {"rev": 4, "all": False, "targets": [listed_server("s1", "terminating")]}
        ).split(b"\r\n\r\n", 1)[1],
    )
    assert len(take_pending_events(assigner, core.EndpointListUpdate)) == 1 and not old.ended
    feed(
        watch,
        http_response({"rev": 4, "all": False, "targets": [listed_server("s1", "terminating")]}),
    )
    feed(list_query, http_response(complete_list("s1", rev=4), chunked=False))
    assert [e.scope for e in take_pending_events(assigner, core.EndpointListUpdate)] == ["complete"]
    event_loop.pass_time(600)
    event_loop.run()
    assert old.ended and not watch.ended and assigner.discovery.queries == [watch.peer]


def test_changes_that_need_a_restart_are_logged():
    assigner, event_loop = make_assigner()
    suspend_reconciliation(assigner)
    reload(assigner, listen="127.0.0.9:1", limits={"memory_mb": 64})
    assert [
        fields["after_restart"] for event, fields in event_loop.logged if event == "reloaded"
    ] == [["listen", "limits"]]


@pytest.mark.parametrize(
    "invalid, cause",
    [
        ("", "not JSON"),
        ('{"name":', "not JSON"),
        (None, "No such file"),
        (raw_config(discovery="x"), "'discovery'"),
    ],
)
def test_an_invalid_file_is_logged_and_the_old_configuration_stays(
    tmp_path, running, invalid, cause
):
    process, write, logged = running
    if invalid is None:
        (tmp_path / "config.json").unlink()
    else:
        write(invalid)
    process.send_signal(signal.SIGHUP)
    assert cause in logged("reload_refused")["cause"]
    write(raw_config(**NEW_ADDRESSES))
    for _ in range(3):
        process.send_signal(signal.SIGHUP)
    assert logged("reloaded")["relay"] == ["127.0.0.2", 6400] and process.poll() is None


def complete_list_query(event_loop, host="127.0.0.1"):
    return next(c for c in connections_at(event_loop, "discovery", host) if not c.peer.follow)


@pytest.mark.parametrize("lost", ["before the look", "under the look"])
def test_a_lower_version_ignored_beside_a_watch_is_applied_once_no_watch_is_left(lost):
    assigner, event_loop = make_assigner(discovery_watch_count=1)
    discovery = suspend_reconciliation(assigner).discovery
    discovery.open_watches()
    (watch,) = connections_at(event_loop, "discovery", "127.0.0.1")
    feed(watch, http_response({"rev": 5, "all": False, "targets": [listed_server("s1")]}))
    old = http_response(complete_list("s1", "s2", rev=2), chunked=False)
    discovery.check()
    feed(complete_list_query(event_loop), old)
    assert discovery.version == 5
    if lost == "under the look":
        discovery.check()
    watch.close("reset")  # discovery may have restarted its versions
    if lost == "before the look":
        event_loop.pass_time(400)
    feed(complete_list_query(event_loop), old)
    assert discovery.version == 2


def test_discovery_at_a_new_address_may_have_lower_versions_while_the_old_watch_is_open():
    assigner, event_loop = make_assigner(discovery_watch_count=1)
    discovery = suspend_reconciliation(assigner).discovery
    discovery.open_watches()
    feed(
        connections_at(event_loop, "discovery", "127.0.0.1")[0],
        http_response({"rev": 5, "all": False, "targets": [listed_server("s1")]}),
    )
    reload(assigner)
    feed(
        complete_list_query(event_loop, "127.0.0.2"),
        http_response(complete_list("s1", "s2", rev=2), chunked=False),
    )
    assert discovery.version == 2
