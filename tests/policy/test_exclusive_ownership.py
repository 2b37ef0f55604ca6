"""Tests of exclusive ownership: when the next primary may be published after the former one."""

import pytest
from controller_harness import (
    CAUTIOUS_START_MS,
    CONNECT_RACE_WINDOW_MS,
    HANDOVERS_WITHIN_EMPTY_LIMIT,
    LONG_AGO_MS,
    OVERLOADED_REPORTS_TO_MIGRATE,
    PUSH_INTERVAL_MS,
    ControllerHarness,
    add_slices_with_demand,
    clear_orders,
    weight_orders,
)

from havendyke import interface as core

LEASE_MS = 1500.0
WRITE_IN_FLIGHT_MS = 4000.0
HANDOVER_MS = LEASE_MS + WRITE_IN_FLIGHT_MS


def exclusive_harness(**settings):
    """Returns a controller of a deployment with exclusive ownership."""
    return ControllerHarness(
        exclusive_ownership=True,
        lease_ms=LEASE_MS,
        max_write_in_flight_ms=WRITE_IN_FLIGHT_MS,
        **settings,
    )


def slice_of_former_primary(harness):
    """Returns a settled slice and the server that is to be its next primary."""
    former, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([former])
    harness.set_assigned_at(slice_, LONG_AGO_MS)
    harness.set_last_disconnect(LONG_AGO_MS)
    return slice_, following


def cleared_slice(proxy_count):
    """Returns a controller whose push 1 cleared a slice's table, the next primary and proxies."""
    harness = exclusive_harness(list_request_timeout_ms=0.0)
    slice_, following = slice_of_former_primary(harness)
    proxies = harness.connect_proxies(proxy_count)
    harness.set_desired(slice_, {following: 1.0})
    assert core.ClearTable(slice_) in harness.emit()
    return harness, following, proxies


def handover_ms(harness, following, limit_ms=20_000.0, between=lambda: None):
    """Returns the time until the next primary is published, or None if it exceeds the limit.

    `between` is called after each attempt that does not publish it.
    """
    start_ms = harness.now_ms
    while harness.now_ms - start_ms <= limit_ms:
        if [o.server for o in weight_orders(harness.emit())] == [following]:
            return harness.now_ms - start_ms
        between()
        harness.advance(100.0)
    return None


def test_proxies_that_disconnect_after_their_acknowledgement_do_not_delay_the_next_primary():
    # Otherwise a rolling restart of the proxies would leave slices without an endpoint.
    harness, following, proxies = cleared_slice(8)
    harness.acknowledge(*proxies)
    restarting = iter(proxies)

    def disconnect_next():
        proxy = next(restarting, None)
        if proxy:
            harness.disconnect(proxy)

    assert handover_ms(harness, following, between=disconnect_next) == WRITE_IN_FLIGHT_MS


def test_proxies_that_connect_after_the_push_and_disconnect_do_not_delay_the_next_primary():
    harness, following, proxies = cleared_slice(2)
    harness.acknowledge(*proxies)
    harness.advance(1000.0)
    late = harness.add_proxy(7)
    harness.connect(late)
    harness.advance(1000.0)
    harness.disconnect(late)
    assert handover_ms(harness, following) == WRITE_IN_FLIGHT_MS - 2000.0


@pytest.mark.parametrize("elapsed_ms", [0.0, 700.0, 2500.0])
def test_a_proxy_that_disconnects_unacknowledged_is_waited_for_until_its_lease_ends(elapsed_ms):
    harness, following, proxies = cleared_slice(3)
    harness.acknowledge(*proxies[1:])
    harness.advance(elapsed_ms)
    harness.disconnect(proxies[0])
    assert handover_ms(harness, following) == LEASE_MS + WRITE_IN_FLIGHT_MS


def test_a_proxy_that_disconnected_before_the_push_is_waited_for_until_its_lease_ends():
    harness = exclusive_harness()
    slice_, following = slice_of_former_primary(harness)
    proxies = harness.connect_proxies(2)
    harness.disconnect(proxies[0])
    harness.advance(500.0)
    harness.set_desired(slice_, {following: 1.0})
    assert core.ClearTable(slice_) in harness.emit()
    harness.acknowledge(*proxies[1:])
    assert handover_ms(harness, following) == LEASE_MS - 500.0 + WRITE_IN_FLIGHT_MS


def test_a_connected_proxy_that_does_not_acknowledge_delays_the_next_primary_indefinitely():
    harness, following, proxies = cleared_slice(3)
    harness.acknowledge(*proxies[1:])
    assert handover_ms(harness, following) is None


@pytest.mark.parametrize(
    "connected_after_ms, awaited",
    [(CONNECT_RACE_WINDOW_MS, True), (CONNECT_RACE_WINDOW_MS + 1.0, False)],
)
def test_a_proxy_that_connects_as_the_push_is_sent_must_acknowledge_it(connected_after_ms, awaited):
    # It may have read the former primary's entry from the relay before the push reached the relay.
    harness, following, proxies = cleared_slice(2)
    harness.acknowledge(*proxies)
    harness.advance(connected_after_ms)
    late = harness.add_proxy(7)
    harness.connect(late)
    harness.advance(WRITE_IN_FLIGHT_MS - connected_after_ms)
    assert bool(weight_orders(harness.emit())) != awaited
    if awaited:
        harness.acknowledge(late)
        assert handover_ms(harness, following) == WRITE_IN_FLIGHT_MS


# Guards against two owners: a push that cleared a table waited while calls to the relay failed; the
# proxies that had to acknowledge it reconnected meanwhile, and the next primary was set right after
# it was carried out (the review's fourth fault).
def test_a_push_that_waited_must_be_acknowledged_by_the_proxies_that_connected_meanwhile():
    harness, following, proxies = cleared_slice(2)
    harness.set_channel_connected(False)
    harness.disconnect(*proxies)
    harness.advance(1000.0)
    late = [*proxies, harness.add_proxy(7)]
    for proxy in late:
        harness.connect(proxy)
    harness.advance(2 * HANDOVER_MS)
    harness.set_channel_connected(True)
    harness.acknowledge(*proxies)
    assert handover_ms(harness, following, 2 * WRITE_IN_FLIGHT_MS) is None
    harness.acknowledge(late[-1])
    waited_ms = handover_ms(harness, following)
    assert WRITE_IN_FLIGHT_MS <= waited_ms <= WRITE_IN_FLIGHT_MS + PUSH_INTERVAL_MS


def test_a_push_acknowledged_before_an_interruption_does_not_wait_for_proxies_that_reconnect():
    harness, following, proxies = cleared_slice(2)
    harness.acknowledge(*proxies)
    harness.advance(500.0)
    harness.set_channel_connected(False)
    harness.disconnect(proxies[0])
    harness.connect(proxies[0])
    harness.advance(500.0)
    harness.set_channel_connected(True)
    assert handover_ms(harness, following) == WRITE_IN_FLIGHT_MS - 1000.0


def test_a_slice_assigned_without_an_entry_waits_for_the_former_controllers_proxies():
    # From the assignment on, they may use that controller's last table until their leases end.
    harness = exclusive_harness()
    _, following = harness.add_servers(2)
    harness.connect_proxies(2)
    harness.set_last_disconnect(LONG_AGO_MS)
    slice_ = harness.add_slice(0)
    harness.assign(slice_)
    harness.set_desired(slice_, {following: 1.0})
    assert handover_ms(harness, following) == LEASE_MS + WRITE_IN_FLIGHT_MS


def test_a_slice_assigned_again_waits_for_the_controller_that_had_it_in_between():
    # Its proxies may write to the former primary until their leases end; nothing tells that the
    # slice was away.
    harness = exclusive_harness()
    _, following = harness.add_servers(2)
    harness.connect_proxies(2)
    harness.set_last_disconnect(LONG_AGO_MS)
    slice_ = harness.add_slice(0)
    harness.assign(slice_)
    harness.advance(10 * HANDOVER_MS)
    harness.assign(slice_)
    harness.set_desired(slice_, {following: 1.0})
    assert handover_ms(harness, following) == HANDOVER_MS


def resynchronised_after_clearing(proxy_count=3):
    """Returns a controller whose notifications broke just after a push cleared a slice's table."""
    harness, following, proxies = cleared_slice(proxy_count)
    harness.advance(50.0)
    harness.resynchronise(*proxies)
    (slice_,) = harness.slices
    harness.assign(slice_)  # reported again, without an entry
    harness.set_desired(slice_, {following: 1.0})
    return harness, following, proxies


# Guards against two owners: the relay broke its notifications while the message that cleared a
# table was on its way, and the next owner was set without the proxies' acknowledgements (case 6).
@pytest.mark.parametrize("count", [0, 2])
def test_proxies_whose_notifications_were_missed_must_acknowledge_the_cleared_table(count):
    harness, following, proxies = resynchronised_after_clearing()
    harness.acknowledge(*proxies[:count])
    assert handover_ms(harness, following) is None


@pytest.mark.parametrize("acknowledged_ms", [100.0, 2 * LEASE_MS])
def test_after_missed_notifications_the_next_primary_follows_the_last_acknowledgement(
    acknowledged_ms,
):
    harness, following, proxies = resynchronised_after_clearing()
    harness.advance(acknowledged_ms)
    harness.acknowledge(*proxies)
    # The slice may also have been another controller's, whose proxies keep their leases.
    unused_since_ms = max(acknowledged_ms, LEASE_MS)
    expected_ms = unused_since_ms + WRITE_IN_FLIGHT_MS - acknowledged_ms
    assert handover_ms(harness, following) == pytest.approx(expected_ms, abs=100.0)


def test_acknowledgements_that_may_have_been_missed_are_requested_again():
    harness, following, proxies = resynchronised_after_clearing()
    harness.advance(PUSH_INTERVAL_MS)
    assert harness.emit() == [core.RequestAcknowledgement(2, True)]
    harness.advance(LEASE_MS)
    harness.acknowledge(*proxies, nonce=2)
    assert handover_ms(harness, following) == WRITE_IN_FLIGHT_MS


def test_an_empty_table_reported_again_waits_for_messages_on_their_way():
    # A clearing order of this controller can be carried out after its table was read as full.
    harness, following, proxies = cleared_slice(2)
    (slice_,) = harness.slices
    harness.assign(slice_)
    harness.restore_entry(slice_, harness.servers[0])
    harness.assign(slice_)
    harness.set_desired(slice_, {following: 1.0})
    harness.acknowledge(proxies[0])
    assert handover_ms(harness, following) is None
    harness.acknowledge(proxies[1])
    waited_ms = handover_ms(harness, following)
    assert WRITE_IN_FLIGHT_MS <= waited_ms <= WRITE_IN_FLIGHT_MS + PUSH_INTERVAL_MS


def test_an_acknowledgement_is_processed_without_iterating_over_all_slices():
    harness, _, proxies = cleared_slice(3)
    harness.forbid_iteration_over_slices()
    harness.acknowledge(*proxies)
    assert not harness.has_unacknowledged_pushes()


def test_a_cleared_slice_whose_next_primary_changes_still_gets_one():
    harness = exclusive_harness()
    former, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([former])
    harness.connect_proxies(1)
    harness.set_desired(slice_, {})
    harness.emit()
    harness.acknowledge(harness.proxies[0])
    harness.evaluate_health()
    harness.estimate_demand([slice_])
    harness.migrate(slice_, following)
    harness.advance(6000)
    assert [o.server for o in weight_orders(harness.emit())] == [following]


@pytest.mark.parametrize("disconnects, wait_ms", [(False, 4000.0), (True, 5500.0)])
def test_the_next_primary_waits_until_all_writes_to_the_former_have_ended(disconnects, wait_ms):
    # A proxy whose stream broke continues to write until its lease ends, and its writes in flight
    # would conflict with those at the next primary.
    harness = exclusive_harness()
    former, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([former])
    last, *others = harness.connect_proxies(8)
    harness.set_desired(slice_, {following: 1.0})
    assert core.ClearTable(slice_) in harness.emit()
    harness.acknowledge(*others)
    harness.advance(2000)
    # The next primary changes again; the wait is still measured from the push that cleared the
    # table.
    harness.set_last_push(slice_, None)
    assert not weight_orders(harness.emit())
    if disconnects:
        harness.disconnect(last)
    else:
        harness.acknowledge(last)
    harness.advance(wait_ms - 10)
    harness.evaluate_health()
    assert not weight_orders(harness.emit())
    harness.advance(10)
    assert [o.server for o in weight_orders(harness.emit())] == [following]


def test_a_push_does_not_clear_the_entry_that_it_has_just_set():
    harness = ControllerHarness(
        exclusive_ownership=True, lease_ms=500.0, max_write_in_flight_ms=500.0
    )
    draining, following = harness.add_servers(2)
    (slice_,) = harness.add_slices([draining])
    harness.connect_proxies(1)
    harness.set_listed_state(core.ServerState.DRAINING, draining)
    harness.evaluate_health()
    harness.plan()
    assert core.ClearTable(slice_) in harness.emit() and harness.published(slice_) == {}
    harness.acknowledge(harness.proxies[0])
    harness.advance(3000)
    harness.evaluate_health()
    harness.plan()
    orders = harness.emit()
    assert [(o.server, o.weight) for o in weight_orders(orders)] == [(following, 1.0)]
    assert not clear_orders(orders) and harness.published(slice_) == {following: 1.0}


# Rebalancing


def overloaded_server(max_empty_table_ms):
    """Returns a controller after planning, and the first of its ten servers, which is overloaded.

    Each server has four slices.
    """
    harness = exclusive_harness(
        slice_count=40, max_empty_table_ms=max_empty_table_ms, channel_queue_limit=61_560.0
    )
    servers = harness.add_servers(10)
    overloaded, *others = servers
    add_slices_with_demand(harness, [servers[k % 10] for k in range(40)])
    harness.connect_proxies(20)
    harness.report_server(overloaded, 20, 10, latency_ms=1900.0)
    for server in others:
        harness.report_server(server, 20)
    harness.evaluate_health()
    harness.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
    harness.plan()
    return harness, overloaded


def migrated(harness, former):
    """Returns the first server's slices that have been migrated off it."""
    return [slice_ for slice_ in harness.slices[::10] if harness.primary(slice_) is not former]


MIN_EMPTY_TABLE_LIMIT_MS = HANDOVERS_WITHIN_EMPTY_LIMIT * HANDOVER_MS + 1.0


@pytest.mark.parametrize(
    "max_empty_table_ms, migrations",
    [(MIN_EMPTY_TABLE_LIMIT_MS, 1), (MIN_EMPTY_TABLE_LIMIT_MS - 1.0, 0), (0.0, 0)],
)
def test_an_overloaded_server_releases_a_slice_if_tables_may_stay_empty_for_long_enough(
    max_empty_table_ms, migrations
):
    harness, overloaded = overloaded_server(max_empty_table_ms)
    assert len(migrated(harness, overloaded)) == migrations
    assert len(clear_orders(harness.emit())) == migrations


def test_a_migrated_slice_is_settled_before_the_next_one_is_cleared():
    harness, overloaded = overloaded_server(MIN_EMPTY_TABLE_LIMIT_MS)
    harness.emit()
    harness.advance(PUSH_INTERVAL_MS)
    harness.set_overloaded_reports(overloaded, OVERLOADED_REPORTS_TO_MIGRATE)
    harness.plan()
    slices = migrated(harness, overloaded)
    assert not any(order.slice in slices for order in clear_orders(harness.emit()))
    assert all(
        harness.published(slice_) == {} and harness.clearing_push_is_unacknowledged(slice_)
        for slice_ in slices[:1]
    )


def test_slices_with_exclusive_ownership_have_no_standby_endpoints():
    harness, _ = overloaded_server(MIN_EMPTY_TABLE_LIMIT_MS)
    assert all(len(harness.desired(slice_)) == 1 for slice_ in harness.slices)


@pytest.mark.parametrize("exclusive, most", [(True, 1), (False, 3)])
def test_an_owner_that_warms_up_takes_over_one_slice_at_a_time(exclusive, most):
    # Requests that waited for three slices arrived all at once and overloaded a server that could
    # carry the slices themselves.
    harness = exclusive_harness() if exclusive else ControllerHarness()
    warming_up, draining, full = harness.add_servers(3)
    slices = harness.add_slices([draining] * 3 + [full] * 9)
    harness.advance(CAUTIOUS_START_MS + 1)
    harness.set_started(warming_up, harness.now_ms - 15_000.0)
    harness.set_listed_state(core.ServerState.DRAINING, draining)
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_with_primary(warming_up, slices) == most
    assert not harness.slices_with_primary(draining, slices)
