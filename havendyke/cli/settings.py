"""`havendyke settings`: shows the operator's file and describes its keys."""

from collections.abc import Mapping
from typing import Any

import click

from ..settings import page as operators_page
from ..settings import reader, schema
from ..settings.reader import OperatorFile, OperatorFileError
from ..settings.schema import Key
from ..settings.values import suggestion
from .main import CommandError, json_option, print_result


@click.group("settings")
def command() -> None:
    """The operator's file."""


@command.command()
@click.argument("path")
@json_option
def show(path: str, as_json: bool) -> None:
    """All values of FILE, given and default, with where they stand."""
    try:
        file = reader.load_files(path)
        sections = {
            section: _section_rows(file, section, reader.resolve(file, section))
            for section in file.sections
        }
    except OperatorFileError as error:
        raise CommandError(str(error)) from None
    print_result(sections, as_json, _format_sections)


@command.command()
@click.argument("name")
@json_option
def explain(name: str, as_json: bool) -> None:
    """What a key is for: KEY or SECTION.KEY."""
    section, _, key_name = name.rpartition(".")
    keys = [key for key in schema.KEYS if key.name == key_name and section in ("", key.section)]
    if not keys:
        hint = suggestion(key_name, [key.name for key in schema.KEYS])
        raise CommandError(f"no key is named '{name}'{hint}")
    print_result([_key_row(key) for key in keys], as_json, _format_keys)


@command.command()
def page() -> None:
    """The operators' page of all keys, as docs/operators/settings.md has it."""
    click.echo(operators_page.render_page(), nl=False)


def _section_rows(
    file: OperatorFile, section: str, values: Mapping[str, Any]
) -> dict[str, dict[str, Any]]:
    return {
        name: {"value": value, "from": _source(file, section, name)}
        for name, value in values.items()
    }


def _source(file: OperatorFile, section: str, name: str) -> str:
    configured = file.values.get((section, name))
    return f"{configured.location.file}:{configured.location.line}" if configured else "default"


def _format_sections(sections: Mapping[str, Mapping[str, Mapping[str, Any]]]) -> str:
    lines = [
        f"[{section}] {name} = {key.format_value(rows[name]['value'])}    ({rows[name]['from']})"
        for section, rows in sections.items()
        for name, key in schema.keys_of(section).items()
    ]
    return "\n".join(lines) or "nothing is switched on"


def _key_row(key: Key) -> dict[str, str]:
    return {
        "section": key.section,
        "key": key.name,
        "kind": key.kind.value,
        "default": key.format_value(key.default),
        "least": key.format_value(key.minimum),
        "most": key.format_value(key.maximum),
        "help": key.help,
    }


def _format_keys(rows: list[dict[str, str]]) -> str:
    return "\n\n".join(
        f"[{row['section']}] {row['key']}: {row['kind']}, default {row['default']}\n  {row['help']}"
        for row in rows
    )
