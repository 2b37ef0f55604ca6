"""Crashes at every system call, damage at every byte, and full, read-only or locked disks."""

import os
import subprocess
import sys

import pytest
from recovery_states import make_commits

from havendyke.interface import ServerState
from havendyke.lab.disk import ProcessDied, SimulatedDisk, Storage
from havendyke.recovery import records
from havendyke.recovery.changes import SetServer
from havendyke.recovery.codec import encode
from havendyke.recovery.directory import DirectoryLockedError, StateDirectory
from havendyke.recovery.disk import Disk
from havendyke.recovery.state import PersistedState, ServerRecord, Tombstone
from havendyke.recovery.timestamps import Timestamp


def commit_all(disk, commits, max_log_bytes):
    """Commits until the process dies; returns the index of the last acknowledged commit, or -1."""
    acknowledged = -1
    try:
        directory = StateDirectory(disk, max_log_bytes)
        directory.open()
        for number, (changes, state) in enumerate(commits):
            directory.commit(changes, state)
            acknowledged = number
        directory.close()
    except ProcessDied:
        pass
    return acknowledged


@pytest.mark.parametrize("loss", ["all", "none", "half"])
@pytest.mark.parametrize("max_log_bytes", [1 << 20, 600])
def test_a_crash_at_any_system_call_leaves_a_committed_state(loss, max_log_bytes):
    commits, seen, stop = make_commits(5), set(), 1
    states = [PersistedState()] + [state for _, state in commits]
    while True:
        storage = Storage()
        disk = SimulatedDisk(storage, die_at_call=stop)
        acknowledged = commit_all(disk, commits, max_log_bytes)
        storage.crash(loss)
        loaded = StateDirectory(SimulatedDisk(storage)).open()
        index = states.index(loaded.state)  # a mix of two states is in none of them
        assert index >= acknowledged + 1, (
            f"call {stop}: {acknowledged} acknowledged, {index - 1} loaded"
        )
        # The generation that was started by loading is durable as well.
        storage.crash("all")
        assert StateDirectory(SimulatedDisk(storage)).open(write=False).state == loaded.state
        seen.add(index)
        if disk.calls < stop:
            break
        stop += 1
    assert seen == set(range(6)) and stop > 20


def storage_with_commits():
    """Returns the storage of a directory with three commits, and the states from empty to last."""
    storage, commits = Storage(), make_commits(3)
    assert commit_all(SimulatedDisk(storage), commits, 1 << 20) == 2
    storage.locked = False
    return storage, [PersistedState()] + [state for _, state in commits]


def copy_of(storage):
    copy = Storage()
    copy.live = {name: bytearray(data) for name, data in storage.live.items()}
    return copy


@pytest.mark.parametrize("name", ["snapshot-1", "log-1"])
def test_a_flipped_bit_is_detected_and_an_older_state_loaded(name):
    storage, states = storage_with_commits()
    for index in range(len(storage.live[name])):
        flipped = copy_of(storage)
        flipped.live[name][index] ^= 1 << index % 8
        loaded = StateDirectory(SimulatedDisk(flipped)).open()
        assert loaded.state in states, index
        detected = loaded.state != states[-1] and len(loaded.findings) > 1
        assert detected or (name == "log-1" and loaded.state == states[-1]), index


def test_a_log_truncated_at_any_byte_yields_a_committed_state():
    storage, states = storage_with_commits()
    for index in range(len(storage.live["log-1"])):
        cut = copy_of(storage)
        del cut.live["log-1"][index:]
        assert StateDirectory(SimulatedDisk(cut)).open(write=False).state in states[:-1]


def frame_of(payload):
    """Returns a frame with a valid checksum."""
    length = len(payload).to_bytes(records.LENGTH_BYTES, "big")
    return length + records.checksum(length, payload, records.SCHEMA_VERSION) + payload


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"", "empty"),
        (b"junk and more", "does not begin"),
        (records.MAGIC + b"\0\x09", "schema 9"),
        (records.encode_header() + b"\xff" * 40, "claims"),
        (records.encode_header() + records.encode_frame(3, "entry", {"uid": 5}), "does not end"),
        pytest.param(records.encode_header() + frame_of(b"7"), "no array of three", id="number"),
        pytest.param(records.encode_header() + frame_of(b"null"), "no array of three", id="null"),
    ],
)
def test_a_damaged_snapshot_is_renamed_and_never_overwritten(data, reason):
    storage = Storage()
    storage.live["snapshot-4"] = bytearray(data)
    loaded = StateDirectory(SimulatedDisk(storage)).open()
    assert loaded.state == PersistedState() and reason in loaded.findings[0]
    assert bytes(storage.live["damaged-snapshot-4"]) == data and "snapshot-5" in storage.live


def test_only_the_newest_damaged_files_are_retained():
    storage = Storage()
    for number in range(1, 12):
        storage.live[f"snapshot-{number}"] = bytearray(b"bad")
    StateDirectory(SimulatedDisk(storage)).open()
    damaged = sorted(name for name in storage.live if name.startswith("damaged"))
    assert damaged == sorted(f"damaged-snapshot-{number}" for number in range(7, 12))


def test_a_snapshot_of_schema_1_is_read():
    storage = Storage()
    record = ServerRecord("e", "a", "m", 0, ServerState.READY, 1.0, 0.0, 3, None)
    fields = encode(SetServer("s1", record))[1] | {"confirmed": 5}
    del fields["by"]
    stored = [("begin", {"generation": 2}), ("entry", fields), ("end", {})]
    storage.live["snapshot-2"] = bytearray(
        records.encode_header(1)
        + b"".join(records.encode_frame(serial, *record, 1) for serial, record in enumerate(stored))
    )
    server = StateDirectory(SimulatedDisk(storage)).open(write=False).state.servers["s1"]
    assert server.source == "disk" and server.confirmed_at == Timestamp(5000.0, "", 0.0)


def test_a_full_disk_does_not_prevent_the_start_and_later_commits_succeed():
    storage, states = storage_with_commits()
    commits = make_commits(6)
    disk = SimulatedDisk(storage, free_bytes=0)
    directory = StateDirectory(disk)
    loaded = directory.open()
    assert loaded.state == states[-1] and "No space" in loaded.findings[-1]
    with pytest.raises(OSError):
        directory.commit(*commits[3])
    disk.free_bytes = None
    directory.commit(*commits[4])
    directory.close()
    assert StateDirectory(SimulatedDisk(storage)).open().state == commits[4][1]


def test_a_read_only_directory_can_be_read():
    storage, states = storage_with_commits()
    with pytest.raises(OSError):
        StateDirectory(SimulatedDisk(storage, read_only=True)).open()
    read_only = StateDirectory(SimulatedDisk(storage, read_only=True))
    assert read_only.open(write=False).state == states[-1]


def test_a_second_process_cannot_open_a_locked_directory(tmp_path):
    first, second = StateDirectory(Disk(str(tmp_path))), StateDirectory(Disk(str(tmp_path)))
    first.open()
    with pytest.raises(DirectoryLockedError):
        second.open()
    first.close()
    assert second.open().generation == 1


def test_a_directory_on_disk_holds_the_last_state_in_two_generations(tmp_path):
    commits = make_commits(6)
    directory = StateDirectory(Disk(str(tmp_path / "state")), max_log_bytes=700)
    directory.open()
    for changes, state in commits:
        directory.commit(changes, state)
    directory.close()
    loaded = StateDirectory(Disk(str(tmp_path / "state"))).open(write=False)
    assert loaded.state == commits[-1][1]
    assert (
        len(list((tmp_path / "state").iterdir())) <= 5
    )  # the lock, and two files each of two generations


def test_a_damaged_file_without_a_number_does_not_prevent_renaming_another():
    storage = Storage()
    storage.live["damaged-notes"] = bytearray(b"by hand")
    storage.live["snapshot-4"] = bytearray(b"nonsense")
    StateDirectory(SimulatedDisk(storage)).open()
    assert "damaged-snapshot-4" in storage.live and "damaged-notes" in storage.live


def test_an_unusable_tombstone_in_a_log_removes_the_previous_one_of_its_server():
    state = PersistedState(
        tombstones={uid: Tombstone(0.0, ServerState.DRAINING, 1, None) for uid in ("s1", "s2")}
    )
    unusable = {"uid": "s1", "boot": -1.0, "state": "gone", "lists": 2, "at": None}
    storage = Storage()
    directory = StateDirectory(SimulatedDisk(storage))
    directory.open()
    directory.rotate(state)
    directory.close()
    name = f"log-{directory.generation}"
    log = records.encode_header() + b"".join(
        records.encode_frame(serial, *record)
        for serial, record in enumerate(
            [(records.BEGIN, {"generation": directory.generation}), ("tomb", unusable)]
        )
    )
    disk = SimulatedDisk(storage)
    handle = disk.create(name)
    disk.write(handle, log + records.encode_frame(2, records.END, {}))
    disk.close(handle)
    loaded = StateDirectory(disk).open(write=False)
    assert list(loaded.state.tombstones) == ["s2"]
    assert f"{name}: record 1 cannot be used" in loaded.findings


@pytest.mark.parametrize("name", ["snapshot-02", "log-02", "snapshot-3.bak", "log-", "snapshot-٣"])
def test_files_with_other_names_are_neither_read_nor_removed(name):
    # Such a file, for example a copy by an operator, was taken for a generation and removed.
    storage, states = storage_with_commits()
    storage.live[name] = bytearray(b"by hand")
    for _ in range(4):
        directory = StateDirectory(SimulatedDisk(storage))
        assert directory.open().state == states[-1]
        directory.close()
    assert storage.live[name] == b"by hand"
    assert sum(other.startswith("snapshot-") for other in storage.live if other != name) == 2


def test_a_generation_with_many_digits_is_read():
    storage, states = storage_with_commits()
    storage.live["snapshot-999999999999999"] = storage.live["snapshot-1"]
    for _ in range(3):
        directory = StateDirectory(SimulatedDisk(storage))
        loaded = directory.open()
        directory.close()
    assert loaded.state == states[-1] and "goes by snapshot-1000000000000001" in loaded.findings[-1]


@pytest.mark.parametrize("name", ["log-1", "snapshot-1", "damaged-snapshot-0"])
def test_a_directory_with_the_name_of_a_file_does_not_prevent_commits(tmp_path, name):
    commits = make_commits(6)
    (tmp_path / name).mkdir()
    (tmp_path / name / "notes").write_text("by hand")
    for _ in range(3):
        directory = StateDirectory(Disk(str(tmp_path)), max_log_bytes=1)
        loaded = directory.open()
        assert not any("cannot be written" in finding for finding in loaded.findings)
        for changes, state in commits:
            directory.commit(changes, state)
        directory.close()
    assert StateDirectory(Disk(str(tmp_path))).open(write=False).state == commits[-1][1]
    assert len(list(tmp_path.rglob("notes"))) == 1


def test_a_symbolic_link_with_the_name_of_the_new_snapshot_is_not_followed(tmp_path):
    target = tmp_path / "other" / "file"
    target.parent.mkdir()
    target.write_text("by hand")
    folder = tmp_path / "state"
    folder.mkdir()
    (folder / "new").symlink_to(target)
    loaded = StateDirectory(Disk(str(folder))).open()
    assert loaded.findings[-1] == "cannot be written: new is no regular file"
    assert target.read_text() == "by hand"


@pytest.mark.parametrize("name", ["snapshot-1", "log-1", "new"])
def test_a_fifo_with_the_name_of_a_file_does_not_block_the_start(tmp_path, name):
    os.mkfifo(tmp_path / name)
    code = (
        "from havendyke.recovery.directory import StateDirectory\n"
        "from havendyke.recovery.disk import Disk\n"
        f"directory = StateDirectory(Disk({str(tmp_path)!r}))\n"
        "assert directory.open().state.servers == {}\n"
        f"assert (directory.write_error is not None) == {name == 'new'}\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=20)
