"""Applies KNOWN-RED.txt and the Hypothesis profile to every run; see `known_red.py` and
`hypothesis_profile.py`."""

import hypothesis_profile
import pytest
from known_red import KnownRedListError, missing_tests, parse_known_red


def pytest_configure(config):
    hypothesis_profile.load(config.rootpath)
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.known_red = parse_known_red(path.read_text()) if path.exists() else {}
    except KnownRedListError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before -k deselects any test
def pytest_collection_modifyitems(config, items):
    listed = config.known_red
    # A run of selected tests does not collect the other tests of their files.
    if not any("::" in argument for argument in config.args):
        missing = missing_tests(listed, {item.nodeid for item in items}, config.rootpath)
        if missing:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(missing)}")
    for item in items:
        if item.nodeid in listed:
            entry = listed[item.nodeid]
            reason = f"KNOWN-RED: {entry.seen} ({entry.issue})"
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter, config):
    for entry in config.known_red.values():
        terminalreporter.write_line(f"KNOWN RED {entry.test}: {entry.seen} ({entry.issue})")
