"""Restartable one-shot timers, and the delays between retries."""

from collections.abc import Callable

from .deadlines import Deadline
from .event_loop import EventLoop


class Timer:
    """Calls back once after the delay of the last `start`, unless it is cancelled."""

    def __init__(self, event_loop: EventLoop, callback: Callable[[], None]) -> None:
        """Does not start the timer."""
        self._event_loop = event_loop
        self._callback = callback
        self._deadline: Deadline | None = None
        self.at_ms = 0.0  # the due time of the last `start`; `cancel` keeps it

    @property
    def running(self) -> bool:
        """Whether the callback is pending."""
        return self._deadline is not None

    def start(self, delay_ms: float) -> None:
        """Starts or restarts the timer."""
        self._event_loop.cancel(self._deadline)
        self._deadline = self._event_loop.after(delay_ms, self._expire)
        self.at_ms = self._deadline.at_ms

    def cancel(self) -> None:
        """Stops the timer if it is running."""
        self._event_loop.cancel(self._deadline)
        self._deadline = None

    def _expire(self) -> None:
        self._deadline = None
        self._callback()


class Backoff:
    """Delays that double from a minimum to a maximum (ms).

    They keep a peer that recovers from being flooded with connections.
    """

    def __init__(self, min_ms: float, max_ms: float) -> None:
        """The first delay is `min_ms`."""
        self.min_ms = min_ms
        self.max_ms = max_ms
        self.next_ms = min_ms

    def next(self) -> float:
        """Returns the delay before the next attempt (ms) and doubles the following one."""
        delay_ms = self.next_ms
        self.next_ms = min(2 * delay_ms, self.max_ms)
        return delay_ms

    def reset(self) -> None:
        """Returns to the minimum, after a success."""
        self.next_ms = self.min_ms
