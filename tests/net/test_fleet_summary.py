"""What the log says of the fleet as the controller sees it."""

from controller_harness import ControllerHarness

from havendyke.lab.event_loop import SimulatedEventLoop
from havendyke.net.fleet_summary import FleetSummary


def test_the_log_counts_slices_by_their_primarys_health_and_migrations_by_their_sources():
    scene, fields, hub = ControllerHarness(), {}, SimulatedEventLoop()
    hub.log = lambda event, **values: fields.update(values)
    summary = FleetSummary(hub, scene.controller)
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
