"""The availability of the push channel, as reported to the controller."""

from collections.abc import Callable
from enum import Enum, auto

from .. import interface as core
from .event_loop import EventLoop

# Nonces kept in addition to the newest: half a minute without a call, at one push a second.
MAX_UNSENT_NONCES = 32
STARTING_REASON = "start"


class ChannelState(Enum):
    """Whether orders are sent to the relay, and why not."""

    AVAILABLE = auto()
    CALL_UNRESOLVED = auto()  # it is unknown whether, or when, a call was carried out
    UNREACHABLE = auto()  # the relay cannot be reached or rejects calls
    STARTING = auto()  # no proxy has connected since the start


class PushChannel:
    """Reports when sending stops and resumes, and which pushes were never sent."""

    def __init__(self, event_loop: EventLoop, notify: Callable[[core.Event], None]) -> None:
        """The channel is available initially, as the controller assumes."""
        self._event_loop = event_loop
        self._notify = notify
        self.state = ChannelState.AVAILABLE
        self.reason = ""  # why it is not available
        self.unavailable_since_ms = 0.0
        self._unsent_nonces: list[int] = []  # of pushes that no call has carried out, oldest first

    @property
    def is_available(self) -> bool:
        """Whether orders are sent to the relay."""
        return self.state is ChannelState.AVAILABLE

    def push_ordered(self, nonce: int) -> None:
        """A push was ordered and waits for a call."""
        self._unsent_nonces = [*self._unsent_nonces[-MAX_UNSENT_NONCES:], nonce]

    def push_sent(self, nonce: int) -> None:
        """A call has carried out a push, and with it all earlier ones."""
        if nonce in self._unsent_nonces:
            del self._unsent_nonces[: self._unsent_nonces.index(nonce) + 1]

    def report_unsent(self) -> None:
        """Reports that the waiting pushes will never be sent as they were ordered."""
        unsent, self._unsent_nonces = tuple(self._unsent_nonces), []
        self._notify(core.PushChannelStatus(False, unsent))

    def starting(self, waiting_orders: int) -> None:
        """No orders are sent until a proxy has connected."""
        self._interrupt(ChannelState.STARTING, STARTING_REASON, waiting_orders)

    def unreachable(self, reason: str, waiting_orders: int) -> None:
        """The relay cannot be reached, or rejects calls."""
        self._interrupt(ChannelState.UNREACHABLE, reason, waiting_orders)

    def call_unresolved(self, reason: str, waiting_orders: int) -> None:
        """It is unknown whether, or when, a call that changes tables was carried out."""
        reachable = self.state in (ChannelState.AVAILABLE, ChannelState.CALL_UNRESOLVED)
        state = ChannelState.CALL_UNRESOLVED if reachable else ChannelState.UNREACHABLE
        self._interrupt(state, reason, waiting_orders)

    def available(self) -> None:
        """Orders are sent again."""
        self._event_loop.log("relay_available", after=self.reason)
        self.state = ChannelState.AVAILABLE
        self.reason = ""
        self._notify(core.PushChannelStatus(True))

    def _interrupt(self, state: ChannelState, reason: str, waiting_orders: int) -> None:
        if self.is_available:
            self.unavailable_since_ms = self._event_loop.now()
            self._event_loop.log("relay_unavailable", why=reason, waiting=waiting_orders)
            self._notify(core.PushChannelStatus(False))
        self.state = state
        self.reason = reason
