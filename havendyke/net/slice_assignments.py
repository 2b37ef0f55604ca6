"""Which slices are assigned to this controller, and the published tables of those slices."""

from collections.abc import Callable, Container, Iterable
from typing import Protocol

from .. import interface as core
from ..registry import ObjectRegistry
from .event_loop import EventLoop
from .generations import is_present, next_absent
from .published_tables import Table, Tables, restore_precision, tables_match
from .snapshots import Snapshot, SnapshotCallback

RequestSnapshot = Callable[[SnapshotCallback], None]


class CallTracker(Protocol):
    """What the watch needs to know of the calls to the relay."""

    def changed_since(self, slice_id: int, since_ms: float, /) -> bool:
        """Whether a call may have changed a slice's table since `since_ms`."""

    def discard_orders(self, slice_id: int, /) -> None:
        """Drops the orders for a slice; they were planned for an earlier table."""

    def diverges(self, slice_id: int, table: Table, /) -> bool:
        """Whether a table differs from the known one or from the controller's."""

    def acknowledged(self, nonce: int, /) -> None:
        """A proxy acknowledged a push."""

    def send_next(self) -> None:
        """Sends orders that have waited for the watch."""


class SliceAssignments:
    """Reports assignments and tables to the controller, and verifies tables that may be wrong."""

    def __init__(
        self,
        event_loop: EventLoop,
        registry: ObjectRegistry,
        notify: Callable[[core.Event], None],
        calls: CallTracker,
        request_snapshot: RequestSnapshot,
    ) -> None:
        """No slice is assigned initially."""
        self._event_loop = event_loop
        self._registry = registry
        self._notify = notify
        self._calls = calls
        self._request_snapshot = request_snapshot
        self.generations: dict[int, int] = {}  # as reported, by slice
        self.tables: Tables = {}  # of the assigned slices, as far as known
        self._unconfirmed: set[int] = set()
        self._unverified: dict[int, None] = {}
        self._verifying = False

    def generation(self, slice_id: int) -> int:
        """The generation last reported to the controller."""
        return self.generations.get(slice_id, 0)

    def assign(self, slice_id: int, generation: int, table: Table) -> None:
        """Reports a slice as assigned, with its table."""
        self._calls.discard_orders(slice_id)
        self.generations[slice_id], self.tables[slice_id] = generation, dict(table)
        slice_ = self._registry.slice(slice_id)
        self._notify(core.SliceAssignment(slice_, True))
        for server_id, weight in table.items():
            self._notify(core.SnapshotEntry(slice_, self._registry.server(server_id), weight))

    def report_table(self, slice_id: int) -> None:
        """Reports an assigned slice's table again, to correct the controller's copy."""
        self.assign(slice_id, self.generations[slice_id], self.tables[slice_id])

    def unassign(self, slice_id: int, generation: int) -> None:
        """Reports a slice as no longer assigned."""
        self._unconfirmed.discard(slice_id)
        self._calls.discard_orders(slice_id)
        self.generations[slice_id] = generation
        self.tables.pop(slice_id, None)
        self._notify(core.SliceAssignment(self._registry.slice(slice_id), False))

    @property
    def has_unconfirmed(self) -> bool:
        """Whether slices were assigned before a gap and no stream has reported them since."""
        return bool(self._unconfirmed)

    def end_gap(self, tables: Tables, requested_ms: float) -> None:
        """Reports the slices that were assigned before changes may have been missed, and still are.

        Another controller may have had them in the meantime: orders from before are dropped, also
        where a table looks the same. `requested_ms`: when the tables were requested. Slices without
        a table stay unconfirmed until `update` or `unassign_unconfirmed`.
        """
        self._unconfirmed = {s for s, g in self.generations.items() if is_present(g)}
        for slice_id, table in tables.items():
            if slice_id in self._unconfirmed:
                self._report_again(slice_id, table, requested_ms)

    def unassign_unconfirmed(self, assigned: Container[int]) -> None:
        """Reports slices as no longer assigned that a complete state does not contain.

        `assigned`: the slices of that state; the tables of some may not be complete yet.
        """
        for slice_id in sorted(self._unconfirmed):
            if slice_id not in assigned:
                self.unassign(slice_id, next_absent(self.generations[slice_id]))

    def _report_again(self, slice_id: int, snapshot: Table, requested_ms: float | None) -> None:
        """Reports a slice as assigned whose table may have changed unnoticed."""
        self._unconfirmed.discard(slice_id)
        # Read before `assign`, which drops the orders of an unresolved call.
        may_be_outdated = requested_ms is None or self._calls.changed_since(slice_id, requested_ms)
        table = restore_precision(snapshot, self._known(slice_id))
        self.assign(slice_id, self.generations[slice_id], table)
        if may_be_outdated or not snapshot:
            self.verify(slice_id)

    def update(
        self, slice_id: int, generation: int, snapshot: Table, requested_ms: float | None
    ) -> None:
        """Applies a table that a stream has received, with the stream's generation of the slice.

        `requested_ms`: when the stream requested the present tables, or None where the table was
        received as a change.
        """
        if generation == self.generation(slice_id) and slice_id in self._unconfirmed:
            self._report_again(slice_id, snapshot, requested_ms)
        elif generation > self.generation(slice_id):
            self._unconfirmed.discard(slice_id)
            self.assign(slice_id, generation, restore_precision(snapshot, self._known(slice_id)))
            # Of a change it is known when it was received, but not when it was made: a call may
            # have been carried out in between. And what seems empty may lack its entries.
            if requested_ms is None or not snapshot:
                self.verify(slice_id)
        elif requested_ms is not None and not tables_match(snapshot, self._known(slice_id)):
            # A call may have been carried out since, or entries may still arrive.
            self.verify(slice_id)

    def _known(self, slice_id: int) -> Table:
        return self.tables.get(slice_id, {})

    def verify(self, slice_id: int) -> None:
        """Compares a slice's table with snapshots, until none was overtaken by a call.

        The reported table may be older than a call that was in flight. Or it may be outdated: a
        different table was ignored because of a call that was then never carried out. One snapshot
        is requested at a time.
        """
        self._unverified[slice_id] = None
        if not self._verifying:
            self._verify_next()

    def _verify_next(self) -> None:
        since_ms, slices = self._event_loop.now(), self._unverified
        self._unverified, self._verifying = {}, True
        self._request_snapshot(lambda snapshot: self._compare(slices, since_ms, snapshot))

    def _compare(self, slices: Iterable[int], since_ms: float, snapshot: Snapshot) -> bool:
        if not snapshot.complete:
            return False
        self._verifying = False
        tables = snapshot.tables
        assigned = [s for s in slices if is_present(self.generation(s)) and s in tables]
        for slice_id in assigned:
            if self._calls.changed_since(slice_id, since_ms):
                self._unverified[slice_id] = None
            elif self._calls.diverges(slice_id, tables[slice_id]):
                self.correct(slice_id, tables[slice_id])
        if self._unverified:
            self._verify_next()
        return True

    def correct(self, slice_id: int, snapshot: Table) -> None:
        """Reports a table that differs from the one reported before."""
        known = self._known(slice_id)
        self._event_loop.count("snapshot_differs")
        self._event_loop.log("snapshot_differs", slice=slice_id, snapshot=snapshot, known=known)
        self.assign(slice_id, self.generations[slice_id], restore_precision(snapshot, known))
