"""The state machine of one incremental (delta) xDS stream; no I/O and no clock.

The caller passes in the proxy's requests (`handle_request`) and each new snapshot
(`update_snapshot`); both return the responses to send, in order. `events` collects what the
controller has to know: acknowledged snapshots and rejected resources.

Each resource type has at most one response in flight; later changes are collected until it is
acknowledged. Resources are added in the order of their dependencies, each once all resources it
refers to are acknowledged, and removed once no acknowledged resource refers to them. A rejected
resource is not sent again until its content changes, and delays no other: the proxy keeps the last
version that it accepted.

A request whose nonce is not that of the response in flight is stale; only its subscriptions count.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from .resources import DEPENDENCY_ORDER, Resource, Snapshot

WILDCARD = "*"


class InvalidRequestError(ValueError):
    """A request violates the protocol; the stream ends with this message."""


@dataclass(frozen=True, slots=True)
class DeltaRequest:
    """A request of the incremental protocol.

    It subscribes to and unsubscribes from names, states the versions that the proxy held when the
    stream opened, and answers the response with `nonce`: rejected if `error` is set, acknowledged
    otherwise.
    """

    resource_type: str
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial_versions: dict[str, str] | None = None  # by name
    nonce: str = ""
    error: str | None = None


@dataclass(frozen=True, slots=True)
class DeltaResponse:
    """A response of the incremental protocol: changed resources and removed names."""

    resource_type: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...]
    push_nonce: int


@dataclass(frozen=True, slots=True)
class SnapshotAcknowledged:
    """The proxy holds all resources of a push that it subscribed to and did not reject."""

    push_nonce: int


@dataclass(frozen=True, slots=True)
class ResourcesRejected:
    """The proxy rejected a response with these names."""

    resource_type: str
    names: tuple[str, ...]
    error: str


@dataclass(slots=True)
class InFlightResponse:
    """A response that was neither acknowledged nor rejected yet."""

    nonce: str
    resources: dict[str, Resource]  # by name
    removed: tuple[str, ...]
    size: int  # bytes of the resources' bodies


@dataclass(slots=True)
class TypeState:
    """One resource type on one stream."""

    wildcard: bool = False
    subscribed_names: set[str] = field(default_factory=set)
    # Versions that the proxy acknowledged, and what these refer to, by name.
    acknowledged: dict[str, str] = field(default_factory=dict)
    references: dict[str, tuple[tuple[str, str], ...]] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)  # rejected versions by name
    # Versions by name that were rejected together with others; each is sent again in a response
    # of its own.
    suspect: dict[str, str] = field(default_factory=dict)
    reported_missing: set[str] = field(default_factory=set)  # names reported not to exist
    requested: bool = False  # any request had this type
    in_flight: InFlightResponse | None = None


class DeltaStream:
    """A stream of the incremental protocol.

    A response holds resources of at most `max_response_bytes`, or a single larger one; a larger
    difference is sent in several responses, each after the previous one is answered.
    """

    def __init__(self, snapshot: Snapshot, max_response_bytes: int = 1 << 20) -> None:
        self.snapshot = snapshot
        self.max_response_bytes = max_response_bytes
        self.last_nonce = 0
        self.type_states = {resource_type: TypeState() for resource_type in DEPENDENCY_ORDER}
        self.events: list[SnapshotAcknowledged | ResourcesRejected] = []
        self.acknowledged_push = 0
        self.initial_requests_done = False
        self.counts = {"responses": 0, "acks": 0, "nacks": 0, "stale": 0}

    def handle_request(self, request: DeltaRequest) -> list[DeltaResponse]:
        """Applies a request; returns the responses to send."""
        if request.resource_type not in self.type_states:
            raise InvalidRequestError(f"type '{request.resource_type[:60]}' is not served")
        state = self.type_states[request.resource_type]
        if request.nonce:
            self._handle_answer(request, state)
        elif request.error is not None:
            raise InvalidRequestError("error_detail without a response_nonce")
        if request.initial_versions is not None:
            if state.requested:
                raise InvalidRequestError(
                    "initial_resource_versions after the first request for a type"
                )
            state.acknowledged = dict(request.initial_versions)
            # Only the references of the current version are known here, not those of earlier ones.
            for name, version in request.initial_versions.items():
                resource = self.snapshot.get(request.resource_type, name)
                if resource is not None and resource.version == version:
                    state.references[name] = resource.references
        is_first, state.requested = not state.requested, True
        if is_first and not request.subscribe and not request.nonce:
            state.wildcard = True  # legacy: a first request without names subscribes to all
        for name in request.subscribe:
            if name == WILDCARD:
                state.wildcard = True
            else:
                state.subscribed_names.add(name)
                state.reported_missing.discard(name)
                # A resource that is subscribed to by name is sent again even if it is unchanged.
                if name in state.acknowledged and not is_first:
                    del state.acknowledged[name]
        for name in request.unsubscribe:
            if name == WILDCARD:
                state.wildcard = False
            state.subscribed_names.discard(name)
            state.reported_missing.discard(name)
        self._forget_unsubscribed(state)
        return self._next_responses()

    def _handle_answer(self, request: DeltaRequest, state: TypeState) -> None:
        if state.in_flight is None or request.nonce != state.in_flight.nonce:
            self.counts["stale"] += 1
            return
        answered, state.in_flight = state.in_flight, None
        if request.error is not None:
            self.counts["nacks"] += 1
            if answered.removed:
                # A removal has no content to reject; the proxy is taken to have applied it.
                self._forget(state, answered.removed)
            versions = {name: resource.version for name, resource in answered.resources.items()}
            if len(versions) > 1:
                # The rejection does not say which resource is at fault, and the valid ones must
                # not be delayed.
                state.suspect |= versions
                return
            state.rejected |= versions
            self.events.append(
                ResourcesRejected(
                    request.resource_type,
                    tuple(sorted(answered.resources) or answered.removed),
                    request.error[:300],
                )
            )
            return
        self.counts["acks"] += 1
        for name, resource in answered.resources.items():
            state.acknowledged[name], state.references[name] = (
                resource.version,
                resource.references,
            )
            state.rejected.pop(name, None)
            state.suspect.pop(name, None)
        self._forget(state, answered.removed)

    @staticmethod
    def _forget(state: TypeState, names: Iterable[str]) -> None:
        for name in names:
            state.acknowledged.pop(name, None)
            state.references.pop(name, None)
            state.rejected.pop(name, None)
            state.suspect.pop(name, None)

    @staticmethod
    def _forget_unsubscribed(state: TypeState) -> None:
        if not state.wildcard:
            for name in [n for n in state.acknowledged if n not in state.subscribed_names]:
                state.acknowledged.pop(name)
                state.references.pop(name, None)
            for versions in (state.rejected, state.suspect):
                for name in [n for n in versions if n not in state.subscribed_names]:
                    del versions[name]

    def update_snapshot(self, snapshot: Snapshot) -> list[DeltaResponse]:
        """Replaces the snapshot to serve; returns the responses to send."""
        self.snapshot = snapshot
        return self._next_responses()

    def finish_initial_requests(self) -> list[DeltaResponse]:
        """Assumes that the proxy holds no resources of types it has not requested by now.

        The caller calls this a moment after the stream opened.
        """
        self.initial_requests_done = True
        return self._next_responses()

    def _next_responses(self) -> list[DeltaResponse]:
        """Derives all responses from the difference between subscribed and acknowledged resources.

        Adds a `SnapshotAcknowledged` event once nothing is left to send and nothing is in flight.
        """
        responses = []
        for resource_type in DEPENDENCY_ORDER:
            if response := self._additions(resource_type):
                responses.append(response)
        for resource_type in reversed(DEPENDENCY_ORDER):
            if response := self._removals(resource_type):
                responses.append(response)
        if (
            not responses
            and all(state.in_flight is None for state in self.type_states.values())
            and self.snapshot.push_nonce != self.acknowledged_push
            and any(state.requested for state in self.type_states.values())
        ):
            self.acknowledged_push = self.snapshot.push_nonce
            self.events.append(SnapshotAcknowledged(self.acknowledged_push))
        return responses

    def _existing_names(self, state: TypeState, resource_type: str) -> Iterable[str]:
        """Returns the subscribed names that exist."""
        resources: Mapping[str, Resource] = self.snapshot.by_type[resource_type]
        return (
            resources.keys()
            if state.wildcard
            else [name for name in sorted(state.subscribed_names) if name in resources]
        )

    def _additions(self, resource_type: str) -> DeltaResponse | None:
        state = self.type_states[resource_type]
        if not state.requested or state.in_flight is not None:
            return None
        resources: dict[str, Resource] = {}
        size = 0
        first_suspect: Resource | None = None
        for name in self._existing_names(state, resource_type):
            resource: Any = self.snapshot.get(resource_type, name)  # not None
            if (
                state.acknowledged.get(name) == resource.version
                or state.rejected.get(name) == resource.version
                or not self._references_acknowledged(resource)
            ):
                continue
            if state.suspect.get(name) == resource.version:
                first_suspect = first_suspect or resource
                continue
            if resources and size + len(resource.body) > self.max_response_bytes:
                break
            resources[name], size = resource, size + len(resource.body)
        if not resources and first_suspect is not None:
            resources, size = {first_suspect.name: first_suspect}, len(first_suspect.body)
        missing = tuple(
            name
            for name in sorted(state.subscribed_names)
            if name not in self.snapshot.by_type[resource_type]
            and name not in state.reported_missing
            and name not in state.acknowledged
        )
        state.reported_missing.update(missing)
        return self._send(resource_type, resources, missing, size) if resources or missing else None

    def _references_acknowledged(self, resource: Resource) -> bool:
        """Whether the proxy holds what a resource refers to, of the types it requests.

        A resource whose removal is in flight counts as removed already.
        """
        return all(
            not self.type_states[resource_type].requested
            or name in self.type_states[resource_type].acknowledged
            and not (
                self.type_states[resource_type].in_flight
                and name in self.type_states[resource_type].in_flight.removed  # type: ignore[union-attr]
            )
            for resource_type, name in resource.references
        )

    def _removals(self, resource_type: str) -> DeltaResponse | None:
        state = self.type_states[resource_type]
        if not state.requested or state.in_flight is not None:
            return None
        dependents = [
            self.type_states[later]
            for later in DEPENDENCY_ORDER[DEPENDENCY_ORDER.index(resource_type) + 1 :]
        ]
        # A proxy that reconnected may hold resources with unknown references; these are updated
        # or removed first.
        if (
            any(
                name not in dependent.references
                for dependent in dependents
                for name in dependent.acknowledged
            )
            or not self.initial_requests_done
            and not all(dependent.requested for dependent in dependents)
        ):
            return None
        in_use = {
            reference
            for other in self.type_states.values()
            for references in other.references.values()
            for reference in references
        }
        in_use |= {
            reference
            for other in self.type_states.values()
            if other.in_flight
            for resource in other.in_flight.resources.values()
            for reference in resource.references
        }
        removed = tuple(
            name
            for name in sorted(state.acknowledged)
            if name not in self.snapshot.by_type[resource_type]
            and (resource_type, name) not in in_use
        )
        return self._send(resource_type, {}, removed, 0) if removed else None

    def _send(
        self,
        resource_type: str,
        resources: dict[str, Resource],
        removed: tuple[str, ...],
        size: int,
    ) -> DeltaResponse:
        self.last_nonce += 1
        self.counts["responses"] += 1
        self.type_states[resource_type].in_flight = InFlightResponse(
            f"{self.last_nonce:x}", resources, removed, size
        )
        return DeltaResponse(
            resource_type,
            f"{self.last_nonce:x}",
            tuple(resources.values()),
            removed,
            self.snapshot.push_nonce,
        )

    def unacknowledged_bytes(self) -> int:
        """Returns the size of all responses in flight: the cost of a client that stalls."""
        return sum(state.in_flight.size for state in self.type_states.values() if state.in_flight)
