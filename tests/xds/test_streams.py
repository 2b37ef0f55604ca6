"""The incremental state machine, with a simulated proxy that applies, rejects and reconnects."""

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


class DeltaProxy:
    """Holds resources by type and name and lists all that it applied.

    `rejects(resource)` says which resources it cannot use.
    """

    def __init__(self, rejects=lambda resource: False):
        self.resources, self.versions, self.applied, self.rejects = (
            {t: {} for t in DEPENDENCY_ORDER},
            {t: {} for t in DEPENDENCY_ORDER},
            [],
            rejects,
        )

    def apply(self, response) -> DeltaRequest:
        rejected = [resource.name for resource in response.resources if self.rejects(resource)]
        if rejected:
            return DeltaRequest(
                response.resource_type, nonce=response.nonce, error=f"cannot use {rejected}"
            )
        for resource in response.resources:
            for resource_type, name in resource.references:
                assert name in self.resources[resource_type], (
                    f"{response.resource_type} {resource.name} refers to {name}, which is missing"
                )
            assert self.versions[response.resource_type].get(resource.name) != resource.version, (
                "sent a version that the proxy holds"
            )
            (
                self.resources[response.resource_type][resource.name],
                self.versions[response.resource_type][resource.name],
            ) = (
                resource,
                resource.version,
            )
            self.applied.append((response.resource_type, resource.name, resource.version))
        for name in response.removed:
            self.resources[response.resource_type].pop(name, None)
            self.versions[response.resource_type].pop(name, None)
        for resource_type in DEPENDENCY_ORDER:
            for resource in self.resources[resource_type].values():
                assert all(n in self.resources[t] for t, n in resource.references), (
                    f"{resource_type} {resource.name} refers to a removed resource"
                )
        return DeltaRequest(response.resource_type, nonce=response.nonce)

    def settle(self, stream, responses):
        """Answers until no response is in flight."""
        while responses:
            responses = [
                following for r in responses for following in stream.handle_request(self.apply(r))
            ]

    def connect(self, stream, send_versions=False):
        responses = []
        for resource_type in DEPENDENCY_ORDER:
            responses += stream.handle_request(
                DeltaRequest(
                    resource_type,
                    subscribe=("*",),
                    initial_versions=dict(self.versions[resource_type]) if send_versions else None,
                )
            )
        self.settle(stream, responses)


def cluster(name, body=b"1"):
    return [
        (CLUSTER, make_resource(name, b"c" + body)),
        (ENDPOINTS, make_resource(name, b"e" + body, [(CLUSTER, name)])),
    ]


def route(name, *clusters):
    return ROUTES, make_resource(name, repr(clusters).encode(), [(CLUSTER, c) for c in clusters])


def snapshot_with(push_nonce=1, *names):
    updated = [item for n in names for item in cluster(n)] + [route("r", *names)]
    return Snapshot().with_changes(push_nonce, updated)


def test_all_resources_are_sent_in_dependency_order_and_the_snapshot_is_acknowledged():
    stream, proxy = DeltaStream(snapshot_with(7, "a", "b")), DeltaProxy()
    proxy.connect(stream)
    assert {t: sorted(names) for t, names in proxy.resources.items() if names} == {
        CLUSTER: ["a", "b"],
        ENDPOINTS: ["a", "b"],
        ROUTES: ["r"],
    }
    assert stream.events == [SnapshotAcknowledged(7)] and len(proxy.applied) == 5


def test_only_changed_resources_are_sent_and_only_once():
    first = snapshot_with(1, "a", "b")
    stream, proxy = DeltaStream(first), DeltaProxy()
    proxy.connect(stream)
    before = len(proxy.applied)
    proxy.settle(stream, stream.update_snapshot(first.with_changes(2, cluster("b", b"2"))))
    assert [t for t, _, _ in proxy.applied[before:]] == [CLUSTER, ENDPOINTS] and stream.events[
        -1
    ] == SnapshotAcknowledged(2)
    assert stream.update_snapshot(
        first.with_changes(3, cluster("b", b"2"))
    ) == [] and stream.events[-1] == SnapshotAcknowledged(3)


def test_a_removal_waits_until_its_replacement_is_acknowledged():
    first = snapshot_with(1, "a")
    stream, proxy = DeltaStream(first), DeltaProxy()
    proxy.connect(stream)
    second = first.with_changes(
        2, [*cluster("b"), route("r", "b")], [(ENDPOINTS, "a"), (CLUSTER, "a")]
    )
    responses = stream.update_snapshot(second)
    assert all("a" not in r.removed or r.resource_type == ENDPOINTS for r in responses)
    proxy.settle(stream, responses)  # the proxy checks that no reference ever dangles
    assert sorted(proxy.resources[CLUSTER]) == ["b"] and stream.events[-1] == SnapshotAcknowledged(
        2
    )


def test_changes_during_a_response_in_flight_are_collected():
    snapshot = snapshot_with(1, "a")
    stream = DeltaStream(snapshot)
    (first,) = stream.handle_request(DeltaRequest(CLUSTER, subscribe=("*",)))
    for k in range(2, 9):
        snapshot = snapshot.with_changes(k, cluster("a", str(k).encode()))
        assert stream.update_snapshot(snapshot) == []
    (second,) = stream.handle_request(DeltaRequest(CLUSTER, nonce=first.nonce))
    assert [resource.body for resource in second.resources] == [b"c8"]


def test_a_rejected_resource_is_not_sent_again_unchanged_and_delays_no_other():
    first = snapshot_with(1, "a", "b")
    stream, proxy = (
        DeltaStream(first),
        DeltaProxy(lambda resource: resource.body == b"c1" and resource.name == "a"),
    )
    proxy.rejects = lambda resource: resource.body == b"cBAD"
    proxy.connect(stream)
    second = first.with_changes(2, [*cluster("a", b"BAD"), *cluster("c")])
    proxy.settle(stream, stream.update_snapshot(second))
    rejections = [event for event in stream.events if isinstance(event, ResourcesRejected)]
    assert [(r.resource_type, r.names) for r in rejections] == [
        (CLUSTER, ("a",))
    ] and proxy.resources[CLUSTER]["a"].body == b"c1"
    # Rejected in a response with "a", "c" is sent again alone.
    assert "c" in proxy.resources[CLUSTER] and "c" in proxy.resources[ENDPOINTS]
    response_count = stream.counts["responses"]
    stream.update_snapshot(second.with_changes(3))
    assert stream.counts["responses"] == response_count
    third = second.with_changes(4, cluster("a", b"3"))
    proxy.settle(stream, stream.update_snapshot(third))
    assert proxy.resources[CLUSTER]["a"].body == b"c3"


def test_stale_nonces_are_ignored_and_invalid_requests_raise():
    stream = DeltaStream(snapshot_with(1, "a"))
    (first,) = stream.handle_request(DeltaRequest(CLUSTER, subscribe=("*",)))
    assert (
        stream.handle_request(DeltaRequest(CLUSTER, nonce="nope")) == []
        and stream.counts["stale"] == 1
    )
    assert (
        stream.handle_request(DeltaRequest(CLUSTER, nonce=first.nonce)) == []
        and stream.type_states[CLUSTER].acknowledged
    )
    for invalid in (
        DeltaRequest(CLUSTER, error="x"),
        DeltaRequest("odd"),
        DeltaRequest(CLUSTER, initial_versions={}),
    ):
        with pytest.raises(InvalidRequestError):
            stream.handle_request(invalid)


def test_subscriptions_by_name_to_present_missing_and_unsubscribed_resources():
    stream = DeltaStream(
        Snapshot().with_changes(
            1,
            [(VIRTUAL_HOSTS, make_resource("a", b"1")), (VIRTUAL_HOSTS, make_resource("b", b"2"))],
        )
    )
    (first,) = stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, subscribe=("a", "none")))
    assert [r.name for r in first.resources] == ["a"] and first.removed == ("none",)
    stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, nonce=first.nonce))
    assert (
        stream.update_snapshot(
            stream.snapshot.with_changes(2, [(VIRTUAL_HOSTS, make_resource("b", b"3"))])
        )
        == []
    )
    (created,) = stream.update_snapshot(
        stream.snapshot.with_changes(3, [(VIRTUAL_HOSTS, make_resource("none", b"9"))])
    )
    assert [r.name for r in created.resources] == ["none"]
    stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, nonce=created.nonce))
    assert stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, unsubscribe=("a",))) == []
    assert (
        stream.update_snapshot(
            stream.snapshot.with_changes(4, [(VIRTUAL_HOSTS, make_resource("a", b"5"))])
        )
        == []
    )
    # A repeated subscription by name sends the resource again.
    (repeated,) = stream.handle_request(DeltaRequest(VIRTUAL_HOSTS, subscribe=("none",)))
    assert [r.name for r in repeated.resources] == ["none"]


def test_reconnecting_to_another_assigner_sends_the_difference_by_content():
    first_stream, proxy = DeltaStream(snapshot_with(40, "a", "b")), DeltaProxy()
    proxy.connect(first_stream)
    before = len(proxy.applied)
    # Another assigner has another history and other nonces.
    other_snapshot = snapshot_with(3, "a", "b").with_changes(4, cluster("b", b"2"))
    other_stream = DeltaStream(other_snapshot)
    proxy.connect(other_stream, send_versions=True)
    assert [(t, n) for t, n, _ in proxy.applied[before:]] == [(CLUSTER, "b"), (ENDPOINTS, "b")]


def test_a_stalled_client_costs_one_response_for_each_type():
    snapshot = Snapshot().with_changes(
        1, [(CLUSTER, make_resource(f"c{k}", bytes(1000))) for k in range(50)]
    )
    stream = DeltaStream(snapshot, max_response_bytes=4000)
    (first,) = stream.handle_request(DeltaRequest(CLUSTER, subscribe=("*",)))
    assert len(first.resources) == 4 and stream.unacknowledged_bytes() == 4000
    for k in range(2, 99):
        snapshot = snapshot.with_changes(k, [(CLUSTER, make_resource("c1", bytes(1000 + k)))])
        assert stream.update_snapshot(snapshot) == [] and stream.unacknowledged_bytes() == 4000


def test_a_snapshot_shares_unchanged_types_and_has_no_dangling_reference():
    first = snapshot_with(1, "a", "b")
    second = first.with_changes(2, cluster("a", b"2"))
    assert second.by_type[ROUTES] is first.by_type[ROUTES] and first.get(CLUSTER, "a").body == b"c1"
    with pytest.raises(DanglingReferenceError):
        first.with_changes(3, [route("q", "zzz")])
    with pytest.raises(DanglingReferenceError):
        first.with_changes(3, [], [(CLUSTER, "a")])


@pytest.mark.parametrize("seed", range(12))
def test_each_version_is_applied_once_across_reconnects_rejections_and_stale_answers(seed):
    rng = random.Random(seed)
    names, snapshot, push_nonce = list("abcdef"), snapshot_with(1, "a", "b"), 1
    proxy = DeltaProxy(lambda resource: resource.body.endswith(b"X"))
    stream, responses = DeltaStream(snapshot), []
    responses += [
        r
        for resource_type in DEPENDENCY_ORDER
        for r in stream.handle_request(DeltaRequest(resource_type, subscribe=("*",)))
    ]
    for _ in range(300):
        draw = rng.random()
        if draw < 0.35:
            push_nonce += 1
            updated_names = rng.sample(names, 2)
            suffix = b"X" if rng.random() < 0.1 else b""
            kept = set(updated_names)
            removed = [
                (t, n)
                for n in names
                if n not in kept and snapshot.get(CLUSTER, n) and rng.random() < 0.4
                for t in (ENDPOINTS, CLUSTER)
            ]
            snapshot = snapshot.with_changes(
                push_nonce,
                [
                    item
                    for n in updated_names
                    for item in cluster(n, str(push_nonce).encode() + suffix)
                ]
                + [route("r", *updated_names)],
                removed,
            )
            responses += stream.update_snapshot(snapshot)
        elif draw < 0.42:
            # The connection breaks: responses in flight are lost, and so may be an answer.
            stream, responses = DeltaStream(snapshot), []
            for resource_type in DEPENDENCY_ORDER:
                responses += stream.handle_request(
                    DeltaRequest(
                        resource_type,
                        subscribe=("*",),
                        initial_versions=dict(proxy.versions[resource_type]),
                    )
                )
        elif responses:
            answer = proxy.apply(responses.pop(0))
            if rng.random() < 0.1:
                stream.handle_request(DeltaRequest(answer.resource_type, nonce="old"))
            responses += stream.handle_request(answer)
    snapshot = snapshot.with_changes(
        push_nonce + 1, [item for n in names for item in cluster(n, b"end")] + [route("r", *names)]
    )
    proxy.settle(stream, responses + stream.update_snapshot(snapshot))
    for resource_type in DEPENDENCY_ORDER:
        assert proxy.versions[resource_type] == {
            n: r.version for n, r in snapshot.by_type[resource_type].items()
        }
    assert SnapshotAcknowledged(push_nonce + 1) in stream.events
