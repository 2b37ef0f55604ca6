"""Costs of a small fleet: they are reproducible and grow no faster than allowed.

The tests count bytes, messages and bytecode instructions, never times. They fail if a
reconciliation becomes quadratic in the tasks, or if a message grows with an axis that it does not
depend on."""

from dataclasses import replace
from functools import cache

import pytest
from controller_harness import replace_health_evaluation

from havendyke.lab.scale.fleet import Fleet
from havendyke.lab.scale.meter import PACKAGE_ROOT, InstructionCounter
from havendyke.lab.scale.scenario import SHORT_PHASES, Scenario
from havendyke.lab.scale.size import Size

SMALL = Size(tasks=60, slices=4, proxies=12, assigners=6, zones=3, reports=12, changes=30, hollow=2)
DOUBLE, MANY_TASKS = 2.0, 240
# When an axis is doubled, a linear cost at most doubles; a linear cost with a small quadratic part
# grows by this factor or more at a large size.
QUADRATIC_GROWTH = 2.3


def run_scenario(**axes):
    scenario = Scenario(Fleet(replace(SMALL, **axes), 3), range(2), SHORT_PHASES)
    scenario.run()
    return scenario


@cache
def count(**axes) -> dict:
    """Bytes and messages of each phase and kind, and the bytecode instructions of a calm second."""
    scenario = run_scenario(**axes)
    counts = {
        (phase, kind, unit): sum(
            measured["traffic"][kind].get(f"{direction}_{unit}", 0) for direction in ("in", "out")
        )
        for phase, measured in scenario.measured.items()
        for kind in measured["traffic"]
        for unit in ("bytes", "messages")
    }
    with InstructionCounter() as instructions:
        scenario.run_second(SHORT_PHASES[2], 0)
    return counts | {"instructions": instructions.count}


def growth(axis: str, key) -> float:
    """The factor by which a count grows when the axis is doubled."""
    return count(**{axis: 2 * getattr(SMALL, axis)})[key] / count()[key]


def test_the_same_seed_gives_the_same_counts():
    first, second = run_scenario(), run_scenario()
    assert [p["traffic"] for p in first.measured.values()] == [
        p["traffic"] for p in second.measured.values()
    ]
    assert [p["calls"] for p in first.measured.values()] == [
        p["calls"] for p in second.measured.values()
    ]
    assert [p["taken_ms"] for p in first.measured.values()] == [
        p["taken_ms"] for p in second.measured.values()
    ]


@pytest.mark.parametrize(
    "axis, key, maximum",
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
def test_bytes_and_messages_grow_no_faster_than_their_axis(axis, key, maximum):
    before = count()[key]
    assert count(**{axis: 2 * getattr(SMALL, axis)})[key] <= maximum * before


@pytest.mark.parametrize("axis", ["slices", "proxies", "reports", "assigners", "changes"])
def test_no_axis_makes_the_reconciliations_of_a_second_quadratic(axis):
    assert growth(axis, "instructions") < QUADRATIC_GROWTH


def test_tasks_do_not_make_the_reconciliations_of_a_second_quadratic():
    assert (
        count(tasks=2 * MANY_TASKS)["instructions"] / count(tasks=MANY_TASKS)["instructions"]
        < QUADRATIC_GROWTH
    )


@pytest.mark.parametrize(
    "phase, kind, maximum", [("calm", "probes", 70), ("calm", "list", 90), ("start", "watch", 90)]
)
def test_a_request_of_the_assigner_stays_short(phase, kind, maximum):
    sent = run_scenario().measured[phase]["traffic"][kind]
    assert 0 < sent["out_bytes"] <= maximum * sent["out_messages"]


def test_an_order_stays_short():
    release = run_scenario().measured["release"]
    assert (
        0
        < release["traffic"]["calls"]["out_bytes"]
        <= 100 * release["orders"] + 100 * release["traffic"]["calls"]["out_messages"]
    )


def test_the_cost_of_a_calm_second_stays_within_its_bound():
    # Bytecode counts depend on the interpreter: the bound is for Python 3.11, with a tenth spare.
    assert count()["instructions"] < 1_370_000


def test_a_reconciliation_that_becomes_quadratic_is_detected(monkeypatch):
    source = (
        "def compare_all(controller, evaluate):\n for one in controller.servers:\n"
        "  for other in controller.servers:\n   one.id == other.id\n evaluate(controller)"
    )
    names = {}
    exec(compile(source, f"{PACKAGE_ROOT}/square.py", "exec"), names)
    replace_health_evaluation(monkeypatch, names["compare_all"])
    assert (
        count.__wrapped__(tasks=2 * MANY_TASKS)["instructions"]
        / count.__wrapped__(tasks=MANY_TASKS)["instructions"]
        > QUADRATIC_GROWTH
    )
