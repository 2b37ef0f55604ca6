"""Crashes at every call, damage at every byte, and disks that are full, read-only or another's."""

import os
import subprocess
import sys

import pytest
from recovery_states import commits

from havendyke.interface import ServerState
from havendyke.lab.disk import ProcessDied, SimulatedDisk, Storage
from havendyke.recovery import records
from havendyke.recovery.changes import SetServer
from havendyke.recovery.codec import encode
from havendyke.recovery.directory import DirectoryLockedError, StateDirectory
from havendyke.recovery.disk import Disk
from havendyke.recovery.state import PersistedState, ServerRecord, Tombstone
from havendyke.recovery.timestamps import Timestamp


def commit_all(disk, made, max_log_bytes):
    """Commits until the process dies; the number of the last acknowledged commit (-1: none)."""
    acknowledged = -1
    try:
        directory = StateDirectory(disk, max_log_bytes)
        directory.open()
        for number, (changes, state) in enumerate(made):
            directory.commit(changes, state)
            acknowledged = number
        directory.close()
    except ProcessDied:
        pass
    return acknowledged


@pytest.mark.parametrize("loss", ["all", "none", "half"])
@pytest.mark.parametrize("max_log_bytes", [1 << 20, 600])
def test_a_crash_at_every_call_leaves_a_state_that_was_committed(loss, max_log_bytes):
    made, seen, stop = commits(5), set(), 1
    states = [PersistedState()] + [state for _, state in made]
    while True:
        memory = Storage()
        disk = SimulatedDisk(memory, die_at_call=stop)
        acknowledged = commit_all(disk, made, max_log_bytes)
        memory.crash(loss)
        loaded = StateDirectory(SimulatedDisk(memory)).open()
        at = states.index(loaded.state)  # never a mix: it is one of those that were
        assert at >= acknowledged + 1, f"call {stop}: {acknowledged} acknowledged, {at - 1} loaded"
        # The generation that the load has begun is durable as well.
        memory.crash("all")
        assert StateDirectory(SimulatedDisk(memory)).open(write=False).state == loaded.state
        seen.add(at)
        if disk.calls < stop:
            break
        stop += 1
    assert seen == set(range(6)) and stop > 20


def small_directory():
    """The memory of a directory with three commits, and the states up to each."""
    memory, made = Storage(), commits(3)
    assert commit_all(SimulatedDisk(memory), made, 1 << 20) == 2
    memory.locked = False
    return memory, [PersistedState()] + [state for _, state in made]


def copied(memory):
    copy = Storage()
    copy.live = {name: bytearray(data) for name, data in memory.live.items()}
    return copy


@pytest.mark.parametrize("name", ["snapshot-1", "log-1"])
def test_a_flipped_bit_anywhere_is_found_and_an_older_state_loaded(name):
    memory, states = small_directory()
    for at in range(len(memory.live[name])):
        flipped = copied(memory)
        flipped.live[name][at] ^= 1 << at % 8
        loaded = StateDirectory(SimulatedDisk(flipped)).open()
        assert loaded.state in states, at
        found = loaded.state != states[-1] and len(loaded.findings) > 1
        assert found or (name == "log-1" and loaded.state == states[-1]), at


def test_a_log_cut_at_every_byte_gives_a_committed_state():
    memory, states = small_directory()
    for at in range(len(memory.live["log-1"])):
        cut = copied(memory)
        del cut.live["log-1"][at:]
        assert StateDirectory(SimulatedDisk(cut)).open(write=False).state in states[:-1]


def sealed(payload):
    """A frame whose checksum is right."""
    length = len(payload).to_bytes(records.LENGTH_BYTES, "big")
    return length + records.checksum(length, payload, records.SCHEMA) + payload


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"", "empty"),
        (b"junk and more", "does not begin"),
        (records.MAGIC + b"\0\x09", "schema 9"),
        (records.encode_header() + b"\xff" * 40, "claims"),
        (records.encode_header() + records.encode_frame(3, "entry", {"uid": 5}), "does not end"),
        pytest.param(records.encode_header() + sealed(b"7"), "no array of three", id="number"),
        pytest.param(records.encode_header() + sealed(b"null"), "no array of three", id="null"),
    ],
)
def test_a_damaged_snapshot_is_moved_aside_and_never_overwritten(data, reason):
    memory = Storage()
    memory.live["snapshot-4"] = bytearray(data)
    loaded = StateDirectory(SimulatedDisk(memory)).open()
    assert loaded.state == PersistedState() and reason in loaded.findings[0]
    assert bytes(memory.live["damaged-snapshot-4"]) == data and "snapshot-5" in memory.live


def test_damaged_files_are_bounded_and_the_newest_stay():
    memory = Storage()
    for number in range(1, 12):
        memory.live[f"snapshot-{number}"] = bytearray(b"bad")
    StateDirectory(SimulatedDisk(memory)).open()
    damaged = sorted(name for name in memory.live if name.startswith("damaged"))
    assert damaged == sorted(f"damaged-snapshot-{number}" for number in range(7, 12))


def test_a_snapshot_of_schema_1_is_read():
    memory = Storage()
    record = ServerRecord("e", "a", "m", 0, ServerState.READY, 1.0, 0.0, 3, None)
    fields = encode(SetServer("s1", record))[1] | {"confirmed": 5}
    del fields["by"]
    stored = [("begin", {"generation": 2}), ("entry", fields), ("end", {})]
    memory.live["snapshot-2"] = bytearray(
        records.encode_header(1)
        + b"".join(records.encode_frame(serial, *record, 1) for serial, record in enumerate(stored))
    )
    server = StateDirectory(SimulatedDisk(memory)).open(write=False).state.servers["s1"]
    assert server.source == "disk" and server.confirmed == Timestamp(5000.0, "", 0.0)


def test_a_full_disk_keeps_nobody_from_starting_and_is_caught_up_with():
    memory, states = small_directory()
    made = commits(6)
    disk = SimulatedDisk(memory, free_bytes=0)
    directory = StateDirectory(disk)
    loaded = directory.open()
    assert loaded.state == states[-1] and "No space" in loaded.findings[-1]
    with pytest.raises(OSError):
        directory.commit(*made[3])
    disk.free_bytes = None
    directory.commit(*made[4])
    directory.close()
    assert StateDirectory(SimulatedDisk(memory)).open().state == made[4][1]


def test_a_read_only_directory_can_be_read():
    memory, states = small_directory()
    with pytest.raises(OSError):
        StateDirectory(SimulatedDisk(memory, read_only=True)).open()
    read_only = StateDirectory(SimulatedDisk(memory, read_only=True))
    assert read_only.open(write=False).state == states[-1]


def test_two_processes_do_not_share_a_directory(tmp_path):
    first, second = StateDirectory(Disk(str(tmp_path))), StateDirectory(Disk(str(tmp_path)))
    first.open()
    with pytest.raises(DirectoryLockedError):
        second.open()
    first.close()
    assert second.open().generation == 1


def test_a_real_directory_has_what_was_committed_in_two_generations(tmp_path):
    made = commits(6)
    directory = StateDirectory(Disk(str(tmp_path / "state")), max_log_bytes=700)
    directory.open()
    for changes, state in made:
        directory.commit(changes, state)
    directory.close()
    loaded = StateDirectory(Disk(str(tmp_path / "state"))).open(write=False)
    assert loaded.state == made[-1][1]
    assert len(list((tmp_path / "state").iterdir())) <= 5  # lock, and two generations of two files


def test_a_damaged_file_without_a_number_does_not_keep_another_from_being_moved_aside():
    memory = Storage()
    memory.live["damaged-notes"] = bytearray(b"by hand")
    memory.live["snapshot-4"] = bytearray(b"nonsense")
    StateDirectory(SimulatedDisk(memory)).open()
    assert "damaged-snapshot-4" in memory.live and "damaged-notes" in memory.live


def test_a_log_with_an_unusable_tombstone_loses_the_older_one_of_its_server():
    state = PersistedState(
        tombstones={uid: Tombstone(0.0, ServerState.DRAINING, 1, None) for uid in ("s1", "s2")}
    )
    unusable = {"uid": "s1", "boot": -1.0, "state": "gone", "lists": 2, "at": None}
    memory = Storage()
    directory = StateDirectory(SimulatedDisk(memory))
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
    disk = SimulatedDisk(memory)
    handle = disk.create(name)
    disk.write(handle, log + records.encode_frame(2, records.END, {}))
    disk.close(handle)
    loaded = StateDirectory(disk).open(write=False)
    assert list(loaded.state.tombstones) == ["s2"]
    assert f"{name}: record 1 cannot be used" in loaded.findings


@pytest.mark.parametrize("name", ["snapshot-02", "log-02", "snapshot-3.bak", "log-", "snapshot-٣"])
def test_names_that_the_program_does_not_write_are_neither_read_nor_removed(name):
    # A copy under another number counted as a generation, and was removed.
    memory, states = small_directory()
    memory.live[name] = bytearray(b"by hand")
    for _ in range(4):
        directory = StateDirectory(SimulatedDisk(memory))
        assert directory.open().state == states[-1]
        directory.close()
    assert memory.live[name] == b"by hand"
    assert sum(other.startswith("snapshot-") for other in memory.live if other != name) == 2


def test_a_generation_of_many_digits_is_found_again():
    memory, states = small_directory()
    memory.live["snapshot-999999999999999"] = memory.live["snapshot-1"]
    for _ in range(3):
        directory = StateDirectory(SimulatedDisk(memory))
        loaded = directory.open()
        directory.close()
    assert loaded.state == states[-1] and "goes by snapshot-1000000000000001" in loaded.findings[-1]


@pytest.mark.parametrize("name", ["log-1", "snapshot-1", "damaged-snapshot-0"])
def test_a_folder_in_the_place_of_a_file_keeps_no_commit_from_being_made(tmp_path, name):
    made = commits(6)
    (tmp_path / name).mkdir()
    (tmp_path / name / "notes").write_text("by hand")
    for _ in range(3):
        directory = StateDirectory(Disk(str(tmp_path)), max_log_bytes=1)
        loaded = directory.open()
        assert not any("cannot be written" in finding for finding in loaded.findings)
        for changes, state in made:
            directory.commit(changes, state)
        directory.close()
    assert StateDirectory(Disk(str(tmp_path))).open(write=False).state == made[-1][1]
    assert len(list(tmp_path.rglob("notes"))) == 1


def test_a_link_in_the_place_of_the_next_snapshot_leaves_its_target_as_it_is(tmp_path):
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
def test_a_pipe_in_the_place_of_a_file_does_not_stop_the_start(tmp_path, name):
    os.mkfifo(tmp_path / name)
    code = (
        "from havendyke.recovery.directory import StateDirectory\n"
        "from havendyke.recovery.disk import Disk\n"
        f"directory = StateDirectory(Disk({str(tmp_path)!r}))\n"
        "assert directory.open().state.servers == {}\n"
        f"assert (directory.write_error is not None) == {name == 'new'}\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=20)
