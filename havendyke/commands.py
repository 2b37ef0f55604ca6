"""Names and one-line descriptions of the subcommands.

Imports nothing, so that it does not slow down the start of the assigner.
"""

RUN = "run"
RUN_SUMMARY = "the assigner itself; what the program does without a command"
COMMANDS = {
    "check": "the configuration and the operator's file, without a start",
    "events": "what the lines of the log mean",
    "lab": "the laboratory: a model of the fleet that measures what each role costs",
    "settings": "the operator's file: show, explain, page",
    "state": "what is kept on disk: show, verify, compact, export, import, diff",
}


def command_summary() -> str:
    """Returns a list of all subcommands, one per line."""
    lines = [f"  {name:10} {text}" for name, text in {RUN: RUN_SUMMARY, **COMMANDS}.items()]
    return "commands (havendyke COMMAND --help tells more):\n" + "\n".join(lines)
