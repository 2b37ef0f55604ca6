"""The limits of a run, checked while it runs: time, processes and memory."""

import os
import time
from dataclasses import dataclass

import psutil

MEMORY_PART = 0.5  # of the machine, that a run may take at most
MB = 1 << 20


class LimitExceededError(Exception):
    """A limit was passed, and the run has ended; one line."""


@dataclass(frozen=True)
class Limits:
    seconds: float = 600.0
    memory_mb: float = 4096.0
    processes: int = 250


def machine_limits(seconds: float, memory_mb: float) -> Limits:
    """No more memory than half of the machine's, whatever was asked for."""
    return Limits(seconds, min(memory_mb, MEMORY_PART * psutil.virtual_memory().total / MB))


class Guard:
    """Looks at this process and the ones it started."""

    def __init__(self, limits: Limits):
        self.limits, self.began, self.most_mb = limits, time.monotonic(), 0.0
        self.me = psutil.Process(os.getpid())

    def check(self):
        """Raises `LimitExceededError` once a limit is passed."""
        family = [self.me, *self.me.children(recursive=True)]
        used = 0.0
        for process in family:
            try:
                used += process.memory_info().rss / MB
            except psutil.Error:
                continue  # it has ended meanwhile
        self.most_mb = max(self.most_mb, used)
        if used > self.limits.memory_mb:
            raise LimitExceededError(
                f"the run took {used:.0f} MB of the {self.limits.memory_mb:.0f} that it may, and "
                "has ended"
            )
        if len(family) > self.limits.processes:
            raise LimitExceededError(
                f"the run had {len(family)} processes of the {self.limits.processes} that it may, "
                "and has ended"
            )
        if time.monotonic() - self.began > self.limits.seconds:
            raise LimitExceededError(
                f"the run took longer than {self.limits.seconds:.0f} s, and has ended"
            )
