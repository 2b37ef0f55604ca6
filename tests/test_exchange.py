"""The comparison of recorded exchanges: equal versions compare equal, changes are found."""

import json

import pytest
from version_copies import add_at_import, copy_of_version, patch

from benchmarks import exchange
from benchmarks._stub_peers import ReceivedMessage

START = ("start",)
START_AND_REPORTS = ("start", "load reports", "stranger")
NET = "havendyke/net"


@pytest.fixture
def version(tmp_path):
    return copy_of_version(tmp_path / "copy")


@pytest.fixture
def played(monkeypatch):
    """The pairs of plays that the test compares."""
    pairs, play_both = [], exchange.play_both

    async def record(*versions):
        pairs.append(await play_both(*versions))
        return pairs[-1]

    monkeypatch.setattr(exchange, "play_both", record)
    return pairs


def test_a_version_exchanges_the_same_as_itself_in_every_step(version, played):
    result = exchange.compare(version, exchange.ROOT, exchange.PLAYS)
    assert exchange.agrees(result) and result.exit_statuses == {"earlier": 0, "present": 0}
    recorded = played[-1][0].transcript
    orders = {step: texts for (step, peer), texts in recorded.items() if peer in exchange.RELAYS}
    for step, order in {
        "start": '"op":"SET","table":0,',
        "proxy replaced": '"op":"SYNC",',
        "server drains": '"op":"OUT","host":"s1"',
        "server fails": '"op":"OUT","host":"s2"',
        "call broken": '"method":"relay.watch"',
        "slice moved": '"table":3,',
        "relay moved": '"op":"OUT","host":"s4"',
    }.items():
        assert any(order in text for text in orders[step]), (step, orders)
    assert recorded["load reports", "collector"] == ["*1\r\n$4\r\nPONG\r\n" * 2]
    assert recorded["stranger", "stranger"] == ["*1\r\n$4\r\nNACK\r\n"]
    peers = {peer for _, peer in recorded}
    assert peers == {"relay", "moved relay", "discovery", "collector", "stranger"} | set(
        exchange.SERVERS
    )


@pytest.mark.parametrize(
    ("old", "new", "steps", "peer"),
    [
        (r'"op": "SET"', '"op": "PUT"', START, "relay"),
        (r'"relay\.watch"', '"relay.follow"', START, "relay"),
        (r'"yes": int\(', '"yes": bool(', START, "relay"),
        (r"\\r\\nHost: ", r"\\r\\nhost: ", START, "discovery"),
        (r'"NACK"', '"NO"', START_AND_REPORTS, "stranger"),
        (r'"PONG"', '"pong"', START_AND_REPORTS, "collector"),
    ],
)
def test_a_changed_message_is_found(version, old, new, steps, peer):
    patch(version, old, new, NET)
    result = exchange.compare(version, exchange.ROOT, 1, steps)
    assert result.plays == 1 and peer in {found.peer for found in result.differences}
    assert all(found.earlier != found.present for found in result.differences)
    assert not exchange.agrees(result)


def test_another_exit_status_is_found(version):
    add_at_import(version, "import os\nleave = os._exit\nos._exit = lambda status: leave(3)\n")
    result = exchange.compare(version, exchange.ROOT, 1, START)
    assert result.exit_statuses == {"earlier": 3, "present": 0} and not exchange.agrees(result)


def call(number, nonce, share):
    orders = [
        {"op": "LIMIT", "routes": ["a"], "admit": 1.0},
        {"op": "SET", "table": 0, "host": "s1", "share": share},
        {"op": "SYNC", "nonce_out": nonce, "yes": 0},
    ]
    message = {"id": number, "method": "relay.apply", "params": {"orders": orders}}
    return ReceivedMessage(
        "start", "relay", json.dumps(message, separators=(",", ":")).encode() + b"\n"
    )


def test_only_the_id_and_the_nonce_of_a_call_are_masked():
    first, second, changed = (
        exchange.transcript([message], {})
        for message in (call(1, 7, 0.5), call(2, 8, 0.5), call(1, 7, 0.25))
    )
    assert first == second and len(first["start", "relay"]) == 4
    (found,) = exchange.differences(first, changed)
    assert found.earlier == ['"op":"SET","table":0,"host":"s1","share":0.5']
    assert found.present == ['"op":"SET","table":0,"host":"s1","share":0.25']


def test_messages_of_only_one_version_are_a_difference():
    known = exchange.transcript([call(1, 7, 0.5)], {})
    assert exchange.differences(known, {})[0].present == []
    assert exchange.differences({}, known)[0].earlier == []
    assert exchange.differences(known, known) == []


def test_the_sequence_of_a_collectors_answers_is_compared():
    answers = [ReceivedMessage("start", "collector", data) for data in (b"PONG", b"NACK")]
    assert exchange.differences(
        exchange.transcript(answers, {}), exchange.transcript(answers[::-1], {})
    )


def test_only_a_difference_in_every_play_counts(monkeypatch):
    plays = [exchange.Play({("start", "relay"): [text]}, 1, 0) for text in "abcc"]

    async def play_both(*_):
        return plays.pop(0), plays.pop(0)

    monkeypatch.setattr(exchange, "play_both", play_both)
    result = exchange.compare(None, None, 3)
    assert result.plays == 2 and exchange.agrees(result)


@pytest.mark.parametrize("statuses, status", [((0, 0), 0), ((0, 3), 1)])
def test_the_result_is_the_exit_status_and_one_line(monkeypatch, capsys, statuses, status):
    monkeypatch.setattr(exchange, "commit_of", lambda revision: revision)
    monkeypatch.setattr(exchange, "extract", lambda *_: None)

    async def play_both(*_):
        return tuple(exchange.Play({}, 1, status) for status in statuses)

    monkeypatch.setattr(exchange, "play_both", play_both)
    assert exchange.main(["--against", "HEAD", "--plays", "2"]) == status
    printed = json.loads(capsys.readouterr().out)
    assert printed["against"] == "HEAD" and printed["plays"] == 1 + status
    assert list(printed["exit_statuses"].values()) == list(statuses)


def test_a_version_that_does_not_start_is_reported_in_one_line(version, monkeypatch, capsys):
    add_at_import(version, "import no_such_module\n")
    monkeypatch.setattr(exchange, "commit_of", lambda revision: revision)
    monkeypatch.setattr(exchange, "extract", lambda *_: None)
    compare = exchange.compare
    monkeypatch.setattr(exchange, "compare", lambda _, *rest: compare(version, *rest))
    assert exchange.main(["--against", "HEAD"]) == 2
    out, err = capsys.readouterr()
    assert not out and err == (
        "benchmarks: exchange: earlier: the program does not listen: "
        "ModuleNotFoundError: No module named 'no_such_module'\n"
    )


@pytest.mark.parametrize(
    "options",
    [
        ["--against", "no-such-commit"],
        ["--against", "HEAD", "--plays", "0"],
        ["--against", "HEAD", "--plays", "all"],
        ["--against"],
        [],
    ],
)
def test_an_unknown_commit_and_bad_options_are_reported_in_one_line(capsys, options):
    assert exchange.main(options) == 2
    out, err = capsys.readouterr()
    assert not out and err.startswith("benchmarks: exchange: ") and err.count("\n") == 1
