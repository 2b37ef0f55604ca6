"""Named resources by type, as a controller offers them to xDS clients, versioned by content.

A snapshot is a persistent map: the next one shares what did not change, and the cost of a
difference depends on the number of changes only. A version is a hash of the content: another
assigner, with another history, gives the same resource the same version, and a stream that
reconnects there receives only the difference.
"""

from collections.abc import Iterable
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
# A type comes after the types it refers to: resources are added in this order and removed in the
# reverse order.
DEPENDENCY_ORDER = (CLUSTER, ENDPOINTS, LISTENER, ROUTES, VIRTUAL_HOSTS)


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource; `body` is opaque here, `references` are the (type, name) it refers to."""

    name: str
    body: bytes
    references: tuple[tuple[str, str], ...] = ()
    version: str = ""


def make_resource(name: str, body: bytes, references: Iterable[tuple[str, str]] = ()) -> Resource:
    """Returns a resource whose version is the hash of its body."""
    return Resource(name, body, tuple(references), xxhash.xxh64_hexdigest(body))


class DanglingReferenceError(ValueError):
    """A resource refers to one that does not exist."""


class Snapshot:
    """All resources at one time; `push_nonce` names the controller's push that it results from."""

    __slots__ = ("by_type", "push_nonce")

    def __init__(
        self, by_type: Map[str, Map[str, Resource]] | None = None, push_nonce: int = 0
    ) -> None:
        self.by_type: Map[str, Map[str, Resource]] = (
            by_type if by_type is not None else Map({t: Map() for t in DEPENDENCY_ORDER})
        )
        self.push_nonce = push_nonce

    def get(self, resource_type: str, name: str) -> Resource | None:
        """Returns the resource, or None if it does not exist."""
        return self.by_type[resource_type].get(name)

    def names(self, resource_type: str) -> Iterable[str]:
        """Returns the names of all resources of a type."""
        return self.by_type[resource_type].keys()

    def with_changes(
        self,
        push_nonce: int,
        updated: Iterable[tuple[str, Resource]] = (),
        removed: Iterable[tuple[str, str]] = (),
    ) -> "Snapshot":
        """Returns the next snapshot, which shares all unchanged resources with this one.

        `updated` has (type, resource), `removed` has (type, name). Raises DanglingReferenceError
        if an updated resource refers to one that does not exist, or if a removed resource that is
        not also updated is still referred to.
        """
        by_type = self.by_type
        for resource_type, name in removed:
            by_type = by_type.set(
                resource_type,
                by_type[resource_type].delete(name)
                if name in by_type[resource_type]
                else by_type[resource_type],
            )
        for resource_type, resource in updated:
            previous = by_type[resource_type].get(resource.name)
            if (
                previous is None
                or previous.version != resource.version
                or previous.references != resource.references
            ):
                by_type = by_type.set(
                    resource_type, by_type[resource_type].set(resource.name, resource)
                )
        snapshot = Snapshot(by_type, push_nonce)
        for resource_type, resource in updated:
            snapshot._check_references(resource_type, resource)
        missing = {
            (resource_type, name)
            for resource_type, name in removed
            if name not in by_type[resource_type]
        }
        if missing:
            for resource_type in DEPENDENCY_ORDER:
                for resource in by_type[resource_type].values():
                    if missing.intersection(resource.references):
                        snapshot._check_references(resource_type, resource)
        return snapshot

    def _check_references(self, resource_type: str, resource: Resource) -> None:
        for reference in resource.references:
            if reference[1] not in self.by_type[reference[0]]:
                raise DanglingReferenceError(
                    f"{resource_type} '{resource.name}' refers to {reference[0]} "
                    f"'{reference[1]}', which does not exist"
                )
