"""All targets under one roof, whichever engine drives them."""

from dataclasses import dataclass
from importlib import import_module

MODULES = (
    "fuzz.targets.streams",
    "fuzz.targets.values",
    "fuzz.targets.settings",
    "fuzz.targets.machines",
    "fuzz.targets.core",
    "fuzz.targets.controllers",
    "fuzz.targets.recovery",
    "fuzz.targets.xds",
)


class CheckFailed(AssertionError):
    """An oracle's verdict: what was done is not what must hold."""


class UnknownTarget(LookupError):
    """No target has this name."""


def check(kept: bool, *said):
    """An oracle's check; `said` names what was seen and is only made into a text when it fails."""
    if not kept:
        raise CheckFailed(" ".join(s if isinstance(s, str) else repr(s)[:300] for s in said))


@dataclass(frozen=True)
class Target:
    """`run(data)` returns or raises; what it raises is a finding. `step` bytes make a step of a
    structured input, 1 where any byte may go. `words` are what mutation puts in; `covers` names the
    modules it is for."""

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


def register(**told):
    """A decorator: the function is the target's `run`."""

    def made(run):
        TARGETS[told["name"]] = Target(run=run, **told)
        return run

    return made


def load() -> dict:
    for name in MODULES:
        import_module(name)
    return TARGETS


def target(name: str) -> Target:
    if name not in load():
        raise UnknownTarget(
            f"no target is named '{name[:60]}'; there are {', '.join(sorted(TARGETS))}"
        )
    return TARGETS[name]
