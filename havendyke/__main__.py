"""Runs the assigner, which needs no command, or a sub-command."""

import sys
from collections.abc import Sequence

from .commands import COMMANDS


def main(arguments: Sequence[str] | None = None) -> int:
    """Dispatches the command line; returns the exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and arguments[0] in COMMANDS:
        from .cli.main import main as run_command

        return run_command(arguments)
    from .start import main as run_assigner

    return run_assigner(arguments)


if __name__ == "__main__":
    sys.exit(main())
