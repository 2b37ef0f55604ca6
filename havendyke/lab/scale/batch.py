"""All points of the plan, some at once, each into its record; those that have one already are left
out."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from . import record
from .guard import Limits
from .run import A_WORKER, measure
from .size import plan

REALS = {
    "base": 2,
    "tasks-1600": 1,
    "tasks-6200": 1,
    "proxies-800": 1,
    "reports-160": 1,
    "held-4": 1,
}  # real ones beside


def workers_for(point) -> int:
    """One worker for each hundred assigners that run."""
    return -(-point.size.hollow // A_WORKER)


def measure_all(folder: Path, seed: int, at_once: int, limits: Limits, told=print, only: str = ""):
    """Measures every point without a record; `told(line)` hears of each. Points of several workers
    run alone."""
    todo = [p for p in plan() if only in p.name and not (Path(folder) / f"{p.name}.json").exists()]

    def one(point):
        made = measure(point, seed, workers_for(point), limits, real_count=REALS.get(point.name, 0))
        told(f"{record.write(folder, point.name, made)}")

    singles = [p for p in todo if workers_for(p) == 1]
    with ThreadPoolExecutor(at_once) as pool:
        list(pool.map(one, singles))
    for point in todo:
        if point not in singles:
            one(point)
