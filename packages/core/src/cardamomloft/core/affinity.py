"""Weighted rendezvous hashing, which maps affinity keys to endpoints.

Entries that know the same endpoints rank them identically for a key, without coordination. When an
endpoint joins or leaves, only the keys that it gains or loses move.
"""

import heapq
import math
import typing as t
from collections.abc import Sequence
from hashlib import blake2b

T = t.TypeVar("T")

_BITS = 64
_MASK = (1 << _BITS) - 1
_SCALE = float(1 << _BITS)
# Multipliers of the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB


class Candidate(t.NamedTuple, t.Generic[T]):
    """An item to rank; `seed` is the hash of its name, and `weight` is positive."""

    item: T
    seed: int
    weight: float


def text_hash(text: str) -> int:
    """Return a 64-bit hash of `text` that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_BITS // 8).digest())


def unit_hash(key: str, name: str) -> float:
    """Return a hash of `key` and `name` between 0 and 1 (both excluded)."""
    return unit_of(text_hash(key), text_hash(name))


def first_ranked(key: str, candidates: Sequence[Candidate[T]], count: int) -> list[T]:
    """Return the `count` highest-ranked candidates for `key`, best first.

    Each candidate ranks first for a fraction of all keys that is proportional to its weight
    (highest random weight with the logarithmic method, Schindelhauer and Schomaker 2005). Mixing
    two precomputed hashes is much cheaper than hashing both texts together.
    """
    hashed, log = text_hash(key), math.log
    scored = [
        (-log(unit_of(hashed, seed)) / weight, seed, place)
        for place, (_, seed, weight) in enumerate(candidates)
    ]
    return [candidates[place].item for _, _, place in heapq.nsmallest(count, scored)]


def unit_of(first: int, second: int) -> float:
    """Return what :func:`unit_hash` returns for two texts with these hashes."""
    mixed = first ^ (second * _MIX_1 & _MASK)
    mixed = (mixed ^ mixed >> 30) * _MIX_1 & _MASK
    mixed = (mixed ^ mixed >> 27) * _MIX_2 & _MASK
    return ((mixed ^ mixed >> 31) + 0.5) / _SCALE
