"""Limits of a run's time, processes and memory, which are checked while it runs."""

import os
import time
from dataclasses import dataclass

import psutil

MAX_MEMORY_SHARE = 0.5  # of the machine's memory
MB = 1 << 20


class LimitExceededError(Exception):
    """A limit was exceeded and the run has ended; the message is one line."""


@dataclass(frozen=True)
class Limits:
    seconds: float = 600.0
    memory_mb: float = 4096.0
    processes: int = 250


def machine_limits(seconds: float, memory_mb: float) -> Limits:
    """The requested limits, with memory capped at half of the machine's."""
    return Limits(seconds, min(memory_mb, MAX_MEMORY_SHARE * psutil.virtual_memory().total / MB))


class Guard:
    """Checks this process and its descendants against the limits."""

    def __init__(self, limits: Limits):
        self.limits, self.started_s, self.peak_memory_mb = limits, time.monotonic(), 0.0
        self.process = psutil.Process(os.getpid())

    def check(self):
        """Raises `LimitExceededError` if a limit is exceeded."""
        processes = [self.process, *self.process.children(recursive=True)]
        used_mb = 0.0
        for process in processes:
            try:
                used_mb += process.memory_info().rss / MB
            except psutil.Error:
                continue  # the process ended in the meantime
        self.peak_memory_mb = max(self.peak_memory_mb, used_mb)
        if used_mb > self.limits.memory_mb:
            raise LimitExceededError(
                f"the run took {used_mb:.0f} MB of the {self.limits.memory_mb:.0f} that it may, "
                "and has ended"
            )
        if len(processes) > self.limits.processes:
            raise LimitExceededError(
                f"the run had {len(processes)} processes of the {self.limits.processes} that it "
                "may, and has ended"
            )
        if time.monotonic() - self.started_s > self.limits.seconds:
            raise LimitExceededError(
                f"the run took longer than {self.limits.seconds:.0f} s, and has ended"
            )
