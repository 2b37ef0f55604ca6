"""The slot table."""

from havendyke.net.slots import SlotTable


def test_a_full_table_returns_none_and_released_slots_are_reused():
    slots = SlotTable(2)
    assert [slots.acquire("a"), slots.acquire("b"), slots.acquire("c")] == [0, 1, None]
    slots.release(0)
    slots.release(0)
    assert len(slots) == 1 and slots.acquire("c") == 0 and list(slots) == ["c", "b"]
