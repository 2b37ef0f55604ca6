"""The bench adapter as a program: exit statuses and error messages."""

import json
import subprocess
import sys

import pytest

EMPTY_BATCH = b'{"ts":0,"serial":%d,"inbox":[]}\n'


def run(data: bytes):
    command = [sys.executable, "-m", "havendyke.bench_adapter"]
    return subprocess.run(command, input=data, capture_output=True, timeout=20)


def test_replies_to_each_batch_on_one_line_and_ignores_blank_lines():
    finished = run(EMPTY_BATCH % 1 + b"\n  \n" + EMPTY_BATCH % 2)
    assert finished.returncode == 0 and not finished.stderr
    assert [json.loads(line) for line in finished.stdout.splitlines()] == [
        {"serial": 1, "outbox": []},
        {"serial": 2, "outbox": []},
    ]


@pytest.mark.parametrize(
    "line, message",
    [
        (b"{\n", "not JSON: "),
        (b"[]\n", "a batch must be an object"),
        (b'{"ts":0,"inbox":[]}\n', "field 'serial' is missing"),
        (b'{"ts":0,"serial":"x","inbox":[]}\n', "field 'serial' has the wrong type"),
    ],
)
def test_exits_on_malformed_input_and_names_the_line_and_field(line, message):
    finished = run(EMPTY_BATCH % 1 + line)
    assert finished.returncode == 2 and finished.stdout.count(b"\n") == 1
    assert finished.stderr.decode().startswith(f"havendyke.bench_adapter: line 2: {message}")
    assert finished.stderr.count(b"\n") == 1
