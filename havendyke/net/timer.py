"""A deadline that its owner starts, starts again and cancels."""

from collections.abc import Callable

from .deadlines import Deadline
from .event_loop import EventLoop


class Timer:
    """Calls back once after the delay that it was started with last, unless it is cancelled."""

    def __init__(self, event_loop: EventLoop, callback: Callable[[], None]) -> None:
        """Is not running before `start`."""
        self._event_loop = event_loop
        self._callback = callback
        self._deadline: Deadline | None = None
        self.at_ms = 0.0  # the time set by the last `start`; a cancel leaves it

    @property
    def running(self) -> bool:
        """Whether the callback is still to come."""
        return self._deadline is not None

    def start(self, delay_ms: float) -> None:
        """Starts the timer, from now on where it runs already."""
        self._event_loop.cancel(self._deadline)
        self._deadline = self._event_loop.after(delay_ms, self._expire)
        self.at_ms = self._deadline.at_ms

    def cancel(self) -> None:
        """Stops the timer; one that does not run stays so."""
        self._event_loop.cancel(self._deadline)
        self._deadline = None

    def _expire(self) -> None:
        self._deadline = None
        self._callback()
