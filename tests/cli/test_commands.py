"""Commands as an operator runs them, and the program with a persisted state over SIGKILL."""

import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import complete_list, raw_config

from havendyke.cli.main import main
from havendyke.interface import ServerState
from havendyke.recovery.changes import snapshot
from havendyke.recovery.directory import StateDirectory
from havendyke.recovery.disk import Disk
from havendyke.recovery.records import MAX_PAYLOAD_BYTES
from havendyke.recovery.state import (
    EvidenceSource,
    PersistedState,
    ServerRecord,
    SliceTable,
    Tombstone,
)


@pytest.fixture
def state_path(tmp_path):
    """A state directory with two servers, one of them draining."""
    state = PersistedState(
        servers={
            "s1": ServerRecord("127.0.0.1:80", source=EvidenceSource.ENDPOINT_LIST),
            "s2": ServerRecord(state=ServerState.DRAINING),
        },
        tombstones={"s2": Tombstone(0.0, ServerState.DRAINING, 3, None)},
        slices={4: SliceTable({"s1": 1.0}, True)},
        list_version=3,
    )
    directory = StateDirectory(Disk(str(tmp_path / "state")))
    directory.open()
    directory.commit(snapshot(state), state)
    directory.close()
    return str(tmp_path / "state")


def run_cli(capsys, *arguments):
    status = main(list(arguments))
    stdout, stderr = capsys.readouterr()
    return status, stdout, stderr


def test_show_prints_the_assessments_of_a_recovery(state_path, capsys):
    status, stdout, _ = run_cli(capsys, "state", "show", state_path, "--json")
    output = json.loads(stdout)
    assert (
        status == 0
        and output["servers"] == 2
        and {assessment["server"]: assessment["state"] for assessment in output["believed"]}
        == {"s1": "ready", "s2": "draining"}
    )
    assert "s1" in run_cli(capsys, "state", "show", state_path)[1]


def test_verify_exits_with_status_1_if_a_file_is_damaged(state_path, capsys):
    assert run_cli(capsys, "state", "verify", state_path)[0] == 0
    path = next(Path(state_path).glob("log-*"))
    path.write_bytes(path.read_bytes()[:-3])
    status, stdout, _ = run_cli(capsys, "state", "verify", state_path)
    assert status == 1 and "torn" in stdout


def test_an_exported_state_is_unchanged_by_import_and_compaction(state_path, tmp_path, capsys):
    _, stdout, _ = run_cli(capsys, "state", "export", state_path)
    (tmp_path / "out.json").write_text(stdout)
    assert run_cli(capsys, "state", "diff", state_path, str(tmp_path / "out.json"))[:2] == (
        0,
        "alike\n",
    )
    assert (
        run_cli(capsys, "state", "import", str(tmp_path / "other"), str(tmp_path / "out.json"))[0]
        == 0
    )
    assert run_cli(capsys, "state", "diff", state_path, str(tmp_path / "other"))[0] == 0
    assert (
        run_cli(capsys, "state", "compact", state_path)[0] == 0
        and run_cli(capsys, "state", "verify", state_path)[0] == 0
    )
    changed = json.loads(stdout)
    changed["changes"] = [change for change in changed["changes"] if change[0] != "tomb"]
    (tmp_path / "less.json").write_text(json.dumps(changed))
    status, stdout, _ = run_cli(capsys, "state", "diff", state_path, str(tmp_path / "less.json"))
    assert status == 1 and '"lift"' in stdout


@pytest.mark.parametrize(
    "arguments, expected",
    [
        (["state", "show", "/nonexistent"], "no such folder"),
        (["state", "import", "{}", "/nonexistent"], "No such file"),
        (["state", "diff", "{}", __file__], "JSONDecodeError"),
        (["settings", "explain", "foldr"], "did you mean 'folder'?"),
        (["settings", "show", "/nonexistent"], "No such file"),
        (["nosuch"], "No such command"),
        (["state", "show"], "FOLDER"),
        (["check"], "nothing to check"),
        (["check", "--operator", __file__], "cannot read"),
    ],
)
def test_a_usage_error_prints_one_line_and_exits_with_status_2(
    state_path, capsys, monkeypatch, arguments, expected
):
    monkeypatch.delenv("ROUTER_CONFIG", raising=False)
    status, _, stderr = run_cli(
        capsys, *[argument.replace("{}", state_path) for argument in arguments]
    )
    assert status == 2 and expected in stderr and stderr.count("\n") == 1


def test_a_locked_directory_can_be_shown_and_not_written(state_path, capsys):
    holder = StateDirectory(Disk(state_path))
    holder.open()
    assert run_cli(capsys, "state", "compact", state_path)[0] == 2
    assert run_cli(capsys, "state", "show", state_path)[0] == 0  # reading needs no lock
    holder.close()


def test_settings_show_prints_the_source_of_each_value(tmp_path, capsys):
    (tmp_path / "x.conf").write_text("[state]\nfolder /var/x\n")
    status, stdout, _ = run_cli(capsys, "settings", "show", str(tmp_path / "x.conf"))
    assert status == 0 and "x.conf:2" in stdout and "gather = 50ms    (default)" in stdout
    assert "Size of the log" in run_cli(capsys, "settings", "explain", "state.log-most")[1]


def start_assigner(tmp_path, *options):
    with socket.create_server(("127.0.0.1", 0)) as free_socket:
        listen = f"127.0.0.1:{free_socket.getsockname()[1]}"
    raw = raw_config(
        listen=listen,
        discovery="127.0.0.1:1",
        distributor={"address": "127.0.0.1:1"},
        known=complete_list("s1"),
    )
    (tmp_path / "config.json").write_text(json.dumps(raw))
    return subprocess.Popen(
        [sys.executable, "-m", "havendyke", "--config", str(tmp_path / "config.json"), *options],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def read_until(process, event):
    return next(line for line in map(json.loads, process.stderr) if line["event"] == event)


def test_the_state_survives_a_kill_and_an_invalid_operators_file_is_rejected(tmp_path, state_path):
    (tmp_path / "op.conf").write_text(f"[state]\nfolder {state_path}\n")
    for sent_signal in (signal.SIGKILL, signal.SIGTERM):
        process = start_assigner(tmp_path, "--operator", str(tmp_path / "op.conf"))
        try:
            assert read_until(process, "state_recovered")["tombstones"] == 1
            read_until(process, "listening")
            if sent_signal == signal.SIGTERM:
                (tmp_path / "op.conf").write_text("[state]\nfoldr /x\n")
                process.send_signal(signal.SIGHUP)
                assert "op.conf:2" in read_until(process, "reload_refused")["cause"]
            process.send_signal(sent_signal)
            stdout, _ = process.communicate(timeout=10)
            assert sent_signal == signal.SIGKILL or json.loads(stdout)["state_commits"] >= 1
        finally:
            process.kill()
            process.communicate()
    process = start_assigner(tmp_path, "--operator", str(tmp_path / "op.conf"))
    _, stderr = process.communicate(timeout=10)
    assert (
        process.returncode == 2 and b"did you mean 'folder'?" in stderr and stderr.count(b"\n") == 1
    )


def test_importing_a_record_that_is_too_large_prints_one_line(state_path, tmp_path, capsys):
    exported = json.loads(run_cli(capsys, "state", "export", state_path)[1])
    kind, fields = next(change for change in exported["changes"] if change[0] == "entry")
    exported["changes"].append([kind, {**fields, "endpoint": "x" * MAX_PAYLOAD_BYTES}])
    (tmp_path / "large.json").write_text(json.dumps(exported))
    status, _, stderr = run_cli(capsys, "state", "import", state_path, str(tmp_path / "large.json"))
    assert status == 2 and f"{state_path}: a record of 1048" in stderr
    assert run_cli(capsys, "state", "verify", state_path)[0] == 0
