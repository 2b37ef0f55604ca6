"""A run from its point to its record: hollow assigners in workers, real ones beside them where
asked for."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from . import real, record
from .guard import Guard, Limits
from .meter import IN, KINDS, OUT
from .scenario import PHASES
from .size import Point, check_machine
from .workers import Workers

MOST_MS = 3_600_000  # the longest time that a histogram keeps
A_WORKER = 100  # assigners that a worker runs, where enough are asked for
DIGITS = 4


def spread(times: list) -> dict:
    """Median, 99th of 100 and last of times in ms."""
    if not times:
        return {"count": 0}
    kept = HdrHistogram(1, MOST_MS, 3)
    for ms in times:
        kept.record_value(max(1, round(ms)))
    return {
        "count": len(times),
        "median": kept.get_value_at_percentile(50),
        "p99": kept.get_value_at_percentile(99),
        "last": kept.get_max_value(),
    }


def rounded(value: float) -> float:
    return round(value, DIGITS)


def merged(parts: list) -> dict:
    """One phase of all workers: means for one assigner and second, times of all."""
    seconds = sum(p["assigners"] for p in parts) * parts[0]["seconds"]
    cpu, calls, asked = Counter(), Counter(), Counter()
    for p in parts:
        cpu.update(p["cpu_ms"])
        calls.update(p["calls"])
        asked.update(p["asked"])
    traffic = {}
    for kind in KINDS:
        counts = Counter()
        for p in parts:
            counts.update(p["traffic"][kind])
        traffic[kind] = {
            name: rounded(counts[name] / seconds)
            for name in ("in_bytes", "in_messages", "out_bytes", "out_messages")
        }
    return {
        "seconds": parts[0]["seconds"],
        "assigners": sum(p["assigners"] for p in parts),
        "traffic": traffic,
        "cpu_ms": {name: rounded(spent / seconds) for name, spent in sorted(cpu.items())},
        "turns": rounded(calls["turn"] / seconds),
        "looks": rounded(calls["judge"] / seconds),
        "orders": rounded(sum(p["orders"] for p in parts) / seconds),
        "log_bytes": rounded(sum(p["log"]["bytes"] for p in parts) / seconds),
        "log_lines": rounded(sum(p["log"]["lines"] for p in parts) / seconds),
        "taken_ms": spread([ms for p in parts for ms in p["taken_ms"]]),
        "unfinished": sum(p["unfinished"] for p in parts),
        "asked_most": rounded(max(asked.values(), default=0) / parts[0]["seconds"]),
        "fullest_fresh": max(p["fullest_fresh"] for p in parts),
        "yardstick_ms": rounded(sum(p["yardstick_ms"] for p in parts) / len(parts)),
    }


def beside(hollow: dict, reals: list) -> dict:
    """Real assigners' calm span against the hollow ones'."""
    count = len(reals)
    cpu, memory = (sum(r[name] for r in reals) / count for name in ("cpu_ms", "memory_mb"))
    yardstick = sum(r["yardstick_ms"] for r in reals) / count
    ratio = cpu / yardstick / (sum(hollow["cpu_ms"].values()) / hollow["yardstick_ms"])
    made = {
        "count": count,
        "cpu_ms": rounded(cpu),
        "memory_mb": rounded(memory),
        "yardstick_ms": rounded(yardstick),
        "cpu_real_over_hollow": rounded(ratio),
    }
    for unit in ("bytes", "messages"):
        for kind in KINDS:
            theirs = (
                sum(r["traffic"][kind][f"{way}_{unit}"] for r in reals for way in (IN, OUT)) / count
            )
            ours = sum(hollow["traffic"][kind][f"{way}_{unit}"] for way in (IN, OUT))
            if theirs and ours:
                made[f"{kind}_{unit}_real_over_hollow"] = rounded(theirs / ours)
    return made


def measure(
    point: Point, seed: int, workers: int, limits: Limits, phases=PHASES, real_count: int = 0
) -> dict:
    """Runs the hollow assigners of a point, then so many real ones; returns its record."""
    check_machine(point.size, workers, limits.memory_mb)
    guard = Guard(limits)
    told = Workers(point.size, seed, workers, guard, phases).gather()
    names = [p.name for p in phases if p.measured]
    made = {
        "form": record.FORM,
        "point": point.name,
        "role": point.role,
        "seed": seed,
        "size": point.size.as_dict(),
        "workers": workers,
        "machine": record.machine(),
        "text": record.source_version(),
        "memory_mb": {
            "run": round(guard.most_mb, 1),
            "assigner": rounded(sum(grown for _, grown in told) / len(told)),
        },
        "phases": {name: merged([measured[name] for measured, _ in told]) for name in names},
    }
    if real_count:
        made["real"] = beside(
            made["phases"]["calm"], real.measure(point.size, seed, real_count, guard)
        )
    return made
