"""Counters of the process's resource usage."""

import gc
import os
import resource


def resource_usage() -> dict[str, float]:
    """Peak memory (MiB), open descriptors, CPU time (s), garbage collections, by counter name."""
    # Linux reports `ru_maxrss` in KiB.
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "memory_max_mb": round(usage.ru_maxrss / 1024, 1),
        "descriptors": len(os.listdir("/proc/self/fd")),
        "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
        "collections": sum(generation["collections"] for generation in gc.get_stats()),
    }
