"""Generates the operators' page of all keys from the schema."""

from .schema import SECTIONS, Key, keys_of
from .values import ValueKind

HEADER = """\
# The operator's file

Made of `havendyke/settings/schema.py` by `havendyke settings page`; do not edit.

A file of lines: `[section]`, `key value`, `include FILE` (beside the file that names \
it), `#` to the end of the
line. A value with blanks stands in double quotes. Times: ms, s, min, h, d. Sizes: B, kB, MB, GB. \
It is named by
`--operator FILE` or by `HAVENDYKE_OPERATOR`; without it all of this is off. What is wrong is told \
with file, line
and key, status 2; unknown sections and keys are refused.
"""
SECTION_HEADER = """
## [{section}]

| key | takes | without it | what |
| --- | --- | --- | --- |
"""
VALUE_DESCRIPTIONS = {ValueKind.PATH: "path", ValueKind.BOOLEAN: "yes or no"}


def render_page() -> str:
    """Returns the text of the page."""
    return HEADER + "".join(_render_section(section) for section in SECTIONS)


def _render_section(section: str) -> str:
    rows = "".join(_render_row(key) for key in keys_of(section).values())
    return SECTION_HEADER.format(section=section) + rows


def _render_row(key: Key) -> str:
    default = "the section is off" if key.default is None else key.format_value(key.default)
    return f"| `{key.name}` | {_value_description(key)} | {default} | {key.help} |\n"


def _value_description(key: Key) -> str:
    if key.kind.is_number:
        return f"{key.kind}, {key.bounds}"
    return ", ".join(key.choices) or VALUE_DESCRIPTIONS[key.kind]
