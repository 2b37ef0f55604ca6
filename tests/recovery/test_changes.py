"""Changes to the state, applied in their stored form."""

from recovery_states import make_commits

from havendyke.recovery.changes import difference, snapshot
from havendyke.recovery.codec import decode, encode
from havendyke.recovery.state import PersistedState


def test_a_snapshot_and_the_single_changes_result_in_the_same_state():
    commits = make_commits(7)
    from_commits, from_snapshot = PersistedState(), PersistedState()
    for changes, state in commits:
        for change in changes:
            decode(*encode(change)).apply(from_commits)
        assert from_commits == state
    for change in snapshot(commits[-1][1]):
        decode(*encode(change)).apply(from_snapshot)
    assert from_snapshot == from_commits and difference(from_commits, from_snapshot) == []
