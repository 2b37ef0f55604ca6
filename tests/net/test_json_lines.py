"""Newline-delimited JSON: splits at any position, and invalid lines."""

import pytest
from helpers import parse_in_parts

from havendyke.net.json_lines import LineParser, parse_object

LINES = b'{"a":1}\n\r\n{"b":"\xc3\xa9"}\r\n'


def test_lines_split_anywhere_are_parsed_the_same():
    lines = parse_in_parts(LineParser, LINES, [])
    assert len(lines) == 3
    assert parse_in_parts(LineParser, LINES, range(1, len(LINES))) == lines
    for position in range(1, len(LINES)):
        assert parse_in_parts(LineParser, LINES, [position]) == lines


def test_a_line_over_the_limit_is_rejected():
    with pytest.raises(ValueError):
        parse_in_parts(LineParser, b"x" * 5000, [])


@pytest.mark.parametrize("line", [b"{", b"[1]", b"7", b"\xff"])
def test_a_line_that_is_not_a_json_object_is_rejected(line):
    with pytest.raises(ValueError):
        parse_object(memoryview(line))
