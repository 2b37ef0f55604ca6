"""The state-of-the-world form of a stream, over the delta form's state machine: the same order,
gathering and refusals.

Each response of a type has all that the forwarder is to hold of it. What it was asked to accept
before and did not refuse is kept here, so that a response differs from the last accepted one by
what the delta form would have sent."""

from dataclasses import dataclass, field

import xxhash

from .resources import DEPENDENCY_ORDER, Snapshot
from .stream import WILDCARD, DeltaRequest, DeltaResponse, DeltaStream, InvalidRequestError


@dataclass(frozen=True, slots=True)
class SotwRequest:
    """`version`: of the last response that was accepted, empty at first; `names` empty: all there
    are."""

    resource_type: str
    version: str = ""
    names: tuple = ()
    nonce: str = ""
    error: str | None = None


@dataclass(frozen=True, slots=True)
class SotwResponse:
    resource_type: str
    version: str
    nonce: str
    resources: tuple
    push_nonce: int


def version_of(resources: dict) -> str:
    """By content: names and versions in order, so that every assigner says the same of the same."""
    return xxhash.xxh64_hexdigest(
        "\n".join(f"{n} {resources[n].version}" for n in sorted(resources)).encode()
    )


@dataclass(slots=True)
class Accepted:
    resources: dict = field(default_factory=dict)  # by name, as last accepted
    offered: dict = field(default_factory=dict)  # with the response under way
    nonce: str = ""
    names: tuple | None = None


class SotwStream:
    """The same calls as `DeltaStream`: `handle_request`, `update_snapshot`, `begin`;
    responses are `SotwResponse`."""

    def __init__(self, snapshot: Snapshot, max_response_bytes: int = 1 << 20):
        self.stream, self.kinds = (
            DeltaStream(snapshot, max_response_bytes),
            {kind: Accepted() for kind in DEPENDENCY_ORDER},
        )

    @property
    def events(self) -> list:
        return self.stream.events

    def handle_request(self, request: SotwRequest) -> list:
        if request.resource_type not in self.kinds:
            raise InvalidRequestError(f"type '{request.resource_type[:60]}' is not served")
        kind = self.kinds[request.resource_type]
        if request.nonce and request.nonce != kind.nonce:
            # It speaks of a response that another has overtaken; what it subscribes to holds all
            # the same.
            self.stream.counts["stale"] += 1
            return self.told_of(
                self.stream.handle_request(
                    DeltaRequest(request.resource_type, *self.change(kind, request))
                )
            )
        first = kind.names is None
        subscribe, unsubscribe = self.change(kind, request)
        answer = {"nonce": request.nonce, "error": request.error} if request.nonce else {}
        if request.nonce and kind.nonce:
            if request.error is None:
                kind.resources = kind.offered
            kind.offered, kind.nonce = kind.resources, ""
        holds = None
        if first and request.version and not request.nonce:
            # It returns. Its version tells what it holds where that is what stands here; else all
            # is told anew.
            there = self.there(request)
            if version_of(there) == request.version:
                kind.resources = kind.offered = there
                holds = {name: one.version for name, one in there.items()}
        made = self.told_of(
            self.stream.handle_request(
                DeltaRequest(request.resource_type, subscribe, unsubscribe, holds, **answer)
            )
        )
        return made

    def there(self, request) -> dict:
        all_of = self.stream.snapshot.by_type[request.resource_type]
        return {n: all_of[n] for n in (request.names or all_of) if n in all_of}

    @staticmethod
    def change(kind, request):
        """What a list of names says against the one before: (subscribe, unsubscribe)."""
        names = tuple(dict.fromkeys(request.names)) or (WILDCARD,)
        before = kind.names or ()
        kind.names = names
        gone = tuple(n for n in before if n not in names)
        for name in gone if WILDCARD not in names else ():
            kind.resources = {n: one for n, one in kind.resources.items() if n != name}
        return tuple(n for n in names if n not in before), gone

    def update_snapshot(self, snapshot: Snapshot) -> list:
        return self.told_of(self.stream.update_snapshot(snapshot))

    def begin(self) -> list:
        return self.told_of(self.stream.begin())

    def told_of(self, responses: list) -> list:
        made = []
        for r in responses:
            kind = self.kinds[r.resource_type]
            kind.offered = {n: one for n, one in kind.resources.items() if n not in r.removed} | {
                one.name: one for one in r.resources
            }
            kind.nonce = r.nonce
            made.append(self.all_of(r, kind))
        return made

    @staticmethod
    def all_of(response: DeltaResponse, kind: Accepted) -> SotwResponse:
        return SotwResponse(
            response.resource_type,
            version_of(kind.offered),
            response.nonce,
            tuple(kind.offered[n] for n in sorted(kind.offered)),
            response.push_nonce,
        )
