"""Chunks: the packed form in which the client-block map is stored and transferred.

A chunk holds every block that starts in a range of addresses. It is accepted only if its bytes
match its digest and its contents are consistent.
"""

import hashlib
import itertools
import operator
import sys
import typing as t
import zlib
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence

import msgspec
from cardamomloft.core.addresses import HOSTMASKS, LAST_ADDRESS

CHUNK_BLOCKS = 8192
"""Maximum number of blocks in one packed chunk, which is then below 100 kB before compression."""

MAX_CHUNK_BYTES = 1_000_000
"""Maximum size of a chunk, packed or unpacked."""

Row = tuple[int, int, int]
"""Network, length and site of one block."""


class Chunk(t.NamedTuple):
    """A section of a packed map and the hexadecimal SHA-256 digest that identifies it."""

    digest: str
    data: bytes


class Range(t.NamedTuple):
    """The addresses from `first` to `last`, both included."""

    first: int
    last: int


class Payload(t.NamedTuple):
    """A chunk before compression: every block that starts in `first` to `last`.

    The arrays are little-endian: `steps` has the 32-bit differences between successive network
    addresses, `lengths` the 8-bit prefix lengths, and `sites` 16-bit indices into `names`.
    """

    first: int
    last: int
    names: list[str]
    steps: bytes
    lengths: bytes
    sites: bytes

    def rows(self, sites: Sequence[int]) -> Iterator[Row]:
        """Yield the blocks; `sites` maps each index into `names` to the map's site index."""
        networks = itertools.accumulate(_from_bytes("I", self.steps))
        indices = map(sites.__getitem__, _from_bytes("H", self.sites))
        return zip(networks, self.lengths, indices, strict=True)


def digest_of(data: bytes) -> str:
    """Return the hexadecimal SHA-256 digest that identifies a chunk."""
    return hashlib.sha256(data).hexdigest()


def cut_chunks(starts: "array[int]") -> Iterator[tuple[Range, int, int]]:
    """Yield each chunk's range of addresses and the slice bounds of its blocks in `starts`."""
    todo = [(0, LAST_ADDRESS, 0, len(starts))]
    while todo:
        first, last, low, high = todo.pop()
        if high - low > CHUNK_BLOCKS and first < last:
            half = first + (last - first) // 2
            cut = bisect_right(starts, half, low, high)
            todo += [(half + 1, last, cut, high), (first, half, low, cut)]
        elif high > low:
            yield Range(first, last), low, high


def overlapping(spans: Iterable[Range]) -> bool:
    """Return whether two of the ranges share an address."""
    ordered = sorted(spans)
    return any(after.first <= before.last for before, after in itertools.pairwise(ordered))


def pack_chunk(span: Range, rows: Sequence[Row], names: Sequence[str]) -> Chunk:
    """Pack the sorted rows that start in `span`; `names` holds the site names of the map."""
    networks, lengths, sites = zip(*rows, strict=True)
    used = sorted(set(sites), key=names.__getitem__)
    local = {site: at for at, site in enumerate(used)}
    steps = map(operator.sub, networks, (0, *networks[:-1]))
    payload = Payload(
        span.first,
        span.last,
        [names[site] for site in used],
        _to_bytes("I", steps),
        _to_bytes("B", lengths),
        _to_bytes("H", [local[site] for site in sites]),
    )
    data = zlib.compress(msgspec.msgpack.encode(payload), 9)
    return Chunk(digest_of(data), data)


def unpack_chunk(digest: str, data: bytes | None) -> Payload | str:
    """Return a chunk's validated payload, or an error message."""
    if data is None:
        return f"chunk {digest} is missing"
    if digest_of(data) != digest:
        return f"chunk {digest} does not match its digest"
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(data, MAX_CHUNK_BYTES)
        payload = msgspec.msgpack.decode(raw, type=Payload)
    except (zlib.error, msgspec.DecodeError) as exc:
        return f"chunk {digest} cannot be decoded: {exc}"
    if not inflate.eof or not _consistent(payload):
        return f"chunk {digest} is truncated or has inconsistent contents"
    return payload


def _consistent(payload: Payload) -> bool:
    count = len(payload.lengths)
    if not count or len(payload.steps) != 4 * count or len(payload.sites) != 2 * count:
        return False
    if max(payload.lengths) > 32:
        return False
    if max(_from_bytes("H", payload.sites)) >= len(payload.names):
        return False
    networks = list(itertools.accumulate(_from_bytes("I", payload.steps)))
    if not 0 <= payload.first <= networks[0] <= networks[-1] <= payload.last <= LAST_ADDRESS:
        return False
    hosts = map(HOSTMASKS.__getitem__, payload.lengths)
    if any(map(operator.and_, networks, hosts)):
        return False
    # Steps are unsigned, so only blocks with the same network address can be out of order.
    pairs = zip(networks, payload.lengths, strict=True)
    return all(one < other for one, other in itertools.pairwise(pairs))


def _to_bytes(typecode: str, values: Iterable[int]) -> bytes:
    column = array(typecode, values)
    if sys.byteorder == "big":
        column.byteswap()
    return column.tobytes()


def _from_bytes(typecode: str, data: bytes) -> "array[int]":
    column = array(typecode)
    column.frombytes(data)
    if sys.byteorder == "big":
        column.byteswap()
    return column
