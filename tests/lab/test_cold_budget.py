"""The cold start rule: which load overloads a cold server, and which failures break the rule."""

import pytest

from havendyke import interface as core
from havendyke.lab.cold_start import MIN_AWARE_SHARE, ColdStartBudget, SentLoad
from havendyke.lab.data_plane import DataPlane
from havendyke.lab.rules import Bounds, RuleChecker
from havendyke.registry import ObjectRegistry

WINDOW_MS, STEP_MS, WARM_CAPACITY = 500.0, 10.0, 100.0
SETTINGS = core.Settings(
    request_classes=[core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT)],
    slice_count=3,
    warm_up_ms=10_000.0,
    initial_capacity_share=0.2,
    warm_up_overload_factor=3.0,
    channel_queue_limit=1e6,
    channel_rate_per_s=1e6,
    push_delay_ms=50.0,
)
LIMIT_AT_START = (
    SETTINGS.warm_up_overload_factor * SETTINGS.initial_capacity_share * WARM_CAPACITY
)  # requests per second above which a server that has just started is overloaded


def overload_failures(loads, started=0.0, size=1.0):
    """The failures of a server that is sent these loads, each for one step."""
    budget, now, failures = ColdStartBudget(SETTINGS, WINDOW_MS, 0.0, WARM_CAPACITY), 0.0, []
    for load in loads:
        now += STEP_MS
        failure = budget.add_sample(now, STEP_MS, "s1", started, size, load)
        failures += [failure] if failure else []
    return failures


def steady(total, aware_share=1.0, steps=60):
    return [SentLoad(total, total * aware_share)] * steps


@pytest.mark.parametrize("share, fails", [(0.99, False), (1.15, True)])
def test_a_server_fails_by_its_load_over_a_window(share, fails):
    assert bool(overload_failures(steady(share * LIMIT_AT_START, steps=49))) == fails


def test_load_from_proxies_that_do_not_know_of_the_start_counts_for_the_failure():
    (failure,) = overload_failures(steady(2 * LIMIT_AT_START, aware_share=0.0, steps=49))
    assert failure.multiple > 1.8 and failure.aware_share == 0.0 and not failure.breaks_rule


@pytest.mark.parametrize(
    "share, breaks", [(0.0, False), (0.65, False), (MIN_AWARE_SHARE + 0.001, True), (1.0, True)]
)
def test_the_rule_is_broken_where_two_thirds_of_the_load_was_known(share, breaks):
    (failure,) = overload_failures(steady(1.5 * LIMIT_AT_START, share, steps=49))
    assert failure.breaks_rule == breaks


def test_known_load_below_the_limit_breaks_the_rule_if_the_rest_overloads_the_server():
    # Alone, the known load would not have overloaded the server.
    (failure,) = overload_failures(steady(1.2 * LIMIT_AT_START, 0.75, steps=49))
    assert 0.75 * 1.2 < 1.0 and failure.breaks_rule


@pytest.mark.parametrize("burst, fails", [(5, False), (12, True)])
def test_a_burst_counts_against_the_budget_of_the_whole_window(burst, fails):
    # At five times the limit, 50 ms use half of a window's budget and 120 ms more than all of it.
    loads = [SentLoad(5 * LIMIT_AT_START, 5 * LIMIT_AT_START)] * burst + [SentLoad()] * (60 - burst)
    assert bool(overload_failures(loads)) == fails


def test_load_before_the_window_does_not_count():
    heavy, light = SentLoad(0.9 * LIMIT_AT_START, 0.9 * LIMIT_AT_START), SentLoad(0.0, 0.0)
    assert not overload_failures([heavy] * 45 + [light] * 50 + [heavy] * 45)


@pytest.mark.parametrize(
    "age, size, fails",
    [(0.0, 1.0, True), (5000.0, 1.0, False), (0.0, 2.0, False), (10_000.0, 1.0, False)],
)
def test_the_budget_grows_with_age_and_size_and_ends_with_the_warm_up(age, size, fails):
    assert bool(overload_failures(steady(1.5 * LIMIT_AT_START), -age, size)) == fails


@pytest.mark.parametrize("age, fails", [(9000.0, True), (10_000.0, False)])
def test_a_warm_server_has_no_budget(age, fails):
    assert (
        bool(
            overload_failures(steady(SETTINGS.warm_up_overload_factor * WARM_CAPACITY * 1.2), -age)
        )
        == fails
    )


def test_a_second_start_begins_a_new_window():
    budget = ColdStartBudget(SETTINGS, WINDOW_MS, 0.0, WARM_CAPACITY)
    for k in range(1, 80):
        started = 0.0 if k < 40 else 400.0
        assert (
            budget.add_sample(
                k * STEP_MS, STEP_MS, "s1", started, 1.0, SentLoad(1.2 * LIMIT_AT_START, 0.0)
            )
            is None
        )


class Scenario:
    """Four proxies that all send to server a, whose restart a test lists."""

    def __init__(self):
        self.registry, self.plane = (
            ObjectRegistry(SETTINGS, 1),
            DataPlane(SETTINGS, lambda: 0.5, read_delay_ms=(0.0, 0.0)),
        )
        self.rules = RuleChecker(
            SETTINGS,
            Bounds(
                empty_table_ms=1000.0,
                drain_grace_ms=2000.0,
                overload_window_ms=WINDOW_MS,
                load_tolerance=0.0,
            ),
            WARM_CAPACITY,
        )
        self.server, self.slices = (
            self.registry.server("a"),
            [self.registry.slice(k) for k in range(3)],
        )
        for slice_ in self.slices:
            self.plane.assign_slice(slice_, {self.server: 1.0})
        self.proxies = [self.registry.proxy(k) for k in range(4)]
        for proxy in self.proxies:
            self.plane.connect(proxy, 0, 1.0, True)
        self.run_for(50.0, 0.0)

    def list_start(self, started):
        """The controller receives a start of the server."""
        entry = core.EndpointEntry(self.server, "ready", started, 0, 0, 0, 1.0)
        self.rules.observe_list(
            self.plane.now, core.EndpointListUpdate(core.ListScope.CHANGES, [entry])
        )

    def send_message(self, *proxies):
        """Sends these proxies a message that does not concern the server."""
        for proxy in proxies:
            self.plane.send(
                self.plane.proxy_state(proxy), [], core.RequestAcknowledgement(1, False)
            )

    def run_for(self, span_ms, rate=0.5 * LIMIT_AT_START):
        for _ in range(int(span_ms / STEP_MS)):
            self.plane.advance(self.plane.now + STEP_MS)
            self.rules.check(self.plane.now, self.plane, dict.fromkeys(self.slices, rate))

    @property
    def broken_rules(self):
        return [violation.rule for violation in self.rules.violations]


@pytest.mark.parametrize("reached, broken", [(0, False), (2, False), (3, True), (4, True)])
def test_a_proxy_knows_of_a_start_by_a_message_sent_after_it_was_listed(reached, broken):
    scenario = Scenario()
    scenario.list_start(scenario.plane.now)
    scenario.send_message(*scenario.proxies[:reached])
    scenario.run_for(100.0, 0.0)  # the messages arrive
    scenario.run_for(500.0)
    assert scenario.rules.overload_failures and ("cold start" in scenario.broken_rules) == broken


def test_a_message_sent_before_a_start_was_listed_gives_no_knowledge():
    scenario = Scenario()
    scenario.send_message(*scenario.proxies)
    scenario.run_for(10.0, 0.0)
    scenario.list_start(scenario.plane.now)
    scenario.run_for(600.0)
    assert scenario.rules.overload_failures and not scenario.broken_rules


@pytest.mark.parametrize("since_listed, broken", [(1300.0, False), (2010.0, True)])
def test_a_proxy_without_a_message_knows_of_a_start_after_the_grace_period(since_listed, broken):
    scenario = Scenario()
    scenario.list_start(scenario.plane.now)
    scenario.run_for(since_listed, 0.0)
    scenario.run_for(600.0, LIMIT_AT_START)
    assert scenario.rules.overload_failures and ("cold start" in scenario.broken_rules) == broken
