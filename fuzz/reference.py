"""Reference parsers for comparison: simple and slow, each reads its whole input at once.

Each parser returns what it found and a verdict: "more" (valid but incomplete), "bad", or, for a
response, "done". They follow RFC 9112 (HTTP/1.1) and the RESP2 specification, not
`havendyke/net`."""

import re

DIGITS = re.compile(rb"[0-9]+")
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9][0-9])( .*)?", re.S)
MAX_HEADER_LINES = 100  # of one response, including interim responses and trailers


SKIPPED = "skipped"  # in place of a message with too many parts


def resp(data: bytes, max_message_bytes: int, max_parts: int):
    """RESP2 arrays of bulk strings. An element of another type is None; the elements of a nested
    array are appended to those of the outer one."""
    found, position = [], 0
    while True:
        message_start, parts, parts_left, first = position, [], 1, True
        while parts_left:
            if position >= len(data):
                return found, "more"
            type_byte = data[position : position + 1]
            if type_byte not in (b"*", b"$", b":", b"+", b"-") or first and type_byte != b"*":
                return found, "bad"
            end = data.find(b"\r\n", position)
            if end < 0 or end + 2 - position > 32:
                return found, "more" if end < 0 and len(data) - position < 32 else "bad"
            digits, position = data[position + 1 : end], end + 2
            size = 0
            if type_byte in (b"*", b"$"):
                if digits != b"-1" and not DIGITS.fullmatch(digits):
                    return found, "bad"
                size = int(digits)
            parts_left -= 1
            if type_byte == b"*":
                if size > max_message_bytes // 6:
                    return found, "bad"
                parts_left += max(size, 0)
                # An array has no terminator of its own; a nested array counts as an element.
                parts += [] if first else [None]
            if (
                not first
                and position - message_start + (max(size, 0) if type_byte == b"$" else 0) + 2
                > max_message_bytes
            ):
                return found, "bad"
            if type_byte == b"$" and size >= 0:
                if position + size + 2 > len(data):
                    return found, "more"
                if data[position + size : position + size + 2] != b"\r\n":
                    return found, "bad"
                parts.append(data[position : position + size])
                position += size + 2
            elif type_byte != b"*":
                parts.append(None)
            first = False
        found.append(parts if len(parts) <= max_parts else SKIPPED)


def lines(data: bytes, max_line_bytes: int):
    *complete, remainder = data.split(b"\n")
    found = []
    for line in complete:
        if len(line) > max_line_bytes:
            return found, "bad"
        found.append(line[:-1] if line.endswith(b"\r") else line)
    return found, "bad" if len(remainder) > max_line_bytes else "more"


class Incomplete(Exception):
    pass


class Malformed(Exception):
    pass


def response(data: bytes, max_line_bytes: int):
    """One HTTP/1.1 response: status, body so far and verdict."""
    position, status, body, line_count, header_bytes = 0, 0, b"", 0, 0

    def read_line():
        nonlocal position
        end = data.find(b"\n", position)
        if (len(data) if end < 0 else end) - position > max_line_bytes:
            raise Malformed
        if end < 0:
            raise Incomplete
        line, position = data[position:end], end + 1
        return line.rstrip(b"\r")

    def count_line(text):
        nonlocal line_count, header_bytes
        line_count += 1
        header_bytes += len(text)
        if line_count > MAX_HEADER_LINES or header_bytes > max_line_bytes:
            raise Malformed

    try:
        while status < 200:
            status_line = STATUS_LINE.fullmatch(read_line())
            if not status_line:
                raise Malformed
            status, fields = int(status_line[1]), []
            while text := read_line():
                count_line(text)
                if text[:1] in b" \t":
                    if not fields:
                        raise Malformed
                    fields[-1][1] += b" " + text.strip()
                    continue
                name, colon, value = text.partition(b":")
                if not colon:
                    raise Malformed
                fields.append([name.strip().lower(), value.strip()])
            if status < 200:
                count_line(b"")
        codings = {value.strip().lower() for name, value in fields if name == b"transfer-encoding"}
        lengths = {value.strip() for name, value in fields if name == b"content-length"}
        if codings:
            if codings != {b"chunked"}:
                raise Malformed
            while True:
                chunk_size = read_line().partition(b";")[0].strip()
                if not re.fullmatch(rb"[0-9a-fA-F]{1,12}", chunk_size):
                    raise Malformed
                size = int(chunk_size, 16)
                if not size:
                    break
                body += data[position : position + size]
                position = min(position + size, len(data))
                if len(data) - position == 0:
                    raise Incomplete
                if read_line():
                    raise Malformed
            while text := read_line():
                count_line(text)
            return status, body, "done"
        if lengths or status in (204, 304):
            values = lengths or {b"0"}
            if len(values) > 1 or not re.fullmatch(rb"[0-9]{1,15}", min(values)):
                raise Malformed
            size = int(min(values))
            body = data[position : position + size]
            return status, body, "done" if len(body) == size else "more"
        return status, data[position:], "more"
    except Incomplete:
        return status, body, "more"
    except Malformed:
        return status, body, "bad"


NUMBER = re.compile(r"[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]+)?")


def number(text: str, maximum: float):
    """The value, or None if it must be rejected."""
    if not NUMBER.fullmatch(text):
        return None
    return float(text) if 0 <= float(text) <= maximum else None
