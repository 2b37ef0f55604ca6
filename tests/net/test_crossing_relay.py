"""Calls, notifications and assignments that cross each other at the relay, on loopback sockets.

The process is stopped where two things must come in one iteration of its loop.
"""

import signal
import time
from contextlib import contextmanager

import pytest
from helpers import SETTINGS, listed_server
from loopback_peers import STEP_TIMEOUT_S, apply_reply, chunk, notification, proxy_connected

QUIET = SETTINGS | {"limits": {"probes": False}}
SOLE = QUIET | {
    "familyInfo": SETTINGS["familyInfo"] | {"oneOwner": True, "lease": 2e8, "lingers": 1e8}
}


def grant(piece, yes=True):
    return notification("GRANT", partition=piece, yes=yes)


def row(piece, host, share=1.0):
    return notification("ROW", partition=piece, host=host, share=share)


def ack(proxy, mark):
    return notification("ACK", sidecar=proxy, version=mark, lag_ms=5.0)


STANDS = (proxy_connected(1), proxy_connected(2), grant(4), row(4, "s1"), grant(5), row(5, "s2"))


@contextmanager
def one_look(deployment):
    """What is sent meanwhile comes to the loop together."""
    deployment.process.send_signal(signal.SIGSTOP)
    yield
    deployment.process.send_signal(signal.SIGCONT)


class Site:
    """The assigner with two proxies and two slices, its first call at the relay and not yet
    answered."""

    def __init__(self, deployment, settings=QUIET, stands=STANDS):
        self.deployment, self.rev = deployment, 1
        deployment.start(settings=settings)
        self.watches = deployment.serve_endpoint_list("s1", "s2", "s3")
        self.streams = deployment.serve_relay_watches(*stands)
        self.peer = deployment.relay.next("call")
        self.call = self.peer.call

    def answer(self, marks=True):
        self.peer.send(apply_reply(self.peer, self.call))
        mark = nonce_of(self.call)
        if marks and mark is not None:
            self.tell(ack(1, mark), ack(2, mark))
        return self

    def await_both_streams(self):
        """Both streams are synchronised: on a busy machine one may be lost before the other is."""
        self.deployment.wait_for_event("watch_synchronised", streams=2)
        return self

    def tell(self, *told):
        for stream in self.streams:
            stream.send(*told)

    def drains(self, server):
        self.rev += 1
        told = {"rev": self.rev, "all": False, "targets": [listed_server(server, "terminating")]}
        for watch in self.watches:
            watch.send(chunk(told))

    def next(self):
        """The next call; on another connection where this one stood idle too long."""
        try:
            self.call = self.peer.read_object()
        except EOFError:
            return self.call_on_new_connection()
        return self.call

    def call_on_new_connection(self):
        """The next call, on another connection."""
        self.peer = self.deployment.relay.next("call")
        self.call = self.peer.call
        return self.call

    def until(self, wanted):
        """Calls are answered until one has an order that is asked for."""
        while not any(wanted(order) for order in self.call["params"]["orders"]):
            self.answer()
            self.next()
        return self.call


def tells(deployment, *stands):
    """Both streams that come next get what stands: the new one, and the snapshot that verifies the
    tables that were just reported."""
    for _ in range(2):
        stream = deployment.relay.next("watch")
        stream.send({"id": stream.call["id"], "result": True}, *stands)


def nonce_of(call):
    return next((o["nonce_out"] for o in call["params"]["orders"] if o["op"] == "SYNC"), None)


def tables(call):
    return {o["table"] for o in call["params"]["orders"] if o["op"] in ("SET", "DEL")}


def out_of(server):
    return lambda order: order["op"] == "OUT" and order["host"] == server


def test_a_reply_and_the_end_of_its_connection_in_one_read_are_a_reply(deployment):
    site = Site(deployment)
    with one_look(deployment):
        site.answer(marks=False)
        site.peer.close()
    site.tell(ack(1, nonce_of(site.call)), ack(2, nonce_of(site.call)))
    site.drains("s1")
    assert site.call_on_new_connection()["params"]["orders"]
    assert (
        not deployment.logged_events("call_unknown")
        and deployment.counters()["relay_answered"] == 1
    )


@pytest.mark.parametrize("carried", [False, True])
def test_after_a_late_reply_a_snapshot_resolves_the_call(deployment, carried):
    site = Site(deployment)
    deployment.wait_for_event("call_unknown", why="silent")
    site.peer.send(apply_reply(site.peer, site.call))  # too late: nobody is there
    lines = [
        row(o["table"], o["host"], o["share"])
        for o in site.call["params"]["orders"]
        if o["op"] == "SET"
    ]
    look = deployment.relay.next("watch")
    look.send({"id": look.call["id"], "result": True}, *STANDS, *(lines if carried else ()))
    assert deployment.wait_for_event("call_compared")["matching"] == (
        len(tables(site.call)) if carried else 0
    )
    if carried:
        site.tell(ack(1, nonce_of(site.call)), ack(2, nonce_of(site.call)))
        site.drains("s1")
    first, again = tables(site.call), site.call_on_new_connection()
    assert again["params"]["orders"] and (carried or first <= tables(again))


def test_a_reply_in_single_bytes_is_a_reply(deployment):
    site = Site(deployment)
    told = b'{"jsonrpc":"2.0","id":%d,"result":{"taken":%d}}\n' % (
        site.call["id"],
        len(site.call["params"]["orders"]),
    )
    for byte in told:
        site.peer.send(bytes([byte]))
    site.tell(ack(1, nonce_of(site.call)), ack(2, nonce_of(site.call)))
    site.drains("s1")
    assert site.next()["params"]["orders"] and not deployment.logged_events("call_unknown")


@pytest.mark.parametrize(
    "told, how",
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
def test_a_reply_with_both_or_neither_of_result_and_error_is_invalid(deployment, told, how):
    site = Site(deployment)
    site.peer.send({"jsonrpc": "2.0", "id": site.call["id"]} | told)
    if how == "unknown":
        assert deployment.wait_for_event("call_unknown")["why"] == "bad"
    deployment.wait_for_counter(f"relay_{how}", 1)


def test_no_order_is_lost_when_the_idle_connection_ends_as_a_call_is_due(deployment):
    site = Site(deployment).answer()
    with one_look(deployment):
        site.peer.close()
        site.drains("s1")
    site.call_on_new_connection()
    assert site.until(out_of("s1"))


def test_a_notification_cut_off_on_one_stream_is_taken_from_the_other(deployment):
    site = Site(deployment).answer().await_both_streams()
    left = b'{"jsonrpc":"2.0","method":"CLOSED","params":{"sidecar":2}}\n'
    site.streams[0].send(left[:30])
    site.streams[0].close()
    site.streams[1].send(left)
    deployment.wait_for_event("watch_lost", left=1)
    tells(deployment, *(s for s in STANDS if s != proxy_connected(2)))
    deployment.wait_for_counter("events_ProxyDisconnected", 1)
    assert deployment.wait_for_event("watch_synchronised")["proxies"] == 1


def test_what_only_a_lost_stream_reported_holds_once_another_reports_it(deployment):
    site = Site(deployment).answer().await_both_streams()
    site.streams[0].send(proxy_connected(3))
    deployment.wait_for_counter("events_ProxyConnected", 3)
    site.streams[0].close()
    # The stream that is left may never bring it, and a proxy that is gone would be waited for.
    deployment.wait_for_counter("events_ProxyDisconnected", 1)
    site.streams[1].send(proxy_connected(3))
    deployment.wait_for_counter("events_ProxyConnected", 4)


def test_after_all_streams_are_lost_the_state_that_the_next_brings_holds(deployment):
    site = Site(deployment).answer().await_both_streams()
    with one_look(deployment):
        for stream in site.streams:
            stream.close(reset=True)
    deployment.wait_for_event("watch_lost", left=0)
    tells(deployment, proxy_connected(2), proxy_connected(3), grant(5), row(5, "s3"))
    assert deployment.wait_for_event("watch_synchronised")["slices"] == 1
    counted = deployment.counters()
    # All that was reported is taken back, since nobody repeats what only the lost streams would
    # have brought.
    assert counted["events_ProxyDisconnected"] == 2 and counted["events_ProxyConnected"] == 4


def test_a_slice_unassigned_during_a_call_about_it_gets_no_further_entry(deployment):
    site = Site(deployment)
    assert 4 in tables(site.call)
    site.tell(grant(4, False))
    site.answer()
    site.drains("s1")
    site.drains("s2")
    call = site.next()
    while 5 not in tables(call):
        site.answer()
        call = site.next()
    assert 4 not in tables(call)
    assert deployment.counters()["watch_GRANT"] >= 5


def test_a_slice_unassigned_and_assigned_again_during_a_call_goes_by_its_present_table(deployment):
    site = Site(deployment).answer().await_both_streams()
    site.drains("s1")
    site.next()

    stale = [
        o
        for o in site.until(lambda o: o["op"] == "SET" and o["table"] == 4)["params"]["orders"]
        if o.get("table") == 4
    ]
    other = {"s2": "s3", "s3": "s2"}[stale[0]["host"]]
    deployment.wait_for_event("call_unknown")  # it is never answered
    site.tell(grant(4, False), grant(4), row(4, other))
    # The snapshot for the unresolved call, and the one for the table that was just reported.
    tells(
        deployment,
        proxy_connected(1),
        proxy_connected(2),
        grant(4),
        row(4, other),
        grant(5),
        row(5, "s2"),
    )
    assert not [o for o in site.call_on_new_connection()["params"]["orders"] if o in stale], (
        "an order of before"
    )


def test_a_table_from_before_a_call_is_not_believed_after_it(deployment):
    """The second stream was requested before the call, and brings the table of then after the
    reply."""
    deployment.start(settings=QUIET)
    deployment.serve_endpoint_list("s1", "s2", "s3")
    one = deployment.relay.next("watch")
    one.send({"id": one.call["id"], "result": True}, *STANDS)
    two = deployment.relay.next("watch")
    peer = deployment.relay.next("call")
    peer.send(apply_reply(peer, peer.call))
    one.send(ack(1, nonce_of(peer.call)), ack(2, nonce_of(peer.call)))
    deployment.wait_for_counter("events_PushAcknowledged", 2)
    two.send({"id": two.call["id"], "result": True}, *STANDS)
    look = deployment.relay.next("watch")
    look.send(
        {"id": look.call["id"], "result": True},
        *STANDS,
        *(
            row(o["table"], o["host"], o["share"])
            for o in peer.call["params"]["orders"]
            if o["op"] == "SET"
        ),
    )
    deployment.wait_for_counter_at_least("closed_relay_watch_done", 1)
    assert (
        not deployment.logged_events("snapshot_differs")
        and deployment.counters().get("snapshot_differs", 0) == 0
    )


def test_a_table_entry_that_crosses_an_order_does_not_repeat_the_order_for_good(deployment):
    site = Site(deployment)
    own = [o for o in site.call["params"]["orders"] if o["op"] == "SET"]
    site.tell(*(row(o["table"], o["host"], o["share"]) for o in own))
    site.answer()
    site.drains("s3")
    site.next()
    assert [o for o in site.call["params"]["orders"] if o in own] == []


@pytest.mark.parametrize(
    "told",
    [
        lambda mark: (
            notification("CLOSED", sidecar=2),
            ack(2, mark),
            ack(1, mark),
        ),  # by one who has left
        lambda mark: (ack(1, mark), ack(1, mark), ack(2, mark)),  # twice
        lambda mark: (
            ack(1, mark),
            notification("CLOSED", sidecar=2),
            proxy_connected(2),
            ack(2, mark),
        ),  # left and joined under it
        lambda mark: (
            ack(1, mark),
            ack(2, mark + 40),
            ack(2, mark - 1),
            ack(2, mark),
        ),  # of another push
    ],
    ids=["by one who left", "twice", "joined anew", "of another push"],
)
def test_odd_acknowledgements_delay_nothing(deployment, told):
    site = Site(deployment)
    site.answer(marks=False)
    site.tell(*told(nonce_of(site.call)))
    site.drains("s1")
    site.next()
    assert site.until(out_of("s1")) and deployment.counters().get("failures", 0) == 0


def test_a_proxy_that_never_acknowledges_does_not_delay_a_drain(deployment):
    site = Site(deployment)
    site.answer(marks=False)
    site.tell(ack(1, nonce_of(site.call)))
    site.drains("s1")
    site.next()
    assert site.until(out_of("s1"))


# Exclusive ownership


def test_with_exclusive_ownership_the_next_owner_waits_for_the_lease_and_all_acknowledgements(
    deployment,
):
    site = Site(deployment, SOLE)
    site.answer()
    site.drains("s1")
    call = site.next()
    while {"op": "DEL", "table": 4} not in call["params"]["orders"]:
        site.answer()
        call = site.next()
    # One proxy has acknowledged and the other has not: nobody may own the slice.
    site.answer(marks=False)
    site.tell(ack(1, nonce_of(call)))
    site.peer.socket.settimeout(0.8)
    with pytest.raises(TimeoutError):
        while 4 not in tables(site.next()):
            site.answer(marks=False)
            site.tell(ack(1, nonce_of(site.call)))
    site.peer.socket.settimeout(STEP_TIMEOUT_S)
    site.tell(ack(2, nonce_of(call)))
    while 4 not in tables(call := site.next()):
        site.answer()
    assert [o["host"] for o in call["params"]["orders"] if o.get("table") == 4] != ["s1"]


def test_with_exclusive_ownership_a_slice_assigned_again_waits_for_writes_of_others(deployment):
    """Whoever owned the slice in between may have cleared its table just now; writes may go on for
    1.5 s."""
    lasting = SOLE | {"familyInfo": SOLE["familyInfo"] | {"lingers": 15e8}}
    site = Site(deployment, lasting).answer()
    site.tell(grant(4, False))
    site.tell(grant(4))
    began = time.monotonic()
    site.next()
    site.until(lambda o: o["op"] == "SET" and o["table"] == 4)
    assert time.monotonic() - began >= 1.5 and deployment.counters().get("failures", 0) == 0
