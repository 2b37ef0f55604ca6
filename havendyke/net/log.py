"""The event log: one JSON line per event, on standard error."""

import contextlib
import os
import stat
from collections.abc import Callable, Mapping

import orjson

STDERR = 2
MS_PER_SECOND = 1000


def set_nonblocking(descriptor: int) -> None:
    """Makes a pipe or socket non-blocking, so that a stalled reader does not block the event loop.

    A line shorter than `PIPE_BUF` is written to a pipe completely or not at all.
    """
    # The descriptor may be closed, and then nobody reads it.
    with contextlib.suppress(OSError):
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)


class EventLog:
    """Writes events, at most `max_lines` a second.

    At most `max_lines_per_event` of them have the same event name, so that a flood of one event
    does not suppress the others. `dropped` counts the lines that were not written.
    """

    def __init__(
        self, clock: Callable[[], float], max_lines: int, max_lines_per_event: int
    ) -> None:
        """`clock` returns the time in ms."""
        self.dropped = 0
        self._clock = clock
        self._max_lines = max_lines
        self._max_lines_per_event = max_lines_per_event
        self._second = 0.0
        self._lines_left = max_lines
        self._lines_by_event: dict[str, int] = {}
        set_nonblocking(STDERR)

    def __call__(self, event: str, **fields: object) -> None:
        """Writes one line with the event's name and fields, within the limits."""
        now_ms = self._clock()
        if not self._within_limits(event, now_ms):
            self.dropped += 1
            return
        line = orjson.dumps(
            {"at": round(now_ms, 1), "event": event, **fields},
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        try:
            os.write(STDERR, line)
        except OSError:
            self.dropped += 1

    def _within_limits(self, event: str, now_ms: float) -> bool:
        second = now_ms // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines_left = self._max_lines
            self._lines_by_event = {}
        lines = self._lines_by_event[event] = self._lines_by_event.get(event, 0) + 1
        if lines > self._max_lines_per_event:
            return False
        self._lines_left -= 1
        return self._lines_left >= 0


def encode_counters(counters: Mapping[str, object]) -> bytes:
    """Encodes all counters as one JSON line."""
    return orjson.dumps(
        {"event": "counters", **counters},
        default=str,
        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_SORT_KEYS,
    )
