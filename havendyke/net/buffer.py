"""Receive buffers with a shared budget.

A buffer holds the unparsed bytes of one connection or of one message body. A parser reads
`data[start:end]` and advances `start`; messages are slices of the buffer.
"""

# Bytes by which a buffer may exceed the longest message, so that the message's end fits as well.
MESSAGE_END_SIZE = 4096


class MessageTooLongError(ValueError):
    """A message is longer than the limit."""


class BufferBudget:
    """Bytes by which the buffers of all connections together may exceed their initial sizes.

    When it is exhausted by many long messages at once, the connections of such messages are closed
    and no others.
    """

    def __init__(self, size: float) -> None:
        """`size`: the budget in bytes."""
        self.left = size

    def take(self, size: int) -> None:
        """Takes bytes from the budget, or returns them if `size` is negative.

        Raises `MessageTooLongError` if the budget is too small.
        """
        if size > self.left:
            raise MessageTooLongError("the budget of the buffers is exhausted")
        self.left -= size


class Buffer:
    """Holds unparsed bytes; grows from `min_size` bytes to fit a message of `max_message_size`."""

    def __init__(
        self, min_size: int, max_message_size: int, budget: BufferBudget | None = None
    ) -> None:
        """Sizes are in bytes; without a budget only `max_message_size` limits the buffer."""
        self.data = bytearray(min_size)
        self.start = 0
        self.end = 0
        self._min_size = min_size
        self._max_message_size = max_message_size
        self._budget = budget or BufferBudget(float("inf"))

    def release(self) -> None:
        """Returns the buffer's growth to the budget; called at the end of its connection."""
        self._budget.take(self._min_size - len(self.data))
        self.data = bytearray(self._min_size)
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Returns the space for the next bytes, which is never empty.

        Raises `MessageTooLongError` if a message does not end within its limit.
        """
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self._min_size:
                self.data = self._allocate(self._min_size)
        if self.end == len(self.data):
            self._compact_or_grow()
        return memoryview(self.data)[self.end :]

    def append(self, chunk: bytes | memoryview) -> None:
        """Adds bytes that are not read from a socket, such as the chunks of a body."""
        while chunk:
            free_space = self.free_space()
            count = min(len(free_space), len(chunk))
            free_space[:count] = chunk[:count]
            self.end += count
            chunk = chunk[count:]

    def _compact_or_grow(self) -> None:
        unread = self.end - self.start
        if unread > self._max_message_size:
            raise MessageTooLongError(f"a message is longer than {self._max_message_size} bytes")
        size = len(self.data)
        if 2 * unread > size:
            size = min(2 * size, self._max_message_size + MESSAGE_END_SIZE)
        # Copied, not moved in place: messages that are slices of the old bytes may be in use.
        data = self._allocate(size)
        data[:unread] = memoryview(self.data)[self.start : self.end]
        self.data = data
        self.start, self.end = 0, unread

    def _allocate(self, size: int) -> bytearray:
        self._budget.take(size - len(self.data))
        return bytearray(size)
