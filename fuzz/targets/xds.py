"""xDS streams: updates, rejections, stale acknowledgements and reconnections in any order, with a
client that checks references between its resources."""

from havendyke.xds.resources import (
    CLUSTER,
    DEPENDENCY_ORDER,
    ENDPOINTS,
    ROUTES,
    Snapshot,
    make_resource,
)
from havendyke.xds.stream import (
    DeltaRequest,
    DeltaStream,
    InvalidRequestError,
    SnapshotAcknowledged,
)

from ..registry import check, register

NAMES = "abcd"


class XdsClient:
    """An xDS client with its resources by type and name; it rejects bodies that end with X."""

    def __init__(self):
        self.resources = {kind: {} for kind in DEPENDENCY_ORDER}

    def apply(self, response) -> DeltaRequest:
        if any(item.body.endswith(b"X") for item in response.resources):
            return DeltaRequest(response.resource_type, nonce=response.nonce, error="cannot use it")
        for item in response.resources:
            previous = self.resources[response.resource_type].get(item.name)
            check(
                previous is None or previous.version != item.version,
                response.resource_type,
                item.name,
                "was sent again",
            )
            self.resources[response.resource_type][item.name] = item
        for name in response.removed:
            self.resources[response.resource_type].pop(name, None)
        for kind in DEPENDENCY_ORDER:
            for item in self.resources[kind].values():
                for dependency in item.references:
                    check(
                        dependency[1] in self.resources[dependency[0]],
                        kind,
                        item.name,
                        "points to",
                        dependency,
                        "which is not present",
                    )
        return DeltaRequest(response.resource_type, nonce=response.nonce)

    def subscribe(self, stream) -> list:
        return [
            r
            for kind in DEPENDENCY_ORDER
            for r in stream.handle_request(
                DeltaRequest(
                    kind,
                    subscribe=("*",),
                    initial_versions={n: item.version for n, item in self.resources[kind].items()},
                )
            )
        ]


def cluster_with_endpoints(name, body):
    return [
        (CLUSTER, make_resource(name, b"c" + body)),
        (ENDPOINTS, make_resource(name, b"e" + body, [(CLUSTER, name)])),
    ]


def route_table(names):
    return ROUTES, make_resource("r", repr(names).encode(), [(CLUSTER, n) for n in names])


@register(
    name="streams",
    description="xDS streams with a client that rejects, repeats, disconnects and reconnects",
    covers=("xds/stream", "xds/resources"),
    engine="hypothesis",
    step_size=3,
    max_size=240,
    seeds=lambda: [
        bytes([0, 3, 1, 4, 0, 0] * 6),
        bytes([0, 1, 0, 3, 0, 0, 4, 0, 0, 0, 14, 9, 4, 0, 0, 4, 0, 0]),
        bytes([1, 1, 5, 4, 0, 0, 2, 0, 0, 4, 0, 0] * 4),
    ],
)
def streams(data):
    snapshot, version, client, serial = (
        Snapshot().with_changes(1, cluster_with_endpoints("a", b"0") + [route_table(["a"])]),
        1,
        XdsClient(),
        0,
    )
    stream = DeltaStream(snapshot, max_response_bytes=8)
    inbox = client.subscribe(stream)
    for begin in range(0, len(data), 3):
        kind, first, second = data[begin : begin + 3].ljust(3, b"\0")
        if kind % 6 < 2:
            version, serial = version + 1, serial + 1
            names = [n for k, n in enumerate(NAMES) if first >> k & 1] or ["a"]
            body = str(serial if second & 1 else second & 6).encode() + (
                b"X" if second & 24 == 24 else b""
            )
            removed = [
                n
                for k, n in enumerate(NAMES)
                if second >> 4 + k & 1 and n not in names and snapshot.get(CLUSTER, n)
            ]
            snapshot = snapshot.with_changes(
                version,
                [i for n in names for i in cluster_with_endpoints(n, body)] + [route_table(names)],
                [(t, n) for n in removed for t in (ENDPOINTS, CLUSTER)],
            )
            inbox += stream.update_snapshot(snapshot)
        elif kind % 6 == 2:
            stream = DeltaStream(snapshot, max_response_bytes=8)
            inbox = client.subscribe(stream)
        elif kind % 6 == 3:
            try:
                check(
                    stream.handle_request(
                        DeltaRequest(DEPENDENCY_ORDER[first % 5], nonce=f"old{second}")
                    )
                    == [],
                    "a stale acknowledgement caused a response",
                )
            except InvalidRequestError:
                pass
        elif inbox:
            inbox += stream.handle_request(client.apply(inbox.pop(0)))
        check(stream.unacknowledged_bytes() <= 5 * 64, "in flight:", stream.unacknowledged_bytes())
    snapshot = snapshot.with_changes(
        version + 1,
        [i for n in NAMES for i in cluster_with_endpoints(n, b"end")] + [route_table(list(NAMES))],
    )
    inbox += stream.update_snapshot(snapshot)
    for _ in range(400):
        if not inbox:
            break
        inbox += stream.handle_request(client.apply(inbox.pop(0)))
    check(not inbox, "the stream does not become idle")
    for kind in DEPENDENCY_ORDER:
        check(
            {n: o.version for n, o in client.resources[kind].items()}
            == {n: o.version for n, o in snapshot.by_type[kind].items()},
            kind,
            "differs; present are",
            sorted(client.resources[kind]),
        )
    check(
        SnapshotAcknowledged(version + 1) in stream.events, "the last version is not acknowledged"
    )
