"""Whether the real program exchanges with its peers what an earlier commit did: `exchange --against
COMMIT [--plays N]`.

Both versions run at the same time, each by the `run` command of its own deploy file, on loopback
and among stand-ins of its own, through the same script (`_exchange_script`). What each peer has
received is compared to the byte, but for what follows the clock:

- Addresses stand as the names of their stand-ins.
- Of requests to discovery and of health checks, their number and time are not compared: each
  request counts once for the whole exchange.
- Of calls to the relay and of requests for its watch, the `id` is masked, and `nonce_out` in calls.
  How the orders of a step are divided into calls, their sequence and repeats are not compared: each
  order counts once a step.

What a collector is answered is compared as it is. Two equal versions may still decide otherwise on
a busy machine, where an answer or a timer comes late. A play that shows a difference is therefore
repeated, and a difference is one that shows in each play.

Not covered: orders to which the script does not lead (`DEL`, `IN`), the log, the counters, state on
disk, timeouts and their lengths, lost or silent connections but for one call, malformed messages of
discovery and of the relay, and load.

Status 0: no difference; 1: some; 2: the versions could not be compared."""

import argparse
import asyncio
import json
import re
import sys
import tempfile
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, NoReturn

from ._earlier import PACKAGE, ROOT, UnknownRevisionError, commit_of, extract
from ._exchange_script import RELAYS, SERVERS, STEPS, Exchange, Program, free_address
from ._stub_peers import ReceivedMessage
from ._version import DEPLOY_FILE, VersionError

SAME, DIFFERENT, NOT_COMPARED = 0, 1, 2
EARLIER, PRESENT = "earlier", "present"
COMPARED_PATHS = (PACKAGE, DEPLOY_FILE)
PLAYS = 3
WHOLE_EXCHANGE = "whole exchange"
PERIODIC_PEERS = frozenset({"discovery", *SERVERS})
CALL = re.compile(r'(.*"id":)[0-9]+(,.*"orders":\[\{)(.*)(\}\].*\n)', re.DOTALL)
REQUEST = re.compile(r'("id":)[0-9]+')
NONCE = re.compile(r'("nonce_out":)[0-9]+')

# By step and peer, what the peer received.
Transcript = dict[tuple[str, str], list[str]]


class Options(argparse.ArgumentParser):
    """A parser whose complaint is one line."""

    def error(self, message: str) -> NoReturn:
        """Raises `VersionError`."""
        raise VersionError(message)


@dataclass
class Difference:
    """What one peer received in a step of one version alone."""

    step: str
    peer: str
    earlier: list[str]
    present: list[str]


@dataclass
class Comparison:
    """What the plays have shown; the figures and differences are those of the last play."""

    plays: int = 0
    messages: dict[str, int] = field(default_factory=dict)
    exit_statuses: dict[str, int] = field(default_factory=dict)
    differences: list[Difference] = field(default_factory=list)


def call_parts(text: str) -> list[str]:
    """A call's envelope and its orders, without what follows the clock."""
    match = CALL.fullmatch(text)
    if match is None:
        return [REQUEST.sub(r"\1#", text)]
    head, middle, orders, tail = match.groups()
    return [f"{head}#{middle}{tail}", *NONCE.sub(r"\1#", orders).split("},{")]


def transcript(messages: Iterable[ReceivedMessage], names: dict[str, str]) -> Transcript:
    """The messages in the form in which they are compared; `names` are those of addresses."""
    peers: Transcript = {}
    for message in messages:
        text = message.data.decode(errors="backslashreplace")
        for address, name in names.items():
            text = text.replace(address, f"<{name}>")
        step = WHOLE_EXCHANGE if message.peer in PERIODIC_PEERS else message.step
        parts = call_parts(text) if message.peer in RELAYS else [text]
        peers.setdefault((step, message.peer), []).extend(parts)
    return {key: canonical(key[1], texts) for key, texts in peers.items()}


def canonical(peer: str, texts: list[str]) -> list[str]:
    """Each text once and in order, where the clock decides on number and sequence."""
    if peer in RELAYS or peer in PERIODIC_PEERS:
        return sorted(set(texts))
    return ["".join(texts)]


def differences(earlier: Transcript, present: Transcript) -> list[Difference]:
    """What stands in one transcript alone."""
    found = []
    for step, peer in dict.fromkeys([*earlier, *present]):
        before, now = earlier.get((step, peer), []), present.get((step, peer), [])
        if before != now:
            only_before = [text for text in before if text not in now]
            only_now = [text for text in now if text not in before]
            found.append(Difference(step, peer, only_before, only_now))
    return found


@dataclass
class Play:
    """How one version went through the script."""

    transcript: Transcript
    messages: int
    exit_status: int


async def play(name: str, folder: Path, workspace: Path, steps: Sequence[str]) -> Play:
    """Plays the script with one version."""
    program = Program(folder, workspace / f"{name}.json", free_address())
    exchange = Exchange(program)
    try:
        status = await exchange.play(steps)
    except VersionError as error:
        raise VersionError(f"{name}: {error}") from error
    names = {listener.address: listener.name for listener in exchange.listeners}
    received = exchange.recorder.messages
    return Play(transcript(received, names), len(received), status)


async def play_both(earlier: Path, present: Path, steps: Sequence[str]) -> tuple[Play, Play]:
    """Plays the script with both versions at the same time."""
    with tempfile.TemporaryDirectory(prefix="exchange-") as workspace:
        plays = (
            play(name, folder, Path(workspace), steps)
            for name, folder in ((EARLIER, earlier), (PRESENT, present))
        )
        first, second = await asyncio.gather(*plays)
    return first, second


def compare(
    earlier_folder: Path, present_folder: Path, plays: int, steps: Sequence[str] = tuple(STEPS)
) -> Comparison:
    """Plays until the versions agree, `plays` times at most."""
    result = Comparison()
    while result.plays < plays:
        earlier, present = asyncio.run(play_both(earlier_folder, present_folder, steps))
        result.plays += 1
        result.messages = {EARLIER: earlier.messages, PRESENT: present.messages}
        result.exit_statuses = {EARLIER: earlier.exit_status, PRESENT: present.exit_status}
        result.differences = differences(earlier.transcript, present.transcript)
        if agrees(result):
            break
    return result


def agrees(result: Comparison) -> bool:
    """Whether the last play showed no difference."""
    return not result.differences and len(set(result.exit_statuses.values())) == 1


def parse_count(text: str) -> int:
    """The number of an option."""
    if not re.fullmatch(r"[1-9][0-9]?", text):
        raise argparse.ArgumentTypeError(f"{text} is not a number from 1 to 99")
    return int(text)


def read_options(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line."""
    options = Options(prog="benchmarks exchange")
    options.add_argument("--against", required=True, metavar="COMMIT", help="the earlier version")
    options.add_argument(
        "--plays",
        type=parse_count,
        default=PLAYS,
        metavar="N",
        help="plays at most, until one agrees",
    )
    return options.parse_args(arguments)


def report(commit: str, result: Comparison) -> dict[str, Any]:
    """What is printed as one line."""
    return {"benchmark": "exchange", "against": commit, **asdict(result)}


def main(arguments: Sequence[str]) -> int:
    """Runs the comparison and returns its status."""
    try:
        options = read_options(arguments)
        commit = commit_of(options.against)
        with tempfile.TemporaryDirectory(prefix="earlier-") as folder:
            extract(options.against, Path(folder), COMPARED_PATHS)
            result = compare(Path(folder), ROOT, options.plays)
    except (UnknownRevisionError, VersionError) as error:
        print(f"benchmarks: exchange: {error}", file=sys.stderr)
        return NOT_COMPARED
    print(json.dumps(report(commit, result)))
    return SAME if agrees(result) else DIFFERENT
