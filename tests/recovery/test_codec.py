"""Round trips of all record kinds, and records that cannot be used."""

import pytest
from recovery_states import NOW

from havendyke.interface import ServerState
from havendyke.recovery import changes as c
from havendyke.recovery.codec import RecordError, apply_record, decode, encode
from havendyke.recovery.state import (
    Estimate,
    EvidenceSource,
    PersistedState,
    PushProgress,
    ServerRecord,
    SliceTable,
    Tombstone,
)

SERVER = ServerRecord(
    "127.0.0.1:80", "a", "m", -3, ServerState.DRAINING, 0.5, 7.0, 4, NOW, EvidenceSource.SNAPSHOT
)
STORED_SERVER = encode(c.SetServer("s1", SERVER))[1]


@pytest.mark.parametrize(
    "change, kind",
    [
        (c.SetListVersion(-1), "lists"),
        (c.SetLastAlive(NOW), "alive"),
        (c.SetServer("s1", SERVER), "entry"),
        (c.RemoveServer("s1"), "drop"),
        (c.SetTombstone("s1", Tombstone(0.0, ServerState.GONE, 3, None)), "tomb"),
        (c.RemoveTombstone("s1"), "lift"),
        (c.EjectServer("s1"), "shut"),
        (c.UnejectServer("s1"), "open"),
        (c.SetSlice(65_535, SliceTable({"s1": 1.0}, False)), "slice"),
        (c.RemoveSlice(0), "unslice"),
        (c.SetPush(PushProgress(7, 2)), "marks"),
        (c.SetEstimate("server/s1", Estimate(1.5, NOW)), "learned"),
        (c.RemoveEstimate("server/s1"), "forget"),
    ],
)
def test_a_change_is_decoded_from_its_stored_record(change, kind):
    stored = encode(change)
    assert stored[0] == kind
    assert decode(*stored) == change


@pytest.mark.parametrize(
    "kind, fields, reason",
    [
        ("nosuch", {}, "a change of the kind 'nosuch'"),
        ("entry", STORED_SERVER | {"state": "odd"}, "'state' is 'odd'"),
        ("entry", STORED_SERVER | {"by": "hearsay"}, "'by' is 'hearsay'"),
        ("entry", STORED_SERVER | {"boot": -1.0}, "'boot' is -1.0"),
        ("entry", STORED_SERVER | {"cell": 1.5}, "'cell' is 1.5"),
        ("entry", STORED_SERVER | {"size": True}, "'size' is True"),
        ("entry", STORED_SERVER | {"confirmed": [1.0, "b"]}, "a stamp is [1.0, 'b']"),
        ("tomb", {"uid": "s1", "boot": 0, "state": "ready"}, "'state' is 'ready'"),
        ("slice", {"number": 65_536, "lines": {}}, "'number' is 65536"),
        ("slice", {"number": 1, "lines": {"s1": -1}}, "'lines' is {'s1': -1}"),
        ("drop", {}, "'uid' is None"),
    ],
)
def test_an_error_about_an_unusable_record_names_the_field(kind, fields, reason):
    with pytest.raises(RecordError) as error:
        decode(kind, fields)
    assert str(error.value) == reason


UNUSABLE_TOMBSTONE = {"uid": "s1", "boot": -1.0, "state": "gone", "lists": 4, "at": None}


@pytest.mark.parametrize(
    "kind, fields, remaining",
    [
        ("tomb", UNUSABLE_TOMBSTONE, ["s2"]),
        ("tomb", UNUSABLE_TOMBSTONE | {"uid": "s3"}, ["s1", "s2"]),
        ("tomb", UNUSABLE_TOMBSTONE | {"uid": ["s1"]}, ["s1", "s2"]),
        ("entry", UNUSABLE_TOMBSTONE, ["s1", "s2"]),
        ("nosuch", UNUSABLE_TOMBSTONE, ["s1", "s2"]),
    ],
)
def test_an_unusable_tombstone_removes_the_previous_one_and_is_rejected(kind, fields, remaining):
    older = Tombstone(0.0, ServerState.DRAINING, 3, None)
    state = PersistedState(tombstones={"s1": older, "s2": older})
    with pytest.raises(RecordError):
        apply_record(state, kind, fields)
    assert state == PersistedState(tombstones=dict.fromkeys(remaining, older))
