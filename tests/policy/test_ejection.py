"""Tests of when a single order ejects a server from all tables, and of when the ejection ends."""

import pytest
from controller_harness import STANDBY_WEIGHT, ControllerHarness, default_settings

from havendyke import interface as core
from havendyke.policy.ejection import MAX_REPLACEMENT_WAIT_MS
from havendyke.registry import ObjectRegistry


def ejections(harness, slices):
    """Returns the ejection orders of the next push."""
    harness.evaluate_health()
    harness.estimate_demand(slices)
    return [o for o in harness.emit() if isinstance(o, core.SetEjection)]


@pytest.mark.parametrize(
    "state, unhealthy_ms", [(core.ServerState.DRAINING, None), (core.ServerState.READY, 5000.0)]
)
def test_one_order_ejects_a_server_whose_slices_all_have_another_endpoint(state, unhealthy_ms):
    # Updating the tables of all its slices at all proxies takes longer than a drain's grace period.
    harness = ControllerHarness()
    leaving, standby = harness.add_servers(2)
    slices = harness.add_slices([leaving] * 3)
    harness.connect_proxies(2)
    for slice_ in slices:
        table = {leaving: 1.0, standby: STANDBY_WEIGHT}
        harness.set_published(slice_, table)
        harness.set_desired(slice_, table)
    harness.set_listed_state(state, leaving)
    harness.set_unhealthy_for(leaving, unhealthy_ms)
    assert ejections(harness, slices) == [core.SetEjection(leaving, True)]


def test_no_server_is_ejected_if_a_slice_has_no_other_endpoint_or_one_that_warms_up():
    harness = ControllerHarness()
    draining, warming_up = harness.add_servers(2)
    slices = harness.add_slices([draining] * 2)
    harness.connect_proxies(2)
    harness.set_started(warming_up, harness.now_ms - 1000.0)
    for slice_ in slices[1:]:
        table = {draining: 1.0, warming_up: STANDBY_WEIGHT}
        harness.set_published(slice_, table)
        harness.set_desired(slice_, table)
    harness.set_listed_state(core.ServerState.DRAINING, draining)
    assert ejections(harness, slices) == []


@pytest.mark.parametrize("warming_up, returned", [(False, 6), (True, 2)])
def test_a_recovered_server_is_unejected_with_the_slices_that_it_can_carry(warming_up, returned):
    # Publishing its entries again would leave it idle for several pushes.
    harness = ControllerHarness()
    recovered, standby, *others = harness.add_servers(4)
    slices = harness.add_slices([recovered] * 6 + [standby, *others] * 6)
    harness.connect_proxies(2)
    for slice_ in slices[:6]:
        harness.set_published(slice_, {recovered: 1.0, standby: STANDBY_WEIGHT})
        harness.set_desired(slice_, {standby: STANDBY_WEIGHT})
    harness.set_ejected(recovered)
    harness.set_started(recovered, harness.now_ms - 4000.0 if warming_up else None)
    harness.evaluate_health()
    harness.plan()
    assert harness.slices_with_primary(recovered, slices) == returned
    assert (core.SetEjection(recovered, False) in harness.ejection_orders()) != warming_up


def test_the_end_of_an_ejection_is_sent_again_after_a_proxy_connects():
    harness = ControllerHarness()
    ejected_before, other = harness.add_servers(2)
    slices = harness.add_slices([ejected_before, other])
    harness.set_ejected_before(ejected_before)
    harness.connect_proxies(1)
    harness.mark_ejections_unconfirmed()
    assert ejections(harness, slices) == [core.SetEjection(ejected_before, False)]


def test_standby_endpoints_in_the_first_snapshot_may_hide_ejections_of_an_earlier_controller():
    harness = ControllerHarness()
    primary, standby = harness.add_servers(2)
    (slice_,) = harness.add_slices([primary])
    harness.restore_entry(slice_, standby, STANDBY_WEIGHT)
    harness.connect_proxies(1)
    assert {o.server for o in ejections(harness, [slice_])} == {primary, standby}


@pytest.mark.parametrize(
    "state, since_ms, max_empty_table_ms, ejected",
    [
        pytest.param(core.ServerState.DRAINING, MAX_REPLACEMENT_WAIT_MS, 5000.0, True, id="late"),
        pytest.param(core.ServerState.GONE, MAX_REPLACEMENT_WAIT_MS, 5000.0, True, id="late, gone"),
        pytest.param(
            core.ServerState.DRAINING, MAX_REPLACEMENT_WAIT_MS - 1, 5000.0, False, id="early"
        ),
        pytest.param(
            core.ServerState.DRAINING,
            MAX_REPLACEMENT_WAIT_MS,
            1000.0,
            False,
            id="no table may be empty",
        ),
        pytest.param(
            core.ServerState.READY, MAX_REPLACEMENT_WAIT_MS, 5000.0, False, id="unhealthy"
        ),
    ],
)
def test_an_ejection_late_in_the_grace_period_does_not_wait_for_other_endpoints(
    state, since_ms, max_empty_table_ms, ejected
):
    # When many servers drain together, adding other endpoints for their slices takes several
    # pushes. Waiting for all of them delayed the last ejection 0.01 s beyond the grace period.
    harness = ControllerHarness(max_empty_table_ms=max_empty_table_ms)
    leaving, other = harness.add_servers(2)
    slices = harness.add_slices([leaving, other])
    harness.connect_proxies(1)
    harness.list_servers([leaving], state=state)
    harness.set_unhealthy_for(leaving, 20_000.0 if state == core.ServerState.READY else None)
    harness.advance(since_ms)
    harness.list_servers([leaving], state=state)
    assert (ejections(harness, slices) == [core.SetEjection(leaving, True)]) == ejected


# Ejections of an earlier process of the controller


def restarted_harness():
    """A controller after a start, the server whose slices it has read back, and another one."""
    harness = ControllerHarness()
    primary, standby, other = harness.add_servers(3)
    (slice_,) = harness.add_slices([primary])
    harness.restore_entry(slice_, standby, STANDBY_WEIGHT)
    return harness, slice_, other


def give_to(harness, slice_, server):
    harness.set_published(slice_, {server: 1.0})
    harness.set_desired(slice_, {server: 1.0})


# Guards against slices without an endpoint: servers that an earlier process had ejected, and that
# were in no table at the restart, got slices later and were never unejected (review case 3).
@pytest.mark.parametrize("returns", [False, True])
def test_a_server_in_no_table_at_a_start_is_unejected_with_its_first_slice(returns):
    harness, slice_, server = restarted_harness()
    harness.connect_proxies(1)
    ejections(harness, [slice_])
    if returns:
        server = harness.add_server("returned")
        harness.list_servers([server])
    harness.advance(1000.0)
    harness.set_desired(slice_, {server: 1.0})
    harness.evaluate_health()
    harness.estimate_demand([slice_])
    orders = harness.emit()
    unejected = core.SetEjection(server, False)
    weights = [o for o in orders if isinstance(o, core.SetEndpointWeight) and o.server is server]
    assert unejected in orders and weights
    harness.advance(1000.0)
    assert unejected not in ejections(harness, [slice_])


def test_a_proxy_that_connects_after_the_end_of_an_ejection_gets_it_again():
    harness, slice_, server = restarted_harness()
    proxies = harness.connect_proxies(2)
    harness.mark_ejections_unconfirmed()
    give_to(harness, slice_, server)
    unejected = core.SetEjection(server, False)
    assert unejected in ejections(harness, [slice_])
    harness.acknowledge(*proxies)
    for reconnecting, repeated in ((proxies[0], False), (harness.add_proxy(7), True)):
        harness.advance(1000.0)
        harness.connect(reconnecting)
        harness.mark_ejections_unconfirmed()
        assert (unejected in ejections(harness, [slice_])) == repeated


def test_a_proxy_that_was_away_as_an_ejection_ended_gets_its_end_again():
    harness, slice_, server = restarted_harness()
    away, *others = harness.connect_proxies(2)
    ejections(harness, [slice_])
    harness.acknowledge(away, *others)
    harness.disconnect(away)
    harness.advance(1000.0)
    give_to(harness, slice_, server)
    unejected = core.SetEjection(server, False)
    assert unejected in ejections(harness, [slice_])
    harness.advance(1000.0)
    harness.connect(away)
    harness.mark_ejections_unconfirmed()
    assert unejected in ejections(harness, [slice_])


def test_slices_assigned_after_the_first_push_may_hide_ejections_of_an_earlier_process_too():
    # A restarted controller sends its retry policies before it gets its slices back.
    harness = ControllerHarness()
    primary, standby = harness.add_servers(2)
    harness.connect_proxies(1)
    assert harness.emit()
    (slice_,) = harness.add_slices([primary])
    harness.restore_entry(slice_, standby, STANDBY_WEIGHT)
    harness.advance(1000.0)
    assert {o.server for o in ejections(harness, [slice_])} == {primary, standby}


@pytest.mark.parametrize("first", [True, False])
def test_a_proxy_with_an_earlier_stream_may_apply_ejections_of_an_earlier_process(first):
    harness = ControllerHarness()
    (server,) = harness.add_servers(1)
    (slice_,) = harness.add_slices([server])
    harness.connect(harness.add_proxy(0), first=first)
    assert ejections(harness, [slice_]) == ([] if first else [core.SetEjection(server, False)])


def test_a_departed_server_whose_ejection_has_ended_is_unejected_when_it_returns():
    # A proxy that was away may have missed the end of the ejection.
    registry = ObjectRegistry(default_settings(), seed=1)
    server = registry.server("s1")
    server.ever_ejected = True
    assert registry.remove_unreferenced_servers(10) == [server]
    assert registry.server("s1").ejection_unconfirmed
