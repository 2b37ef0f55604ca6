"""The list of servers: watches that stop, end or fall behind, whole lists that are cut, on loopback
sockets."""

import time

import orjson
import pytest
from helpers import SLICE_ASSIGNED, TABLE_ENTRY, listed_server
from loopback_peers import CHUNKED, STEP_TIMEOUT_S, chunk, http_head, proxy_connected

END = b"0\r\n\r\n"


def change(rev, *entries):
    return {"rev": rev, "all": False, "targets": list(entries)}


def body(told) -> bytes:
    return orjson.dumps(told) + b"\n"


@pytest.mark.parametrize(
    "last",
    [
        CHUNKED,
        CHUNKED + b"3",
        CHUNKED + chunk(b"\n"),
        CHUNKED + chunk(change(2, listed_server("s1"))),
        CHUNKED + b"%x\r\n%s" % (200, body(change(3, listed_server("s2", "terminating")))[:60]),
    ],
    ids=["headers", "a chunk's size", "an empty line", "a chunk", "half an object"],
)
def test_a_watch_that_stops_is_given_up_and_what_it_held_back_is_asked_for_again(deployment, last):
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2")), END
    )
    stopped, other = [deployment.discovery.next("watch") for _ in range(2)]
    stopped.send(last)
    other.send(CHUNKED, chunk(b"\n"))
    again = deployment.discovery.next(
        "watch"
    )  # within the silence; the other goes silent too, it was asked a little later
    again.send(CHUNKED, chunk(change(9, listed_server("s2", "terminating"))))
    assert deployment.wait_for_event("endpoint_list", version=9) and deployment.ping()
    assert stopped.wait_for_close()


@pytest.mark.parametrize(
    "answer",
    [
        CHUNKED + END,
        CHUNKED + chunk(b"\n") + END,
        http_head("Content-Length: 0"),
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        CHUNKED + chunk(change(1)) + END,
    ],
    ids=["nothing", "an empty line", "no body", "503 and no body", "nothing new"],
)
def test_watches_that_end_at_once_again_and_again_are_not_asked_for_without_a_pause(
    deployment, answer
):
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2")), END
    )
    began = time.monotonic()
    for _ in range(8):
        deployment.discovery.next("watch").send(answer)
    # Two at first, then two each pause of 300 ms; without one all eight come within some
    # milliseconds.
    assert time.monotonic() - began > 0.7
    assert deployment.ping()


def test_a_watch_that_ends_after_each_news_is_asked_for_at_once(deployment):
    """As a list that is polled with a long answer: each end brought something, and nothing is lost
    between."""
    deployment.start()
    deployment.discovery.next("complete").send(
        CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2")), END
    )
    began = time.monotonic()
    for rev in range(
        2, 14
    ):  # two at a time: with the pause of 300 ms after each it would take 1.5 s
        deployment.discovery.next("watch").send(
            CHUNKED, chunk(change(rev, listed_server("s1"))), END
        )
        assert deployment.wait_for_event("endpoint_list", version=rev)
    assert time.monotonic() - began < 1.0


def looked_at(deployment, watches):
    """The look at the whole list, with an empty line on each watch every tenth of a second until it
    comes."""
    deployment.discovery.listener.settimeout(0.1)
    for _ in range(60):
        for watch in watches:
            watch.send(chunk(b"\n"))
        try:
            found = deployment.discovery.next("complete")
        except TimeoutError:
            continue
        deployment.discovery.listener.settimeout(STEP_TIMEOUT_S)
        return found
    raise AssertionError("the whole list is not looked at")


def test_watches_that_stay_quiet_while_the_list_moves_on_are_found_out(deployment):
    """Their empty lines come, and no news: what they hold back is on the whole list, which is
    looked at now and then."""
    deployment.start()
    quiet = deployment.serve_endpoint_list("s1", "s2")
    deployment.wait_for_event("endpoint_list", version=1)
    told = deployment.endpoint_list_message("s1", "s2", rev=5)
    told["targets"][1]["state"] = "terminating"
    looked_at(deployment, quiet).send(CHUNKED, chunk(told), END)
    assert deployment.wait_for_event("endpoint_list", version=5)["scope"] == "complete"


WHOLE = body({"rev": 7, "all": True, "targets": [listed_server("s1"), listed_server("s2")]})
FORMS = {
    "length": lambda told, cut: http_head(f"Content-Length: {len(told)}") + told[:cut],
    "chunked": lambda told, cut: CHUNKED + (b"%x\r\n" % len(told) + told + b"\r\n" + END)[:cut],
    "until its end": lambda told, cut: http_head("Connection: close") + told[:cut],
}


@pytest.mark.parametrize("form", FORMS)
def test_a_whole_list_is_taken_in_each_form_and_its_end_may_come_with_it(deployment, form):
    deployment.start()
    whole = deployment.discovery.next("complete")
    whole.send(FORMS[form](WHOLE, None))
    whole.close()
    assert deployment.wait_for_event("endpoint_list", version=7)["entries"] == 2


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("cut", [0, 40, -12])
def test_a_whole_list_that_is_cut_is_not_believed_and_asked_for_again(deployment, form, cut):
    deployment.start()
    whole = deployment.discovery.next("complete")
    whole.send(FORMS[form](WHOLE, cut))
    whole.close()
    again = deployment.discovery.next("complete")
    assert not deployment.logged_events("endpoint_list")
    again.send(FORMS[form](WHOLE, None))
    again.close()
    assert deployment.wait_for_event("endpoint_list", version=7)


@pytest.mark.parametrize(
    "status", [b"503 Service Unavailable", b"204 No Content", b"404 Not Found"]
)
def test_an_answer_that_is_no_list_is_asked_for_again(deployment, status):
    deployment.start()
    deployment.discovery.next("complete").send(
        b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
    )
    for _ in range(2):
        deployment.discovery.next("watch").send(CHUNKED, chunk(b"\n"))
    began = time.monotonic()
    again = deployment.discovery.next("complete")
    assert (
        0.1 < time.monotonic() - began < 2.0
    )  # neither at once nor only with the next silence or look
    again.send(FORMS["length"](WHOLE, None))
    assert deployment.wait_for_event("endpoint_list", version=7)


def test_an_older_version_after_a_newer_one_brings_nobody_back(deployment):
    deployment.start()
    one, other = deployment.serve_endpoint_list("s1", "s2")
    one.send(chunk(change(4, listed_server("s2", "terminating"))))
    assert deployment.wait_for_event("endpoint_list", version=4)
    other.send(chunk(change(3, listed_server("s2"))))
    other.send(chunk(change(5, listed_server("s1"))))
    assert deployment.wait_for_event("endpoint_list", version=5)
    assert deployment.counters()["list_already_known"] == 1


@pytest.mark.parametrize("end", ["chunk", "line", "reset"])
def test_a_drain_and_its_successor_in_the_last_bytes_count(deployment, end):
    deployment.start()
    one, _ = deployment.serve_endpoint_list("s1", "s2", "s3")
    deployment.wait_for_event("endpoint_list")
    deployment.serve_relay_watches(proxy_connected(1), SLICE_ASSIGNED, TABLE_ENTRY)
    deployment.relay.next("call")
    told = body(change(2, listed_server("s1", "terminating"), listed_server("s9", boot_ms=1)))
    # The line is whole, what the chunk's end would add does not come.
    one.send(b"%x\r\n%s%s" % (len(told), told, b"\r\n" if end == "chunk" else b""))
    if end == "reset":
        assert deployment.wait_for_event(
            "endpoint_list", version=2
        )  # bytes that a reset overtakes are gone for everybody
    one.close(reset=end == "reset")
    if end != "reset":
        assert deployment.wait_for_event("endpoint_list", version=2)["entries"] == 2
    assert deployment.ping()


def test_an_older_whole_list_beside_watches_that_stand_brings_nobody_back(deployment):
    deployment.start()
    watches = deployment.serve_endpoint_list("s1", "s2")
    watches[0].send(chunk(change(4, listed_server("s2", "terminating"))))
    assert deployment.wait_for_event("endpoint_list", version=4)
    check = looked_at(deployment, watches)  # answered by what is behind
    check.send(CHUNKED, chunk(deployment.endpoint_list_message("s1", "s2", rev=2)), END)
    assert check.wait_for_close()
    assert (
        len(deployment.logged_events("endpoint_list")) == 2
        and deployment.counters()["list_already_known"] == 1
    )


def test_a_list_of_thousands_with_spoilt_and_repeated_entries_is_taken_as_far_as_it_is_sound(
    deployment,
):
    deployment.start()
    told = {"rev": 3, "all": True, "targets": [listed_server(f"s{k}") for k in range(2000)]}
    told["targets"][5] = {"uid": 5}
    told["targets"].append(told["targets"][7])
    deployment.discovery.next("complete").send(FORMS["length"](body(told), None))
    # One that cannot be read makes it changes: nobody is taken for gone by it, and the whole is
    # asked for again.
    assert deployment.wait_for_event("endpoint_list", version=3) == {
        **deployment.log[-1],
        "scope": "changes",
        "entries": 2000,
    }
    deployment.discovery.next("complete")
    assert len(deployment.logged_events("bad_entry")) == 1 and deployment.ping()
