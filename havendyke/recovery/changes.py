"""Changes to the persisted state, and the difference between two states.

A snapshot is the difference from the empty state.
"""

from dataclasses import dataclass

from .state import (
    Estimate,
    PersistedState,
    PushProgress,
    ServerRecord,
    SliceTable,
    Tombstone,
)
from .timestamps import Timestamp


@dataclass(frozen=True, slots=True)
class SetListVersion:
    """Sets the version of the last endpoint list."""

    version: int

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.list_version = self.version


@dataclass(frozen=True, slots=True)
class SetLastAlive:
    """Sets the time at which the process was last known to run."""

    at: Timestamp | None

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.last_alive = self.at


@dataclass(frozen=True, slots=True)
class SetServer:
    """Adds or replaces a server."""

    uid: str
    record: ServerRecord

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.servers[self.uid] = self.record


@dataclass(frozen=True, slots=True)
class RemoveServer:
    """Removes a server that is no longer listed."""

    uid: str

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.servers.pop(self.uid, None)


@dataclass(frozen=True, slots=True)
class SetTombstone:
    """Sets the tombstone of a server."""

    uid: str
    tombstone: Tombstone

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state; the tombstone becomes the newest."""
        state.tombstones.pop(self.uid, None)
        state.tombstones[self.uid] = self.tombstone


@dataclass(frozen=True, slots=True)
class RemoveTombstone:
    """Removes a tombstone that no longer applies."""

    uid: str

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.tombstones.pop(self.uid, None)


@dataclass(frozen=True, slots=True)
class EjectServer:
    """Marks a server as ejected."""

    uid: str

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.ejected[self.uid] = None


@dataclass(frozen=True, slots=True)
class UnejectServer:
    """Marks a server as no longer ejected."""

    uid: str

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.ejected.pop(self.uid, None)


@dataclass(frozen=True, slots=True)
class SetSlice:
    """Sets the published table of a slice."""

    number: int
    table: SliceTable

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.slices[self.number] = self.table


@dataclass(frozen=True, slots=True)
class RemoveSlice:
    """Removes a slice whose table is no longer persisted."""

    number: int

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.slices.pop(self.number, None)


@dataclass(frozen=True, slots=True)
class SetPush:
    """Sets the last push or the number of its acknowledgements."""

    push: PushProgress

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.push = self.push


@dataclass(frozen=True, slots=True)
class SetEstimate:
    """Sets an estimate."""

    name: str
    estimate: Estimate

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.estimates[self.name] = self.estimate


@dataclass(frozen=True, slots=True)
class RemoveEstimate:
    """Removes the estimate of a server or slice that no longer exists."""

    name: str

    def apply(self, state: PersistedState) -> None:
        """Applies the change to a state."""
        state.estimates.pop(self.name, None)


Change = (
    SetListVersion
    | SetLastAlive
    | SetServer
    | RemoveServer
    | SetTombstone
    | RemoveTombstone
    | EjectServer
    | UnejectServer
    | SetSlice
    | RemoveSlice
    | SetPush
    | SetEstimate
    | RemoveEstimate
)


def difference(current: PersistedState, desired: PersistedState) -> list[Change]:
    """Returns the changes that turn `current` into `desired`, in the order to apply them.

    A push is only ever replaced by a later one, never removed.
    A tombstone is set before its server changes and removed afterwards: otherwise, a state that is
    truncated in between could list a drained server as one that never drained.
    """
    return [
        *_header_difference(current, desired),
        *_set_server_changes(current, desired),
        *_removed_server_changes(current, desired),
        *_ejection_difference(current, desired),
        *_slice_difference(current, desired),
        *_estimate_difference(current, desired),
    ]


def snapshot(state: PersistedState) -> list[Change]:
    """Returns the changes that turn the empty state into `state`."""
    return difference(PersistedState(), state)


def _header_difference(current: PersistedState, desired: PersistedState) -> list[Change]:
    changes: list[Change] = []
    if desired.list_version != current.list_version:
        changes.append(SetListVersion(desired.list_version))
    if desired.last_alive != current.last_alive:
        changes.append(SetLastAlive(desired.last_alive))
    return changes


def _set_server_changes(current: PersistedState, desired: PersistedState) -> list[Change]:
    tombstones: list[Change] = [
        SetTombstone(uid, tombstone)
        for uid, tombstone in desired.tombstones.items()
        if current.tombstones.get(uid) != tombstone
    ]
    servers: list[Change] = [
        SetServer(uid, record)
        for uid, record in desired.servers.items()
        if current.servers.get(uid) != record
    ]
    return tombstones + servers


def _removed_server_changes(current: PersistedState, desired: PersistedState) -> list[Change]:
    servers: list[Change] = [
        RemoveServer(uid) for uid in current.servers if uid not in desired.servers
    ]
    tombstones: list[Change] = [
        RemoveTombstone(uid) for uid in current.tombstones if uid not in desired.tombstones
    ]
    return servers + tombstones


def _ejection_difference(current: PersistedState, desired: PersistedState) -> list[Change]:
    ejected: list[Change] = [
        EjectServer(uid) for uid in desired.ejected if uid not in current.ejected
    ]
    unejected: list[Change] = [
        UnejectServer(uid) for uid in current.ejected if uid not in desired.ejected
    ]
    return ejected + unejected


def _slice_difference(current: PersistedState, desired: PersistedState) -> list[Change]:
    tables: list[Change] = [
        SetSlice(number, table)
        for number, table in desired.slices.items()
        if current.slices.get(number) != table
    ]
    removed: list[Change] = [
        RemoveSlice(number) for number in current.slices if number not in desired.slices
    ]
    push: list[Change] = []
    if desired.push is not None and desired.push != current.push:
        push.append(SetPush(desired.push))
    return tables + removed + push


def _estimate_difference(current: PersistedState, desired: PersistedState) -> list[Change]:
    estimates: list[Change] = [
        SetEstimate(name, estimate)
        for name, estimate in desired.estimates.items()
        if current.estimates.get(name) != estimate
    ]
    removed: list[Change] = [
        RemoveEstimate(name) for name in current.estimates if name not in desired.estimates
    ]
    return estimates + removed
