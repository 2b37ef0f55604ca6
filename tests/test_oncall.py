"""Compares `docs/oncall.md` with the events and counters in the source, in both directions."""

import ast
import re
from pathlib import Path

from havendyke import interface
from havendyke.events import EVENTS, ROUTINE_EVENTS

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "oncall.md").read_text()
EVENT_TABLES = PAGE[PAGE.index("## On sockets") : PAGE.index("### Counters")]
COUNTER_TABLES = PAGE[PAGE.index("### Counters") : PAGE.index("## Questions")]
NAME_PATTERN = re.compile(r"`([a-z]\w*)(\*?)`")
# Functions that return counters by name.
COUNTER_FUNCTIONS = ("counters", "resource_usage", "_count_reconciliation")


def first_column(text):
    """Returns (name, whether it is a prefix) for each name in the first column of the tables."""
    rows = [line for line in text.splitlines() if line.startswith("| `")]
    return [
        (name, bool(wildcard))
        for row in rows
        for name, wildcard in NAME_PATTERN.findall(row.split("|")[1])
    ]


def pattern_of(node):
    """Returns a regular expression for the values of a string expression; None if it is none."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return re.escape(node.value)
    if isinstance(node, ast.JoinedStr):
        parts = [pattern_of(part) or r"\w+" for part in node.values]
        return "".join(parts)
    return None


def written_counters():
    """Yields the expressions in the source that name a counter."""
    for path in (ROOT / "havendyke").rglob("*.py"):
        if "lab" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and getattr(node.func, "attr", "") == "count":
                first = node.args[0] if node.args else None
                yield from [first.body, first.orelse] if isinstance(first, ast.IfExp) else [first]
            elif isinstance(node, ast.FunctionDef) and node.name in COUNTER_FUNCTIONS:
                yield from ast.walk(node)


COUNTER_PATTERNS = {pattern for pattern in map(pattern_of, written_counters()) if pattern}


def is_counter(name):
    return any(re.fullmatch(pattern, name) for pattern in COUNTER_PATTERNS)


def test_the_page_lists_exactly_the_registered_events():
    listed = re.search(r"these and\s+no others: (.*?)\.\s", EVENT_TABLES, re.S)[1]
    names = [name for name, _ in NAME_PATTERN.findall(listed)]
    assert sorted(names) == sorted(EVENTS)


def test_each_name_in_the_tables_exists_in_the_source():
    columns = first_column(EVENT_TABLES) + first_column(COUNTER_TABLES)
    assert len(columns) > 80
    fields = {field for event in EVENTS.values() for field in event.fields}
    known = set(EVENTS) | fields
    for name, any_suffix in columns:
        written = is_counter(name + "x" * any_suffix) or (not any_suffix and name in known)
        assert written, f"{name} does not exist in the source"


def test_each_kind_of_event_and_order_on_the_page_exists():
    kinds = re.findall(r"`(?:events|orders)_([A-Z][a-z]\w*)`", PAGE)
    assert kinds and set(kinds) <= set(interface.__all__)


def test_each_warning_is_in_a_table_with_instructions():
    documented = {name for name, _ in first_column(EVENT_TABLES)}
    warnings = EVENTS.keys() - ROUTINE_EVENTS
    assert EVENTS.keys() > ROUTINE_EVENTS and warnings <= documented, sorted(warnings - documented)
