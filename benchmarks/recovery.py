"""Starts with discovery down, with and without a state folder; the cost of persisting state; the
state log compared with SQLite and LMDB.

Starts run in simulated time and are the same in every run. The other figures are ratios, given as
min/median/max over repeats."""

import shutil
import sqlite3
import tempfile
from pathlib import Path
from statistics import median
from time import perf_counter

from havendyke import interface as core
from havendyke.lab.host import AssignerHost
from havendyke.recovery import changes, codec, records
from havendyke.recovery.directory import StateDirectory
from havendyke.recovery.disk import Disk
from havendyke.recovery.state import EvidenceSource, PersistedState, ServerRecord, SliceTable
from havendyke.recovery.timestamps import Timestamp
from havendyke.recovery.tracker import StateTracker
from havendyke.registry import ObjectRegistry

WARM_UP_MS, INITIAL_CAPACITY_SHARE, OVERLOAD_FACTOR, LOAD_LEVELS = 16_000.0, 0.2, 3.0, (0.35, 0.5)
STATE_AGES_MS = {
    "fresh": 2000.0,
    "10_min": 600_000.0,
    "day": 86_400_000.0,
    "week": 7 * 86_400_000.0,
}


def raw_config(servers: int) -> dict:
    settings = {
        "requestClasses": [{"name": "read", "promise": 1e9, "hardLimit": 3e9, "repeat": "pure"}],
        "familyInfo": {
            "keyRanges": 5 * servers,
            "dataPlaneSize": 6,
            "channelRate": 4000.0,
            "pendingMax": 6000.0,
            "overhead": 8.0,
            "pushDelay": 2e8,
            "throttleBy": "share",
        },
        "obligations": {
            "cold": WARM_UP_MS * 1e6,
            "coldFrom": INITIAL_CAPACITY_SHARE,
            "overloadFactor": OVERLOAD_FACTOR,
        },
        "localities": ["a"],
        "kinds": ["m"],
        "weightKind": "nominal",
        "limits": {"probes": True},
    }
    return {
        "name": "n1",
        "listen": "127.0.0.1:8443",
        "discovery": "127.0.0.1:8500",
        "seed": "1",
        "distributor": {"address": "127.0.0.1:6400"},
        "settings": settings,
    }


def raw_list_entry(uid: str) -> dict:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.9:{1000 + int(uid[1:])}",
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def measure_start(state_age_ms: float | None, servers: int = 10) -> dict:
    """Simulates one start with discovery down for the whole run.

    One server has failed and another one was drained before the crash. All other servers have
    restarted too, and warm up."""
    assigner_host = AssignerHost(
        raw_config(servers), {f"s{k}": raw_list_entry(f"s{k}") for k in range(servers)}
    )
    simulation = assigner_host.start()
    simulation.run_for(3000)
    simulation.discovery.change(s1={"state": "terminating"})
    simulation.run_for(3000)
    assigner_host.crash(state_age_ms or 60_000.0)
    simulation = assigner_host.start(discovery=False, persist=state_age_ms is not None)
    simulation.refused_ports = {1002}  # s2 does not restart
    failed_server, started_ms, first_push_ms, empty_table_ms, longest_empty_ms, peak_overload = (
        "s2",
        simulation.event_loop.time,
        None,
        {},
        0.0,
        dict.fromkeys(LOAD_LEVELS, 0.0),
    )
    # Each server's load and its limit over the last 1.5 s, the window of the overload rule.
    recent_loads, recent_limits = ([], [])
    while simulation.event_loop.time - started_ms < 20_000.0:
        simulation.run_for(50)
        elapsed_ms = simulation.event_loop.time - started_ms
        if first_push_ms is None and any(
            event == "push" for event, _ in simulation.event_loop.logged
        ):
            first_push_ms = elapsed_ms
        loads = dict.fromkeys(assigner_host.entries, 0.0)
        for slice_number, table in simulation.relay.store.items():
            usable = {
                server: weight
                for server, weight in table.items()
                if server != failed_server and server not in simulation.relay.ejected[0]
            }
            empty_table_ms[slice_number] = (
                0.0 if usable else empty_table_ms.get(slice_number, 0.0) + 50.0
            )
            longest_empty_ms = max(longest_empty_ms, empty_table_ms[slice_number])
            for server, weight in usable.items():
                loads[server] += (
                    weight / sum(usable.values()) / len(simulation.relay.store) * servers
                )
        capacity_share = min(
            1.0, INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * elapsed_ms / WARM_UP_MS
        )
        recent_loads, recent_limits = (
            [*recent_loads[-29:], loads],
            [*recent_limits[-29:], OVERLOAD_FACTOR * capacity_share],
        )
        for load in LOAD_LEVELS if len(recent_loads) == 30 else ():
            peak_overload[load] = max(
                peak_overload[load],
                max(sum(past_loads[server] for past_loads in recent_loads) for server in loads)
                * load
                / sum(recent_limits),
            )
    return {
        "first_push_ms": first_push_ms,
        "longest_without_a_line_ms": longest_empty_ms,
        "drained_server_has_traffic": loads["s1"] > 0,
        "most_of_what_fells_a_cold_server": {
            str(load): round(value, 3) for load, value in peak_overload.items()
        },
    }


def make_state(size: int) -> PersistedState:
    timestamp = Timestamp(1.7e12, "boot", 5.0)
    return PersistedState(
        servers={
            f"server-{k}": ServerRecord(
                "127.0.0.1:8443",
                "zone-a",
                "m2",
                3,
                core.ServerState.READY,
                1.0,
                1.6e12,
                41,
                timestamp,
                EvidenceSource.ENDPOINT_LIST,
            )
            for k in range(size)
        },
        slices={
            k: SliceTable({f"server-{k % size}": 1.0, f"server-{(k + 1) % size}": 0.02}, True)
            for k in range(min(5 * size, 60_000))
        },
        list_version=41,
    )


def min_median_max(values, digits=3) -> list:
    return [round(f(values), digits) for f in (min, median, max)]


def reconciliation_cost(size: int, repeats: int = 40) -> dict:
    """The time that persisting state adds to a reconciliation with load reports of all servers."""
    registry = ObjectRegistry(
        core.Settings(
            request_classes=[core.RequestClass(1000.0, 3000.0)],
            slice_count=5 * size,
            warm_up_ms=WARM_UP_MS,
        ),
        1,
    )
    servers = [registry.server(f"server-{k}") for k in range(size)]
    now_ms = 1000.0
    registry.pending_events = [
        core.EndpointListUpdate(
            core.ListScope.COMPLETE,
            [core.EndpointEntry(s, "ready", None, 0, 0, 0, 1.0) for s in servers],
        )
    ]
    for k in range(5 * size):
        registry.pending_events += [
            core.SliceAssignment(registry.slice(k), True),
            core.SnapshotEntry(registry.slice(k), servers[k % size], 1.0),
        ]
    registry.pending_events.append(core.ProxyConnected(registry.proxy(0), 0, 5.0, True))
    registry.reconcile(now_ms)
    tracker = StateTracker(
        make_state(size), lambda: Timestamp(1.7e12 + now_ms, "boot", now_ms), WARM_UP_MS
    )
    tracker.take_changes()
    reconcile_s, persist_s = [], []
    for _ in range(repeats):
        now_ms += 250.0
        events = [core.ServerLoadReport(s, 0, 20, 0, 40.0, 1000.0) for s in servers] + [
            core.TimerFired(0)
        ]
        registry.pending_events, started = list(events), perf_counter()
        orders = registry.reconcile(now_ms)
        reconciled = perf_counter()
        tracker.record(events, orders)
        tracker.record_estimates(registry.controller)
        tracker.take_changes()
        reconcile_s.append(reconciled - started)
        persist_s.append(perf_counter() - reconciled)
    return {
        "added_share": min_median_max(
            [persist / reconcile for persist, reconcile in zip(persist_s, reconcile_s)]
        )
    }


def measure_log(folder: Path, size: int, writes: int) -> dict:
    directory = StateDirectory(Disk(str(folder)), max_log_bytes=1 << 30)
    directory.open()
    full_state = make_state(size)
    directory.rotate(full_state)
    write_s, bytes_before = [], directory.log_bytes
    for k in range(writes):
        uid = f"server-{k % size}"
        change = changes.SetServer(uid, full_state.servers[uid])
        started = perf_counter()
        directory.commit([change], full_state)
        write_s.append(perf_counter() - started)
    bytes_a_change = (directory.log_bytes - bytes_before) / writes
    directory.close()
    started = perf_counter()
    StateDirectory(Disk(str(folder))).open(write=False)
    return {
        "write_ms": write_s,
        "bytes_a_change": bytes_a_change,
        "recover_s": perf_counter() - started,
    }


def measure_sqlite(folder: Path, size: int, writes: int) -> dict:
    database = sqlite3.connect(folder / "base", isolation_level=None)
    database.execute("pragma journal_mode=wal")
    database.execute("pragma synchronous=full")
    database.execute("create table rows (kind text, id text, data blob, primary key (kind, id))")
    rows = [
        (kind, str(fields.get("uid", fields.get("number"))), records.encode_frame(0, kind, fields))
        for kind, fields in map(codec.encode, changes.snapshot(make_state(size)))
    ]
    database.execute("begin")
    database.executemany("insert or replace into rows values (?, ?, ?)", rows)
    database.execute("commit")
    bytes_before, write_s = sum(p.stat().st_size for p in folder.iterdir()), []
    for k in range(writes):
        started = perf_counter()
        database.execute(
            "insert or replace into rows values (?, ?, ?)", rows[-1 - k % min(size, len(rows) - 2)]
        )
        write_s.append(perf_counter() - started)
    added_bytes = sum(p.stat().st_size for p in folder.iterdir()) - bytes_before
    database.close()
    started, recovered = perf_counter(), PersistedState()
    for (data,) in sqlite3.connect(folder / "base").execute("select data from rows"):
        _, entries, _ = records.read_records(records.encode_header() + data)
        codec.decode(*entries[0][1:]).apply(recovered)
    return {
        "write_ms": write_s,
        "bytes_a_change": added_bytes / writes,
        "recover_s": perf_counter() - started,
    }


def measure_lmdb(folder: Path, size: int, writes: int) -> dict:
    import lmdb

    database = lmdb.open(str(folder / "base"), map_size=1 << 30)
    rows = [
        (
            f"{kind}/{fields.get('uid', fields.get('number'))}".encode(),
            records.encode_frame(0, kind, fields),
        )
        for kind, fields in map(codec.encode, changes.snapshot(make_state(size)))
    ]
    with database.begin(write=True) as transaction:
        for key, data in rows:
            transaction.put(key, data)
    bytes_before, write_s = (folder / "base" / "data.mdb").stat().st_blocks * 512, []
    for k in range(writes):
        started = perf_counter()
        with database.begin(write=True) as transaction:
            transaction.put(*rows[k % len(rows)])
        write_s.append(perf_counter() - started)
    added_bytes = (folder / "base" / "data.mdb").stat().st_blocks * 512 - bytes_before
    database.close()
    started, recovered = perf_counter(), PersistedState()
    with lmdb.open(str(folder / "base"), readonly=True).begin() as transaction:
        for _, data in transaction.cursor():
            _, entries, _ = records.read_records(records.encode_header() + data)
            codec.decode(*entries[0][1:]).apply(recovered)
    return {
        "write_ms": write_s,
        "bytes_a_change": added_bytes / writes,
        "recover_s": perf_counter() - started,
    }


def compare_stores(size: int, writes: int = 150) -> dict:
    results = {}
    for name, measure_store in (
        ("log", measure_log),
        ("sqlite", measure_sqlite),
        ("lmdb", measure_lmdb),
    ):
        folder = Path(tempfile.mkdtemp(prefix="recovery-"))
        try:
            results[name] = measure_store(folder, size, writes)
        finally:
            shutil.rmtree(folder)
    log_write_s = median(results["log"]["write_ms"])
    return {
        name: {
            "write_over_log": min_median_max(
                [time_s / log_write_s for time_s in result["write_ms"]]
            ),
            "bytes_a_change": round(result["bytes_a_change"]),
            "recover_over_log": round(result["recover_s"] / results["log"]["recover_s"], 3),
        }
        for name, result in results.items()
    }


def recovery_time_ratios(sizes) -> dict:
    """The recovery time at each size, as a ratio to that at the smallest size."""
    recovery_s = {}
    for size in sizes:
        folder = Path(tempfile.mkdtemp(prefix="recovery-"))
        try:
            directory = StateDirectory(Disk(str(folder)))
            directory.open()
            directory.rotate(make_state(size))
            directory.close()
            started = perf_counter()
            StateDirectory(Disk(str(folder))).open(write=False)
            recovery_s[size] = perf_counter() - started
        finally:
            shutil.rmtree(folder)
    return {
        str(size): round(time_s / recovery_s[sizes[0]], 1) for size, time_s in recovery_s.items()
    }


def measure() -> dict:
    return {
        "benchmark": "recovery",
        "starts_with_discovery_down": {
            "without_state": measure_start(None),
            **{name: measure_start(age) for name, age in STATE_AGES_MS.items()},
        },
        "added_cost_of_a_turn": {str(size): reconciliation_cost(size) for size in (10, 100, 1000)},
        "stores": {
            str(size): compare_stores(size, 150 if size < 10_000 else 40)
            for size in (10, 1000, 100_000)
        },
        "recovery_time_over_10_servers": recovery_time_ratios((10, 1000, 100_000)),
    }
