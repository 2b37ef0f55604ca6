"""Which changes lists, events and orders result in, and which state is compared for them."""

from recovery_states import NOW, WARM_UP_MS

from havendyke import interface as core
from havendyke.recovery.codec import decode, encode
from havendyke.recovery.state import PersistedState, ServerRecord
from havendyke.recovery.tracker import ListedServer, StateTracker
from havendyke.registry import ObjectRegistry


def new_tracker():
    settings = core.Settings([core.RequestClass(1000.0, 3000.0)], slice_count=4)
    return StateTracker(PersistedState(), lambda: NOW, WARM_UP_MS), ObjectRegistry(settings, 1)


def record_kinds(changes):
    return [encode(change)[0] for change in changes]


def listed_server(registry, uid, state="ready", version=1):
    state = core.ServerState(state)
    entry = core.EndpointEntry(registry.server(uid), state, None, 0, 0, 0, 1.0)
    return ListedServer(uid, ServerRecord(state=state, list_version=version), entry)


def apply_list(tracker, servers, scope=core.ListScope.COMPLETE):
    update = core.EndpointListUpdate(scope, [server.entry for server in servers])
    return tracker.apply_list(update, servers)


def test_the_persisted_state_follows_lists_events_and_orders():
    tracker, registry = new_tracker()
    replayed = PersistedState()
    apply_list(tracker, [listed_server(registry, "s1"), listed_server(registry, "s2", "draining")])
    slice_ = registry.slice(2)
    slice_.assigned, slice_.published = True, {registry.server("s1"): 1.0}
    events = [core.SliceAssignment(slice_, True)]
    orders = [core.SetEjection(registry.server("s2"), True), core.RequestAcknowledgement(7, True)]
    assert tracker.record(events, orders) == []
    for change in tracker.take_changes():
        decode(*encode(change)).apply(replayed)
    assert replayed == tracker.desired
    assert replayed.slices[2].weights == {"s1": 1.0}
    assert replayed.ejected == {"s2": None}
    assert replayed.tombstones["s2"].state == "draining"
    assert replayed.push.nonce == 7
    assert tracker.take_changes() == []
    slice_.published = {}
    tracker.record([], [core.ClearTable(slice_), core.SetEjection(registry.server("s2"), False)])
    assert record_kinds(tracker.take_changes()) == ["open", "slice"]


def test_a_server_missing_from_a_complete_list_is_not_restored_by_an_older_list():
    tracker, registry = new_tracker()
    apply_list(tracker, [listed_server(registry, uid, version=5) for uid in ("s1", "s2")])
    tracker.take_changes()
    apply_list(tracker, [listed_server(registry, "s1", version=6)])
    assert record_kinds(tracker.take_changes())[:2] == ["lists", "tomb"]
    update = apply_list(tracker, [listed_server(registry, uid, version=4) for uid in ("s1", "s2")])
    assert [entry.state for entry in update.entries] == ["ready", "gone"]
    assert tracker.counts["tombstones_upheld"] == 1


def test_only_dirty_parts_of_the_state_are_compared():
    tracker, registry = new_tracker()
    apply_list(tracker, [listed_server(registry, f"s{number}") for number in range(2000)])
    assert len(tracker.take_changes()) == 2002  # including the list's version and `last_alive`
    compared_counts = []
    dirty_subset = tracker.dirty_subset

    def counting_subset(state, uids, numbers):
        compared_counts.append(len(uids))
        return dirty_subset(state, uids, numbers)

    tracker.dirty_subset = counting_subset
    apply_list(tracker, [listed_server(registry, "s7", "draining", 2)], core.ListScope.CHANGES)
    assert record_kinds(tracker.take_changes()) == ["lists", "tomb", "entry"]
    assert compared_counts == [1, 1]


def test_only_acknowledgements_of_the_last_push_are_counted():
    tracker, registry = new_tracker()
    tracker.record([], [core.RequestAcknowledgement(7, True)])
    tracker.take_changes()
    events = [
        core.PushAcknowledged(registry.proxy(number), nonce, 1.0)
        for number, nonce in enumerate((7, 6, 7))
    ]
    tracker.record(events, [])
    changes = tracker.take_changes()
    assert [encode(change) for change in changes] == [("marks", {"last": 7, "answered": 2})]
    assert tracker.take_changes() == []
