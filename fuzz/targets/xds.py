"""xDS streams: offers, refusals, stale answers, cuts and returns in any order; a forwarder that
checks its references."""

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


class Forwarder:
    """What it holds, by type and name; it refuses bodies that end with X."""

    def __init__(self):
        self.held = {kind: {} for kind in DEPENDENCY_ORDER}

    def apply(self, response) -> DeltaRequest:
        if any(one.body.endswith(b"X") for one in response.resources):
            return DeltaRequest(response.resource_type, nonce=response.nonce, error="cannot use it")
        for one in response.resources:
            before = self.held[response.resource_type].get(one.name)
            check(
                before is None or before.version != one.version,
                response.resource_type,
                one.name,
                "was told again",
            )
            self.held[response.resource_type][one.name] = one
        for name in response.removed:
            self.held[response.resource_type].pop(name, None)
        for kind in DEPENDENCY_ORDER:
            for one in self.held[kind].values():
                for need in one.references:
                    check(
                        need[1] in self.held[need[0]],
                        kind,
                        one.name,
                        "points to",
                        need,
                        "which is not held",
                    )
        return DeltaRequest(response.resource_type, nonce=response.nonce)

    def begin(self, stream) -> list:
        return [
            r
            for kind in DEPENDENCY_ORDER
            for r in stream.handle_request(
                DeltaRequest(
                    kind,
                    subscribe=("*",),
                    initial_versions={n: one.version for n, one in self.held[kind].items()},
                )
            )
        ]


def pair(name, body):
    return [
        (CLUSTER, make_resource(name, b"c" + body)),
        (ENDPOINTS, make_resource(name, b"e" + body, [(CLUSTER, name)])),
    ]


def routes(names):
    return ROUTES, make_resource("r", repr(names).encode(), [(CLUSTER, n) for n in names])


@register(
    name="streams",
    description="xDS streams with a forwarder that refuses, repeats, breaks off and comes back",
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
    now, mark, forwarder, serial = (
        Snapshot().with_changes(1, pair("a", b"0") + [routes(["a"])]),
        1,
        Forwarder(),
        0,
    )
    stream = DeltaStream(now, max_response_bytes=8)
    inbox = forwarder.begin(stream)
    for begin in range(0, len(data), 3):
        kind, a, b = data[begin : begin + 3].ljust(3, b"\0")
        if kind % 6 < 2:
            mark, serial = mark + 1, serial + 1
            names = [n for k, n in enumerate(NAMES) if a >> k & 1] or ["a"]
            body = str(serial if b & 1 else b & 6).encode() + (b"X" if b & 24 == 24 else b"")
            gone = [
                n
                for k, n in enumerate(NAMES)
                if b >> 4 + k & 1 and n not in names and now.get(CLUSTER, n)
            ]
            now = now.with_changes(
                mark,
                [i for n in names for i in pair(n, body)] + [routes(names)],
                [(t, n) for n in gone for t in (ENDPOINTS, CLUSTER)],
            )
            inbox += stream.update_snapshot(now)
        elif kind % 6 == 2:
            stream = DeltaStream(now, max_response_bytes=8)
            inbox = forwarder.begin(stream)
        elif kind % 6 == 3:
            try:
                check(
                    stream.handle_request(DeltaRequest(DEPENDENCY_ORDER[a % 5], nonce=f"old{b}"))
                    == [],
                    "a stale answer brought something",
                )
            except InvalidRequestError:
                pass
        elif inbox:
            inbox += stream.handle_request(forwarder.apply(inbox.pop(0)))
        check(stream.unacknowledged_bytes() <= 5 * 64, "under way:", stream.unacknowledged_bytes())
    now = now.with_changes(
        mark + 1, [i for n in NAMES for i in pair(n, b"end")] + [routes(list(NAMES))]
    )
    inbox += stream.update_snapshot(now)
    for _ in range(400):
        if not inbox:
            break
        inbox += stream.handle_request(forwarder.apply(inbox.pop(0)))
    check(not inbox, "it never comes to rest")
    for kind in DEPENDENCY_ORDER:
        check(
            {n: o.version for n, o in forwarder.held[kind].items()}
            == {n: o.version for n, o in now.by_type[kind].items()},
            kind,
            "is held as",
            sorted(forwarder.held[kind]),
        )
    check(SnapshotAcknowledged(mark + 1) in stream.events, "the last mark is not answered")
