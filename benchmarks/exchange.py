"""Compares the messages that the program and an earlier commit exchange with their peers:
`exchange --against COMMIT [--plays N]`.

Both versions run at the same time on loopback, each by the `run` command of its own deploy file and
with its own stub peers, through the same script (`_exchange_script`). The bytes that each peer
receives are compared, except what depends on timing:

- Addresses are replaced by the names of their stubs.
- The number and times of requests to discovery and of health checks are not compared: equal
  requests count once for the whole exchange.
- In calls to the relay and requests for its watch, `id` is masked, and in calls `nonce_out`. The
  division of a step's orders into calls, their sequence and repeats are not compared: equal orders
  count once in a step.

Answers to collectors are compared unchanged. On a busy machine, a late answer or timer may lead two
equal versions to different decisions. A play with a difference is therefore repeated; the result is
a difference only if every play has one.

Not covered: orders that the script does not cause (`DEL`, `IN`), the log, the counters, state on
disk, timeouts and their lengths, lost or silent connections except for one call, malformed messages
of discovery and of the relay, and load.

Exit status 0: no difference; 1: some; 2: the versions could not be compared."""

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

# The messages that a peer received in a step, by step and peer.
Transcript = dict[tuple[str, str], list[str]]


class Options(argparse.ArgumentParser):
    """A parser that raises instead of printing its usage."""

    def error(self, message: str) -> NoReturn:
        """Raises `VersionError`."""
        raise VersionError(message)


@dataclass
class Difference:
    """The messages of a peer in a step that only one of the versions sent."""

    step: str
    peer: str
    earlier: list[str]
    present: list[str]


@dataclass
class Comparison:
    """The number of plays, and the counts and differences of the last one."""

    plays: int = 0
    messages: dict[str, int] = field(default_factory=dict)
    exit_statuses: dict[str, int] = field(default_factory=dict)
    differences: list[Difference] = field(default_factory=list)


def call_parts(text: str) -> list[str]:
    """A call's envelope and its orders, with ids and nonces masked."""
    match = CALL.fullmatch(text)
    if match is None:
        return [REQUEST.sub(r"\1#", text)]
    head, middle, orders, tail = match.groups()
    return [f"{head}#{middle}{tail}", *NONCE.sub(r"\1#", orders).split("},{")]


def transcript(messages: Iterable[ReceivedMessage], names: dict[str, str]) -> Transcript:
    """The messages in the form in which they are compared; `names`: the peer at each address."""
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
    """Sorted texts without duplicates, where number and sequence depend on timing."""
    if peer in RELAYS or peer in PERIODIC_PEERS:
        return sorted(set(texts))
    return ["".join(texts)]


def differences(earlier: Transcript, present: Transcript) -> list[Difference]:
    """The messages that are in only one of the transcripts."""
    found = []
    for step, peer in dict.fromkeys([*earlier, *present]):
        old, new = earlier.get((step, peer), []), present.get((step, peer), [])
        if old != new:
            only_old = [text for text in old if text not in new]
            only_new = [text for text in new if text not in old]
            found.append(Difference(step, peer, only_old, only_new))
    return found


@dataclass
class Play:
    """One version's transcript, number of messages and exit status."""

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
    """Whether the last play had no difference."""
    return not result.differences and len(set(result.exit_statuses.values())) == 1


def parse_count(text: str) -> int:
    """Parses the value of an option that counts."""
    if not re.fullmatch(r"[1-9][0-9]?", text):
        raise argparse.ArgumentTypeError(f"{text} is not a number from 1 to 99")
    return int(text)


def read_options(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line; raises `VersionError`."""
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
    """The result that is printed as one line of JSON."""
    return {"benchmark": "exchange", "against": commit, **asdict(result)}


def main(arguments: Sequence[str]) -> int:
    """Runs the comparison and returns the exit status."""
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
