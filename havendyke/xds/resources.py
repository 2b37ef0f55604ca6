"""What a controller offers to forwarders that speak xDS: named resources by type, versions by
content.

A snapshot is a persistent map, so that the next one shares what did not change and a difference
costs by what did. A version is a hash of the content: another assigner, with another history, gives
the same resource the same version, and a stream that comes back from there is told the difference
only."""

from dataclasses import dataclass

import xxhash
from immutables import Map

CLUSTER, ENDPOINTS, LISTENER, ROUTES, VIRTUAL_HOSTS = (
    "cluster",
    "endpoints",
    "listener",
    "routes",
    "hosts",
)
# What refers to another type comes after it: an addition goes out in this order, a removal in the
# other.
DEPENDENCY_ORDER = (CLUSTER, ENDPOINTS, LISTENER, ROUTES, VIRTUAL_HOSTS)


@dataclass(frozen=True, slots=True)
class Resource:
    """`body` is what goes on the wire, opaque here; `needs` names the resources it refers to,
    (type, name)."""

    name: str
    body: bytes
    references: tuple = ()
    version: str = ""


def make_resource(name: str, body: bytes, needs=()) -> Resource:
    return Resource(name, body, tuple(needs), xxhash.xxh64_hexdigest(body))


class DanglingReferenceError(ValueError):
    """A resource refers to one that is not there."""


class Snapshot:
    """All resources at a time; `mark` is the push that made it, for the controller's account."""

    __slots__ = ("by_type", "push_nonce")

    def __init__(self, types: Map = None, mark: int = 0):
        self.by_type, self.push_nonce = (
            types if types is not None else Map({t: Map() for t in DEPENDENCY_ORDER}),
            mark,
        )

    def get(self, kind: str, name: str) -> Resource | None:
        return self.by_type[kind].get(name)

    def names(self, kind: str):
        return self.by_type[kind].keys()

    def with_changes(self, mark: int, put=(), drop=()) -> "Snapshot":
        """The next snapshot: `put` are (type, Resource), `drop` (type, name). What nothing changes
        is shared. DanglingReferenceError where one of the put refers to nothing, or something still
        refers to what is dropped and put in nobody's place."""
        types = self.by_type
        for kind, name in drop:
            types = types.set(
                kind, types[kind].delete(name) if name in types[kind] else types[kind]
            )
        for kind, one in put:
            before = types[kind].get(one.name)
            if (
                before is None
                or before.version != one.version
                or before.references != one.references
            ):
                types = types.set(kind, types[kind].set(one.name, one))
        made = Snapshot(types, mark)
        for kind, one in put:
            made.whole(kind, one)
        gone = {(kind, name) for kind, name in drop if name not in types[kind]}
        if gone:
            for kind in DEPENDENCY_ORDER:
                for one in types[kind].values():
                    if gone.intersection(one.references):
                        made.whole(kind, one)
        return made

    def whole(self, kind, one):
        for need in one.references:
            if need[1] not in self.by_type[need[0]]:
                raise DanglingReferenceError(
                    f"{kind} '{one.name}' refers to {need[0]} '{need[1]}', which is not there"
                )
