"""The state of the world variant: complete responses with the changes of the incremental ones."""

import random

import pytest
from test_streams import cluster, route, snapshot_with

from havendyke.xds.resources import CLUSTER, DEPENDENCY_ORDER, ENDPOINTS
from havendyke.xds.sotw import SotwRequest, SotwStream
from havendyke.xds.stream import InvalidRequestError, ResourcesRejected, SnapshotAcknowledged


class SotwProxy:
    """Holds the last accepted response of each type.

    `changes` has, for each accepted response, its type and the number of resources it changed.
    """

    def __init__(self, rejects=lambda resource: False):
        self.resources, self.version, self.rejects, self.changes = (
            {t: {} for t in DEPENDENCY_ORDER},
            dict.fromkeys(DEPENDENCY_ORDER, ""),
            rejects,
            [],
        )

    def apply(self, response) -> SotwRequest:
        if any(self.rejects(resource) for resource in response.resources):
            return SotwRequest(
                response.resource_type,
                self.version[response.resource_type],
                (),
                response.nonce,
                "cannot use it",
            )
        received = {resource.name: resource for resource in response.resources}
        self.changes.append(
            (
                response.resource_type,
                sum(
                    self.resources[response.resource_type].get(n) != resource
                    for n, resource in received.items()
                ),
            )
        )
        self.resources[response.resource_type], self.version[response.resource_type] = (
            received,
            response.version,
        )
        for resource_type in DEPENDENCY_ORDER:
            for resource in self.resources[resource_type].values():
                assert all(n in self.resources[t] for t, n in resource.references), (
                    f"{resource_type} {resource.name} has a dangling reference"
                )
        return SotwRequest(response.resource_type, response.version, (), response.nonce)

    def settle(self, stream, responses):
        while responses:
            responses = [
                following for r in responses for following in stream.handle_request(self.apply(r))
            ]

    def connect(self, stream):
        self.settle(
            stream,
            [
                r
                for resource_type in DEPENDENCY_ORDER
                for r in stream.handle_request(
                    SotwRequest(resource_type, self.version[resource_type])
                )
            ],
        )


def test_a_response_is_complete_and_changes_only_what_changed():
    first = snapshot_with(1, "a", "b")
    stream, proxy = SotwStream(first), SotwProxy()
    proxy.connect(stream)
    before = len(proxy.changes)
    proxy.settle(stream, stream.update_snapshot(first.with_changes(2, cluster("b", b"2"))))
    assert proxy.changes[before:] == [(CLUSTER, 1), (ENDPOINTS, 1)] and sorted(
        proxy.resources[CLUSTER]
    ) == ["a", "b"]
    assert stream.events[-1] == SnapshotAcknowledged(2)


def test_a_rejected_resource_keeps_its_last_accepted_version_and_delays_no_other():
    first = snapshot_with(1, "a", "b")
    stream, proxy = SotwStream(first), SotwProxy(lambda resource: resource.body == b"cBAD")
    proxy.connect(stream)
    proxy.settle(
        stream,
        stream.update_snapshot(first.with_changes(2, [*cluster("a", b"BAD"), *cluster("c")])),
    )
    assert proxy.resources[CLUSTER]["a"].body == b"c1" and "c" in proxy.resources[ENDPOINTS]
    assert [e.names for e in stream.events if isinstance(e, ResourcesRejected)] == [("a",)]


def test_reconnecting_with_the_current_version_sends_nothing():
    first = snapshot_with(1, "a", "b")
    proxy = SotwProxy()
    proxy.connect(SotwStream(first))
    before = len(proxy.changes)
    proxy.connect(SotwStream(snapshot_with(77, "a", "b")))  # another assigner, the same content
    assert proxy.changes[before:] == []
    proxy.connect(SotwStream(first.with_changes(2, cluster("a", b"2"))))
    assert proxy.resources[CLUSTER]["a"].body == b"c2"


def test_the_list_of_names_subscribes_and_unsubscribes():
    stream = SotwStream(snapshot_with(1, "a", "b"))
    (first,) = stream.handle_request(SotwRequest(CLUSTER, names=("a",)))
    assert [r.name for r in first.resources] == ["a"]
    (second,) = stream.handle_request(SotwRequest(CLUSTER, first.version, ("a", "b"), first.nonce))
    assert [r.name for r in second.resources] == ["a", "b"]
    assert stream.handle_request(SotwRequest(CLUSTER, second.version, ("b",), second.nonce)) == []
    assert (
        stream.handle_request(SotwRequest(CLUSTER, second.version, ("b",), first.nonce)) == []
        and stream.stream.counts["stale"] == 1
    )
    with pytest.raises(InvalidRequestError):
        stream.handle_request(SotwRequest("odd"))


@pytest.mark.parametrize("seed", range(8))
def test_proxy_and_snapshot_agree_after_rejections_and_repeated_changes(seed):
    rng, names, snapshot, push_nonce = (
        random.Random(seed),
        list("abcd"),
        snapshot_with(1, "a", "b"),
        1,
    )
    proxy = SotwProxy(lambda resource: resource.body.endswith(b"X"))
    stream = SotwStream(snapshot)
    responses = [
        r
        for resource_type in DEPENDENCY_ORDER
        for r in stream.handle_request(SotwRequest(resource_type))
    ]
    for _ in range(200):
        if rng.random() < 0.4:
            push_nonce += 1
            updated_names = rng.sample(names, 2)
            removed = [
                (t, n)
                for n in names
                if n not in updated_names and snapshot.get(CLUSTER, n) and rng.random() < 0.4
                for t in (ENDPOINTS, CLUSTER)
            ]
            suffix = b"X" if rng.random() < 0.1 else b""
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
        elif responses:
            responses += stream.handle_request(proxy.apply(responses.pop(0)))
    snapshot = snapshot.with_changes(
        push_nonce + 1, [item for n in names for item in cluster(n, b"end")] + [route("r", *names)]
    )
    proxy.settle(stream, responses + stream.update_snapshot(snapshot))
    assert (
        all(proxy.resources[t] == dict(snapshot.by_type[t].items()) for t in DEPENDENCY_ORDER)
        and SnapshotAcknowledged(push_nonce + 1) in stream.events
    )
