"""Computes how far a persisted endpoint list is trusted after a restart. Pure functions.

Trust is the share of its warm-up that a server is assumed to have completed: 1 is warm, 0 has just
started. It is passed to the controller as an assumed start, `warm_up * trust` before the restart;
the controller decides how much load a server that is warming up receives.

| age of the last confirmation | trust |
| --- | --- |
| up to 30 s | 1 |
| up to 10 min | 0.75 |
| up to 2 h | 0.5 |
| up to a day | 0.25 |
| more, or unknown | 0 |

An age that is known only from the wall clock lowers the trust by one step. An assumed start stays
the same over further restarts, so that a process in a crash loop neither keeps servers cold nor
counts them as warm too early.
"""

from dataclasses import dataclass

from ..interface import ServerState
from .state import EvidenceSource, PersistedState, ServerRecord, Tombstone
from .timestamps import Age, AgeSource, Timestamp, age_of

SECOND_MS = 1000.0
MINUTE_MS = 60_000.0
HOUR_MS = 3_600_000.0
DAY_MS = 86_400_000.0

# (longest age in ms, trust)
TRUST_BY_AGE = (
    (30 * SECOND_MS, 1.0),
    (10 * MINUTE_MS, 0.75),
    (2 * HOUR_MS, 0.5),
    (DAY_MS, 0.25),
)
# Another machine at the same address may pass a health check, while successful requests in a load
# report show that the server itself serves. A snapshot entry only shows that a controller once
# ordered it.
MAX_TRUST_BY_SOURCE = {
    EvidenceSource.DISK: 0.0,
    EvidenceSource.HEALTH_CHECK: 0.25,
    EvidenceSource.SNAPSHOT: 0.25,
    EvidenceSource.LOAD_REPORT: 0.75,
    EvidenceSource.ENDPOINT_LIST: 1.0,
}
# After a longer downtime, the starts that an earlier recovery assumed no longer apply.
MAX_RESTART_GAP_MS = TRUST_BY_AGE[0][0]


@dataclass(frozen=True, slots=True)
class ServerAssessment:
    """The assumed state of a server after a restart."""

    uid: str
    state: ServerState
    started_ms: float  # Unix time, assumed if trust is below 1; 0: long ago
    trust: float  # from 0 to 1
    reason: str  # for operators


def trust_of_age(age: Age) -> float:
    """Returns the trust in a confirmation of this age."""
    if age.source is AgeSource.NONE:
        return 0.0
    steps = [trust for longest_ms, trust in TRUST_BY_AGE if age.ms <= longest_ms] + [0.0]
    if age.source is AgeSource.WALL and len(steps) > 1:
        return steps[1]
    return steps[0]


def assumed_start(trust: float, now: Timestamp, warm_up_ms: float) -> float:
    """Returns the Unix time of the start that corresponds to a trust; 0 for a warm server."""
    return 0.0 if trust >= 1.0 else now.wall_ms - warm_up_ms * trust


def tombstone_applies(record: ServerRecord, tombstone: Tombstone | None) -> bool:
    """Whether the tombstone applies to the record's start."""
    return tombstone is not None and tombstone.started_ms >= record.started_ms


def assess(
    uid: str,
    record: ServerRecord,
    tombstone: Tombstone | None,
    now: Timestamp,
    warm_up_ms: float,
    recently_alive: bool = True,
) -> ServerAssessment:
    """Returns the assessment of a persisted server.

    `recently_alive`: the process was down for at most `MAX_RESTART_GAP_MS`, so the starts that an
    earlier recovery assumed still apply.
    """
    if tombstone is not None and tombstone_applies(record, tombstone):
        reason = f"{tombstone.state} since it was last told"
        return ServerAssessment(uid, tombstone.state, record.started_ms, 0.0, reason)
    if record.state is not ServerState.READY:
        reason = f"{record.state} when last listed"
        return ServerAssessment(uid, record.state, record.started_ms, 0.0, reason)
    confirmation_age = age_of(record.confirmed_at, now)
    trust = min(trust_of_age(confirmation_age), MAX_TRUST_BY_SOURCE[record.source])
    trust = _limit_by_start(trust, record, now, warm_up_ms)
    if record.assumed_start_ms and recently_alive:
        warming = _assess_assumed_start(uid, record, now, warm_up_ms, trust)
        if warming is not None:
            return warming
    started_ms = assumed_start(trust, now, warm_up_ms) if trust < 1 else record.started_ms
    reason = f"confirmed by {record.source} {describe_age(confirmation_age)}"
    return ServerAssessment(uid, ServerState.READY, started_ms, trust, reason)


def assess_all(state: PersistedState, now: Timestamp, warm_up_ms: float) -> list[ServerAssessment]:
    """Returns the assessments of all persisted servers, then of tombstones without a server.

    The latter are included because snapshot entries may still name them.
    """
    downtime = age_of(state.last_alive, now)
    recently_alive = downtime.source is not AgeSource.NONE and downtime.ms <= MAX_RESTART_GAP_MS
    listed = [
        assess(uid, state.servers[uid], state.tombstones.get(uid), now, warm_up_ms, recently_alive)
        for uid in sorted(state.servers)
    ]
    gone = [
        ServerAssessment(
            uid, ServerState.GONE, state.tombstones[uid].started_ms, 0.0, "its end was told"
        )
        for uid in sorted(state.tombstones)
        if uid not in state.servers
    ]
    return listed + gone


def describe_age(age: Age) -> str:
    """Formats an age in the largest unit of which it is at least one."""
    if age.source is AgeSource.NONE:
        return "at an unknown time"
    for unit, unit_ms in (("d", DAY_MS), ("h", HOUR_MS), ("min", MINUTE_MS)):
        if age.ms >= unit_ms:
            return f"{age.ms / unit_ms:.0f} {unit} ago"
    return f"{age.ms / SECOND_MS:.0f} s ago"


def _limit_by_start(trust: float, record: ServerRecord, now: Timestamp, warm_up_ms: float) -> float:
    """Limits trust to the share of the warm-up since the server's known start."""
    if not record.started_ms or now.wall_ms - record.started_ms >= warm_up_ms:
        return trust
    warmed_up = max(0.0, (now.wall_ms - record.started_ms) / warm_up_ms) if warm_up_ms else 1.0
    return min(trust, warmed_up)


def _assess_assumed_start(
    uid: str, record: ServerRecord, now: Timestamp, warm_up_ms: float, trust: float
) -> ServerAssessment | None:
    """Assesses a server by the start that an earlier recovery assumed; None if trust is higher.

    The server has continued to warm up since then, as the controller's restart does not affect it.
    """
    elapsed_ms = now.wall_ms - record.assumed_start_ms
    warmed_up = max(0.0, elapsed_ms) / warm_up_ms if warm_up_ms else 1.0
    if warmed_up < trust or elapsed_ms < 0:
        return None
    started_ms = 0.0 if warmed_up >= 1 else record.assumed_start_ms
    return ServerAssessment(
        uid, ServerState.READY, started_ms, min(1.0, warmed_up), "warming since a recovery"
    )
