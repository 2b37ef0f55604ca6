"""Fuzzing of every parser and state machine: `python -m fuzz --help`, docs/operators/fuzzing.md."""
