"""The help of the program, and the modules that it imports at the start."""

import subprocess
import sys

import pytest

from havendyke.commands import COMMANDS

FORBIDDEN_MODULES = {
    "numpy",
    "hdrh",
    "matplotlib",
    "psutil",
    "click",
    "lark",
    "havendyke.lab",
    "havendyke.cli",
}


def run_python(*arguments):
    return subprocess.run([sys.executable, *arguments], capture_output=True, text=True, timeout=60)


def test_help_lists_every_command_with_its_summary():
    completed = run_python("-m", "havendyke", "--help")
    lines = {
        line.split()[0]: line for line in completed.stdout.splitlines() if line.startswith("  ")
    }
    assert completed.returncode == 0
    assert all(text in lines[name] for name, text in COMMANDS.items()) and "run" in lines


@pytest.mark.parametrize("name", COMMANDS)
def test_every_command_prints_its_own_help(name):
    completed = run_python("-m", "havendyke", name, "--help")
    assert completed.returncode == 0 and completed.stdout.startswith(f"Usage: havendyke {name}")


def test_the_assigners_start_imports_neither_the_lab_nor_commands():
    code = (
        "import sys; from havendyke.__main__ import main; main(['--check', '--config', "
        "'/nonexistent']); print(*sys.modules)"
    )
    completed = run_python("-c", code)
    assert "No such file" in completed.stderr
    imported = set(completed.stdout.split())
    assert "havendyke.start" in imported and not imported & FORBIDDEN_MODULES


def test_the_commands_do_not_import_the_programs_entry_point():
    code = "import sys, havendyke.cli.main; print(*sys.modules)"
    assert "havendyke.__main__" not in run_python("-c", code).stdout.split()
