"""Parsers of bytes: the same messages however the bytes are cut, and the same as a plain reader
gives."""

from havendyke.fields import FieldError
from havendyke.net.buffer import Buffer, BufferBudget, MessageTooLongError
from havendyke.net.http import ResponseParser
from havendyke.net.json_lines import LineParser
from havendyke.net.resp import RespParser, encode

from .. import reference
from ..draw import Draw
from ..registry import check, register

MOST, LEAST, HEADLINE = 600, 16, 200
EVERY = 160  # bytes up to which an input is cut at every position; drawn cuts beyond
WORK, HEADS = (
    12,
    64,
)  # steps a byte, and a message or piece, that a parser may take: linear, with room


class Counted(bytearray):
    """Counts the bytes that are searched, so that work is told in steps and not in time."""

    looked = 0

    def find(self, what, start=0, end=None):
        found = bytearray.find(self, what, start, len(self) if end is None else end)
        Counted.looked += (found if found >= 0 else len(self) if end is None else end) - start + 1
        return found


class CountedBuffer(Buffer):
    def __init__(self, *told):
        super().__init__(*told)
        self.data = Counted(self.data)

    def _allocate(self, size):
        Counted.looked += self.end - self.start
        return Counted(super()._allocate(size))


class Body:
    """An answer as a parser of one message: its status and body once it is over."""

    def __init__(self, buffer, most):
        self.response, self.body = ResponseParser(buffer, HEADLINE), b""

    def next(self):
        while (part := self.response.next()) is not None:
            self.body += bytes(part)
        return None

    def seen(self, verdict):
        verdict = "done" if self.response.done and verdict == "more" else verdict
        begun = self.response.head_complete and (self.body or verdict == "done")
        return (self.response.status if begun else 0, self.body), verdict


def read(make, data: bytes, cuts):
    """What comes of the bytes in these pieces: what was found, and the verdict."""
    buffer, found, verdict = CountedBuffer(LEAST, MOST, BufferBudget(1e9)), [], "more"
    parser, fed, Counted.looked, pieces = make(buffer, MOST), 0, 0, 0
    try:
        for part in [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)])]:
            while part:
                room = buffer.free_space()
                count = min(len(room), len(part))
                room[:count] = part[:count]
                buffer.end += count
                fed, part, pieces = fed + count, part[count:], pieces + 1
                while (item := parser.next()) is not None:
                    found.append(
                        [None if i is None else bytes(i) for i in item]
                        if isinstance(item, list)
                        else bytes(item)
                    )
                check(
                    len(buffer.data) <= max(2 * LEAST, 2 * fed + LEAST),
                    "a buffer of",
                    len(buffer.data),
                    "bytes after",
                    fed,
                )
    except (FieldError, MessageTooLongError):
        verdict = "bad"
    # Bytes are copied at each growth and searched anew in the part that came: a constant for a byte
    # in all.
    check(
        Counted.looked <= WORK * fed + HEADS * (pieces + len(found) + 1),
        "work of",
        Counted.looked,
        "steps for",
        fed,
        "bytes in",
        pieces,
        "pieces",
    )
    return parser.seen(verdict) if isinstance(parser, Body) else (found, verdict)


def same_however_cut(make, told, data: bytes, tail: bytes):
    whole = read(make, data, [])
    check(whole == told, "read", whole, "where a plain reader has", told)
    if len(data) <= EVERY:
        for cut in range(1, len(data)):
            seen = read(make, data, [cut])
            check(seen == whole, "cut at", cut, "gives", seen, "instead of", whole)
        cuts = range(1, len(data))
    else:
        draw = Draw(tail)
        cuts = sorted({1 + draw.below(len(data) - 1) for _ in range(12)})
    seen = read(make, data, cuts)
    check(seen == whole, "cut at", list(cuts)[:20], "gives", seen, "instead of", whole)


def begun(told):
    """The reference's verdict as `Body.seen` puts it."""
    status, body, verdict = told
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
    b"GET / HTTP/1.1\r\n\r\n",
]


@register(
    name="resp",
    description="RESP2 messages of callers",
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
    same_however_cut(RespParser, reference.resp(data, MOST), data, data[-12:])


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
    description="lines of the relay and of discovery",
    seeds=lambda: LINE_SEEDS,
    covers=("net/json_lines", "net/buffer"),
    dictionary=(b"\n", b"\r\n", b"\r"),
)
def lines(data):
    same_however_cut(LineParser, reference.lines(data, MOST), data, data[-12:])


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
    description="answers of discovery and of probed servers",
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
    same_however_cut(Body, begun(reference.response(data, HEADLINE)), data, data[-12:])


class Script:
    """Reads and additions in any order against a plain list of the bytes that no message has
    taken."""

    def __init__(self):
        self.budget = BufferBudget(4000)
        self.buffer, self.bytes, self.serial = Buffer(LEAST, MOST, self.budget), b"", 0

    def step(self, kind, size):
        if kind == 0:
            room = self.buffer.free_space()
            check(len(room) > 0, "no room without an error")
            count = min(size, len(room))
            self.serial = (self.serial + 1) % 256
            told = bytes([self.serial]) * count
            room[:count] = told
            self.buffer.end += count
            self.bytes += told
        elif kind == 1:
            count = min(size, self.buffer.end - self.buffer.start)
            self.buffer.start += count
            self.bytes = self.bytes[count:]
        elif kind == 2:
            self.serial = (self.serial + 1) % 256
            told = bytes([self.serial]) * size
            try:
                self.buffer.append(told)
                self.bytes += told
            except MessageTooLongError:
                return False
        else:
            self.buffer.release()
            self.bytes = b""
        held = bytes(self.buffer.data[self.buffer.start : self.buffer.end])
        check(held == self.bytes, "holds", held, "instead of", self.bytes)
        check(
            self.budget.left + len(self.buffer.data) - LEAST == 4000,
            "the budget is",
            self.budget.left,
            "with",
            len(self.buffer.data),
            "held",
        )
        return True


@register(
    name="buffer",
    description="a connection's buffer and the budget of all",
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
    draw, script = Draw(data), Script()
    while not draw.exhausted:
        try:
            if not script.step(draw.below(4), draw.byte()):
                break
        except MessageTooLongError:
            check(
                len(script.bytes) > MOST - LEAST
                or script.budget.left < 2 * len(script.buffer.data),
                "too long with",
                len(script.bytes),
                "bytes held",
            )
            break
    script.buffer.release()
    check(script.budget.left == 4000, "after the end the budget is", script.budget.left)
