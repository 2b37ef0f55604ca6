"""A small fleet in the run itself: what it counts is the same every time, and grows no faster than
it may.

Bytes, messages and instructions are counted, never times: a turn that became square in the tasks,
or a message that grew with what it need not, fails here."""

from dataclasses import replace
from functools import cache

import pytest
from controller_harness import replace_health_evaluation

from havendyke.lab.scale.fleet import Fleet
from havendyke.lab.scale.meter import PACKAGE_ROOT, InstructionCounter
from havendyke.lab.scale.scenario import SHORT_PHASES, Scenario
from havendyke.lab.scale.size import Size

SMALL = Size(tasks=60, slices=4, proxies=12, assigners=6, zones=3, reports=12, changes=30, hollow=2)
DOUBLE, MANY = 2.0, 240
# a line makes two of it at most; a light square beside a line this and more, where there are many
SQUARE = 2.3


def scenario(**more):
    made = Scenario(Fleet(replace(SMALL, **more), 3), range(2), SHORT_PHASES)
    made.run()
    return made


@cache
def counted(**more) -> dict:
    """Bytes and messages of each phase and kind, and the interpreter's instructions of a calm
    second."""
    run = scenario(**more)
    made = {
        (phase, kind, unit): sum(
            told["traffic"][kind].get(f"{way}_{unit}", 0) for way in ("in", "out")
        )
        for phase, told in run.measured.items()
        for kind in told["traffic"]
        for unit in ("bytes", "messages")
    }
    with InstructionCounter() as operations:
        run.run_second(SHORT_PHASES[2], 0)
    return made | {"operations": operations.count}


def grown(axis: str, key) -> float:
    """What becomes of a count when the axis is doubled."""
    return counted(**{axis: 2 * getattr(SMALL, axis)})[key] / counted()[key]


def test_the_same_seed_counts_the_same():
    one, other = scenario(), scenario()
    assert [p["traffic"] for p in one.measured.values()] == [
        p["traffic"] for p in other.measured.values()
    ]
    assert [p["calls"] for p in one.measured.values()] == [
        p["calls"] for p in other.measured.values()
    ]
    assert [p["taken_ms"] for p in one.measured.values()] == [
        p["taken_ms"] for p in other.measured.values()
    ]


@pytest.mark.parametrize(
    "axis, key, most",
    [
        ("tasks", ("calm", "list", "bytes"), DOUBLE),
        ("tasks", ("calm", "watch", "bytes"), 1.05),
        ("tasks", ("calm", "reports", "bytes"), 1.05),
        ("tasks", ("calm", "probes", "messages"), DOUBLE),
        ("tasks", ("calm", "news", "bytes"), 1.05),
        ("proxies", ("start", "news", "bytes"), DOUBLE),
        ("proxies", ("calm", "list", "bytes"), 1.0),
        ("proxies", ("calm", "reports", "bytes"), 1.02),
        ("reports", ("calm", "reports", "bytes"), 2.02),
        ("reports", ("calm", "calls", "messages"), 1.0),
        ("slices", ("calm", "list", "bytes"), 1.0),
        ("slices", ("start", "news", "bytes"), DOUBLE),
    ],
)
def test_bytes_and_messages_grow_no_faster_than_their_axis(axis, key, most):
    before = counted()[key]
    assert counted(**{axis: 2 * getattr(SMALL, axis)})[key] <= most * before


@pytest.mark.parametrize("axis", ["slices", "proxies", "reports", "assigners", "changes"])
def test_no_axis_makes_a_second_of_turns_square(axis):
    assert grown(axis, "operations") < SQUARE


def test_tasks_do_not_make_a_second_of_turns_square():
    assert counted(tasks=2 * MANY)["operations"] / counted(tasks=MANY)["operations"] < SQUARE


@pytest.mark.parametrize(
    "phase, kind, most", [("calm", "probes", 70), ("calm", "list", 90), ("start", "watch", 90)]
)
def test_a_question_of_ours_stays_short(phase, kind, most):
    sent = scenario().measured[phase]["traffic"][kind]
    assert 0 < sent["out_bytes"] <= most * sent["out_messages"]


def test_an_order_of_ours_stays_short():
    run = scenario().measured["release"]
    assert (
        0
        < run["traffic"]["calls"]["out_bytes"]
        <= 100 * run["orders"] + 100 * run["traffic"]["calls"]["out_messages"]
    )


def test_what_a_calm_second_costs_stays_within_its_bound():
    # Counted with Python 3.11; a tenth above what it was when this was written.
    assert counted()["operations"] < 1_370_000


def test_a_turn_that_becomes_square_is_found(monkeypatch):
    source = (
        "def compare_all(controller, evaluate):\n for one in controller.servers:\n"
        "  for other in controller.servers:\n   one.id == other.id\n evaluate(controller)"
    )
    names = {}
    exec(compile(source, f"{PACKAGE_ROOT}/square.py", "exec"), names)
    replace_health_evaluation(monkeypatch, names["compare_all"])
    assert (
        counted.__wrapped__(tasks=2 * MANY)["operations"]
        / counted.__wrapped__(tasks=MANY)["operations"]
        > SQUARE
    )
