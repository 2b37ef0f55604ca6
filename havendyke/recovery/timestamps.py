"""Timestamps that remain usable after a restart, and their age despite adjusted clocks."""

from dataclasses import dataclass
from enum import Enum

MAX_CLOCK_DRIFT_MS = 60_000.0  # a timestamp may lie this far in the future
UNKNOWN_AGE_MS = 1e15  # longer than any real age, so that comparisons treat it as old


@dataclass(frozen=True, slots=True)
class Timestamp:
    """A simultaneous reading of the machine's clocks.

    Within one boot, the uptime is reliable even if the wall clock is adjusted. Across boots, only
    the wall clock is comparable.
    """

    wall_ms: float  # Unix time
    boot_id: str  # empty: unknown
    uptime_ms: float  # since the boot


class AgeSource(Enum):
    """The clock from which an age was computed."""

    BOOT = "boot"  # the uptime; exact
    WALL = "wall"  # wrong by any adjustment of the clock
    NONE = "none"  # the age is unknown


@dataclass(frozen=True, slots=True)
class Age:
    """The time that has passed since a timestamp, and the clock that measured it."""

    ms: float
    source: AgeSource


UNKNOWN_AGE = Age(UNKNOWN_AGE_MS, AgeSource.NONE)


def age_of(timestamp: Timestamp | None, now: Timestamp) -> Age:
    """Returns the age of a timestamp; unknown if it is None or the clocks contradict each other.

    A timestamp of an earlier boot is at least as old as the current boot.
    """
    if timestamp is None:
        return UNKNOWN_AGE
    if timestamp.boot_id == now.boot_id and timestamp.boot_id:
        elapsed_ms = now.uptime_ms - timestamp.uptime_ms
        # Uptime never decreases, so the readings are of two machines.
        return Age(elapsed_ms, AgeSource.BOOT) if elapsed_ms >= 0 else UNKNOWN_AGE
    elapsed_ms = now.wall_ms - timestamp.wall_ms
    if elapsed_ms < -MAX_CLOCK_DRIFT_MS:
        # One of the two readings was far off, so their difference is meaningless.
        return UNKNOWN_AGE
    # The timestamp is of an earlier boot, so it is at least as old as the uptime.
    return Age(max(elapsed_ms, now.uptime_ms, 0.0), AgeSource.WALL)
