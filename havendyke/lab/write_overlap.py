"""Slices of sole owners: no two servers may have writes of one slice in hand at a time."""


class WriteOverlap:
    """`max_in_flight_ms`: a write that a server took in ends within this (ms)."""

    def __init__(self, max_in_flight_ms: float):
        self.max_in_flight_ms, self.last = max_in_flight_ms, {}

    def observe(self, now: float, piece, servers) -> list:
        """Takes down that these servers take writes of the slice now; the pairs of servers whose
        writes meet."""
        last, pairs = self.last.setdefault(piece, {}), []
        for server in servers:
            pairs += [
                (server, other)
                for other, at in last.items()
                if other is not server and now - at < self.max_in_flight_ms
            ]
            last[server] = now
        return pairs
