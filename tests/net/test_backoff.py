"""Backoff delays that double up to a maximum."""

from havendyke.config import Limits
from havendyke.net.timer import Backoff


def test_delays_double_up_to_the_maximum():
    backoff = Backoff(50.0, Limits.max_backoff_ms)
    assert [backoff.next() for _ in range(5)] == [50.0, 100.0, 200.0, 400.0, 500.0]
    backoff.reset()
    assert backoff.next() == 50.0
