"""One JSON record a run: written once, never over another, and checked when it is read."""

import hashlib
import json
import os
import platform
import subprocess
from pathlib import Path

import psutil

FORM = "havendyke scale 1"
PACKAGE_ROOT = Path(__file__).parents[2]
MEASURED = ("*.py", "net/*.py")  # the product's files whose cost a run measures
FIELDS = {
    "form": str,
    "point": str,
    "role": str,
    "seed": int,
    "size": dict,
    "workers": int,
    "machine": dict,
    "text": dict,
    "phases": dict,
    "memory_mb": dict,
}
GB = 1 << 30


class RecordError(ValueError):
    """A file that is no record, or one that does not belong to the others; one line."""


def machine() -> dict:
    """What a figure depends on; nothing that names the machine."""
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(psutil.virtual_memory().total / GB),
        "python": platform.python_version(),
    }


def source_version() -> dict:
    """The commit, and a digest of the measured files, which stays where a commit changes others."""
    digest = hashlib.blake2b(digest_size=8)
    for pattern in MEASURED:
        for path in sorted(PACKAGE_ROOT.glob(pattern)):
            digest.update(path.read_bytes())
    told = subprocess.run(
        ["git", "rev-parse", "--short=12", "HEAD"], cwd=PACKAGE_ROOT, capture_output=True, text=True
    )
    return {"commit": told.stdout.strip() or "unknown", "sources": digest.hexdigest()}


def write(folder: Path, name: str, record: dict) -> Path:
    """Writes a new record; raises `RecordError` where its file is there already."""
    path = Path(folder) / f"{name}.json"
    try:
        with open(path, "x") as file:
            json.dump(record, file, separators=(",", ":"), sort_keys=True)
            file.write("\n")
    except FileExistsError:
        raise RecordError(f"{path}: there is a record already; nothing was overwritten") from None
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
    return path


def read(path: Path) -> dict:
    """One record, checked; raises `RecordError`."""
    try:
        made = json.loads(Path(path).read_text())
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise RecordError(f"{path}: not JSON: {error}") from None
    if not isinstance(made, dict) or made.get("form") != FORM:
        raise RecordError(f"{path}: not a record of a scale run")
    for name, kind in FIELDS.items():
        if not isinstance(made.get(name), kind):
            raise RecordError(f"{path}: field '{name}' is missing or no {kind.__name__}")
    return made


def read_all(folder: Path) -> list:
    """All records of a folder, by name; raises `RecordError` where one is broken or of another text
    than the others."""
    paths = sorted(Path(folder).glob("*.json"))
    if not paths:
        raise RecordError(f"{folder}: no records")
    made = [read(path) for path in paths]
    for path, record in zip(paths, made):
        if record["text"].get("sources") != made[0]["text"].get("sources"):
            raise RecordError(
                f"{path}: of another text than {paths[0].name}; keep records of one text in a "
                "folder"
            )
    return made
