"""Fits an assigner's cost to the records of scale runs and checks it against the operators' target.

`python -m benchmarks capacity --fit` prints every slope and each held-out prediction as one JSON
line, `--page` rewrites the tables of docs/CAPACITY.md and docs/design/capacity.md. `--records
FOLDER` reads other records."""

import argparse
import json
import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).parents[1]
RECORDS = ROOT / "benchmarks" / "records"
PAGES = [ROOT / "docs" / "CAPACITY.md", ROOT / "docs" / "design" / "capacity.md"]


class UsageError(ValueError):
    """The command line is invalid."""


class OptionParser(argparse.ArgumentParser):
    """A parser that raises instead of printing its usage."""

    def error(self, message: str) -> NoReturn:
        """Raises `CallError`."""
        raise UsageError(message)


def fit_records(folder: Path) -> dict[str, Any]:
    """Fits the curves to the records in a folder and checks the held-out predictions."""
    from havendyke.lab.scale import record
    from havendyke.lab.scale.page import Page

    page = Page(record.read_all(folder))
    checks = page.check_predictions()
    return {
        "benchmark": "capacity",
        "records": len(page.records),
        "text": page.records[0]["text"],
        "text_is_present": page.records[0]["text"]["sources"] == record.source_version()["sources"],
        "curves": {
            metric: {
                "combine": model.combine,
                "axes": {axis: round_figures(asdict(c)) for axis, c in model.curves.items()},
            }
            for metric, model in page.models.items()
            if model.curves
        },
        "held_out": {
            "within": sum(c.passed for c in checks),
            "of": len(checks),
            "beyond": [
                round_figures({**asdict(c), "miss": c.relative_error})
                for c in checks
                if not c.passed
            ],
        },
    }


def round_figures(figures: dict[str, Any]) -> dict[str, Any]:
    """The figures with five significant digits."""
    return {
        key: float(f"{value:.5g}") if isinstance(value, float) else value
        for key, value in figures.items()
    }


def measure() -> dict[str, Any]:
    """The fit of the repository's records."""
    return fit_records(RECORDS)


def read_options(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line; raises `CallError`."""
    parser = OptionParser(
        prog="benchmarks capacity", description="Slopes and pages from the records of scale runs."
    )
    action = parser.add_mutually_exclusive_group(required=True)
    action.add_argument(
        "--fit", action="store_true", help="print slopes and held-out predictions as one JSON line"
    )
    action.add_argument("--page", action="store_true", help="rewrite the pages' tables")
    parser.add_argument("--records", type=Path, default=RECORDS, metavar="FOLDER")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    """Prints the fit or rewrites the pages; returns the exit status."""
    try:
        options = read_options(arguments)
        from havendyke.lab.scale import page, record
    except UsageError as error:
        return report_error(error)
    except ModuleNotFoundError as error:
        return report_error(f"missing module {error.name}: pip install -r requirements-dev.txt")
    try:
        if options.fit:
            print(json.dumps(fit_records(options.records)))
        else:
            print(
                "\n".join(page.rewrite_pages(options.records, PAGES))
                or "the pages agree with the records"
            )
    except (record.RecordError, page.PageError) as error:
        return report_error(error)
    return 0


def report_error(message: object) -> int:
    """Prints an error; returns the exit status."""
    print(f"benchmarks capacity: {message}", file=sys.stderr)
    return 2
