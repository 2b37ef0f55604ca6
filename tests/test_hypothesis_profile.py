"""Property tests draw the same values in every run, alone or with other tests."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st

from fuzz import child

EXAMPLES = 300
DRAWN = f"""from hypothesis import given, settings, strategies as st

@settings(max_examples={EXAMPLES})
@given(st.integers(), st.text())
def test_drawn(number, text):
    with open("draws", "a", encoding="utf-8") as file:
        print(repr(number), repr(text), file=file)

@given(st.integers())
def test_that_fails_for_some(number):
    assert number < 1000
"""
CONSTANTS = (
    "from product import constants\n\n\ndef test_constants():\n    assert constants.NUMBERS\n"
)


@pytest.fixture
def project(tmp_path):
    """A project with property tests and a test that imports a module of constants."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "product").mkdir()
    (tmp_path / "pyproject.toml").write_text(
        "[tool.pytest.ini_options]\ntestpaths = ['tests']\npythonpath = ['.', 'tests']\n"
    )
    (tmp_path / "product/__init__.py").write_text("")
    (tmp_path / "product/constants.py").write_text(
        f"NUMBERS = {[7919 * k for k in range(100, 200)]}\n"
    )
    (tmp_path / "tests/test_constants.py").write_text(CONSTANTS)
    (tmp_path / "tests/test_drawn.py").write_text(DRAWN)
    for name in ("conftest.py", "hypothesis_profile.py", "known_red.py"):
        shutil.copy(Path(__file__).with_name(name), tmp_path / "tests")
    return tmp_path


def draws(project, *arguments, **variables) -> list:
    """The values that a run draws; every run must fail with the same example."""
    (project / "draws").unlink(missing_ok=True)
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments],
        cwd=project,
        env=os.environ | variables,
        capture_output=True,
        text=True,
    )
    assert run.returncode == 1 and "assert 1000 < 1000" in run.stdout, run.stdout + run.stderr
    return (project / "draws").read_text(encoding="utf-8").splitlines()


def test_a_property_test_draws_the_same_alone_and_with_others(project):
    complete = draws(project, PYTHONHASHSEED="1")
    assert len(complete) == EXAMPLES
    assert draws(project, PYTHONHASHSEED="2") == complete
    assert draws(project, "tests/test_drawn.py") == complete
    assert draws(project, CI="true") == complete


def test_a_failing_example_is_not_stored_for_the_next_run(project):
    draws(project)
    assert not (project / ".hypothesis/examples").exists()


def test_the_profile_is_the_default_of_this_run():
    assert settings.get_current_profile_name().startswith("tests")
    assert (
        settings.default.derandomize
        and settings.default.database is None
        and settings.default.deadline is None
    )
    assert settings.default.suppress_health_check == ()
    assert settings.default.max_examples >= settings.get_profile("default").max_examples == 100


def test_the_fuzzer_draws_by_its_seed_also_under_this_profile():
    def fuzzer_draws(seed) -> list:
        drawn = []

        def record(data):
            drawn.append(data)

        child.batch_test(record, st.binary(min_size=4, max_size=40), seed)()
        return drawn

    first = fuzzer_draws(1)
    assert len(first) == child.EXAMPLES_PER_BATCH
    assert fuzzer_draws(1) == first and fuzzer_draws(2) != first
