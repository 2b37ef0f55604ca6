"""Updates the state of recovered servers from endpoint lists and evidence. Without I/O.

Endpoint lists take precedence over load reports, these over snapshot entries and health checks, and
all of them over the disk. Evidence raises the trust in a server up to the limit of its source; only
an endpoint list removes a tombstone.
"""

from dataclasses import replace

from ..interface import ServerState
from .state import EvidenceSource, PersistedState, ServerRecord, Tombstone
from .timestamps import AgeSource, Timestamp, age_of
from .trust import (
    DAY_MS,
    MAX_TRUST_BY_SOURCE,
    MINUTE_MS,
    ServerAssessment,
    assess_all,
    assumed_start,
    tombstone_applies,
)

# How long a tombstone takes precedence over an endpoint list of an older version.
TOMBSTONE_PRECEDENCE_MS = 10 * MINUTE_MS
MAX_TOMBSTONES = 10_000
MAX_TOMBSTONE_AGE_MS = 30 * DAY_MS
# On the scale of trust, 0 to 1; a smaller gain does not justify another endpoint list update.
MIN_TRUST_GAIN = 0.2


class ServerReconciler:
    """Merges endpoint lists and evidence into a recovered state.

    Changes `state` in place; the caller persists the difference. `assessments` holds the
    assessments at the time of the recovery.
    """

    def __init__(self, state: PersistedState, now: Timestamp, warm_up_ms: float) -> None:
        """Assesses all servers as of `now` and stores the assumed starts in the state."""
        self.state = state
        # By uid, for servers that no endpoint list has confirmed since the recovery: the trust at
        # the recovery, or the trust after the last evidence less the warm-up since the recovery.
        self.unconfirmed_trust: dict[str, float] = {}
        self.assessments = assess_all(state, now, warm_up_ms)
        self._warm_up_ms = warm_up_ms
        self._recovered_at = now
        state.last_alive = now
        for assessment in self.assessments:
            self._assume_start(assessment)

    def apply_evidence(
        self, uid: str, source: EvidenceSource, now: Timestamp
    ) -> ServerAssessment | None:
        """Raises the trust in a server; returns its new assessment, or None if nothing changed.

        Ignores a gain below `MIN_TRUST_GAIN`, and evidence of a server that is unknown, confirmed
        by an endpoint list, draining or gone.
        """
        record = self.state.servers.get(uid)
        if (
            record is None
            or record.state is not ServerState.READY
            or tombstone_applies(record, self.state.tombstones.get(uid))
        ):
            # Another machine may now use the address of a drained server.
            return None
        trust = MAX_TRUST_BY_SOURCE[source]
        if uid not in self.unconfirmed_trust or trust < self._trust(uid, now) + MIN_TRUST_GAIN:
            return None
        started_ms = assumed_start(trust, now, self._warm_up_ms)
        self.state.servers[uid] = replace(
            record, confirmed_at=now, source=source, assumed_start_ms=started_ms
        )
        # Relative to the recovery, since `_trust` adds the warm-up from then on.
        self.unconfirmed_trust[uid] = (
            trust - (now.uptime_ms - self._recovered_at.uptime_ms) / self._warm_up_ms
            if self._warm_up_ms
            else 1.0
        )
        return ServerAssessment(
            uid, ServerState.READY, started_ms, trust, f"vouched for by {source}"
        )

    def apply_listed(self, uid: str, listed: ServerRecord, now: Timestamp) -> ServerRecord:
        """Applies an entry of an endpoint list; returns it with the tombstone taken into account.

        A list that is older than the tombstone removes it only if the entry states a later start
        of the server or `TOMBSTONE_PRECEDENCE_MS` has passed.
        """
        tombstones = self.state.tombstones
        tombstone = tombstones.get(uid)
        if listed.state is not ServerState.READY:
            self._record_unavailable(uid, listed, now)
        elif tombstone is not None:
            if self._tombstone_prevails(tombstone, listed, now):
                listed = replace(listed, state=tombstone.state)
            else:
                del tombstones[uid]
        listed = replace(
            listed, confirmed_at=now, source=EvidenceSource.ENDPOINT_LIST, assumed_start_ms=0.0
        )
        self.unconfirmed_trust.pop(uid, None)
        if listed.state is ServerState.GONE:
            self.state.servers.pop(uid, None)
        else:
            self.state.servers[uid] = listed
        self._trim_tombstones(now)
        return listed

    def apply_unlisted(self, uid: str, now: Timestamp) -> None:
        """Removes a server that is missing from a complete endpoint list and sets a tombstone.

        The tombstone has the version of the previous list, the last one to contain the server.
        """
        record = self.state.servers.pop(uid, None)
        self.unconfirmed_trust.pop(uid, None)
        if record is not None:
            version = self.state.list_version
            self._set_tombstone(uid, Tombstone(record.started_ms, ServerState.GONE, version, now))
        self._trim_tombstones(now)

    def _assume_start(self, assessment: ServerAssessment) -> None:
        record = self.state.servers.get(assessment.uid)
        if record is None or assessment.state is not ServerState.READY or assessment.trust >= 1.0:
            return
        self.unconfirmed_trust[assessment.uid] = assessment.trust
        # Persisting the start instead of the trust lets the warm-up continue over a restart.
        self.state.servers[assessment.uid] = replace(record, assumed_start_ms=assessment.started_ms)

    def _trust(self, uid: str, now: Timestamp) -> float:
        """Returns the current trust in a server, including its warm-up since the recovery."""
        elapsed_ms = 0.0
        if now.boot_id == self._recovered_at.boot_id:
            elapsed_ms = now.uptime_ms - self._recovered_at.uptime_ms
        warmed_up = max(0.0, elapsed_ms) / self._warm_up_ms if self._warm_up_ms else 1.0
        return min(1.0, self.unconfirmed_trust[uid] + warmed_up)

    def _record_unavailable(self, uid: str, listed: ServerRecord, now: Timestamp) -> None:
        tombstone = self.state.tombstones.get(uid)
        if tombstone is None or (tombstone.started_ms, tombstone.state) != (
            listed.started_ms,
            listed.state,
        ):
            self._set_tombstone(
                uid, Tombstone(listed.started_ms, listed.state, listed.list_version, now)
            )

    def _set_tombstone(self, uid: str, tombstone: Tombstone) -> None:
        """Sets a tombstone and makes it the newest."""
        self.state.tombstones.pop(uid, None)
        self.state.tombstones[uid] = tombstone

    @staticmethod
    def _tombstone_prevails(tombstone: Tombstone, listed: ServerRecord, now: Timestamp) -> bool:
        older = (
            listed.list_version < tombstone.list_version
            and listed.started_ms <= tombstone.started_ms
        )
        return older and age_of(tombstone.recorded_at, now).ms < TOMBSTONE_PRECEDENCE_MS

    def _trim_tombstones(self, now: Timestamp) -> None:
        tombstones = self.state.tombstones
        while len(tombstones) > MAX_TOMBSTONES:
            del tombstones[next(iter(tombstones))]
        while tombstones:
            oldest = next(iter(tombstones))
            age = age_of(tombstones[oldest].recorded_at, now)
            if age.source is AgeSource.NONE or age.ms < MAX_TOMBSTONE_AGE_MS:
                break
            del tombstones[oldest]
