"""Priority queue of an event loop's deadlines."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush

# Up to this many cancelled deadlines the queue is not rebuilt.
MIN_CANCELLED_TO_COMPACT = 64


class Deadline:
    """A time and its callback, which is None once the deadline has passed or is cancelled."""

    __slots__ = ("at_ms", "callback", "serial")

    def __init__(self, at_ms: float, serial: int, callback: Callable[[], None]) -> None:
        """`serial` orders deadlines with equal times."""
        self.at_ms = at_ms
        self.serial = serial
        self.callback: Callable[[], None] | None = callback

    def __lt__(self, other: "Deadline") -> bool:
        """Orders by time, then by serial number."""
        return (self.at_ms, self.serial) < (other.at_ms, other.serial)


class DeadlineQueue:
    """Deadlines in order of time; deadlines with equal times are in order of insertion."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.heap: list[Deadline] = []
        self._serial = 0
        self._cancelled = 0

    def add(self, at_ms: float, callback: Callable[[], None]) -> Deadline:
        """Adds and returns a deadline."""
        self._serial += 1
        deadline = Deadline(at_ms, self._serial, callback)
        heappush(self.heap, deadline)
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancels a deadline; has no effect on None or one that has passed or is cancelled."""
        if deadline is None or deadline.callback is None:
            return
        deadline.callback = None
        self._cancelled += 1
        # Timeouts are nearly always cancelled and must not accumulate.
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self.heap):
            self.heap = [pending for pending in self.heap if pending.callback is not None]
            heapify(self.heap)
            self._cancelled = 0

    def next_at_ms(self) -> float | None:
        """The time of the next deadline, or None if there is none."""
        while self.heap and self.heap[0].callback is None:
            heappop(self.heap)
            self._cancelled -= 1
        return self.heap[0].at_ms if self.heap else None

    def pop_due(self, now_ms: float) -> list[Callable[[], None]]:
        """Removes the due deadlines and returns their callbacks in order."""
        due = []
        while (at_ms := self.next_at_ms()) is not None and at_ms <= now_ms:
            deadline = heappop(self.heap)
            assert deadline.callback is not None
            due.append(deadline.callback)
            deadline.callback = None
        return due
