"""Valid operator's files, and errors in them with the position that is reported."""

from pathlib import Path

import pytest

from havendyke.settings import reader, schema

ROOT = Path(__file__).parents[2]


def read(tmp_path, text, **included):
    for name, content in {"main.conf": text, **included}.items():
        (tmp_path / name.replace("_", ".")).write_text(content)
    return reader.read(str(tmp_path / "main.conf"))


@pytest.mark.parametrize(
    "text",
    [
        "[state]\nfolder /var/lib/x\ngather 20ms # soon\n\nlog-most 64MB",
        '# first\n[state]\r\n  folder   "/var/lib/x"\r\n\tgather 0.02s\r\nlog-most 64MB\r\n',
        "include part_conf",
    ],
)
def test_a_file_is_read_with_includes_units_and_defaults(tmp_path, text):
    values = read(
        tmp_path,
        text.replace("_", "."),
        part_conf="[state]\nfolder /var/lib/x\ngather 20ms\nlog-most 64MB\n",
    )
    assert values["state"] == {
        "folder": "/var/lib/x",
        "gather": 20.0,
        "pending": 20_000,
        "log-most": 64 << 20,
        "again": 500.0,
        "again-most": 30_000.0,
    }


def test_an_empty_file_enables_nothing(tmp_path):
    assert read(tmp_path, "# nothing\n\n") == {}


@pytest.mark.parametrize(
    "text, position, expected",
    [
        ("[stat]\n", "1:1", "did you mean 'state'?"),
        ("[state]\nfoldr /x\n", "2:1", "did you mean 'folder'?"),
        ("folder /x\n", "1:1", "before any [section]"),
        ("[state]\n", "1:1", "needs 'folder'"),
        ("[state]\nfolder x\n", "2:1", "path from the root"),
        ("[state]\nfolder /x\ngather 5\n", "3:1", "units ms, s"),
        ("[state]\nfolder /x\ngather 5h\n", "3:1", "0ms to 10s"),
        ("[state]\nfolder /x\ngather -5ms\n", "3:1", "a time"),
        ("[state]\nfolder /x\nlog-most 5ms\n", "3:1", "units B, kB"),
        ("[state]\nfolder /x\npending many\n", "3:1", "whole number"),
        ("[state]\nfolder /x /y\n", "2:1", "one value, not 2"),
        ("[state]\nfolder /x\nfolder /y\n", "3:1", "given before"),
        ("[state\n", "1:", "cannot read"),
        ("[state]\nfolder\n", "2:", "cannot read"),
        ("[state]\n= 5\n", "2:1", "no key|cannot read"),
        ('[state]\nfolder "/x\n', "2:", "cannot read"),
        ("Folder /x\n", "1:", "cannot read"),
    ],
)
def test_an_error_states_its_position_and_what_was_expected(tmp_path, text, position, expected):
    with pytest.raises(reader.OperatorFileError) as error:
        read(tmp_path, text)
    message = str(error.value)
    assert (
        f"main.conf:{position}" in message
        and any(part in message for part in expected.split("|"))
        and "\n" not in message
    )


@pytest.mark.parametrize(
    "files, expected",
    [
        ({"main": "include main.conf\n"}, "includes itself"),
        ({"main": "include none.conf\n"}, "No such file"),
        ({"main": "include a.conf\n", "a": "include main.conf\n"}, "includes itself"),
    ],
)
def test_a_missing_or_recursive_include_is_rejected(tmp_path, files, expected):
    for name, text in files.items():
        (tmp_path / f"{name}.conf").write_text(text)
    with pytest.raises(reader.OperatorFileError, match=expected):
        reader.read(str(tmp_path / "main.conf"))


def test_a_file_that_is_not_utf_8_is_rejected_with_the_line(tmp_path):
    (tmp_path / "main.conf").write_bytes(b"[state]\n\xff\xfe\n")
    with pytest.raises(reader.OperatorFileError, match="main.conf:2:1: not UTF-8"):
        reader.read(str(tmp_path / "main.conf"))


def test_the_example_file_is_valid_and_mentions_every_key():
    path = ROOT / "deploy" / "havendyke.conf.example"
    assert reader.read(str(path))["state"]["folder"]
    assert all(key.name in path.read_text() for key in schema.KEYS)
