"""A short soak of the program, and the checks of the soak."""

import asyncio
import json

import pytest

from benchmarks import soak
from benchmarks._soak_log import log_faults
from benchmarks._soak_run import RunReport

SEEDS, RUNS_PER_SEED, FAULT_SECONDS = range(1, 4), 2, 4.0


def log(*entries):
    return "\n".join(json.dumps({"event": name, **fields}) for name, fields in entries)


def test_a_short_soak_finds_no_fault():
    reports = asyncio.run(soak.run_seeds(SEEDS, RUNS_PER_SEED, FAULT_SECONDS, jobs=len(SEEDS)))
    assert soak.faults(reports) == []
    assert sum(len(run.steps) for runs in reports.values() for run in runs) > 20


@pytest.mark.parametrize(
    "text, faults",
    [
        (log(("start", {}), ("fleet_summary", {"unpublished": 0})), []),
        (log(("relay_unavailable", {}), ("relay_available", {})), []),
        (
            log(("relay_available", {}), ("relay_unavailable", {})),
            ["after settling, relay is unavailable"],
        ),
        (log(("fleet_summary", {"unpublished": 3})), ["after settling, unpublished is 3"]),
        (log(("hm", {})), ["unregistered event: hm"]),
        ("Traceback", ["standard error: Traceback"]),
        (log(("failure", {"peer": "relay"})), ["defect: {'event': 'failure', 'peer': 'relay'}"]),
    ],
)
def test_log_faults_reports_what_has_not_recovered(text, faults):
    assert log_faults(text) == faults


def test_nine_in_ten_starts_must_be_ready_in_time():
    runs = [RunReport(ready_s=0.2)] * 8 + [RunReport(ready_s=12.0), RunReport()]
    assert soak.faults({1: runs}) == ["8 of 10 starts were ready in 10.0 s"]
    assert soak.faults({1: runs[:9] + [RunReport(ready_s=9.0)]}) == []
