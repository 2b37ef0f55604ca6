"""Standby endpoints: each slice's table has a second server with a small weight."""

from collections.abc import Sequence

from ..state import HEALTHY, WARMING_UP, Server, Slice
from .load_limits import rendezvous_score

# As a multiple of the primary's weight.
STANDBY_WEIGHT = 0.02


def choose_standby(slice_: Slice, servers: Sequence[Server]) -> None:
    """Adds one usable standby to a slice with a primary, in another zone if possible."""
    primary = slice_.primary()
    if primary is None:
        return
    standbys = [server for server in slice_.desired if server is not primary]
    if len(standbys) == 1 and _is_eligible(standbys[0]):
        return
    eligible = [s for s in servers if _is_eligible(s) and s is not primary and not s.ejected]
    # A fault of the primary may affect its whole zone.
    candidates = [server for server in eligible if server.zone != primary.zone] or eligible
    weight = slice_.desired[primary]
    slice_.desired = {primary: weight}
    if candidates:
        standby = max(candidates, key=lambda server: rendezvous_score(slice_, server))
        slice_.desired[standby] = STANDBY_WEIGHT * weight


def _is_eligible(server: Server) -> bool:
    return server.health == HEALTHY or (server.health == WARMING_UP and server.start_assumed)
