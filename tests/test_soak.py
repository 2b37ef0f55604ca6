"""A short soak of the real program, and what its checks find."""

import asyncio
import json

import pytest

from benchmarks import soak
from benchmarks._soak_log import log_faults
from benchmarks._soak_run import RunReport

SEEDS, LIVES, FAULT_SECONDS = range(1, 4), 2, 4.0


def log(*entries):
    return "\n".join(json.dumps({"event": name, **fields}) for name, fields in entries)


def test_a_short_soak_finds_no_fault():
    reports = asyncio.run(soak.play(SEEDS, LIVES, FAULT_SECONDS, jobs=len(SEEDS)))
    assert soak.faults(reports) == []
    assert sum(len(run.steps) for lives in reports.values() for run in lives) > 20


@pytest.mark.parametrize(
    "text, faults",
    [
        (log(("start", {}), ("fleet_summary", {"unpublished": 0})), []),
        (log(("relay_unavailable", {}), ("relay_available", {})), []),
        (log(("relay_available", {}), ("relay_unavailable", {})), ["at rest the relay is away"]),
        (log(("fleet_summary", {"unpublished": 3})), ["at rest unpublished is 3"]),
        (log(("hm", {})), ["an event that the register lacks: hm"]),
        ("Traceback", ["standard error: Traceback"]),
        (log(("failure", {"peer": "relay"})), ["a defect: {'event': 'failure', 'peer': 'relay'}"]),
    ],
)
def test_the_log_of_a_life_may_not_show_what_is_no_rest(text, faults):
    assert log_faults(text) == faults


def test_nine_in_ten_starts_must_be_ready_soon():
    lives = [RunReport(ready_s=0.2)] * 8 + [RunReport(ready_s=12.0), RunReport()]
    assert soak.faults({1: lives}) == ["8 of 10 starts were ready in 10.0 s"]
    assert soak.faults({1: lives[:9] + [RunReport(ready_s=9.0)]}) == []
