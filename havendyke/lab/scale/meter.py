"""Counts the traffic of an assigner's connections and the processor time of each activity."""

import sys
from collections import Counter
from pathlib import Path
from time import thread_time

IN, OUT = "in", "out"
KINDS = ("list", "watch", "reports", "probes", "news", "calls")
LINE_KINDS = {"news", "calls"}
PACKAGE_ROOT = str(Path(__file__).parents[2])
LAB_ROOT = str(Path(__file__).parents[1])


def traffic_kind(peer) -> str:
    """The kind of traffic on connections of this peer."""
    if peer.name == "discovery":
        return "watch" if peer.follow else "list"
    return {
        "clients": "reports",
        "relay": "calls",
        "relay_watch": "news",
        "health_checks": "probes",
    }.get(peer.name, peer.name)


def count_messages(kind: str, data: bytes) -> int:
    """The number of messages in the data, which has no partial message."""
    if kind in LINE_KINDS:
        return data.count(b"\n")
    if kind == "reports":
        return data.count(b"*")
    return data.count(b"\r\n") // 2 if kind == "watch" else 1


class Meter:
    """The traffic and the processor time of one assigner.

    Activities nest; the time of an inner one is not added to the outer one."""

    def __init__(self):
        self.byte_counts, self.message_counts = Counter(), Counter()
        self.cpu_s, self.call_counts = Counter(), Counter()
        self.stack, self.charged_until_s = [], 0.0

    def count(self, kind: str, direction: str, data, messages: int):
        self.byte_counts[kind, direction] += len(data)
        self.message_counts[kind, direction] += messages

    def timed(self, activity: str, call):
        """Wraps a callable so that its processor time is charged to the activity."""

        def run(*args):
            self.enter(activity)
            try:
                return call(*args)
            finally:
                self.leave()

        return run

    def enter(self, activity: str):
        now = thread_time()
        if self.stack:
            self.cpu_s[self.stack[-1]] += now - self.charged_until_s
        self.stack.append(activity)
        self.call_counts[activity] += 1
        self.charged_until_s = now

    def leave(self):
        now = thread_time()
        self.cpu_s[self.stack.pop()] += now - self.charged_until_s
        self.charged_until_s = now

    def take(self) -> dict:
        """Returns the counts since the last call as plain values, and resets them."""
        totals = {
            "traffic": {
                kind: {
                    f"{direction}_{unit}": counts[kind, direction]
                    for direction in (IN, OUT)
                    for unit, counts in (
                        ("bytes", self.byte_counts),
                        ("messages", self.message_counts),
                    )
                }
                for kind in KINDS
            },
            "cpu_ms": {name: 1000.0 * seconds for name, seconds in self.cpu_s.items()},
            "calls": dict(self.call_counts),
        }
        for counts in (self.byte_counts, self.message_counts, self.cpu_s, self.call_counts):
            counts.clear()
        return totals


class InstructionCounter:
    """Counts the bytecode instructions that run in the package, outside the laboratory.

    Unlike times, the count is the same in every run."""

    def __init__(self):
        self.count, self.previous_trace = 0, None

    def __enter__(self):
        self.previous_trace = sys.gettrace()
        sys.settrace(self.trace_call)
        return self

    def __exit__(self, *exc_info):
        sys.settrace(self.previous_trace)

    def trace_call(self, frame, event, arg):
        path = frame.f_code.co_filename
        if not path.startswith(PACKAGE_ROOT) or path.startswith(LAB_ROOT):
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self.trace_opcode

    def trace_opcode(self, frame, event, arg):
        self.count += event == "opcode"
        return self.trace_opcode


class ReferenceLoop:
    """Measures the processor time of a fixed loop throughout a run.

    Other load on the machine slows the loop and the run alike, so that the figures of runs can be
    scaled to the same speed."""

    ITERATIONS = 20_000

    def __init__(self):
        self.spent_s, self.repetitions = 0.0, 0

    def run(self):
        started_s, total = thread_time(), 0
        for number in range(self.ITERATIONS):
            total += number & 7
        self.spent_s += thread_time() - started_s
        self.repetitions += 1

    def take(self) -> float:
        """Returns the mean time (ms) of the loops since the last call, and resets it."""
        mean_ms = 1000.0 * self.spent_s / max(1, self.repetitions)
        self.spent_s, self.repetitions = 0.0, 0
        return mean_ms
