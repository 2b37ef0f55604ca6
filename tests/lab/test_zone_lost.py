"""A zone is lost for 5 s and its restart is listed late, while load reports are sparse: none of its
servers may fail of overload when they restart."""

import pytest
from controller_harness import ControllerHarness
from deployment import deployment
from test_several_controllers import lose_zone, violations

from havendyke import interface as core
from havendyke.lab.controllers import ZONES
from havendyke.lab.rules import Bounds
from havendyke.lab.server_load import Sampling
from havendyke.policy.recovery_ramp import RECOVERED_UTILIZATION

LOST_FOR_MS = 5000.0
MANY_PROXIES = 18
# Reports that cover 6 s and arrive late.
LATE = Sampling(period_ms=2000.0, span_ms=6000.0, zones=3, delay_ms=800.0)
# Reports on a loss of 2 s arrive when it is over.
SLOW = Sampling(period_ms=2000.0, span_ms=2000.0, zones=3, delay_ms=1000.0)
# Most reports arrive after the servers have restarted.
RARE = Sampling(period_ms=12_000.0, span_ms=12_000.0, zones=3, delay_ms=800.0)
EXCLUSIVE_OWNERSHIP = {
    "exclusive_ownership": True,
    "lease_ms": 800.0,
    "max_write_in_flight_ms": 3000.0,
    "max_empty_table_ms": 12_000.0,
    "push_delay_ms": 250.0,
}


@pytest.mark.parametrize("count, seed", [(1, 1), (5, 1), (5, 6), (30, 1)])
def test_no_server_of_a_lost_zone_is_overloaded_when_it_restarts(count, seed):
    # Slices must not move to servers of the lost zone that no report has named yet.
    group = deployment(count, seed)
    lose_zone(group, LOST_FOR_MS, (1000.0, 2000.0))
    group.run_for(6000.0)
    assert not violations(group)
    assert [failure.server for failure in group.overload_failures] == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("settings", [{}, EXCLUSIVE_OWNERSHIP], ids=["shared", "exclusive"])
def test_late_reports_show_the_loss_of_a_zone_before_that_of_each_server(seed, settings):
    # Evaluated one by one, servers of the zone would keep their slices for too long.
    group = deployment(
        5, seed, group={"sampling": LATE, "bounds": Bounds(empty_table_ms=12_000.0)}, **settings
    )
    group.run_for(4000.0)
    lose_zone(group, LOST_FOR_MS, (1000.0, 2000.0))
    group.run_for(6000.0)
    assert not violations(group)
    assert [failure.server for failure in group.overload_failures] == []


def test_slices_of_lost_controllers_leave_a_lost_zone_too():
    # No other controller has reports of these slices.
    group = deployment(
        5,
        1,
        group={"sampling": LATE, "bounds": Bounds(empty_table_ms=12_000.0)},
        **EXCLUSIVE_OWNERSHIP,
    )
    group.run_for(4000.0)
    group.after(2000.0, lambda: [group.lose_controller(replica) for replica in group.replicas[:2]])
    lose_zone(group, LOST_FOR_MS, (1000.0, 2000.0))
    group.run_for(6000.0)
    assert not violations(group)
    assert [failure.server for failure in group.overload_failures] == []


def deployment_with_rare_reports(settings):
    options = {"sampling": RARE, "bounds": Bounds(empty_table_ms=12_000.0)}
    group = deployment(5, 1, servers=30, proxies=MANY_PROXIES, group=options, **settings)
    group.run_for(4000.0)
    return group


def disconnect_zone(group, duration_ms, fresh=True):
    """Zone 0's proxies lose their streams for this time; `fresh`: they restart as well."""
    for number in range(0, MANY_PROXIES, ZONES):
        group.disconnect_proxy(number)
        group.after(duration_ms, lambda number=number: group.connect_proxy(number, fresh=fresh))


def lose_zone_with_its_proxies(group, duration_ms=LOST_FOR_MS, listed_after_ms=(1000.0, 2000.0)):
    disconnect_zone(group, duration_ms)
    lose_zone(group, duration_ms, listed_after_ms)
    group.run_for(6000.0)


@pytest.mark.parametrize("settings", [{}, EXCLUSIVE_OWNERSHIP], ids=["shared", "exclusive"])
def test_a_zone_whose_proxies_disconnected_is_lost_before_reports_show_it(settings):
    group = deployment_with_rare_reports(settings)
    lose_zone_with_its_proxies(group)
    assert not violations(group)
    assert [failure.server for failure in group.overload_failures] == []


@pytest.mark.parametrize("count", [1, 5])
@pytest.mark.parametrize("settings", [{}, EXCLUSIVE_OWNERSHIP], ids=["shared", "exclusive"])
def test_a_zone_that_is_away_for_two_seconds_at_high_load_restarts_without_overload(
    settings, count
):
    # Its servers are back, cold, before any report shows a failure and before the list tells.
    options = {"sampling": SLOW, "bounds": Bounds(empty_table_ms=12_000.0)}
    group = deployment(
        count,
        1,
        servers=30,
        proxies=MANY_PROXIES,
        load=0.85,
        group=options,
        report_interval_ms=SLOW.period_ms,
        **settings,
    )
    group.run_for(4000.0)
    lose_zone_with_its_proxies(group, 2000.0, (1000.0, 4000.0))
    assert not violations(group)
    assert [failure.server for failure in group.overload_failures] == []


@pytest.mark.parametrize("settings", [{}, EXCLUSIVE_OWNERSHIP], ids=["shared", "exclusive"])
def test_servers_whose_zone_lost_only_its_proxies_take_over_from_those_that_drain(settings):
    # They were presumed to have restarted with their zone, and slices had no server (review/8).
    options = {
        "sampling": SLOW,
        "bounds": Bounds(empty_table_ms=EXCLUSIVE_OWNERSHIP["max_empty_table_ms"]),
    }
    group = deployment(
        1,
        1,
        servers=18,
        proxies=MANY_PROXIES,
        group=options,
        report_interval_ms=SLOW.period_ms,
        **settings,
    )
    group.run_for(4000.0)
    disconnect_zone(group, 17_000.0, fresh=False)
    group.run_for(3000.0)
    names = [server.name for server in group.servers.values() if server.zone != 0]
    successors = [group.add_server(group.now).name for _ in names]
    group.send_list_to_all(core.ListScope.CHANGES, [group.list_entry(name) for name in successors])
    group.send_list_to_all(
        core.ListScope.CHANGES, [group.list_entry(name, "draining") for name in names]
    )
    group.run_for(14_000.0)
    assert not violations(group)


def test_servers_whose_zone_lost_only_its_proxies_get_their_slices_back():
    # Nothing returned what they had released while they were presumed to have restarted.
    group = deployment(
        1,
        1,
        servers=18,
        proxies=MANY_PROXIES,
        group={"sampling": SLOW},
        report_interval_ms=SLOW.period_ms,
    )
    group.run_for(4000.0)
    (replica,) = group.replicas
    harness = ControllerHarness.wrap(replica.registry.controller)
    zone = [s for s in harness.servers if group.servers[s.id].zone == 0]

    def load_of_zone():
        return sum(harness.assigned_load(server) for server in zone)

    load = load_of_zone()
    disconnect_zone(group, 17_000.0, fresh=False)
    group.run_for(2500.0)
    assert load_of_zone() < RECOVERED_UTILIZATION * load
    group.run_for(14_000.0)
    assert load_of_zone() >= RECOVERED_UTILIZATION * load and not violations(group)
