"""The list of tests that fail because of a known fault, and how a test run applies it."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KnownRedListError, parse_known_red

TESTS = "def test_red():\n    assert 0\n\n\ndef test_green():\n    pass\n"


def entry(test, seen="a fault"):
    return f"{test} | python -m pytest {test} | seed 3 | {seen} | issue 1"


RED, GREEN = "tests/test_it.py::test_red", "tests/test_it.py::test_green"


@pytest.mark.parametrize(
    "lines, status, expected",
    [
        (None, 1, "1 failed, 1 passed"),
        ("", 1, "1 failed, 1 passed"),
        (entry(RED), 0, f"KNOWN RED {RED}: a fault (issue 1)"),
        (entry(RED), 0, "1 passed, 1 xfailed"),
        (f"{entry(RED)}\n{entry(GREEN)}", 1, "1 failed, 1 xfailed"),
        (entry("tests/test_it.py::test_gone"), 4, "names no test: tests/test_it.py::test_gone"),
        (entry("tests/test_none.py::test_red"), 4, "names no test: tests/test_none.py::test_red"),
        (
            "\n".join(entry(f"tests/test_it.py::test_{k}") for k in range(4)),
            4,
            "names no test: tests/test_it.py::test_0",
        ),
        (f"{RED}: a fault: issue 1", 4, "not `test | command | seed | seen | issue`"),
    ],
)
def test_only_listed_tests_may_fail(tmp_path, lines, status, expected):
    (tmp_path / "tests").mkdir()
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    for name in ("conftest.py", "hypothesis_profile.py", "known_red.py"):
        shutil.copy(Path(__file__).with_name(name), tmp_path / "tests")
    (tmp_path / "tests/test_it.py").write_text(TESTS)
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert run.returncode == status and expected in run.stdout + run.stderr


@pytest.mark.parametrize(
    "line",
    [
        "tests/a.py::b",
        "tests/a.py::b: cause: issue 1",
        "tests/a.py::b | pytest tests/a.py::b | seed 1 | issue 1",
        "tests/a.py | pytest tests/a.py | seed 1 | seen | issue 1",
        "tests/a.py::b |  | seed 1 | seen | issue 1",
        "tests/a.py::b | pytest | seed 1 | seen | issue 1",
        "tests/a.py::b | pytest tests/a.py::b | 1 | seen | issue 1",
        "tests/a.py::b | pytest tests/a.py::b | seed | seen | issue 1",
        "tests/a.py::b | pytest tests/a.py::b | seed 1 |  | issue 1",
        "tests/a.py::b | pytest tests/a.py::b | seed 1 | seen | soon",
        f"{entry('tests/a.py::b')}\n{entry('tests/a.py::b')}",
    ],
)
def test_an_incomplete_entry_is_refused(line):
    with pytest.raises(KnownRedListError):
        parse_known_red(line)


def test_a_parametrized_test_without_a_seed_is_listed_by_its_complete_id():
    test = "tests/a.py::b[x-1]"
    line = f"{test} | python -m pytest tests/a.py::b | no seed | seen | issue 45"
    assert parse_known_red(line)[test].issue == "issue 45"
