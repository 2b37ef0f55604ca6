"""Reads batches from standard input and writes a reply to each to standard output."""

import sys

from ..fields import FieldError
from .batches import BatchError, BenchAdapter

# Exit statuses.
SUCCESS, OUTPUT_CLOSED, MALFORMED_INPUT = 0, 1, 2


def main() -> int:
    """Processes batches until the input ends; returns the exit status."""
    adapter = BenchAdapter()
    try:
        for number, line in enumerate(sys.stdin.buffer, 1):
            try:
                process_line(adapter, line)
            except (BatchError, FieldError) as error:
                print(f"havendyke.bench_adapter: line {number}: {error}", file=sys.stderr)
                return MALFORMED_INPUT
    except BrokenPipeError:
        return OUTPUT_CLOSED
    return SUCCESS


def process_line(adapter: BenchAdapter, line: bytes) -> None:
    """Writes the reply to a line; ignores blank lines."""
    if line.strip():
        sys.stdout.write(adapter.answer(line) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
