"""One assigner: connects the controller to its peers and runs its reconciliations."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ..config import Config
from ..interface import (
    Event,
    ListScope,
    Order,
    RequestEndpointList,
    SendHealthCheck,
    StartTimer,
    TimerFired,
)
from ..registry import ObjectRegistry
from .collectors import Collectors
from .discovery import Discovery
from .event_loop import EventLoop
from .fleet_summary import FleetSummary
from .health_checks import HealthChecker
from .peer_codecs import PeerCodecs
from .relay_client import RelayClient
from .relay_orders import RelayOrder, requested_nonce
from .resource_usage import resource_usage

if TYPE_CHECKING:
    from ..recovery.durable_state import DurableState

# The id of the controller's tick timer, which causes a reconciliation without any other event.
RECONCILE_TIMER_ID = 0
# Lower than any version of the endpoint list: there is no list, or a cached one may be outdated.
UNKNOWN_VERSION = -1
# Fields that a reload cannot change; each reload logs those that differ since the start.
FIXED_AT_START = ("name", "listen", "settings", "wire_names", "limits")


class Assigner:
    """Collects events from the peers, runs the controller on them and carries out its orders.

    Runs in the event loop only. All events that arrive in one iteration of the loop are handled by
    one reconciliation.
    """

    def __init__(
        self, config: Config, event_loop: EventLoop, durable: DurableState | None = None
    ) -> None:
        """`durable`: the persisted state, if the operator's file enables it.

        Raises `ValueError` if the endpoint list of the configuration is invalid.
        """
        self.event_loop = event_loop
        self.config = config
        self.registry = ObjectRegistry(config.settings, config.seed)
        self.peer_codecs = PeerCodecs(
            config, self.registry, event_loop.wall_offset_ms, event_loop.now
        )
        self.relay = RelayClient(event_loop, config.relay, self.peer_codecs, self.notify)
        self.reconcile_pending = False
        self.timers_running = 0
        self._config_at_start = config
        self._durable = durable
        list_version = self._load_endpoint_list()
        self.discovery = Discovery(
            event_loop, config.discovery, self.peer_codecs, self.notify, list_version, config.seed
        )
        self.collectors = Collectors(event_loop, self.peer_codecs, self.notify)
        path = "/stats" if config.wire_names.has_load_reports else "/health/live"
        self.health_checker = HealthChecker(event_loop, self.peer_codecs, self.notify, path)
        self._fleet_summary = FleetSummary(event_loop, self.registry.controller)

    def start(self) -> None:
        """Opens the connections and runs the first reconciliation."""
        self.relay.start()
        self.reconcile()
        self.forget_departed()
        self._fleet_summary.log_summary()
        self.discovery.start()

    def reload(self, config: Config, fixed_at_start: Sequence[str] = ()) -> None:
        """Applies the addresses of a new configuration, and logs changes that need a restart.

        `fixed_at_start`: names of further changes that need a restart.
        """
        old, self.config = self.config, config
        if config.relay != old.relay:
            self.relay.set_address(config.relay)
        if config.discovery != old.discovery:
            self.discovery.set_address(config.discovery)
        after_restart = [
            name
            for name in FIXED_AT_START
            if getattr(config, name) != getattr(self._config_at_start, name)
        ]
        self.event_loop.count("reloads")
        self.event_loop.log(
            "reloaded",
            relay=config.relay,
            discovery=config.discovery,
            after_restart=after_restart + list(fixed_at_start),
        )

    def forget_departed(self) -> None:
        """Removes servers that have left for good, now and every `departed_sweep_interval_ms`.

        Only the ids of those that were ejected are kept, at most `limits.max_remembered_ejections`.
        """
        limits = self.event_loop.limits
        departed = self.registry.remove_unreferenced_servers(limits.max_remembered_ejections)
        self.peer_codecs.endpoint_list.forget(departed)
        self.health_checker.forget(departed)
        self.event_loop.count("servers_forgotten", len(departed))
        self.event_loop.after(limits.departed_sweep_interval_ms, self.forget_departed)

    def notify(self, event: Event) -> None:
        """Adds an event to the next reconciliation; called by peers and timers.

        The first event schedules the reconciliation, after all input that is ready has been read.
        """
        self.registry.pending_events.append(event)
        if not self.reconcile_pending:
            self.reconcile_pending = True
            self.event_loop.soon(self.reconcile)

    def reconcile(self) -> None:
        """Passes the pending events to the controller and carries out its orders."""
        self.reconcile_pending = False
        events = self.registry.pending_events
        started_ms = self.event_loop.now()
        for event in events:
            self.event_loop.count(f"events_{type(event).__name__}")
        orders = self._decide(started_ms)
        if orders is not None:
            self.carry_out(orders)
        else:
            self._recover(events, started_ms)
        if self._durable:
            confirmed = self._durable.record(events, orders or [])
            if confirmed:
                self.notify(confirmed)
        self._count_reconciliation(self.event_loop.now() - started_ms)

    def carry_out(self, orders: Sequence[Order]) -> None:
        """Passes each order to the peer that carries it out."""
        relay_orders: list[RelayOrder] = []
        for order in orders:
            if isinstance(order, StartTimer):
                self._start_timer(order)
            elif isinstance(order, SendHealthCheck):
                self.health_checker.check(order.server)
            elif (relay_order := self.peer_codecs.relay.relay_order(order)) is not None:
                relay_orders.append(relay_order)
                self.event_loop.count(f"orders_{type(order).__name__}")
            elif not isinstance(order, RequestEndpointList):  # discovery is watched at all times
                self.event_loop.count("orders_without_form")
                self.event_loop.log("order_without_form", order=type(order).__name__)
        if relay_orders:
            nonce = requested_nonce(relay_orders)
            self.event_loop.log("push", orders=len(relay_orders), nonce=nonce)
            self.relay.enqueue(relay_orders)

    def counters(self) -> dict[str, float]:
        """All counters by name, with the process's resource usage.

        Written on SIGUSR1 and at the end of the process.
        """
        event_loop = self.event_loop
        open_connections = Counter(f"open_{each.peer.name}" for each in event_loop.slots)
        return {
            **event_loop.counters,
            **open_connections,
            **(self._durable.counters() if self._durable else {}),
            **resource_usage(),
            "log_dropped": event_loop.log.dropped,
            "slots": len(event_loop.slots),
            "slots_max": event_loop.slots.max_used,
            "up_s": round(time.monotonic() - event_loop.started_s, 3),
        }

    def _load_endpoint_list(self) -> int:
        """Loads the endpoint list from the persisted state, else from the configuration.

        Returns the version of the list, or `UNKNOWN_VERSION`.
        """
        config = self.config
        recovered = self._durable and self._durable.attach(
            self.registry, self.peer_codecs.endpoint_list, config.settings.warm_up_ms
        )
        if recovered:
            self.registry.pending_events.append(recovered)
            return UNKNOWN_VERSION
        if not config.known:
            return UNKNOWN_VERSION
        cached = self.peer_codecs.endpoint_list.decode(config.known, ListScope.CACHED)
        self.registry.pending_events.append(cached.event)
        return cached.version

    def _decide(self, now_ms: float) -> list[Order] | None:
        """Runs the controller; returns its orders, or None if it failed."""
        event_count = len(self.registry.pending_events)
        try:
            return self.registry.reconcile(now_ms)
        except Exception as error:
            self.event_loop.count("failed_reconciliations")
            self.event_loop.log(
                "reconciliation_failed",
                cause=f"{type(error).__name__}: {error}",
                at_line=_raised_at(error),
                events=event_count,
            )
            return None

    def _recover(self, events: Sequence[Event], now_ms: float) -> None:
        """Reconciles one event at a time, so that an event that fails does not lose the others."""
        failed = list(events) if len(events) < 2 else []
        for event in events if len(events) > 1 else ():
            self.registry.pending_events = [event]
            orders = self._decide(now_ms)
            if orders is None:
                failed.append(event)
            else:
                self.carry_out(orders)
        # Without its timers, the controller would not run again before the next event.
        timer_ids = [event.timer_id for event in failed if isinstance(event, TimerFired)]
        if not timer_ids and not self.timers_running:
            timer_ids = [RECONCILE_TIMER_ID]
        delay_ms = self.event_loop.limits.reconcile_retry_ms
        self.carry_out([StartTimer(timer_id, delay_ms) for timer_id in timer_ids])
        # The controller may regard orders as published that were never sent.
        self.relay.report_diverging_tables()

    def _start_timer(self, order: StartTimer) -> None:
        self.timers_running += 1
        self.event_loop.after(order.delay_ms, lambda: self._timer_fired(order.timer_id))

    def _timer_fired(self, timer_id: int) -> None:
        self.timers_running -= 1
        self.notify(TimerFired(timer_id))

    def _count_reconciliation(self, took_ms: float) -> None:
        self.event_loop.count("reconciliations")
        counters = self.event_loop.counters
        longest_ms = max(counters.get("reconciliation_max_ms", 0.0), round(took_ms, 2))
        counters["reconciliation_max_ms"] = longest_ms
        total_ms = counters.get("reconciliation_total_ms", 0.0) + took_ms
        counters["reconciliation_total_ms"] = round(total_ms, 2)


def _raised_at(error: Exception) -> str:
    """The function and line that raised an error."""
    last = error.__traceback__
    while last and last.tb_next:
        last = last.tb_next
    return f"{last.tb_frame.f_code.co_name}:{last.tb_lineno}" if last else "unknown"
