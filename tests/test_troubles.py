"""Drawn faults of all peers at once, and many generations of servers, in the test's own time."""

import random

import pytest
from controller_harness import ControllerHarness
from helpers import SETTINGS, complete_list, listed_server, make_assigner, raw_config

from fuzz import registry
from havendyke import config
from havendyke import interface as core
from havendyke.lab.peers import Simulation
from havendyke.net.assigner import Assigner

registry.load()


@pytest.mark.parametrize("seed", range(8))
def test_all_peers_agree_after_any_faults(seed):
    registry.TARGETS["world"].run(random.Random(seed).randbytes(160))


def world(*names):
    deployment = Simulation(
        lambda hub: Assigner(config.read_config(raw_config(known=complete_list(*names)), {}), hub),
        {
            slice_id: {names[slice_id % len(names)]: 1.0}
            for slice_id in range(SETTINGS["familyInfo"]["keyRanges"])
        },
        {name: listed_server(name) for name in names},
    )
    deployment.assigner.start()
    return deployment


def test_many_generations_of_servers_leave_nothing_behind():
    current = [f"s{k}" for k in range(6)]
    w = world(*current)
    w.run_for(1000)
    sizes = []
    for generation in range(12):
        fresh = [f"g{generation}-{k}" for k in range(6)]
        for names, state in (
            (fresh, "in_service"),
            (current, "terminating"),
            (current, "terminated"),
        ):
            w.discovery.change(**{n: listed_server(n, state) for n in names})
            w.run_for(8000)
        current, a = fresh, w.assigner
        sizes.append(
            [
                len(x)
                for x in (
                    a.registry.servers,
                    a.registry.controller.servers,
                    a.messages.endpoint_list.endpoints,
                    a.messages.endpoint_list.start_times,
                    a.health_checker.last_outcomes,
                )
            ]
        )
    assert (
        all(size <= 12 for size in sum(sizes[2:], []))
        and len(w.assigner.registry.ejected_ids) <= 72
    )
    assert {n for table in w.relay.store.values() for n in table} <= set(current)
    assert w.event_loop.counters["servers_forgotten"] > 50 and not w.disagreements()


@pytest.mark.parametrize("ejected", [False, True])
def test_an_ejected_server_that_is_listed_again_after_it_was_forgotten_is_unejected(ejected):
    assigner, _ = make_assigner()
    server = assigner.registry.server("s9")
    scene = ControllerHarness.wrap(assigner.registry.controller)
    scene.set_listed_state(core.ServerState.GONE, server)
    if ejected:
        scene.set_ejected(server)
    assigner.registry.pending_events = []
    assigner.forget_departed()
    assert "s9" not in assigner.registry.servers
    listed_again = assigner.registry.server("s9")
    assert scene.ejection_is_unconfirmed(listed_again) == ejected
    assert not assigner.registry.ejected_ids


def test_an_idle_deadline_of_a_broken_connection_does_not_end_the_next():
    # The next connection would end while it comes up, and its orders would wait without end.
    w = world("s1", "s2")
    w.run_for(1000)
    relay = w.assigner.relay
    w.relay.call_outcome = "silent_undone"
    w.discovery.change(s1={"state": "terminating"})
    w.run_for(30)
    w.relay.call_outcome = "well"
    broken = relay.connection
    while relay.connection in (broken, None):
        w.run_for(1)
    relay.close_idle()  # as the old one's deadline did
    w.run_for(5000)
    assert not relay.queue.orders and not w.disagreements()


def test_entries_of_an_assignment_during_a_call_are_compared_again():
    # The call may be carried out on the new entries after the notification, and unnoticed.
    w = world(*(f"s{k}" for k in range(1, 7)))
    w.run_for(1500)
    w.discovery.change(s1={"state": "terminating"})
    w.event_loop.run()
    w.relay.unassign_slice(0)
    w.relay.assign_slice(0, {"s1": 1.0})
    w.run_for(6000)
    assert w.event_loop.counters["snapshot_differs"] >= 1 and not w.disagreements()


def test_discovery_that_restarts_up_to_the_known_version_is_asked_for_the_complete_list():
    w = world("s1", "s2", "s3")
    w.run_for(1000)
    for _ in range(2):
        w.discovery.change(s1={"state": "terminating"})
        w.event_loop.run()
    w.discovery.restart()
    for _ in range(2):
        w.discovery.change(s1={"state": "in_service"})
    assert w.discovery.version == w.assigner.discovery.version == 3
    w.run_for(3000)
    scene = ControllerHarness.wrap(w.assigner.registry.controller)
    assert {s.id: scene.listed_state(s) for s in scene.servers}["s1"] == "ready"
