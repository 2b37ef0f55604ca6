"""How large the model is: the axes of a scale run, their bounds, and what a size needs of the
machine."""

from dataclasses import asdict, dataclass, fields, replace

ZONE_NAMES = "abcdefghijklmnopqrstuvwxyz"
TABLES = 65_534  # slices that the platform can number
PROCESSES = 250  # a run starts fewer than this
MB_A_WORKER = 60.0  # resident memory of a worker without an assigner
KB_AN_ASSIGNER = 600.0  # of a hollow assigner and its stand-ins, without what it holds
KB_A_TASK, KB_A_PROXY, KB_A_SLICE = 6.0, 3.0, 4.0  # beside that, of each hollow assigner


class SizeError(ValueError):
    """A size that is no size, or one beyond the machine; one line."""


@dataclass(frozen=True)
class Size:
    """One point: all axes, and how many of the assigners run (`hollow`); the others are an even
    load."""

    tasks: int = 400
    slices: int = 11  # held by each assigner
    proxies: int = 100  # joined to each assigner
    assigners: int = 780
    zones: int = 7
    classes: int = 2
    changes: int = 6  # tasks a minute that are drained, leave and come back
    reports: int = 40  # lines of the collectors a second at each assigner
    hollow: int = 6

    def as_dict(self) -> dict:
        return asdict(self)


AXES = tuple(f.name for f in fields(Size) if f.name != "hollow")
BOUNDS = {
    "tasks": (8, 100_000),
    "slices": (1, 10_000),
    "proxies": (1, 65_536),
    "assigners": (1, 4096),
    "zones": (2, len(ZONE_NAMES)),
    "classes": (1, 32),
    "changes": (0, 6000),
    "reports": (0, 20_000),
    "hollow": (1, 4096),
}

# One axis at a time round the base; the others stay.
STEPS = {
    "tasks": (200, 800, 1600, 3200, 6200),
    "slices": (5, 22, 44, 80),
    "proxies": (50, 200, 400, 800, 1600),
    "assigners": (25, 100, 200, 400),
    "zones": (2, 4, 14),
    "classes": (1, 4, 8),
    "changes": (0, 30, 120, 480),
    "reports": (10, 80, 160, 320),
}
FLEETS = (100, 25, 50, 200)  # assigners, all of them run: what they do together
PAIRS = (
    {"tasks": 1600, "proxies": 400},
    {"tasks": 800, "slices": 33, "reports": 120},
    {"proxies": 400, "slices": 33, "changes": 60},
)
HELD_OUT = (
    {"tasks": 1200, "slices": 30, "proxies": 300, "reports": 100, "zones": 4},
    {"tasks": 2400, "slices": 16, "proxies": 200, "assigners": 300, "reports": 60, "changes": 20},
    {"tasks": 600, "slices": 60, "proxies": 500, "reports": 150, "classes": 4},
    {"tasks": 6200, "slices": 11, "proxies": 780, "reports": 180, "changes": 2},
)


@dataclass(frozen=True)
class Point:
    """A size with its place in the plan: on which axis it lies, or what it is kept for."""

    name: str
    # "base", an axis, "fleet", "pair" (to choose how axes combine) or "held" (to test the
    # prediction)
    role: str
    size: Size


def plan() -> list:
    """All points of a whole measurement."""
    base = Size()
    made = [
        Point(f"fleet-{count}", "fleet", replace(base, assigners=count, hollow=count))
        for count in FLEETS
    ]  # the longest first
    made += [Point("base", "base", base)]
    made += [
        Point(f"{axis}-{value}", axis, replace(base, **{axis: value}))
        for axis, values in STEPS.items()
        for value in values
    ]
    made += [Point(f"pair-{k}", "pair", replace(base, **more)) for k, more in enumerate(PAIRS, 1)]
    return made + [
        Point(f"held-{k}", "held", replace(base, **more)) for k, more in enumerate(HELD_OUT, 1)
    ]


def read_size(told: dict) -> Size:
    """The base with these axes otherwise; raises `SizeError`."""
    for name, value in told.items():
        if name not in BOUNDS:
            raise SizeError(f"no axis is named '{name[:40]}'; there are {', '.join(BOUNDS)}")
        least, most = BOUNDS[name]
        if not least <= value <= most:
            raise SizeError(f"axis '{name}' is {value}; it goes from {least} to {most}")
    made = replace(Size(), **told)
    if made.hollow > made.assigners:
        made = replace(made, hollow=made.assigners)
    if made.slices * made.assigners > TABLES:
        raise SizeError(
            f"{made.slices} slices at each of {made.assigners} assigners are more than {TABLES} "
            "tables"
        )
    return made


def needed_mb(size: Size, workers: int) -> float:
    """The resident memory that a run is expected to take."""
    each = (
        KB_AN_ASSIGNER
        + size.tasks * KB_A_TASK
        + size.proxies * KB_A_PROXY
        + size.slices * KB_A_SLICE
    )
    return workers * MB_A_WORKER + size.hollow * each / 1024


def check_machine(size: Size, workers: int, memory_mb: float):
    """Refuses a size that needs more than `memory_mb`, or too many processes, before anything is
    started."""
    if workers > PROCESSES:
        raise SizeError(f"{workers} workers are more than {PROCESSES} processes")
    needs = needed_mb(size, workers)
    if needs > memory_mb:
        raise SizeError(f"this size needs some {needs:.0f} MB; the run may take {memory_mb:.0f} MB")
