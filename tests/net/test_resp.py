"""RESP messages: splits at any position, malformed messages, and those with too many parts."""

import pytest
from helpers import parse_in_parts

from havendyke.net.buffer import Buffer, BufferBudget
from havendyke.net.resp import MessageSkippedError, RespParser, encode

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


MANY_PARTS = [
    b"*9\r\n" + b"$1\r\nx\r\n" * 9,
    b"*2\r\n*7\r\n" + b":1\r\n" * 7 + b"$1\r\nx\r\n",
    b"*8\r\n" + b"+\r\n" * 7 + b"*1\r\n*1\r\n$0\r\n\r\n",
]


def read_all(parser):
    """The messages until more bytes are needed; `skipped` for each skipped one."""
    messages = []
    while True:
        try:
            message = parser.next()
        except MessageSkippedError:
            messages.append("skipped")
            continue
        if message is not None:
            messages.append([bytes(part) for part in message])
        elif not parser.is_behind:
            return messages


@pytest.mark.parametrize("too_many", MANY_PARTS)
@pytest.mark.parametrize("read_size", [1, 2, 7, 1000])
def test_a_message_with_too_many_parts_is_skipped_and_the_next_one_is_read(too_many, read_size):
    data = encode("PING") + too_many + encode("x", "y")
    buffer, messages = Buffer(16, 4096), []
    parser = RespParser(buffer, 4096, max_parts=8)
    for start in range(0, len(data), read_size):
        buffer.append(data[start : start + read_size])
        messages += read_all(parser)
    assert messages == [[b"PING"], "skipped", [b"x", b"y"]]


# Guards against more memory than the limit: the parts of hundreds of unfinished messages were kept,
# each at twenty times its bytes.
def test_an_unfinished_message_of_very_many_parts_takes_no_memory():
    budget = BufferBudget(1e6)
    buffer = Buffer(4096, 1 << 20, budget)
    parser = RespParser(buffer, 1 << 20)
    buffer.append(b"*140000\r\n")
    for _ in range(139_000 // 500):
        buffer.append(b"$1\r\nx\r\n" * 500)
        assert read_all(parser) == []
        assert len(buffer.data) == 4096 and budget.left == 1e6 and not parser._parts


def test_a_skipped_message_is_still_limited_in_bytes():
    buffer = Buffer(16, 4096)
    parser = RespParser(buffer, 1000, max_parts=8)
    buffer.append(b"*160\r\n" + b"$5\r\nabcde\r\n" * 160)
    with pytest.raises(ValueError, match="longer than 1000"):
        read_all(parser)


def test_one_call_parses_a_limited_number_of_parts():
    buffer = Buffer(1 << 16, 1 << 20)
    parser = RespParser(buffer, 1 << 20, max_parts=50)
    buffer.append(b"*5000\r\n" + b":\r\n" * 5000)
    left = []
    while parser.next() is None and parser.is_behind:
        left.append(buffer.end - buffer.start)
        if len(left) > 98:
            break
    assert all(0 < before - after <= 50 * 3 for before, after in zip(left, left[1:], strict=False))
    assert len(left) > 90
