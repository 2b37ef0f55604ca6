"""The endpoint list on loopback sockets: watches that stall, end or fall behind, and complete lists
that are truncated."""

import time

import orjson
import pytest
from helpers import SLICE_ASSIGNED, TABLE_ENTRY, listed_server
from loopback_peers import CHUNKED, STEP_TIMEOUT_S, chunk, http_head, proxy_connected

END = b"0\r\n\r\n"


def update(version, *entries):
    return {"rev": version, "all": False, "targets": list(entries)}


def body(message) -> bytes:
    return orjson.dumps(message) + b"\n"


@pytest.mark.parametrize(
    "last",
    [
        CHUNKED,
        CHUNKED + b"3",
        CHUNKED + chunk(b"\n"),
        CHUNKED + chunk(update(2, listed_server("s1"))),
        CHUNKED + b"%x\r\n%s" % (200, body(update(3, listed_server("s2", "terminating")))[:60]),
    ],
    ids=["headers", "a chunk's size", "an empty line", "a chunk", "half an object"],
)
def test_a_watch_that_stalls_is_closed_and_its_updates_are_requested_again(deployment, last):
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2")), END
    )
    stalled, other = [deployment.discovery.next("watch") for _ in range(2)]
    stalled.send(last)
    other.send(CHUNKED, chunk(b"\n"))
    retry = deployment.discovery.next(
        "watch"
    )  # replaces the stalled watch at its silence limit, which the other reaches a little later
    retry.send(CHUNKED, chunk(update(9, listed_server("s2", "terminating"))))
    assert deployment.wait_for_event("endpoint_list", version=9) and deployment.ping()
    assert stalled.wait_for_close()


@pytest.mark.parametrize(
    "response",
    [
        CHUNKED + END,
        CHUNKED + chunk(b"\n") + END,
        http_head("Content-Length: 0"),
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        CHUNKED + chunk(update(1)) + END,
    ],
    ids=["nothing", "an empty line", "no body", "503 and no body", "nothing new"],
)
def test_watches_that_keep_ending_at_once_are_requested_with_a_delay(deployment, response):
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2")), END
    )
    started = time.monotonic()
    for _ in range(8):
        deployment.discovery.next("watch").send(response)
    # Two at first, then two after each delay of 300 ms; without a delay all eight arrive within
    # milliseconds.
    assert time.monotonic() - started > 0.7
    assert deployment.ping()


def test_a_watch_that_ends_after_each_update_is_requested_again_at_once(deployment):
    """As with long polling: each response has an update, and a delay would hold back the next."""
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2")), END
    )
    started = time.monotonic()
    for rev in range(
        2, 14
    ):  # two at a time: with the delay of 300 ms after each it would take 1.5 s
        deployment.discovery.next("watch").send(
            CHUNKED, chunk(update(rev, listed_server("s1"))), END
        )
        assert deployment.wait_for_event("endpoint_list", version=rev)
    assert time.monotonic() - started < 1.0


def next_complete_list_request(deployment, watches):
    """The next request for the complete list; until then, each watch gets an empty line every
    0.1 s."""
    deployment.discovery.listener.settimeout(0.1)
    for _ in range(60):
        for watch in watches:
            watch.send(chunk(b"\n"))
        try:
            request = deployment.discovery.next("complete")
        except TimeoutError:
            continue
        deployment.discovery.listener.settimeout(STEP_TIMEOUT_S)
        return request
    raise AssertionError("the complete list was not requested")


def test_updates_that_watches_withhold_are_found_on_the_complete_list(deployment):
    """The watches send empty lines and no updates; the complete list is requested from time to
    time."""
    deployment.start()
    watches = deployment.serve_endpoint_list("s1", "s2")
    deployment.wait_for_event("endpoint_list", version=1)
    message = deployment.endpoint_list_message("s1", "s2", rev=5)
    message["targets"][1]["state"] = "terminating"
    next_complete_list_request(deployment, watches).send(CHUNKED, chunk(message), END)
    assert deployment.wait_for_event("endpoint_list", version=5)["scope"] == "complete"


COMPLETE_LIST = body({"rev": 7, "all": True, "targets": [listed_server("s1"), listed_server("s2")]})
FORMS = {
    "length": lambda data, cut: http_head(f"Content-Length: {len(data)}") + data[:cut],
    "chunked": lambda data, cut: CHUNKED + (b"%x\r\n" % len(data) + data + b"\r\n" + END)[:cut],
    "until its end": lambda data, cut: http_head("Connection: close") + data[:cut],
}


@pytest.mark.parametrize("form", FORMS)
def test_a_complete_list_is_accepted_in_each_framing_and_may_end_the_connection(deployment, form):
    deployment.start()
    request = deployment.discovery.next("complete")
    request.send(FORMS[form](COMPLETE_LIST, None))
    request.close()
    assert deployment.wait_for_event("endpoint_list", version=7)["entries"] == 2


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("cut", [0, 40, -12])
def test_a_complete_list_that_is_truncated_is_discarded_and_requested_again(deployment, form, cut):
    deployment.start()
    request = deployment.discovery.next("complete")
    request.send(FORMS[form](COMPLETE_LIST, cut))
    request.close()
    retry = deployment.discovery.next("complete")
    assert not deployment.logged_events("endpoint_list")
    retry.send(FORMS[form](COMPLETE_LIST, None))
    retry.close()
    assert deployment.wait_for_event("endpoint_list", version=7)


@pytest.mark.parametrize(
    "status", [b"503 Service Unavailable", b"204 No Content", b"404 Not Found"]
)
def test_a_request_for_the_complete_list_that_fails_is_retried(deployment, status):
    deployment.start()
    deployment.discovery.next("complete").send(
        b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
    )
    for _ in range(2):
        deployment.discovery.next("watch").send(CHUNKED, chunk(b"\n"))
    started = time.monotonic()
    retry = deployment.discovery.next("complete")
    assert (
        0.1 < time.monotonic() - started < 2.0
    )  # neither at once nor only with the next silence or periodic request
    retry.send(FORMS["length"](COMPLETE_LIST, None))
    assert deployment.wait_for_event("endpoint_list", version=7)


def test_an_older_version_after_a_newer_one_restores_no_server(deployment):
    deployment.start()
    first, second = deployment.serve_endpoint_list("s1", "s2")
    first.send(chunk(update(4, listed_server("s2", "terminating"))))
    assert deployment.wait_for_event("endpoint_list", version=4)
    second.send(chunk(update(3, listed_server("s2"))))
    second.send(chunk(update(5, listed_server("s1"))))
    assert deployment.wait_for_event("endpoint_list", version=5)
    assert deployment.counters()["list_already_known"] == 1


@pytest.mark.parametrize("end", ["chunk", "line", "reset"])
def test_a_drain_and_a_new_server_in_the_last_bytes_of_a_watch_count(deployment, end):
    deployment.start()
    first, _ = deployment.serve_endpoint_list("s1", "s2", "s3")
    deployment.wait_for_event("endpoint_list")
    deployment.serve_relay_watches(proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY)
    deployment.relay.next("call")
    line = body(update(2, listed_server("s1", "terminating"), listed_server("s9", boot_ms=1)))
    # The line is complete, even where the end of its chunk is never sent.
    first.send(b"%x\r\n%s%s" % (len(line), line, b"\r\n" if end == "chunk" else b""))
    if end == "reset":
        assert deployment.wait_for_event(
            "endpoint_list", version=2
        )  # a reset discards what is still unread
    first.close(reset=end == "reset")
    if end != "reset":
        assert deployment.wait_for_event("endpoint_list", version=2)["entries"] == 2
    assert deployment.ping()


def test_an_older_complete_list_beside_open_watches_restores_no_server(deployment):
    deployment.start()
    watches = deployment.serve_endpoint_list("s1", "s2")
    watches[0].send(chunk(update(4, listed_server("s2", "terminating"))))
    assert deployment.wait_for_event("endpoint_list", version=4)
    check = next_complete_list_request(deployment, watches)  # the reply is older than the watches
    check.send(CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2", rev=2)), END)
    assert check.wait_for_close()
    assert (
        len(deployment.logged_events("endpoint_list")) == 2
        and deployment.counters()["list_already_known"] == 1
    )


def test_a_list_of_thousands_with_invalid_and_repeated_entries_is_read_except_for_those(
    deployment,
):
    deployment.start()
    message = {"rev": 3, "all": True, "targets": [listed_server(f"s{k}") for k in range(2000)]}
    message["targets"][5] = {"uid": 5}
    message["targets"].append(message["targets"][7])
    deployment.discovery.next("complete").send(FORMS["length"](body(message), None))
    # With an invalid entry the list counts as changes only: no server is removed because of it, and
    # the complete list is requested again.
    assert deployment.wait_for_event("endpoint_list", version=3) == {
        **deployment.log[-1],
        "scope": "changes",
        "entries": 2000,
    }
    deployment.discovery.next("complete")
    assert len(deployment.logged_events("bad_entry")) == 1 and deployment.ping()
