"""`UnresolvedCall` without a relay client."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from havendyke.lab.event_loop import SimulatedEventLoop
from havendyke.net.relay_orders import WeightOrder
from havendyke.net.snapshots import CallOutcome, Snapshot, TableChange, call_outcome
from havendyke.net.unresolved_call import UnresolvedCall

REPLY_DUE_MS = 10.0
PUBLISHED = {4: {"s1": 1.0}, 5: {"s1": 1.0}}


class Owner:
    """Records the outcomes of calls."""

    def __init__(self):
        self.resolved = []

    def call_resolved(self, orders, carried_out):
        self.resolved.append((list(orders.values()), carried_out))

    def send_next(self):
        """No orders are queued."""


def by_key(*orders):
    return {order.key: order for order in orders}


def unresolved(event_loop, *orders):
    """An unresolved call with these orders, and its owner; the time of the reply has passed."""
    slices = SimpleNamespace(tables=PUBLISHED)
    watch = SimpleNamespace(slices=slices, request_snapshot=lambda callback: None)
    owner = Owner()
    call = UnresolvedCall(event_loop, watch, owner)
    call.begin(by_key(*orders), event_loop.now() + REPLY_DUE_MS)
    event_loop.run_for(2 * REPLY_DUE_MS)
    return call, owner


def test_a_call_that_waits_for_its_retry_is_sent_with_newer_orders():
    unchanged = WeightOrder(4, "s1", 1.0)  # as published, so that no snapshot shows the outcome
    call, owner = unresolved(SimulatedEventLoop(), unchanged)
    call.retry_with_newer_orders()
    assert owner.resolved == [([unchanged], False)]


def test_the_retry_of_an_emptied_call_does_not_resolve_the_next_one():
    event_loop = SimulatedEventLoop()
    call, owner = unresolved(event_loop, WeightOrder(4, "s1", 1.0))
    call.discard_slice(4)
    call.begin(by_key(WeightOrder(5, "s1", 0.5)), event_loop.now() + REPLY_DUE_MS)
    call.retry_with_newer_orders()
    assert owner.resolved == [] and call.is_pending


class Relay:
    """Carries out each call or not, and answers snapshot requests on demand."""

    def __init__(self):
        self.event_loop = SimulatedEventLoop()
        self.tables = {k: {"s1": 1.0} for k in range(2)}
        self.snapshots = []
        slices = SimpleNamespace(tables={k: dict(t) for k, t in self.tables.items()})
        watch = SimpleNamespace(slices=slices, request_snapshot=self.snapshots.append)
        self.known = slices.tables
        self.call = UnresolvedCall(self.event_loop, watch, self)
        self.call_count = 0
        self.begun = None  # order, whether it was carried out, whether a snapshot came since

    def begin(self, slice_id, changes, carried_out):
        if self.call.orders:
            return
        self.call_count += 1
        order = WeightOrder(slice_id, "s1", 1.0 + self.call_count if changes else 1.0)
        if carried_out:
            self.tables[slice_id] = {"s1": order.weight}
        self.begun = (order, carried_out, False)
        self.call.begin(by_key(order), self.event_loop.now() + REPLY_DUE_MS)

    def reassign(self, slice_id, _, __):
        self.call.discard_slice(slice_id)
        self.known[slice_id] = dict(self.tables[slice_id])

    def push(self, *_):
        self.call.retry_with_newer_orders()

    def wait(self, slice_id, _, __):
        self.event_loop.run_for((15, 400)[slice_id])

    def answer(self, slice_id, complete, without_entries):
        """Answers with the tables, or with those of them that have arrived."""
        tables = {k: dict(table) for k, table in self.tables.items()}
        if not complete:
            tables[slice_id].clear()
            if not without_entries:
                del tables[slice_id]
        pending, self.snapshots[:] = self.snapshots[:], []
        if self.begun and pending:
            self.begun = (*self.begun[:2], True)
        for callback in pending:
            if not callback(Snapshot(tables, complete)):
                self.snapshots.append(callback)

    # The interface of `CallOwner`.

    def call_resolved(self, orders, carried_out):
        if not orders:
            return
        order, was_carried_out, compared = self.begun
        assert orders == by_key(order), "resolved with the orders of another call"
        if {"s1": order.weight} != self.known[order.slice_id]:
            assert compared, "resolved without a snapshot"
            assert carried_out == was_carried_out
        if carried_out:
            self.known[order.slice_id] = {"s1": order.weight}

    def table_superseded(self, slice_id, snapshot):
        self.reassign(slice_id, None, None)

    def send_next(self):
        """No orders are queued."""


STEPS = (Relay.begin, Relay.reassign, Relay.push, Relay.wait, Relay.answer)


@settings(max_examples=1000)
@given(
    st.lists(
        st.tuples(st.sampled_from(STEPS), st.integers(0, 1), st.booleans(), st.booleans()),
        min_size=5,
        max_size=12,
    )
)
def test_every_call_is_resolved_correctly_whatever_is_assigned_and_ordered_meanwhile(steps):
    relay = Relay()
    for step, slice_id, changes, carried_out in steps:
        step(relay, slice_id, changes, carried_out)
    for _ in range(3):
        relay.event_loop.run_for(5000)
        relay.answer(0, True, False)
    assert not relay.call.is_pending


S1, S2, NONE = {"s1": 1.0}, {"s2": 1.0}, {}
MOVED, CLEARED, SET = TableChange(S1, S2), TableChange(S1, NONE), TableChange(NONE, S2)
YES, NO, UNKNOWN = CallOutcome.CARRIED_OUT, CallOutcome.NOT_CARRIED_OUT, CallOutcome.UNKNOWN


# Guards against two owners: tables whose entries had not arrived yet counted as cleared, and new
# owners were set while proxies used the former ones (review case 2).
@pytest.mark.parametrize(
    "changes, shown, complete, outcome",
    [
        pytest.param({4: CLEARED}, {4: NONE, 5: NONE}, False, UNKNOWN, id="no entry so far"),
        pytest.param({4: CLEARED}, {4: NONE, 5: S1}, False, UNKNOWN, id="others so far"),
        pytest.param({4: CLEARED}, {4: S1}, False, NO, id="the entry to be removed"),
        pytest.param({4: CLEARED}, {4: NONE, 5: S1}, True, YES, id="no entry"),
        pytest.param({4: CLEARED}, {}, False, UNKNOWN, id="no slice so far"),
        pytest.param({4: SET}, {4: NONE, 5: NONE}, False, UNKNOWN, id="no new entry so far"),
        pytest.param({4: SET}, {4: NONE, 5: S1}, False, NO, id="others, not the new entry"),
        pytest.param({4: SET}, {4: S2}, False, YES, id="the new entry"),
        pytest.param({4: MOVED}, {4: S2, 5: S1}, False, YES, id="the entry of another server"),
        pytest.param({4: MOVED, 5: MOVED}, {4: S2}, False, UNKNOWN, id="one of two"),
        pytest.param({4: MOVED, 5: CLEARED}, {4: S2, 5: NONE}, False, UNKNOWN, id="set and clear"),
        pytest.param({4: MOVED, 5: CLEARED}, {4: S2, 5: NONE}, True, YES, id="both, complete"),
        pytest.param({4: MOVED}, {4: {"s3": 1.0}, 5: S1}, True, NO, id="of somebody else"),
    ],
)
def test_what_has_not_arrived_proves_nothing(changes, shown, complete, outcome):
    known = {s: changes[s].before if s in changes else S1 for s in (4, 5)}
    assert call_outcome(changes, known, Snapshot(shown, complete)) is outcome
