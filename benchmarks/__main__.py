"""Runs one benchmark by its name; what follows the name is for the benchmark that takes it."""
import importlib
import json
import pkgutil
import sys

import benchmarks

NAMES = sorted(m.name for m in pkgutil.iter_modules(benchmarks.__path__) if not m.name.startswith("_"))


def main(words) -> int:
    if not words or words[0] not in NAMES:
        print(f"benchmarks: give one of {', '.join(NAMES)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"benchmarks.{words[0]}")
    if len(words) > 1 and hasattr(module, "main"):
        return module.main(words[1:])
    if len(words) > 1:
        print(f"benchmarks: {words[0]} takes nothing further, not {words[1][:40]}", file=sys.stderr)
        return 2
    print(json.dumps(module.measure()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
