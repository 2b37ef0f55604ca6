"""Exponential backoff between attempts."""


class Backoff:
    """Delays that double from a minimum to a maximum (ms).

    They keep a peer that recovers from being flooded with connections.
    """

    def __init__(self, min_ms: float, max_ms: float) -> None:
        """The first delay is `min_ms`."""
        self.min_ms = min_ms
        self.max_ms = max_ms
        self.next_ms = min_ms

    def next(self) -> float:
        """Returns the delay before the next attempt (ms) and doubles the following one."""
        delay_ms = self.next_ms
        self.next_ms = min(2 * delay_ms, self.max_ms)
        return delay_ms

    def reset(self) -> None:
        """Returns to the minimum, after a success."""
        self.next_ms = self.min_ms
