"""Pushes that wait for acknowledgements, and an estimate of what still waits in the channel."""

from collections.abc import Iterable

from .proxy import Proxy

NONCE_RANGE = 65536


class Push:
    """One push and the proxies that have yet to acknowledge it.

    Serials count from 1; 0 stands for no push.
    """

    def __init__(
        self,
        serial: int,
        entries_per_proxy: float,
        awaiting_proxies: set[Proxy],
        sent_ms: float,
        settled_ms: float,
    ) -> None:
        self.serial = serial
        self.nonce = serial % NONCE_RANGE  # its number on the wire
        # With the overhead of its messages; known only once the push is sent.
        self.entries_per_proxy = entries_per_proxy
        self.awaiting_proxies = awaiting_proxies
        self.sent_ms = sent_ms
        # Until then some proxy may have used its earlier table: the last acknowledgement, or the
        # end of the lease of a proxy whose stream broke.
        self.settled_ms = settled_ms
        self.recipients = len(awaiting_proxies)

    def add_recipient(self, proxy: Proxy) -> None:
        """Counts a proxy that may have received the push too."""
        self.recipients += proxy not in self.awaiting_proxies
        self.awaiting_proxies.add(proxy)

    def settle(self, proxy: Proxy, at_ms: float) -> None:
        """From `at_ms` on the proxy uses what was pushed, or nothing.

        Has no effect on a proxy that owes no acknowledgement.
        """
        if proxy in self.awaiting_proxies:
            self.awaiting_proxies.discard(proxy)
            self.settled_ms = max(self.settled_ms, at_ms)

    def entries_in_channel(self, now_ms: float, push_delay_ms: float) -> float:
        """An estimate of its entries that have yet to leave the channel.

        Acknowledgements are one message delay old, so more has left than they show: what they show
        is extrapolated at the same pace, to at most twice as much.
        """
        elapsed_ms = now_ms - self.sent_ms
        acknowledged = self.recipients - len(self.awaiting_proxies)
        sent = acknowledged * elapsed_ms / max(elapsed_ms - push_delay_ms, elapsed_ms / 2, 1e-9)
        return self.entries_per_proxy * max(0.0, self.recipients - sent)


class PushChannel:
    """The channel to the proxies: pushes that were sent, and table entries that wait in it."""

    def __init__(self) -> None:
        self.pushes: list[Push] = []
        self.last_serial = 0
        self.connected = True
        self.queued_entries = 0.0  # of all proxies, as if the channel ran at its slowest
        self._queued_at_ms = 0.0

    def add(self, push: Push) -> None:
        """Takes note of a push that is sent now."""
        self.last_serial = push.serial
        self.pushes.append(push)
        self.queued_entries += push.entries_per_proxy * push.recipients

    def acknowledge(self, proxy: Proxy, nonce: int, now_ms: float) -> None:
        """A proxy has applied the push with this nonce and all before it."""
        serials = [
            p.serial for p in self.pushes if p.nonce == nonce and proxy in p.awaiting_proxies
        ]
        proxy.acknowledged_serial = max([proxy.acknowledged_serial, *serials])
        for push in self.pushes:
            if push.serial <= proxy.acknowledged_serial:
                push.settle(proxy, now_ms)

    def settle_disconnected(self, proxy: Proxy, lease_end_ms: float) -> None:
        """A proxy's stream broke: it uses what it holds until its lease ends."""
        for push in self.pushes:
            push.settle(proxy, lease_end_ms)

    def set_connected(self, connected: bool, unsent_nonces: Iterable[int], now_ms: float) -> None:
        """Notes whether orders leave for the proxies; pushes that never left await nothing."""
        self.connected = connected
        # The channel does not empty while nothing can leave.
        self._queued_at_ms = now_ms
        unsent = set(unsent_nonces)
        for push in self.pushes:
            if push.nonce in unsent:
                self.queued_entries -= push.entries_per_proxy * push.recipients
                push.awaiting_proxies = set()

    def estimate_queue(
        self,
        proxies: Iterable[Proxy],
        now_ms: float,
        push_delay_ms: float,
        slowest_entries_per_ms: float,
    ) -> float:
        """An estimate of the table entries that wait in the channel; forgets settled pushes."""
        self.pushes = [push for push in self.pushes if push.awaiting_proxies]
        # Messages leave in order: once a push is acknowledged, all before it have left.
        last_left = max((proxy.acknowledged_serial for proxy in proxies), default=0)
        unacknowledged = sum(
            push.entries_in_channel(now_ms, push_delay_ms)
            for push in self.pushes
            if push.serial >= last_left
        )
        # Proxies that stand still acknowledge nothing, and the channel empties all the same.
        elapsed_ms = now_ms - self._queued_at_ms
        self._queued_at_ms = now_ms
        self.queued_entries = max(0.0, self.queued_entries - elapsed_ms * slowest_entries_per_ms)
        return min(unacknowledged, self.queued_entries)
