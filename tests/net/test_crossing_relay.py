"""Calls, notifications and assignments that cross each other at the relay, on loopback sockets.

The process is stopped where two inputs must arrive in one iteration of its event loop.
"""

import time

import pytest
from helpers import SETTINGS, listed_server
from loopback_peers import (
    STEP_TIMEOUT_S,
    apply_reply,
    chunk,
    notification,
    one_loop_iteration,
    proxy_connected,
)

NO_HEALTH_CHECKS = SETTINGS | {"limits": {"probes": False}}
EXCLUSIVE = NO_HEALTH_CHECKS | {
    "familyInfo": SETTINGS["familyInfo"] | {"oneOwner": True, "lease": 2e8, "lingers": 1e8}
}


def slice_assignment(slice_id, assigned=True):
    return notification("GRANT", partition=slice_id, yes=assigned)


def table_entry(slice_id, server_id, weight=1.0):
    return notification("ROW", partition=slice_id, host=server_id, share=weight)


def acknowledgement(proxy_id, nonce):
    return notification("ACK", sidecar=proxy_id, version=nonce, lag_ms=5.0)


PING = {"jsonrpc": "2.0", "method": "ping"}
PRESENT_STATE = (
    proxy_connected(1),
    proxy_connected(2),
    slice_assignment(4),
    table_entry(4, "s1"),
    slice_assignment(5),
    table_entry(5, "s2"),
)


class RelayScene:
    """An assigner with two proxies and two slices, whose first call awaits its reply."""

    def __init__(self, deployment, settings=NO_HEALTH_CHECKS, present_state=PRESENT_STATE):
        self.deployment, self.list_version = deployment, 1
        deployment.start(settings=settings)
        self.watches = deployment.serve_endpoint_list("s1", "s2", "s3")
        self.streams = deployment.serve_relay_watches(*present_state)
        self.peer = deployment.relay.next("call")
        self.call = self.peer.call

    def reply(self, acknowledge=True):
        self.peer.send(apply_reply(self.peer, self.call))
        nonce = nonce_of(self.call)
        if acknowledge and nonce is not None:
            self.notify(acknowledgement(1, nonce), acknowledgement(2, nonce))
        return self

    def await_both_streams(self):
        """Waits until both streams are synchronised; one may take longer on a busy machine."""
        self.deployment.wait_for_event("watch_synchronised", streams=2)
        return self

    def notify(self, *notifications):
        for stream in self.streams:
            stream.send(*notifications)

    def drain(self, server_id):
        self.list_version += 1
        update = {
            "rev": self.list_version,
            "all": False,
            "targets": [listed_server(server_id, "terminating")],
        }
        for watch in self.watches:
            watch.send(chunk(update))

    def next_call(self):
        """The next call, on a new connection if this one was closed as idle."""
        try:
            self.call = self.peer.read_object()
        except EOFError:
            return self.call_on_new_connection()
        return self.call

    def call_on_new_connection(self):
        """The next call, which arrives on a new connection."""
        self.peer = self.deployment.relay.next("call")
        self.call = self.peer.call
        return self.call

    def reply_until(self, matches):
        """Replies to calls until one has a matching order; returns that call."""
        while not any(matches(order) for order in self.call["params"]["orders"]):
            self.reply()
            self.next_call()
        return self.call


def serve_next_streams(deployment, *present_state):
    """Sends a state on the next two streams: a replacement, and the snapshot that verifies tables
    just reported. Returns them."""
    streams = []
    for _ in range(2):
        streams.append(deployment.relay.next("watch"))
        streams[-1].send({"id": streams[-1].call["id"], "result": True}, *present_state)
    return streams


def nonce_of(call):
    return next((o["nonce_out"] for o in call["params"]["orders"] if o["op"] == "SYNC"), None)


def changed_tables(call):
    return {o["table"] for o in call["params"]["orders"] if o["op"] in ("SET", "DEL")}


def ejects(server_id):
    return lambda order: order["op"] == "OUT" and order["host"] == server_id


def test_a_reply_that_arrives_with_the_end_of_its_connection_is_read(deployment):
    scene = RelayScene(deployment)
    with one_loop_iteration(deployment):
        scene.reply(acknowledge=False)
        scene.peer.close()
    scene.notify(acknowledgement(1, nonce_of(scene.call)), acknowledgement(2, nonce_of(scene.call)))
    scene.drain("s1")
    assert scene.call_on_new_connection()["params"]["orders"]
    assert (
        not deployment.logged_events("call_unknown")
        and deployment.counters()["relay_answered"] == 1
    )


@pytest.mark.parametrize("carried_out", [False, True])
def test_after_a_late_reply_a_snapshot_resolves_the_call(deployment, carried_out):
    scene = RelayScene(deployment)
    deployment.wait_for_event("call_unknown", why="silent")
    scene.peer.send(apply_reply(scene.peer, scene.call))  # too late: the connection is closed
    entries = [
        table_entry(o["table"], o["host"], o["share"])
        for o in scene.call["params"]["orders"]
        if o["op"] == "SET"
    ]
    snapshot = deployment.relay.next("watch")
    snapshot.send(
        {"id": snapshot.call["id"], "result": True},
        *PRESENT_STATE,
        *(entries if carried_out else ()),
    )
    assert deployment.wait_for_event("call_compared")["matching"] == (
        len(changed_tables(scene.call)) if carried_out else 0
    )
    if carried_out:
        scene.notify(
            acknowledgement(1, nonce_of(scene.call)), acknowledgement(2, nonce_of(scene.call))
        )
        scene.drain("s1")
    first, next_call = changed_tables(scene.call), scene.call_on_new_connection()
    assert next_call["params"]["orders"] and (carried_out or first <= changed_tables(next_call))


def test_a_reply_received_byte_by_byte_is_read(deployment):
    scene = RelayScene(deployment)
    reply = b'{"jsonrpc":"2.0","id":%d,"result":{"taken":%d}}\n' % (
        scene.call["id"],
        len(scene.call["params"]["orders"]),
    )
    for byte in reply:
        scene.peer.send(bytes([byte]))
    scene.notify(acknowledgement(1, nonce_of(scene.call)), acknowledgement(2, nonce_of(scene.call)))
    scene.drain("s1")
    assert scene.next_call()["params"]["orders"] and not deployment.logged_events("call_unknown")


@pytest.mark.parametrize(
    "reply, outcome",
    [
        ({"error": {"message": "BUSY"}, "result": {"taken": 1}}, "unknown"),
        ({"error": {"message": "odd"}}, "unknown"),
        ({"result": {"taken": -1}}, "unknown"),
        ({"result": {"taken": 99}}, "unknown"),
        ({"result": 7}, "unknown"),
        ({"error": None, "result": {"taken": 1}}, "answered"),
        ({"error": {"message": "BUSY"}, "result": None}, "rejected"),
    ],
)
def test_a_reply_without_exactly_one_of_result_and_error_is_invalid(deployment, reply, outcome):
    scene = RelayScene(deployment)
    scene.peer.send({"jsonrpc": "2.0", "id": scene.call["id"]} | reply)
    if outcome == "unknown":
        assert deployment.wait_for_event("call_unknown")["why"] == "bad"
    deployment.wait_for_counter(f"relay_{outcome}", 1)


def test_no_order_is_lost_when_the_idle_connection_is_closed_as_a_call_is_due(deployment):
    scene = RelayScene(deployment).reply()
    with one_loop_iteration(deployment):
        scene.peer.close()
        scene.drain("s1")
    scene.call_on_new_connection()
    assert scene.reply_until(ejects("s1"))


def test_a_notification_truncated_on_one_stream_is_read_from_the_other(deployment):
    scene = RelayScene(deployment).reply().await_both_streams()
    disconnected = b'{"jsonrpc":"2.0","method":"CLOSED","params":{"sidecar":2}}\n'
    scene.streams[0].send(disconnected[:30])
    scene.streams[0].close()
    scene.streams[1].send(disconnected)
    deployment.wait_for_event("watch_lost", left=1)
    serve_next_streams(deployment, *(s for s in PRESENT_STATE if s != proxy_connected(2)))
    deployment.wait_for_counter("events_ProxyDisconnected", 1)
    assert deployment.wait_for_event("watch_synchronised")["proxies"] == 1


# Guards against two owners: the remaining stream may lag behind, and what was sent to a proxy that
# it has not reported yet is on its way.
@pytest.mark.parametrize("reported", [True, False])
def test_a_proxy_that_only_a_lost_stream_reported_is_gone_unless_another_stream_reports_it(
    deployment, reported
):
    scene = RelayScene(deployment).reply().await_both_streams()
    scene.streams[0].send(proxy_connected(3))
    deployment.wait_for_counter("events_ProxyConnected", 3)
    scene.streams[0].close()
    deployment.wait_for_event("watch_lost", left=1)
    assert deployment.counters().get("events_ProxyDisconnected", 0) == 0
    if reported:
        scene.streams[1].send(proxy_connected(3))
        deployment.wait_for_counter("events_ProxyResynchronised", 1)
        scene.streams[1].send({"method": "ping"}, acknowledgement(3, nonce_of(scene.call)))
        deployment.wait_for_counter("events_PushAcknowledged", 3)
        counters = deployment.counters()
        assert counters.get("events_ProxyDisconnected", 0) == 0
        assert counters["events_ProxyConnected"] == 3
        return
    # The stream may never report it, and acknowledgements of a proxy that is gone would be awaited.
    scene.streams[1].send({"method": "ping"})
    deployment.wait_for_counter("events_ProxyDisconnected", 1)
    scene.streams[1].send(proxy_connected(3))
    deployment.wait_for_counter("events_ProxyConnected", 4)


def test_after_all_streams_are_lost_the_state_on_the_next_one_is_applied(deployment):
    scene = RelayScene(deployment).reply().await_both_streams()
    with one_loop_iteration(deployment):
        for stream in scene.streams:
            stream.close(reset=True)
    deployment.wait_for_event("watch_lost", left=0)
    streams = serve_next_streams(
        deployment,
        proxy_connected(2),
        proxy_connected(3),
        slice_assignment(5),
        table_entry(5, "s3"),
    )
    assert deployment.wait_for_event("watch_synchronised")["slices"] == 1
    # Without a ping, the present state may still lack proxy 1.
    assert deployment.counters().get("events_ProxyDisconnected", 0) == 0
    for stream in streams:
        stream.send({"method": "ping"})
    deployment.wait_for_counter("events_ProxyDisconnected", 1)
    counters = deployment.counters()
    # What only the lost streams would have carried is never repeated: proxy 1 has left, proxy 2 may
    # have reconnected or kept its stream, and proxy 3 is new.
    assert counters["events_ProxyDisconnected"] == 1
    assert counters["events_ProxyResynchronised"] == 1 and counters["events_ProxyConnected"] == 3


def test_a_slice_unassigned_during_a_call_about_it_gets_no_further_entry(deployment):
    scene = RelayScene(deployment)
    assert 4 in changed_tables(scene.call)
    scene.notify(slice_assignment(4, False))
    scene.reply()
    scene.drain("s1")
    scene.drain("s2")
    call = scene.next_call()
    while 5 not in changed_tables(call):
        scene.reply()
        call = scene.next_call()
    assert 4 not in changed_tables(call)
    assert deployment.counters()["watch_GRANT"] >= 5


def test_a_slice_unassigned_and_assigned_again_during_a_call_starts_from_its_present_table(
    deployment,
):
    scene = RelayScene(deployment).reply().await_both_streams()
    scene.drain("s1")
    scene.next_call()

    stale = [
        o
        for o in scene.reply_until(lambda o: o["op"] == "SET" and o["table"] == 4)["params"][
            "orders"
        ]
        if o.get("table") == 4
    ]
    other = {"s2": "s3", "s3": "s2"}[stale[0]["host"]]
    deployment.wait_for_event("call_unknown")  # there is no reply
    scene.notify(slice_assignment(4, False), slice_assignment(4), table_entry(4, other))
    # The snapshot for the unresolved call, and the one for the table that was just reported.
    serve_next_streams(
        deployment,
        proxy_connected(1),
        proxy_connected(2),
        slice_assignment(4),
        table_entry(4, other),
        slice_assignment(5),
        table_entry(5, "s2"),
    )
    assert not [o for o in scene.call_on_new_connection()["params"]["orders"] if o in stale], (
        "an order that was planned before the assignment"
    )


def test_a_table_from_before_a_call_is_not_applied_after_it(deployment):
    """The second stream was requested before the call, and its table from before the call arrives
    after the reply."""
    deployment.start(settings=NO_HEALTH_CHECKS)
    deployment.serve_endpoint_list("s1", "s2", "s3")
    first = deployment.relay.next("watch")
    first.send({"id": first.call["id"], "result": True}, *PRESENT_STATE)
    second = deployment.relay.next("watch")
    peer = deployment.relay.next("call")
    peer.send(apply_reply(peer, peer.call))
    first.send(acknowledgement(1, nonce_of(peer.call)), acknowledgement(2, nonce_of(peer.call)))
    deployment.wait_for_counter("events_PushAcknowledged", 2)
    second.send({"id": second.call["id"], "result": True}, *PRESENT_STATE)
    snapshot = deployment.relay.next("watch")
    snapshot.send(
        {"id": snapshot.call["id"], "result": True},
        *PRESENT_STATE,
        *(
            table_entry(o["table"], o["host"], o["share"])
            for o in peer.call["params"]["orders"]
            if o["op"] == "SET"
        ),
        PING,
    )
    deployment.wait_for_counter_at_least("closed_relay_watch_done", 1)
    assert (
        not deployment.logged_events("snapshot_differs")
        and deployment.counters().get("snapshot_differs", 0) == 0
    )


def test_a_table_entry_that_crosses_its_order_does_not_cause_the_order_again(deployment):
    scene = RelayScene(deployment)
    weights = [o for o in scene.call["params"]["orders"] if o["op"] == "SET"]
    scene.notify(*(table_entry(o["table"], o["host"], o["share"]) for o in weights))
    scene.reply()
    scene.drain("s3")
    scene.next_call()
    assert [o for o in scene.call["params"]["orders"] if o in weights] == []


@pytest.mark.parametrize(
    "acknowledgements",
    [
        lambda nonce: (
            notification("CLOSED", sidecar=2),
            acknowledgement(2, nonce),
            acknowledgement(1, nonce),
        ),  # by a proxy that has disconnected
        lambda nonce: (
            acknowledgement(1, nonce),
            acknowledgement(1, nonce),
            acknowledgement(2, nonce),
        ),  # twice
        lambda nonce: (
            acknowledgement(1, nonce),
            notification("CLOSED", sidecar=2),
            proxy_connected(2),
            acknowledgement(2, nonce),
        ),  # disconnected and connected again in between
        lambda nonce: (
            acknowledgement(1, nonce),
            acknowledgement(2, nonce + 40),
            acknowledgement(2, nonce - 1),
            acknowledgement(2, nonce),
        ),  # of another push
    ],
    ids=["by one who left", "twice", "joined anew", "of another push"],
)
def test_irregular_acknowledgements_delay_nothing(deployment, acknowledgements):
    scene = RelayScene(deployment)
    scene.reply(acknowledge=False)
    scene.notify(*acknowledgements(nonce_of(scene.call)))
    scene.drain("s1")
    scene.next_call()
    assert scene.reply_until(ejects("s1")) and deployment.counters().get("failures", 0) == 0


def test_a_proxy_that_never_acknowledges_does_not_delay_a_drain(deployment):
    scene = RelayScene(deployment)
    scene.reply(acknowledge=False)
    scene.notify(acknowledgement(1, nonce_of(scene.call)))
    scene.drain("s1")
    scene.next_call()
    assert scene.reply_until(ejects("s1"))


# Exclusive ownership.


def test_with_exclusive_ownership_the_next_server_waits_for_the_lease_and_all_acknowledgements(
    deployment,
):
    scene = RelayScene(deployment, EXCLUSIVE)
    scene.reply()
    scene.drain("s1")
    call = scene.next_call()
    while {"op": "DEL", "table": 4} not in call["params"]["orders"]:
        scene.reply()
        call = scene.next_call()
    # One proxy has acknowledged and the other has not: no server may own the slice yet.
    scene.reply(acknowledge=False)
    scene.notify(acknowledgement(1, nonce_of(call)))
    scene.peer.socket.settimeout(0.8)
    with pytest.raises(TimeoutError):
        while 4 not in changed_tables(scene.next_call()):
            scene.reply(acknowledge=False)
            scene.notify(acknowledgement(1, nonce_of(scene.call)))
    scene.peer.socket.settimeout(STEP_TIMEOUT_S)
    scene.notify(acknowledgement(2, nonce_of(call)))
    while 4 not in changed_tables(call := scene.next_call()):
        scene.reply()
    assert [o["host"] for o in call["params"]["orders"] if o.get("table") == 4] != ["s1"]


def test_with_exclusive_ownership_a_slice_assigned_again_waits_for_writes_of_others(deployment):
    """Another controller may have cleared the slice's table just before; writes to its server may
    continue for 1.5 s."""
    lingering_writes = EXCLUSIVE | {"familyInfo": EXCLUSIVE["familyInfo"] | {"lingers": 15e8}}
    scene = RelayScene(deployment, lingering_writes).reply()
    scene.notify(slice_assignment(4, False))
    scene.notify(slice_assignment(4))
    started = time.monotonic()
    scene.next_call()
    scene.reply_until(lambda o: o["op"] == "SET" and o["table"] == 4)
    assert time.monotonic() - started >= 1.5 and deployment.counters().get("failures", 0) == 0
