"""Each rule: a violation is reported, and behaviour just within its bound is not."""

import pytest

from havendyke import interface as core
from havendyke.lab.data_plane import DataPlane
from havendyke.lab.rules import Bounds, RuleChecker
from havendyke.registry import ObjectRegistry

BOUNDS = Bounds(
    empty_table_ms=1000.0, drain_grace_ms=2000.0, overload_window_ms=500.0, load_tolerance=0.0
)


class Scenario:
    """A data plane with one proxy and two slices on server a; a and b are ready and warm."""

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
        self.slices = [self.registry.slice(0), self.registry.slice(1)]
        self.list(self.a), self.list(self.b)
        for slice_ in self.slices:
            self.plane.assign_slice(slice_, {self.a: 1.0})
        self.proxy = self.registry.proxy(0)
        self.plane.connect(self.proxy, 0, 1.0, True)
        self.demand = dict.fromkeys(self.slices, 50.0)
        self.run_for(10)

    def list(self, server, state="ready", started=None):
        """The controller receives a server's entry in the endpoint list."""
        self.rules.observe_list(
            self.plane.now,
            core.EndpointListUpdate(
                core.ListScope.CHANGES, [core.EndpointEntry(server, state, started, 0, 0, 0, 1.0)]
            ),
        )

    def order(self, *orders):
        """Applies and checks these as the orders of one reconciliation."""
        self.plane.apply_orders(list(orders))
        self.rules.observe_orders(self.plane.now, orders, self.plane)

    def run_for(self, ms, step_ms=10.0):
        for _ in range(int(ms / step_ms)):
            self.plane.advance(self.plane.now + step_ms)
            self.rules.check(self.plane.now, self.plane, self.demand)

    @property
    def broken_rules(self):
        return [violation.rule for violation in self.rules.violations]


def test_without_faults_no_rule_is_broken():
    scenario = Scenario()
    scenario.run_for(5000)
    assert scenario.broken_rules == []


@pytest.mark.parametrize("listed, expected", [(True, ["empty table"] * 2), (False, [])])
def test_empty_tables_break_a_rule_while_a_warm_server_is_listed(listed, expected):
    scenario = Scenario()
    if not listed:
        scenario.list(scenario.a, "gone"), scenario.list(scenario.b, "gone")
    scenario.order(*[core.ClearTable(p) for p in scenario.slices])
    scenario.run_for(1040)
    assert scenario.broken_rules == []
    scenario.run_for(200)
    assert scenario.broken_rules[:2] == expected


@pytest.mark.parametrize("how", ["line", "withdraw", "late"])
def test_a_draining_server_gets_nothing_after_the_grace_period(how):
    scenario = Scenario()
    scenario.list(scenario.a, "draining")
    scenario.run_for(1800)
    if how == "line":
        scenario.order(
            *[
                o
                for p in scenario.slices
                for o in (
                    core.SetEndpointWeight(p, scenario.b, 1.0),
                    core.SetEndpointWeight(p, scenario.a, 0.0),
                )
            ]
        )
    elif how == "withdraw":
        scenario.order(
            *[core.SetEndpointWeight(p, scenario.b, 0.01) for p in scenario.slices],
            core.SetEjection(scenario.a, True),
        )
    scenario.run_for(600)
    assert scenario.broken_rules[:1] == (["drain"] if how == "late" else [])


@pytest.mark.parametrize(
    "share, age, breaks", [(1.0, 0.0, True), (0.5, 0.0, False), (1.0, 3000.0, False)]
)
def test_a_cold_server_is_not_sent_the_load_that_overloads_it(share, age, breaks):
    scenario = Scenario()
    scenario.list(scenario.b, "ready", scenario.plane.now - age)
    scenario.run_for(2100)  # after the grace period the proxy counts as knowing of the start
    scenario.rules.started[scenario.b] = scenario.plane.now - age
    scenario.order(
        *[core.SetEndpointWeight(p, scenario.b, w) for p in scenario.slices for w in (share,)],
        *[core.SetEndpointWeight(p, scenario.a, 1.0 - share) for p in scenario.slices],
    )
    scenario.run_for(900)
    assert ("cold start" in scenario.broken_rules) == breaks


def test_the_channel_queue_and_the_messages_to_a_proxy_are_limited():
    scenario = Scenario()
    scenario.order(*[core.SetEndpointWeight(scenario.slices[0], scenario.b, 1.0)] * 30)
    assert scenario.broken_rules == []
    scenario.order(*[core.SetEndpointWeight(scenario.slices[0], scenario.b, 1.0)] * 10)
    assert scenario.broken_rules == ["channel"]
    scenario = Scenario(message_limit=2, message_limit_window_ms=1000.0)
    for k in range(3):
        scenario.order(core.RequestAcknowledgement(k, True))
        scenario.run_for(100)
    assert scenario.broken_rules == ["channel"]


@pytest.mark.parametrize("classes, breaks", [((0,), False), ((1,), True), ((0, 1), True)])
def test_only_idempotent_classes_may_be_retried_after_any_failure(classes, breaks):
    scenario = Scenario()
    scenario.order(core.SetAdmission(classes, 1.0, core.RetryPolicy.ONCE_AFTER_ANY_FAILURE))
    assert ("duplicate" in scenario.broken_rules) == breaks


@pytest.mark.parametrize("wait, breaks", [(200.0, True), (900.0, False)])
@pytest.mark.parametrize("away", [False, True])
def test_with_exclusive_ownership_writes_at_two_servers_do_not_overlap(wait, breaks, away):
    scenario = Scenario(exclusive_ownership=True, lease_ms=300.0, max_write_in_flight_ms=500.0)
    other = scenario.registry.proxy(1)
    scenario.plane.connect(other, 0, 1.0, True)
    scenario.run_for(50)
    if away:
        scenario.plane.disconnect(other)
    scenario.order(core.ClearTable(scenario.slices[0]))
    scenario.run_for(wait)
    scenario.order(core.SetEndpointWeight(scenario.slices[0], scenario.b, 1.0))
    scenario.run_for(300)
    assert ("duplicate" in scenario.broken_rules) == breaks


def test_time_limits_are_suspended_while_the_channel_is_unavailable():
    scenario = Scenario()
    scenario.list(scenario.a, "gone")
    scenario.rules.set_channel_available(scenario.plane.now, False)
    scenario.run_for(4000)
    scenario.rules.set_channel_available(scenario.plane.now, True)
    scenario.run_for(1900)
    assert scenario.broken_rules == []
    scenario.run_for(300)
    assert "drain" in scenario.broken_rules
