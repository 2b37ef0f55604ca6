"""One controller and proxies on streams that connect, reject, stall and reconnect."""

import orjson
import pytest
from controller_harness import ControllerHarness
from test_streams import DeltaProxy

from havendyke import interface as core
from havendyke.registry import ObjectRegistry
from havendyke.xds.proxy_streams import ProxyStreams, StreamOptions
from havendyke.xds.resources import CLUSTER, DEPENDENCY_ORDER, ENDPOINTS, VIRTUAL_HOSTS
from havendyke.xds.stream import DeltaRequest


class Simulation:
    """Proxies that answer at once, except those in `stalled_keys`; advances in steps of 50 ms."""

    def __init__(self, proxy_count=3, server_count=5, slice_count=10):
        self.registry = ObjectRegistry(
            core.Settings(
                request_classes=[core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT)],
                zone_count=2,
                slice_count=slice_count,
                channel_queue_limit=4000.0,
                channel_rate_per_s=4000.0,
                message_overhead=4.0,
                push_delay_ms=50.0,
                warm_up_ms=10_000.0,
                initial_capacity_share=0.2,
                warm_up_overload_factor=3.0,
                sizes_stated=True,
            ),
            1,
        )
        self.proxy_streams = ProxyStreams(
            self.registry,
            lambda server_id: f"127.0.0.9:{server_id}",
            StreamOptions(acknowledgement_timeout_ms=3000.0),
        )
        self.now_ms, self.timers, self.stalled_keys, self.closed, self.proxies = (
            10_000.0,
            [],
            set(),
            [],
            {},
        )
        names = [f"s{k}" for k in range(server_count)]
        self.update_endpoints("ready", *names)
        self.proxy_streams.assign_slices(
            {k: {names[k % server_count]: 1.0} for k in range(slice_count)}
        )
        for k in range(proxy_count):
            self.connect(f"f{k}", DeltaProxy())

    def update_endpoints(self, state, *names, started=None):
        self.registry.pending_events.append(
            core.EndpointListUpdate(
                core.ListScope.CHANGES,
                [
                    core.EndpointEntry(
                        self.registry.server(n), state, started, int(n[1:]) % 2, 0, 0, 1.0
                    )
                    for n in names
                ],
            )
        )

    def is_connected(self, proxy_id):
        controller = ControllerHarness.wrap(self.registry.controller)
        return controller.is_connected(self.registry.proxies[proxy_id])

    def connect(self, key, proxy):
        self.proxy_streams.open_stream(key, f"node-{key}", 0, 5.0)
        self.proxies[key] = proxy
        for resource_type in DEPENDENCY_ORDER:
            self.deliver(
                self.proxy_streams.handle_request(
                    self.now_ms,
                    key,
                    DeltaRequest(
                        resource_type,
                        subscribe=("*",),
                        initial_versions=dict(proxy.versions[resource_type]),
                    ),
                )
            )

    def deliver(self, result):
        responses, to_close = result[-2:]
        for key, reason in to_close:
            self.closed.append((key, reason))
            self.proxy_streams.close_stream(key)
        for key, response in responses:
            if key not in self.stalled_keys and key in self.proxy_streams.streams:
                self.deliver(
                    self.proxy_streams.handle_request(
                        self.now_ms, key, self.proxies[key].apply(response)
                    )
                )

    def advance(self, ms):
        end = self.now_ms + ms
        while self.now_ms < end:
            self.now_ms += 50.0
            due_timers = [t for t in self.timers if t[0] <= self.now_ms]
            self.timers = [t for t in self.timers if t[0] > self.now_ms]
            self.registry.pending_events += [
                core.TimerFired(timer_id) for _, timer_id in due_timers
            ]
            if self.registry.pending_events:
                result = self.proxy_streams.reconcile(self.now_ms)
                self.timers += [
                    (self.now_ms + o.delay_ms, o.timer_id)
                    for o in result[0]
                    if type(o) is core.StartTimer
                ]
                self.deliver(result)

    def servers_in_use(self, key) -> set:
        """Returns the servers that a proxy may send to, over all slices."""
        resources = self.proxies[key].resources
        healthy = {n for n, r in resources[ENDPOINTS].items() if b"healthy" in r.body}
        return {
            n
            for r in resources[VIRTUAL_HOSTS].values()
            for n in orjson.loads(r.body)
            if n in healthy
        }


def test_connected_proxies_hold_a_table_for_every_slice_and_acknowledge_pushes():
    simulation = Simulation()
    simulation.advance(8000)
    controller = ControllerHarness.wrap(simulation.registry.controller)
    assert (
        all(len(p.resources[VIRTUAL_HOSTS]) == 10 for p in simulation.proxies.values())
        and not simulation.closed
    )
    acknowledged = {controller.acknowledged_push(proxy) for proxy in controller.proxies}
    assert acknowledged == {controller.push_count} and controller.push_count > 0
    for slice_id, slice_ in simulation.registry.slices.items():
        published = controller.published(slice_)
        assert {server.id for server in published} == simulation.proxy_streams.tables.tables[
            slice_id
        ].keys()


def test_no_proxy_uses_a_draining_server_after_the_drain_grace():
    simulation = Simulation()
    simulation.advance(8000)
    simulation.update_endpoints("draining", "s1")
    simulation.advance(1500)
    assert all("s1" not in simulation.servers_in_use(key) for key in simulation.proxies)
    for p in simulation.proxies.values():
        assert all(set(orjson.loads(r.body)) - {"s1"} for r in p.resources[VIRTUAL_HOSTS].values())


def test_a_proxy_that_rejects_an_ejection_is_disconnected_and_delays_no_other():
    simulation = Simulation()
    simulation.advance(8000)
    simulation.proxies["f1"].rejects = lambda resource: b"draining" in resource.body
    simulation.update_endpoints("draining", "s1")
    simulation.advance(1500)
    assert ("f1", "refused a drain") in simulation.closed and not simulation.is_connected(1)
    assert "s1" not in simulation.servers_in_use("f0") and "s1" not in simulation.servers_in_use(
        "f2"
    )


def test_a_stalled_proxy_is_disconnected_and_receives_the_difference_on_reconnecting():
    simulation = Simulation()
    simulation.advance(8000)
    simulation.stalled_keys.add("f2")
    simulation.update_endpoints("draining", "s1")
    simulation.advance(4500)
    assert ("f2", "stalled") in simulation.closed
    simulation.stalled_keys.clear()
    before = len(simulation.proxies["f2"].applied)
    simulation.connect("f2", simulation.proxies["f2"])
    simulation.advance(3000)
    assert (
        "s1" not in simulation.servers_in_use("f2")
        and 0 < len(simulation.proxies["f2"].applied) - before < 25
    )
    assert (
        simulation.is_connected(2)
        and simulation.proxies["f2"].resources[CLUSTER].keys()
        == simulation.proxies["f0"].resources[CLUSTER].keys()
    )


@pytest.mark.parametrize("key", ["f0", "other"])
def test_a_known_node_on_a_new_stream_is_the_same_proxy(key):
    simulation = Simulation(proxy_count=1)
    simulation.advance(2000)
    simulation.proxy_streams.open_stream(key, "node-f0", 0, 5.0)
    simulation.proxies[key] = DeltaProxy()
    for resource_type in DEPENDENCY_ORDER:
        simulation.deliver(
            simulation.proxy_streams.handle_request(
                simulation.now_ms, key, DeltaRequest(resource_type, subscribe=("*",))
            )
        )
    simulation.advance(3000)
    assert (
        len(simulation.registry.proxies) == 1
        and simulation.is_connected(0)
        and list(simulation.proxy_streams.streams) == [key]
    )
