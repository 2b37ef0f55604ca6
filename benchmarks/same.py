"""Whether the working tree orders on drawn days what an earlier commit did: `same --against COMMIT
[--seeds FIRST:END]`.

Each version runs as a process of its own, started by the `sim` command of its own deploy file, so
that modules, types and fields may have other names in either. A day is played against the answers
of the earlier version; the present one gets the same lines, and its answers must be the same byte
for byte. A day ends with its first difference. Status 0: no difference; 1: some; 2: the versions
could not be compared.

Not covered, since the wire does not carry it: the loss of the push channel and pushes that never
left (`PushChannelStatus`), starts that a cached list only assumes (`start_confirmed`), health
checks that reached an earlier incarnation (`SUPERSEDED`), and the registry's forgetting of departed
servers. Settings below what their page allows are raised to that. `left_out` names the keys of the
settings that no module of a version quotes, which it therefore ignores."""

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
    """The two versions, or the days asked for, do not allow a comparison."""


class DivergenceError(Exception):
    """The present version answered otherwise."""


class Options(argparse.ArgumentParser):
    """A parser whose complaint is one line."""

    def error(self, message: str) -> NoReturn:
        """Raises `ComparisonError`."""
        raise ComparisonError(message)


@dataclass
class Difference:
    """The first turn of a day whose answers differ, as each version wrote it."""

    seed: int
    kind: str
    turn: int
    earlier: str
    present: str


@dataclass
class Comparison:
    """What the days have shown so far."""

    left_out: dict[str, list[str]] = field(default_factory=dict)  # by version, keys of settings
    days: int = 0
    turns: int = 0
    orders: int = 0
    differing_days: int = 0
    first_difference: Difference | None = None


class ComparedDay:
    """One day that both versions get, driven by the answers of the earlier one."""

    def __init__(self, seed: int, earlier: VersionProcess, present: VersionProcess) -> None:
        """Draws the day of the seed."""
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
        except Exception as error:  # of any kind: the world met orders that it cannot carry out
            raise self.ended_early(EARLIER, f"{type(error).__name__}: {error}") from error

    def count(self, orders: Sequence[object]) -> None:
        """Notes one turn's orders."""
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
        """The messages of an answer, unless it declares a failure of the decisions."""
        try:
            outbox = decode_answer(answer)
        except WireError as error:
            raise self.ended_early(version, str(error)) from error
        for message in outbox:
            if message["kind"] == FAILURE_KIND:
                raise self.ended_early(version, message["message"])
        return outbox

    def ended_early(self, version: str, reason: str) -> ComparisonError:
        """The error that names the day and the turn."""
        return ComparisonError(
            f"{version}: day {self.seed} ended early at turn {self.turns}: {reason}"
        )


def unread_settings(folder: Path) -> list[str]:
    """Keys of the settings that no module of the version in a folder quotes."""
    texts = [path.read_text() for path in (folder / PACKAGE).rglob("*.py")]
    keys = settings_keys(encode_settings(day_of(SEEDS.start).settings))
    return [key for key in keys if not any(f'"{key}"' in text for text in texts)]


def compare(earlier_folder: Path, present_folder: Path, seeds: range) -> Comparison:
    """Plays the days of the seeds with the versions in both folders."""
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
    """The seeds of an option."""
    match = re.fullmatch(r"([0-9]{1,9}):([0-9]{1,9})", text)
    seeds = range(int(match[1]), int(match[2])) if match else range(0)
    if not seeds:
        raise argparse.ArgumentTypeError(f"{text} is not FIRST:END with FIRST below END")
    return seeds


def read_options(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line."""
    options = Options(prog="benchmarks same")
    options.add_argument("--against", required=True, metavar="COMMIT", help="the earlier version")
    options.add_argument(
        "--seeds",
        type=parse_seeds,
        default=SEEDS,
        metavar="FIRST:END",
        help="the days, END left out",
    )
    return options.parse_args(arguments)


def report(commit: str, seeds: range, result: Comparison) -> dict[str, Any]:
    """What is printed as one line."""
    return {
        "benchmark": "same",
        "against": commit,
        "seeds": f"{seeds.start}:{seeds.stop}",
        **asdict(result),
    }


def main(arguments: Sequence[str]) -> int:
    """Runs the comparison and returns its status."""
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
