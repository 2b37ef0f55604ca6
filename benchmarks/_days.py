"""Randomly generated days for the comparison of versions: deployments of every kind with faults,
and days of arbitrary events.

A seed determines a day. The faults and the simulation around the controller are those of
`fuzz.targets.core`, the proxies those of `havendyke.lab.data_plane`; the orders are not checked.
Events that the bench's wire format cannot express (see `_wire`) do not occur."""

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import replace
from math import ceil
from typing import Any

from fuzz.draw import Draw
from fuzz.targets.core import (
    REQUEST_CLASS_VARIANTS,
    SERVER_REQUESTS_PER_S,
    TICK_MS,
    Scenario,
    arbitrary_event,
    arbitrary_settings,
)
from havendyke import interface
from havendyke.state import LinearCongruentialGenerator

DRAWN_BYTES = 4096
LAYOUTS = ("slices", "slices", "slices", "sole owners", "no slices", "wild")  # by seed modulo 6
CONTROLLERS = (1, 1, 2, 5, 12, 60, 230)
FIRST_MS, LAST_MS = 1500.0, 3000.0
LEASE_MS = 1000.0
MAX_WRITE_IN_FLIGHT_MS = 800.0
LIST_REQUEST_DELAY_MS = 150.0
CACHED_LIST_MS = 2000.0  # from a start with a cached list to the complete list

Record = Callable[[Sequence[interface.Order]], None]


class NoRuleChecks:
    """Replaces the rule checker of a fuzzed scenario, so that orders are not checked."""

    violations = ()

    def observe_list(self, *_: object) -> None:
        """Ignores the event."""

    set_channel_available = check = observe_list


def drawn_settings(
    draw: Draw, layout: str, servers: int, proxies: int, slices: int
) -> interface.Settings:
    """Draws settings of every kind.

    The channel's limits are 1.2 to 4 times the load of the changes that must be pushed at once."""
    exclusive, sliced = layout == "sole owners", layout != "no slices"
    controllers = draw.choice(CONTROLLERS)
    overhead = draw.choice((6.0, 8.0, 12.0))
    limit = (
        draw.choice((1.2, 2.5, 4.0)) * proxies * (overhead + 6 + ceil(0.4 * slices) + servers / 4)
    )
    capped = draw.below(4) == 3
    classes = [
        interface.RequestClass(1000.0, 3000.0, **REQUEST_CLASS_VARIANTS[0]),
        interface.RequestClass(
            1500.0,
            5000.0,
            **draw.choice(REQUEST_CLASS_VARIANTS),
            own_zone_only=not sliced and draw.flag(),
        ),
    ]
    return interface.Settings(
        request_classes=classes[: 1 + draw.below(4)],
        zone_count=3,
        slice_count=controllers * slices,
        exclusive_ownership=exclusive,
        lease_ms=LEASE_MS * exclusive,
        max_write_in_flight_ms=MAX_WRITE_IN_FLIGHT_MS * exclusive,
        max_empty_table_ms=draw.choice((0.0, 20_000.0, 5000.0)),
        channel_queue_limit=limit,
        channel_rate_per_s=limit / 1.2,
        message_overhead=overhead,
        push_delay_ms=draw.choice((100.0, 200.0, 350.0)),
        message_limit=5 if capped else 0,
        message_limit_window_ms=10_000.0 if capped else 0.0,
        report_interval_ms=1000.0,
        warm_up_ms=draw.choice((12_000.0, 5000.0, 0.0)),
        initial_capacity_share=draw.choice((0.2, 0.1)),
        warm_up_overload_factor=draw.choice((3.0, 1.5)),
        list_on_request=draw.below(4) == 3,
        list_request_timeout_ms=2000.0,
        health_checks=draw.below(3) > 0,
        load_shedding=draw.choice(
            (
                interface.LoadShedding.BY_SHARE,
                interface.LoadShedding.NONE,
                interface.LoadShedding.BY_RATE,
            )
        ),
        sizes_stated=draw.flag(),
        controller_count=controllers,
        controller_index=draw.below(controllers) if draw.flag() else None,
        connection_capacity=draw.choice((0.0, 3.0, 119.0)),
        connection_idle_ms=15_000.0,
    )


def describe_settings(layout: str, settings: interface.Settings) -> str:
    """A short description of the settings."""
    parts = [layout, f"controllers {settings.controller_count}", f"levels {settings.load_shedding}"]
    flags = {
        "message cap": settings.message_limit,
        "probes": settings.health_checks,
        "sizes": settings.sizes_stated,
        "asks": settings.list_on_request,
    }
    return ", ".join(parts + [name for name, on in flags.items() if on])


class RecordedDay(Scenario):
    """A fuzzed scenario with more kinds of settings and a controller of any version."""

    def __init__(self, draw: Draw, seed: int, layout: str) -> None:
        """Draws the deployment."""
        self.draw, self.seed, self.random_numbers = draw, seed, LinearCongruentialGenerator(seed)
        self.server_count, self.proxy_count = draw.choice((5, 6, 8, 10, 16, 30)), 2 + draw.below(5)
        self.slice_count = (
            max(1, int(draw.choice((0.5, 1.3, 3, 5)) * self.server_count))
            if layout != "no slices"
            else 0
        )
        self.batch_size = max(1, self.server_count // 4)
        self.utilization = draw.choice((0.35, 0.6, 0.8, 1.3, 1.9))
        self.settings = drawn_settings(
            draw, layout, self.server_count, self.proxy_count, self.slice_count
        )
        self.kind, self.last_nonce = describe_settings(layout, self.settings), 0

    def play(self, session: Any, record: Record) -> None:
        """Plays the whole day; `record` gets the orders of each reconciliation."""
        self.record = record
        self.start(session, NoRuleChecks())
        if self.draw.below(4) == 3:
            self.start_from_cached_list()
        self.run_for(FIRST_MS)
        for _ in range(4 + self.draw.below(32)):
            step, first, second, third = (self.draw.byte() for _ in range(4))
            getattr(self, self.STEPS[step % len(self.STEPS)].__name__)(first, second, third)
            self.run_for(TICK_MS * (1 + (step >> 4) * 2))
        self.run_for(LAST_MS)

    def start_from_cached_list(self) -> None:
        """Starts from a cached list with half of the servers, which are warming up.

        The complete list follows later."""
        cached = self.endpoint_list(
            interface.ListScope.CACHED, list(self.servers)[::2], started_ms=self.now_ms - 1000.0
        )
        self.inbox[:2] = [cached]
        self.schedule(
            CACHED_LIST_MS,
            lambda: self.inbox.append(
                self.endpoint_list(interface.ListScope.COMPLETE, self.running_servers())
            ),
        )

    def list_entry(
        self, server: Any, state: str, started_ms: float | None
    ) -> interface.EndpointEntry:
        """An entry of the endpoint list with a size that depends on the cell."""
        entry = super().list_entry(server, state, started_ms)
        return replace(entry, size=(1.0, 1.0, 0.5, 2.0)[entry.cell])

    def request_rates(self) -> dict[Any, float]:
        """Requests per second that the proxies send to each server."""
        if self.settings.slice_count:
            return super().request_rates()
        views, rates = self.data_plane.connected_proxies(), {}
        proxy_rate = (
            self.utilization * SERVER_REQUESTS_PER_S * self.server_count / max(1, len(views))
        )
        for view in views:
            for table in view.bound_tables:
                for server, share in view.traffic_shares(table).items():
                    rates[server] = rates.get(server, 0.0) + share * proxy_rate / len(
                        view.bound_tables
                    )
        return rates

    def process_orders(self, orders: Sequence[interface.Order]) -> None:
        """Records the orders of one reconciliation and applies them to the simulation."""
        self.record(orders)
        self.last_nonce = max(
            [self.last_nonce]
            + [order.nonce for order in orders if type(order) is interface.RequestAcknowledgement]
        )
        if any(type(order) is interface.RequestEndpointList for order in orders):
            self.schedule(LIST_REQUEST_DELAY_MS, self.answer_list)
        self.apply_orders(orders)

    def answer_list(self) -> None:
        """Answers the request for the endpoint list, sometimes with a failure."""
        failed = self.draw.below(4) == 3
        self.inbox.append(
            interface.EndpointListUpdate(interface.ListScope.FAILED, [])
            if failed
            else self.endpoint_list(interface.ListScope.COMPLETE, self.running_servers())
        )

    # Steps that would read the controller's state, or that need slices

    def repeat_events(self, first: int, second: int, third: int) -> None:
        """Sends unexpected acknowledgements and failed lists."""
        connected = [view.proxy for view in self.data_plane.connected_proxies()]
        if connected:
            self.inbox.append(
                interface.PushAcknowledged(
                    connected[first % len(connected)], (self.last_nonce + second) % 65536, 1.0
                )
            )
        if third & 1:
            self.inbox.append(interface.EndpointListUpdate(interface.ListScope.FAILED, []))

    def unassign_slices(self, first: int, second: int, third: int) -> None:
        """Unassigns slices for a while if there are any."""
        if self.settings.slice_count:
            super().unassign_slices(first, second, third)

    def shift_demand(self, first: int, second: int, third: int) -> None:
        """Shifts demand between slices if there are several."""
        if self.settings.slice_count and self.slice_count > 1:
            super().shift_demand(first, second, third)

    def disconnect_channel(self, first: int, second: int, third: int) -> None:
        """Does nothing, since the wire format cannot express the loss of the push channel."""


class WildDay:
    """Arbitrary settings and a sequence of arbitrary events, without a simulation."""

    def __init__(self, draw: Draw, seed: int) -> None:
        """Draws the settings."""
        self.draw, self.seed, self.settings = draw, seed, arbitrary_settings(draw)
        self.kind = describe_settings("wild", self.settings)

    def play(self, session: Any, record: Record) -> None:
        """Plays the whole day; `record` gets the orders of each reconciliation."""
        now_ms = 1000.0
        for _ in range(20 + self.draw.below(60)):
            now_ms += self.draw.choice((0.0, 1.0, 50.0, 250.0, 1000.0, 5000.0, 1e7))
            session.pending_events = [
                arbitrary_event(self.draw, session, now_ms) for _ in range(1 + self.draw.below(6))
            ]
            if self.draw.flag():
                session.pending_events.append(interface.TimerFired(0))
            record(session.reconcile(now_ms))


def day_of(seed: int) -> Any:
    """The day of a seed, the same in every process."""
    draw = Draw(hashlib.shake_256(f"day {seed}".encode()).digest(DRAWN_BYTES))
    layout = LAYOUTS[seed % len(LAYOUTS)]
    return WildDay(draw, seed) if layout == "wild" else RecordedDay(draw, seed, layout)
