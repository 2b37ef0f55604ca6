"""`havendyke COMMAND`: dispatches commands, and prints their results and errors.

Exit status 0: success. 1: the command ran and found a problem, such as a damaged state or two
states that differ. 2: an invalid command line or an error in a file that it names, which one line
on standard error describes. Results are text, or JSON with `--json`.
"""

import importlib
import sys
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import click
import orjson

from ..commands import COMMANDS, RUN, RUN_SUMMARY

PROGRAM = "havendyke"
STATUS_OK = 0
STATUS_USAGE_ERROR = 2
JSON_OPTIONS = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS

Function = TypeVar("Function", bound=Callable[..., Any])
Result = TypeVar("Result")


class CommandError(Exception):
    """An invalid command line, or an error in a file that it names; the text is one line."""


class CommandGroup(click.Group):
    """The subcommands; the module of each is imported when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of the commands in the order of the help."""
        return [RUN, *COMMANDS]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command with a name, or None if there is none."""
        if cmd_name == RUN:
            return run
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(f"havendyke.cli.{cmd_name}").command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Writes the list of commands in the help without importing their modules."""
        with formatter.section("Commands"):
            formatter.write_dl([(RUN, RUN_SUMMARY), *COMMANDS.items()])


@click.group(cls=CommandGroup, invoke_without_command=False)
def commands() -> None:
    """One assigner, and what an operator needs round it."""


@click.command(context_settings={"ignore_unknown_options": True})
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def run(words: Sequence[str]) -> None:
    """The assigner itself."""
    from ..start import main

    sys.exit(main(list(words)))


def json_option(function: Function) -> Function:
    """Adds the option `--json` to a command, as its parameter `as_json`."""
    return click.option("--json", "as_json", is_flag=True, help="JSON, for programs.")(function)


def print_result(result: Result, as_json: bool, format_text: Callable[[Result], str] = str) -> None:
    """Prints the result of a command as JSON or as formatted by `format_text`."""
    if as_json:
        click.echo(orjson.dumps(result, option=JSON_OPTIONS).decode())
    else:
        click.echo(format_text(result))


def main(arguments: Sequence[str]) -> int:
    """Runs the command line; returns the exit status."""
    try:
        status = commands.main(list(arguments), prog_name=PROGRAM, standalone_mode=False)
    except click.ClickException as error:
        return _report_error(error.format_message())
    except CommandError as error:
        return _report_error(str(error))
    except BrokenPipeError:
        return STATUS_OK
    return status if isinstance(status, int) else STATUS_OK


def _report_error(reason: str) -> int:
    print(f"{PROGRAM}: {reason}", file=sys.stderr)
    return STATUS_USAGE_ERROR
