"""Commands as an operator calls them, and the program with a persisted state over SIGKILL."""

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
def folder(tmp_path):
    """A folder with two servers, one of them drained."""
    state = PersistedState(
        servers={
            "s1": ServerRecord("127.0.0.1:80", source=EvidenceSource.ENDPOINT_LIST),
            "s2": ServerRecord(state=ServerState.DRAINING),
        },
        tombstones={"s2": Tombstone(0.0, ServerState.DRAINING, 3, None)},
        slices={4: SliceTable({"s1": 1.0}, True)},
        list_version=3,
    )
    made = StateDirectory(Disk(str(tmp_path / "state")))
    made.open()
    made.commit(snapshot(state), state)
    made.close()
    return str(tmp_path / "state")


def call(capsys, *words):
    status = main(list(words))
    out, err = capsys.readouterr()
    return status, out, err


def test_show_prints_what_a_start_would_believe(folder, capsys):
    status, out, _ = call(capsys, "state", "show", folder, "--json")
    told = json.loads(out)
    assert (
        status == 0
        and told["servers"] == 2
        and {b["server"]: b["state"] for b in told["believed"]} == {"s1": "ready", "s2": "draining"}
    )
    assert "s1" in call(capsys, "state", "show", folder)[1]


def test_verify_ends_with_status_1_where_something_is_damaged(folder, capsys):
    assert call(capsys, "state", "verify", folder)[0] == 0
    path = next(Path(folder).glob("log-*"))
    path.write_bytes(path.read_bytes()[:-3])
    status, out, _ = call(capsys, "state", "verify", folder)
    assert status == 1 and "torn" in out


def test_an_exported_state_is_the_same_once_it_is_imported_and_compacted(folder, tmp_path, capsys):
    _, out, _ = call(capsys, "state", "export", folder)
    (tmp_path / "out.json").write_text(out)
    assert call(capsys, "state", "diff", folder, str(tmp_path / "out.json"))[:2] == (0, "alike\n")
    assert (
        call(capsys, "state", "import", str(tmp_path / "other"), str(tmp_path / "out.json"))[0] == 0
    )
    assert call(capsys, "state", "diff", folder, str(tmp_path / "other"))[0] == 0
    assert (
        call(capsys, "state", "compact", folder)[0] == 0
        and call(capsys, "state", "verify", folder)[0] == 0
    )
    changed = json.loads(out)
    changed["changes"] = [c for c in changed["changes"] if c[0] != "tomb"]
    (tmp_path / "less.json").write_text(json.dumps(changed))
    status, told, _ = call(capsys, "state", "diff", folder, str(tmp_path / "less.json"))
    assert status == 1 and '"lift"' in told


@pytest.mark.parametrize(
    "words, said",
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
def test_a_wrong_call_ends_with_one_line_and_status_2(folder, capsys, monkeypatch, words, said):
    monkeypatch.delenv("ROUTER_CONFIG", raising=False)
    status, _, err = call(capsys, *[w.replace("{}", folder) for w in words])
    assert status == 2 and said in err and err.count("\n") == 1


def test_a_folder_in_use_is_shown_and_not_written(folder, capsys):
    holder = StateDirectory(Disk(folder))
    holder.open()
    assert call(capsys, "state", "compact", folder)[0] == 2
    assert call(capsys, "state", "show", folder)[0] == 0  # reading is always possible
    holder.close()


def test_settings_show_prints_where_each_value_stands(tmp_path, capsys):
    (tmp_path / "x.conf").write_text("[state]\nfolder /var/x\n")
    status, out, _ = call(capsys, "settings", "show", str(tmp_path / "x.conf"))
    assert status == 0 and "x.conf:2" in out and "gather = 50ms    (default)" in out
    assert "Size of the log" in call(capsys, "settings", "explain", "state.log-most")[1]


def run(tmp_path, *more):
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    raw = raw_config(
        listen=listen,
        discovery="127.0.0.1:1",
        distributor={"address": "127.0.0.1:1"},
        known=complete_list("s1"),
    )
    (tmp_path / "config.json").write_text(json.dumps(raw))
    return subprocess.Popen(
        [sys.executable, "-m", "havendyke", "--config", str(tmp_path / "config.json"), *more],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def until(process, event):
    return next(told for told in map(json.loads, process.stderr) if told["event"] == event)


def test_the_state_survives_a_kill_and_a_bad_operators_file_is_refused(tmp_path, folder):
    (tmp_path / "op.conf").write_text(f"[state]\nfolder {folder}\n")
    for how in (signal.SIGKILL, signal.SIGTERM):
        process = run(tmp_path, "--operator", str(tmp_path / "op.conf"))
        try:
            assert until(process, "state_recovered")["tombstones"] == 1
            until(process, "listening")
            if how == signal.SIGTERM:
                (tmp_path / "op.conf").write_text("[state]\nfoldr /x\n")
                process.send_signal(signal.SIGHUP)
                assert "op.conf:2" in until(process, "reload_refused")["cause"]
            process.send_signal(how)
            out, _ = process.communicate(timeout=10)
            assert how == signal.SIGKILL or json.loads(out)["state_commits"] >= 1
        finally:
            process.kill()
            process.communicate()
    process = run(tmp_path, "--operator", str(tmp_path / "op.conf"))
    _, err = process.communicate(timeout=10)
    assert process.returncode == 2 and b"did you mean 'folder'?" in err and err.count(b"\n") == 1


def test_a_state_with_a_record_too_large_to_store_is_one_line(folder, tmp_path, capsys):
    out = json.loads(call(capsys, "state", "export", folder)[1])
    kind, fields = next(change for change in out["changes"] if change[0] == "entry")
    out["changes"].append([kind, {**fields, "endpoint": "x" * MAX_PAYLOAD_BYTES}])
    (tmp_path / "large.json").write_text(json.dumps(out))
    status, _, told = call(capsys, "state", "import", folder, str(tmp_path / "large.json"))
    assert status == 2 and f"{folder}: a record of 1048" in told
    assert call(capsys, "state", "verify", folder)[0] == 0
