"""Random faults of all peers at once, generations of servers, and calls and lists that cross each
other, in simulated time."""

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
def test_all_peers_agree_after_random_faults(seed):
    registry.TARGETS["world"].run(random.Random(seed).randbytes(160))


def simulate(*names):
    """An assigner with its peers; each slice starts with one of these servers, in turn."""
    simulation = Simulation(
        lambda event_loop: Assigner(
            config.read_config(raw_config(known=complete_list(*names)), {}), event_loop
        ),
        {
            slice_id: {names[slice_id % len(names)]: 1.0}
            for slice_id in range(SETTINGS["familyInfo"]["keyRanges"])
        },
        {name: listed_server(name) for name in names},
    )
    simulation.assigner.start()
    return simulation


def test_generations_of_servers_leave_no_state_behind():
    current = [f"s{k}" for k in range(6)]
    simulation = simulate(*current)
    simulation.run_for(1000)
    sizes = []
    for generation in range(12):
        fresh = [f"g{generation}-{k}" for k in range(6)]
        for names, state in (
            (fresh, "in_service"),
            (current, "terminating"),
            (current, "terminated"),
        ):
            simulation.discovery.change(**{n: listed_server(n, state) for n in names})
            simulation.run_for(8000)
        current, assigner = fresh, simulation.assigner
        sizes.append(
            [
                len(x)
                for x in (
                    assigner.registry.servers,
                    assigner.registry.controller.servers,
                    assigner.peer_codecs.endpoint_list.endpoints,
                    assigner.peer_codecs.endpoint_list.start_times,
                    assigner.health_checker.last_outcomes,
                )
            ]
        )
    assert (
        all(size <= 12 for size in sum(sizes[2:], []))
        and len(simulation.assigner.registry.ejected_ids) <= 72
    )
    assert {n for table in simulation.relay.store.values() for n in table} <= set(current)
    assert (
        simulation.event_loop.counters["servers_forgotten"] > 50 and not simulation.disagreements()
    )


@pytest.mark.parametrize("ejected", [False, True])
def test_an_ejected_server_that_is_listed_again_after_it_was_forgotten_is_unejected(ejected):
    assigner, _ = make_assigner()
    server = assigner.registry.server("s9")
    harness = ControllerHarness.wrap(assigner.registry.controller)
    harness.set_listed_state(core.ServerState.GONE, server)
    if ejected:
        harness.set_ejected(server)
    assigner.registry.pending_events = []
    assigner.forget_departed()
    assert "s9" not in assigner.registry.servers
    listed_again = assigner.registry.server("s9")
    assert harness.ejection_is_unconfirmed(listed_again) == ejected
    assert not assigner.registry.ejected_ids


def test_an_idle_deadline_of_a_broken_connection_does_not_end_the_next():
    # The next connection would be closed while it is established, and its orders would stay queued.
    simulation = simulate("s1", "s2")
    simulation.run_for(1000)
    relay = simulation.assigner.relay
    simulation.relay.call_outcome = "silent_discarded"
    simulation.discovery.change(s1={"state": "terminating"})
    simulation.run_for(30)
    simulation.relay.call_outcome = "answered"
    broken = relay.connection
    while relay.connection in (broken, None):
        simulation.run_for(1)
    relay.close_idle()  # as the deadline of the broken connection did
    simulation.run_for(5000)
    assert not relay.queue.orders and not simulation.disagreements()


def test_entries_of_an_assignment_during_a_call_are_compared_again():
    # The call may be carried out on the new entries after their notification, without notice.
    simulation = simulate(*(f"s{k}" for k in range(1, 7)))
    simulation.run_for(1500)
    simulation.discovery.change(s1={"state": "terminating"})
    simulation.event_loop.run()
    simulation.relay.unassign_slice(0)
    simulation.relay.assign_slice(0, {"s1": 1.0})
    simulation.run_for(6000)
    assert (
        simulation.event_loop.counters["snapshot_differs"] >= 1 and not simulation.disagreements()
    )


def test_discovery_that_restarts_up_to_the_known_version_is_asked_for_the_complete_list():
    simulation = simulate("s1", "s2", "s3")
    simulation.run_for(1000)
    for _ in range(2):
        simulation.discovery.change(s1={"state": "terminating"})
        simulation.event_loop.run()
    simulation.discovery.restart()
    for _ in range(2):
        simulation.discovery.change(s1={"state": "in_service"})
    assert simulation.discovery.version == simulation.assigner.discovery.version == 3
    simulation.run_for(3000)
    harness = ControllerHarness.wrap(simulation.assigner.registry.controller)
    assert {s.id: harness.listed_state(s) for s in harness.servers}["s1"] == "ready"
