"""The deadline queue."""

from havendyke.net.deadlines import DeadlineQueue


def test_deadlines_are_ordered_and_cancelled_ones_are_removed():
    deadlines, expired = DeadlineQueue(), []
    for at_ms in (30, 10, 20, 10):
        deadlines.add(at_ms, lambda at_ms=at_ms: expired.append(at_ms))
    deadlines.cancel(deadlines.add(5, lambda: expired.append("cancelled")))
    for _ in range(1000):
        deadlines.cancel(deadlines.add(99, print))
    assert len(deadlines.heap) < 200 and deadlines.next_at_ms() == 10
    for callback in deadlines.pop_due(20):
        callback()
    assert expired == [10, 10, 20] and deadlines.next_at_ms() == 30
