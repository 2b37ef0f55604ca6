"""The log events in the source, their registry, and the page generated from it."""

import ast
from pathlib import Path

from havendyke.cli.main import main
from havendyke.events import EVENTS, render_page

ROOT = Path(__file__).parents[2]


def logged_events():
    """Yields (event, fields) of the logging calls in the source, except in `lab`.

    Calls of any function or method named `log` or `told` count as logging calls. The event is the
    first argument: a string literal, or either literal of a conditional expression. Calls with any
    other first argument are left out. The fields are the names of the keyword arguments.
    """
    for path in (ROOT / "havendyke").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            name = getattr(node, "func", None) and getattr(
                node.func, "attr", getattr(node.func, "id", "")
            )
            if name not in ("log", "told") or not node.args or "lab" in path.parts:
                continue
            first = node.args[0]
            for argument in [first.body, first.orelse] if isinstance(first, ast.IfExp) else [first]:
                if isinstance(argument, ast.Constant) and isinstance(argument.value, str):
                    yield argument.value, {keyword.arg for keyword in node.keywords}


def test_logged_events_and_their_fields_are_registered():
    fields_by_event = {}
    for event, fields in logged_events():
        fields_by_event.setdefault(event, set()).update(fields)
    assert fields_by_event.keys() == EVENTS.keys()
    for event, fields in fields_by_event.items():
        assert fields <= set(EVENTS[event][0]), event


def test_the_operators_page_is_generated_from_the_registry(capsys):
    assert (ROOT / "docs" / "operators" / "events.md").read_text() == render_page()
    assert main(["events", "pussh"]) == 2 and "did you mean 'push'?" in capsys.readouterr().err
    assert main(["events", "push", "--json"]) == 0 and '"nonce"' in capsys.readouterr().out
