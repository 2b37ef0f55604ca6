"""Measures the points of the plan that have no record yet, several in parallel."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from . import record
from .guard import Limits
from .run import ASSIGNERS_PER_WORKER, measure
from .size import plan

REAL_COUNTS = {
    "base": 2,
    "tasks-1600": 1,
    "tasks-6200": 1,
    "proxies-800": 1,
    "reports-160": 1,
    "held-4": 1,
}  # real assigners of a point, by its name


def worker_count(point) -> int:
    """One worker for each `ASSIGNERS_PER_WORKER` assigners that run."""
    return -(-point.size.hollow // ASSIGNERS_PER_WORKER)


def measure_all(
    folder: Path, seed: int, concurrency: int, limits: Limits, report=print, only: str = ""
):
    """Measures every point without a record whose name contains `only`.

    `report(line)` is called with the path of each new record. Points that need several workers run
    one at a time, after the others."""
    missing = [
        p for p in plan() if only in p.name and not (Path(folder) / f"{p.name}.json").exists()
    ]

    def measure_point(point):
        measured = measure(
            point, seed, worker_count(point), limits, real_count=REAL_COUNTS.get(point.name, 0)
        )
        report(f"{record.write(folder, point.name, measured)}")

    single_worker_points = [p for p in missing if worker_count(p) == 1]
    with ThreadPoolExecutor(concurrency) as pool:
        list(pool.map(measure_point, single_worker_points))
    for point in missing:
        if point not in single_worker_points:
            measure_point(point)
