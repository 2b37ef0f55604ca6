"""What commit bf4fd60 stored, read and wrote: the present version does the same to the byte.

`data/bf4fd60` was written by that commit. Rows of `expected.json` have their fields in its order.
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
WALL, WARM_UP_MS = 1.7e12, 16_000.0


def as_list(stamp):
    return None if stamp is None else [stamp.wall_ms, stamp.boot_id, stamp.uptime_ms]


def plain(state):
    """The state as `expected.json` has it."""
    servers = [
        [
            uid,
            [
                row.endpoint,
                row.zone,
                row.machine_kind,
                row.cell,
                row.state,
                row.size,
                row.started_ms,
                row.list_version,
                as_list(row.confirmed),
                row.source,
                row.assumed_start_ms,
            ],
        ]
        for uid, row in state.servers.items()
    ]
    return {
        "servers": servers,
        "tombstones": [
            [uid, [tomb.started_ms, tomb.state, tomb.list_version, as_list(tomb.recorded)]]
            for uid, tomb in state.tombstones.items()
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
            [name, figure.value, as_list(figure.observed)] for name, figure in state.learned.items()
        ],
        "list_version": state.list_version,
        "alive": as_list(state.last_alive),
    }


def found(name):
    return StateDirectory(Disk(str(DATA / name))).open(write=False)


def as_json(value):
    return json.loads(json.dumps(value))


def standings(made):
    return [[one.uid, one.state, one.started_ms, one.trust, one.reason] for one in made]


def files(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name != "lock"}


@pytest.mark.parametrize("name", FOLDERS)
def test_a_folder_is_read_to_the_same_values(name):
    expected, read = EXPECTED["folders"][name], found(name)
    assert plain(read.state) == expected["state"]
    assert read.generation == expected["generation"]
    assert read.replayed_changes == expected["records"]
    assert list(read.findings) == expected["said"]


@pytest.mark.parametrize("name", FOLDERS)
def test_a_state_is_stored_as_the_same_changes(name):
    assert [as_json(encode(change)) for change in snapshot(found(name).state)] == EXPECTED[
        "folders"
    ][name]["export"]


@pytest.mark.parametrize("case", EXPECTED["recovered"])
def test_a_start_believes_the_same_of_a_folder(case):
    read = found(case["folder"])
    made = trust.assess_all(read.state, Timestamp(*case["now"]), case["cold"])
    assert standings(made) == case["standings"]


def test_the_same_commits_are_written_as_the_same_bytes(tmp_path):
    folder = StateDirectory(Disk(str(tmp_path / "state")), 2000)
    state = folder.open().state
    for changes in json.loads((DATA / "commits.json").read_text()):
        decoded = [decode(*record) for record in changes]
        for change in decoded:
            change.apply(state)
        folder.commit(decoded, state)
    folder.close()
    assert files(tmp_path / "state") == files(DATA / "state")


@pytest.mark.parametrize("name", FOLDERS)
def test_a_folder_is_gone_on_with(name, tmp_path):
    shutil.copytree(DATA / name, tmp_path / name)
    before = found(name)
    folder = StateDirectory(Disk(str(tmp_path / name)))
    assert plain(folder.open().state) == plain(before.state)
    folder.close()
    again = StateDirectory(Disk(str(tmp_path / name))).open(write=False)
    assert plain(again.state) == plain(before.state)
    assert again.generation == before.generation + 1


class Session:
    """Plays the steps of `session.json` through the tracker of the state into a folder."""

    def __init__(self, path):
        self.path = path
        self.wall, self.boot, self.since = WALL, 1, 5000.0
        settings = core.Settings([core.RequestClass(1000.0, 3000.0)], slice_count=4)
        self.registry = ObjectRegistry(settings, 1)
        self.seen = []
        self.open()

    def open(self):
        self.folder = StateDirectory(Disk(str(self.path)))
        self.tracker = StateTracker(self.folder.open().state, self.now, WARM_UP_MS)

    def now(self):
        return Timestamp(self.wall, f"boot-{self.boot}", self.since)

    def list(self, scope, version, entries):
        made = []
        for uid, state, boot in entries:
            row = ServerRecord(
                "127.0.0.9:80", "a", "m", 1, core.ServerState(state), 1.0, boot, version
            )
            server = self.registry.server(uid)
            entry = core.EndpointEntry(server, core.ServerState(state), None, 0, 1, 0, 1.0)
            made.append(ListedServer(uid, row, entry))
        event = core.EndpointListUpdate(core.ListScope(scope), [one.entry for one in made])
        heard = self.tracker.apply_list(event, made)
        self.seen.append(["list", [[e.server.id, str(e.state)] for e in heard.entries]])

    def event(self, kind, *words):
        if kind == "acknowledged":
            return core.PushAcknowledged(self.registry.proxy(1), words[0], 1.0)
        if kind == "assignment":
            slice_ = self.registry.slice(words[0])
            slice_.assigned = words[1]
            return core.SliceAssignment(slice_, words[1])
        if kind == "snapshot":
            slice_, server = self.registry.slice(words[0]), self.registry.server(words[1])
            slice_.published[server] = words[2]
            return core.SnapshotEntry(slice_, server, words[2])
        server = self.registry.server(words[0])
        if kind == "check":
            outcome = core.HealthCheckOutcome
            passed = outcome.PASSED if words[1] else outcome.ERROR
            return core.HealthCheckResult(server, passed, 1.0)
        assert kind == "load"
        return core.ServerLoadReport(server, 0, words[1], words[2], 1.0, 1000.0)

    def order(self, kind, *words):
        if kind == "eject":
            return core.SetEjection(self.registry.server(words[0]), words[1])
        if kind == "acknowledgement":
            return core.RequestAcknowledgement(words[0], True)
        slice_ = self.registry.slice(words[0])
        if kind == "weight":
            return core.SetEndpointWeight(slice_, None, 1.0)
        assert kind == "clear"
        slice_.published.clear()
        return core.ClearTable(slice_)

    def turn(self, events, orders):
        raised = self.tracker.record(
            [self.event(*one) for one in events], [self.order(*one) for one in orders]
        )
        self.seen.append(["turn", standings(raised)])

    def learn(self, **capacities):
        for uid, capacity in capacities.items():
            server = self.registry.server(uid)
            server.state, server.capacity = core.ServerState.READY, capacity
        for slice_ in self.registry.controller.slices:
            slice_.demand = 2.5
        self.tracker.record_estimates(self.registry.controller)

    def commit(self):
        changes = self.tracker.take_changes()
        self.seen.append(["commit", [as_json(encode(change)) for change in changes]])
        if changes:
            self.folder.commit(changes, self.tracker.snapshot())

    def later(self, ms):
        self.wall += ms
        self.since += ms

    def restart(self, ms):
        self.folder.close()
        self.wall, self.boot, self.since = self.wall + ms, self.boot + 1, 9000.0
        self.open()
        self.seen.append(["recovered", standings(self.tracker.assessments)])


def test_a_session_of_lists_events_and_orders_is_stored_as_the_same_bytes(tmp_path):
    session = Session(tmp_path / "session")
    for kind, words in json.loads((DATA / "session.json").read_text()):
        getattr(session, kind)(**words)
    session.folder.close()
    *seen, counts = EXPECTED["session"]
    assert session.seen == seen
    assert session.tracker.counts == {RENAMED.get(n, n): count for n, count in counts[1].items()}
    assert files(tmp_path / "session") == files(DATA / "session")
