"""The capacity of the push channel, in table entries per proxy."""

from dataclasses import dataclass

from ..interface import Settings

# Entries reserved in each push for orders that belong to no table.
RESERVED_ENTRIES = 4
# Urgent changes may exceed the soft limit by this share of it, so that drains and empty tables meet
# their time limits.
URGENT_SHARE = 0.26


@dataclass(frozen=True, slots=True)
class PushBudget:
    """The entries that one push may contain per proxy."""

    ordinary: float
    urgent: float  # for changes that cannot wait


class PushCosts:
    """Costs and limits of pushes according to the settings."""

    def __init__(self, settings: Settings) -> None:
        # Ordinary changes fill at most half of the channel's queue.
        self.soft_queue_limit = settings.channel_queue_limit / 2
        self.message_overhead = settings.message_overhead

    def max_entries_per_proxy(self, proxy_count: int, queued_entries: float = 0.0) -> float:
        """Returns how many entries an ordinary push may contain per proxy."""
        free = (self.soft_queue_limit - queued_entries) / max(1, proxy_count)
        return free - self.message_overhead - RESERVED_ENTRIES

    def budget(self, proxy_count: int, queued_entries: float) -> PushBudget:
        """Returns the budget of the next push."""
        ordinary = self.max_entries_per_proxy(proxy_count, queued_entries)
        reserve = URGENT_SHARE * self.soft_queue_limit / max(1, proxy_count)
        return PushBudget(ordinary, ordinary + reserve)
