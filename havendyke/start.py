"""Entry point of the assigner: command-line options, configuration and exit status."""

import asyncio
import os
import sys
from collections.abc import Sequence
from typing import NamedTuple

from .commands import RUN, command_summary
from .config import Config, ConfigError, load_config
from .operator_file import OperatorSettings, read_operator_file
from .process import AssignerProcess
from .signals import EarlySignals, ignore_unused_signals

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2  # also the status of `argparse` for invalid arguments


class Options(NamedTuple):
    """Command-line options; environment variables name the files that the options leave out."""

    config: str | None = None
    operator: str | None = None
    check: bool = False


def parse_options(arguments: Sequence[str]) -> Options:
    """Parses the arguments.

    `argparse` is imported only where there are arguments, as the deployed command has none.
    """
    if not arguments:
        return Options()
    from argparse import ArgumentParser, RawDescriptionHelpFormatter

    parser = ArgumentParser(
        prog="havendyke",
        description="Runs one assigner.",
        epilog=command_summary(),
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--config", help="configuration file; default: $ROUTER_CONFIG")
    parser.add_argument("--operator", help="operator's file; default: $HAVENDYKE_OPERATOR")
    parser.add_argument("--check", action="store_true", help="check the configuration and exit")
    return Options(**vars(parser.parse_args(arguments)))


async def _check_or_run(
    config: Config,
    operator_settings: OperatorSettings,
    options: Options,
    early_signals: EarlySignals,
) -> None:
    process = AssignerProcess(
        config, options.config, operator_settings, options.operator, options.check
    )
    if not options.check:
        await process.run(early_signals)


def main(arguments: Sequence[str]) -> int:
    """Runs the assigner, or only checks its configuration; returns the exit status.

    A run returns only if it cannot start: after that, a signal handler ends the process.
    """
    arguments = arguments[1:] if arguments[:1] == [RUN] else arguments
    options = parse_options(arguments)
    ignore_unused_signals()
    early_signals = EarlySignals()
    if not options.check:
        early_signals.install()
    try:
        config = load_config(dict(os.environ), options.config)
        operator_settings = read_operator_file(options.operator)
        asyncio.run(_check_or_run(config, operator_settings, options, early_signals))
    except ConfigError as error:
        print(f"havendyke: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    print(f"havendyke: the configuration of {config.name} is well")
    return EXIT_OK
