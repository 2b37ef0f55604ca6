"""The writer thread on a slow disk and on one that fails temporarily."""

import time
from copy import deepcopy

from recovery_states import make_commits

from havendyke.lab.disk import SimulatedDisk, Storage
from havendyke.recovery import records
from havendyke.recovery.changes import RemoveServer, SetListVersion, SetServer
from havendyke.recovery.directory import StateDirectory
from havendyke.recovery.state import PersistedState, ServerRecord
from havendyke.recovery.writer import StateWriter, WriterOptions


def test_a_slow_disk_batches_changes_and_commits_resume_after_a_failure():
    storage, logged = Storage(), []
    disk = SimulatedDisk(storage, on_call=lambda call: time.sleep(0.05) if call == "sync" else None)
    directory = StateDirectory(disk)
    writer = StateWriter(
        directory,
        directory.open().state,
        WriterOptions(commit_delay_ms=1.0, max_pending_changes=60, retry_delay_ms=20.0),
        lambda event, **fields: logged.append(event),
    )
    writer.start()
    state = PersistedState()
    for changes, state in make_commits(40):
        writer.submit(changes, lambda s=state: deepcopy(s))
    assert writer.wait_until_committed(10) and writer.counts["commits"] < 20
    disk.sync_fails = True
    state.list_version = 99
    writer.submit([SetListVersion(99)], lambda: deepcopy(state))
    assert not writer.wait_until_committed(0.3)
    disk.sync_fails = False
    assert writer.wait_until_committed(10)
    assert logged[0] == "state_not_persisted" and logged[-1] == "state_persisted_again"
    writer.stop(5)
    directory.close()
    assert StateDirectory(SimulatedDisk(storage)).open().state == state


def test_a_record_that_is_too_large_does_not_stop_the_writer():
    # The exception ended the thread: every later change was lost, and nothing was logged.
    storage, logged = Storage(), []
    directory = StateDirectory(SimulatedDisk(storage))
    writer = StateWriter(
        directory,
        directory.open().state,
        WriterOptions(commit_delay_ms=1.0, retry_delay_ms=20.0),
        lambda event, **fields: logged.append((event, fields.get("cause"))),
    )
    writer.start()
    ((changes, state),) = make_commits(1)
    writer.submit(changes, lambda: deepcopy(state))
    assert writer.wait_until_committed(10)
    state.servers["large"] = ServerRecord(endpoint="x" * records.MAX_PAYLOAD_BYTES)
    writer.submit([SetServer("large", state.servers["large"])], lambda: deepcopy(state))
    assert not writer.wait_until_committed(0.3)
    assert logged[0][0] == "state_not_persisted" and "a record of 1048" in logged[0][1]
    del state.servers["large"]
    state.list_version = 7
    writer.submit([RemoveServer("large"), SetListVersion(7)], lambda: deepcopy(state))
    assert writer.wait_until_committed(10) and logged[-1][0] == "state_persisted_again"
    writer.stop(5)
    directory.close()
    loaded = StateDirectory(SimulatedDisk(storage)).open()
    assert loaded.state == state and len(loaded.findings) == 1
