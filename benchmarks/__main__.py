"""Runs one benchmark by its name."""
import importlib
import json
import pkgutil
import sys

import benchmarks

NAMES = sorted(m.name for m in pkgutil.iter_modules(benchmarks.__path__) if not m.name.startswith("_"))


def main(words) -> int:
    if len(words) != 1 or words[0] not in NAMES:
        print(f"benchmarks: give one of {', '.join(NAMES)}", file=sys.stderr)
        return 2
    print(json.dumps(importlib.import_module(f"benchmarks.{words[0]}").measure()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
