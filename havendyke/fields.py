"""Takes a field of a message or of the configuration, checked, or raises an error that names it.

A field without a default must be there; `null` counts as left out. Every function that reads a
field raises `FieldError`.
"""

from collections.abc import Mapping
from types import EllipsisType
from typing import Any, TypeAlias, TypeVar, overload

NUMBER_TYPES = (int, float)
# Beyond any real figure, and small enough that conversions of units stay finite.
MAX_NUMBER = 1e30
NS_PER_MS = 1e6
MAX_MESSAGE_LENGTH = 120  # characters of a message in an error
MAX_VALUE_LENGTH = 40  # characters of a value in an error

Value = TypeVar("Value")
Default = TypeVar("Default")
Kind: TypeAlias = type[Any] | tuple[type[Any], ...]


class FieldError(ValueError):
    """A field that is missing, of another type or out of range; the text names it."""


def excerpt(message: object) -> str:
    """A message as errors show it."""
    return repr(message)[:MAX_MESSAGE_LENGTH]


@overload
def read_field(message: object, name: str, kind: type[Value]) -> Value: ...
@overload
def read_field(message: object, name: str, kind: type[Value], default: EllipsisType) -> Value: ...
@overload
def read_field(
    message: object, name: str, kind: type[Value], default: Default
) -> Value | Default: ...
@overload
def read_field(
    message: object, name: str, kind: tuple[type[Any], ...], default: Any = ...
) -> Any: ...
def read_field(message: object, name: str, kind: Kind, default: Any = ...) -> Any:
    """The field's value, of the type `kind`."""
    value = message.get(name) if isinstance(message, dict) else None
    if value is None:
        if default is ...:
            raise FieldError(f"field '{name}' is missing in {excerpt(message)}")
        return default
    # bool is a subclass of int in Python, while the protocols keep the two apart.
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"field '{name}' has the wrong type in {excerpt(message)}")
    return value


def read_flag(message: object, name: str, default: bool | EllipsisType = ...) -> bool:
    """A truth value, written as one or as 1 and 0."""
    value = message.get(name) if isinstance(message, dict) else None
    return value if isinstance(value, bool) else bool(read_field(message, name, int, default))


def read_choice(
    message: object,
    name: str,
    table: Mapping[str, Value],
    default: str | EllipsisType = ...,
) -> Value:
    """The table's value for the field's word; `default` is the word of a field that is left out."""
    value = read_field(message, name, str, default)
    if value not in table:
        raise FieldError(f"field '{name}' has the unknown value {value[:MAX_VALUE_LENGTH]!r}")
    return table[value]


def read_number(
    message: object,
    name: str,
    default: Any = ...,
    least: float = -MAX_NUMBER,
    most: float = MAX_NUMBER,
    kind: Kind = NUMBER_TYPES,
) -> Any:
    """A number from `least` to `most`, both included.

    The default need not lie between them.
    """
    value: Any = read_field(message, name, kind, default)
    if value is default or least <= value <= most:  # false for NaN
        return value
    raise FieldError(
        f"field '{name}' must be from {least:g} to {most:g}, not {str(value)[:MAX_VALUE_LENGTH]}"
    )


def read_integer(
    message: object,
    name: str,
    default: int | EllipsisType = ...,
    least: float = 0,
    most: float = MAX_NUMBER,
) -> int:
    """A whole number; 119.0 counts as one, since some JSON writers have no integers."""
    value = read_number(message, name, default, least, most)
    if value != int(value):
        raise FieldError(
            f"field '{name}' must be a whole number, not {str(value)[:MAX_VALUE_LENGTH]}"
        )
    return int(value)


def read_ms(
    message: object,
    name: str,
    default: float | EllipsisType = ...,
    least: float = -MAX_NUMBER,
    most: float = MAX_NUMBER,
) -> float:
    """A time in milliseconds, from a field in nanoseconds.

    The bounds and the default are milliseconds.
    """
    written_default = ... if default is ... else None
    value = read_number(message, name, written_default, least * NS_PER_MS, most * NS_PER_MS)
    if value is None:
        assert not isinstance(default, EllipsisType)
        return default
    return float(value / NS_PER_MS)


def read_list(
    message: object,
    name: str,
    kind: type[Value],
    default: list[Value] | EllipsisType = ...,
) -> list[Value]:
    """A list whose items are all of the type `kind`."""
    items: list[Value] = read_field(message, name, (list,), default)
    for index, item in enumerate(items):
        if type(item) is not kind:
            raise FieldError(f"field '{name}[{index}]' has the wrong type: {excerpt(item)}")
    return items
