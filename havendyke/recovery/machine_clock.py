"""Reads the machine's clocks and boot id."""

import time

from .timestamps import Timestamp

BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def read_boot_id() -> str:
    """Returns the id of the current boot; empty if the system provides none."""
    try:
        with open(BOOT_ID_PATH) as file:
            return file.read().strip()
    except OSError:
        return ""


def read_timestamp(boot_id: str | None = None) -> Timestamp:
    """Returns the current time; reads the boot id unless it is passed."""
    # Unlike the monotonic clock, CLOCK_BOOTTIME advances while the machine is suspended.
    if hasattr(time, "CLOCK_BOOTTIME"):
        uptime_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    else:
        uptime_s = time.monotonic()
    if boot_id is None:
        return Timestamp(time.time() * 1000, read_boot_id(), uptime_s * 1000)
    return Timestamp(time.time() * 1000, boot_id, uptime_s * 1000)
