"""Draws that all controllers agree on without talking: rendezvous hashing and rounding offsets."""

from __future__ import annotations

from hashlib import blake2b
from math import gcd
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .server import Server
    from .slice import Slice

DIGEST_BYTES = 7
DIGEST_RANGE = 1 << 8 * DIGEST_BYTES
# Strides near this part of the circle keep the offsets of successive controllers far apart.
GOLDEN_RATIO = 0.618


def rendezvous_hash(slice_: Slice, server: Server) -> float:
    """A number above 0 and up to 1 for a slice and a server, the same at every controller."""
    digest = slice_.hash_prefix.copy()
    digest.update(server.hash_key)
    return (int.from_bytes(digest.digest()) + 1) / DIGEST_RANGE


def rounding_offset(
    server: Server, controller_index: int | None, controller_count: int
) -> float | None:
    """What a controller adds to its part of a server before it rounds down to whole slices.

    The offsets of a server are 0 to count - 1 over count, a permutation of the controllers, so that
    all parts together, each rounded down, are no more than their sum. None where the controller is
    alone or does not know its index.
    """
    if controller_count == 1 or controller_index is None:
        return None
    stride = next(
        candidate
        for candidate in range(max(1, int(GOLDEN_RATIO * controller_count)), controller_count + 1)
        if gcd(candidate, controller_count) == 1
    )
    # Other controllers hash with the same `person`: a change would need all of them at once.
    digest = blake2b(server.hash_key, digest_size=DIGEST_BYTES, person=b"turn").digest()
    start = int.from_bytes(digest)
    return (start + stride * controller_index) % controller_count / controller_count
