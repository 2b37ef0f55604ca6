"""A field of a message or of the configuration: taken and checked, or an error that names it."""

NUMBER = (int, float)


class FieldError(ValueError):
    """What came in is not what its page says; the text names the field."""


def clip(message: object) -> str:
    return repr(message)[:120]


def take(message: object, name: str, kind: type | tuple, default=...):
    value = message.get(name) if isinstance(message, dict) else None
    if value is None:
        if default is ...:
            raise FieldError(f"field '{name}' is missing in {clip(message)}")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"field '{name}' has the wrong type in {clip(message)}")
    return value


def flag(message: object, name: str, default=...) -> bool:
    """Yes or no, as a truth value or as 1 and 0."""
    value = message.get(name) if isinstance(message, dict) else None
    return value if isinstance(value, bool) else bool(take(message, name, int, default))


def word(message: object, name: str, table: dict):
    value = take(message, name, str)
    if value not in table:
        raise FieldError(f"field '{name}' has the unknown value '{value[:40]}'")
    return table[value]


def ms(message: object, name: str, default=...) -> float:
    """Nanoseconds on the wire and in the settings, milliseconds inside."""
    return take(message, name, NUMBER, default if default is ... else default * 1e6) / 1e6
