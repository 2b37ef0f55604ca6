"""The kept inputs run clean, and the tools say what is wrong with what they are given."""

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from fuzz import __main__ as program
from fuzz import cases, engine, minimise, registry

ROOT = Path(__file__).parents[2]
NAMES = sorted(registry.load())


def tool(*words):
    return subprocess.run(
        [sys.executable, "-m", "fuzz", *words], cwd=ROOT, capture_output=True, text=True
    )


@pytest.mark.parametrize("name", NAMES)
def test_kept_inputs_run_clean(name):
    target = registry.target(name)
    for where, data in cases.kept_inputs(target):
        error = cases.run_and_catch(target, data)
        assert error is None, f"{where}: {error}"
    assert all(len(data) <= cases.MAX_INPUT_BYTES for _, data in cases.kept_inputs(target))


@pytest.mark.parametrize(
    "words, said",
    [
        (("run", "nosuch"), "no target is named 'nosuch'"),
        (("replay", "resp", "--file", "/nonexistent"), "cannot be read"),
        (("run", "resp", "--seed", "x"), "--seed"),
        (("faults", "nosuch"), "no fault is named"),
        (("replay", "--file", "x"), "one target"),
        (("minimise", "resp", __file__), "not hexadecimal"),
    ],
)
def test_bad_input_to_the_tools_is_one_line_and_status_2(words, said):
    done = tool(*words)
    assert done.returncode == 2 and said in done.stderr and done.stderr.count("\n") == 1


def test_a_run_without_a_seed_takes_a_fresh_one_and_tells_it(monkeypatch):
    def searched(*words):
        seeds = []

        def run(targets, seconds, jobs, seed, engine_name, tell):
            seeds.append(seed)
            made = {
                "target": "resp",
                "executions": 1,
                "seconds": 1.0,
                "new": 0,
                "quiet": 0.0,
                "findings": [],
                "seed": seed,
            }
            tell(made)
            return [made]

        monkeypatch.setattr(engine, "run", run)
        monkeypatch.setattr(engine, "minimised_findings", lambda target: [])
        done = CliRunner().invoke(program.run, ["resp", *words])
        assert done.exit_code == 0 and f"seed {seeds[0]}" in done.output
        return seeds[0]

    assert searched("--seed", "5") == 5
    assert len({searched() for _ in range(4)}) > 1


def broken(data):
    if b"\x07" in data[:9]:
        raise ZeroDivisionError("drawn")


def test_a_failing_input_gets_small_and_fails_alike():
    target = registry.Target("broken", "", broken, list, ())
    small, tries = minimise.shrink(target, b"abc\x07defgh" * 3)
    assert small == b"\x07" and tries < 200
    assert minimise.shrink(target, b"well") == (b"well", 1)


def test_inputs_are_text_files_that_come_back_the_same(tmp_path):
    for data in (b"", bytes(range(256))):
        assert cases.read_input(cases.write_input(tmp_path, data)) == data
    (tmp_path / "bad").write_text("0")
    with pytest.raises(cases.InvalidInput):
        cases.read_input(tmp_path / "bad")
