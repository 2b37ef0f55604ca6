"""Numbered slots, which bound the number of concurrent connections."""

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class SlotTable(Generic[Item]):
    """A fixed number of slots."""

    def __init__(self, size: int) -> None:
        """Creates `size` free slots."""
        self.items: list[Item | None] = [None] * size
        self._free = list(range(size - 1, -1, -1))
        self.max_used = 0  # high-water mark of the slots in use

    def acquire(self, item: Item) -> int | None:
        """Assigns a slot to `item` and returns its number, or None if no slot is free."""
        if not self._free:
            return None
        number = self._free.pop()
        self.items[number] = item
        self.max_used = max(self.max_used, len(self))
        return number

    def release(self, number: int) -> None:
        """Frees a slot; has no effect on a free one."""
        if self.items[number] is not None:
            self.items[number] = None
            self._free.append(number)

    def __len__(self) -> int:
        """The number of slots in use."""
        return len(self.items) - len(self._free)

    def __iter__(self) -> Iterator[Item]:
        """Iterates over the items that have a slot."""
        return (item for item in self.items if item is not None)
