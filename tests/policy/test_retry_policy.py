"""Tests of when proxies may retry a request."""

import pytest
from controller_harness import ControllerHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from havendyke import interface as core
from havendyke.config import read_settings


@pytest.mark.parametrize(
    "idempotency, scope, window_ms, retried",
    [
        (core.Idempotency.IDEMPOTENT, core.DeduplicationScope.ALL, 0.0, True),
        (core.Idempotency.NON_IDEMPOTENT, core.DeduplicationScope.ALL, 9e9, False),
        (core.Idempotency.KEYED, core.DeduplicationScope.ALL, 9000.0, True),
        (core.Idempotency.KEYED, core.DeduplicationScope.ALL, 500.0, False),
        (core.Idempotency.KEYED, core.DeduplicationScope.CELL, 9000.0, False),
    ],
)
def test_retries_after_any_failure_require_that_requests_cannot_take_effect_twice(
    idempotency, scope, window_ms, retried
):
    harness = ControllerHarness(
        request_classes=[core.RequestClass(1000.0, 3000.0, idempotency, scope, window_ms)]
    )
    assert harness.retry_policies == [
        core.RetryPolicy.ONCE_AFTER_ANY_FAILURE if retried else core.RetryPolicy.IF_NOT_STARTED
    ]


@pytest.mark.parametrize(
    "connection_capacity, latency_ms, policies",
    [
        (119.0, 130.0, {core.RetryPolicy.IF_NOT_STARTED, core.RetryPolicy.ONCE_AFTER_ANY_FAILURE}),
        (119.0, 900.0, {core.RetryPolicy.NEVER}),
        (400.0, 130.0, {core.RetryPolicy.NEVER}),
    ],
)
def test_refused_connections_do_not_disable_retries(connection_capacity, latency_ms, policies):
    # Another server may have a free connection.
    harness = ControllerHarness(
        slice_count=160, connection_capacity=connection_capacity, connection_idle_ms=15_000.0
    )
    servers = harness.add_servers(20)
    harness.set_request_rate(harness.connect_proxies(150), 1.6)
    for server in servers:
        harness.report_server(server, 40, 20, latency_ms)
    harness.plan()
    harness.evaluate_health()
    assert set(harness.retry_policies) == policies


# Property-based test over settings, observations and their order

TIMES_NS = st.sampled_from([1e6, 5e8, 1e9, 2e9, 5e9, 1e10, 3e10])
REQUEST_CLASSES = st.fixed_dictionaries(
    {
        "promise": TIMES_NS,
        "hardLimit": TIMES_NS,
        "window": st.one_of(TIMES_NS, st.just(0)),
        "repeat": st.sampled_from(["token", "token", "pure", "side_effect"]),
        "group": st.sampled_from(["all", "all", "zone", "cell"]),
    }
)
STEPS = st.sampled_from(
    [
        "all fail",
        "all succeed",
        "all slow",
        "fast failures",
        "proxies connect",
        "proxies disconnect",
        "channel down",
        "channel up",
        "complete list",
        "no news",
        "controller restarts",
    ]
)


def is_retryable(request_class: dict) -> bool:
    """Whether the wire's documentation allows a retry; independent of the implementation."""
    if request_class["repeat"] == "token":
        return (
            request_class["group"] == "all"
            and request_class["window"] >= request_class["hardLimit"]
        )
    return request_class["repeat"] == "pure"


class RetryPoliciesAtProxies:
    """The retry policy last ordered for each request class; None before the first order."""

    def __init__(self, class_count):
        self.policies = [None] * class_count

    def apply(self, orders):
        for order in orders:
            if isinstance(order, core.SetAdmission):
                for request_class in order.request_classes:
                    self.policies[request_class] = order.retry_policy


class SmallDeployment:
    """A controller with four servers and three proxies, and its pending events."""

    def __init__(self, wire_settings, seed):
        parsed = read_settings(wire_settings)
        self.harness = ControllerHarness.unstarted(parsed, seed)
        self.servers = [self.harness.add_server(f"s{k}") for k in range(4)]
        self.proxies = [self.harness.add_proxy(k) for k in range(3)]
        self.slices = [self.harness.add_slice(k) for k in range(parsed.slice_count)]
        self.pending_events = [
            self.complete_list(started_ms=None),
            *(core.ProxyConnected(proxy, 0, 3.0, True) for proxy in self.proxies),
            *(core.SliceAssignment(slice_, True) for slice_ in self.slices),
        ]

    def complete_list(self, started_ms):
        entries = [
            core.EndpointEntry(server, core.ServerState.READY, started_ms, 0, 0, 0, 1.0)
            for server in self.servers
        ]
        return core.EndpointListUpdate(core.ListScope.COMPLETE, entries)

    def load_reports(self, failures, latency_ms):
        """Returns load reports on all servers and slices."""
        return [
            core.ServerLoadReport(server, 0, 30, failures, latency_ms, 1000.0)
            for server in self.servers
        ] + [core.SliceLoadReport(slice_, 0, 90, failures, 1000.0) for slice_ in self.slices]

    def events_of(self, step, now_ms):
        match step:
            case "all fail" | "fast failures":
                return self.load_reports(failures=30, latency_ms=0.0)
            case "all succeed":
                return self.load_reports(failures=0, latency_ms=20.0)
            case "all slow":
                return self.load_reports(failures=0, latency_ms=9000.0)
            case "proxies connect":
                return [core.ProxyConnected(proxy, 0, 3.0, True) for proxy in self.proxies]
            case "proxies disconnect":
                return [core.ProxyDisconnected(proxy) for proxy in self.proxies]
            case "channel down" | "channel up":
                return [core.PushChannelStatus(step == "channel up")]
            case "complete list":
                return [self.complete_list(started_ms=now_ms)]
        return [core.TimerFired(0)]

    def reconcile(self, now_ms):
        """Reconciles once; connected proxies acknowledge the push before the next time."""
        events = [*self.pending_events, core.TimerFired(0)]
        self.harness.advance_to(now_ms)
        orders = self.harness.reconcile(events)
        nonce = self.harness.push_count % 65536
        self.pending_events = [
            core.PushAcknowledged(proxy, nonce, 100.0)
            for proxy in self.proxies
            if self.harness.is_connected(proxy)
        ]
        return orders


@settings(max_examples=150, deadline=None)
@given(
    st.lists(REQUEST_CLASSES, min_size=1, max_size=6),
    st.lists(STEPS, min_size=3, max_size=25),
    st.booleans(),
    st.sampled_from(["share", "rate", "none"]),
    st.sampled_from([0, 6]),
    st.integers(0, 2**32),
)
def test_no_retry_after_any_failure_is_ordered_for_a_class_that_is_not_retryable(
    classes, steps, exclusive, load_shedding, slices, seed
):
    wire_settings = {
        "requestClasses": [{"name": f"c{k}"} | fields for k, fields in enumerate(classes)],
        "familyInfo": {
            "keyRanges": slices,
            "oneOwner": exclusive,
            "throttleBy": load_shedding,
            "channelRate": 5000.0,
            "pendingMax": 9000.0,
            "interval": 1e9,
        },
    }
    allowed = [is_retryable(request_class) for request_class in wire_settings["requestClasses"]]
    proxies, now_ms = RetryPoliciesAtProxies(len(classes)), 1000.0
    deployment = SmallDeployment(wire_settings, seed)
    for step in steps:
        if step == "controller restarts":
            deployment = SmallDeployment(wire_settings, seed)
        else:
            deployment.pending_events += deployment.events_of(step, now_ms)
        for elapsed_ms in (0.0, 1100.0, 1100.0):
            now_ms += elapsed_ms
            proxies.apply(deployment.reconcile(now_ms))
            assert all(
                policy is not core.RetryPolicy.ONCE_AFTER_ANY_FAILURE or retryable
                for policy, retryable in zip(proxies.policies, allowed, strict=True)
            )
    assert (
        any(policy is not None for policy in proxies.policies)
        or "proxies disconnect" in steps
        or "channel down" in steps
    )
