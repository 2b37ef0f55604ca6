"""The comparison of two versions on generated days: equal versions, differences and refusals."""

import json
import re
import shutil
from pathlib import Path

import pytest
from version_copies import add_at_import, copy_of_version, patch

from benchmarks import __main__ as benchmarks
from benchmarks import same
from benchmarks._days import day_of
from benchmarks._wire import encode_settings
from havendyke.config import read_settings

FEW_SEEDS = "0:36"

# Changes of one place in the product that change its decisions: a pattern and its replacement.
CHANGED_DECISIONS = {
    "a constant": (r"\bMAX_FAIR_SHARES = 1\.25\b", "MAX_FAIR_SHARES = 1.26"),
    "a time": (r"\bHALVING_INTERVAL_MS = 2_500\.0", "HALVING_INTERVAL_MS = 2_550.0"),
    "an acknowledgement's order": (
        r"\bproxy\.acknowledged_serial < channel\.last_serial\b",
        "proxy.acknowledged_serial <= channel.last_serial",
    ),
    "a report's share of failures": (
        r"successes > 0 and event\.latency_ms > 0",
        "successes < 0 and event.latency_ms > 0",
    ),
    "an interval's end": (
        r"now_ms < self\._next_adjustment_ms",
        "now_ms > self._next_adjustment_ms",
    ),
}
# Present names, with other names that an earlier version may have for the same.
OTHER_NAMES = {
    "bench_adapter": "wire_adapter",
    "registry": "object_table",
    "Controller": "Decider",
    "ServerLoad": "ServerTelemetry",
    "EndpointListUpdate": "MembershipEvent",
    "SetEndpointWeight": "Line",
    "start_confirmed": "certain",
    "request_classes": "classes",
    "cpu_share": "busy",
}


def rename(folder: Path, old: str, new: str):
    """Renames an identifier in all modules and in the deploy file, and the module of that name."""
    files = [folder / same.DEPLOY_FILE, *(folder / "havendyke").rglob("*.py")]
    changed = 0
    for path in files:
        text, count = re.subn(rf"\b{old}\b", new, path.read_text())
        path.write_text(text)
        changed += count
    assert changed, f"no module has the name {old!r}"
    for path in [*(folder / "havendyke").glob(old), *(folder / "havendyke").glob(f"{old}.py")]:
        path.rename(path.with_name(new + path.suffix))


@pytest.fixture
def version(tmp_path, monkeypatch):
    """A copy of the working tree's version that replaces the earlier commit."""
    copy = copy_of_version(tmp_path / "copy")
    monkeypatch.setattr(same, "commit_of", lambda revision: revision)
    monkeypatch.setattr(
        same, "extract", lambda _, folder, paths: shutil.copytree(copy, folder, dirs_exist_ok=True)
    )
    return copy


def compare(capsys, seeds=FEW_SEEDS):
    """The exit status, and the printed result or error."""
    status = same.main(["--against", "HEAD", "--seeds", seeds])
    out, err = capsys.readouterr()
    return status, json.loads(out) if out else err


def test_a_version_compares_equal_to_itself_each_time(version, capsys):
    status, result = compare(capsys)
    assert (
        status == 0
        and result["days"] == 36
        and result["differing_days"] == 0
        and result["first_difference"] is None
    )
    assert (
        result["left_out"] == {"earlier": [], "present": []} and result["orders"] > result["days"]
    )
    assert compare(capsys) == (status, result)


@pytest.mark.parametrize("change", CHANGED_DECISIONS)
def test_a_changed_decision_is_found(version, capsys, change):
    patch(version, *CHANGED_DECISIONS[change])
    status, result = compare(capsys)
    first = result["first_difference"]
    assert status == 1 and result["days"] == 36 and result["differing_days"] > 0
    assert first["kind"] and 0 <= first["seed"] < 36 and first["earlier"] != first["present"]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (r'("outbox": .*), separators=\(",", ":"\)', r'\1, separators=(", ", ":")'),
        (r'"BARRIER"', '"BARRIER "'),
        (r'"rev": order\.nonce, ', ""),
    ],
)
def test_answers_that_differ_only_in_their_encoding_are_found(version, capsys, old, new):
    patch(version, old, new)
    status, result = compare(capsys, "0:3")
    first = result["first_difference"]
    assert status == 1 and result["differing_days"] == 3 and first["seed"] == 0
    assert first["earlier"] != first["present"]


def test_a_setting_that_the_earlier_version_lacks_is_reported_as_left_out(version, capsys):
    patch(version, '"smallestConnTable"', '"unheardOf"')
    left_out = compare(capsys, "0:3")[1]["left_out"]
    assert left_out == {"earlier": ["smallestConnTable"], "present": []}


def test_a_version_with_other_names_for_modules_classes_and_fields_is_the_same(version, capsys):
    for old, new in OTHER_NAMES.items():
        rename(version, old, new)
    status, result = compare(capsys)
    assert status == 0 and result["days"] == 36 and result["orders"] > result["days"]
    assert result["left_out"] == {"earlier": [], "present": []}


@pytest.mark.parametrize("seed", range(36))
def test_the_encoded_settings_of_a_day_are_read_back_unchanged(seed):
    day = day_of(seed)
    if not day.kind.startswith("wild"):  # those are raised to the documented minima
        assert read_settings(encode_settings(day.settings)) == day.settings


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        (
            r'\A"""Maps ids',
            'import no_such_module\n"""Maps ids',
            "ModuleNotFoundError: No module named 'no_such_module'",
        ),
        (
            r'"pendingMax", UNLIMITED, 1\.0, MAX_TABLE_ENTRIES',
            '"pendingMax", UNLIMITED, 1.0, 2.0',
            "field 'pendingMax'",
        ),
        (
            r"return _get_or_add\(self\.proxies, proxy_id, self\.controller\.add_proxy\)",
            "return 1 / 0",
            "ZeroDivisionError: division by zero",
        ),
        (
            r"return self\.controller\.reconcile\(now_ms, events\)",
            "return 1 / 0",
            "day 0 ended early at turn 0: ZeroDivisionError: division by zero",
        ),
    ],
)
def test_a_failing_version_is_reported_in_one_line(version, capsys, old, new, message):
    patch(version, old, new)
    check_refused(compare(capsys), message)


def test_a_version_that_cannot_be_imported_is_reported_in_one_line(version, capsys):
    add_at_import(version, "import no_such_module\n")
    message = "ModuleNotFoundError: No module named 'no_such_module'"
    check_refused(compare(capsys), message)


@pytest.mark.parametrize("deploy", ["", 'run = "true"\n', "sim =\n"])
def test_a_version_without_a_sim_command_is_reported_in_one_line(version, capsys, deploy):
    (version / same.DEPLOY_FILE).write_text(deploy)
    check_refused(compare(capsys), "deploy/balancer.toml has no sim command: ")


def check_refused(outcome, message):
    status, error = outcome
    assert status == 2 and message in error
    assert error.startswith("benchmarks: same: earlier: ") and error.count("\n") == 1


@pytest.mark.parametrize(
    "options",
    [
        ["--against", "no-such-commit"],
        ["--against", "--output=x"],
        ["--against", "HEAD", "--seeds", "9:3"],
        ["--against", "HEAD", "--seeds", "-1:3"],
        ["--against", "HEAD", "--seeds", "all"],
        ["--against"],
        [],
    ],
)
def test_an_unknown_commit_and_bad_options_are_reported_in_one_line(capsys, options):
    assert same.main(options) == 2
    out, err = capsys.readouterr()
    assert not out and err.startswith("benchmarks: same: ") and err.count("\n") == 1


@pytest.mark.parametrize("name", ["fuzzing", "recovery"])
def test_a_benchmark_without_options_takes_none(capsys, name):
    assert benchmarks.main([name, "--seeds", "0:3"]) == 2
    assert capsys.readouterr().err == f"benchmarks: {name} takes no options\n"


@pytest.mark.parametrize("name", ["fleet", "start"])
@pytest.mark.parametrize("options", [["--seeds", "0:3"], ["--against"], ["--against", "nowhere"]])
def test_fleet_and_start_only_take_an_existing_commit_to_compare_with(capsys, name, options):
    assert benchmarks.main([name, *options]) == 2
    out, err = capsys.readouterr()
    assert not out and err.startswith(f"benchmarks: {name}: ") and err.count("\n") == 1
