"""All keys of the operator's file, with their type, bounds, default and description.

`docs/operators/settings.md` is generated from them. Each subsystem maps the keys of its section to
its own options.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from .values import InvalidValueError, Value, ValueKind, format_value, parse_value


@dataclass(frozen=True)
class Key:
    """A key of a section. Bounds apply to numbers: milliseconds, bytes or plain counts."""

    section: str
    name: str
    kind: ValueKind
    default: Value | None  # None: required if the section is present
    help: str
    minimum: float = 0.0
    maximum: float = 1e15
    choices: tuple[str, ...] = ()

    def parse(self, text: str) -> Value:
        """Parses a value and checks its bounds; raises `InvalidValueError`."""
        value = parse_value(self.kind, text, self.choices)
        if not isinstance(value, str) and self.kind.is_number and not self._allows(value):
            raise InvalidValueError(f"expected {self.bounds}")
        return value

    def format_value(self, value: Value | None) -> str:
        """Formats a value of the key as in the operator's file."""
        return format_value(self.kind, value)

    @property
    def bounds(self) -> str:
        """The bounds, formatted as in the operator's file."""
        return f"{self.format_value(self.minimum)} to {self.format_value(self.maximum)}"

    def _allows(self, value: float) -> bool:
        return self.minimum <= value <= self.maximum


KEYS = (
    Key(
        section="state",
        name="folder",
        kind=ValueKind.PATH,
        default=None,
        help="Where the list, drains and tables are kept, to start with when discovery is "
        "unreachable. One assigner a folder; the disk must outlive the process to be of use.",
    ),
    Key(
        section="state",
        name="gather",
        kind=ValueKind.DURATION,
        default=50.0,
        help="How long changes gather before they are committed together.",
        maximum=10_000.0,
    ),
    Key(
        section="state",
        name="pending",
        kind=ValueKind.COUNT,
        default=20_000,
        help="Changes that may wait for a slow disk; beyond, the next commit is a whole snapshot.",
        minimum=100,
        maximum=1e7,
    ),
    Key(
        section="state",
        name="log-most",
        kind=ValueKind.SIZE,
        default=8 << 20,
        help="Size of the log at which a new snapshot begins.",
        minimum=1 << 12,
        maximum=1 << 34,
    ),
    Key(
        section="state",
        name="again",
        kind=ValueKind.DURATION,
        default=500.0,
        help="Wait after a failed commit, doubled up to `again-most`.",
        minimum=10.0,
        maximum=60_000.0,
    ),
    Key(
        section="state",
        name="again-most",
        kind=ValueKind.DURATION,
        default=30_000.0,
        help="The longest such wait.",
        minimum=10.0,
        maximum=3_600_000.0,
    ),
)
SECTIONS = tuple(dict.fromkeys(key.section for key in KEYS))


def keys_of(section: str) -> Mapping[str, Key]:
    """Returns the keys of a section by name."""
    return {key.name: key for key in KEYS if key.section == section}
