"""Counters of the process's resource usage."""

import gc
import os
import resource

STATUS_FILE = "/proc/self/status"
PEAK_MEMORY_FIELD = "VmHWM:"
KIB_PER_MIB = 1024


def resource_usage() -> dict[str, float]:
    """Peak memory (MiB), open descriptors, CPU time (s), garbage collections, by counter name."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "memory_max_mb": round(_peak_memory_kib() / KIB_PER_MIB, 1),
        "descriptors": len(os.listdir("/proc/self/fd")),
        "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
        "collections": sum(generation["collections"] for generation in gc.get_stats()),
    }


def _peak_memory_kib() -> float:
    """The largest resident size; `ru_maxrss` would include the process that started this one."""
    with open(STATUS_FILE) as status:
        for line in status:
            if line.startswith(PEAK_MEMORY_FIELD):
                return float(line.split()[1])
    return 0.0
