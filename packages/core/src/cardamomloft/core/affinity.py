"""Which endpoint an object belongs to: weighted rendezvous hashing.

Every entry that knows the same endpoints ranks them alike for a key, without a message. When an
endpoint comes or goes only the keys that it gets or had move.
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
# Multipliers and shifts of the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB


class Candidate(t.NamedTuple, t.Generic[T]):
    """One of those to rank: `seed` is the hash of its name, and `weight` above 0."""

    item: T
    seed: int
    weight: float


def text_hash(text: str) -> int:
    """Return 64 bits that are the same for a text in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_BITS // 8).digest())


def unit_hash(key: str, name: str) -> float:
    """Return a number between 0 and 1 (both excluded) that depends on `key` and `name` only."""
    return unit_of(text_hash(key), text_hash(name))


def first_ranked(key: str, candidates: Sequence[Candidate[T]], count: int) -> list[T]:
    """Return the `count` candidates that `key` prefers, in that order.

    Each is first for a part of all keys in proportion to its weight (highest random weight with
    the logarithmic method, Schindelhauer and Schomaker 2005). Mixing two hashes that are known
    takes about a tenth of the time of hashing both texts together.
    """
    hashed, log = text_hash(key), math.log
    scored = [
        (-log(unit_of(hashed, seed)) / weight, seed, place)
        for place, (_, seed, weight) in enumerate(candidates)
    ]
    return [candidates[place].item for _, _, place in heapq.nsmallest(count, scored)]


def unit_of(first: int, second: int) -> float:
    """Return the number of :func:`unit_hash` for two texts whose hashes are known."""
    mixed = first ^ (second * _MIX_1 & _MASK)
    mixed = (mixed ^ mixed >> 30) * _MIX_1 & _MASK
    mixed = (mixed ^ mixed >> 27) * _MIX_2 & _MASK
    return ((mixed ^ mixed >> 31) + 0.5) / _SCALE
