"""The persisted state: records by id. Records are immutable, so that copies can share them.

A recovery uses servers, tombstones, ejections and `last_alive`. Tables, pushes and estimates are
persisted only for `havendyke state`: after a restart, published tables are read from the relay and
the controller computes its estimates again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from ..interface import ServerState
from .timestamps import Timestamp


class EvidenceSource(StrEnum):
    """What confirmed that a server exists; `MAX_TRUST_BY_SOURCE` limits the trust in it.

    The values are stored on disk and printed by `havendyke state show`.
    """

    DISK = "disk"
    HEALTH_CHECK = "probe"
    LOAD_REPORT = "report"
    SNAPSHOT = "relay"
    ENDPOINT_LIST = "discovery"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server as it was last listed."""

    endpoint: str = ""
    zone: str = ""
    machine_kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    size: float = 1.0  # relative capacity in the list; 1 if not stated
    started_ms: float = 0.0  # Unix time of the last start; 0: long ago
    list_version: int = -1  # version of the list that contained it; -1: none
    confirmed_at: Timestamp | None = None  # by an endpoint list or by evidence
    source: EvidenceSource = EvidenceSource.DISK  # of the last confirmation
    # Unix time of the start that an earlier recovery assumed for lack of trust; 0: none.
    assumed_start_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Marks all starts of a server up to `started_ms` as draining or gone; outlives its record."""

    started_ms: float  # Unix time of the latest start that it applies to; 0: long ago
    state: ServerState
    list_version: int  # an older list does not remove it immediately
    recorded_at: Timestamp | None


@dataclass(frozen=True, slots=True)
class SliceTable:
    """A slice's published table, and whether the slice is assigned to this assigner."""

    weights: Mapping[str, float]  # by server uid
    assigned: bool


@dataclass(frozen=True, slots=True)
class PushProgress:
    """The last push that requested acknowledgements, and how many were received."""

    nonce: int
    acknowledgements: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value that the controller estimated from load reports."""

    value: float  # server capacity or slice demand, in the controller's units
    observed_at: Timestamp | None


SERVER_ESTIMATE_PREFIX = "server/"


def server_estimate_name(uid: str) -> str:
    """Returns the name of a server's capacity among the estimates."""
    return f"{SERVER_ESTIMATE_PREFIX}{uid}"


def slice_estimate_name(number: int) -> str:
    """Returns the name of a slice's demand among the estimates."""
    return f"slice/{number}"


@dataclass(slots=True)
class PersistedState:
    """The persisted state of one assigner."""

    servers: dict[str, ServerRecord] = field(default_factory=dict)
    tombstones: dict[str, Tombstone] = field(default_factory=dict)  # oldest first
    ejected: dict[str, None] = field(default_factory=dict)  # uids, oldest first
    slices: dict[int, SliceTable] = field(default_factory=dict)
    push: PushProgress | None = None
    estimates: dict[str, Estimate] = field(default_factory=dict)  # by estimate name
    list_version: int = -1  # of the last endpoint list; -1: none
    last_alive: Timestamp | None = None  # when the process was last known to run

    def copy(self) -> "PersistedState":
        """Returns a copy that is independent of later changes to this state."""
        return PersistedState(
            dict(self.servers),
            dict(self.tombstones),
            dict(self.ejected),
            dict(self.slices),
            self.push,
            dict(self.estimates),
            self.list_version,
            self.last_alive,
        )
