"""Rendezvous hashing and rounding offsets, which all controllers compute alike independently."""

from __future__ import annotations

from hashlib import blake2b
from math import gcd
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .server import Server
    from .slice import Slice

DIGEST_BYTES = 7
DIGEST_RANGE = 1 << 8 * DIGEST_BYTES
# A stride near this fraction of the count keeps the offsets of successive controllers far apart.
GOLDEN_RATIO = 0.618


def rendezvous_hash(slice_: Slice, server: Server) -> float:
    """A hash of a slice and a server in (0, 1], the same at every controller."""
    digest = slice_.hash_prefix.copy()
    digest.update(server.hash_key)
    return (int.from_bytes(digest.digest()) + 1) / DIGEST_RANGE


def rounding_offset(
    server: Server, controller_index: int | None, controller_count: int
) -> float | None:
    """The offset that a controller adds to its share of a server before it rounds down.

    The share is in slices. The offsets of all controllers are a permutation of 0/n to (n - 1)/n for
    n controllers, so that the rounded shares never add up to more than the sum of the shares. None
    if there is one controller or its index is unknown.
    """
    if controller_count == 1 or controller_index is None:
        return None
    stride = next(
        candidate
        for candidate in range(max(1, int(GOLDEN_RATIO * controller_count)), controller_count + 1)
        if gcd(candidate, controller_count) == 1
    )
    # All controllers must use the same `person`: a change has to reach all of them at once.
    digest = blake2b(server.hash_key, digest_size=DIGEST_BYTES, person=b"turn").digest()
    first_position = int.from_bytes(digest)
    return (first_position + stride * controller_index) % controller_count / controller_count
