"""Recovery ramp: gradually returns slices to servers that have recovered."""

from collections.abc import Sequence

from ..state import WARMING_UP, Server, Slice
from .demand import demand_of
from .load_limits import MAX_FAIR_SHARES, LoadLimits
from .migration import SliceMigrator
from .pacing import PUSH_INTERVAL_MS, MigrationPace

# A slice is restored to an ejected server that, once unejected, would get more than this share of
# its traffic.
PRIMARY_SHARE = 0.9
RECOVERED_UTILIZATION = 0.8  # fair shares
# A target is filled up to the first, a source keeps at least the second.
TARGET_FAIR_SHARES = 0.9
SOURCE_FAIR_SHARES = 1.05


class RecoveryRamp:
    """Assigns slices to ejected servers that are usable again, and to recovering servers."""

    def __init__(self, limits: LoadLimits, migrator: SliceMigrator, pace: MigrationPace) -> None:
        self._limits = limits
        self._migrator = migrator
        self._pace = pace

    def restore_ejected(
        self, slices: Sequence[Slice], servers: Sequence[Server], now_ms: float
    ) -> None:
        """Assigns usable ejected servers those of their published slices that fit.

        Their entries are still published; publishing others and then these again takes too long.
        """
        for server in servers:
            if not server.ejected or server.health < WARMING_UP:
                continue
            for slice_ in _slices_to_restore(slices, server):
                if self._limits.fits(server, demand_of(slice_), MAX_FAIR_SHARES):
                    self._migrator.migrate(slice_, server, now_ms)

    def ramp_up(self, slices: Sequence[Slice], servers: Sequence[Server], now_ms: float) -> None:
        """Assigns each recovering server one slice per push.

        Rebalancing alone would be far too slow, since it acts only on overloaded sources.
        """
        recovering = [
            server
            for server in servers
            if server.recovering and server.health >= WARMING_UP and not server.ejected
        ]
        for server in recovering:
            server.recovering = (
                server.health == WARMING_UP
                or self._limits.utilization(server) < RECOVERED_UTILIZATION
            )
        targets = sorted(
            (s for s in recovering if now_ms - s.last_slice_received_ms >= PUSH_INTERVAL_MS),
            key=self._limits.utilization,
        )
        # Searched once for all targets, since a release brings many of them.
        available = self._spare_slices(slices) if targets else []
        for target in targets:
            self._assign_one_slice(available, target, now_ms)

    def _spare_slices(self, slices: Sequence[Slice]) -> list[Slice]:
        """Returns slices that their primary can spare, those of the most utilized server first.

        Excludes slices of servers that warm up: failover already limits their load, and after the
        migration the slice's cache would be cold again.
        """
        ranked = []
        for slice_ in slices:
            primary = slice_.primary()
            if (
                primary is not None
                and primary.health != WARMING_UP
                and self._pace.is_settled(slice_)
                and self._can_spare(primary, slice_)
            ):
                ranked.append((-self._limits.utilization(primary), -demand_of(slice_), slice_))
        ranked.sort(key=lambda entry: entry[:2])
        return [slice_ for _, _, slice_ in ranked]

    def _assign_one_slice(self, available: list[Slice], target: Server, now_ms: float) -> None:
        if self._migrator.budget <= 0:
            return
        for slice_ in available:
            source = slice_.primary()
            if (
                source is not None
                and source is not target
                and self._limits.fits(target, demand_of(slice_), TARGET_FAIR_SHARES)
                and self._can_spare(source, slice_)
            ):
                self._migrator.migrate(slice_, target, now_ms)
                available.remove(slice_)
                return

    def _can_spare(self, source: Server, slice_: Slice) -> bool:
        fair_shares = SOURCE_FAIR_SHARES if source.rounding_offset is None else 1.0
        remaining_load = source.assigned_load - demand_of(slice_)
        return remaining_load >= self._limits.admissible_load(source, fair_shares)


def _slices_to_restore(slices: Sequence[Slice], server: Server) -> list[Slice]:
    return [
        slice_
        for slice_ in slices
        if slice_.share_if_unejected(server) > PRIMARY_SHARE and slice_.primary() is not server
    ]
