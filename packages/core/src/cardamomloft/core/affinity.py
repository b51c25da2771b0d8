"""Which endpoint an object belongs to: weighted rendezvous hashing.

Every entry that knows the same endpoints ranks them alike for a key, without a message. When an
endpoint comes or goes only the keys that it gets or had move.
"""

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import TypeVar

T = TypeVar("T")

_BITS = 64
_SCALE = float(1 << _BITS)


def unit_hash(key: str, name: str) -> float:
    """Return a number between 0 and 1 (both excluded) that depends on `key` and `name` only."""
    digest = blake2b(f"{key}\n{name}".encode(), digest_size=_BITS // 8).digest()
    return (int.from_bytes(digest) + 0.5) / _SCALE


def ranked(
    key: str, candidates: Sequence[T], name: Callable[[T], str], weight: Callable[[T], float]
) -> list[T]:
    """Return `candidates` in the order in which `key` prefers them.

    Each is first for a part of all keys in proportion to its weight (highest random weight with
    the logarithmic method, Schindelhauer and Schomaker 2005). Those of weight 0 are left out.
    """
    scored = [
        (-math.log(unit_hash(key, name(candidate))) / weight(candidate), name(candidate), candidate)
        for candidate in candidates
        if weight(candidate) > 0
    ]
    scored.sort(key=lambda row: row[:2])
    return [candidate for _, _, candidate in scored]
