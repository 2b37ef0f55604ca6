"""Each rule's breach is seen, and what keeps just short of it is none."""

import pytest

from havendyke import interface as core
from havendyke.lab.data_plane import DataPlane
from havendyke.lab.rules import Bounds, RuleChecker
from havendyke.registry import ObjectRegistry

BOUNDS = Bounds(
    empty_table_ms=1000.0, drain_grace_ms=2000.0, overload_window_ms=500.0, load_tolerance=0.0
)


class Scene:
    """A plane with one proxy and two slices on server a; a knows no trouble and is warm, so is
    b."""

    def __init__(self, **settings):
        self.settings = core.Settings(
            request_classes=[
                core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT),
                core.RequestClass(1000.0, 3000.0, core.Idempotency.NON_IDEMPOTENT),
            ],
            slice_count=2,
            channel_queue_limit=40.0,
            channel_rate_per_s=1000.0,
            message_overhead=2.0,
            push_delay_ms=50.0,
            warm_up_ms=10_000.0,
            initial_capacity_share=0.2,
            warm_up_overload_factor=3.0,
            **settings,
        )
        self.registry = ObjectRegistry(self.settings, 1)
        self.plane, self.rules = (
            DataPlane(self.settings, lambda: 0.5, read_delay_ms=(0.0, 0.0)),
            RuleChecker(self.settings, BOUNDS, warm_capacity=100.0),
        )
        self.a, self.b = self.registry.server("a"), self.registry.server("b")
        self.pieces = [self.registry.slice(0), self.registry.slice(1)]
        self.list(self.a), self.list(self.b)
        for piece in self.pieces:
            self.plane.assign_slice(piece, {self.a: 1.0})
        self.proxy = self.registry.proxy(0)
        self.plane.connect(self.proxy, 0, 1.0, True)
        self.demand = dict.fromkeys(self.pieces, 50.0)
        self.go(10)

    def list(self, server, state="ready", started=None):
        self.rules.observe_list(
            self.plane.now,
            core.EndpointListUpdate(
                core.ListScope.CHANGES, [core.EndpointEntry(server, state, started, 0, 0, 0, 1.0)]
            ),
        )

    def order(self, *orders):
        self.plane.apply_orders(list(orders))
        self.rules.observe_orders(self.plane.now, orders, self.plane)

    def go(self, ms, step=10.0):
        for _ in range(int(ms / step)):
            self.plane.advance(self.plane.now + step)
            self.rules.check(self.plane.now, self.plane, self.demand)

    @property
    def seen(self):
        return [b.rule for b in self.rules.violations]


def test_a_day_without_trouble_breaks_nothing():
    s = Scene()
    s.go(5000)
    assert s.seen == []


@pytest.mark.parametrize("listed, expected", [(True, ["bare"] * 2), (False, [])])
def test_bare(listed, expected):
    s = Scene()
    if not listed:
        s.list(s.a, "gone"), s.list(s.b, "gone")
    s.order(*[core.ClearTable(p) for p in s.pieces])
    s.go(1040)
    assert s.seen == []
    s.go(200)
    assert s.seen[:2] == expected


@pytest.mark.parametrize("how", ["line", "withdraw", "late"])
def test_drain(how):
    s = Scene()
    s.list(s.a, "draining")
    s.go(1800)
    if how == "line":
        s.order(
            *[
                o
                for p in s.pieces
                for o in (core.SetEndpointWeight(p, s.b, 1.0), core.SetEndpointWeight(p, s.a, 0.0))
            ]
        )
    elif how == "withdraw":
        s.order(
            *[core.SetEndpointWeight(p, s.b, 0.01) for p in s.pieces], core.SetEjection(s.a, True)
        )
    s.go(600)
    assert s.seen[:1] == (["drain"] if how == "late" else [])


@pytest.mark.parametrize(
    "share, age, breaks", [(1.0, 0.0, True), (0.5, 0.0, False), (1.0, 3000.0, False)]
)
def test_cold(share, age, breaks):
    s = Scene()
    s.list(s.b, "ready", s.plane.now - age)
    s.go(2100)  # by then it counts as known
    s.rules.started[s.b] = s.plane.now - age
    s.order(
        *[core.SetEndpointWeight(p, s.b, w) for p in s.pieces for w in (share,)],
        *[core.SetEndpointWeight(p, s.a, 1.0 - share) for p in s.pieces],
    )
    s.go(900)
    assert ("cold" in s.seen) == breaks


def test_queue_and_cap():
    s = Scene()
    s.order(*[core.SetEndpointWeight(s.pieces[0], s.b, 1.0)] * 30)
    assert s.seen == []
    s.order(*[core.SetEndpointWeight(s.pieces[0], s.b, 1.0)] * 10)
    assert s.seen == ["queue"]
    s = Scene(message_limit=2, message_limit_window_ms=1000.0)
    for k in range(3):
        s.order(core.RequestAcknowledgement(k, True))
        s.go(100)
    assert s.seen == ["queue"]


@pytest.mark.parametrize("classes, breaks", [((0,), False), ((1,), True), ((0, 1), True)])
def test_twice_by_further_tries(classes, breaks):
    s = Scene()
    s.order(core.SetAdmission(classes, 1.0, core.RetryPolicy.ONCE_AFTER_ANY_FAILURE))
    assert ("twice" in s.seen) == breaks


@pytest.mark.parametrize("wait, breaks", [(200.0, True), (900.0, False)])
@pytest.mark.parametrize("away", [False, True])
def test_twice_of_a_sole_owner(wait, breaks, away):
    s = Scene(exclusive_ownership=True, lease_ms=300.0, max_write_in_flight_ms=500.0)
    other = s.registry.proxy(1)
    s.plane.connect(other, 0, 1.0, True)
    s.go(50)
    if away:
        s.plane.disconnect(other)
    s.order(core.ClearTable(s.pieces[0]))
    s.go(wait)
    s.order(core.SetEndpointWeight(s.pieces[0], s.b, 1.0))
    s.go(300)
    assert ("twice" in s.seen) == breaks


def test_limits_stand_still_while_nothing_leaves():
    s = Scene()
    s.list(s.a, "gone")
    s.rules.set_channel_available(s.plane.now, False)
    s.go(4000)
    s.rules.set_channel_available(s.plane.now, True)
    s.go(1900)
    assert s.seen == []
    s.go(300)
    assert "drain" in s.seen
