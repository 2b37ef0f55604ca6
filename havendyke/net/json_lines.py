"""Incremental, zero-copy parser of newline-delimited JSON, independent of sockets."""

from typing import Any

import orjson

from ..fields import FieldError
from .buffer import Buffer, MessageTooLongError

CARRIAGE_RETURN = ord("\r")


class LineParser:
    """Splits the bytes of one connection into lines, which end with LF or CRLF."""

    def __init__(self, buffer: Buffer, max_line_bytes: int) -> None:
        """Starts at the beginning of the buffer."""
        self.buffer = buffer
        self.max_line_bytes = max_line_bytes
        # Bytes of the incomplete line that were already searched for its end.
        self._searched_bytes = 0

    def next(self) -> memoryview | None:
        """The next line without its line end, or None if none is complete.

        The view is valid until the buffer receives more. Raises `MessageTooLongError`.
        """
        data, start = self.buffer.data, self.buffer.start
        line_end = data.find(b"\n", start + self._searched_bytes, self.buffer.end)
        size = (self.buffer.end if line_end < 0 else line_end) - start
        if size > self.max_line_bytes:
            raise MessageTooLongError(f"a line is longer than {self.max_line_bytes} bytes")
        if line_end < 0:
            self._searched_bytes = size
            return None
        self._searched_bytes, self.buffer.start = 0, line_end + 1
        has_carriage_return = line_end > start and data[line_end - 1] == CARRIAGE_RETURN
        return memoryview(data)[start : line_end - 1 if has_carriage_return else line_end]

    def has_partial_line(self) -> bool:
        """Whether the buffer holds an incomplete line."""
        return self.buffer.end > self.buffer.start


def parse_object(line: memoryview) -> dict[str, Any]:
    """Parses a JSON object; raises `FieldError` for anything else."""
    try:
        parsed = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise FieldError(f"not JSON: {error}") from None
    if not isinstance(parsed, dict):
        raise FieldError("not a JSON object")
    return parsed
