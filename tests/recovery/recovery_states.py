"""States and timestamps for the tests of recovery."""

from copy import deepcopy

from havendyke.interface import ServerState
from havendyke.recovery.changes import difference
from havendyke.recovery.state import (
    EvidenceSource,
    PersistedState,
    ServerRecord,
    SliceTable,
    Tombstone,
)
from havendyke.recovery.timestamps import Timestamp

DAY_MS = 86_400_000.0
WARM_UP_MS = 16_000.0
NOW = Timestamp(1.7e12, "boot-2", 50_000.0)
COMMITTED_AT = Timestamp(1.7e12, "boot-1", 5000.0)


def timestamp_before_now(ms, boot_id="boot-1"):
    """A timestamp `ms` before `NOW`, by default of an earlier boot."""
    return Timestamp(NOW.wall_ms - ms, boot_id, 9e9)


def make_commits(count):
    """Returns `count` commits, each as its changes and the state after it."""
    state, commits = PersistedState(), []
    for number in range(count):
        previous = deepcopy(state)
        state.servers[f"s{number}"] = ServerRecord(
            endpoint="127.0.0.1:80",
            zone="a",
            machine_kind="m",
            cell=1,
            list_version=number,
            confirmed_at=COMMITTED_AT,
            source=EvidenceSource.ENDPOINT_LIST,
        )
        state.slices[number] = SliceTable({f"s{number}": 1.0, "s0": 0.02}, True)
        state.list_version = number
        if number % 3 == 2:
            drained = f"s{number - 1}"
            tombstone = Tombstone(0.0, ServerState.DRAINING, number, COMMITTED_AT)
            state.tombstones[drained] = tombstone
            state.ejected[drained] = None
            del state.servers[f"s{number - 2}"]
        commits.append((difference(previous, state), deepcopy(state)))
    return commits
