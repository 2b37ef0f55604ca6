"""The source logs what is registered, with the fields that are told, and the page is of the
register."""

import ast
from pathlib import Path

from havendyke.cli.main import main
from havendyke.events import EVENTS, render_page

ROOT = Path(__file__).parents[2]


def logged():
    """(event, fields) of every call of a log in the source."""
    for path in (ROOT / "havendyke").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            name = getattr(node, "func", None) and getattr(
                node.func, "attr", getattr(node.func, "id", "")
            )
            if name not in ("log", "told") or not node.args or "lab" in path.parts:
                continue
            first = node.args[0]
            for one in [first.body, first.orelse] if isinstance(first, ast.IfExp) else [first]:
                if isinstance(one, ast.Constant) and isinstance(one.value, str):
                    yield one.value, {k.arg for k in node.keywords}


def test_the_logged_events_and_their_fields_are_those_of_the_register():
    seen = {}
    for event, fields in logged():
        seen.setdefault(event, set()).update(fields)
    assert seen.keys() == EVENTS.keys()
    for event, fields in seen.items():
        assert fields <= set(EVENTS[event][0]), event


def test_the_operators_page_is_made_of_the_register(capsys):
    assert (ROOT / "docs" / "operators" / "events.md").read_text() == render_page()
    assert main(["events", "pussh"]) == 2 and "did you mean 'push'?" in capsys.readouterr().err
    assert main(["events", "push", "--json"]) == 0 and '"nonce"' in capsys.readouterr().out
