"""Imports an earlier version of the product from the repository's history into this process."""

import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median
from time import perf_counter
from typing import Any

ROOT = Path(__file__).parents[1]
PACKAGE = "havendyke"


class UnknownRevisionError(Exception):
    """A revision or a path in it that the repository's history does not have."""


def commit_of(revision: str) -> str:
    """The hash of a revision's commit; raises `UnknownRevisionError`."""
    completed = subprocess.run(
        ["git", "rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    if completed.returncode:
        raise UnknownRevisionError(f"unknown revision {revision}")
    return completed.stdout.strip()


def extract(revision: str, folder: Path, paths: Sequence[str] = (PACKAGE,)) -> None:
    """Extracts paths of a revision into a folder; raises `UnknownRevisionError`."""
    completed = subprocess.run(
        ["git", "archive", commit_of(revision), *paths], cwd=ROOT, capture_output=True
    )
    if completed.returncode:
        raise UnknownRevisionError(f"{revision} has no {' or no '.join(paths)}")
    with tarfile.open(fileobj=io.BytesIO(completed.stdout)) as tar:
        tar.extractall(folder, filter="data")


def import_revision(revision: str) -> str:
    """Imports a revision's `havendyke` as a package of another name and returns that name."""
    name = f"earlier_{revision}"
    if name in sys.modules:
        return name
    folder = Path(tempfile.mkdtemp(prefix="earlier-"))
    try:
        extract(revision, folder)
    except UnknownRevisionError as error:
        raise SystemExit(f"benchmarks: {error}") from error
    (folder / "havendyke").rename(folder / name)
    sys.path.insert(0, str(folder))
    importlib.import_module(name)
    return name


def compare_speed(
    old: Callable[[], object], new: Callable[[], object], repeats: int = 9
) -> dict[str, Any]:
    """Times both callables alternately, so that other load on the machine affects both alike.

    Returns the ratio of their medians, and the times."""
    times: dict[str, list[float]] = {"old": [], "new": []}
    for _ in range(repeats):
        for which, call in (("old", old), ("new", new)):
            began = perf_counter()
            call()
            times[which].append(perf_counter() - began)
    medians = {which: median(t) for which, t in times.items()}
    return {
        "new_over_old_speed": round(medians["old"] / medians["new"], 3),
        "repeats": repeats,
        **{
            f"{which}_ms": [round(1000 * f(t), 3) for f in (min, median, max)]
            for which, t in times.items()
        },
    }
