"""Restartable one-shot timers."""

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
