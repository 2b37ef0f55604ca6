"""Signal handling before the event loop runs."""

import asyncio
import os
import signal
from collections.abc import Callable, Mapping
from types import FrameType

SignalHandlers = Mapping[signal.Signals, Callable[[], None]]


def ignore_unused_signals() -> None:
    """Ignores SIGUSR2, which has no use here and would end the process by default."""
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)


class EarlySignals:
    """Handles signals between the start of the process and the start of its event loop.

    SIGTERM and SIGINT end the process at once. SIGHUP and SIGUSR1 are recorded until `hand_over`:
    the files may change after they were read, and an ignored reload would never be made up for.
    """

    def __init__(self) -> None:
        """Has no effect on the process before `install`."""
        self._received: list[int] = []

    def install(self) -> None:
        """Installs the handlers; to be called before the configuration is read."""
        for number in (signal.SIGHUP, signal.SIGUSR1):
            signal.signal(number, self._record)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _exit_at_once)

    def hand_over(self, loop: asyncio.AbstractEventLoop, handlers: SignalHandlers) -> None:
        """Registers the handlers with the loop and schedules those of recorded signals."""
        for number, handler in handlers.items():
            loop.add_signal_handler(number, handler)
        for received in dict.fromkeys(self._received):
            loop.call_soon(handlers[signal.Signals(received)])

    def _record(self, number: int, frame: FrameType | None) -> None:
        self._received.append(number)


def _exit_at_once(number: int, frame: FrameType | None) -> None:
    os._exit(0)
