"""Runs one benchmark by its name; further options are passed to benchmarks that accept options."""

import importlib
import json
import pkgutil
import sys
from collections.abc import Sequence

import benchmarks

NAMES = sorted(
    m.name for m in pkgutil.iter_modules(benchmarks.__path__) if not m.name.startswith("_")
)


def main(arguments: Sequence[str]) -> int:
    """Runs the benchmark and returns the exit status."""
    if not arguments or arguments[0] not in NAMES:
        print(f"benchmarks: NAME must be one of {', '.join(NAMES)}", file=sys.stderr)
        return 2
    name, *options = arguments
    benchmark = importlib.import_module(f"benchmarks.{name}")
    if hasattr(benchmark, "main"):
        status: int = benchmark.main(options)
        return status
    if options:
        print(f"benchmarks: {name} takes no options", file=sys.stderr)
        return 2
    print(json.dumps(benchmark.measure()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
