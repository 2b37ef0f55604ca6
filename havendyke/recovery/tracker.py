"""Tracks what must be persisted of the lists, events and orders of an assigner.

Without I/O. Each endpoint list comes before the controller sees it, since a tombstone may outlive
it; the events and orders of a reconciliation come after it. Only what they touched is compared with
what is persisted, so that the cost does not grow with the fleet.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import TYPE_CHECKING

from .. import interface as core
from .changes import Change, difference
from .codec import apply_record, encode
from .reconciliation import ServerReconciler
from .state import (
    LEARNED_SERVER_PREFIX,
    EvidenceSource,
    LearnedFigure,
    PersistedState,
    PushProgress,
    ServerRecord,
    SliceTable,
    learned_server,
    learned_slice,
)
from .timestamps import Timestamp
from .trust import ServerAssessment

if TYPE_CHECKING:
    from ..policy import Controller
    from ..state import Slice

# Least time between two persisted sets of learned figures.
LEARNING_INTERVAL_MS = 10_000.0
# Least time between two persisted confirmations of an unchanged server.
CONFIRMATION_INTERVAL_MS = 60_000.0
LEARNED_DIGITS = 3  # decimal places


class _Part(Enum):
    """Parts of the state that are small enough to be compared as a whole."""

    EJECTED = auto()
    PUSH = auto()
    LEARNED = auto()


@dataclass(slots=True)
class ListedServer:
    """An entry of an endpoint list: its record, and the event's own entry."""

    uid: str
    record: ServerRecord
    entry: core.EndpointEntry


class StateTracker:
    """Owns the state as it is to be persisted (`desired`) and as `take_changes` last left it.

    For the assigner's thread only.
    """

    def __init__(
        self, state: PersistedState, now: Callable[[], Timestamp], warm_up_ms: float
    ) -> None:
        """Recovers from a state as it was loaded; `now` reads the clock."""
        self.desired = state
        self.counts = {"trust_raised": 0, "tombstones_upheld": 0, "changes": 0}
        self._persisted = state.copy()
        self._now = now
        self.reconciler = ServerReconciler(state, now(), warm_up_ms)
        self._learned_uptime_ms = -math.inf
        self._touched_servers = set(state.servers)
        self._touched_slices: set[Slice] = set()
        self._touched_parts = set(_Part)

    @property
    def assessments(self) -> list[ServerAssessment]:
        """What is believed of the servers at the recovery: the list to start with."""
        return self.reconciler.assessments

    # Called for each list and reconciliation

    def apply_list(
        self, update: core.EndpointListUpdate, listed: Sequence[ListedServer]
    ) -> core.EndpointListUpdate:
        """The update as the controller is to see it, with the tombstones that outlive it."""
        now = self._now()
        if update.scope == core.ListScope.COMPLETE:
            self._remove_unlisted({server.uid for server in listed}, now)
        entries = [self._apply_listed(server, now) for server in listed]
        if listed:
            self.desired.list_version = max(server.record.list_version for server in listed)
        return replace(update, entries=entries)

    def record(
        self, events: Iterable[core.Event], orders: Iterable[core.Order]
    ) -> list[ServerAssessment]:
        """Notes a reconciliation; returns the assessments that its evidence has raised."""
        raised = []
        for event in events:
            assessment = self._record_event(event)
            if assessment is not None:
                raised.append(assessment)
        for order in orders:
            self._record_order(order)
        return raised

    def record_estimates(self, controller: "Controller") -> None:
        """Takes over the controller's estimates, once in `LEARNING_INTERVAL_MS`."""
        now = self._now()
        if now.uptime_ms - self._learned_uptime_ms < LEARNING_INTERVAL_MS:
            return
        self._learned_uptime_ms = now.uptime_ms
        self.desired.last_alive = now
        learned = self.desired.learned
        for server in controller.servers:
            if server.state == core.ServerState.READY and server.capacity > 0:
                capacity = round(server.capacity, LEARNED_DIGITS)
                learned[learned_server(server.id)] = LearnedFigure(capacity, now)
        for slice_ in controller.slices:
            if slice_.assigned and slice_.demand is not None:
                demand = round(max(slice_.demand, 0.0), LEARNED_DIGITS)
                learned[learned_slice(slice_.id)] = LearnedFigure(demand, now)
        self._forget_departed_servers()
        self._touched_parts.add(_Part.LEARNED)

    # Called to commit

    def take_changes(self) -> list[Change]:
        """What has changed since the last call; from here on it counts as persisted.

        Raises `RecordError` where a record could not be read back; the next call tries again.
        """
        for slice_ in self._touched_slices:
            weights = {server.id: weight for server, weight in slice_.published.items()}
            self.desired.slices[slice_.id] = SliceTable(weights, slice_.assigned)
        if not self._anything_touched():
            return []
        numbers = {slice_.id for slice_ in self._touched_slices}
        changes = difference(
            self.touched_part(self._persisted, self._touched_servers, numbers),
            self.touched_part(self.desired, self._touched_servers, numbers),
        )
        for change in changes:
            # By way of the stored form, so that nothing is written that cannot be read.
            apply_record(self._persisted, *encode(change))
        self._touched_servers = set()
        self._touched_slices = set()
        self._touched_parts = set()
        self.counts["changes"] += len(changes)
        return changes

    def snapshot(self) -> PersistedState:
        """A copy of the state with all changes that `take_changes` returned."""
        return self._persisted.copy()

    def touched_part(
        self, state: PersistedState, uids: Iterable[str], numbers: Iterable[int]
    ) -> PersistedState:
        """The part of a state that is to be compared."""
        uids, numbers = sorted(uids), sorted(numbers)
        parts = self._touched_parts
        return PersistedState(
            servers={uid: state.servers[uid] for uid in uids if uid in state.servers},
            tombstones={uid: state.tombstones[uid] for uid in uids if uid in state.tombstones},
            ejected=state.ejected if _Part.EJECTED in parts else {},
            slices={number: state.slices[number] for number in numbers if number in state.slices},
            push=state.push if _Part.PUSH in parts else None,
            learned=state.learned if _Part.LEARNED in parts else {},
            list_version=state.list_version,
            last_alive=state.last_alive,
        )

    # Lists

    def _remove_unlisted(self, listed_uids: set[str], now: Timestamp) -> None:
        for uid in [uid for uid in self.desired.servers if uid not in listed_uids]:
            self.reconciler.apply_unlisted(uid, now)
            self._touched_servers.add(uid)

    def _apply_listed(self, listed: ListedServer, now: Timestamp) -> core.EndpointEntry:
        uid = listed.uid
        previous = self.desired.servers.get(uid)
        record = self.reconciler.apply_listed(uid, listed.record, now)
        entry = listed.entry
        if record.state != listed.record.state:
            self.counts["tombstones_upheld"] += 1
            entry = replace(entry, state=record.state)
        if (
            previous is not None
            and uid in self.desired.servers
            and _lately_confirmed(previous, record, now)
        ):
            self.desired.servers[uid] = previous
        self._touched_servers.add(uid)
        return entry

    # Reconciliations

    def _record_event(self, event: core.Event) -> ServerAssessment | None:
        match event:
            case core.ServerLoadReport():
                if event.attempts > event.failures:
                    return self._apply_evidence(event.server.id, EvidenceSource.LOAD_REPORT)
            case core.HealthCheckResult():
                if event.outcome == core.HealthCheckOutcome.PASSED:
                    return self._apply_evidence(event.server.id, EvidenceSource.HEALTH_CHECK)
            case core.SnapshotEntry():
                self._touched_slices.add(event.slice)
                if event.weight > 0:
                    return self._apply_evidence(event.server.id, EvidenceSource.SNAPSHOT)
            case core.SliceAssignment():
                self._touched_slices.add(event.slice)
            case core.PushAcknowledged():
                self._count_acknowledgement(event.nonce)
        return None

    def _apply_evidence(self, uid: str, source: EvidenceSource) -> ServerAssessment | None:
        if uid not in self.reconciler.unconfirmed_trust:
            return None
        assessment = self.reconciler.apply_evidence(uid, source, self._now())
        if assessment is not None:
            self.counts["trust_raised"] += 1
            self._touched_servers.add(uid)
        return assessment

    def _count_acknowledgement(self, nonce: int) -> None:
        push = self.desired.push
        if push is not None and push.nonce == nonce:
            self.desired.push = PushProgress(nonce, push.acknowledgements + 1)
            self._touched_parts.add(_Part.PUSH)

    def _record_order(self, order: core.Order) -> None:
        match order:
            case core.SetEndpointWeight() | core.ClearTable():
                self._touched_slices.add(order.slice)
            case core.SetEjection():
                if order.ejected:
                    self.desired.ejected[order.server.id] = None
                else:
                    self.desired.ejected.pop(order.server.id, None)
                self._touched_parts.add(_Part.EJECTED)
            case core.RequestAcknowledgement():
                self.desired.push = PushProgress(order.nonce, 0)
                self._touched_parts.add(_Part.PUSH)

    # Helpers

    def _forget_departed_servers(self) -> None:
        learned = self.desired.learned
        departed = [
            name
            for name in learned
            if name.startswith(LEARNED_SERVER_PREFIX)
            and name.removeprefix(LEARNED_SERVER_PREFIX) not in self.desired.servers
        ]
        for name in departed:
            del learned[name]

    def _anything_touched(self) -> bool:
        return bool(
            self._touched_servers
            or self._touched_slices
            or self._touched_parts
            or self.desired.list_version != self._persisted.list_version
        )


def _lately_confirmed(previous: ServerRecord, record: ServerRecord, now: Timestamp) -> bool:
    """Whether a record adds nothing to the one before, which was confirmed a short time ago."""
    confirmed = previous.confirmed
    unchanged = replace(record, confirmed=confirmed, list_version=previous.list_version) == previous
    return (
        unchanged
        and confirmed is not None
        and now.boot_id == confirmed.boot_id
        and now.uptime_ms - confirmed.uptime_ms < CONFIRMATION_INTERVAL_MS
    )
