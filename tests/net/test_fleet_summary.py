"""The logged summary of the fleet's state."""

from controller_harness import ControllerHarness

from havendyke.lab.event_loop import SimulatedEventLoop
from havendyke.net.fleet_summary import FleetSummary


def test_the_summary_counts_slices_by_primary_health_and_migrations_by_source_health():
    scene, fields, event_loop = ControllerHarness(), {}, SimulatedEventLoop()
    event_loop.log = lambda event, **values: fields.update(values)
    summary = FleetSummary(event_loop, scene.controller)
    (healthy,) = scene.add_servers(1)
    (warming_up,) = scene.add_servers(1, started_ms=scene.now_ms - 2000.0)
    _, migrating = scene.add_slices([healthy, warming_up])
    scene.evaluate_health()
    summary.log_summary()
    assert (
        fields["warming_up"] == [1, 1]
        and fields["slices"] == {"warming_up": 1, "healthy": 1}
        and not fields["migrated"]
    )
    scene.set_desired(migrating, {healthy: 1.0})
    summary.log_summary()
    assert (
        fields["warming_up"] == [1, 0]
        and fields["migrated"] == {"warming_up": 1}
        and fields["unpublished"] == 1
    )


def test_a_server_that_warms_up_is_logged_when_its_slices_change():
    # An incident's log told neither which slices a cold server had nor what it was allowed.
    scene, lines, event_loop = ControllerHarness(), [], SimulatedEventLoop()
    event_loop.log = lambda event, **values: lines.append((event, values))
    summary = FleetSummary(event_loop, scene.controller)
    (healthy,) = scene.add_servers(1)
    (warming_up,) = scene.add_servers(1, started_ms=scene.now_ms - 2000.0)
    kept, migrating = scene.add_slices([healthy, warming_up])
    scene.evaluate_health()
    scene.estimate_demand(scene.assigned_slices)
    for table in ({warming_up: 1.0}, {warming_up: 1.0}, {healthy: 1.0}):
        scene.set_desired(migrating, table)
        scene.estimate_demand(scene.assigned_slices)
        summary.log_summary()
    logged = [values for event, values in lines if event == "server_warming_up"]
    assert [values["slices"] for values in logged] == [[migrating.id], []]
    assert logged[0]["server"] == warming_up.id and logged[0]["load"] == 1.0


def test_the_log_says_where_the_start_of_a_server_that_warms_up_is_known_from():
    # Servers that only their zone's loss made warm up looked like restarted ones.
    scene, logged, event_loop = ControllerHarness(), {}, SimulatedEventLoop()
    event_loop.log = lambda event, **values: logged.update({values.get("server"): values})
    summary = FleetSummary(event_loop, scene.controller)
    listed, assumed, lost = scene.add_servers(3)
    started_ms = scene.now_ms - 2000.0
    scene.list_servers([listed], started_ms=started_ms)
    scene.list_servers([assumed], started_ms=started_ms, start_confirmed=False)
    scene.presume_lost(lost)
    scene.add_slices([listed, assumed, lost])
    scene.evaluate_health()
    scene.estimate_demand(scene.assigned_slices)
    summary.log_summary()
    assert [logged[server.id]["start"] for server in (listed, assumed, lost)] == [
        "listed",
        "assumed",
        "presumed",
    ]
