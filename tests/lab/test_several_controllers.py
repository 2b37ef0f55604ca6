"""Faults of a deployment with several controllers: all of their proxies together keep the rules."""

import pytest
from controller_harness import PUSH_INTERVAL_MS, ControllerHarness
from deployment import PROXIES, SERVERS, deployment

from havendyke import interface as core
from havendyke.lab.rules import Bounds

COUNTS = [1, 5, 30, 230]


def violations(group):
    """The violations, as texts."""
    return [str(violation) for violation in group.violations]


def lose_zone(group, duration_ms, listed_after_ms, zone=0):
    """A zone is lost and restarts; returns the names of its servers.

    Each controller's endpoint list has the starts after a random delay within the bounds
    `listed_after_ms`."""
    names = [server.name for server in group.servers.values() if server.zone == zone]
    for name in names:
        group.stop(name)
    group.run_for(duration_ms)
    for name in names:
        group.start(name)
    min_delay_ms, max_delay_ms = listed_after_ms
    group.send_list_to_all(
        core.ListScope.CHANGES,
        [group.list_entry(name) for name in names],
        lambda: min_delay_ms + (max_delay_ms - min_delay_ms) * group.random_numbers.draw(),
    )
    return names


@pytest.mark.parametrize("count", COUNTS)
def test_servers_of_a_lost_zone_get_no_more_than_their_budget_when_they_restart(count):
    group = deployment(count)
    lose_zone(group, 5000.0, (1000.0, 2000.0))
    group.run_for(6000.0)
    assert not violations(group)


@pytest.mark.parametrize("count", COUNTS)
def test_servers_that_restart_at_once_with_all_their_slices_keep_the_load_they_can_serve(count):
    # No load report shows so short a loss: only the listed starts limit the load of the servers.
    group = deployment(count)
    lose_zone(group, 200.0, (0.0, 100.0))
    group.run_for(4000.0)
    assert not violations(group) and not group.overload_failures


@pytest.mark.parametrize("count", COUNTS)
def test_no_rule_is_broken_while_half_of_the_fleet_is_replaced_within_seconds(count):
    group = deployment(count)
    names, wave_size = list(group.servers), SERVERS * 3 // 10
    for wave in range(2):
        successors = [group.add_server(group.now).name for _ in range(wave_size)]
        group.send_list_to_all(
            core.ListScope.CHANGES,
            [group.list_entry(name) for name in successors],
            lambda: 300.0 * group.random_numbers.draw(),
        )
        group.run_for(2000.0)
        predecessors = names[wave * wave_size :][:wave_size]
        group.send_list_to_all(
            core.ListScope.CHANGES,
            [group.list_entry(name, "draining") for name in predecessors],
            lambda: 300.0 * group.random_numbers.draw(),
        )
        group.run_for(2000.0)
    group.run_for(4000.0)
    assert not violations(group) and not group.overload_failures


# Exclusive ownership

LEASE_MS = 800.0
WRITE_IN_FLIGHT_MS = 3000.0
MAX_EMPTY_TABLE_MS = 16_400.0
EXCLUSIVE_SERVERS, EXCLUSIVE_PROXIES = 30, 20


class Handovers:
    """How long slices have an empty table between a former primary and the next one."""

    def __init__(self):
        self.cleared_ms, self.durations_ms = {}, []

    def observe(self, replica, now_ms, orders):
        """Watches the orders of one controller."""
        for order in orders:
            if type(order) is core.ClearTable:
                self.cleared_ms.setdefault(order.slice.id, now_ms)
            elif type(order) is core.SetEndpointWeight and order.slice.id in self.cleared_ms:
                self.durations_ms.append(now_ms - self.cleared_ms.pop(order.slice.id))


EXCLUSIVE_BOUNDS = Bounds(empty_table_ms=MAX_EMPTY_TABLE_MS)


def exclusive_deployment(count, bounds=EXCLUSIVE_BOUNDS, **changes):
    """Returns a deployment with exclusive ownership, and its handovers.

    Messages are fast, since slow ones would hide a wait that is too short."""
    handovers = Handovers()
    group = deployment(
        count,
        servers=EXCLUSIVE_SERVERS,
        proxies=EXCLUSIVE_PROXIES,
        exclusive_ownership=True,
        lease_ms=LEASE_MS,
        max_write_in_flight_ms=WRITE_IN_FLIGHT_MS,
        max_empty_table_ms=MAX_EMPTY_TABLE_MS,
        push_delay_ms=100.0,
        group={"bounds": bounds, "on_orders": handovers.observe},
        **changes,
    )
    return group, handovers


def drain(group, names):
    group.send_list_to_all(
        core.ListScope.CHANGES, [group.list_entry(name, "draining") for name in names]
    )


@pytest.mark.parametrize("count", [1, 5, 30])
def test_proxies_that_restart_in_turn_neither_delay_handovers_nor_let_writes_overlap(count):
    # One restarts up to 250 ms after each drain, so that its acknowledgement is due or its stream
    # has just broken.
    group, handovers = exclusive_deployment(count)
    names = iter(group.servers)
    for k in range(8):
        drain(group, [next(names)])
        group.after(50.0 * (k % 6), lambda k=k: group.restart_proxy(k, 700.0))
        group.run_for(1500.0)
    group.run_for(6000.0)
    assert not violations(group)
    assert handovers.durations_ms and not handovers.cleared_ms
    acknowledged = max(replica.max_acknowledgement_ms for replica in group.replicas)
    # A proxy may disconnect just before its acknowledgement, and writes until its lease ends.
    assert (
        max(handovers.durations_ms)
        <= LEASE_MS + WRITE_IN_FLIGHT_MS + acknowledged + 2 * PUSH_INTERVAL_MS
    )


def test_the_next_primary_waits_for_a_proxy_that_gets_its_messages_late():
    # The late proxy sends to the draining servers meanwhile, so the drain grace is extended.
    group, handovers = exclusive_deployment(
        1, Bounds(empty_table_ms=MAX_EMPTY_TABLE_MS, drain_grace_ms=10_000.0)
    )
    plane = group.replicas[0].plane
    drain(group, list(group.servers)[:6])
    while not handovers.cleared_ms:
        group.run_for(group.step_ms)
    late = plane.proxy_state(group.replicas[0].registry.proxy(0))
    for message in [*plane.channel, *plane.in_flight]:
        message.arrives_at += 5000.0 if message.recipient is late else 0.0
    group.run_for(12_000.0)
    assert not violations(group) and handovers.durations_ms and not handovers.cleared_ms


@pytest.mark.parametrize("lost_after_ms", [100.0, 200.0, 300.0, 400.0])
def test_a_controller_may_be_lost_during_its_handovers(lost_after_ms):
    # The tables of these slices in the store are empty, while the lost controller's proxies go on
    # using the last tables until their lease ends.
    group, handovers = exclusive_deployment(3)
    drain(group, list(group.servers)[:6])
    group.run_for(lost_after_ms)
    group.lose_controller(group.replicas[0])
    group.run_for(9000.0)
    assert not violations(group) and handovers.durations_ms and not handovers.cleared_ms


@pytest.mark.parametrize("count", [5, 30])
def test_slices_reassigned_between_controllers_in_a_drain_are_never_written_at_two_servers(
    count,
):
    group, handovers = exclusive_deployment(count)
    names = list(group.servers)
    drain(group, names[::10])
    for k in range(6):
        group.run_for(500.0)
        for number in list(group.demand)[k::20]:
            group.reassign_slice(number, group.replicas[(number + k + 1) % count])
        group.restart_proxy(k % PROXIES, 700.0)
    group.run_for(9000.0)
    assert not violations(group) and handovers.durations_ms and not handovers.cleared_ms


@pytest.mark.parametrize("exclusive", [False, True])
@pytest.mark.parametrize("count", [2, 5])
def test_slices_of_a_lost_controller_and_proxies_that_connect_come_at_once(count, exclusive):
    group = exclusive_deployment(count)[0] if exclusive else deployment(count)
    for number in range(PROXIES):
        group.disconnect_proxy(number)
    group.run_for(300.0)
    group.lose_controller(group.replicas[0])
    for number in range(PROXIES):
        group.connect_proxy(number)
    drain(group, list(group.servers)[::10])
    group.run_for(9000.0)
    assert not violations(group) and not group.overload_failures
    assert sum(len(replica.plane.assigned_slices) for replica in group.running()) == len(
        group.demand
    )


# Faults of discovery


def release(count):
    """Drains some servers and lists successors; returns the group and the draining names."""
    group = deployment(count)
    draining = list(group.servers)[::10]
    drain(group, draining)
    group.run_for(500.0)
    successors = [group.add_server(group.now).name for _ in draining]
    group.send_list_to_all(core.ListScope.CHANGES, [group.list_entry(name) for name in successors])
    return group, draining


def listed_state(replica, name):
    harness = ControllerHarness.wrap(replica.registry.controller)
    return harness.listed_state(replica.registry.server(name))


def unavailable_everywhere(group, names):
    return all(
        listed_state(replica, name) in (core.ServerState.DRAINING, core.ServerState.GONE)
        for replica in group.replicas
        for name in names
    )


def complete_list(group, draining, without=()):
    return [
        group.list_entry(name, "draining" if name in draining else "ready")
        for name in group.servers
        if name not in without
    ]


def send_incomplete_list(group, draining):
    """A list without the servers that drain, as if they were gone, and without two healthy ones."""
    group.send_list_to_all(
        core.ListScope.COMPLETE,
        complete_list(group, draining, without=draining + list(group.servers)[1:3]),
    )


def repeat_lists(group, draining):
    for _ in range(3):
        drain(group, draining)
        group.send_list_to_all(core.ListScope.COMPLETE, complete_list(group, draining))
        group.run_for(300.0)


def fail_twice(group, draining):
    group.send_list_to_all(core.ListScope.FAILED, [])
    group.run_for(3000.0)
    group.send_list_to_all(core.ListScope.FAILED, [])


def send_list_late(group, draining):
    """The complete list reaches each controller up to three seconds late."""
    group.send_list_to_all(
        core.ListScope.COMPLETE,
        complete_list(group, draining),
        lambda: 3000.0 * group.random_numbers.draw(),
    )


@pytest.mark.parametrize("fault", [send_incomplete_list, repeat_lists, fail_twice, send_list_late])
@pytest.mark.parametrize("count", [1, 5])
def test_drains_are_completed_through_faults_of_discovery_during_a_release(count, fault):
    group, draining = release(count)
    fault(group, draining)
    group.run_for(5000.0)
    assert (
        not violations(group)
        and not group.overload_failures
        and unavailable_everywhere(group, draining)
    )
