"""The client-block map: the site that serves each IPv4 address, for a million blocks and more.

The map keeps the configured blocks, nested ones included, in flat arrays of seven or eight bytes
per block. Each block records the length of its parent, the smallest block that encloses it. A
lookup finds the last block that starts at or below the address; if that block ends before the
address, the result is one of its ancestors. The arrays are split by first octet, so that a change
copies one segment.
"""

import itertools
import typing as t
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence

from cardamomloft.core.addresses import HOSTMASKS, LAST_ADDRESS, NETMASKS, Block, parse_block
from cardamomloft.core.chunks import (
    Chunk,
    Payload,
    Range,
    Row,
    cut_chunks,
    digest_of,
    overlapping,
    pack_chunk,
    unpack_chunk,
)
from cardamomloft.core.difference import dotted
from cardamomloft.core.document import Mistake
from expression import Error, Ok, Result

_SEGMENT_LENGTH = 8
_SEGMENTS = 1 << _SEGMENT_LENGTH
_LENGTH_BITS = 6
_LENGTH_MASK = (1 << _LENGTH_BITS) - 1
_NO_PARENT = _LENGTH_MASK


class _Segment(t.NamedTuple):
    """The blocks of one first octet, sorted by network, then by length.

    A link holds the block's own length in its low bits and the length of its parent above them.
    """

    starts: "array[int]"
    links: "array[int]"
    sites: "array[int]"

    def rows(self) -> Iterator[Row]:
        lengths = (link & _LENGTH_MASK for link in self.links)
        return zip(self.starts, lengths, self.sites, strict=True)

    def copy(self, typecode: str) -> "_Segment":
        return _Segment(self.starts[:], self.links[:], array(typecode, self.sites))

    def position(self, block: Block) -> tuple[int, bool]:
        """Return the row of `block`, or where to insert it, and whether it exists."""
        index = bisect_left(self.starts, block.network)
        while index < len(self.starts) and self.starts[index] == block.network:
            length = self.links[index] & _LENGTH_MASK
            if length >= block.length:
                return index, length == block.length
            index += 1
        return index, False

    def enclosing_length(self, index: int, block: Block) -> int:
        """Return the length of the smallest block around `block`, searching from row `index`."""
        while index >= 0:
            length = self.links[index] & _LENGTH_MASK
            if length < block.length and not (self.starts[index] ^ block.network) >> (32 - length):
                return length
            index = self.parent(index)
        return _NO_PARENT

    def parent(self, index: int) -> int:
        """Return the row of the parent of the row `index`, or -1."""
        length = self.links[index] >> _LENGTH_BITS
        if length == _NO_PARENT:
            return -1
        return self.position(Block(self.starts[index] & NETMASKS[length], length))[0]

    def insert_block(self, block: Block, site: int) -> None:
        index, found = self.position(block)
        if found:
            self.sites[index] = site
            return
        parent = self.enclosing_length(index - 1, block)
        self._reparent(index, block, old=parent, new=block.length)
        self.starts.insert(index, block.network)
        self.links.insert(index, parent << _LENGTH_BITS | block.length)
        self.sites.insert(index, site)

    def remove_block(self, block: Block) -> None:
        index, found = self.position(block)
        if not found:
            return
        parent = self.links[index] >> _LENGTH_BITS
        del self.starts[index], self.links[index], self.sites[index]
        self._reparent(index, block, old=block.length, new=parent)

    def _reparent(self, index: int, block: Block, *, old: int, new: int) -> None:
        """Change the parent of the blocks inside `block` from length `old` to length `new`."""
        for row in range(index, bisect_right(self.starts, block.last)):
            link = self.links[row]
            if link >> _LENGTH_BITS == old:
                self.links[row] = new << _LENGTH_BITS | link & _LENGTH_MASK


def _build_segment(rows: Iterable[Row], typecode: str) -> _Segment:
    """Build a segment of sorted rows; the stack holds the ends of the enclosing blocks."""
    starts, links, sites = array("I"), array("H"), array(typecode)
    stack = [(LAST_ADDRESS, _NO_PARENT)]
    for network, length, site in rows:
        while network > stack[-1][0]:
            stack.pop()
        starts.append(network)
        links.append(stack[-1][1] << _LENGTH_BITS | length)
        sites.append(site)
        stack.append((network | HOSTMASKS[length], length))
    # Copying by slice drops the spare capacity of the arrays.
    return _Segment(starts[:], links[:], sites[:])


_EMPTY = _build_segment((), "B")


class BlockMap:
    """An immutable map from IPv4 addresses to site names; the longest block wins.

    Build one with :meth:`from_blocks` or :meth:`from_chunks`; :meth:`replace` and
    :meth:`with_chunks` return a new map that shares the unchanged segments.
    """

    def __init__(self, default: str) -> None:
        self._default = default
        self._names: tuple[str, ...] = ()
        self._segments: list[_Segment] = [_EMPTY] * _SEGMENTS
        # Blocks with a prefix too short for one segment, 255 at most.
        self._short_blocks: dict[Block, int] = {}
        self._chunks: dict[str, Range] = {}

    @classmethod
    def from_blocks(cls, blocks: Mapping[str, str], default: str) -> "BlockMap":
        """Build a map of valid blocks.

        Raises
        ------
        ValueError
            If a block is malformed; :func:`block_mistakes` finds these.
        """
        names = tuple(sorted(set(blocks.values())))
        sites = {name: index for index, name in enumerate(names)}
        rows = [(*_checked_block(text), sites[name]) for text, name in blocks.items()]
        new_map = cls(default)
        new_map._names = names
        new_map._load(rows)
        return new_map

    @classmethod
    def from_chunks(cls, default: str, chunks: Sequence[bytes]) -> Result["BlockMap", Mistake]:
        """Build a map of packed chunks, in any order."""
        found = {digest_of(chunk): chunk for chunk in chunks}
        return cls(default).with_chunks(list(found), found)

    @property
    def default(self) -> str:
        """The site of addresses that no block covers."""
        return self._default

    @property
    def sites(self) -> tuple[str, ...]:
        """The names of the sites of all blocks."""
        return self._names

    def __len__(self) -> int:
        return len(self._short_blocks) + sum(len(segment.starts) for segment in self._segments)

    @property
    def nbytes(self) -> int:
        """Size of the arrays in bytes."""
        return sum(
            len(column) * column.itemsize for segment in self._segments for column in segment
        )

    def site_of(self, address: int) -> str:
        """Return the site of the longest block that covers `address`, or the default."""
        segment = self._segments[address >> 24]
        starts, links = segment.starts, segment.links
        index = bisect_right(starts, address) - 1
        while index >= 0:
            link = links[index]
            if not (address ^ starts[index]) >> (32 - (link & _LENGTH_MASK)):
                return self._names[segment.sites[index]]
            if link >> _LENGTH_BITS == _NO_PARENT:
                break
            index = segment.parent(index)
        return self._short_block_site(address) if self._short_blocks else self._default

    def blocks(self) -> Iterator[tuple[str, str]]:
        """Yield each block and the name of its site, in address order."""
        for network, length, site in self._rows():
            yield str(Block(network, length)), self._names[site]

    def replace(self, changes: Mapping[str, str | None]) -> "BlockMap":
        """Return a map with the new site of each block in `changes`; None removes the block.

        Raises
        ------
        ValueError
            If a block is malformed.
        """
        new_map = self._shallow_copy()
        new_map._chunks = {}
        sites = new_map._add_names(name for name in changes.values() if name is not None)
        copied: set[int] = set()
        for text, name in changes.items():
            block = _checked_block(text)
            site = None if name is None else sites[name]
            new_map._apply_change(block, site, copied)
        return new_map

    def missing(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Return those of the chunks that this map was not loaded from."""
        return tuple(digest for digest in digests if digest not in self._chunks)

    def with_chunks(
        self, digests: Sequence[str], chunks: Mapping[str, bytes], *, default: str | None = None
    ) -> Result["BlockMap", Mistake]:
        """Return the map made of `digests`; `chunks` holds at least the missing ones.

        Only the segments whose chunks changed are rebuilt.
        """
        payloads: dict[str, Payload] = {}
        for index, digest in enumerate(digests):
            if digest in self._chunks:
                continue
            payload = unpack_chunk(digest, chunks.get(digest))
            if isinstance(payload, str):
                return Error(Mistake(dotted("clients", "chunks", index), payload))
            payloads[digest] = payload
        new_map = self._shallow_copy()
        new_map._default = self._default if default is None else default
        kept = {digest: self._chunks[digest] for digest in digests if digest in self._chunks}
        loaded = {digest: Range(item.first, item.last) for digest, item in payloads.items()}
        new_map._chunks = kept | loaded
        if overlapping(new_map._chunks.values()):
            return Error(Mistake(dotted("clients", "chunks"), "chunks overlap"))
        new_map._clear(
            [chunk_range for digest, chunk_range in self._chunks.items() if digest not in kept]
        )
        for payload in payloads.values():
            known = new_map._add_names(payload.names)
            new_map._load(list(payload.rows([known[name] for name in payload.names])))
        return Ok(new_map)

    def pack(self) -> tuple[Chunk, ...]:
        """Return the map as chunks.

        The address space is halved recursively until each range has at most
        :data:`~cardamomloft.core.chunks.CHUNK_BLOCKS` blocks. The cuts depend on the blocks alone,
        so that a changed block usually changes only the chunk that contains it.
        """
        rows = list(self._rows())
        starts = array("I", (row[0] for row in rows))
        return tuple(
            pack_chunk(chunk_range, rows[low:high], self._names)
            for chunk_range, low, high in cut_chunks(starts)
        )

    def _rows(self) -> Iterator[Row]:
        short_blocks = sorted((*block, site) for block, site in self._short_blocks.items())
        for octet, segment in enumerate(self._segments):
            # A short block starts at the first address of a segment and sorts before its blocks.
            yield from (row for row in short_blocks if row[0] >> 24 == octet)
            yield from segment.rows()

    def _short_block_site(self, address: int) -> str:
        for length in range(_SEGMENT_LENGTH - 1, -1, -1):
            site = self._short_blocks.get(Block(address & NETMASKS[length], length))
            if site is not None:
                return self._names[site]
        return self._default

    def _shallow_copy(self) -> "BlockMap":
        new_map = BlockMap(self._default)
        new_map._names = self._names
        new_map._segments = list(self._segments)
        new_map._short_blocks = dict(self._short_blocks)
        new_map._chunks = dict(self._chunks)
        return new_map

    def _add_names(self, names: Iterable[str]) -> dict[str, int]:
        sites = {name: index for index, name in enumerate(self._names)}
        for name in names:
            sites.setdefault(name, len(sites))
        self._names = tuple(sites)
        return sites

    def _typecode(self) -> str:
        return "B" if len(self._names) <= 256 else "H"

    def _apply_change(self, block: Block, site: int | None, copied: set[int]) -> None:
        if block.length < _SEGMENT_LENGTH:
            self._short_blocks.pop(block, None)
            if site is not None:
                self._short_blocks[block] = site
            return
        octet = block.network >> 24
        if octet not in copied:
            copied.add(octet)
            self._segments[octet] = self._segments[octet].copy(self._typecode())
        if site is None:
            self._segments[octet].remove_block(block)
        else:
            self._segments[octet].insert_block(block, site)

    def _clear(self, ranges: Iterable[Range]) -> None:
        """Remove every block that starts in `ranges`."""
        for first, last in ranges:
            for block in [block for block in self._short_blocks if first <= block.network <= last]:
                del self._short_blocks[block]
            for octet in range(first >> 24, (last >> 24) + 1):
                rows = self._segments[octet].rows()
                outside = (row for row in rows if not first <= row[0] <= last)
                self._segments[octet] = _build_segment(outside, self._typecode())

    def _load(self, rows: list[Row]) -> None:
        """Add blocks that the map does not contain yet."""
        rows.sort()
        for octet, group in itertools.groupby(rows, key=lambda row: row[0] >> 24):
            segment_rows = []
            for row in group:
                if row[1] < _SEGMENT_LENGTH:
                    self._short_blocks[Block(*row[:2])] = row[2]
                else:
                    segment_rows.append(row)
            if self._segments[octet].starts:
                segment_rows = sorted([*self._segments[octet].rows(), *segment_rows])
            self._segments[octet] = _build_segment(segment_rows, self._typecode())


def block_mistakes(path: Sequence[object], blocks: Mapping[str, str]) -> Iterator[Mistake]:
    """Yield a mistake for each malformed block of the table at `path`.

    Blocks may nest. They cannot overlap otherwise, since each block is written in only one way.
    """
    for text in blocks:
        if parse_block(text) is None:
            yield Mistake(dotted(*path, text), BLOCK_HELP)


BLOCK_HELP = "must be a block like 10.20.0.0/16 with no bits set behind the prefix"


def _checked_block(text: str) -> Block:
    block = parse_block(text)
    if block is None:
        raise ValueError(f"{text}: {BLOCK_HELP}")
    return block
