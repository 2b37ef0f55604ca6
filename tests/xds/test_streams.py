"""A stand-in forwarder with a ledger: it acknowledges, refuses, repeats, breaks off and comes back
elsewhere."""

import random

import pytest

from havendyke.xds.resources import (
    CLUSTER,
    DEPENDENCY_ORDER,
    ENDPOINTS,
    ROUTES,
    VIRTUAL_HOSTS,
    DanglingReferenceError,
    Snapshot,
    make_resource,
)
from havendyke.xds.stream import (
    DeltaRequest,
    DeltaStream,
    InvalidRequestError,
    ResourcesRejected,
    SnapshotAcknowledged,
)


class Forwarder:
    """Holds bodies by type and name, and a ledger of what was applied; `refuses(resource)` says
    what it cannot use."""

    def __init__(self, refuses=lambda one: False):
        self.held, self.versions, self.ledger, self.refuses = (
            {k: {} for k in DEPENDENCY_ORDER},
            {k: {} for k in DEPENDENCY_ORDER},
            [],
            refuses,
        )

    def apply(self, response) -> DeltaRequest:
        bad = [one.name for one in response.resources if self.refuses(one)]
        if bad:
            return DeltaRequest(
                response.resource_type, nonce=response.nonce, error=f"cannot use {bad}"
            )
        for one in response.resources:
            for kind, name in one.references:
                assert name in self.held[kind], (
                    f"{response.resource_type} {one.name} points to {name}, which it does not hold"
                )
            assert self.versions[response.resource_type].get(one.name) != one.version, (
                "told what it holds"
            )
            (
                self.held[response.resource_type][one.name],
                self.versions[response.resource_type][one.name],
            ) = (
                one,
                one.version,
            )
            self.ledger.append((response.resource_type, one.name, one.version))
        for name in response.removed:
            self.held[response.resource_type].pop(name, None)
            self.versions[response.resource_type].pop(name, None)
        for kind in DEPENDENCY_ORDER:
            for one in self.held[kind].values():
                assert all(n in self.held[k] for k, n in one.references), (
                    f"{kind} {one.name} lost what it points to"
                )
        return DeltaRequest(response.resource_type, nonce=response.nonce)

    def settle(self, stream, responses):
        """Answers until nothing is under way."""
        while responses:
            responses = [more for r in responses for more in stream.handle_request(self.apply(r))]

    def start(self, stream, holds=False):
        out = []
        for kind in DEPENDENCY_ORDER:
            out += stream.handle_request(
                DeltaRequest(
                    kind,
                    subscribe=("*",),
                    initial_versions=dict(self.versions[kind]) if holds else None,
                )
            )
        self.settle(stream, out)


def cluster(name, body=b"1"):
    return [
        (CLUSTER, make_resource(name, b"c" + body)),
        (ENDPOINTS, make_resource(name, b"e" + body, [(CLUSTER, name)])),
    ]


def route(name, *clusters):
    return ROUTES, make_resource(name, repr(clusters).encode(), [(CLUSTER, c) for c in clusters])


def offered(mark=1, *names):
    put = [item for n in names for item in cluster(n)] + [route("r", *names)]
    return Snapshot().with_changes(mark, put)


def test_all_is_told_in_the_order_of_references_and_the_mark_is_answered():
    stream, forwarder = DeltaStream(offered(7, "a", "b")), Forwarder()
    forwarder.start(stream)
    assert {k: sorted(v) for k, v in forwarder.held.items() if v} == {
        CLUSTER: ["a", "b"],
        ENDPOINTS: ["a", "b"],
        ROUTES: ["r"],
    }
    assert stream.events == [SnapshotAcknowledged(7)] and len(forwarder.ledger) == 5


def test_only_what_changed_goes_out_once():
    first = offered(1, "a", "b")
    stream, forwarder = DeltaStream(first), Forwarder()
    forwarder.start(stream)
    before = len(forwarder.ledger)
    forwarder.settle(stream, stream.update_snapshot(first.with_changes(2, cluster("b", b"2"))))
    assert [k for k, _, _ in forwarder.ledger[before:]] == [CLUSTER, ENDPOINTS] and stream.events[
        -1
    ] == SnapshotAcknowledged(2)
    assert stream.update_snapshot(
        first.with_changes(3, cluster("b", b"2"))
    ) == [] and stream.events[-1] == SnapshotAcknowledged(3)


def test_a_removal_waits_until_its_replacement_is_acknowledged():
    first = offered(1, "a")
    stream, forwarder = DeltaStream(first), Forwarder()
    forwarder.start(stream)
    second = first.with_changes(
        2, [*cluster("b"), route("r", "b")], [(ENDPOINTS, "a"), (CLUSTER, "a")]
    )
    out = stream.update_snapshot(second)
    assert all("a" not in r.removed or r.resource_type == ENDPOINTS for r in out)
    forwarder.settle(stream, out)  # the forwarder itself checks that nothing ever points nowhere
    assert sorted(forwarder.held[CLUSTER]) == ["b"] and stream.events[-1] == SnapshotAcknowledged(2)


def test_one_push_under_way_and_what_comes_meanwhile_gathers():
    now = offered(1, "a")
    stream = DeltaStream(now)
    (first,) = stream.handle_request(DeltaRequest(CLUSTER, subscribe=("*",)))
    for k in range(2, 9):
        now = now.with_changes(k, cluster("a", str(k).encode()))
        assert stream.update_snapshot(now) == []
    (then,) = stream.handle_request(DeltaRequest(CLUSTER, nonce=first.nonce))
    assert [one.body for one in then.resources] == [b"c8"]


def test_what_is_refused_is_not_sent_again_unchanged_and_holds_back_nobody():
    first = offered(1, "a", "b")
    stream, forwarder = (
        DeltaStream(first),
        Forwarder(lambda one: one.body == b"c1" and one.name == "a"),
    )
    forwarder.refuses = lambda one: one.body == b"cBAD"
    forwarder.start(stream)
    second = first.with_changes(2, [*cluster("a", b"BAD"), *cluster("c")])
    forwarder.settle(stream, stream.update_snapshot(second))
    refused = [t for t in stream.events if isinstance(t, ResourcesRejected)]
    assert [(r.resource_type, r.names) for r in refused] == [(CLUSTER, ("a",))] and forwarder.held[
        CLUSTER
    ]["a"].body == b"c1"
    assert (
        "c" in forwarder.held[CLUSTER] and "c" in forwarder.held[ENDPOINTS]
    )  # refused together, it is tried alone
    sent = stream.counts["responses"]
    stream.update_snapshot(second.with_changes(3))
    assert stream.counts["responses"] == sent
    third = second.with_changes(4, cluster("a", b"3"))
    forwarder.settle(stream, stream.update_snapshot(third))
    assert forwarder.held[CLUSTER]["a"].body == b"c3"


def test_stale_nonces_and_errors_without_one():
    stream = DeltaStream(offered(1, "a"))
    (first,) = stream.handle_request(DeltaRequest(CLUSTER, subscribe=("*",)))
    assert (
        stream.handle_request(DeltaRequest(CLUSTER, nonce="nope")) == []
        and stream.counts["stale"] == 1
    )
    assert (
        stream.handle_request(DeltaRequest(CLUSTER, nonce=first.nonce)) == []
        and stream.kinds[CLUSTER].held
    )
    for bad in (
        DeltaRequest(CLUSTER, error="x"),
        DeltaRequest("odd"),
        DeltaRequest(CLUSTER, initial_versions={}),
    ):
        with pytest.raises(InvalidRequestError):
            stream.handle_request(bad)


def test_on_demand_names_unknown_ones_and_leaving():
    stream = DeltaStream(
        Snapshot().with_changes(
            1,
            [(VIRTUAL_HOSTS, make_resource("a", b"1")), (VIRTUAL_HOSTS, make_resource("b", b"2"))],
        )
    )
    (first,) = stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, subscribe=("a", "none")))
    assert [o.name for o in first.resources] == ["a"] and first.removed == ("none",)
    stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, nonce=first.nonce))
    assert (
        stream.update_snapshot(
            stream.snapshot.with_changes(2, [(VIRTUAL_HOSTS, make_resource("b", b"3"))])
        )
        == []
    )
    (came,) = stream.update_snapshot(
        stream.snapshot.with_changes(3, [(VIRTUAL_HOSTS, make_resource("none", b"9"))])
    )
    assert [o.name for o in came.resources] == ["none"]
    stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, nonce=came.nonce))
    assert stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, unsubscribe=("a",))) == []
    assert (
        stream.update_snapshot(
            stream.snapshot.with_changes(4, [(VIRTUAL_HOSTS, make_resource("a", b"5"))])
        )
        == []
    )
    (again,) = stream.handle_request(
        DeltaRequest(VIRTUAL_HOSTS, subscribe=("none",))
    )  # asked for by name it is told again
    assert [o.name for o in again.resources] == ["none"]


def test_a_return_to_another_assigner_brings_the_difference_by_content():
    one, forwarder = DeltaStream(offered(40, "a", "b")), Forwarder()
    forwarder.start(one)
    before = len(forwarder.ledger)
    elsewhere = offered(3, "a", "b").with_changes(
        4, cluster("b", b"2")
    )  # another history, other marks
    other = DeltaStream(elsewhere)
    forwarder.start(other, holds=True)
    assert [(k, n) for k, n, _ in forwarder.ledger[before:]] == [(CLUSTER, "b"), (ENDPOINTS, "b")]


def test_a_stalled_reader_costs_one_response_a_type():
    now = Snapshot().with_changes(
        1, [(CLUSTER, make_resource(f"c{k}", bytes(1000))) for k in range(50)]
    )
    stream = DeltaStream(now, max_response_bytes=4000)
    (first,) = stream.handle_request(DeltaRequest(CLUSTER, subscribe=("*",)))
    assert len(first.resources) == 4 and stream.unacknowledged_bytes() == 4000
    for k in range(2, 99):
        now = now.with_changes(k, [(CLUSTER, make_resource("c1", bytes(1000 + k)))])
        assert stream.update_snapshot(now) == [] and stream.unacknowledged_bytes() == 4000


def test_a_snapshot_shares_what_did_not_change_and_never_points_nowhere():
    first = offered(1, "a", "b")
    second = first.with_changes(2, cluster("a", b"2"))
    assert second.by_type[ROUTES] is first.by_type[ROUTES] and first.get(CLUSTER, "a").body == b"c1"
    with pytest.raises(DanglingReferenceError):
        first.with_changes(3, [route("q", "zzz")])
    with pytest.raises(DanglingReferenceError):
        first.with_changes(3, [], [(CLUSTER, "a")])


@pytest.mark.parametrize("seed", range(12))
def test_over_cuts_refusals_and_repeats_each_version_takes_effect_once(seed):
    chance = random.Random(seed)
    names, now, mark = list("abcdef"), offered(1, "a", "b"), 1
    forwarder = Forwarder(lambda one: one.body.endswith(b"X"))
    stream, inbox = DeltaStream(now), []
    inbox += [
        r
        for kind in DEPENDENCY_ORDER
        for r in stream.handle_request(DeltaRequest(kind, subscribe=("*",)))
    ]
    for _ in range(300):
        draw = chance.random()
        if draw < 0.35:
            mark += 1
            some = chance.sample(names, 2)
            bad = b"X" if chance.random() < 0.1 else b""
            keep = set(some)
            drop = [
                (t, n)
                for n in names
                if n not in keep and now.get(CLUSTER, n) and chance.random() < 0.4
                for t in (ENDPOINTS, CLUSTER)
            ]
            now = now.with_changes(
                mark,
                [i for n in some for i in cluster(n, str(mark).encode() + bad)]
                + [route("r", *some)],
                drop,
            )
            inbox += stream.update_snapshot(now)
        elif draw < 0.42:
            # Cut anywhere: what is on its way is lost, an answer that was given may be too.
            stream, inbox = DeltaStream(now), []
            for kind in DEPENDENCY_ORDER:
                inbox += stream.handle_request(
                    DeltaRequest(
                        kind, subscribe=("*",), initial_versions=dict(forwarder.versions[kind])
                    )
                )
        elif inbox:
            answer = forwarder.apply(inbox.pop(0))
            if chance.random() < 0.1:
                stream.handle_request(DeltaRequest(answer.resource_type, nonce="old"))
            inbox += stream.handle_request(answer)
    now = now.with_changes(
        mark + 1, [i for n in names for i in cluster(n, b"end")] + [route("r", *names)]
    )
    forwarder.settle(stream, inbox + stream.update_snapshot(now))
    for kind in DEPENDENCY_ORDER:
        assert forwarder.versions[kind] == {n: r.version for n, r in now.by_type[kind].items()}
    assert SnapshotAcknowledged(mark + 1) in stream.events
