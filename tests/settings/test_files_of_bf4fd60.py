"""Operator's files are read or rejected as at commit bf4fd60, which recorded the outcomes."""

import json
from pathlib import Path

import pytest

from havendyke.settings import reader

DATA = Path(__file__).parents[1] / "recovery" / "data" / "bf4fd60"
OUTCOMES = json.loads((DATA / "operator_files.json").read_text())


@pytest.mark.parametrize("text, outcome, expected", OUTCOMES)
def test_a_file_is_read_or_rejected_with_the_same_message(text, outcome, expected, tmp_path):
    (tmp_path / "main.conf").write_bytes(text.encode())
    path = str(tmp_path / "main.conf")
    if outcome == "read":
        assert reader.read(path) == expected
    else:
        with pytest.raises(reader.OperatorFileError) as error:
            reader.read(path)
        assert str(error.value).replace(str(tmp_path), "{}") == expected


def test_a_file_with_an_include_is_read_to_the_same_values():
    assert reader.read(str(DATA / "operator.conf")) == {
        "state": {
            "folder": "/var/lib/a b",
            "gather": 20.0,
            "pending": 20_000,
            "log-most": 64 << 20,
            "again": 500.0,
            "again-most": 30_000.0,
        }
    }
