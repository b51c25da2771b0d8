"""Compact identifiers of endpoints and cached keys in messages between entries."""

from cardamomloft.core.affinity import text_hash

_BITS = 32
_MASK = (1 << 64) - 1
# Multipliers of the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB

MAX_HASH = (1 << _BITS) - 1


def endpoint_hash(seed: int, started_ms: int) -> int:
    """Return the 32-bit hash of an incarnation of an endpoint, the same in every process.

    Parameters
    ----------
    seed
        The 64-bit hash of the endpoint's id.
    started_ms
        The start of the incarnation, which distinguishes it from others with the same id.
    """
    mixed = seed ^ (started_ms * _MIX_1 & _MASK)
    mixed = (mixed ^ mixed >> 30) * _MIX_2 & _MASK
    return mixed >> _BITS


def key_hash(key: str) -> int:
    """Return the 32-bit hash of an affinity key, the same in every process.

    It is cut from a cryptographic one, as a checksum of a short key could be inverted.
    """
    return text_hash(key) >> _BITS


def pair_of(endpoint: int, key: int) -> int:
    """Return the 64-bit identifier of a key that is cached at an endpoint."""
    return endpoint << _BITS | key


def split_pair(pair: int) -> tuple[int, int]:
    """Return the hashes of the endpoint and of the key of a pair."""
    return pair >> _BITS, pair & MAX_HASH
