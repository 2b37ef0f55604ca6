"""The Hypothesis profile of all property tests: every run draws the same values.

Tests keep their own `max_examples`; `python -m fuzz run` draws with new seeds.
"""

import importlib
import pkgutil
from pathlib import Path

from hypothesis import settings

PROFILE = "tests"


def load(root: Path) -> None:
    """Makes the profile the default of all tests that are collected afterwards."""
    # The parent is explicit because Hypothesis has another default profile in CI. There is no
    # example database because the next run would first repeat a failing example from it, and no
    # deadline because it would depend on the machine's load.
    settings.register_profile(
        PROFILE,
        parent=settings.get_profile("default"),
        derandomize=True,
        database=None,
        deadline=None,
    )
    settings.load_profile(PROFILE)
    import_packages(root)


def import_packages(root: Path) -> None:
    """Imports every module of the packages at the root.

    Hypothesis draws some values from the constants in the project's loaded modules. Without this, a
    test would draw other values alone than in a run of all tests."""
    for module in pkgutil.walk_packages([str(root)]):
        in_package = "." in module.name
        if in_package and not module.name.endswith(".__main__"):
            importlib.import_module(module.name)
