"""Complete assigners that start from a persisted state while discovery is down, late or garbled."""

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

NAMES = [f"s{k}" for k in range(1, 7)]
DAY = 86_400_000.0
COLDNESS = {"obligations": {"cold": 16e9, "coldFrom": 0.2, "overloadFactor": 3.0}}


class RestartedLife(AssignerHost):
    def __init__(self):
        super().__init__(
            raw_config(settings=SETTINGS | COLDNESS),
            {n: listed_server(n, endpoint=f"127.0.0.9:{1000 + k}") for k, n in enumerate(NAMES)},
        )

    def grades(self):
        return {s.id: s.health for s in self.simulation.assigner.registry.controller.servers}


def lived(discovery=True, **entries):
    life = RestartedLife()
    w = life.start()
    w.run_for(5000)
    for uid, state in entries.items():
        w.discovery.change(**{uid: {"state": state}})
        w.run_for(3000)
    return life


@pytest.mark.parametrize(
    "later, same_boot, expected",
    [
        (2000.0, True, HEALTHY),
        (3_600_000.0, False, WARMING_UP),
        (7 * DAY, False, WARMING_UP),
        (-DAY, False, WARMING_UP),
        (365 * DAY, False, WARMING_UP),
    ],
)
def test_with_discovery_down_the_persisted_list_is_used_and_trusted_by_its_age(
    later, same_boot, expected
):
    life = lived()
    life.crash(later, same_boot)
    w = life.start(discovery=False)
    w.run_for(200)
    assert set(life.grades().values()) == {expected}
    w.run_for(8000)
    held = [p for p in w.assigner.registry.controller.slices if p.assigned]
    assert len(held) == 8 and all(p.published for p in held)
    assert not w.disagreements()
    # A server that dies then loses its slices by its health checks alone.
    w.run_for(10_000)
    assert all(len(table) >= 1 for table in w.relay.store.values())


def test_without_a_persisted_state_no_server_is_known():
    life = RestartedLife()
    w = life.start(discovery=False)
    w.run_for(8000)
    assert not w.assigner.registry.controller.servers or all(
        not s.state for s in w.assigner.registry.controller.servers
    )


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_traffic_does_not_return_to_a_server_that_drained_before_the_cut(state):
    life = lived(s2=state)
    assert not any("s2" in table for table in life.store.values())
    life.crash(60_000.0)
    life.store[1] = {"s2": 1.0}  # the store's lines of another controller still name it
    w = life.start(discovery=False)
    w.run_for(6000)
    assert life.grades().get("s2", UNAVAILABLE) == UNAVAILABLE  # let go of, once nothing names it
    out = {s.id for s in w.assigner.registry.controller.servers if s.ejected}
    assert "s2" not in w.relay.store[1] or "s2" in out


def test_discovery_that_comes_back_with_an_older_list_does_not_undo_a_drain():
    life = lived(s2="terminating")
    version = life.simulation.discovery.version
    life.crash(60_000.0)
    w = life.start(discovery=False)
    w.run_for(3000)
    w.discovery.entries["s2"] = listed_server("s2")
    w.discovery.version = version - 1
    w.discovery.down = False
    w.run_for(5000)
    assert (
        life.grades()["s2"] == UNAVAILABLE and life.durable.tracker.counts["tombstones_upheld"] > 0
    )
    w.discovery.version = version
    w.discovery.change(s2={"state": "in_service"})
    w.run_for(3000)
    assert life.grades()["s2"] == HEALTHY


def test_a_server_that_came_back_with_a_later_start_warms_up_and_is_not_drained():
    life = lived(s2="terminating")
    life.crash(60_000.0)
    w = life.start(discovery=False)
    w.run_for(1000)
    w.discovery.change(s2={"state": "in_service", "boot_ms": round(life.wall)})
    w.discovery.version += 5
    w.discovery.down = False
    w.run_for(2000)
    assert life.grades()["s2"] == WARMING_UP


def test_a_server_that_discovery_confirms_is_warm_at_once():
    life = lived()
    life.crash(7 * DAY)
    w = life.start(discovery=False)
    w.run_for(1000)
    assert set(life.grades().values()) == {WARMING_UP}
    w.discovery.down = False
    w.run_for(3000)
    assert set(life.grades().values()) == {HEALTHY}


@pytest.mark.parametrize("later", [2000.0, 7 * DAY])
def test_dead_servers_of_the_persisted_list_lose_their_slices(later):
    life = lived()
    life.crash(later)
    w = life.start(discovery=False)
    w.refused_ports = {1000, 1001, 1002}
    w.run_for(9000)
    for number, table in w.relay.store.items():
        open_to = set(table) - w.relay.ejected[0]
        assert open_to and not open_to & {"s1", "s2", "s3"}, number


def test_only_successful_requests_tell_a_server_from_another_machine_at_its_address():
    # Whoever has the address now passes the health checks: they raise trust to a quarter at most.
    life = lived()
    life.crash(7 * DAY)
    w = life.start(discovery=False)
    w.run_for(3000)
    unconfirmed = life.durable.tracker.reconciler.unconfirmed_trust
    assert all(unconfirmed[n] <= 0.25 for n in NAMES) and set(life.grades().values()) == {
        WARMING_UP
    }
    collector = w.connect_collector("a")
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
        w.run_for(1000)
    assert unconfirmed["s4"] > 0.5 and unconfirmed["s5"] <= 0.25
    c = w.assigner.registry.controller
    assert all(
        p.primary().id != "s5" for p in c.slices if p.assigned
    )  # failing beside a fleet that answers: left


def test_starts_in_quick_succession_warm_no_server_early_and_push_no_more():
    life, grades, pushes = lived(), [], []
    life.crash(7 * DAY)
    for _ in range(24):
        w = life.start(discovery=False)
        w.run_for(900)
        grades.append(min(life.grades().values()))
        pushes.append(sum(event == "push" for event, _ in w.event_loop.logged))
        life.crash(100.0)
    assert (
        grades[0] == WARMING_UP and grades[8] == WARMING_UP and grades[-1] == HEALTHY
    )  # 16 s of warmth, over all starts together
    assert max(pushes[1:]) <= pushes[0] + 1


@pytest.mark.parametrize(
    "fault, said",
    [
        (dict(read_only=True), "Read-only"),
        (dict(free_bytes=0), "No space"),
        (dict(sync_fails=True), "Input/output"),
    ],
)
def test_a_disk_at_fault_keeps_nobody_from_starting(fault, said):
    life = lived(s2="terminating")
    life.crash(60_000.0)
    disk = SimulatedDisk(life.storage, **fault)
    w = life.start(disk=disk, discovery=False)
    w.run_for(6000)
    assert life.grades()["s2"] == UNAVAILABLE and len(life.grades()) >= 6
    assert any(
        said in str(more)
        for event, more in w.event_loop.logged
        if event in ("state_directory", "state_not_persisted")
    )


def test_a_directory_that_another_process_has_is_only_read():
    life = lived()
    life.storage.crash("all")
    life.storage.locked = True
    events = []
    made = DurableState(
        StateOptions("/"),
        lambda event, **more: events.append((event, more)),
        SimulatedDisk(life.storage),
        lambda: Timestamp(1.7e12, "b", 1.0),
        InlineWriter,
    )
    assert not made.writable and made.loaded.state.servers and events[0][0] == "state_not_persisted"


def test_a_recovery_goes_on_over_a_reload():
    life = lived()
    life.crash(3_600_000.0)
    w = life.start(discovery=False)
    w.run_for(100)
    w.assigner.reload(
        config.read_config(
            raw_config(
                settings=SETTINGS | COLDNESS,
                discovery="127.0.0.2:8500",
                distributor={"address": "127.0.0.2:6400"},
            ),
            {},
        )
    )
    w.run_for(4000)
    w.discovery.down = False
    w.run_for(6000)
    assert set(life.grades().values()) == {HEALTHY} and not w.disagreements()


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
def test_discovery_that_answers_garbage_counts_as_down(garbage):
    life = lived(s2="terminating")
    life.crash(3_600_000.0)
    w = life.start(discovery=False)
    w.discovery.down, w.discovery.garbage_reply = False, garbage
    w.run_for(8000)
    assert (
        life.grades()["s2"] == UNAVAILABLE
        and sum(g >= WARMING_UP for g in life.grades().values()) == 5
    )
    w.discovery.garbage_reply = b""
    w.run_for(6000)
    assert {g for n, g in life.grades().items() if n != "s2"} == {HEALTHY} and not w.disagreements()


def test_a_start_survives_a_torn_last_record_and_a_restart_of_the_relay():
    life = lived(s2="terminating")
    log = max(n for n in life.storage.durable if n.startswith("log"))
    life.storage.durable[log] = life.storage.durable[log][:-5]
    life.storage.live[log] = bytearray(life.storage.durable[log])
    life.crash(1000.0)
    w = life.start(discovery=False)
    w.run_for(300)
    for peer in w.relay.peers:
        peer.close()
    w.run_for(9000)
    assert (
        not w.disagreements() and len([g for g in life.grades().values() if g >= WARMING_UP]) >= 5
    )
    assert any(
        "torn" in str(more) for event, more in w.event_loop.logged if event == "state_directory"
    )


def test_figures_out_of_bounds_cost_neither_the_reconciliation_nor_the_list():
    life = lived()
    w = life.simulation
    w.discovery.version = 2**62
    w.discovery.change(s3={"state": "terminating", "boot_ms": 1e300, "pod_group": 10**18})
    w.run_for(3000)
    assert (
        life.grades()["s3"] == UNAVAILABLE
        and not w.disagreements()
        and not w.event_loop.counters.get("failures")
    )
    assert not any(event == "state_not_persisted" for event, _ in w.event_loop.logged)
    life.crash(1000.0)
    life.start(discovery=False).run_for(1000)
    assert life.grades()["s3"] == UNAVAILABLE


def test_after_a_week_all_tables_stand_and_no_server_that_warms_up_is_overloaded():
    from benchmarks.recovery import start

    told = start(7 * DAY)
    assert told["longest_without_a_line_ms"] < 3000 and not told["drained_server_has_traffic"]
    assert max(told["most_of_what_fells_a_cold_server"].values()) < 1.0


def test_a_change_that_cannot_be_stored_does_not_keep_the_process_from_its_end():
    # The counters were not printed, and changes of before were not waited for.
    life = lived()
    tracker = life.durable.tracker
    slice_ = next(s for s in life.simulation.assigner.registry.controller.slices if s.assigned)
    slice_.published = {life.simulation.assigner.registry.server("s1"): 10 * MAX_WEIGHT}
    tracker.record([core.SliceAssignment(slice_, True)], [])
    life.durable.close()
    assert life.simulation.event_loop.logged[-1][0] == "state_not_persisted"
    assert not life.storage.locked
