"""KNOWN-RED.txt at the root: tests that fail because of a known fault with an open issue.

An entry is one line, `test | command | seed | what was seen | issue`, for example
`tests/a.py::b | python -m pytest tests/a.py::b | seed 7 | a proxy without a server | issue 45`;
`no seed` where nothing is drawn. The list is strict, so that tests are not parked in it: each entry
must be complete and name an existing test, and a listed test that passes fails the run. The file is
normally absent or empty.
"""

import re
from pathlib import Path
from typing import NamedTuple

SEPARATOR = " | "
SEED = re.compile(r"seed [0-9]+|no seed")
ISSUE = re.compile(r"issue [0-9]+")


class KnownRedListError(ValueError):
    """The list is invalid; the message has the line and the reason."""


class Entry(NamedTuple):
    """A listed test and how to reproduce its fault."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def parse_known_red(text: str) -> dict[str, Entry]:
    """Parses the list; returns its entries by test id. Raises `KnownRedListError`."""
    entries: dict[str, Entry] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        entry = parse_entry(line.strip())
        if entry.test in entries:
            raise KnownRedListError(f"KNOWN-RED.txt names {entry.test} twice")
        entries[entry.test] = entry
    return entries


def parse_entry(line: str) -> Entry:
    """Parses the entry of a line; raises `KnownRedListError`."""
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != len(Entry._fields):
        raise KnownRedListError(
            f"KNOWN-RED.txt: not `{SEPARATOR.join(Entry._fields)}`: {line[:100]}"
        )
    entry = Entry(*fields)
    invalid = [
        name
        for name, valid in (
            ("test", "::" in entry.test),
            ("command", entry.test.partition("[")[0] in entry.command),
            ("seed", SEED.fullmatch(entry.seed)),
            ("seen", entry.seen),
            ("issue", ISSUE.fullmatch(entry.issue)),
        )
        if not valid
    ]
    if invalid:
        raise KnownRedListError(f"KNOWN-RED.txt: invalid {', '.join(invalid)}: {line[:100]}")
    return entry


def missing_tests(listed: dict[str, Entry], collected: set[str], root: Path) -> list[str]:
    """Listed tests that do not exist: their file is missing, or was collected without them."""
    files = {name.partition("::")[0] for name in collected}
    return [
        name
        for name in listed
        if name not in collected
        and ((file := name.partition("::")[0]) in files or not (root / file).is_file())
    ]
