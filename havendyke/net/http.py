"""HTTP/1.1 answers, whole, in chunks or up to the connection's end; touches no socket."""
from ..fields import FieldError
from .buffer import Buffer, TooLong

HEAD, SIZED, CHUNK, CHUNK_END, TRAILER, REST, DONE = range(7)


def query(path: str, host: tuple, more: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: {host[0]}:{host[1]}\r\n{more}\r\n".encode()


class Answer:
    """One answer. `next` gives the body's bytes, as slices that hold until the buffer is read into."""

    def __init__(self, buffer: Buffer, head: int):
        self.buffer, self.most, self.state = buffer, head, HEAD
        self.status, self.left, self.seen = 0, 0, 0

    def line(self):
        data, start = self.buffer.data, self.buffer.start
        stop = data.find(b"\n", start + self.seen, self.buffer.end)
        if (self.buffer.end if stop < 0 else stop) - start > self.most:
            raise TooLong(f"a line of the head is over {self.most} bytes")
        if stop < 0:
            self.seen = self.buffer.end - start
            return None
        self.seen, self.buffer.start = 0, stop + 1
        return bytes(data[start:stop]).rstrip(b"\r")

    def head(self, line: bytes):
        if not self.status:
            parts = line.split(b" ", 2)
            if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not parts[1].isdigit():
                raise FieldError(f"status line {line[:60]!r}")
            self.status, self.fields = int(parts[1]), {}
        elif line:
            name, colon, told = line.partition(b":")
            if not colon:
                raise FieldError(f"head line {line[:60]!r}")
            self.fields[name.strip().lower()] = told.strip()
            if len(self.fields) > 100:
                raise TooLong("over 100 head lines")
        elif 100 <= self.status < 200:
            self.status = 0
        elif self.fields.get(b"transfer-encoding", b"").lower() == b"chunked":
            self.state = CHUNK
        elif b"content-length" in self.fields or self.status in (204, 304):
            told = self.fields.get(b"content-length", b"0")
            if not told.isdigit():
                raise FieldError(f"content-length {told[:60]!r}")
            self.left = int(told)
            self.state = SIZED if self.left else DONE
        else:
            self.state = REST

    def next(self):
        """More of the body, or None: the answer is over (`state` DONE) or more must come."""
        while self.state != DONE:
            if self.state in (SIZED, REST) or self.state == CHUNK and self.left:
                start = self.buffer.start
                count = self.buffer.end - start
                count = count if self.state == REST else min(count, self.left)
                if not count:
                    return None
                self.buffer.start += count
                self.left -= count
                if not self.left and self.state != REST:
                    self.state = DONE if self.state == SIZED else CHUNK_END
                return memoryview(self.buffer.data)[start:start + count]
            line = self.line()
            if line is None:
                return None
            if self.state == HEAD:
                self.head(line)
            elif self.state == CHUNK_END:
                if line:
                    raise FieldError("a chunk does not end where its size says")
                self.state = CHUNK
            elif self.state == CHUNK:
                size = line.partition(b";")[0].strip()
                try:
                    self.left = int(size, 16)
                except ValueError:
                    self.left = -1
                if self.left < 0 or not size.isalnum():
                    raise FieldError(f"a chunk's size is {line[:20]!r}")
                self.state = CHUNK if self.left else TRAILER
            elif not line:  # the end of what may follow the last chunk
                self.state = DONE
        return None
