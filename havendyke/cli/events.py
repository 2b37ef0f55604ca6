"""`havendyke events`: describes the log events."""

from collections.abc import Mapping
from typing import Any

import click

from ..events import EVENTS, render_page
from ..settings.values import suggestion
from .main import CommandError, json_option, print_result


@click.command("events")
@click.argument("name", required=False)
@click.option(
    "--page",
    "as_page",
    is_flag=True,
    help="The operators' page, as docs/operators/events.md has it.",
)
@json_option
def command(name: str | None, as_page: bool, as_json: bool) -> None:
    """Every event of the log, or one, with its fields and meaning."""
    if as_page:
        click.echo(render_page(), nl=False)
        return
    if name is not None and name not in EVENTS:
        raise CommandError(f"no event is named '{name}'{suggestion(name, EVENTS)}")
    described = {
        event: {"fields": list(fields), "what": meaning}
        for event, (fields, meaning) in EVENTS.items()
        if name in (None, event)
    }
    print_result(described, as_json, _format_events)


def _format_events(described: Mapping[str, Mapping[str, Any]]) -> str:
    return "\n".join(_format_event(event, description) for event, description in described.items())


def _format_event(event: str, described: Mapping[str, Any]) -> str:
    fields = f" ({', '.join(described['fields'])})" if described["fields"] else ""
    return f"{event:20} {described['what']}{fields}"
