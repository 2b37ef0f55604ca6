"""One controller and forwarders on streams: joins, drains, refusals, stalls and returns through the
same decisions."""

import orjson
import pytest
from controller_harness import ControllerHarness
from test_streams import Forwarder

from havendyke import interface as core
from havendyke.registry import ObjectRegistry
from havendyke.xds.forwarders import Forwarders, Options
from havendyke.xds.resources import CLUSTER, DEPENDENCY_ORDER, ENDPOINTS, VIRTUAL_HOSTS
from havendyke.xds.stream import DeltaRequest


class Scene:
    """Forwarders that answer at once unless they are in `deaf`; 50 ms a step."""

    def __init__(self, count=3, servers=5, pieces=10):
        self.registry = ObjectRegistry(
            core.Settings(
                request_classes=[core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT)],
                zone_count=2,
                slice_count=pieces,
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
        self.front = Forwarders(
            self.registry, lambda uid: f"127.0.0.9:{uid}", Options(stall=3000.0)
        )
        self.now, self.timers, self.deaf, self.closed, self.peers = 10_000.0, [], set(), [], {}
        names = [f"s{k}" for k in range(servers)]
        self.list("ready", *names)
        self.front.begin({k: {names[k % servers]: 1.0} for k in range(pieces)})
        for k in range(count):
            self.join(f"f{k}", Forwarder())

    def list(self, state, *names, started=None):
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

    def is_connected(self, ident):
        controller = ControllerHarness.wrap(self.registry.controller)
        return controller.is_connected(self.registry.proxies[ident])

    def join(self, key, forwarder):
        self.front.opened(key, f"node-{key}", 0, 5.0)
        self.peers[key] = forwarder
        for kind in DEPENDENCY_ORDER:
            self.deliver(
                self.front.asked(
                    self.now,
                    key,
                    DeltaRequest(
                        kind, subscribe=("*",), initial_versions=dict(forwarder.versions[kind])
                    ),
                )
            )

    def deliver(self, told):
        responses, close = told[-2:]
        for key, why in close:
            self.closed.append((key, why))
            self.front.closed(key)
        for key, response in responses:
            if key not in self.deaf and key in self.front.joined:
                self.deliver(self.front.asked(self.now, key, self.peers[key].apply(response)))

    def go(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += 50.0
            rung = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            self.registry.pending_events += [core.TimerFired(tag) for _, tag in rung]
            if self.registry.pending_events:
                made = self.front.turn(self.now)
                self.timers += [
                    (self.now + o.delay_ms, o.timer_id)
                    for o in made[0]
                    if type(o) is core.StartTimer
                ]
                self.deliver(made)

    def picks(self, key) -> set:
        """The servers that a forwarder would send to, over all slices."""
        held = self.peers[key].held
        healthy = {n for n, r in held[ENDPOINTS].items() if b"healthy" in r.body}
        return {
            n for r in held[VIRTUAL_HOSTS].values() for n in orjson.loads(r.body) if n in healthy
        }


def test_joined_forwarders_hold_a_line_for_every_slice_and_answer_marks():
    s = Scene()
    s.go(8000)
    controller = ControllerHarness.wrap(s.registry.controller)
    assert all(len(p.held[VIRTUAL_HOSTS]) == 10 for p in s.peers.values()) and not s.closed
    acknowledged = {controller.acknowledged_push(proxy) for proxy in controller.proxies}
    assert acknowledged == {controller.push_count} and controller.push_count > 0
    for number, slice_ in s.registry.slices.items():
        published = controller.published(slice_)
        assert {server.id for server in published} == s.front.tables.lines[number].keys()


def test_a_drained_server_gets_nothing_within_the_grace_at_any_forwarder():
    s = Scene()
    s.go(8000)
    s.list("draining", "s1")
    s.go(1500)
    assert all("s1" not in s.picks(key) for key in s.peers)
    for p in s.peers.values():
        assert all(set(orjson.loads(r.body)) - {"s1"} for r in p.held[VIRTUAL_HOSTS].values())


def test_a_forwarder_that_refuses_a_drain_is_cut_off_and_holds_nobody_back():
    s = Scene()
    s.go(8000)
    s.peers["f1"].refuses = lambda one: b"draining" in one.body
    s.list("draining", "s1")
    s.go(1500)
    assert ("f1", "refused a drain") in s.closed and not s.is_connected(1)
    assert "s1" not in s.picks("f0") and "s1" not in s.picks("f2")


def test_a_stalled_reader_is_cut_off_in_time_and_comes_back_for_the_difference():
    s = Scene()
    s.go(8000)
    s.deaf.add("f2")
    s.list("draining", "s1")
    s.go(4500)
    assert ("f2", "stalled") in s.closed
    s.deaf.clear()
    before = len(s.peers["f2"].ledger)
    s.join("f2", s.peers["f2"])
    s.go(3000)
    assert "s1" not in s.picks("f2") and 0 < len(s.peers["f2"].ledger) - before < 25
    assert (
        s.is_connected(2)
        and s.peers["f2"].held[CLUSTER].keys() == s.peers["f0"].held[CLUSTER].keys()
    )


@pytest.mark.parametrize("key", ["f0", "other"])
def test_the_same_node_on_a_new_stream_is_the_same_proxy(key):
    s = Scene(count=1)
    s.go(2000)
    s.front.opened(key, "node-f0", 0, 5.0)
    s.peers[key] = Forwarder()
    for kind in DEPENDENCY_ORDER:
        s.deliver(s.front.asked(s.now, key, DeltaRequest(kind, subscribe=("*",))))
    s.go(3000)
    assert len(s.registry.proxies) == 1 and s.is_connected(0) and list(s.front.joined) == [key]
