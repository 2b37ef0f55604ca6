"""Decodes discovery's endpoint list and its changes to events of the controller."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from .. import interface as core
from ..config import Config
from ..fields import NUMBER_TYPES, FieldError, excerpt, read_choice, read_field
from ..registry import ObjectRegistry
from ..state import Server

SERVER_STATES = {
    "in_service": core.ServerState.READY,
    "terminating": core.ServerState.DRAINING,
    "terminated": core.ServerState.GONE,
}
UNKNOWN_ZONE = -1  # a zone that the settings do not name
DEFAULT_MACHINE_KIND = 0  # the first in the settings, also used for unknown kinds


class ReceivedEntry(NamedTuple):
    """An entry for the controller, and the fields that recovery persists."""

    server_id: str
    endpoint: str  # host:port; empty if the list has none
    zone_name: str
    machine_kind_name: str
    started_unix_ms: float  # 0: long ago
    entry: core.EndpointEntry


class ReceivedList(NamedTuple):
    """An endpoint list, or changes of it, from discovery."""

    event: core.EndpointListUpdate
    version: int
    entries: Sequence[ReceivedEntry]


class StartTime(NamedTuple):
    """When a server started: as discovery states it, and by the event loop's clock."""

    unix_ms: float
    clock_ms: float | None  # None: long ago


class _ParsedEntry(NamedTuple):
    """The validated fields of an entry, before its server is looked up."""

    server_id: str
    endpoint: str
    state: core.ServerState
    started_unix_ms: float
    zone_name: str
    cell: int
    machine_kind_name: str
    size: float


ListFilter = Callable[
    [core.EndpointListUpdate, Sequence[ReceivedEntry], int], core.EndpointListUpdate
]


class EndpointListDecoder:
    """Decodes endpoint lists, and keeps the address and the start time of each server."""

    def __init__(
        self,
        config: Config,
        registry: ObjectRegistry,
        wall_offset_ms: Callable[[], float],
        now_ms: Callable[[], float],
    ) -> None:
        """`wall_offset_ms()`: what is added to Unix time (ms) to get the event loop's time."""
        self._registry = registry
        self._max_size = config.limits.max_reported_value
        self.wall_offset_ms = wall_offset_ms
        self._now_ms = now_ms
        self.zones = {name: k for k, name in enumerate(config.wire_names.zones)}
        self.machine_kinds = {name: k for k, name in enumerate(config.wire_names.machine_kinds)}
        self.endpoints: dict[Server, str] = {}
        self.start_times: dict[Server, StartTime] = {}
        # Set by recovery, which may modify each list before the controller gets it.
        self.filter: ListFilter | None = None

    def decode(
        self,
        message: dict[str, Any],
        scope: core.ListScope | None = None,
        on_invalid_entry: Callable[[FieldError], object] | None = None,
    ) -> ReceivedList:
        """Decodes a list or changes of it; raises `FieldError`.

        `scope` overrides the scope that the message states. `on_invalid_entry(error)` is called for
        each invalid entry; the valid ones are decoded as changes, so that no server counts as
        removed because its entry is invalid. Without it the first invalid entry raises the error.
        """
        version: int = read_field(message, "rev", int)
        complete: bool = read_field(message, "all", bool)
        parsed = []
        for fields in read_field(message, "targets", list):
            try:
                parsed.append(self._parse_entry(fields))
            except FieldError as error:
                if on_invalid_entry is None:
                    raise
                on_invalid_entry(error)
                complete = False
        # The registry is updated only after the whole message was read.
        entries = [self._register(entry) for entry in parsed]
        if scope is None:
            scope = core.ListScope.COMPLETE if complete else core.ListScope.CHANGES
        event = core.EndpointListUpdate(scope, [received.entry for received in entries])
        return ReceivedList(event, version, entries)

    def accept(self, received: ReceivedList) -> core.EndpointListUpdate:
        """The event for the controller, once the list is accepted as the current one."""
        if self.filter is None:
            return received.event
        return self.filter(received.event, received.entries, received.version)

    def forget(self, servers: Sequence[Server]) -> None:
        """Drops the state of servers that have left for good."""
        for server in servers:
            self.endpoints.pop(server, None)
            self.start_times.pop(server, None)

    def clock_ms(self, unix_ms: float) -> float | None:
        """A start time by the event loop's clock, never in the future; None for 0 (long ago)."""
        # The server runs, so a start time in the future results from clock skew.
        return min(unix_ms + self.wall_offset_ms(), self._now_ms()) if unix_ms else None

    def start_ms(self, server: Server, unix_ms: float) -> float | None:
        """A server's start time by the event loop's clock, constant as long as the list's is.

        A new conversion would change with a step of the system clock and look like a restart.
        """
        known = self.start_times.get(server)
        if known is None or known.unix_ms != unix_ms:
            known = self.start_times[server] = StartTime(unix_ms, self.clock_ms(unix_ms))
        return known.clock_ms

    def _parse_entry(self, fields: dict[str, Any]) -> _ParsedEntry:
        server_id: str = read_field(fields, "uid", str)
        endpoint: str = read_field(fields, "endpoint", str, "")
        started_unix_ms = read_field(fields, "boot_ms", NUMBER_TYPES, 0)
        size = read_field(fields, "capacity_hint", NUMBER_TYPES, 1.0)
        if started_unix_ms < 0 or not 0 <= size <= self._max_size:
            raise FieldError(
                f"field 'boot_ms' or 'capacity_hint' is out of range in {excerpt(fields)}"
            )
        return _ParsedEntry(
            server_id=server_id,
            endpoint=endpoint,
            state=read_choice(fields, "state", SERVER_STATES),
            started_unix_ms=started_unix_ms,
            zone_name=read_field(fields, "az", str),
            cell=read_field(fields, "pod_group", int, 0),
            machine_kind_name=read_field(fields, "model", str, ""),
            size=size,
        )

    def _register(self, parsed: _ParsedEntry) -> ReceivedEntry:
        server = self._registry.server(parsed.server_id)
        if parsed.endpoint:
            self.endpoints[server] = parsed.endpoint
        entry = core.EndpointEntry(
            server=server,
            state=parsed.state,
            started_ms=self.start_ms(server, parsed.started_unix_ms),
            zone=self.zones.get(parsed.zone_name, UNKNOWN_ZONE),
            cell=parsed.cell,
            machine_kind=self.machine_kinds.get(parsed.machine_kind_name, DEFAULT_MACHINE_KIND),
            size=parsed.size,
        )
        return ReceivedEntry(
            parsed.server_id,
            parsed.endpoint,
            parsed.zone_name,
            parsed.machine_kind_name,
            parsed.started_unix_ms,
            entry,
        )
