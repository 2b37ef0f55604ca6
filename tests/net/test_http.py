"""HTTP responses: split at every position, malformed, and ambiguous."""

import pytest
from helpers import parse_in_parts

from havendyke.fields import FieldError
from havendyke.net.buffer import Buffer, MessageTooLongError
from havendyke.net.http import ResponseParser


class Body:
    """The status and the body of a response, as one item once it is complete."""

    def __init__(self, buffer, max_line_size):
        self.parser, self.body = ResponseParser(buffer, max_line_size), b""

    def next(self):
        while (part := self.parser.next()) is not None:
            self.body += bytes(part)
        if self.parser.done and self.body is not None:
            body, self.body = self.body, None
            return self.parser.status, body
        return None


CHUNKED = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;x=y\r\nab\nc\n\r\n0A\r\n0123456789\r\n0\r\nX-More: 1\r\n\r\n"
)


SIZED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"


CASES = [
    (Body, CHUNKED, 1),
    (Body, SIZED, 1),
    (Body, b"HTTP/1.1 204 No Content\n\n", 1),
]


@pytest.mark.parametrize("make_parser, data, count", CASES)
def test_a_response_split_anywhere_is_parsed_the_same(make_parser, data, count):
    unsplit = parse_in_parts(make_parser, data, [])
    assert len(unsplit) == count
    assert parse_in_parts(make_parser, data, range(1, len(data))) == unsplit
    for position in range(1, len(data)):
        assert parse_in_parts(make_parser, data, [position]) == unsplit


@pytest.mark.parametrize(
    "make_parser, data",
    [
        (Body, b"SMTP 200\r\n"),
        (Body, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"),
        (Body, b"HTTP/1.1 OK\r\n\r\n"),
        (Body, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"),
        (Body, b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n"),
        (Body, b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n"),
    ],
)
def test_a_malformed_response_is_rejected(make_parser, data):
    with pytest.raises(ValueError):
        parse_in_parts(make_parser, data, [])


@pytest.mark.parametrize(
    "head, body",
    [
        (b"X: a\r\n Content-Length: 2", b"to the end"),
        (b"Content-Length: 2\r\ncontent-length: 2", b"to"),
    ],
)
def test_a_folded_line_continues_the_previous_header(head, body):
    buffer = Buffer(64, 4096)
    parser = ResponseParser(buffer, 1024)
    buffer.append(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\nto the end")
    assert bytes(parser.next()) == body


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 2\r\nContent-Length: 3",
        b"Transfer-Encoding: gzip, chunked",
        b"Content-Length: " + b"9" * 5000,
        b"a: b\r\n" * 101 + b"a: b",
        b" folded: first",
    ],
)
def test_an_ambiguous_head_is_rejected(head):
    buffer = Buffer(64, 1 << 14)
    parser = ResponseParser(buffer, 1 << 14)
    buffer.append(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\nabc")
    with pytest.raises((FieldError, MessageTooLongError)):
        while parser.next() is not None:
            pass


# Guards against more memory than the limit: a hundred lines of 16 KiB each were kept for every
# health check that runs.
def test_the_lines_of_a_head_are_limited_together():
    line = b"X-Header: " + b"v" * 90 + b"\r\n"
    head = b"HTTP/1.1 200 OK\r\n"
    accepted, rejected = head + line * 9, head + line * 11
    assert parse(accepted, 1000) is None
    with pytest.raises(MessageTooLongError):
        parse(rejected, 1000)


def parse(data, max_line_size):
    buffer = Buffer(16, 1 << 16)
    buffer.append(data)
    return ResponseParser(buffer, max_line_size).next()
