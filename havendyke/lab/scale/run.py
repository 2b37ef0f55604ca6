"""Measures a point and makes its record: hollow assigners in workers, then optional real ones."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from . import real, record
from .guard import Guard, Limits
from .meter import IN, KINDS, OUT
from .scenario import PHASES
from .size import Point, check_machine
from .workers import Workers

MAX_RECORDED_MS = 3_600_000  # upper limit of the histograms
ASSIGNERS_PER_WORKER = 100
DECIMAL_PLACES = 4


def summarize_times(times: list) -> dict:
    """Count, median, 99th percentile and maximum of times in ms."""
    if not times:
        return {"count": 0}
    histogram = HdrHistogram(1, MAX_RECORDED_MS, 3)
    for ms in times:
        histogram.record_value(max(1, round(ms)))
    return {
        "count": len(times),
        "median": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
        "last": histogram.get_max_value(),
    }


def round_value(value: float) -> float:
    return round(value, DECIMAL_PLACES)


def merge_phase(parts: list) -> dict:
    """Merges a phase of all workers into means per assigner and second."""
    seconds = sum(p["assigners"] for p in parts) * parts[0]["seconds"]
    cpu, calls, health_check_counts = Counter(), Counter(), Counter()
    for p in parts:
        cpu.update(p["cpu_ms"])
        calls.update(p["calls"])
        health_check_counts.update(p["asked"])
    traffic = {}
    for kind in KINDS:
        counts = Counter()
        for p in parts:
            counts.update(p["traffic"][kind])
        traffic[kind] = {
            name: round_value(counts[name] / seconds)
            for name in ("in_bytes", "in_messages", "out_bytes", "out_messages")
        }
    return {
        "seconds": parts[0]["seconds"],
        "assigners": sum(p["assigners"] for p in parts),
        "traffic": traffic,
        "cpu_ms": {name: round_value(spent / seconds) for name, spent in sorted(cpu.items())},
        "turns": round_value(calls["turn"] / seconds),
        "looks": round_value(calls["judge"] / seconds),
        "orders": round_value(sum(p["orders"] for p in parts) / seconds),
        "log_bytes": round_value(sum(p["log"]["bytes"] for p in parts) / seconds),
        "log_lines": round_value(sum(p["log"]["lines"] for p in parts) / seconds),
        "taken_ms": summarize_times([ms for p in parts for ms in p["taken_ms"]]),
        "unfinished": sum(p["unfinished"] for p in parts),
        "asked_most": round_value(
            max(health_check_counts.values(), default=0) / parts[0]["seconds"]
        ),
        "fullest_fresh": max(p["fullest_fresh"] for p in parts),
        "yardstick_ms": round_value(sum(p["yardstick_ms"] for p in parts) / len(parts)),
    }


def compare_real(hollow: dict, reals: list) -> dict:
    """Compares the calm phase of real assigners with that of the hollow ones."""
    count = len(reals)
    cpu, memory = (sum(r[name] for r in reals) / count for name in ("cpu_ms", "memory_mb"))
    reference_ms = sum(r["yardstick_ms"] for r in reals) / count
    ratio = cpu / reference_ms / (sum(hollow["cpu_ms"].values()) / hollow["yardstick_ms"])
    comparison = {
        "count": count,
        "cpu_ms": round_value(cpu),
        "memory_mb": round_value(memory),
        "yardstick_ms": round_value(reference_ms),
        "cpu_real_over_hollow": round_value(ratio),
    }
    for unit in ("bytes", "messages"):
        for kind in KINDS:
            real_total = (
                sum(
                    r["traffic"][kind][f"{direction}_{unit}"]
                    for r in reals
                    for direction in (IN, OUT)
                )
                / count
            )
            hollow_total = sum(
                hollow["traffic"][kind][f"{direction}_{unit}"] for direction in (IN, OUT)
            )
            if real_total and hollow_total:
                comparison[f"{kind}_{unit}_real_over_hollow"] = round_value(
                    real_total / hollow_total
                )
    return comparison


def measure(
    point: Point, seed: int, workers: int, limits: Limits, phases=PHASES, real_count: int = 0
) -> dict:
    """Runs the hollow assigners of a point, then `real_count` real ones; returns its record."""
    check_machine(point.size, workers, limits.memory_mb)
    guard = Guard(limits)
    results = Workers(point.size, seed, workers, guard, phases).gather()
    names = [p.name for p in phases if p.measured]
    result = {
        "form": record.RECORD_FORMAT,
        "point": point.name,
        "role": point.role,
        "seed": seed,
        "size": point.size.as_dict(),
        "workers": workers,
        "machine": record.machine(),
        "text": record.source_version(),
        "memory_mb": {
            "run": round(guard.peak_memory_mb, 1),
            "assigner": round_value(sum(assigner_mb for _, assigner_mb in results) / len(results)),
        },
        "phases": {
            name: merge_phase([measured[name] for measured, _ in results]) for name in names
        },
    }
    if real_count:
        result["real"] = compare_real(
            result["phases"]["calm"], real.measure(point.size, seed, real_count, guard)
        )
    return result
