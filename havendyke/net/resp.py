"""RESP2: arrays of bulk strings, cut from a buffer as slices; touches no socket."""
from ..fields import FieldError
from .buffer import Buffer, TooLong

HEAD = 32  # bytes of a length's line, far more than a legal one has


class Resp:
    """Goes on where it stopped: what is cut anywhere, or comes many at once, gives the same messages."""

    def __init__(self, buffer: Buffer, most: int):
        self.buffer, self.most = buffer, most
        self.at, self.left, self.parts = 0, -1, []  # from the message's start; parts still to come; (from, to)

    def length(self, sign: int):
        data, start = self.buffer.data, self.buffer.start + self.at
        if start >= self.buffer.end:
            return None
        if data[start] != sign:
            raise FieldError(f"expected '{chr(sign)}', got {bytes(data[start:start + 1])!r}")
        stop = data.find(b"\r\n", start + 1, min(self.buffer.end, start + HEAD))
        if stop < 0:
            if self.buffer.end - start >= HEAD:
                raise FieldError("a length's line does not end")
            return None
        digits = data[start + 1:stop]
        if not digits.isdigit():
            raise FieldError(f"a length is {bytes(digits)!r}")
        self.at = stop + 2 - self.buffer.start
        return int(digits)

    def next(self):
        """The next message's parts as slices of the buffer, or None; they hold until the buffer is read into."""
        if self.left < 0:
            self.at, self.parts = 0, []
            count = self.length(42)
            if count is None:
                return None
            if not 0 < count <= self.most // 6:
                raise FieldError(f"an array of {count} parts")
            self.left = count
        while self.left:
            before = self.at
            size = self.length(36)
            if size is None:
                break
            if self.at + size + 2 > self.most:
                raise TooLong(f"a message is over {self.most} bytes")
            start = self.buffer.start + self.at
            if start + size + 2 > self.buffer.end:
                self.at = before
                break
            if self.buffer.data[start + size:start + size + 2] != b"\r\n":
                raise FieldError("a part does not end where its length says")
            self.parts.append((self.at, self.at + size))
            self.at += size + 2
            self.left -= 1
        if self.left:
            return None
        view, start = memoryview(self.buffer.data), self.buffer.start
        self.left, self.buffer.start = -1, start + self.at
        return [view[start + a:start + b] for a, b in self.parts]


def encode(*parts: str) -> bytes:
    made = [f"*{len(parts)}\r\n".encode()]
    for part in parts:
        raw = part.encode()
        made.append(b"$%d\r\n%s\r\n" % (len(raw), raw))
    return b"".join(made)
