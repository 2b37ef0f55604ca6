"""Numbered slots for connections and questions: a full table says so, it never throws."""


class Slots:
    def __init__(self, size: int):
        self.items = [None] * size
        self.free = list(range(size - 1, -1, -1))
        self.most = 0

    def take(self, item):
        """The number of the slot that `item` got, or None."""
        if not self.free:
            return None
        number = self.free.pop()
        self.items[number] = item
        self.most = max(self.most, len(self))
        return number

    def leave(self, number: int):
        if self.items[number] is not None:
            self.items[number] = None
            self.free.append(number)

    def __len__(self):
        return len(self.items) - len(self.free)

    def __iter__(self):
        return (item for item in self.items if item is not None)
