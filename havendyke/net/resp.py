"""Incremental, zero-copy parser of RESP2 arrays of bulk strings, independent of sockets."""

from ..config import Limits
from ..fields import FieldError
from .buffer import Buffer, MessageTooLongError

MAX_LENGTH_LINE_BYTES = 32  # longer than any valid length
MIN_PART_BYTES = 6  # an empty bulk string, the shortest part
TYPES = b"*$:+-"
ARRAY, BULK_STRING = ord("*"), ord("$")


class MessageSkippedError(FieldError):
    """A message had too many parts. It was skipped, and the next one can be parsed."""


class RespParser:
    """Splits the bytes of one connection into messages.

    The result does not depend on how the bytes are divided into reads. A message with more than
    `max_parts` parts is skipped, and takes neither memory nor space in the buffer.
    """

    def __init__(
        self, buffer: Buffer, max_message_bytes: int, max_parts: int = Limits.max_message_parts
    ) -> None:
        """Starts at the beginning of the buffer."""
        self.buffer = buffer
        self.max_message_bytes = max_message_bytes
        # Whether `next` returned None with bytes left to parse, to limit the time of the call.
        self.is_behind = False
        self._max_parts = max_parts
        self._offset = 0  # from the start of the message in the buffer
        self._parts_left = -1  # negative between messages
        # Start and end offset of each part; None for a part that is not a bulk string.
        self._parts: list[tuple[int, int] | None] = []
        self._skipped_bytes = 0  # of the present message
        self._skipped_in_call = 0
        self._skipping = False

    def next(self) -> list[memoryview | None] | None:
        """The parts of the next message, or None if none is complete or `is_behind` is set.

        A part that is not a bulk string is None. The views are valid until the buffer receives
        more. Raises `MessageSkippedError` after a skipped message, `FieldError` or
        `MessageTooLongError` if the stream cannot be parsed further.
        """
        self.is_behind = False
        if self._parts_left < 0 and not self._begin_message():
            return None
        while self._parts_left:
            if not self._parse_part():
                return None
            if self._skipping and self._skip_part():
                return None
        view, start = memoryview(self.buffer.data), self.buffer.start
        self._parts_left, self.buffer.start = -1, start + self._offset
        if self._skipping:
            self._skipping, self._skipped_bytes, self._skipped_in_call = False, 0, 0
            raise MessageSkippedError(f"a message has more than {self._max_parts} parts")
        return [part and view[start + part[0] : start + part[1]] for part in self._parts]

    def _begin_message(self) -> bool:
        self._offset, self._parts, start = 0, [], self.buffer.start
        if start < self.buffer.end and self.buffer.data[start] != ARRAY:
            raise FieldError(
                f"expected an array, got {bytes(self.buffer.data[start : start + 1])!r}"
            )
        length_line = self._parse_length_line()
        if length_line is None:
            return False
        self._parts_left = 0
        self._parts_left = self._array_size(length_line[1])
        return True

    def _skip_part(self) -> bool:
        """Forgets the part just parsed; returns whether the call has taken long enough."""
        self._parts = []
        self.buffer.start += self._offset
        self._skipped_bytes += self._offset
        self._offset = 0
        self._skipped_in_call += 1
        self.is_behind = self._skipped_in_call >= self._max_parts and self._parts_left > 0
        if self.is_behind:
            self._skipped_in_call = 0
        return self.is_behind

    def _parse_length_line(self) -> tuple[int, bytearray] | None:
        """The type and the digits of the next line, or None if it is incomplete."""
        data, start = self.buffer.data, self.buffer.start + self._offset
        if start >= self.buffer.end:
            return None
        if data[start] not in TYPES:
            raise FieldError(f"expected a type, got {bytes(data[start : start + 1])!r}")
        line_end = data.find(
            b"\r\n", start + 1, min(self.buffer.end, start + MAX_LENGTH_LINE_BYTES)
        )
        if line_end < 0:
            if self.buffer.end - start >= MAX_LENGTH_LINE_BYTES:
                raise FieldError("the line of a length does not end")
            return None
        self._offset = line_end + 2 - self.buffer.start
        return data[start], data[start + 1 : line_end]

    @staticmethod
    def _length(digits: bytearray) -> int:
        if digits != b"-1" and not digits.isdigit():
            raise FieldError(f"invalid length {bytes(digits)!r}")
        return int(digits)

    def _array_size(self, digits: bytearray) -> int:
        count = max(self._length(digits), 0)
        if count > self.max_message_bytes // MIN_PART_BYTES:
            raise MessageTooLongError(f"an array has {count} parts")
        if len(self._parts) + self._parts_left + count > self._max_parts:
            self._skipping = True
        return count

    def _parse_part(self) -> bool:
        """Parses one part; returns whether it is complete."""
        part_offset, length_line = self._offset, self._parse_length_line()
        if length_line is None:
            return False
        part_type, digits = length_line
        size = self._length(digits) if part_type == BULK_STRING else -1
        if self._skipped_bytes + self._offset + max(size, 0) + 2 > self.max_message_bytes:
            raise MessageTooLongError(f"a message is longer than {self.max_message_bytes} bytes")
        # A part of another type invalidates only its message, as the part's end is known.
        if part_type == ARRAY:
            self._parts_left += self._array_size(digits)
        if size < 0:
            self._parts.append(None)
            self._parts_left -= 1
            return True
        start = self.buffer.start + self._offset
        if start + size + 2 > self.buffer.end:
            self._offset = part_offset
            return False
        if self.buffer.data[start + size : start + size + 2] != b"\r\n":
            raise FieldError("a part does not end after its length")
        self._parts.append((self._offset, self._offset + size))
        self._offset += size + 2
        self._parts_left -= 1
        return True


def encode(*parts: str) -> bytes:
    """Encodes an array of bulk strings."""
    encoded = [f"*{len(parts)}\r\n".encode()]
    for part in parts:
        raw = part.encode()
        encoded.append(b"$%d\r\n%s\r\n" % (len(raw), raw))
    return b"".join(encoded)
