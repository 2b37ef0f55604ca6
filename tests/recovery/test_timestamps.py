"""Ages of timestamps if clocks were adjusted."""

import pytest
from recovery_states import DAY_MS, NOW, timestamp_before_now

from havendyke.recovery.timestamps import UNKNOWN_AGE_MS, Age, AgeSource, Timestamp, age_of


@pytest.mark.parametrize(
    "timestamp, expected",
    [
        # The wall clock was adjusted; the uptime is used.
        (Timestamp(5.0, "boot-2", 20_000.0), Age(30_000.0, AgeSource.BOOT)),
        (Timestamp(NOW.wall_ms + 9e9, "boot-2", 49_000.0), Age(1000.0, AgeSource.BOOT)),
        (timestamp_before_now(DAY_MS), Age(DAY_MS, AgeSource.WALL)),
        # The machine has been up for longer.
        (timestamp_before_now(10.0), Age(50_000.0, AgeSource.WALL)),
        # A year in the future.
        (timestamp_before_now(-365 * DAY_MS), Age(UNKNOWN_AGE_MS, AgeSource.NONE)),
        (timestamp_before_now(-5000.0), Age(50_000.0, AgeSource.WALL)),
        (None, Age(UNKNOWN_AGE_MS, AgeSource.NONE)),
        (Timestamp(0.0, "boot-2", 60_000.0), Age(UNKNOWN_AGE_MS, AgeSource.NONE)),
    ],
)
def test_an_age_is_not_less_than_the_clocks_guarantee(timestamp, expected):
    assert age_of(timestamp, NOW) == expected
