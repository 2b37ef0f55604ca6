"""Which proxies are connected and what they acknowledged, as reported to the controller."""

from collections.abc import Callable, Mapping

from .. import interface as core
from ..registry import ObjectRegistry
from .event_loop import EventLoop
from .generations import is_present, next_absent
from .wire_relay import Acknowledgement, Subscription


class ProxySessions:
    """Reports each change once, from the stream that receives it first."""

    def __init__(
        self, event_loop: EventLoop, registry: ObjectRegistry, notify: Callable[[core.Event], None]
    ) -> None:
        """No proxy is connected initially."""
        self._event_loop = event_loop
        self._registry = registry
        self._notify = notify
        self.generations: dict[int, int] = {}  # as reported, by proxy
        # By proxy: the generation and the nonce of its latest acknowledgement.
        self._acknowledged: dict[int, tuple[int | None, int]] = {}
        self._unconfirmed: set[int] = set()
        # When a proxy was last reported as connected; None before the first.
        self.last_connected_ms: float | None = None

    def generation(self, proxy_id: int) -> int:
        """The generation last reported to the controller."""
        return self.generations.get(proxy_id, 0)

    def is_connected(self, proxy_id: int) -> bool:
        """Whether the proxy was reported as connected."""
        return is_present(self.generation(proxy_id))

    def update(self, proxy_id: int, generation: int, subscription: Subscription | None) -> None:
        """Reports a proxy's generation, if it is newer than the reported one.

        `subscription`: required where the proxy is connected in this generation.
        """
        reported = self.generation(proxy_id)
        if proxy_id in self._unconfirmed:
            self._unconfirmed.discard(proxy_id)
            if generation == reported and subscription is not None:
                self._resynchronise(proxy_id, subscription)
        if generation <= reported:
            return
        self.generations[proxy_id] = generation
        if is_present(reported):
            self._notify(core.ProxyDisconnected(self._registry.proxy(proxy_id)))
        if is_present(generation) and subscription is not None:
            self._report_connected(core.ProxyConnected, proxy_id, subscription)

    @property
    def has_unconfirmed(self) -> bool:
        """Whether proxies are reported as connected that no present stream has reported."""
        return bool(self._unconfirmed)

    def is_unconfirmed(self, proxy_id: int) -> bool:
        """Whether only lost streams have reported a proxy as connected."""
        return proxy_id in self._unconfirmed

    def mark_unconfirmed(self, proxy_id: int) -> None:
        """The stream that reported a proxy as connected was lost."""
        self._unconfirmed.add(proxy_id)

    def end_gap(self, subscriptions: Mapping[int, Subscription]) -> None:
        """Reports the state of the connected proxies after notifications were missed.

        `subscriptions`: of the proxies that are connected now, as far as known. The other connected
        proxies stay unconfirmed until `update` or `disconnect_unconfirmed`.
        """
        self._unconfirmed = {p for p, g in self.generations.items() if is_present(g)}
        for proxy_id in sorted(self._unconfirmed & subscriptions.keys()):
            self.update(proxy_id, self.generations[proxy_id], subscriptions[proxy_id])

    def disconnect_unconfirmed(self) -> None:
        """Reports the proxies as disconnected that a complete state does not contain."""
        for proxy_id in sorted(self._unconfirmed):
            self.update(proxy_id, next_absent(self.generations[proxy_id]), None)

    def _resynchronise(self, proxy_id: int, subscription: Subscription) -> None:
        # The acknowledgement last reported may be repeated on request.
        self._acknowledged.pop(proxy_id, None)
        self._report_connected(core.ProxyResynchronised, proxy_id, subscription)

    def _report_connected(
        self,
        event_type: type[core.ProxyConnected] | type[core.ProxyResynchronised],
        proxy_id: int,
        subscription: Subscription,
    ) -> None:
        self.last_connected_ms = self._event_loop.now()
        self._notify(
            event_type(
                self._registry.proxy(proxy_id),
                subscription.zone,
                subscription.request_rate,
                subscription.first_connection,
            )
        )

    def acknowledge(self, proxy_id: int, acknowledgement: Acknowledgement) -> bool:
        """Reports an acknowledgement; False where another stream has reported it already."""
        identity = (self.generations.get(proxy_id), acknowledgement.nonce)
        if self._acknowledged.get(proxy_id) == identity:
            return False
        self._acknowledged[proxy_id] = identity
        self._notify(
            core.PushAcknowledged(
                self._registry.proxy(proxy_id),
                acknowledgement.nonce,
                acknowledgement.latency_ms,
            )
        )
        return True
