"""Unacknowledged pushes, and an estimate of the entries queued in the push channel."""

from collections.abc import Iterable

from .proxy import Proxy

NONCE_RANGE = 65536


class Push:
    """A push and the proxies that have yet to acknowledge it.

    Serials start at 1; 0 means no push.
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
        self.nonce = serial % NONCE_RANGE  # identifies the push on the wire
        # Includes the message overhead; known only once the push is sent.
        self.entries_per_proxy = entries_per_proxy
        self.awaiting_proxies = awaiting_proxies
        self.sent_ms = sent_ms
        # Until then some proxy may have used the previous table: the time of the last
        # acknowledgement, or the end of a disconnected proxy's lease.
        self.settled_ms = settled_ms
        self.recipient_count = len(awaiting_proxies)
        self.changes_tables = False

    def add_recipient(self, proxy: Proxy) -> None:
        """Adds a proxy that may also have received the push."""
        self.recipient_count += proxy not in self.awaiting_proxies
        self.awaiting_proxies.add(proxy)

    def restart(self, proxies: Iterable[Proxy], now_ms: float, settled_ms: float) -> None:
        """Counts the push as sent now to those proxies that have not acknowledged it.

        `settled_ms`: the end of the last disconnected proxy's lease.
        """
        for proxy in proxies:
            if proxy.acknowledged_serial < self.serial:
                self.add_recipient(proxy)
        self.sent_ms = now_ms
        self.settled_ms = max(self.settled_ms, now_ms, settled_ms)

    def settle(self, proxy: Proxy, at_ms: float) -> None:
        """Records that from `at_ms` on the proxy does not use the previous table.

        Has no effect if no acknowledgement is expected from the proxy.
        """
        if proxy in self.awaiting_proxies:
            self.awaiting_proxies.discard(proxy)
            self.settled_ms = max(self.settled_ms, at_ms)

    def entries_in_channel(self, now_ms: float, push_delay_ms: float) -> float:
        """Estimates how many of its entries are still queued in the channel.

        Acknowledgements lag by one message delay, so more has been sent than they show. The number
        sent is extrapolated from them at the same rate, to at most twice as many.
        """
        elapsed_ms = now_ms - self.sent_ms
        acknowledged = self.recipient_count - len(self.awaiting_proxies)
        sent = acknowledged * elapsed_ms / max(elapsed_ms - push_delay_ms, elapsed_ms / 2, 1e-9)
        return self.entries_per_proxy * max(0.0, self.recipient_count - sent)


class PushChannel:
    """The channel to the proxies: unacknowledged pushes and queued table entries."""

    def __init__(self) -> None:
        self.pushes: list[Push] = []
        self.last_serial = 0
        self.tables_changed = False  # by any push of this process
        self.connected = True
        self.queued_entries = 0.0  # for all proxies, assuming the channel's lowest rate
        self._queued_at_ms = 0.0

    def add(self, push: Push) -> None:
        """Records a push that is sent now."""
        self.last_serial = push.serial
        self.tables_changed = self.tables_changed or push.changes_tables
        self.pushes.append(push)
        self.queued_entries += push.entries_per_proxy * push.recipient_count

    def acknowledge(self, proxy: Proxy, nonce: int, now_ms: float) -> None:
        """Records that a proxy has applied the push with this nonce and all earlier ones."""
        serials = [
            p.serial for p in self.pushes if p.nonce == nonce and proxy in p.awaiting_proxies
        ]
        proxy.acknowledged_serial = max([proxy.acknowledged_serial, *serials])
        proxy.applied_serial = max(proxy.applied_serial, proxy.acknowledged_serial)
        for push in self.pushes:
            if push.serial <= proxy.acknowledged_serial:
                push.settle(proxy, now_ms)

    def restart(
        self, push: Push, proxies: Iterable[Proxy], now_ms: float, settled_ms: float
    ) -> None:
        """As `Push.restart`; acknowledgements are counted again where they had all arrived."""
        push.restart(proxies, now_ms, settled_ms)
        if push not in self.pushes:
            self.pushes = sorted([*self.pushes, push], key=lambda p: p.serial)

    def settle_disconnected(self, proxy: Proxy, lease_end_ms: float) -> None:
        """Records that a disconnected proxy uses its tables until its lease ends."""
        for push in self.pushes:
            push.settle(proxy, lease_end_ms)

    def set_connected(self, connected: bool, unsent_nonces: Iterable[int], now_ms: float) -> None:
        """Sets whether orders can be sent; unsent pushes expect no acknowledgements."""
        self.connected = connected
        # The queue does not drain while disconnected.
        self._queued_at_ms = now_ms
        unsent = set(unsent_nonces)
        for push in self.pushes:
            if push.nonce in unsent:
                self.queued_entries -= push.entries_per_proxy * push.recipient_count
                push.awaiting_proxies = set()

    def estimate_queue(
        self,
        proxies: Iterable[Proxy],
        now_ms: float,
        push_delay_ms: float,
        slowest_entries_per_ms: float,
    ) -> float:
        """Estimates the table entries queued in the channel; drops acknowledged pushes."""
        self.pushes = [push for push in self.pushes if push.awaiting_proxies]
        # Messages are sent in order: once a push is acknowledged, all earlier ones have been sent.
        last_sent_serial = max((proxy.acknowledged_serial for proxy in proxies), default=0)
        unacknowledged = sum(
            push.entries_in_channel(now_ms, push_delay_ms)
            for push in self.pushes
            if push.serial >= last_sent_serial
        )
        # The queue drains even if a hung proxy never acknowledges.
        elapsed_ms = now_ms - self._queued_at_ms
        self._queued_at_ms = now_ms
        self.queued_entries = max(0.0, self.queued_entries - elapsed_ms * slowest_entries_per_ms)
        return min(unacknowledged, self.queued_entries)
