"""The state of the world variant of a stream, on top of the incremental state machine.

The order of responses, the collecting of changes and the handling of rejections are those of the
incremental variant. Each response has all resources of its type that the proxy is to hold: those
that it last accepted, which this module keeps, with the changes of the incremental response.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import xxhash

from .resources import DEPENDENCY_ORDER, Resource, Snapshot
from .stream import (
    WILDCARD,
    DeltaRequest,
    DeltaResponse,
    DeltaStream,
    InvalidRequestError,
    ResourcesRejected,
    SnapshotAcknowledged,
)


@dataclass(frozen=True, slots=True)
class SotwRequest:
    """A request of the state of the world protocol.

    `version` is that of the last accepted response, empty at first; no `names` subscribe to all
    resources of the type.
    """

    resource_type: str
    version: str = ""
    names: tuple[str, ...] = ()
    nonce: str = ""
    error: str | None = None


@dataclass(frozen=True, slots=True)
class SotwResponse:
    """A response with all subscribed resources of a type."""

    resource_type: str
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    push_nonce: int


def collection_version(resources: Mapping[str, Resource]) -> str:
    """Returns a hash of the names and versions, which is the same at every assigner."""
    return xxhash.xxh64_hexdigest(
        "\n".join(f"{n} {resources[n].version}" for n in sorted(resources)).encode()
    )


@dataclass(slots=True)
class SotwTypeState:
    """One resource type on one stream."""

    accepted: dict[str, Resource] = field(default_factory=dict)  # by name
    offered: dict[str, Resource] = field(default_factory=dict)  # in the response in flight
    nonce: str = ""  # of the response in flight
    names: tuple[str, ...] | None = None  # subscribed names; None: not requested yet


class SotwStream:
    """A stream of the state of the world protocol, with the methods of `DeltaStream`."""

    def __init__(self, snapshot: Snapshot, max_response_bytes: int = 1 << 20) -> None:
        self.stream = DeltaStream(snapshot, max_response_bytes)
        self.type_states = {resource_type: SotwTypeState() for resource_type in DEPENDENCY_ORDER}

    @property
    def events(self) -> list[SnapshotAcknowledged | ResourcesRejected]:
        """The events of the incremental state machine."""
        return self.stream.events

    def handle_request(self, request: SotwRequest) -> list[SotwResponse]:
        """Applies a request; returns the responses to send."""
        if request.resource_type not in self.type_states:
            raise InvalidRequestError(f"type '{request.resource_type[:60]}' is not served")
        state = self.type_states[request.resource_type]
        if request.nonce and request.nonce != state.nonce:
            # A later response superseded the one that this answers; the subscriptions still count.
            self.stream.counts["stale"] += 1
            return self._to_sotw(
                self.stream.handle_request(
                    DeltaRequest(request.resource_type, *self._update_subscriptions(state, request))
                )
            )
        is_first = state.names is None
        subscribe, unsubscribe = self._update_subscriptions(state, request)
        answer: dict[str, Any] = (
            {"nonce": request.nonce, "error": request.error} if request.nonce else {}
        )
        if request.nonce and state.nonce:
            if request.error is None:
                state.accepted = state.offered
            state.offered, state.nonce = state.accepted, ""
        initial_versions = None
        if is_first and request.version and not request.nonce:
            # The proxy reconnected. If its version is the current one, it holds the current
            # resources; otherwise all are sent.
            current = self._current_resources(request)
            if collection_version(current) == request.version:
                state.accepted = state.offered = current
                initial_versions = {name: resource.version for name, resource in current.items()}
        responses = self._to_sotw(
            self.stream.handle_request(
                DeltaRequest(
                    request.resource_type, subscribe, unsubscribe, initial_versions, **answer
                )
            )
        )
        return responses

    def _current_resources(self, request: SotwRequest) -> dict[str, Resource]:
        resources = self.stream.snapshot.by_type[request.resource_type]
        return {n: resources[n] for n in (request.names or resources) if n in resources}

    @staticmethod
    def _update_subscriptions(
        state: SotwTypeState, request: SotwRequest
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Replaces the subscribed names; returns the (added, removed) ones."""
        names = tuple(dict.fromkeys(request.names)) or (WILDCARD,)
        previous = state.names or ()
        state.names = names
        removed = tuple(n for n in previous if n not in names)
        for name in removed if WILDCARD not in names else ():
            state.accepted = {n: r for n, r in state.accepted.items() if n != name}
        return tuple(n for n in names if n not in previous), removed

    def update_snapshot(self, snapshot: Snapshot) -> list[SotwResponse]:
        """Replaces the snapshot to serve; returns the responses to send."""
        return self._to_sotw(self.stream.update_snapshot(snapshot))

    def finish_initial_requests(self) -> list[SotwResponse]:
        """Assumes that the proxy holds no resources of types it has not requested by now."""
        return self._to_sotw(self.stream.finish_initial_requests())

    def _to_sotw(self, delta_responses: list[DeltaResponse]) -> list[SotwResponse]:
        responses = []
        for delta in delta_responses:
            state = self.type_states[delta.resource_type]
            state.offered = {n: r for n, r in state.accepted.items() if n not in delta.removed} | {
                resource.name: resource for resource in delta.resources
            }
            state.nonce = delta.nonce
            responses.append(self._complete_response(delta, state))
        return responses

    @staticmethod
    def _complete_response(delta: DeltaResponse, state: SotwTypeState) -> SotwResponse:
        return SotwResponse(
            delta.resource_type,
            collection_version(state.offered),
            delta.nonce,
            tuple(state.offered[n] for n in sorted(state.offered)),
            delta.push_nonce,
        )
