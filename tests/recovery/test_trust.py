"""Trust in a persisted server by the age and source of its confirmation."""

import pytest
from recovery_states import DAY_MS, NOW, WARM_UP_MS, timestamp_before_now

from havendyke.interface import ServerState
from havendyke.recovery.state import EvidenceSource, PersistedState, ServerRecord, Tombstone
from havendyke.recovery.timestamps import Timestamp
from havendyke.recovery.trust import assess, assess_all


def server_record(confirmed_at, source=EvidenceSource.ENDPOINT_LIST):
    return ServerRecord(confirmed_at=confirmed_at, source=source)


@pytest.mark.parametrize(
    "confirmed_at, expected",
    [
        (Timestamp(0.0, "boot-2", 49_000.0), 1.0),
        (Timestamp(0.0, "boot-2", NOW.uptime_ms - 50_000.0), 0.75),
        (timestamp_before_now(3e5), 0.5),
        (timestamp_before_now(DAY_MS / 2), 0.0),
        (timestamp_before_now(7 * DAY_MS), 0.0),
        (timestamp_before_now(-DAY_MS), 0.0),
        (None, 0.0),
    ],
)
def test_trust_decreases_with_age_and_by_one_more_step_across_a_reboot(confirmed_at, expected):
    assessment = assess("s1", server_record(confirmed_at), None, NOW, WARM_UP_MS)
    assert assessment.state == "ready" and assessment.trust == expected
    assert assessment.started_ms == (
        0.0 if expected == 1.0 else NOW.wall_ms - WARM_UP_MS * expected
    )


@pytest.mark.parametrize(
    "source, expected",
    [
        (EvidenceSource.DISK, 0.0),
        (EvidenceSource.HEALTH_CHECK, 0.25),
        (EvidenceSource.LOAD_REPORT, 0.75),
        (EvidenceSource.ENDPOINT_LIST, 1.0),
    ],
)
def test_trust_is_limited_by_the_source_of_the_confirmation(source, expected):
    assert assess("s1", server_record(NOW, source), None, NOW, WARM_UP_MS).trust == expected


def test_all_servers_of_a_week_old_list_are_assumed_to_have_just_started():
    state = PersistedState(
        servers={f"s{k}": server_record(timestamp_before_now(7 * DAY_MS)) for k in range(20)}
    )
    starts = {assessment.started_ms for assessment in assess_all(state, NOW, WARM_UP_MS)}
    assert starts == {NOW.wall_ms}


@pytest.mark.parametrize(
    "started, tombstone_started, state",
    [(0.0, 0.0, "draining"), (5.0, 9.0, "draining"), (9.0, 5.0, "ready")],
)
def test_a_tombstone_applies_up_to_its_start_and_to_no_later_one(started, tombstone_started, state):
    persisted = PersistedState(
        servers={"s1": ServerRecord(started_ms=started, confirmed_at=NOW)},
        tombstones={"s1": Tombstone(tombstone_started, ServerState.DRAINING, 3, NOW)},
    )
    (assessment,) = assess_all(persisted, NOW, WARM_UP_MS)
    assert assessment.state == state


def test_a_tombstone_without_a_server_is_assessed_as_gone():
    state = PersistedState(tombstones={"s9": Tombstone(0.0, ServerState.GONE, 3, NOW)})
    assert [
        (assessment.uid, assessment.state) for assessment in assess_all(state, NOW, WARM_UP_MS)
    ] == [("s9", "gone")]
