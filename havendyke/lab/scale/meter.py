"""Counts what crosses an assigner's connections, and the processor time that each activity
takes."""

import sys
from collections import Counter
from pathlib import Path
from time import thread_time

IN, OUT = "in", "out"
KINDS = ("list", "watch", "reports", "probes", "news", "calls")
LINES = {"news", "calls"}
PACKAGE_ROOT = str(Path(__file__).parents[2])
LAB_ROOT = str(Path(__file__).parents[1])


def kind_of(peer) -> str:
    """The kind of traffic that a connection of this peer carries."""
    if peer.name == "discovery":
        return "watch" if peer.follow else "list"
    return {
        "clients": "reports",
        "relay": "calls",
        "relay_watch": "news",
        "health_checks": "probes",
    }.get(peer.name, peer.name)


def messages_in(kind: str, data: bytes) -> int:
    """How many messages these whole bytes are."""
    if kind in LINES:
        return data.count(b"\n")
    if kind == "reports":
        return data.count(b"*")
    return data.count(b"\r\n") // 2 if kind == "watch" else 1


class Meter:
    """Sums of one assigner. Activities nest: each has the time that none within it took."""

    def __init__(self):
        self.bytes, self.messages, self.cpu, self.calls = Counter(), Counter(), Counter(), Counter()
        self.stack, self.since = [], 0.0

    def count(self, kind: str, way: str, data, messages: int):
        self.bytes[kind, way] += len(data)
        self.messages[kind, way] += messages

    def timed(self, activity: str, call):
        """`call`, its processor time charged to the activity."""

        def run(*arguments):
            self.enter(activity)
            try:
                return call(*arguments)
            finally:
                self.leave()

        return run

    def enter(self, activity: str):
        now = thread_time()
        if self.stack:
            self.cpu[self.stack[-1]] += now - self.since
        self.stack.append(activity)
        self.calls[activity] += 1
        self.since = now

    def leave(self):
        now = thread_time()
        self.cpu[self.stack.pop()] += now - self.since
        self.since = now

    def take(self) -> dict:
        """What was counted since the last call, as plain values."""
        made = {
            "traffic": {
                kind: {
                    f"{way}_{unit}": counts[kind, way]
                    for way in (IN, OUT)
                    for unit, counts in (("bytes", self.bytes), ("messages", self.messages))
                }
                for kind in KINDS
            },
            "cpu_ms": {name: 1000.0 * spent for name, spent in self.cpu.items()},
            "calls": dict(self.calls),
        }
        for counts in (self.bytes, self.messages, self.cpu, self.calls):
            counts.clear()
        return made


class InstructionCounter:
    """Counts the interpreter's instructions in the product's own code while it is entered: the same
    every run."""

    def __init__(self):
        self.count, self.before = 0, None

    def __enter__(self):
        self.before = sys.gettrace()
        sys.settrace(self.called)
        return self

    def __exit__(self, *error):
        sys.settrace(self.before)

    def called(self, frame, event, argument):
        name = frame.f_code.co_filename
        if not name.startswith(PACKAGE_ROOT) or name.startswith(LAB_ROOT):
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self.executed

    def executed(self, frame, event, argument):
        self.count += event == "opcode"
        return self.executed


class Yardstick:
    """A plain loop's processor time, taken again and again beside a run: what else the machine does
    slows both alike."""

    LOOPS = 20_000

    def __init__(self):
        self.spent, self.times = 0.0, 0

    def lay(self):
        began, total = thread_time(), 0
        for number in range(self.LOOPS):
            total += number & 7
        self.spent += thread_time() - began
        self.times += 1

    def take(self) -> float:
        """The mean time of a loop, ms, since the last call."""
        made = 1000.0 * self.spent / max(1, self.times)
        self.spent, self.times = 0.0, 0
        return made
