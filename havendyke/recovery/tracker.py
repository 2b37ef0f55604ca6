"""Tracks which state must be persisted, from an assigner's endpoint lists, events and orders.

Without I/O. An endpoint list is applied before the controller sees it, since a tombstone may take
precedence over it; events and orders are recorded after their reconciliation. Only dirty parts of
the state are compared with the persisted state, so that the cost does not grow with the fleet.
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
    SERVER_ESTIMATE_PREFIX,
    Estimate,
    EvidenceSource,
    PersistedState,
    PushProgress,
    ServerRecord,
    SliceTable,
    server_estimate_name,
    slice_estimate_name,
)
from .timestamps import Timestamp
from .trust import ServerAssessment

if TYPE_CHECKING:
    from ..policy import Controller
    from ..state import Slice

# Minimum time between two updates of the persisted estimates.
ESTIMATE_INTERVAL_MS = 10_000.0
# Minimum time between two persisted confirmations of an unchanged server.
CONFIRMATION_INTERVAL_MS = 60_000.0
ESTIMATE_DIGITS = 3  # decimal places


class _StatePart(Enum):
    """Parts of the state that are small enough to be compared as a whole."""

    EJECTED = auto()
    PUSH = auto()
    ESTIMATES = auto()


@dataclass(slots=True)
class ListedServer:
    """An entry of an endpoint list, as a record and as the entry of the event."""

    uid: str
    record: ServerRecord
    entry: core.EndpointEntry


class StateTracker:
    """Owns the desired state, and the persisted state as of the last `take_changes`.

    Not thread-safe; used only from the assigner's thread.
    """

    def __init__(
        self, state: PersistedState, now: Callable[[], Timestamp], warm_up_ms: float
    ) -> None:
        """Recovers from a loaded state; `now` reads the clock."""
        self.desired = state
        self.counts = {"trust_raised": 0, "tombstones_upheld": 0, "changes": 0}
        self._persisted = state.copy()
        self._now = now
        self.reconciler = ServerReconciler(state, now(), warm_up_ms)
        self._estimates_uptime_ms = -math.inf
        self._dirty_servers = set(state.servers)
        self._dirty_slices: set[Slice] = set()
        self._dirty_parts = set(_StatePart)

    @property
    def assessments(self) -> list[ServerAssessment]:
        """The assessments of all servers at the recovery, which form the initial endpoint list."""
        return self.reconciler.assessments

    # Called for each endpoint list and reconciliation

    def apply_list(
        self, update: core.EndpointListUpdate, listed: Sequence[ListedServer]
    ) -> core.EndpointListUpdate:
        """Applies an endpoint list; returns it with the tombstones that take precedence."""
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
        """Records a reconciliation; returns the assessments whose trust its evidence raised."""
        raised = []
        for event in events:
            assessment = self._record_event(event)
            if assessment is not None:
                raised.append(assessment)
        for order in orders:
            self._record_order(order)
        return raised

    def record_estimates(self, controller: "Controller") -> None:
        """Copies the controller's estimates, at most once per `ESTIMATE_INTERVAL_MS`."""
        now = self._now()
        if now.uptime_ms - self._estimates_uptime_ms < ESTIMATE_INTERVAL_MS:
            return
        self._estimates_uptime_ms = now.uptime_ms
        self.desired.last_alive = now
        estimates = self.desired.estimates
        for server in controller.servers:
            if server.state == core.ServerState.READY and server.capacity > 0:
                capacity = round(server.capacity, ESTIMATE_DIGITS)
                estimates[server_estimate_name(server.id)] = Estimate(capacity, now)
        for slice_ in controller.slices:
            if slice_.assigned and slice_.demand is not None:
                demand = round(max(slice_.demand, 0.0), ESTIMATE_DIGITS)
                estimates[slice_estimate_name(slice_.id)] = Estimate(demand, now)
        self._remove_stale_estimates()
        self._dirty_parts.add(_StatePart.ESTIMATES)

    # Called for each commit

    def take_changes(self) -> list[Change]:
        """Returns the changes since the last call, which count as persisted from then on.

        Raises `RecordError` if a record could not be read back; the next call retries.
        """
        for slice_ in self._dirty_slices:
            weights = {server.id: weight for server, weight in slice_.published.items()}
            self.desired.slices[slice_.id] = SliceTable(weights, slice_.assigned)
        if not self._is_dirty():
            return []
        slice_ids = {slice_.id for slice_ in self._dirty_slices}
        changes = difference(
            self.dirty_subset(self._persisted, self._dirty_servers, slice_ids),
            self.dirty_subset(self.desired, self._dirty_servers, slice_ids),
        )
        for change in changes:
            # Applied in its stored form, so that no record is written that cannot be read back.
            apply_record(self._persisted, *encode(change))
        self._dirty_servers = set()
        self._dirty_slices = set()
        self._dirty_parts = set()
        self.counts["changes"] += len(changes)
        return changes

    def snapshot(self) -> PersistedState:
        """Returns a copy of the state with all changes that `take_changes` has returned."""
        return self._persisted.copy()

    def dirty_subset(
        self, state: PersistedState, uids: Iterable[str], slice_ids: Iterable[int]
    ) -> PersistedState:
        """Returns the part of a state that has to be compared."""
        uids, slice_ids = sorted(uids), sorted(slice_ids)
        parts = self._dirty_parts
        return PersistedState(
            servers={uid: state.servers[uid] for uid in uids if uid in state.servers},
            tombstones={uid: state.tombstones[uid] for uid in uids if uid in state.tombstones},
            ejected=state.ejected if _StatePart.EJECTED in parts else {},
            slices={
                slice_id: state.slices[slice_id]
                for slice_id in slice_ids
                if slice_id in state.slices
            },
            push=state.push if _StatePart.PUSH in parts else None,
            estimates=state.estimates if _StatePart.ESTIMATES in parts else {},
            list_version=state.list_version,
            last_alive=state.last_alive,
        )

    # Endpoint lists

    def _remove_unlisted(self, listed_uids: set[str], now: Timestamp) -> None:
        for uid in [uid for uid in self.desired.servers if uid not in listed_uids]:
            self.reconciler.apply_unlisted(uid, now)
            self._dirty_servers.add(uid)

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
            and _recently_confirmed(previous, record, now)
        ):
            self.desired.servers[uid] = previous
        self._dirty_servers.add(uid)
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
                self._dirty_slices.add(event.slice)
                if event.weight > 0:
                    return self._apply_evidence(event.server.id, EvidenceSource.SNAPSHOT)
            case core.SliceAssignment():
                self._dirty_slices.add(event.slice)
            case core.PushAcknowledged():
                self._count_acknowledgement(event.nonce)
        return None

    def _apply_evidence(self, uid: str, source: EvidenceSource) -> ServerAssessment | None:
        if uid not in self.reconciler.unconfirmed_trust:
            return None
        assessment = self.reconciler.apply_evidence(uid, source, self._now())
        if assessment is not None:
            self.counts["trust_raised"] += 1
            self._dirty_servers.add(uid)
        return assessment

    def _count_acknowledgement(self, nonce: int) -> None:
        push = self.desired.push
        if push is not None and push.nonce == nonce:
            self.desired.push = PushProgress(nonce, push.acknowledgements + 1)
            self._dirty_parts.add(_StatePart.PUSH)

    def _record_order(self, order: core.Order) -> None:
        match order:
            case core.SetEndpointWeight() | core.ClearTable():
                self._dirty_slices.add(order.slice)
            case core.SetEjection():
                if order.ejected:
                    self.desired.ejected[order.server.id] = None
                else:
                    self.desired.ejected.pop(order.server.id, None)
                self._dirty_parts.add(_StatePart.EJECTED)
            case core.RequestAcknowledgement():
                self.desired.push = PushProgress(order.nonce, 0)
                self._dirty_parts.add(_StatePart.PUSH)

    # Helpers

    def _remove_stale_estimates(self) -> None:
        estimates = self.desired.estimates
        stale = [
            name
            for name in estimates
            if name.startswith(SERVER_ESTIMATE_PREFIX)
            and name.removeprefix(SERVER_ESTIMATE_PREFIX) not in self.desired.servers
        ]
        for name in stale:
            del estimates[name]

    def _is_dirty(self) -> bool:
        return bool(
            self._dirty_servers
            or self._dirty_slices
            or self._dirty_parts
            or self.desired.list_version != self._persisted.list_version
        )


def _recently_confirmed(previous: ServerRecord, record: ServerRecord, now: Timestamp) -> bool:
    """Whether a record only repeats the previous one, which was confirmed recently."""
    confirmed_at = previous.confirmed_at
    unchanged = (
        replace(record, confirmed_at=confirmed_at, list_version=previous.list_version) == previous
    )
    return (
        unchanged
        and confirmed_at is not None
        and now.boot_id == confirmed_at.boot_id
        and now.uptime_ms - confirmed_at.uptime_ms < CONFIRMATION_INTERVAL_MS
    )
