"""Receive buffers and their shared budget."""

import pytest

from havendyke.net.buffer import Buffer, BufferBudget, MessageTooLongError
from havendyke.net.json_lines import LineParser


def test_buffers_return_their_growth_to_the_budget():
    budget = BufferBudget(1000)
    buffer = Buffer(16, 4096, budget)
    lines = LineParser(buffer, 4096)
    buffer.append(b"x" * 500 + b"\n")
    assert budget.left < 600 and len(lines.next()) == 500
    buffer.free_space()
    assert budget.left == 1000
    with pytest.raises(MessageTooLongError):
        buffer.append(b"x" * 2000)
    buffer.release()
    assert budget.left == 1000
