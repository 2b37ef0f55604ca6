"""Exclusive ownership: no two servers may have writes of one slice in flight at a time."""


class WriteOverlap:
    """`max_in_flight_ms`: a write ends within this after its server accepted it."""

    def __init__(self, max_in_flight_ms: float):
        self.max_in_flight_ms = max_in_flight_ms
        self.last_write_at = {}

    def observe(self, now: float, slice_, servers) -> list:
        """Records that these servers get writes of the slice now; returns the pairs of servers
        whose writes may overlap."""
        last_write_at = self.last_write_at.setdefault(slice_, {})
        pairs = []
        for server in servers:
            pairs += [
                (server, other)
                for other, at in last_write_at.items()
                if other is not server and now - at < self.max_in_flight_ms
            ]
            last_write_at[server] = now
        return pairs
