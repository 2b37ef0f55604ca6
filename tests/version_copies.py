"""Copies of the working tree's version and changes to them, for tests that compare versions."""

import re
import shutil
from pathlib import Path

from benchmarks._earlier import PACKAGE, ROOT
from benchmarks._version import DEPLOY_FILE


def copy_of_version(folder: Path) -> Path:
    """Copies the package and the deploy file into a folder."""
    skipped = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=skipped)
    (folder / DEPLOY_FILE).parent.mkdir()
    shutil.copy(ROOT / DEPLOY_FILE, folder / DEPLOY_FILE)
    return folder


def patch(folder: Path, pattern: str, new: str, within: str = PACKAGE) -> None:
    """Replaces the only match of the pattern in the modules of a version's package."""
    texts = {path: path.read_text() for path in (folder / within).rglob("*.py")}
    matches = [path for path, text in texts.items() for _ in re.finditer(pattern, text)]
    assert len(matches) == 1, f"{pattern!r} must have one match, not {len(matches)}"
    matches[0].write_text(re.sub(pattern, new, texts[matches[0]]))


def add_at_import(folder: Path, code: str) -> None:
    """Adds code that runs when the version's package is imported."""
    module = folder / PACKAGE / "__init__.py"
    module.write_text(module.read_text() + code)
