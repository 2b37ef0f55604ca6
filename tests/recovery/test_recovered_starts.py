"""Starts from a persisted state while discovery is unavailable, late or sends invalid replies."""

import pytest
from helpers import SETTINGS, listed_server, raw_config

from havendyke import config
from havendyke import interface as core
from havendyke.lab.disk import InlineWriter, SimulatedDisk
from havendyke.lab.event_loop import feed
from havendyke.lab.host import AssignerHost
from havendyke.net.resp import encode
from havendyke.recovery.codec import MAX_WEIGHT
from havendyke.recovery.durable_state import DurableState, StateOptions
from havendyke.recovery.timestamps import Timestamp
from havendyke.state import HEALTHY, UNAVAILABLE, WARMING_UP

SERVER_IDS = [f"s{index}" for index in range(1, 7)]
DAY_MS = 86_400_000.0
WARM_UP_SETTINGS = {"obligations": {"cold": 16e9, "coldFrom": 0.2, "overloadFactor": 3.0}}


class RestartedHost(AssignerHost):
    def __init__(self):
        super().__init__(
            raw_config(settings=SETTINGS | WARM_UP_SETTINGS),
            {
                server_id: listed_server(server_id, endpoint=f"127.0.0.9:{1000 + index}")
                for index, server_id in enumerate(SERVER_IDS)
            },
        )

    def health_states(self):
        return {
            server.id: server.health
            for server in self.simulation.assigner.registry.controller.servers
        }


def host_after_run(discovery=True, **entries):
    host = RestartedHost()
    simulation = host.start()
    simulation.run_for(5000)
    for uid, state in entries.items():
        simulation.discovery.change(**{uid: {"state": state}})
        simulation.run_for(3000)
    return host


@pytest.mark.parametrize(
    "downtime_ms, same_boot, expected",
    [
        (2000.0, True, HEALTHY),
        (3_600_000.0, False, WARMING_UP),
        (7 * DAY_MS, False, WARMING_UP),
        (-DAY_MS, False, WARMING_UP),
        (365 * DAY_MS, False, WARMING_UP),
    ],
)
def test_with_discovery_unavailable_the_persisted_list_is_trusted_by_its_age(
    downtime_ms, same_boot, expected
):
    host = host_after_run()
    host.crash(downtime_ms, same_boot)
    simulation = host.start(discovery=False)
    simulation.run_for(200)
    assert set(host.health_states().values()) == {expected}
    simulation.run_for(8000)
    assigned = [
        slice_ for slice_ in simulation.assigner.registry.controller.slices if slice_.assigned
    ]
    assert len(assigned) == 8 and all(slice_.published for slice_ in assigned)
    assert not simulation.disagreements()
    # Failing health checks alone are enough to take slices from a server that fails later.
    simulation.run_for(10_000)
    assert all(len(table) >= 1 for table in simulation.relay.store.values())


def test_without_a_persisted_state_no_server_is_known():
    host = RestartedHost()
    simulation = host.start(discovery=False)
    simulation.run_for(8000)
    assert not simulation.assigner.registry.controller.servers or all(
        not server.state for server in simulation.assigner.registry.controller.servers
    )


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_traffic_does_not_return_to_a_server_that_drained_before_the_crash(state):
    host = host_after_run(s2=state)
    assert not any("s2" in table for table in host.store.values())
    host.crash(60_000.0)
    host.store[1] = {"s2": 1.0}  # another controller's table entry still contains it
    simulation = host.start(discovery=False)
    simulation.run_for(6000)
    assert (
        host.health_states().get("s2", UNAVAILABLE) == UNAVAILABLE
    )  # forgotten once nothing refers to it
    ejected = {
        server.id for server in simulation.assigner.registry.controller.servers if server.ejected
    }
    assert "s2" not in simulation.relay.store[1] or "s2" in ejected


def test_an_older_list_from_a_recovered_discovery_does_not_undo_a_drain():
    host = host_after_run(s2="terminating")
    version = host.simulation.discovery.version
    host.crash(60_000.0)
    simulation = host.start(discovery=False)
    simulation.run_for(3000)
    simulation.discovery.entries["s2"] = listed_server("s2")
    simulation.discovery.version = version - 1
    simulation.discovery.down = False
    simulation.run_for(5000)
    assert (
        host.health_states()["s2"] == UNAVAILABLE
        and host.durable.tracker.counts["tombstones_upheld"] > 0
    )
    simulation.discovery.version = version
    simulation.discovery.change(s2={"state": "in_service"})
    simulation.run_for(3000)
    assert host.health_states()["s2"] == HEALTHY


def test_a_drained_server_with_a_later_start_warms_up():
    host = host_after_run(s2="terminating")
    host.crash(60_000.0)
    simulation = host.start(discovery=False)
    simulation.run_for(1000)
    simulation.discovery.change(s2={"state": "in_service", "boot_ms": round(host.wall)})
    simulation.discovery.version += 5
    simulation.discovery.down = False
    simulation.run_for(2000)
    assert host.health_states()["s2"] == WARMING_UP


def test_servers_that_discovery_confirms_are_healthy_immediately():
    host = host_after_run()
    host.crash(7 * DAY_MS)
    simulation = host.start(discovery=False)
    simulation.run_for(1000)
    assert set(host.health_states().values()) == {WARMING_UP}
    simulation.discovery.down = False
    simulation.run_for(3000)
    assert set(host.health_states().values()) == {HEALTHY}


@pytest.mark.parametrize("downtime_ms", [2000.0, 7 * DAY_MS])
def test_dead_servers_of_the_persisted_list_lose_their_slices(downtime_ms):
    host = host_after_run()
    host.crash(downtime_ms)
    simulation = host.start(discovery=False)
    simulation.refused_ports = {1000, 1001, 1002}
    simulation.run_for(9000)
    for number, table in simulation.relay.store.items():
        open_to = set(table) - simulation.relay.ejected[0]
        assert open_to and not open_to & {"s1", "s2", "s3"}, number


def test_only_successful_requests_distinguish_a_server_from_another_at_its_address():
    # Another machine at the address may pass health checks, so they raise trust to 0.25 at most.
    host = host_after_run()
    host.crash(7 * DAY_MS)
    simulation = host.start(discovery=False)
    simulation.run_for(3000)
    unconfirmed = host.durable.tracker.reconciler.unconfirmed_trust
    assert all(unconfirmed[server_id] <= 0.25 for server_id in SERVER_IDS) and set(
        host.health_states().values()
    ) == {WARMING_UP}
    collector = simulation.connect_collector("a")
    for _ in range(3):
        feed(
            collector,
            encode(
                "LOAD",
                "az",
                "a",
                "host",
                "s4",
                "n",
                "40",
                "bad",
                "0",
                "avg",
                "40.0",
                "window",
                "1000.0",
            ),
        )
        feed(
            collector,
            encode("LOAD", "az", "a", "host", "s5", "n", "40", "bad", "40", "window", "1000.0"),
        )
        simulation.run_for(1000)
    assert unconfirmed["s4"] > 0.5 and unconfirmed["s5"] <= 0.25
    controller = simulation.assigner.registry.controller
    assert all(
        slice_.primary().id != "s5" for slice_ in controller.slices if slice_.assigned
    )  # s5 fails while the rest of the fleet succeeds


def test_restarts_in_quick_succession_neither_shorten_the_warm_up_nor_add_pushes():
    host, lowest_states, pushes = host_after_run(), [], []
    host.crash(7 * DAY_MS)
    for _ in range(24):
        simulation = host.start(discovery=False)
        simulation.run_for(900)
        lowest_states.append(min(host.health_states().values()))
        pushes.append(sum(event == "push" for event, _ in simulation.event_loop.logged))
        host.crash(100.0)
    assert (
        lowest_states[0] == WARMING_UP
        and lowest_states[8] == WARMING_UP
        and lowest_states[-1] == HEALTHY
    )  # a warm-up of 16 s, counted over all starts
    assert max(pushes[1:]) <= pushes[0] + 1


@pytest.mark.parametrize(
    "fault, cause",
    [
        (dict(read_only=True), "Read-only"),
        (dict(free_bytes=0), "No space"),
        (dict(sync_fails=True), "Input/output"),
    ],
)
def test_a_failing_disk_does_not_prevent_the_start(fault, cause):
    host = host_after_run(s2="terminating")
    host.crash(60_000.0)
    disk = SimulatedDisk(host.storage, **fault)
    simulation = host.start(disk=disk, discovery=False)
    simulation.run_for(6000)
    assert host.health_states()["s2"] == UNAVAILABLE and len(host.health_states()) >= 6
    assert any(
        cause in str(fields)
        for event, fields in simulation.event_loop.logged
        if event in ("state_directory", "state_not_persisted")
    )


def test_a_directory_locked_by_another_process_is_only_read():
    host = host_after_run()
    host.storage.crash("all")
    host.storage.locked = True
    events = []
    state = DurableState(
        StateOptions("/"),
        lambda event, **fields: events.append((event, fields)),
        SimulatedDisk(host.storage),
        lambda: Timestamp(1.7e12, "b", 1.0),
        InlineWriter,
    )
    assert (
        not state.writable and state.loaded.state.servers and events[0][0] == "state_not_persisted"
    )


def test_a_recovery_continues_over_a_reload():
    host = host_after_run()
    host.crash(3_600_000.0)
    simulation = host.start(discovery=False)
    simulation.run_for(100)
    simulation.assigner.reload(
        config.read_config(
            raw_config(
                settings=SETTINGS | WARM_UP_SETTINGS,
                discovery="127.0.0.2:8500",
                distributor={"address": "127.0.0.2:6400"},
            ),
            {},
        )
    )
    simulation.run_for(4000)
    simulation.discovery.down = False
    simulation.run_for(6000)
    assert set(host.health_states().values()) == {HEALTHY} and not simulation.disagreements()


@pytest.mark.parametrize(
    "garbage",
    [
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{",
        b'HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n{"rev":9,"all":true,"targets":5}',
    ],
)
def test_discovery_with_invalid_replies_is_treated_as_unavailable(garbage):
    host = host_after_run(s2="terminating")
    host.crash(3_600_000.0)
    simulation = host.start(discovery=False)
    simulation.discovery.down, simulation.discovery.garbage_reply = False, garbage
    simulation.run_for(8000)
    assert (
        host.health_states()["s2"] == UNAVAILABLE
        and sum(health >= WARMING_UP for health in host.health_states().values()) == 5
    )
    simulation.discovery.garbage_reply = b""
    simulation.run_for(6000)
    assert {health for server_id, health in host.health_states().items() if server_id != "s2"} == {
        HEALTHY
    } and not simulation.disagreements()


def test_a_recovery_succeeds_despite_a_truncated_record_and_a_relay_restart():
    host = host_after_run(s2="terminating")
    log = max(name for name in host.storage.durable if name.startswith("log"))
    host.storage.durable[log] = host.storage.durable[log][:-5]
    host.storage.live[log] = bytearray(host.storage.durable[log])
    host.crash(1000.0)
    simulation = host.start(discovery=False)
    simulation.run_for(300)
    for peer in simulation.relay.peers:
        peer.close()
    simulation.run_for(9000)
    assert (
        not simulation.disagreements()
        and len([health for health in host.health_states().values() if health >= WARMING_UP]) >= 5
    )
    assert any(
        "torn" in str(fields)
        for event, fields in simulation.event_loop.logged
        if event == "state_directory"
    )


def test_listed_numbers_out_of_bounds_are_limited_and_the_list_is_persisted():
    host = host_after_run()
    simulation = host.simulation
    simulation.discovery.version = 2**62
    simulation.discovery.change(s3={"state": "terminating", "boot_ms": 1e300, "pod_group": 10**18})
    simulation.run_for(3000)
    assert (
        host.health_states()["s3"] == UNAVAILABLE
        and not simulation.disagreements()
        and not simulation.event_loop.counters.get("failures")
    )
    assert not any(event == "state_not_persisted" for event, _ in simulation.event_loop.logged)
    host.crash(1000.0)
    host.start(discovery=False).run_for(1000)
    assert host.health_states()["s3"] == UNAVAILABLE


def test_after_a_week_all_tables_are_published_and_no_server_warming_up_is_overloaded():
    from benchmarks.recovery import measure_start

    result = measure_start(7 * DAY_MS)
    assert result["longest_without_a_line_ms"] < 3000 and not result["drained_server_has_traffic"]
    assert max(result["most_of_what_fells_a_cold_server"].values()) < 1.0


def test_a_change_that_cannot_be_stored_does_not_prevent_the_shutdown():
    # The exception skipped printing the counters and waiting for pending commits.
    host = host_after_run()
    tracker = host.durable.tracker
    slice_ = next(
        slice_ for slice_ in host.simulation.assigner.registry.controller.slices if slice_.assigned
    )
    slice_.published = {host.simulation.assigner.registry.server("s1"): 10 * MAX_WEIGHT}
    tracker.record([core.SliceAssignment(slice_, True)], [])
    host.durable.close()
    assert host.simulation.event_loop.logged[-1][0] == "state_not_persisted"
    assert not host.storage.locked
