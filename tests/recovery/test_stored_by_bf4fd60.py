"""Compatibility with commit bf4fd60: files are read to the same values and written byte for byte.

`data/bf4fd60` was written by that commit; rows of `expected.json` have the fields in its order.
"""

import json
import shutil
from pathlib import Path

import pytest

from havendyke import interface as core
from havendyke.recovery import trust
from havendyke.recovery.changes import snapshot
from havendyke.recovery.codec import decode, encode
from havendyke.recovery.directory import StateDirectory
from havendyke.recovery.disk import Disk
from havendyke.recovery.state import ServerRecord
from havendyke.recovery.timestamps import Timestamp
from havendyke.recovery.tracker import ListedServer, StateTracker
from havendyke.registry import ObjectRegistry

DATA = Path(__file__).parent / "data" / "bf4fd60"
EXPECTED = json.loads((DATA / "expected.json").read_text())
FOLDERS = list(EXPECTED["folders"])
RENAMED = {"tombs_kept": "tombstones_upheld"}
START_WALL_MS, WARM_UP_MS = 1.7e12, 16_000.0


def timestamp_as_list(timestamp):
    return (
        None if timestamp is None else [timestamp.wall_ms, timestamp.boot_id, timestamp.uptime_ms]
    )


def state_as_json(state):
    """Returns the state in the form of `expected.json`."""
    servers = [
        [
            uid,
            [
                record.endpoint,
                record.zone,
                record.machine_kind,
                record.cell,
                record.state,
                record.size,
                record.started_ms,
                record.list_version,
                timestamp_as_list(record.confirmed_at),
                record.source,
                record.assumed_start_ms,
            ],
        ]
        for uid, record in state.servers.items()
    ]
    return {
        "servers": servers,
        "tombstones": [
            [
                uid,
                [
                    tombstone.started_ms,
                    tombstone.state,
                    tombstone.list_version,
                    timestamp_as_list(tombstone.recorded_at),
                ],
            ]
            for uid, tombstone in state.tombstones.items()
        ],
        "ejected": list(state.ejected),
        "slices": [
            [number, [list(line) for line in table.weights.items()], table.assigned]
            for number, table in state.slices.items()
        ],
        "marks": {"last": state.push.nonce, "answered": state.push.acknowledgements}
        if state.push
        else {},
        "learned": [
            [name, estimate.value, timestamp_as_list(estimate.observed_at)]
            for name, estimate in state.estimates.items()
        ],
        "list_version": state.list_version,
        "alive": timestamp_as_list(state.last_alive),
    }


def load(name):
    return StateDirectory(Disk(str(DATA / name))).open(write=False)


def as_json(value):
    return json.loads(json.dumps(value))


def assessment_rows(assessments):
    return [
        [each.uid, each.state, each.started_ms, each.trust, each.reason] for each in assessments
    ]


def file_contents(directory):
    return {path.name: path.read_bytes() for path in directory.iterdir() if path.name != "lock"}


@pytest.mark.parametrize("name", FOLDERS)
def test_a_directory_is_read_to_the_same_values(name):
    expected, read = EXPECTED["folders"][name], load(name)
    assert state_as_json(read.state) == expected["state"]
    assert read.generation == expected["generation"]
    assert read.replayed_changes == expected["records"]
    assert list(read.findings) == expected["said"]


@pytest.mark.parametrize("name", FOLDERS)
def test_a_state_is_encoded_as_the_same_records(name):
    assert [as_json(encode(change)) for change in snapshot(load(name).state)] == EXPECTED[
        "folders"
    ][name]["export"]


@pytest.mark.parametrize("case", EXPECTED["recovered"])
def test_a_recovery_assesses_a_directory_the_same(case):
    read = load(case["folder"])
    assessments = trust.assess_all(read.state, Timestamp(*case["now"]), case["cold"])
    assert assessment_rows(assessments) == case["standings"]


def test_the_same_commits_are_written_as_the_same_bytes(tmp_path):
    directory = StateDirectory(Disk(str(tmp_path / "state")), 2000)
    state = directory.open().state
    for changes in json.loads((DATA / "commits.json").read_text()):
        decoded = [decode(*record) for record in changes]
        for change in decoded:
            change.apply(state)
        directory.commit(decoded, state)
    directory.close()
    assert file_contents(tmp_path / "state") == file_contents(DATA / "state")


@pytest.mark.parametrize("name", FOLDERS)
def test_a_directory_is_continued_with_a_new_generation(name, tmp_path):
    shutil.copytree(DATA / name, tmp_path / name)
    before = load(name)
    directory = StateDirectory(Disk(str(tmp_path / name)))
    assert state_as_json(directory.open().state) == state_as_json(before.state)
    directory.close()
    again = StateDirectory(Disk(str(tmp_path / name))).open(write=False)
    assert state_as_json(again.state) == state_as_json(before.state)
    assert again.generation == before.generation + 1


class Session:
    """Applies the steps of `session.json`, which name its methods, and writes a directory."""

    def __init__(self, path):
        self.path = path
        self.wall_ms, self.boot_number, self.uptime_ms = START_WALL_MS, 1, 5000.0
        settings = core.Settings([core.RequestClass(1000.0, 3000.0)], slice_count=4)
        self.registry = ObjectRegistry(settings, 1)
        self.observed = []
        self.open()

    def open(self):
        self.directory = StateDirectory(Disk(str(self.path)))
        self.tracker = StateTracker(self.directory.open().state, self.now, WARM_UP_MS)

    def now(self):
        return Timestamp(self.wall_ms, f"boot-{self.boot_number}", self.uptime_ms)

    def list(self, scope, version, entries):
        listed = []
        for uid, state, started_ms in entries:
            record = ServerRecord(
                "127.0.0.9:80", "a", "m", 1, core.ServerState(state), 1.0, started_ms, version
            )
            server = self.registry.server(uid)
            entry = core.EndpointEntry(server, core.ServerState(state), None, 0, 1, 0, 1.0)
            listed.append(ListedServer(uid, record, entry))
        event = core.EndpointListUpdate(core.ListScope(scope), [server.entry for server in listed])
        filtered = self.tracker.apply_list(event, listed)
        self.observed.append(["list", [[e.server.id, str(e.state)] for e in filtered.entries]])

    def event(self, kind, *arguments):
        if kind == "acknowledged":
            return core.PushAcknowledged(self.registry.proxy(1), arguments[0], 1.0)
        if kind == "assignment":
            slice_ = self.registry.slice(arguments[0])
            slice_.assigned = arguments[1]
            return core.SliceAssignment(slice_, arguments[1])
        if kind == "snapshot":
            slice_, server = self.registry.slice(arguments[0]), self.registry.server(arguments[1])
            slice_.published[server] = arguments[2]
            return core.SnapshotEntry(slice_, server, arguments[2])
        server = self.registry.server(arguments[0])
        if kind == "check":
            outcome = core.HealthCheckOutcome
            passed = outcome.PASSED if arguments[1] else outcome.ERROR
            return core.HealthCheckResult(server, passed, 1.0)
        assert kind == "load"
        return core.ServerLoadReport(server, 0, arguments[1], arguments[2], 1.0, 1000.0)

    def order(self, kind, *arguments):
        if kind == "eject":
            return core.SetEjection(self.registry.server(arguments[0]), arguments[1])
        if kind == "acknowledgement":
            return core.RequestAcknowledgement(arguments[0], True)
        slice_ = self.registry.slice(arguments[0])
        if kind == "weight":
            return core.SetEndpointWeight(slice_, None, 1.0)
        assert kind == "clear"
        slice_.published.clear()
        return core.ClearTable(slice_)

    def turn(self, events, orders):
        raised = self.tracker.record(
            [self.event(*one) for one in events], [self.order(*one) for one in orders]
        )
        self.observed.append(["turn", assessment_rows(raised)])

    def learn(self, **capacities):
        for uid, capacity in capacities.items():
            server = self.registry.server(uid)
            server.state, server.capacity = core.ServerState.READY, capacity
        for slice_ in self.registry.controller.slices:
            slice_.demand = 2.5
        self.tracker.record_estimates(self.registry.controller)

    def commit(self):
        changes = self.tracker.take_changes()
        self.observed.append(["commit", [as_json(encode(change)) for change in changes]])
        if changes:
            self.directory.commit(changes, self.tracker.snapshot())

    def later(self, ms):
        self.wall_ms += ms
        self.uptime_ms += ms

    def restart(self, ms):
        self.directory.close()
        self.wall_ms, self.boot_number, self.uptime_ms = (
            self.wall_ms + ms,
            self.boot_number + 1,
            9000.0,
        )
        self.open()
        self.observed.append(["recovered", assessment_rows(self.tracker.assessments)])


def test_a_session_of_lists_events_and_orders_writes_the_same_bytes(tmp_path):
    session = Session(tmp_path / "session")
    for kind, arguments in json.loads((DATA / "session.json").read_text()):
        getattr(session, kind)(**arguments)
    session.directory.close()
    *observed, counts = EXPECTED["session"]
    assert session.observed == observed
    assert session.tracker.counts == {
        RENAMED.get(name, name): count for name, count in counts[1].items()
    }
    assert file_contents(tmp_path / "session") == file_contents(DATA / "session")
