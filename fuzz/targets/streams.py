"""Incremental parsers: the result must not depend on how the bytes are split, and must equal that
of a reference parser."""

from havendyke.fields import FieldError
from havendyke.net.buffer import Buffer, BufferBudget, MessageTooLongError
from havendyke.net.http import ResponseParser
from havendyke.net.json_lines import LineParser
from havendyke.net.resp import MessageSkippedError, RespParser, encode

from .. import reference
from ..draw import Draw
from ..registry import check, register

MAX_MESSAGE_BYTES, MIN_BUFFER_BYTES, MAX_HEADER_LINE_BYTES = 600, 16, 200
MAX_MESSAGE_PARTS = 20
MAX_EXHAUSTIVE_BYTES = 160  # longer inputs are split at drawn positions, not at every one
# Bounds on the work of a parser, which must be linear in the bytes, chunks and messages
MAX_STEPS_PER_BYTE = 12
MAX_STEPS_PER_CHUNK = 64


class CountingBytes(bytearray):
    """Counts the bytes that are searched, which measures work independently of time."""

    searched_bytes = 0

    def find(self, needle, start=0, end=None):
        found = bytearray.find(self, needle, start, len(self) if end is None else end)
        CountingBytes.searched_bytes += (
            (found if found >= 0 else len(self) if end is None else end) - start + 1
        )
        return found


class CountingBuffer(Buffer):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.data = CountingBytes(self.data)

    def _allocate(self, size):
        CountingBytes.searched_bytes += self.end - self.start
        return CountingBytes(super()._allocate(size))


class ResponseReader:
    """Adapts the response parser to the interface of the message parsers."""

    def __init__(self, buffer, max_message_bytes):
        self.response, self.body = ResponseParser(buffer, MAX_HEADER_LINE_BYTES), b""

    def next(self):
        while (part := self.response.next()) is not None:
            self.body += bytes(part)
        return None

    def result(self, verdict):
        verdict = "done" if self.response.done and verdict == "more" else verdict
        body_started = self.response.head_complete and (self.body or verdict == "done")
        return (self.response.status if body_started else 0, self.body), verdict


def complete_messages(parser):
    while True:
        try:
            item = parser.next()
        except MessageSkippedError:
            yield reference.SKIPPED
            continue
        if isinstance(item, list):
            yield [None if i is None else bytes(i) for i in item]
        elif item is not None:
            yield bytes(item)
        elif not getattr(parser, "is_behind", False):
            return


def make_resp_parser(buffer, max_message_bytes):
    return RespParser(buffer, max_message_bytes, MAX_MESSAGE_PARTS)


def parse_chunks(make_parser, data: bytes, cuts):
    """Parses the bytes in the given chunks; returns the messages and the verdict."""
    buffer, messages, verdict = (
        CountingBuffer(MIN_BUFFER_BYTES, MAX_MESSAGE_BYTES, BufferBudget(1e9)),
        [],
        "more",
    )
    parser, fed_bytes, CountingBytes.searched_bytes, chunks = (
        make_parser(buffer, MAX_MESSAGE_BYTES),
        0,
        0,
        0,
    )
    try:
        for chunk in [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)])]:
            while chunk:
                free_space = buffer.free_space()
                count = min(len(free_space), len(chunk))
                free_space[:count] = chunk[:count]
                buffer.end += count
                fed_bytes, chunk, chunks = fed_bytes + count, chunk[count:], chunks + 1
                messages += complete_messages(parser)
                check(
                    len(buffer.data) <= max(2 * MIN_BUFFER_BYTES, 2 * fed_bytes + MIN_BUFFER_BYTES),
                    "a buffer of",
                    len(buffer.data),
                    "bytes after",
                    fed_bytes,
                )
    except (FieldError, MessageTooLongError):
        verdict = "bad"
    # Growth of the buffer copies bytes and a search covers new bytes: constant work per byte in
    # total.
    check(
        CountingBytes.searched_bytes
        <= MAX_STEPS_PER_BYTE * fed_bytes + MAX_STEPS_PER_CHUNK * (chunks + len(messages) + 1),
        "work of",
        CountingBytes.searched_bytes,
        "steps for",
        fed_bytes,
        "bytes in",
        chunks,
        "chunks",
    )
    return parser.result(verdict) if isinstance(parser, ResponseReader) else (messages, verdict)


def check_all_splits(make_parser, expected, data: bytes, cut_source: bytes):
    uncut = parse_chunks(make_parser, data, [])
    check(uncut == expected, "read", uncut, "instead of the reference's", expected)
    if len(data) <= MAX_EXHAUSTIVE_BYTES:
        for cut in range(1, len(data)):
            split = parse_chunks(make_parser, data, [cut])
            check(split == uncut, "cut at", cut, "gives", split, "instead of", uncut)
        cuts = range(1, len(data))
    else:
        draw = Draw(cut_source)
        cuts = sorted({1 + draw.below(len(data) - 1) for _ in range(12)})
    split = parse_chunks(make_parser, data, cuts)
    check(split == uncut, "cut at", list(cuts)[:20], "gives", split, "instead of", uncut)


def reference_result(result):
    """The result of the reference parser in the form of `ResponseReader.result`."""
    status, body, verdict = result
    return (status if body or verdict == "done" else 0, body), verdict


RESP_SEEDS = [
    encode("PING"),
    encode("SOURCE", "az", "a") + encode("LOAD", "az", "a", "host", "s-1", "n", "2", "report", ""),
    b"*0\r\n*1\r\n$4\r\nPI",
    b"*2\r\n$-1\r\n:5\r\n",
    b"*2\r\n*2\r\n$1\r\na\r\n$0\r\n\r\n+OK\r\n",
    b"*-1\r\n*-2\r\n",
    b"*1\r\n$600\r\n",
    b"*100\r\n",
    b"*101\r\n",
    b"*1\r\n$2\r\nabc\r\n",
    b"*1\r\n$" + b"0" * 28 + b"1\r\na\r\n",
    b"*1\r\n$" + b"0" * 40,
    b"+PING\r\n",
    encode("x" * 590),
    encode("x" * 584),
    encode("x" * 586) * 2,
    b"*1\r\n" * 30 + b"$1\r\na\r\n",
    b"*12\r\n" + b"+\r\n" * 12,
    b"*21\r\n" + b"+\r\n" * 21 + encode("PING"),
    b"*20\r\n" + b"$1\r\na\r\n" * 19 + b"*2\r\n" * 3 + b"+\r\n" * 4 + encode("PING"),
    b"*90\r\n" + b"$1\r\na\r\n" * 90,
    b"GET / HTTP/1.1\r\n\r\n",
]


@register(
    name="resp",
    description="RESP2 messages of collectors",
    seeds=lambda: RESP_SEEDS,
    covers=("net/resp", "net/buffer"),
    dictionary=(
        b"\r\n",
        b"*",
        b"$",
        b"-1",
        b"*1\r\n",
        b"$1\r\n",
        b"$0\r\n",
        b":",
        b"+",
        b"99999999999",
        b"\r",
    ),
)
def resp(data):
    expected = reference.resp(data, MAX_MESSAGE_BYTES, MAX_MESSAGE_PARTS)
    check_all_splits(make_resp_parser, expected, data, data[-12:])


LINE_SEEDS = [
    b'{"a":1}\n\r\n{"b":"\xc3\xa9"}\r\n',
    b"\n\n\r\n\r\r\n",
    b"x" * 600 + b"\n",
    b"x" * 601 + b"\n",
    b"x" * 700,
    b"x" * 599 + b"\r\ny\n",
    b"a\rb\n",
]


@register(
    name="lines",
    description="JSON lines of the relay and of discovery",
    seeds=lambda: LINE_SEEDS,
    covers=("net/json_lines", "net/buffer"),
    dictionary=(b"\n", b"\r\n", b"\r"),
)
def lines(data):
    check_all_splits(LineParser, reference.lines(data, MAX_MESSAGE_BYTES), data, data[-12:])


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
HTTP_SEEDS = [
    CHUNKED + b"5;x=y\r\nab\nc\n\r\n0A\r\n0123456789\r\n0\r\nX-More: 1\r\n\r\n",
    CHUNKED + b"0\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: 4\r\n\r\nbusy",
    OK + b"\r\nto the end",
    b"HTTP/1.1 204 No Content\n\n",
    OK + b"X: a\r\n Content-Length: 5\r\n\r\nabcdefgh",
    OK + b" x\r\n\r\n",
    OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
    OK + b"Content-Length: 3\r\ncontent-length: 3\r\n\r\nabc",
    OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
    b"HTTP/1.1 000 X\r\n" + OK + b"\r\nabc",
    OK + b"Content-Length: " + b"9" * 60 + b"\r\n\r\nabc",
    CHUNKED + b"F" * 40 + b"\r\nabc",
    CHUNKED + b"0x5\r\nabcde",
    CHUNKED + b"1_0\r\nabc",
    CHUNKED + b"-1\r\n",
    CHUNKED + b"1\r\nab\r\n",
    OK + b"no colon\r\n\r\n",
    OK + b"X: y" * 60,
    b"SMTP 200\r\n",
    b"HTTP/1.1 OK\r\n\r\n",
    b"HTTP/1.1 " + b"2" * 190 + b"\r\n\r\n",
    b"HTTP/1.1 503\r\nContent-Length:0\r\n\r\n",
    OK + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 101 S\r\n\r\n" + OK,
    OK + b"a:b\r\n" * 101 + b"\r\n",
    b"\r\n" + OK + b"\r\n",
    b"HTTP/1.1 304 N\r\nContent-Length: 3\r\n\r\nabc",
]


@register(
    name="http",
    description="HTTP responses of discovery and of health checks",
    seeds=lambda: HTTP_SEEDS,
    covers=("net/http", "net/buffer"),
    dictionary=(
        b"HTTP/1.1 ",
        b"200",
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Length: ",
        b"\r\n",
        b"\r\n\r\n",
        b"0\r\n\r\n",
        b"\n ",
        b";x=y",
        b"0x",
        b"_",
        b"ffffffffffffffff",
        b"100",
        b"\t",
    ),
)
def http(data):
    check_all_splits(
        ResponseReader,
        reference_result(reference.response(data, MAX_HEADER_LINE_BYTES)),
        data,
        data[-12:],
    )


class BufferOperations:
    """Buffer operations in any order, compared with a plain copy of the unread bytes."""

    def __init__(self):
        self.budget = BufferBudget(4000)
        self.buffer, self.expected, self.serial = (
            Buffer(MIN_BUFFER_BYTES, MAX_MESSAGE_BYTES, self.budget),
            b"",
            0,
        )

    def run_step(self, operation, size):
        if operation == 0:
            free_space = self.buffer.free_space()
            check(len(free_space) > 0, "no free space and no error")
            count = min(size, len(free_space))
            self.serial = (self.serial + 1) % 256
            chunk = bytes([self.serial]) * count
            free_space[:count] = chunk
            self.buffer.end += count
            self.expected += chunk
        elif operation == 1:
            count = min(size, self.buffer.end - self.buffer.start)
            self.buffer.start += count
            self.expected = self.expected[count:]
        elif operation == 2:
            self.serial = (self.serial + 1) % 256
            chunk = bytes([self.serial]) * size
            try:
                self.buffer.append(chunk)
                self.expected += chunk
            except MessageTooLongError:
                return False
        else:
            self.buffer.release()
            self.expected = b""
        unread = bytes(self.buffer.data[self.buffer.start : self.buffer.end])
        check(unread == self.expected, "holds", unread, "instead of", self.expected)
        check(
            self.budget.left + len(self.buffer.data) - MIN_BUFFER_BYTES == 4000,
            "the budget is",
            self.budget.left,
            "with",
            len(self.buffer.data),
            "bytes allocated",
        )
        return True


@register(
    name="buffer",
    description="the buffer of a connection and the budget shared by all",
    covers=("net/buffer",),
    step_size=2,
    seeds=lambda: [
        bytes([0, 10, 1, 5, 0, 200, 2, 255, 1, 100, 2, 255, 2, 255, 2, 255]),
        bytes([2, 255] * 4),
        bytes([0, 16, 0, 16, 1, 16, 0, 16, 3, 0, 0, 5]),
        bytes([2, 100, 1, 99, 0, 0, 0, 30]),
    ],
)
def buffer(data):
    draw, operations = Draw(data), BufferOperations()
    while not draw.exhausted:
        try:
            if not operations.run_step(draw.below(4), draw.byte()):
                break
        except MessageTooLongError:
            check(
                len(operations.expected) > MAX_MESSAGE_BYTES - MIN_BUFFER_BYTES
                or operations.budget.left < 2 * len(operations.buffer.data),
                "too long with",
                len(operations.expected),
                "unread bytes",
            )
            break
    operations.buffer.release()
    check(operations.budget.left == 4000, "after release the budget is", operations.budget.left)
