"""The kept inputs pass all checks, and the command line reports invalid input."""

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from fuzz import __main__ as program
from fuzz import cases, engine, minimise, registry

ROOT = Path(__file__).parents[2]
NAMES = sorted(registry.load())


def run_tool(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "fuzz", *arguments], cwd=ROOT, capture_output=True, text=True
    )


@pytest.mark.parametrize("name", NAMES)
def test_kept_inputs_do_not_fail(name):
    target = registry.target(name)
    for source, data in cases.kept_inputs(target):
        error = cases.run_and_catch(target, data)
        assert error is None, f"{source}: {error}"
    assert all(len(data) <= cases.MAX_INPUT_BYTES for _, data in cases.kept_inputs(target))


@pytest.mark.parametrize(
    "arguments, message",
    [
        (("run", "nosuch"), "no target is named 'nosuch'"),
        (("replay", "resp", "--file", "/nonexistent"), "cannot be read"),
        (("run", "resp", "--seed", "x"), "--seed"),
        (("faults", "nosuch"), "no fault is named"),
        (("replay", "--file", "x"), "one target"),
        (("minimise", "resp", __file__), "not hexadecimal"),
    ],
)
def test_invalid_input_gives_one_line_and_status_2(arguments, message):
    process = run_tool(*arguments)
    assert process.returncode == 2 and message in process.stderr and process.stderr.count("\n") == 1


def test_a_run_without_a_seed_prints_a_random_one(monkeypatch):
    def seed_of_run(*options):
        seeds = []

        def run(targets, seconds, jobs, seed, engine_name, print_summary):
            seeds.append(seed)
            summary = {
                "target": "resp",
                "executions": 1,
                "seconds": 1.0,
                "new": 0,
                "quiet": 0.0,
                "findings": [],
                "seed": seed,
            }
            print_summary(summary)
            return [summary]

        monkeypatch.setattr(engine, "run", run)
        monkeypatch.setattr(engine, "minimised_findings", lambda target: [])
        result = CliRunner().invoke(program.run, ["resp", *options])
        assert result.exit_code == 0 and f"seed {seeds[0]}" in result.output
        return seeds[0]

    assert seed_of_run("--seed", "5") == 5
    assert len({seed_of_run() for _ in range(4)}) > 1


def failing_target(data):
    if b"\x07" in data[:9]:
        raise ZeroDivisionError("drawn")


def test_a_minimised_input_fails_with_the_same_signature():
    target = registry.Target("broken", "", failing_target, list, ())
    small, attempts = minimise.shrink(target, b"abc\x07defgh" * 3)
    assert small == b"\x07" and attempts < 200
    assert minimise.shrink(target, b"well") == (b"well", 1)


def test_written_inputs_are_read_back_unchanged(tmp_path):
    for data in (b"", bytes(range(256))):
        assert cases.read_input(cases.write_input(tmp_path, data)) == data
    (tmp_path / "bad").write_text("0")
    with pytest.raises(cases.InvalidInput):
        cases.read_input(tmp_path / "bad")
