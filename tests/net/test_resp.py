"""RESP messages: splits at any position, and malformed messages."""

import pytest
from helpers import parse_in_parts

from havendyke.net.resp import RespParser, encode

MESSAGES = (
    encode("SOURCE", "az", "a")
    + encode("LOAD", "az", "a", "host", "s-1", "report", "")
    + encode("PING")
)


def test_messages_split_anywhere_are_parsed_the_same():
    messages = parse_in_parts(RespParser, MESSAGES, [])
    assert len(messages) == 3
    assert parse_in_parts(RespParser, MESSAGES, range(1, len(MESSAGES))) == messages
    for position in range(1, len(MESSAGES)):
        assert parse_in_parts(RespParser, MESSAGES, [position]) == messages


@pytest.mark.parametrize(
    "data",
    [
        b"+PING\r\n",
        b"*-2\r\n",
        b"$1\r\na\r\n",
        b"*1\r\n$2\r\nabc\r\n",
        b"*99999999\r\n",
        b"*1\r\n$5000\r\n",
        b"*" + b"1" * 40,
    ],
)
def test_malformed_messages_are_rejected(data):
    with pytest.raises(ValueError):
        parse_in_parts(RespParser, data, [])
