"""Tests of when a single order ejects a server from all tables, and of when the ejection ends."""

import pytest
from controller_harness import STANDBY_WEIGHT, ControllerHarness

from havendyke import interface as core
from havendyke.policy.ejection import MAX_REPLACEMENT_WAIT_MS


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
