"""Endpoint lists and evidence after a recovery, and tombstones that outrank older lists."""

import pytest
from recovery_states import DAY_MS, NOW, WARM_UP_MS, timestamp_before_now

from havendyke.interface import ServerState
from havendyke.recovery import reconciliation
from havendyke.recovery.reconciliation import TOMBSTONE_PRECEDENCE_MS, ServerReconciler
from havendyke.recovery.state import EvidenceSource, PersistedState, ServerRecord, Tombstone
from havendyke.recovery.timestamps import Timestamp

WEEK_OLD = ServerRecord(confirmed_at=timestamp_before_now(7 * DAY_MS))


def test_restarts_in_quick_succession_do_not_affect_a_servers_warm_up():
    state, trusts = PersistedState(servers={"s1": WEEK_OLD}), []
    for second in range(0, 20, 2):
        now = Timestamp(NOW.wall_ms + 1000.0 * second, f"boot-{second}", 1000.0)
        trusts.append(ServerReconciler(state, now, WARM_UP_MS).assessments[0].trust)
    assert trusts[0] == 0.0
    assert trusts == sorted(trusts)
    assert trusts[4] == pytest.approx(0.5)
    assert trusts[-1] == 1.0
    # After a downtime of a day, the assumed start no longer applies.
    next_day = Timestamp(NOW.wall_ms + DAY_MS, "boot-x", 1000.0)
    assert ServerReconciler(state, next_day, WARM_UP_MS).assessments[0].trust == 0.0


@pytest.mark.parametrize(
    "source, expected",
    [
        (EvidenceSource.HEALTH_CHECK, 0.25),
        (EvidenceSource.SNAPSHOT, 0.25),
        (EvidenceSource.LOAD_REPORT, 0.75),
    ],
)
def test_evidence_raises_trust_up_to_the_limit_of_its_source(source, expected):
    reconciler = ServerReconciler(PersistedState(servers={"s1": WEEK_OLD}), NOW, WARM_UP_MS)
    assessment = reconciler.apply_evidence("s1", source, NOW)
    assert (
        assessment.trust == expected
        and assessment.started_ms == NOW.wall_ms - WARM_UP_MS * expected
    )
    assert reconciler.apply_evidence("s1", source, NOW) is None
    assert reconciler.apply_evidence("s2", source, NOW) is None


def test_only_an_endpoint_list_removes_a_tombstone():
    state = PersistedState(
        servers={"s1": ServerRecord(confirmed_at=NOW)},
        tombstones={"s1": Tombstone(0.0, ServerState.DRAINING, 7, NOW)},
    )
    reconciler = ServerReconciler(state, NOW, WARM_UP_MS)
    assert [
        reconciler.apply_evidence("s1", source, NOW)
        for source in (
            EvidenceSource.HEALTH_CHECK,
            EvidenceSource.SNAPSHOT,
            EvidenceSource.LOAD_REPORT,
        )
    ] == [None] * 3
    older, newer = ServerRecord(list_version=6), ServerRecord(list_version=8)
    assert reconciler.apply_listed("s1", older, NOW).state == "draining"
    assert reconciler.apply_listed("s1", newer, NOW).state == "ready" and not state.tombstones


@pytest.mark.parametrize(
    "entry, elapsed_ms",
    [
        (ServerRecord(list_version=2, started_ms=99.0), 0.0),
        (ServerRecord(list_version=2), TOMBSTONE_PRECEDENCE_MS + 1),
    ],
)
def test_an_older_list_with_a_later_start_or_after_the_precedence_removes_a_tombstone(
    entry, elapsed_ms
):
    state = PersistedState(tombstones={"s1": Tombstone(0.0, ServerState.GONE, 7, NOW)})
    reconciler = ServerReconciler(state, NOW, WARM_UP_MS)
    later = Timestamp(NOW.wall_ms + elapsed_ms, NOW.boot_id, NOW.uptime_ms + elapsed_ms)
    assert reconciler.apply_listed("s1", entry, later).state == "ready"


def test_tombstones_are_limited_in_number_and_age(monkeypatch):
    monkeypatch.setattr(reconciliation, "MAX_TOMBSTONES", 5)
    expired = Tombstone(0.0, ServerState.GONE, 1, timestamp_before_now(40 * DAY_MS))
    state = PersistedState(tombstones={"old": expired})
    reconciler = ServerReconciler(state, NOW, WARM_UP_MS)
    for number in range(8):
        draining = ServerRecord(state=ServerState.DRAINING, list_version=number)
        reconciler.apply_listed(f"s{number}", draining, NOW)
    assert list(state.tombstones) == [f"s{number}" for number in range(3, 8)]
