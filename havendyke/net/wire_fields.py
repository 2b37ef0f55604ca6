"""Text fields in the messages of collectors and servers."""

from collections.abc import Sequence

from ..fields import FieldError, excerpt, read_field

MAX_DIGITS = 15  # of a count; Python parses long integers in quadratic time

TextFields = dict[str, str]
Part = bytes | bytearray | memoryview


def decode_text(part: Part) -> str:
    """A part as text; invalid UTF-8 is replaced, so that an error message can quote it."""
    return str(part, "utf-8", "replace")


def parse_number(text: str, name: str, maximum: float) -> float:
    """A number from 0 to `maximum`; raises `FieldError` for anything else.

    Rejects what only Python accepts (underscores, surrounding whitespace, non-ASCII digits) and
    values that are not finite.
    """
    try:
        if not text.isascii() or "_" in text or text != text.strip():
            raise ValueError
        number = float(text)
    except ValueError:
        raise FieldError(f"field '{name}' is not a number: {excerpt(text)}") from None
    if not 0.0 <= number <= maximum:
        raise FieldError(f"field '{name}' is out of range: {excerpt(text)}")
    return number


def parse_count(fields: TextFields, name: str, maximum: int) -> int:
    """A field's integer from 0 to `maximum`; raises `FieldError` for anything else."""
    text: str = read_field(fields, name, str)
    decimal = text.isdecimal() and text.isascii()
    if not decimal or len(text) > MAX_DIGITS or int(text) > maximum:
        raise FieldError(f"field '{name}' is not an integer up to {maximum}: {excerpt(text)}")
    return int(text)


def parse_fields(parts: Sequence[Part | None]) -> TextFields:
    """The fields after a message's kind, as alternating names and values; raises `FieldError`."""
    strings = [part for part in parts if part is not None]
    if len(strings) < len(parts):
        raise FieldError("a part of the message is not a string")
    if len(strings) % 2 == 0:
        raise FieldError("a field name has no value")
    return {decode_text(strings[k]): decode_text(strings[k + 1]) for k in range(1, len(strings), 2)}
