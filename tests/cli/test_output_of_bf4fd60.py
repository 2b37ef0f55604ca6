"""Output and exit status of commands are those of commit bf4fd60, which wrote `commands.json`."""

import json
from pathlib import Path

import pytest

from havendyke.cli import state
from havendyke.cli.main import main
from havendyke.recovery.timestamps import Timestamp

DATA = Path(__file__).parents[1] / "recovery" / "data" / "bf4fd60"
CALLS = json.loads((DATA / "commands.json").read_text())


@pytest.mark.parametrize(
    "arguments, status, stdout, stderr", CALLS, ids=[" ".join(call[0]) for call in CALLS]
)
def test_a_command_prints_the_same(arguments, status, stdout, stderr, capsys, monkeypatch):
    monkeypatch.setattr(state, "read_timestamp", lambda: Timestamp(1.7e12 + 3e5, "boot-2", 4000.0))
    monkeypatch.setenv("COLUMNS", "80")
    monkeypatch.delenv("ROUTER_CONFIG", raising=False)
    monkeypatch.delenv("HAVENDYKE_OPERATOR", raising=False)
    assert main([argument.replace("{}", str(DATA)) for argument in arguments]) == status
    printed = [text.replace(str(DATA), "{}") for text in capsys.readouterr()]
    assert printed == [stdout, stderr]
