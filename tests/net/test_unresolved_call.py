"""A call whose outcome is unknown, on its own."""

from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from havendyke.lab.event_loop import SimulatedEventLoop
from havendyke.net.relay_orders import WeightOrder
from havendyke.net.unresolved_call import UnresolvedCall

REPLY_DUE_MS = 10.0
PUBLISHED = {4: {"s1": 1.0}, 5: {"s1": 1.0}}


class Owner:
    """Takes note of what became of calls."""

    def __init__(self):
        self.resolved = []

    def call_resolved(self, orders, carried_out):
        self.resolved.append((list(orders.values()), carried_out))

    def send_next(self):
        """Nothing waits."""


def by_key(*orders):
    return {order.key: order for order in orders}


def unresolved(hub, *orders):
    """The call with these orders, and its owner; replies were due some time ago."""
    slices = SimpleNamespace(tables=PUBLISHED)
    watch = SimpleNamespace(slices=slices, request_snapshot=lambda on_tables: None)
    owner = Owner()
    call = UnresolvedCall(hub, watch, owner)
    call.begin(by_key(*orders), hub.now() + REPLY_DUE_MS)
    hub.run_for(2 * REPLY_DUE_MS)
    return call, owner


def test_a_call_that_waits_for_its_retry_goes_along_with_newer_orders():
    unchanged = WeightOrder(4, "s1", 1.0)  # the published table has it: no snapshot tells
    call, owner = unresolved(SimulatedEventLoop(), unchanged)
    call.retry_with_newer_orders()
    assert owner.resolved == [([unchanged], False)]


def test_the_retry_of_an_emptied_call_decides_nothing_about_the_next():
    hub = SimulatedEventLoop()
    call, owner = unresolved(hub, WeightOrder(4, "s1", 1.0))
    call.discard_slice(4)
    call.begin(by_key(WeightOrder(5, "s1", 0.5)), hub.now() + REPLY_DUE_MS)
    call.retry_with_newer_orders()
    assert owner.resolved == [] and call.is_pending


class Relay:
    """Carries out each call or not, and answers requests for a snapshot when told to."""

    def __init__(self):
        self.hub = SimulatedEventLoop()
        self.tables = {k: {"s1": 1.0} for k in range(2)}
        self.snapshots = []
        slices = SimpleNamespace(tables={k: dict(t) for k, t in self.tables.items()})
        watch = SimpleNamespace(slices=slices, request_snapshot=self.snapshots.append)
        self.known = slices.tables
        self.call = UnresolvedCall(self.hub, watch, self)
        self.number = 0
        self.begun = None  # orders, whether carried out, whether a snapshot was answered since

    def begin(self, slice_id, changes, carried_out):
        if self.call.orders:
            return
        self.number += 1
        order = WeightOrder(slice_id, "s1", 1.0 + self.number if changes else 1.0)
        if carried_out:
            self.tables[slice_id] = {"s1": order.weight}
        self.begun = (order, carried_out, False)
        self.call.begin(by_key(order), self.hub.now() + REPLY_DUE_MS)

    def reassign(self, slice_id, _, __):
        self.call.discard_slice(slice_id)
        self.known[slice_id] = dict(self.tables[slice_id])

    def push(self, *_):
        self.call.retry_with_newer_orders()

    def wait(self, slice_id, _, __):
        self.hub.run_for((15, 400)[slice_id])

    def answer(self, *_):
        pending, self.snapshots[:] = self.snapshots[:], []
        if self.begun and pending:
            self.begun = (*self.begun[:2], True)
        for on_tables in pending:
            on_tables({k: dict(table) for k, table in self.tables.items()})

    # As the owner of the call

    def call_resolved(self, orders, carried_out):
        if not orders:
            return
        order, was_carried_out, compared = self.begun
        assert orders == by_key(order), "the orders of another call"
        if {"s1": order.weight} != self.known[order.slice_id]:
            assert compared, "resolved without a snapshot"
            assert carried_out == was_carried_out
        if carried_out:
            self.known[order.slice_id] = {"s1": order.weight}

    def send_next(self):
        """Nothing waits."""


STEPS = (Relay.begin, Relay.reassign, Relay.push, Relay.wait, Relay.answer)


@settings(max_examples=1000)
@given(
    st.lists(
        st.tuples(st.sampled_from(STEPS), st.integers(0, 1), st.booleans(), st.booleans()),
        min_size=5,
        max_size=12,
    )
)
def test_no_call_is_retried_or_forgotten_whatever_is_assigned_and_ordered_meanwhile(steps):
    relay = Relay()
    for step, slice_id, changes, carried_out in steps:
        step(relay, slice_id, changes, carried_out)
    for _ in range(3):
        relay.hub.run_for(5000)
        relay.answer()
    assert not relay.call.is_pending
