"""The assigner's interface to recovery, which combines the directory, the tracker and the writer.

An assigner also starts if the directory cannot be used: it then logs `state_not_persisted` and
persists nothing.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from .. import interface as core
from ..registry import ObjectRegistry
from ..state import Server
from .changes import Change
from .codec import RecordError
from .directory import DEFAULT_MAX_LOG_BYTES, DirectoryLockedError, LoadedState, StateDirectory
from .disk import Disk, StateDisk
from .generations import describe_error
from .machine_clock import read_boot_id, read_timestamp
from .state import PersistedState, ServerRecord
from .timestamps import Timestamp
from .tracker import ListedServer, StateTracker
from .trust import ServerAssessment
from .writer import EventLog, StateWriter, WriterOptions

CLOSE_TIMEOUT_S = 0.3
MAX_ERROR_LENGTH = 200  # characters
# Bounds of listed numbers; not above those of `codec`, so that every stored record can be read.
MAX_CELL = 1e9
MAX_NUMBER = 10**17


@dataclass(frozen=True)
class StateOptions:
    """The section [state] of the operator's file; `WriterOptions` describes the writer's part."""

    directory: str
    commit_delay_ms: float = 50.0
    max_pending_changes: int = 20_000
    max_log_bytes: int = DEFAULT_MAX_LOG_BYTES  # a larger log ends its generation
    retry_delay_ms: float = 500.0
    max_retry_delay_ms: float = 30_000.0

    @classmethod
    def from_section(cls, values: Mapping[str, Any]) -> "StateOptions":
        """Creates the options from the section's values by key."""
        return cls(
            directory=values["folder"],
            commit_delay_ms=values["gather"],
            max_pending_changes=values["pending"],
            max_log_bytes=values["log-most"],
            retry_delay_ms=values["again"],
            max_retry_delay_ms=values["again-most"],
        )

    @property
    def writer(self) -> WriterOptions:
        """The options of the writer."""
        return WriterOptions(
            self.commit_delay_ms,
            self.max_pending_changes,
            self.retry_delay_ms,
            self.max_retry_delay_ms,
        )


class Writer(Protocol):
    """Commits changes; implemented by `StateWriter`, except in tests."""

    counts: dict[str, int]

    def start(self) -> None:
        """Starts the writer; called once, before the first `submit`."""

    def submit(
        self, changes: Sequence[Change], take_snapshot: Callable[[], PersistedState]
    ) -> None:
        """Passes changes to the writer without waiting for the commit."""

    def stop(self, timeout_s: float) -> None:
        """Commits pending changes and stops; returns after `timeout_s` at the latest."""


class ReceivedEntry(Protocol):
    """An entry of an endpoint list as the adapter received it."""

    @property
    def server_id(self) -> str:
        """The server's id in the list."""

    @property
    def endpoint(self) -> str:
        """`host:port`; empty if the list has none."""

    @property
    def zone_name(self) -> str:
        """The zone's name in the list."""

    @property
    def machine_kind_name(self) -> str:
        """The machine kind's name in the list."""

    @property
    def started_unix_ms(self) -> float:
        """Unix time of the last start in ms; 0: long ago."""

    @property
    def entry(self) -> core.EndpointEntry:
        """The entry as passed to the controller."""


ListFilter = Callable[[core.EndpointListUpdate, Sequence[Any], int], core.EndpointListUpdate]


class EndpointListAdapter(Protocol):
    """The part of the endpoint list adapter that recovery uses."""

    endpoints: dict[Server, str]
    zones: dict[str, int]
    machine_kinds: dict[str, int]
    filter: ListFilter | None  # called with each list; returns it for the controller

    def start_ms(self, server: Server, unix_ms: float) -> float | None:
        """Converts a server's start from Unix time to the assigner's clock; None: long ago."""

    def clock_ms(self, unix_ms: float) -> float | None:
        """Converts a Unix time to the assigner's clock; None for 0, which means long ago."""


class DurableState:
    """The persisted state of one assigner.

    Call `attach` first, then `apply_list` before and `record` after each reconciliation, and
    `close` at the end. `log` may be called from the writer's thread.
    """

    # Set by `attach`.
    _registry: ObjectRegistry
    _endpoint_lists: EndpointListAdapter

    def __init__(
        self,
        options: StateOptions,
        log: EventLog,
        disk: StateDisk | None = None,
        clock: Callable[[], Timestamp] | None = None,
        writer_class: Callable[..., Writer] = StateWriter,
    ) -> None:
        """Loads the state and locks the directory.

        Tests replace `disk`, `clock` and `writer_class`.
        """
        self.options = options
        self.log = log
        self.tracker: StateTracker | None = None
        self._boot_id = read_boot_id()
        self._clock = clock or self._read_clock
        self._writer_class = writer_class
        self._writer: Writer | None = None
        self._directory = StateDirectory(disk or Disk(options.directory), options.max_log_bytes)
        self.loaded, self.writable = self._load()
        for finding in self.loaded.findings:
            self.log("state_directory", finding=finding)

    def attach(
        self, registry: ObjectRegistry, endpoint_lists: EndpointListAdapter, warm_up_ms: float
    ) -> core.EndpointListUpdate | None:
        """Starts tracking and committing.

        Returns the recovered endpoint list, or None if no server was persisted.
        """
        state = self.loaded.state
        self._registry = registry
        self._endpoint_lists = endpoint_lists
        self.tracker = StateTracker(state, self._clock, warm_up_ms)
        endpoint_lists.filter = self.apply_list
        registry.ejected_ids.update(state.ejected)
        if self.writable:
            self._writer = self._writer_class(
                self._directory, self.tracker.snapshot(), self.options.writer, self.log
            )
            self._writer.start()
        assessments = self.tracker.assessments
        if not assessments:
            return None
        entries = [self._entry(assessment) for assessment in assessments]
        unconfirmed = sum(
            one.state is core.ServerState.READY and one.trust < 1 for one in assessments
        )
        self.log(
            "state_recovered",
            servers=len(assessments),
            unconfirmed=unconfirmed,
            tombstones=len(state.tombstones),
        )
        return core.EndpointListUpdate(core.ListScope.CACHED, entries)

    def apply_list(
        self, update: core.EndpointListUpdate, entries: Sequence[ReceivedEntry], version: int
    ) -> core.EndpointListUpdate:
        """Filters an endpoint list before its reconciliation.

        Records the list and returns it as the controller is to see it. `version` is the list's.
        """
        assert self.tracker is not None, "attach() has not been called"
        listed = [
            ListedServer(received.server_id, _listed_record(received, version), received.entry)
            for received in entries
        ]
        return self.tracker.apply_list(update, listed)

    def record(
        self, events: Iterable[core.Event], orders: Iterable[core.Order]
    ) -> core.EndpointListUpdate | None:
        """Persists the effects of a reconciliation's events and orders.

        Returns the servers whose trust was raised, as an update for the next reconciliation, or
        None if there are none.
        """
        assert self.tracker is not None, "attach() has not been called"
        raised = self.tracker.record(events, orders)
        self.tracker.record_estimates(self._registry.controller)
        self._submit(self.tracker)
        if not raised:
            return None
        entries = [self._entry(assessment) for assessment in raised]
        return core.EndpointListUpdate(core.ListScope.CHANGES, entries)

    def counters(self) -> dict[str, int]:
        """Returns the counters of the tracker and the writer, with the prefix `state_`."""
        counts: dict[str, int] = {}
        if self.tracker is not None:
            counts |= self.tracker.counts
        if self._writer is not None:
            counts |= self._writer.counts
        return {f"state_{name}": count for name, count in counts.items()}

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Commits pending changes within `timeout_s` and releases the directory."""
        if self._writer is not None and self.tracker is not None:
            self._submit(self.tracker)
            self._writer.stop(timeout_s)
        self._directory.close()

    def _read_clock(self) -> Timestamp:
        return read_timestamp(self._boot_id)

    def _load(self) -> tuple[LoadedState, bool]:
        """Returns the persisted state, and whether the directory can be written to."""
        try:
            return self._directory.open(), True
        except DirectoryLockedError as error:
            self.log("state_not_persisted", cause=str(error))
        except OSError as error:
            self.log("state_not_persisted", cause=describe_error(error))
        try:
            return self._directory.open(write=False), False
        except OSError as error:
            finding = f"cannot be read: {describe_error(error)}"
            return LoadedState(PersistedState(), findings=(finding,)), False

    def _submit(self, tracker: StateTracker) -> None:
        if self._writer is None:
            return
        try:
            self._writer.submit(tracker.take_changes(), tracker.snapshot)
        except RecordError as error:
            # A record that cannot be stored must interrupt neither the reconciliation, whose orders
            # have already been sent, nor the shutdown.
            self.log("state_not_persisted", cause=str(error)[:MAX_ERROR_LENGTH])

    def _entry(self, assessment: ServerAssessment) -> core.EndpointEntry:
        record = self.loaded.state.servers.get(assessment.uid, ServerRecord())
        server = self._registry.server(assessment.uid)
        if record.endpoint:
            self._endpoint_lists.endpoints[server] = record.endpoint
        started_ms = self._endpoint_lists.start_ms(server, record.started_ms)
        ready = assessment.state is core.ServerState.READY
        if ready and assessment.started_ms != record.started_ms:
            started_ms = self._endpoint_lists.clock_ms(assessment.started_ms)
        return core.EndpointEntry(
            server=server,
            state=assessment.state,
            started_ms=started_ms,
            zone=self._endpoint_lists.zones.get(record.zone, -1),
            cell=record.cell,
            machine_kind=self._endpoint_lists.machine_kinds.get(record.machine_kind, 0),
            size=record.size,
            start_confirmed=assessment.trust >= 1.0 or not ready,
        )


def _listed_record(received: ReceivedEntry, version: int) -> ServerRecord:
    """Returns the record of a listed entry, with numbers limited to the bounds of the codec."""
    return ServerRecord(
        endpoint=received.endpoint,
        zone=received.zone_name,
        machine_kind=received.machine_kind_name,
        cell=int(_clamp(received.entry.cell, -MAX_CELL, MAX_CELL)),
        state=core.ServerState(received.entry.state),
        size=float(received.entry.size),
        started_ms=float(_clamp(float(received.started_unix_ms), 0.0, MAX_NUMBER)),
        list_version=int(_clamp(version, -1, MAX_NUMBER)),
    )


def _clamp(value: float, minimum: float, maximum: float) -> float:
    return min(max(value, minimum), maximum)
