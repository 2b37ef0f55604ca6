"""Sizes of the fleet model: axes of a scale run, their bounds and the memory that a size needs."""

from dataclasses import asdict, dataclass, fields, replace

ZONE_NAMES = "abcdefghijklmnopqrstuvwxyz"
MAX_SLICES = 65_534  # limit of the platform's slice numbers
MAX_PROCESSES = 250
MB_PER_WORKER = 60.0  # resident memory of a worker process without assigners
KB_PER_ASSIGNER = 600.0  # a hollow assigner and its stand-ins, without tasks, proxies and slices
KB_PER_TASK, KB_PER_PROXY, KB_PER_SLICE = 6.0, 3.0, 4.0  # in each hollow assigner


class SizeError(ValueError):
    """An invalid size, or one that exceeds the machine; the message is one line."""


@dataclass(frozen=True)
class Size:
    """A value for every axis, and how many of the assigners run (`hollow`).

    The assigners that do not run are modelled as load spread evenly over the tasks."""

    tasks: int = 400
    slices: int = 11  # assigned to each assigner
    proxies: int = 100  # connected to each assigner
    assigners: int = 780
    zones: int = 7
    classes: int = 2
    changes: int = 6  # tasks per minute that are drained, stopped and restarted
    reports: int = 40  # collector messages per second at each assigner
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

# Each point changes one axis and keeps the base values of the others.
AXIS_VALUES = {
    "tasks": (200, 800, 1600, 3200, 6200),
    "slices": (5, 22, 44, 80),
    "proxies": (50, 200, 400, 800, 1600),
    "assigners": (25, 100, 200, 400),
    "zones": (2, 4, 14),
    "classes": (1, 4, 8),
    "changes": (0, 30, 120, 480),
    "reports": (10, 80, 160, 320),
}
FLEET_SIZES = (100, 25, 50, 200)  # assigners, all of which run, to measure their joint effects
PAIR_POINTS = (
    {"tasks": 1600, "proxies": 400},
    {"tasks": 800, "slices": 33, "reports": 120},
    {"proxies": 400, "slices": 33, "changes": 60},
)
HELD_OUT_POINTS = (
    {"tasks": 1200, "slices": 30, "proxies": 300, "reports": 100, "zones": 4},
    {"tasks": 2400, "slices": 16, "proxies": 200, "assigners": 300, "reports": 60, "changes": 20},
    {"tasks": 600, "slices": 60, "proxies": 500, "reports": 150, "classes": 4},
    {"tasks": 6200, "slices": 11, "proxies": 780, "reports": 180, "changes": 2},
)


@dataclass(frozen=True)
class Point:
    """A named size with its role in the plan."""

    name: str
    # "base", the name of the axis that differs from the base, "fleet", "pair" (selects how the
    # effects of axes combine) or "held" (held out to test the predictions)
    role: str
    size: Size


def plan() -> list:
    """All points of a complete measurement."""
    base = Size()
    points = [
        Point(f"fleet-{count}", "fleet", replace(base, assigners=count, hollow=count))
        for count in FLEET_SIZES
    ]  # the longest runs first
    points += [Point("base", "base", base)]
    points += [
        Point(f"{axis}-{value}", axis, replace(base, **{axis: value}))
        for axis, values in AXIS_VALUES.items()
        for value in values
    ]
    points += [
        Point(f"pair-{k}", "pair", replace(base, **more)) for k, more in enumerate(PAIR_POINTS, 1)
    ]
    return points + [
        Point(f"held-{k}", "held", replace(base, **more))
        for k, more in enumerate(HELD_OUT_POINTS, 1)
    ]


def read_size(axes: dict) -> Size:
    """The base size with these axes replaced; raises `SizeError`."""
    for name, value in axes.items():
        if name not in BOUNDS:
            raise SizeError(f"no axis is named '{name[:40]}'; there are {', '.join(BOUNDS)}")
        minimum, maximum = BOUNDS[name]
        if not minimum <= value <= maximum:
            raise SizeError(f"axis '{name}' is {value}; it goes from {minimum} to {maximum}")
    size = replace(Size(), **axes)
    if size.hollow > size.assigners:
        size = replace(size, hollow=size.assigners)
    if size.slices * size.assigners > MAX_SLICES:
        raise SizeError(
            f"{size.slices} slices at each of {size.assigners} assigners are more than "
            f"{MAX_SLICES} tables"
        )
    return size


def expected_memory_mb(size: Size, workers: int) -> float:
    """The expected resident memory of a run."""
    kb_per_assigner = (
        KB_PER_ASSIGNER
        + size.tasks * KB_PER_TASK
        + size.proxies * KB_PER_PROXY
        + size.slices * KB_PER_SLICE
    )
    return workers * MB_PER_WORKER + size.hollow * kb_per_assigner / 1024


def check_machine(size: Size, workers: int, memory_mb: float):
    """Raises `SizeError` if a run would need more than `memory_mb` or too many processes.

    This is checked before any process is started."""
    if workers > MAX_PROCESSES:
        raise SizeError(f"{workers} workers are more than {MAX_PROCESSES} processes")
    expected_mb = expected_memory_mb(size, workers)
    if expected_mb > memory_mb:
        raise SizeError(
            f"this size needs some {expected_mb:.0f} MB; the run may take {memory_mb:.0f} MB"
        )
