"""The state-of-the-world form: whole responses that differ from the last accepted one by what the
delta form sends."""

import random

import pytest
from test_streams import cluster, offered, route

from havendyke.xds.resources import CLUSTER, DEPENDENCY_ORDER, ENDPOINTS
from havendyke.xds.stream import InvalidRequestError, ResourcesRejected, SnapshotAcknowledged
from havendyke.xds.whole import SotwRequest, SotwStream


class Forwarder:
    """Holds the last accepted response of each type whole; `changes` counts what each one
    brought."""

    def __init__(self, refuses=lambda one: False):
        self.held, self.version, self.refuses, self.changes = (
            {k: {} for k in DEPENDENCY_ORDER},
            dict.fromkeys(DEPENDENCY_ORDER, ""),
            refuses,
            [],
        )

    def apply(self, r) -> SotwRequest:
        if any(self.refuses(one) for one in r.resources):
            return SotwRequest(
                r.resource_type, self.version[r.resource_type], (), r.nonce, "cannot use it"
            )
        new = {one.name: one for one in r.resources}
        self.changes.append(
            (
                r.resource_type,
                sum(self.held[r.resource_type].get(n) != one for n, one in new.items()),
            )
        )
        self.held[r.resource_type], self.version[r.resource_type] = new, r.version
        for kind in DEPENDENCY_ORDER:
            for one in self.held[kind].values():
                assert all(n in self.held[k] for k, n in one.references), (
                    f"{kind} {one.name} points nowhere"
                )
        return SotwRequest(r.resource_type, r.version, (), r.nonce)

    def settle(self, stream, out):
        while out:
            out = [more for r in out for more in stream.handle_request(self.apply(r))]

    def start(self, stream):
        self.settle(
            stream,
            [
                r
                for kind in DEPENDENCY_ORDER
                for r in stream.handle_request(SotwRequest(kind, self.version[kind]))
            ],
        )


def test_a_response_has_all_and_brings_only_what_changed():
    first = offered(1, "a", "b")
    stream, forwarder = SotwStream(first), Forwarder()
    forwarder.start(stream)
    before = len(forwarder.changes)
    forwarder.settle(stream, stream.update_snapshot(first.with_changes(2, cluster("b", b"2"))))
    assert forwarder.changes[before:] == [(CLUSTER, 1), (ENDPOINTS, 1)] and sorted(
        forwarder.held[CLUSTER]
    ) == ["a", "b"]
    assert stream.events[-1] == SnapshotAcknowledged(2)


def test_a_refused_response_leaves_the_last_accepted_and_the_good_ones_go_on():
    first = offered(1, "a", "b")
    stream, forwarder = SotwStream(first), Forwarder(lambda one: one.body == b"cBAD")
    forwarder.start(stream)
    forwarder.settle(
        stream,
        stream.update_snapshot(first.with_changes(2, [*cluster("a", b"BAD"), *cluster("c")])),
    )
    assert forwarder.held[CLUSTER]["a"].body == b"c1" and "c" in forwarder.held[ENDPOINTS]
    assert [t.names for t in stream.events if isinstance(t, ResourcesRejected)] == [("a",)]


def test_a_return_with_the_version_that_stands_is_told_nothing():
    first = offered(1, "a", "b")
    forwarder = Forwarder()
    forwarder.start(SotwStream(first))
    before = len(forwarder.changes)
    forwarder.start(SotwStream(offered(77, "a", "b")))  # another assigner, the same content
    assert forwarder.changes[before:] == []
    forwarder.start(SotwStream(first.with_changes(2, cluster("a", b"2"))))
    assert forwarder.held[CLUSTER]["a"].body == b"c2"


def test_names_are_subscribed_and_left_by_their_list():
    stream = SotwStream(offered(1, "a", "b"))
    (one,) = stream.handle_request(SotwRequest(CLUSTER, names=("a",)))
    assert [r.name for r in one.resources] == ["a"]
    (two,) = stream.handle_request(SotwRequest(CLUSTER, one.version, ("a", "b"), one.nonce))
    assert [r.name for r in two.resources] == ["a", "b"]
    assert stream.handle_request(SotwRequest(CLUSTER, two.version, ("b",), two.nonce)) == []
    assert (
        stream.handle_request(SotwRequest(CLUSTER, two.version, ("b",), one.nonce)) == []
        and stream.stream.counts["stale"] == 1
    )
    with pytest.raises(InvalidRequestError):
        stream.handle_request(SotwRequest("odd"))


@pytest.mark.parametrize("seed", range(8))
def test_over_refusals_and_repeats_both_sides_agree_at_the_end(seed):
    chance, names, now, mark = random.Random(seed), list("abcd"), offered(1, "a", "b"), 1
    forwarder = Forwarder(lambda one: one.body.endswith(b"X"))
    stream = SotwStream(now)
    inbox = [r for kind in DEPENDENCY_ORDER for r in stream.handle_request(SotwRequest(kind))]
    for _ in range(200):
        if chance.random() < 0.4:
            mark += 1
            some = chance.sample(names, 2)
            drop = [
                (t, n)
                for n in names
                if n not in some and now.get(CLUSTER, n) and chance.random() < 0.4
                for t in (ENDPOINTS, CLUSTER)
            ]
            bad = b"X" if chance.random() < 0.1 else b""
            now = now.with_changes(
                mark,
                [i for n in some for i in cluster(n, str(mark).encode() + bad)]
                + [route("r", *some)],
                drop,
            )
            inbox += stream.update_snapshot(now)
        elif inbox:
            inbox += stream.handle_request(forwarder.apply(inbox.pop(0)))
    now = now.with_changes(
        mark + 1, [i for n in names for i in cluster(n, b"end")] + [route("r", *names)]
    )
    forwarder.settle(stream, inbox + stream.update_snapshot(now))
    assert (
        all(forwarder.held[k] == dict(now.by_type[k].items()) for k in DEPENDENCY_ORDER)
        and SnapshotAcknowledged(mark + 1) in stream.events
    )
