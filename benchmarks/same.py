"""Compares the orders of the working tree and of an earlier commit on randomly generated days:
`same --against COMMIT [--seeds FIRST:END]`.

Each version runs in its own process, started by the `sim` command of its own deploy file, so that
names of modules, types and fields may differ. The answers of the earlier version drive a day; the
present version gets the same lines, and its answers must be identical byte for byte. A day ends at
its first difference. Exit status 0: no difference; 1: some; 2: the versions could not be compared.

Not covered, since the bench's wire format does not carry it: the loss of the push channel and
pushes that were never sent (`PushChannelStatus`), start times that a cached list only assumes
(`start_confirmed`), health checks of an earlier incarnation (`SUPERSEDED`) and those that could not
be sent (`NOT_SENT`), and the removal of unreferenced servers from the registry. Settings below
their documented minimum are raised to it. `left_out` lists the keys of the settings that no module
of a version quotes, and that it therefore ignores."""

import argparse
import json
import re
import sys
import tempfile
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, NoReturn

from ._days import day_of
from ._earlier import PACKAGE, ROOT, UnknownRevisionError, commit_of, extract
from ._version import DEPLOY_FILE, Session, VersionError, VersionProcess, running_version
from ._wire import FAILURE_KIND, Message, WireError, decode_answer, encode_settings, settings_keys

SEEDS = range(1200)
SAME, DIFFERENT, NOT_COMPARED = 0, 1, 2
EARLIER, PRESENT = "earlier", "present"
COMPARED_PATHS = (PACKAGE, DEPLOY_FILE)


class ComparisonError(Exception):
    """The command line is invalid, or a version failed, so that nothing can be compared."""


class DivergenceError(Exception):
    """The answers of the two versions differ."""


class Options(argparse.ArgumentParser):
    """A parser that raises instead of printing its usage."""

    def error(self, message: str) -> NoReturn:
        """Raises `ComparisonError`."""
        raise ComparisonError(message)


@dataclass
class Difference:
    """The first reconciliation of a day whose answers differ, with both answers."""

    seed: int
    kind: str
    turn: int
    earlier: str
    present: str


@dataclass
class Comparison:
    """The result of the days so far."""

    left_out: dict[str, list[str]] = field(default_factory=dict)  # by version, keys of settings
    days: int = 0
    turns: int = 0
    orders: int = 0
    differing_days: int = 0
    first_difference: Difference | None = None


class ComparedDay:
    """One day played with both versions and driven by the answers of the earlier one."""

    def __init__(self, seed: int, earlier: VersionProcess, present: VersionProcess) -> None:
        """Generates the day of the seed."""
        self.seed = seed
        self.day = day_of(seed)
        self.versions = (earlier, present)
        self.turns = self.orders = 0
        self.difference: Difference | None = None

    def play(self) -> None:
        """Plays the day to its end or to its first difference; raises `ComparisonError`."""
        session = Session(self.exchange, self.day.settings, self.seed)
        try:
            with suppress(DivergenceError):
                self.day.play(session, self.count)
            with suppress(DivergenceError):
                session.close()
        except (ComparisonError, VersionError):
            raise
        except Exception as error:  # the simulation may fail in any way on invalid orders
            raise self.ended_early(EARLIER, f"{type(error).__name__}: {error}") from error

    def count(self, orders: Sequence[object]) -> None:
        """Counts one reconciliation and its orders."""
        self.turns += 1
        self.orders += len(orders)

    def exchange(self, line: bytes) -> list[Message]:
        """Sends a batch to both versions and returns the messages on which they agree."""
        for version in self.versions:
            version.send(line)
        earlier, present = [version.receive() for version in self.versions]
        outbox = self.outbox(EARLIER, earlier)
        if present != earlier:
            self.outbox(PRESENT, present)
            self.difference = self.difference or Difference(
                self.seed, self.day.kind, self.turns, earlier.decode(), present.decode()
            )
            raise DivergenceError
        return outbox

    def outbox(self, version: str, answer: bytes) -> list[Message]:
        """The messages of an answer; raises `ComparisonError` where it reports a failure."""
        try:
            outbox = decode_answer(answer)
        except WireError as error:
            raise self.ended_early(version, str(error)) from error
        for message in outbox:
            if message["kind"] == FAILURE_KIND:
                raise self.ended_early(version, message["message"])
        return outbox

    def ended_early(self, version: str, reason: str) -> ComparisonError:
        """An error with the day and the reconciliation."""
        return ComparisonError(
            f"{version}: day {self.seed} ended early at turn {self.turns}: {reason}"
        )


def unread_settings(folder: Path) -> list[str]:
    """Keys of the settings that no module of the version in the folder quotes."""
    texts = [path.read_text() for path in (folder / PACKAGE).rglob("*.py")]
    keys = settings_keys(encode_settings(day_of(SEEDS.start).settings))
    return [key for key in keys if not any(f'"{key}"' in text for text in texts)]


def compare(earlier_folder: Path, present_folder: Path, seeds: range) -> Comparison:
    """Plays the seeds' days with the versions in the two folders."""
    result = Comparison(
        {EARLIER: unread_settings(earlier_folder), PRESENT: unread_settings(present_folder)}
    )
    with (
        running_version(EARLIER, earlier_folder) as earlier,
        running_version(PRESENT, present_folder) as present,
    ):
        for seed in seeds:
            day = ComparedDay(seed, earlier, present)
            day.play()
            result.days += 1
            result.turns += day.turns
            result.orders += day.orders
            if day.difference:
                result.differing_days += 1
                result.first_difference = result.first_difference or day.difference
    return result


def parse_seeds(text: str) -> range:
    """Parses `FIRST:END`, the seeds from FIRST to END - 1."""
    match = re.fullmatch(r"([0-9]{1,9}):([0-9]{1,9})", text)
    seeds = range(int(match[1]), int(match[2])) if match else range(0)
    if not seeds:
        raise argparse.ArgumentTypeError(f"{text} is not FIRST:END with FIRST below END")
    return seeds


def read_options(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line; raises `ComparisonError`."""
    options = Options(prog="benchmarks same")
    options.add_argument("--against", required=True, metavar="COMMIT", help="the earlier version")
    options.add_argument(
        "--seeds",
        type=parse_seeds,
        default=SEEDS,
        metavar="FIRST:END",
        help="the days, without END",
    )
    return options.parse_args(arguments)


def report(commit: str, seeds: range, result: Comparison) -> dict[str, Any]:
    """The result that is printed as one line of JSON."""
    return {
        "benchmark": "same",
        "against": commit,
        "seeds": f"{seeds.start}:{seeds.stop}",
        **asdict(result),
    }


def main(arguments: Sequence[str]) -> int:
    """Runs the comparison and returns the exit status."""
    try:
        options = read_options(arguments)
        commit = commit_of(options.against)
        with tempfile.TemporaryDirectory(prefix="earlier-") as folder:
            extract(options.against, Path(folder), COMPARED_PATHS)
            result = compare(Path(folder), ROOT, options.seeds)
    except (ComparisonError, UnknownRevisionError, VersionError) as error:
        print(f"benchmarks: same: {error}", file=sys.stderr)
        return NOT_COMPARED
    print(json.dumps(report(commit, options.seeds, result)))
    return DIFFERENT if result.differing_days else SAME
