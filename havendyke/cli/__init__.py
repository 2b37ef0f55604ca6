"""Subcommands for operators, one module each, imported when the command is called."""
