"""Starts with discovery down, with and without a folder; what keeping costs; the log beside SQLite
and LMDB.

Starts are in simulated time and the same every run. The rest is told as ratios, min/median/max over
repeats."""

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

COLD, FROM, FALL, LOADS = 16_000.0, 0.2, 3.0, (0.35, 0.5)
AGES = {"fresh": 2000.0, "10_min": 600_000.0, "day": 86_400_000.0, "week": 7 * 86_400_000.0}


def raw(servers: int) -> dict:
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
        "obligations": {"cold": COLD * 1e6, "coldFrom": FROM, "overloadFactor": FALL},
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


def listed(uid: str) -> dict:
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


def measure_start(age: float | None, servers: int = 10) -> dict:
    """One start with discovery down for the whole run, a server dead and another drained before the
    cut; all servers start with the machine, cold."""
    life = AssignerHost(raw(servers), {f"s{k}": listed(f"s{k}") for k in range(servers)})
    w = life.start()
    w.run_for(3000)
    w.discovery.change(s1={"state": "terminating"})
    w.run_for(3000)
    life.crash(age or 60_000.0)
    w = life.start(discovery=False, persist=age is not None)
    w.refused_ports = {1002}  # s2 does not come back
    dead, begun, first, bare, longest, over = (
        "s2",
        w.event_loop.time,
        None,
        {},
        0.0,
        dict.fromkeys(LOADS, 0.0),
    )
    sent, may = (
        [],
        [],
    )  # of the last 1.5 s, as the rule counts: what came to each server, what it may be sent
    while w.event_loop.time - begun < 20_000.0:
        w.run_for(50)
        now = w.event_loop.time - begun
        if first is None and any(event == "push" for event, _ in w.event_loop.logged):
            first = now
        loads = dict.fromkeys(life.entries, 0.0)
        for piece, table in w.relay.store.items():
            open_to = {h: s for h, s in table.items() if h != dead and h not in w.relay.ejected[0]}
            bare[piece] = 0.0 if open_to else bare.get(piece, 0.0) + 50.0
            longest = max(longest, bare[piece])
            for host, share in open_to.items():
                loads[host] += share / sum(open_to.values()) / len(w.relay.store) * servers
        warmth = min(1.0, FROM + (1 - FROM) * now / COLD)
        sent, may = [*sent[-29:], loads], [*may[-29:], FALL * warmth]
        for load in LOADS if len(sent) == 30 else ():
            over[load] = max(
                over[load], max(sum(one[host] for one in sent) for host in loads) * load / sum(may)
            )
    return {
        "first_push_ms": first,
        "longest_without_a_line_ms": longest,
        "drained_server_has_traffic": loads["s1"] > 0,
        "most_of_what_fells_a_cold_server": {
            str(load): round(value, 3) for load, value in over.items()
        },
    }


def state(size: int) -> PersistedState:
    now = Timestamp(1.7e12, "boot", 5.0)
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
                now,
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


def spread(values, digits=3) -> list:
    return [round(f(values), digits) for f in (min, median, max)]


def turn_cost(size: int, repeats: int = 40) -> dict:
    """A turn with reports of all servers, with and without keeping, in turn about."""
    registry = ObjectRegistry(
        core.Settings(
            request_classes=[core.RequestClass(1000.0, 3000.0)],
            slice_count=5 * size,
            warm_up_ms=COLD,
        ),
        1,
    )
    servers = [registry.server(f"server-{k}") for k in range(size)]
    now = 1000.0
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
    registry.reconcile(now)
    tracker = StateTracker(state(size), lambda: Timestamp(1.7e12 + now, "boot", now), COLD)
    tracker.take_changes()
    alone, keeping = [], []
    for _ in range(repeats):
        now += 250.0
        events = [core.ServerLoadReport(s, 0, 20, 0, 40.0, 1000.0) for s in servers] + [
            core.TimerFired(0)
        ]
        registry.pending_events, began = list(events), perf_counter()
        orders = registry.reconcile(now)
        middle = perf_counter()
        tracker.record(events, orders)
        tracker.record_estimates(registry.controller)
        tracker.take_changes()
        alone.append(middle - began)
        keeping.append(perf_counter() - middle)
    return {"added_share": spread([k / a for k, a in zip(keeping, alone)])}


def ours(folder: Path, size: int, writes: int) -> dict:
    made = StateDirectory(Disk(str(folder)), max_log_bytes=1 << 30)
    made.open()
    whole = state(size)
    made.rotate(whole)
    times, before = [], made.log_bytes
    for k in range(writes):
        uid = f"server-{k % size}"
        change = changes.SetServer(uid, whole.servers[uid])
        began = perf_counter()
        made.commit([change], whole)
        times.append(perf_counter() - began)
    size_of = (made.log_bytes - before) / writes
    made.close()
    began = perf_counter()
    StateDirectory(Disk(str(folder))).open(write=False)
    return {"write_ms": times, "bytes_a_change": size_of, "recover_s": perf_counter() - began}


def by_sqlite(folder: Path, size: int, writes: int) -> dict:
    base = sqlite3.connect(folder / "base", isolation_level=None)
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=full")
    base.execute("create table rows (kind text, id text, told blob, primary key (kind, id))")
    rows = [
        (kind, str(f.get("uid", f.get("number"))), records.encode_frame(0, kind, f))
        for kind, f in map(codec.encode, changes.snapshot(state(size)))
    ]
    base.execute("begin")
    base.executemany("insert or replace into rows values (?, ?, ?)", rows)
    base.execute("commit")
    before, times = sum(p.stat().st_size for p in folder.iterdir()), []
    for k in range(writes):
        began = perf_counter()
        base.execute(
            "insert or replace into rows values (?, ?, ?)", rows[-1 - k % min(size, len(rows) - 2)]
        )
        times.append(perf_counter() - began)
    grown = sum(p.stat().st_size for p in folder.iterdir()) - before
    base.close()
    began, made = perf_counter(), PersistedState()
    for (told,) in sqlite3.connect(folder / "base").execute("select told from rows"):
        _, found, _ = records.read_records(records.encode_header() + told)
        codec.decode(*found[0][1:]).apply(made)
    return {
        "write_ms": times,
        "bytes_a_change": grown / writes,
        "recover_s": perf_counter() - began,
    }


def by_lmdb(folder: Path, size: int, writes: int) -> dict:
    import lmdb

    base = lmdb.open(str(folder / "base"), map_size=1 << 30)
    rows = [
        (f"{kind}/{f.get('uid', f.get('number'))}".encode(), records.encode_frame(0, kind, f))
        for kind, f in map(codec.encode, changes.snapshot(state(size)))
    ]
    with base.begin(write=True) as turn:
        for key, told in rows:
            turn.put(key, told)
    before, times = (folder / "base" / "data.mdb").stat().st_blocks * 512, []
    for k in range(writes):
        began = perf_counter()
        with base.begin(write=True) as turn:
            turn.put(*rows[k % len(rows)])
        times.append(perf_counter() - began)
    grown = (folder / "base" / "data.mdb").stat().st_blocks * 512 - before
    base.close()
    began, made = perf_counter(), PersistedState()
    with lmdb.open(str(folder / "base"), readonly=True).begin() as turn:
        for _, told in turn.cursor():
            _, found, _ = records.read_records(records.encode_header() + told)
            codec.decode(*found[0][1:]).apply(made)
    return {
        "write_ms": times,
        "bytes_a_change": grown / writes,
        "recover_s": perf_counter() - began,
    }


def stores(size: int, writes: int = 150) -> dict:
    told = {}
    for name, run in (("log", ours), ("sqlite", by_sqlite), ("lmdb", by_lmdb)):
        folder = Path(tempfile.mkdtemp(prefix="recovery-"))
        try:
            told[name] = run(folder, size, writes)
        finally:
            shutil.rmtree(folder)
    base = median(told["log"]["write_ms"])
    return {
        name: {
            "write_over_log": spread([t / base for t in one["write_ms"]]),
            "bytes_a_change": round(one["bytes_a_change"]),
            "recover_over_log": round(one["recover_s"] / told["log"]["recover_s"], 3),
        }
        for name, one in told.items()
    }


def growth(sizes) -> dict:
    """Recovery's time against size, over the smallest's."""
    times = {}
    for size in sizes:
        folder = Path(tempfile.mkdtemp(prefix="recovery-"))
        try:
            made = StateDirectory(Disk(str(folder)))
            made.open()
            made.rotate(state(size))
            made.close()
            began = perf_counter()
            StateDirectory(Disk(str(folder))).open(write=False)
            times[size] = perf_counter() - began
        finally:
            shutil.rmtree(folder)
    return {str(size): round(t / times[sizes[0]], 1) for size, t in times.items()}


def measure() -> dict:
    return {
        "benchmark": "recovery",
        "starts_with_discovery_down": {
            "without_state": measure_start(None),
            **{name: measure_start(age) for name, age in AGES.items()},
        },
        "added_cost_of_a_turn": {str(size): turn_cost(size) for size in (10, 100, 1000)},
        "stores": {
            str(size): stores(size, 150 if size < 10_000 else 40) for size in (10, 1000, 100_000)
        },
        "recovery_time_over_10_servers": growth((10, 1000, 100_000)),
    }
