"""Reads and validates fields of messages and of the configuration.

A field without a default is required; `null` counts as absent. All functions named `read_*` raise
`FieldError`, which names the field.
"""

from collections.abc import Mapping
from itertools import islice
from types import EllipsisType
from typing import Any, TypeAlias, TypeVar, overload

NUMBER_TYPES = (int, float)
# Above any realistic value, and small enough that unit conversions do not overflow.
MAX_NUMBER = 1e30
NS_PER_MS = 1e6
MAX_MESSAGE_LENGTH = 120  # characters of a message quoted in an error
MAX_VALUE_LENGTH = 40  # characters of a value quoted in an error

Value = TypeVar("Value")
Default = TypeVar("Default")
ExpectedType: TypeAlias = type[Any] | tuple[type[Any], ...]


class FieldError(ValueError):
    """A field that is missing, of the wrong type or out of range; the message names it."""


def excerpt(message: object) -> str:
    """The start of a message's `repr`, for error messages.

    Of a long text, or a long text in an object, only the start is looked at.
    """
    if isinstance(message, dict):
        items = islice(message.items(), MAX_MESSAGE_LENGTH)
        message = {_shortened(key): _shortened(value) for key, value in items}
    return repr(_shortened(message))[:MAX_MESSAGE_LENGTH]


def _shortened(value: object) -> object:
    return value[:MAX_MESSAGE_LENGTH] if isinstance(value, str) else value


@overload
def read_field(message: object, name: str, expected_type: type[Value]) -> Value: ...
@overload
def read_field(
    message: object, name: str, expected_type: type[Value], default: EllipsisType
) -> Value: ...
@overload
def read_field(
    message: object, name: str, expected_type: type[Value], default: Default
) -> Value | Default: ...
@overload
def read_field(
    message: object, name: str, expected_type: tuple[type[Any], ...], default: Any = ...
) -> Any: ...
def read_field(message: object, name: str, expected_type: ExpectedType, default: Any = ...) -> Any:
    """Reads a field and checks its type."""
    value = message.get(name) if isinstance(message, dict) else None
    if value is None:
        if default is ...:
            raise FieldError(f"field '{name}' is missing in {excerpt(message)}")
        return default
    # bool is a subclass of int in Python, but the protocols distinguish the two.
    if not isinstance(value, expected_type) or (
        isinstance(value, bool) and expected_type is not bool
    ):
        raise FieldError(f"field '{name}' has the wrong type in {excerpt(message)}")
    return value


def read_flag(message: object, name: str, default: bool | EllipsisType = ...) -> bool:
    """Reads a boolean, which some senders write as 1 or 0."""
    value = message.get(name) if isinstance(message, dict) else None
    return value if isinstance(value, bool) else bool(read_field(message, name, int, default))


def read_choice(
    message: object,
    name: str,
    choices: Mapping[str, Value],
    default: str | EllipsisType = ...,
) -> Value:
    """Maps a string field through `choices`; `default` is the key for an absent field."""
    value = read_field(message, name, str, default)
    if value not in choices:
        raise FieldError(f"field '{name}' has the unknown value {value[:MAX_VALUE_LENGTH]!r}")
    return choices[value]


def read_number(
    message: object,
    name: str,
    default: Any = ...,
    minimum: float = -MAX_NUMBER,
    maximum: float = MAX_NUMBER,
    expected_type: ExpectedType = NUMBER_TYPES,
) -> Any:
    """Reads a number from `minimum` to `maximum`, both inclusive.

    The default is not checked against the bounds.
    """
    value: Any = read_field(message, name, expected_type, default)
    if value is default or minimum <= value <= maximum:  # comparisons with NaN are false
        return value
    raise FieldError(
        f"field '{name}' must be from {minimum:g} to {maximum:g}, "
        f"not {str(value)[:MAX_VALUE_LENGTH]}"
    )


def read_integer(
    message: object,
    name: str,
    default: int | EllipsisType = ...,
    minimum: float = 0,
    maximum: float = MAX_NUMBER,
) -> int:
    """Reads an integer; accepts 119.0, since some JSON encoders have no integer type."""
    value = read_number(message, name, default, minimum, maximum)
    if value != int(value):
        raise FieldError(
            f"field '{name}' must be a whole number, not {str(value)[:MAX_VALUE_LENGTH]}"
        )
    return int(value)


def read_ms(
    message: object,
    name: str,
    default: float | EllipsisType = ...,
    minimum: float = -MAX_NUMBER,
    maximum: float = MAX_NUMBER,
) -> float:
    """Reads a time in nanoseconds and returns it in milliseconds.

    The bounds and the default are in milliseconds.
    """
    field_default = ... if default is ... else None
    value = read_number(message, name, field_default, minimum * NS_PER_MS, maximum * NS_PER_MS)
    if value is None:
        assert not isinstance(default, EllipsisType)
        return default
    return float(value / NS_PER_MS)


def read_list(
    message: object,
    name: str,
    item_type: type[Value],
    default: list[Value] | EllipsisType = ...,
) -> list[Value]:
    """Reads a list whose items all have exactly the type `item_type`."""
    items: list[Value] = read_field(message, name, (list,), default)
    for index, item in enumerate(items):
        if type(item) is not item_type:
            raise FieldError(f"field '{name}[{index}]' has the wrong type: {excerpt(item)}")
    return items
