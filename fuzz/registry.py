"""The registry of fuzz targets, independent of the engine that drives them."""

from dataclasses import dataclass
from importlib import import_module

MODULES = (
    "fuzz.targets.streams",
    "fuzz.targets.values",
    "fuzz.targets.settings",
    "fuzz.targets.machines",
    "fuzz.targets.core",
    "fuzz.targets.controllers",
    "fuzz.targets.outages",
    "fuzz.targets.recovery",
    "fuzz.targets.xds",
)


class CheckFailed(AssertionError):
    """An oracle found that a required property does not hold."""


class UnknownTarget(LookupError):
    """No target has this name."""


def check(condition: bool, *details):
    """Checks a property for an oracle; `details` are formatted only if it does not hold."""
    if not condition:
        raise CheckFailed(" ".join(s if isinstance(s, str) else repr(s)[:300] for s in details))


@dataclass(frozen=True)
class Target:
    """A fuzz target. An exception raised by `run(data)` is a finding. A structured input consists
    of steps of `step_size` bytes; with 1 any byte may be inserted or removed. `dictionary` holds
    tokens for the mutator, `covers` the modules under test."""

    name: str
    description: str
    run: object
    seeds: object
    covers: tuple
    engine: str = "atheris"  # or "hypothesis"
    dictionary: tuple = ()
    step_size: int = 1
    max_size: int = 1024  # bytes of an input
    header_size: int = 0  # bytes before the first step


TARGETS: dict = {}


def register(**fields):
    """Returns a decorator that registers a function as the `run` of a target."""

    def decorate(run):
        TARGETS[fields["name"]] = Target(run=run, **fields)
        return run

    return decorate


def load() -> dict:
    for name in MODULES:
        import_module(name)
    return TARGETS


def target(name: str) -> Target:
    if name not in load():
        raise UnknownTarget(
            f"no target is named '{name[:60]}'; the targets are {', '.join(sorted(TARGETS))}"
        )
    return TARGETS[name]
