"""HTTP/1.1 requests and responses, independent of sockets.

Responses are parsed as in RFC 9112: with Content-Length, chunked, or up to the connection's end.
What the RFC leaves to the recipient is rejected if two parsers could interpret it differently.
"""

import re
from enum import Enum

from ..fields import FieldError
from .buffer import Buffer, MessageTooLongError

STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9][0-9])( .*)?", re.S)
CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,12}")

# Of all heads and the trailer of one response together: the number of interim responses and trailer
# fields has no limit of its own.
MAX_HEADER_LINES = 100
MAX_QUOTED_BYTES = 60
MAX_ERROR_CHARS = 100

STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_NOT_MODIFIED = 304
STATUS_SERVICE_UNAVAILABLE = 503


class ResponseState(Enum):
    """The element of a response that comes next."""

    STATUS_LINE = "status line"
    HEADERS = "headers"
    SIZED_BODY = "sized body"
    CHUNK_SIZE = "chunk size"
    CHUNK_DATA = "chunk data"
    CHUNK_END = "chunk end"
    TRAILER = "trailer"
    BODY_TO_END = "body up to the connection's end"
    DONE = "done"


HEAD_STATES = (ResponseState.STATUS_LINE, ResponseState.HEADERS)
BODY_STATES = (ResponseState.SIZED_BODY, ResponseState.CHUNK_DATA, ResponseState.BODY_TO_END)


def get_request(path: str, host: tuple[str, int], headers: str = "") -> bytes:
    """Encodes a GET request; `headers` are complete lines."""
    return f"GET {path} HTTP/1.1\r\nHost: {host[0]}:{host[1]}\r\n{headers}\r\n".encode()


class ResponseParser:
    """Incremental parser of one response.

    Raises `FieldError` if the response is malformed, `MessageTooLongError` if its head is too long.
    """

    def __init__(self, buffer: Buffer, max_line_size: int) -> None:
        """`max_line_size`: bytes of a line, and of all header lines of the response together."""
        self.state = ResponseState.STATUS_LINE
        self.status = 0
        self._buffer = buffer
        self._max_line_size = max_line_size
        self._body_bytes_left = 0
        self._searched_bytes = 0  # bytes that were already searched for a line end
        self._header_lines = 0
        self._header_bytes = 0
        self._headers: dict[bytes, list[bytes]] = {}
        self._last_header: bytes | None = None

    @property
    def head_complete(self) -> bool:
        """Whether `status` is the final one and the whole head was parsed."""
        return self.state not in HEAD_STATES

    @property
    def done(self) -> bool:
        """Whether the response is complete."""
        return self.state is ResponseState.DONE

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body ends with the connection."""
        return self.state is ResponseState.BODY_TO_END

    def next(self) -> memoryview | None:
        """The next part of the body, as a slice that is valid until the buffer receives more.

        None if the response is complete or more bytes are needed.
        """
        while not self.done:
            if self.state in BODY_STATES:
                return self._body_part()
            line = self._next_line()
            if line is None:
                return None
            self._parse_line(line)
        return None

    def _body_part(self) -> memoryview | None:
        start = self._buffer.start
        size = self._buffer.end - start
        if self.state is not ResponseState.BODY_TO_END:
            size = min(size, self._body_bytes_left)
        if not size:
            return None
        self._buffer.start += size
        if self.state is not ResponseState.BODY_TO_END:
            self._body_bytes_left -= size
            if not self._body_bytes_left:
                sized = self.state is ResponseState.SIZED_BODY
                self.state = ResponseState.DONE if sized else ResponseState.CHUNK_END
        return memoryview(self._buffer.data)[start : start + size]

    def _next_line(self) -> bytes | None:
        data, start = self._buffer.data, self._buffer.start
        line_end = data.find(b"\n", start + self._searched_bytes, self._buffer.end)
        if (self._buffer.end if line_end < 0 else line_end) - start > self._max_line_size:
            raise MessageTooLongError(f"a header line is longer than {self._max_line_size} bytes")
        if line_end < 0:
            self._searched_bytes = self._buffer.end - start
            return None
        self._searched_bytes = 0
        self._buffer.start = line_end + 1
        return bytes(data[start:line_end]).rstrip(b"\r")

    def _parse_line(self, line: bytes) -> None:
        match self.state:
            case ResponseState.STATUS_LINE:
                self._parse_status_line(line)
            case ResponseState.HEADERS:
                self._parse_head_line(line)
            case ResponseState.CHUNK_SIZE:
                self._parse_chunk_size(line)
            case ResponseState.CHUNK_END:
                if line:
                    raise FieldError("a chunk does not end after its size")
                self.state = ResponseState.CHUNK_SIZE
            case ResponseState.TRAILER if line:
                self._count_header_line(line)
            case ResponseState.TRAILER:
                self.state = ResponseState.DONE

    def _parse_status_line(self, line: bytes) -> None:
        matched = STATUS_LINE.fullmatch(line)
        if matched is None:
            raise FieldError(f"invalid status line {line[:MAX_QUOTED_BYTES]!r}")
        self.status = int(matched[1])
        self.state = ResponseState.HEADERS
        self._headers = {}
        self._last_header = None

    def _parse_head_line(self, line: bytes) -> None:
        if line:
            self._count_header_line(line)
            self._parse_header(line)
        elif self.status < STATUS_OK:
            # Another head follows an interim response.
            self._count_header_line(line)
            self.state = ResponseState.STATUS_LINE
        else:
            self._choose_framing()

    def _parse_header(self, line: bytes) -> None:
        if line[:1] in b" \t":
            # Obsolete line folding: taken by itself, the line could pass for another header.
            if self._last_header is None:
                raise FieldError(f"invalid header line {line[:MAX_QUOTED_BYTES]!r}")
            self._headers[self._last_header][-1] += b" " + line.strip()
            return
        name, colon, value = line.partition(b":")
        if not colon:
            raise FieldError(f"invalid header line {line[:MAX_QUOTED_BYTES]!r}")
        self._last_header = name.strip().lower()
        self._headers.setdefault(self._last_header, []).append(value.strip())

    def _count_header_line(self, line: bytes) -> None:
        self._header_lines += 1
        self._header_bytes += len(line)
        if self._header_lines > MAX_HEADER_LINES:
            raise MessageTooLongError(f"more than {MAX_HEADER_LINES} header lines")
        if self._header_bytes > self._max_line_size:
            raise MessageTooLongError(f"a head is longer than {self._max_line_size} bytes")

    def _choose_framing(self) -> None:
        """Determines how the body ends; contradictory headers are an error."""
        codings = {value.lower() for value in self._headers.get(b"transfer-encoding", ())}
        lengths = set(self._headers.get(b"content-length", ()))
        if codings:
            if codings != {b"chunked"}:
                raise FieldError(
                    f"unsupported transfer-encoding {sorted(codings)!r}"[:MAX_ERROR_CHARS]
                )
            self.state = ResponseState.CHUNK_SIZE
        elif lengths or self.status in (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED):
            lengths = lengths or {b"0"}
            if len(lengths) > 1 or not CONTENT_LENGTH.fullmatch(min(lengths)):
                raise FieldError(f"invalid content-length {sorted(lengths)!r}"[:MAX_ERROR_CHARS])
            self._body_bytes_left = int(min(lengths))
            self.state = ResponseState.SIZED_BODY if self._body_bytes_left else ResponseState.DONE
        else:
            self.state = ResponseState.BODY_TO_END

    def _parse_chunk_size(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not CHUNK_SIZE.fullmatch(size):
            raise FieldError(f"invalid chunk size {line[:20]!r}")
        self._body_bytes_left = int(size, 16)
        self.state = ResponseState.CHUNK_DATA if self._body_bytes_left else ResponseState.TRAILER
