"""The deploy file names each file of the decisions, and these keep the operators' bounds."""
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
MOST_LINES, LONGEST = 580, 110  # lines that are not blank; characters of a line

listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]


def test_the_deploy_file_names_each_file_of_the_policy():
    assert listed == sorted(str(path.relative_to(ROOT)) for path in (ROOT / "havendyke/policy").rglob("*.py"))


def test_the_policy_keeps_its_bounds():
    lines = [line for name in listed for line in (ROOT / name).read_text().splitlines() if line.strip()]
    assert len(lines) <= MOST_LINES
    assert max(len(line) for line in lines) <= LONGEST
