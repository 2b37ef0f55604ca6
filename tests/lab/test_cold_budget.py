"""The rule on cold servers, clause by clause: what fells a server, and who is to blame."""

import pytest

from havendyke import interface as core
from havendyke.lab.cold_start import MIN_AWARE_SHARE, ColdStartBudget, SentLoad
from havendyke.lab.data_plane import DataPlane
from havendyke.lab.rules import Bounds, RuleChecker
from havendyke.registry import ObjectRegistry

FALL, STEP, USUAL = 500.0, 10.0, 100.0
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
AT_START = (
    SETTINGS.warm_up_overload_factor * SETTINGS.initial_capacity_share * USUAL
)  # operations a second that fell a server just started


def falls(works, started=0.0, size=1.0):
    """The falls of a server that is sent these, one look each."""
    budget, now, seen = ColdStartBudget(SETTINGS, FALL, 0.0, USUAL), 0.0, []
    for work in works:
        now += STEP
        fall = budget.add_sample(now, STEP, "s1", started, size, work)
        seen += [fall] if fall else []
    return seen


def steady(total, known_share=1.0, looks=60):
    return [SentLoad(total, total * known_share)] * looks


@pytest.mark.parametrize("share, fell", [(0.99, False), (1.15, True)])
def test_a_server_falls_by_what_it_is_sent_over_a_window(share, fell):
    assert bool(falls(steady(share * AT_START, looks=49))) == fell


def test_all_work_counts_for_the_fall_also_that_of_proxies_that_know_nothing():
    (fall,) = falls(steady(2 * AT_START, known_share=0.0, looks=49))
    assert fall.multiple > 1.8 and fall.aware_share == 0.0 and not fall.breaks_rule


@pytest.mark.parametrize(
    "share, breaks", [(0.0, False), (0.65, False), (MIN_AWARE_SHARE + 0.001, True), (1.0, True)]
)
def test_the_rule_is_broken_where_two_thirds_of_the_work_was_known(share, breaks):
    (fall,) = falls(steady(1.5 * AT_START, share, looks=49))
    assert fall.breaks_rule == breaks


def test_known_work_below_the_multiple_breaks_the_rule_if_the_rest_fells_the_server():
    # Counted alone, the known work would have felled nobody.
    (fall,) = falls(steady(1.2 * AT_START, 0.75, looks=49))
    assert 0.75 * 1.2 < 1.0 and fall.breaks_rule


@pytest.mark.parametrize("burst, fell", [(5, False), (12, True)])
def test_a_burst_counts_against_the_budget_of_the_whole_window(burst, fell):
    # Five times what fells it: 50 ms fill half of a window's budget, 120 ms all of it.
    works = [SentLoad(5 * AT_START, 5 * AT_START)] * burst + [SentLoad()] * (60 - burst)
    assert bool(falls(works)) == fell


def test_work_of_before_the_window_does_not_count():
    heavy, light = SentLoad(0.9 * AT_START, 0.9 * AT_START), SentLoad(0.0, 0.0)
    assert not falls([heavy] * 45 + [light] * 50 + [heavy] * 45)


@pytest.mark.parametrize(
    "age, size, fell",
    [(0.0, 1.0, True), (5000.0, 1.0, False), (0.0, 2.0, False), (10_000.0, 1.0, False)],
)
def test_the_budget_grows_with_age_and_size_and_ends_with_the_warm_up(age, size, fell):
    assert bool(falls(steady(1.5 * AT_START), -age, size)) == fell


@pytest.mark.parametrize("age, fell", [(9000.0, True), (10_000.0, False)])
def test_a_warm_server_is_not_judged(age, fell):
    assert bool(falls(steady(SETTINGS.warm_up_overload_factor * USUAL * 1.2), -age)) == fell


def test_a_second_start_begins_a_window_anew():
    budget = ColdStartBudget(SETTINGS, FALL, 0.0, USUAL)
    for k in range(1, 80):
        started = 0.0 if k < 40 else 400.0
        assert (
            budget.add_sample(k * STEP, STEP, "s1", started, 1.0, SentLoad(1.2 * AT_START, 0.0))
            is None
        )


class Scene:
    """Four proxies that all send to server a; it starts anew when the test says so."""

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
                overload_window_ms=FALL,
                load_tolerance=0.0,
            ),
            USUAL,
        )
        self.server, self.pieces = (
            self.registry.server("a"),
            [self.registry.slice(k) for k in range(3)],
        )
        for piece in self.pieces:
            self.plane.assign_slice(piece, {self.server: 1.0})
        self.proxies = [self.registry.proxy(k) for k in range(4)]
        for proxy in self.proxies:
            self.plane.connect(proxy, 0, 1.0, True)
        self.go(50.0, 0.0)

    def told_started(self, started):
        entry = core.EndpointEntry(self.server, "ready", started, 0, 0, 0, 1.0)
        self.rules.observe_list(
            self.plane.now, core.EndpointListUpdate(core.ListScope.CHANGES, [entry])
        )

    def message(self, *proxies):
        """A message to these proxies, which says nothing of the server."""
        for proxy in proxies:
            self.plane.send(
                self.plane.proxy_state(proxy), [], core.RequestAcknowledgement(1, False)
            )

    def go(self, span, rate=0.5 * AT_START):
        for _ in range(int(span / STEP)):
            self.plane.advance(self.plane.now + STEP)
            self.rules.check(self.plane.now, self.plane, dict.fromkeys(self.pieces, rate))

    @property
    def broken(self):
        return [breach.rule for breach in self.rules.violations]


@pytest.mark.parametrize("reached, broken", [(0, False), (2, False), (3, True), (4, True)])
def test_a_proxy_knows_by_a_message_that_was_sent_after_its_controller_was_told(reached, broken):
    s = Scene()
    s.told_started(s.plane.now)
    s.message(*s.proxies[:reached])
    s.go(100.0, 0.0)  # the messages arrive
    s.go(500.0)
    assert s.rules.overload_failures and ("cold" in s.broken) == broken


def test_a_message_sent_before_its_controller_was_told_gives_no_knowledge():
    s = Scene()
    s.message(*s.proxies)
    s.go(10.0, 0.0)
    s.told_started(s.plane.now)
    s.go(600.0)
    assert s.rules.overload_failures and not s.broken


@pytest.mark.parametrize("since_told, broken", [(1300.0, False), (2010.0, True)])
def test_a_proxy_without_a_message_knows_once_the_grace_is_over(since_told, broken):
    s = Scene()
    s.told_started(s.plane.now)
    s.go(since_told, 0.0)
    s.go(600.0, AT_START)
    assert s.rules.overload_failures and ("cold" in s.broken) == broken
