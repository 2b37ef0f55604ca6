"""Waits that double up to a limit."""

from havendyke.config import Limits
from havendyke.net.backoff import Backoff


def test_waits_double_up_to_their_most():
    again = Backoff(50.0, Limits.max_backoff_ms)
    assert [again.next() for _ in range(5)] == [50.0, 100.0, 200.0, 400.0, 500.0]
    again.reset()
    assert again.next() == 50.0
