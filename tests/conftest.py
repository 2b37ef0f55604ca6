"""KNOWN-RED.txt at the root: tests that fail for a real fault which waits for its issue, one `test: cause: issue` a line.

Strict, so that the list cannot become a place to leave tests: three lines at most, each names a test there is, and a listed test
that passes is red. Absent or empty is the normal state.
"""
from pathlib import Path

import pytest

MOST = 3


class BadList(ValueError):
    """The list cannot stand as it is; the text says which line and why."""


def known_red(text: str) -> dict:
    """The tests by their ids, each with its cause and its issue."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise BadList(f"KNOWN-RED.txt has {len(lines)} lines, {MOST} at most")
    made = {}
    for line in lines:
        test, _, rest = line.partition(": ")
        cause, _, issue = rest.rpartition(": ")
        if not (test.strip() and cause.strip() and issue.strip()):
            raise BadList(f"KNOWN-RED.txt: not `test: cause: issue`: {line[:100]}")
        if test in made:
            raise BadList(f"KNOWN-RED.txt names {test} twice")
        made[test] = (cause.strip(), issue.strip())
    return made


def unnamed(listed: dict, collected: set, root: Path) -> list:
    """Those that name no test: their file is gone, or was collected and has no such test."""
    files = {name.partition("::")[0] for name in collected}
    return [name for name in listed if name not in collected
            and ((file := name.partition("::")[0]) in files or not (root / file).is_file())]


def pytest_configure(config):
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.known_red = known_red(path.read_text()) if path.exists() else {}
    except BadList as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before -k leaves any out
def pytest_collection_modifyitems(config, items):
    listed = config.known_red
    # A run of one test alone says nothing of the others of its file.
    if not any("::" in word for word in config.args):
        gone = unnamed(listed, {item.nodeid for item in items}, config.rootpath)
        if gone:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(gone)}")
    for item in items:
        if item.nodeid in listed:
            cause, issue = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"KNOWN-RED: {cause} ({issue})"))


def pytest_terminal_summary(terminalreporter, config):
    for test, (cause, issue) in config.known_red.items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause} ({issue})")
