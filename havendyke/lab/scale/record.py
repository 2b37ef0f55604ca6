"""JSON records, one per run: never overwritten, and checked when they are read."""

import hashlib
import json
import os
import platform
import subprocess
from pathlib import Path

import psutil

RECORD_FORMAT = "havendyke scale 1"
PACKAGE_ROOT = Path(__file__).parents[2]
MEASURED_FILES = ("*.py", "net/*.py")  # files of the package whose cost a run measures
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
    """A file that is not a valid record or does not match the others; the message is one line."""


def machine() -> dict:
    """Properties of the machine that the figures depend on; none of them identifies it."""
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(psutil.virtual_memory().total / GB),
        "python": platform.python_version(),
    }


def source_version() -> dict:
    """The commit, and a digest of the measured files, which no other file affects."""
    digest = hashlib.blake2b(digest_size=8)
    for pattern in MEASURED_FILES:
        for path in sorted(PACKAGE_ROOT.glob(pattern)):
            digest.update(path.read_bytes())
    result = subprocess.run(
        ["git", "rev-parse", "--short=12", "HEAD"], cwd=PACKAGE_ROOT, capture_output=True, text=True
    )
    return {"commit": result.stdout.strip() or "unknown", "sources": digest.hexdigest()}


def write(folder: Path, name: str, record: dict) -> Path:
    """Writes a new record; raises `RecordError` if its file exists."""
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
    """Reads and checks a record; raises `RecordError`."""
    try:
        record = json.loads(Path(path).read_text())
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise RecordError(f"{path}: not JSON: {error}") from None
    if not isinstance(record, dict) or record.get("form") != RECORD_FORMAT:
        raise RecordError(f"{path}: not a record of a scale run")
    for name, kind in FIELDS.items():
        if not isinstance(record.get(name), kind):
            raise RecordError(f"{path}: field '{name}' is missing or no {kind.__name__}")
    return record


def read_all(folder: Path) -> list:
    """Reads all records of a folder in the order of their names.

    Raises `RecordError` if one is invalid or was made with other sources than the first."""
    paths = sorted(Path(folder).glob("*.json"))
    if not paths:
        raise RecordError(f"{folder}: no records")
    records = [read(path) for path in paths]
    for path, record in zip(paths, records):
        if record["text"].get("sources") != records[0]["text"].get("sources"):
            raise RecordError(
                f"{path}: of another text than {paths[0].name}; keep records of one text in a "
                "folder"
            )
    return records
