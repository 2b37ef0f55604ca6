"""The controller, which turns events into orders."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, ClassVar

from ..interface import (
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    ListScope,
    Order,
    ProxyConnected,
    SetAdmission,
    Settings,
    StartTimer,
    TimerFired,
)
from ..state import ObservedState, Proxy, Server, Slice
from .admission import AdmissionController, RequestCounts
from .fleet_condition import FleetCondition, FleetMonitor
from .health_checks import HealthCheckScheduler
from .list_requests import EndpointListRequester
from .observation_decay import ObservationDecay
from .outlier_detection import OutlierDetector
from .pacing import TICK_INTERVAL_MS
from .push_budget import PushCosts
from .push_scheduler import PushScheduler
from .retries import RetryPolicySelector
from .server_capacity import CapacityEstimator, health_of_unlisted
from .shared_tables import SharedTables
from .table_planner import TablePlanner
from .zone_loss import ZoneLossDetector

# Ids of the controller's timers in `StartTimer` and `TimerFired`.
TICK_TIMER_ID = 0
PUSH_TIMER_ID = 1


class Controller:
    """Publishes routing tables to a fleet of proxies.

    An adapter creates one at startup, adds an object for each server, slice and proxy, and calls
    `reconcile` with the events received since the last call. The controller performs no I/O and
    reads no clock.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.observed = ObservedState(settings)
        self.fleet = FleetMonitor(settings)
        self.decay = ObservationDecay()
        self.zone_loss = ZoneLossDetector(settings)
        self.outliers = OutlierDetector(settings, self.fleet)
        self.capacity = CapacityEstimator(settings, self.fleet)
        self.admission = AdmissionController(settings)
        self.retries = RetryPolicySelector(settings)
        costs = PushCosts(settings)
        self.planner = TablePlanner(settings, seed, self.fleet, costs)
        self.shared_tables = SharedTables(settings, self.observed)
        self.pushes = PushScheduler(settings, costs, self.shared_tables)
        self.health_checks = HealthCheckScheduler(settings, seed + 1, self.planner.pace)
        self.list_requests = EndpointListRequester(settings)
        self.started_ms: float | None = None

    @property
    def servers(self) -> list[Server]:
        """All known servers, in the order in which they were added."""
        return self.observed.servers

    @property
    def slices(self) -> list[Slice]:
        """All known slices, in the order in which they were added."""
        return self.observed.slices

    @property
    def proxies(self) -> list[Proxy]:
        """All known proxies, in the order in which they were added."""
        return self.observed.proxies

    @property
    def condition(self) -> FleetCondition:
        """The condition of the fleet as of the last reconciliation."""
        return self.fleet.condition

    def add_server(self, server_id: str) -> Server:
        """Adds a server; its id must be new."""
        return self.observed.add_server(server_id)

    def add_slice(self, slice_id: int) -> Slice:
        """Adds a slice; its id must be new."""
        return self.observed.add_slice(slice_id)

    def add_proxy(self, proxy_id: int) -> Proxy:
        """Adds a proxy; its id must be new."""
        return self.observed.add_proxy(proxy_id)

    def reconcile(self, now_ms: float, events: Iterable[Event]) -> list[Order]:
        """Applies the events and returns the resulting orders as of `now_ms`."""
        events = list(events)
        self.observed.now_ms = now_ms
        fired_timer_ids = {event.timer_id for event in events if isinstance(event, TimerFired)}
        orders: list[Order] = []
        if self.started_ms is None or TICK_TIMER_ID in fired_timer_ids:
            orders.append(StartTimer(TICK_TIMER_ID, TICK_INTERVAL_MS))
        if self.started_ms is None:
            self._start(now_ms)
        self._apply(events)
        if self.observed.reconciliation_due or orders or fired_timer_ids:
            self.observed.reconciliation_due = False
            orders += self._update()
        return orders

    def _start(self, now_ms: float) -> None:
        self.started_ms = now_ms
        # Proxies connected to the previous process lost their streams when it ended.
        self.observed.last_disconnect_ms = now_ms

    def _apply(self, events: Iterable[Event]) -> None:
        apply_to_state = self.observed.apply
        for event in events:
            handler = self._HANDLERS.get(type(event))
            if handler is None:
                apply_to_state(event)
            else:
                handler(self, event)

    def _update_endpoint_list(self, event: EndpointListUpdate) -> None:
        if event.scope == ListScope.FAILED:
            self.list_requests.request_failed(self.observed.now_ms)
        else:
            self.observed.apply(event)

    def _connect_proxy(self, event: ProxyConnected) -> None:
        self.observed.apply(event)
        self.pushes.add_racing_recipient(event.proxy, self.observed)

    def _record_health_check(self, event: HealthCheckResult) -> None:
        self.observed.apply(event)
        if self.outliers.reaches_threshold(event):
            self.observed.reconciliation_due = True

    # Handlers of events that affect more than the observed state.
    _HANDLERS: ClassVar[dict[type, Callable[[Controller, Any], None]]] = {
        EndpointListUpdate: _update_endpoint_list,
        ProxyConnected: _connect_proxy,
        HealthCheckResult: _record_health_check,
    }

    def _update(self) -> list[Order]:
        self.observed.ejections.mark_missed()
        self.assess_health()
        self.adjust_admission()
        self.plan_tables()
        orders = self.emit_push()
        if orders:
            # Ticks alone would delay the next push, and a drain's grace period is only a few push
            # intervals.
            orders.append(StartTimer(PUSH_TIMER_ID, self.pushes.interval_ms))
        return orders + self.request_observations()

    def assess_health(self) -> None:
        """Updates the condition of the fleet, and the health and capacity of each server."""
        observed = self.observed
        now_ms = observed.now_ms
        self.decay.run(observed, self.planner.slow_start.fleet_capacity)
        ready = observed.ready_servers()
        self.fleet.assess(ready)
        if not self.settings.health_checks:
            self.zone_loss.mark_lost_servers(
                ready, observed.connected_by_zone, self.condition.overloaded, now_ms
            )
        self.outliers.evaluate(ready, now_ms, observed.last_success_ms)
        unlisted = health_of_unlisted(observed.endpoint_list_received, self._age_ms)
        self.capacity.update(observed.servers, ready, now_ms, unlisted)

    def adjust_admission(self) -> None:
        """Lowers or raises the admission limit."""
        observed = self.observed
        succeeded, failed = observed.attempt_outcomes.bins
        counts = RequestCounts(observed.offered_requests, succeeded, failed)
        if self.admission.adjust(observed.now_ms, self.condition, counts):
            observed.reset_request_counts()

    def plan_tables(self) -> None:
        """Updates the desired tables."""
        if self.settings.slice_count:
            self.planner.plan(self.observed, self._age_ms)
        else:
            self.shared_tables.plan(self.observed.servers)

    def emit_push(self) -> list[Order]:
        """Returns the orders of the next push, or none while no push is due."""
        return self.pushes.emit(self.observed, self.admission_orders())

    def admission_orders(self) -> list[SetAdmission]:
        """Returns the admission limits and retry policies for the current condition."""
        return self.retries.orders(self.condition, self.admission.limit)

    def request_observations(self) -> list[Order]:
        """Returns due requests for the endpoint list and due health checks."""
        return [
            *self.list_requests.due(self.observed.now_ms),
            *self.health_checks.due(self.observed),
        ]

    @property
    def _age_ms(self) -> float:
        started_ms = self.started_ms if self.started_ms is not None else self.observed.now_ms
        return self.observed.now_ms - started_ms
