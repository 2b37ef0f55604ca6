"""Checks that the deploy file lists all policy modules, and that their lines are not too long."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
LINE_LENGTH = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["line-length"]
LISTED_FILES = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]


def test_the_deploy_file_lists_every_policy_module():
    files = (ROOT / "havendyke/policy").rglob("*.py")
    assert sorted(str(path.relative_to(ROOT)) for path in files) == LISTED_FILES


def test_no_line_of_a_policy_module_exceeds_the_formatters_line_length():
    assert LINE_LENGTH <= 100
    for name in LISTED_FILES:
        assert max(map(len, (ROOT / name).read_text().splitlines())) <= LINE_LENGTH, name
