"""Parses and formats values of the operator's file."""

import difflib
import re
from collections.abc import Iterable, Mapping
from enum import StrEnum

DURATION_UNITS_MS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}
SIZE_UNITS_BYTES = {"B": 1, "kB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
MIN_SIMILARITY = 0.6  # of a suggested name, from 0 to 1; see `difflib.get_close_matches`

_NUMBER_WITH_UNIT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?)([A-Za-z]*)")
_INTEGER = re.compile("[0-9]{1,15}")

Value = float | str
Units = Mapping[str, float]


class ValueKind(StrEnum):
    """The type of a key's value. Parsed durations are in milliseconds, parsed sizes in bytes."""

    DURATION = "duration"
    SIZE = "size"
    COUNT = "count"
    PATH = "path"
    BOOLEAN = "yes"
    CHOICE = "word"

    @property
    def is_number(self) -> bool:
        """Whether values are numbers, which have bounds."""
        return self in (ValueKind.DURATION, ValueKind.SIZE, ValueKind.COUNT)


class InvalidValueError(ValueError):
    """A text that is not a valid value; the text of the error states what was expected."""


def parse_value(kind: ValueKind, text: str, choices: tuple[str, ...] = ()) -> Value:
    """Parses a value; raises `InvalidValueError`. `choices` are the values allowed for a choice."""
    match kind:
        case ValueKind.DURATION:
            return _parse_number_with_unit(text, DURATION_UNITS_MS, "a time")
        case ValueKind.SIZE:
            return int(_parse_number_with_unit(text, SIZE_UNITS_BYTES, "a size"))
        case ValueKind.COUNT:
            return _parse_count(text)
        case ValueKind.BOOLEAN:
            return _parse_boolean(text)
        case ValueKind.CHOICE:
            return _parse_choice(text, choices)
        case ValueKind.PATH:
            return _parse_path(text)


def format_value(kind: ValueKind, value: Value | None) -> str:
    """Formats a value as in the operator's file; None as "none"."""
    if value is None:
        return "none"
    if isinstance(value, str):
        return value
    match kind:
        case ValueKind.DURATION:
            return _format_with_unit(value, DURATION_UNITS_MS)
        case ValueKind.SIZE:
            return _format_with_unit(value, SIZE_UNITS_BYTES)
        case ValueKind.BOOLEAN:
            return "yes" if value else "no"
        case _:
            return f"{value:.0f}"


def suggestion(text: str, names: Iterable[str]) -> str:
    """Returns the end of an error message that suggests a similar name; empty if there is none."""
    similar = difflib.get_close_matches(text, list(names), 1, MIN_SIMILARITY)
    return f"; did you mean '{similar[0]}'?" if similar else ""


def _parse_number_with_unit(text: str, units: Units, expected: str) -> float:
    match = _NUMBER_WITH_UNIT.fullmatch(text)
    if not match or match[2] not in units:
        names = list(units)
        raise InvalidValueError(
            f"expected {expected} with one of the units {', '.join(names)}, such as 5{names[1]}"
        )
    return float(match[1]) * units[match[2]]


def _parse_count(text: str) -> int:
    if not _INTEGER.fullmatch(text):
        raise InvalidValueError("expected a whole number")
    return int(text)


def _parse_boolean(text: str) -> bool:
    if text not in ("yes", "no"):
        raise InvalidValueError("expected yes or no")
    return text == "yes"


def _parse_choice(text: str, choices: tuple[str, ...]) -> str:
    if text not in choices:
        raise InvalidValueError(f"expected one of {', '.join(choices)}{suggestion(text, choices)}")
    return text


def _parse_path(text: str) -> str:
    if not text.startswith("/"):
        raise InvalidValueError("expected a path from the root, such as /var/lib/havendyke")
    return text


def _format_with_unit(value: float, units: Units) -> str:
    """Formats a value in the largest unit of which it is a whole multiple."""
    for name, size in reversed(list(units.items())):
        if value >= size and value % size == 0:
            return f"{value / size:.0f}{name}"
    return f"{value:g}{next(iter(units))}"
