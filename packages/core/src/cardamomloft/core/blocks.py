"""The client-block map: which site serves an IPv4 address, for a million blocks and more.

The map keeps the operators' blocks as they are, nested ones included, in flat arrays: seven or
eight bytes a block. Each block records the length of the block around it. A look-up finds the last
block that starts at or below the address; if that one ends too early, the answer can only be one
of the blocks around it. Arrays are cut by the first octet, so that a change copies one part.
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

    A link holds the block's length in its low bits and the length of the block around it above.
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
        """Return where `block` is or belongs, and whether it is there."""
        at = bisect_left(self.starts, block.network)
        while at < len(self.starts) and self.starts[at] == block.network:
            length = self.links[at] & _LENGTH_MASK
            if length >= block.length:
                return at, length == block.length
            at += 1
        return at, False

    def around(self, at: int, block: Block) -> int:
        """Return the length of the closest block around `block`, found from the row `at`."""
        while at >= 0:
            length = self.links[at] & _LENGTH_MASK
            if length < block.length and not (self.starts[at] ^ block.network) >> (32 - length):
                return length
            at = self.parent(at)
        return _NO_PARENT

    def parent(self, at: int) -> int:
        """Return the row of the block around the row `at`, or -1."""
        length = self.links[at] >> _LENGTH_BITS
        if length == _NO_PARENT:
            return -1
        return self.position(Block(self.starts[at] & NETMASKS[length], length))[0]

    def put(self, block: Block, site: int) -> None:
        at, found = self.position(block)
        if found:
            self.sites[at] = site
            return
        parent = self.around(at - 1, block)
        self._adopt(at, block, old=parent, new=block.length)
        self.starts.insert(at, block.network)
        self.links.insert(at, parent << _LENGTH_BITS | block.length)
        self.sites.insert(at, site)

    def remove(self, block: Block) -> None:
        at, found = self.position(block)
        if not found:
            return
        parent = self.links[at] >> _LENGTH_BITS
        del self.starts[at], self.links[at], self.sites[at]
        self._adopt(at, block, old=block.length, new=parent)

    def _adopt(self, at: int, block: Block, *, old: int, new: int) -> None:
        """Give the blocks inside `block` whose parent was `old` the parent `new`."""
        for row in range(at, bisect_right(self.starts, block.last)):
            link = self.links[row]
            if link >> _LENGTH_BITS == old:
                self.links[row] = new << _LENGTH_BITS | link & _LENGTH_MASK


def _build_segment(rows: Iterable[Row], typecode: str) -> _Segment:
    """Build a segment of sorted rows; the stack holds the ends of the blocks around a row."""
    starts, links, sites = array("I"), array("H"), array(typecode)
    stack = [(LAST_ADDRESS, _NO_PARENT)]
    for network, length, site in rows:
        while network > stack[-1][0]:
            stack.pop()
        starts.append(network)
        links.append(stack[-1][1] << _LENGTH_BITS | length)
        sites.append(site)
        stack.append((network | HOSTMASKS[length], length))
    # A slice has no room to grow, and so a large map takes no more than it needs.
    return _Segment(starts[:], links[:], sites[:])


_EMPTY = _build_segment((), "B")


class BlockMap:
    """An immutable map from IPv4 addresses to site names; the longest block wins.

    Build one by :meth:`from_blocks` or :meth:`from_chunks`; :meth:`replace` and
    :meth:`with_chunks` return a new map that shares all that did not change.
    """

    def __init__(self, default: str) -> None:
        self._default = default
        self._names: tuple[str, ...] = ()
        self._segments: list[_Segment] = [_EMPTY] * _SEGMENTS
        # Blocks too short for one segment, 255 at most.
        self._wide: dict[Block, int] = {}
        self._chunks: dict[str, Range] = {}

    @classmethod
    def from_blocks(cls, blocks: Mapping[str, str], default: str) -> "BlockMap":
        """Build a map of checked blocks.

        Raises
        ------
        ValueError
            If a block is malformed; :func:`block_mistakes` tells before.
        """
        names = tuple(sorted(set(blocks.values())))
        sites = {name: at for at, name in enumerate(names)}
        rows = [(*_checked_block(text), sites[name]) for text, name in blocks.items()]
        made = cls(default)
        made._names = names
        made._load(rows)
        return made

    @classmethod
    def from_chunks(cls, default: str, chunks: Sequence[bytes]) -> Result["BlockMap", Mistake]:
        """Build a map of packed chunks, in any order."""
        found = {digest_of(chunk): chunk for chunk in chunks}
        return cls(default).with_chunks(list(found), found)

    @property
    def default(self) -> str:
        """The site of addresses in no block."""
        return self._default

    @property
    def sites(self) -> tuple[str, ...]:
        """The names of the sites that blocks lead to."""
        return self._names

    def __len__(self) -> int:
        return len(self._wide) + sum(len(segment.starts) for segment in self._segments)

    @property
    def nbytes(self) -> int:
        """The bytes that the arrays take."""
        return sum(
            len(column) * column.itemsize for segment in self._segments for column in segment
        )

    def site_of(self, address: int) -> str:
        """Return the site of the longest block that holds `address`, or the default."""
        segment = self._segments[address >> 24]
        starts, links = segment.starts, segment.links
        at = bisect_right(starts, address) - 1
        while at >= 0:
            link = links[at]
            if not (address ^ starts[at]) >> (32 - (link & _LENGTH_MASK)):
                return self._names[segment.sites[at]]
            if link >> _LENGTH_BITS == _NO_PARENT:
                break
            at = segment.parent(at)
        return self._wide_site(address) if self._wide else self._default

    def blocks(self) -> Iterator[tuple[str, str]]:
        """Yield each block and its site's name, in the order of addresses."""
        for network, length, site in self._rows():
            yield str(Block(network, length)), self._names[site]

    def replace(self, changes: Mapping[str, str | None]) -> "BlockMap":
        """Return a map in which each block of `changes` has its new site, or is gone for None.

        Raises
        ------
        ValueError
            If a block is malformed.
        """
        made = self._sharing()
        made._chunks = {}
        sites = made._add_names(name for name in changes.values() if name is not None)
        copied: set[int] = set()
        for text, name in changes.items():
            block = _checked_block(text)
            site = None if name is None else sites[name]
            made._change(block, site, copied)
        return made

    def missing(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Return those of the chunks that this map was not loaded from."""
        return tuple(digest for digest in digests if digest not in self._chunks)

    def with_chunks(
        self, digests: Sequence[str], chunks: Mapping[str, bytes], *, default: str | None = None
    ) -> Result["BlockMap", Mistake]:
        """Return the map that `digests` name; `chunks` holds at least the missing ones.

        Only the parts whose chunks changed are loaded anew.
        """
        payloads: dict[str, Payload] = {}
        for at, digest in enumerate(digests):
            if digest in self._chunks:
                continue
            payload = unpack_chunk(digest, chunks.get(digest))
            if isinstance(payload, str):
                return Error(Mistake(dotted("clients", "chunks", at), payload))
            payloads[digest] = payload
        made = self._sharing()
        made._default = self._default if default is None else default
        kept = {digest: self._chunks[digest] for digest in digests if digest in self._chunks}
        loaded = {digest: Range(item.first, item.last) for digest, item in payloads.items()}
        made._chunks = kept | loaded
        if overlapping(made._chunks.values()):
            return Error(Mistake(dotted("clients", "chunks"), "chunks overlap"))
        made._clear([span for digest, span in self._chunks.items() if digest not in kept])
        for payload in payloads.values():
            known = made._add_names(payload.names)
            made._load(list(payload.rows([known[name] for name in payload.names])))
        return Ok(made)

    def pack(self) -> tuple[Chunk, ...]:
        """Return the map as chunks.

        The address space is halved until a part has at most
        :data:`~cardamomloft.core.chunks.CHUNK_BLOCKS` blocks, so the cuts depend on the blocks
        alone and a changed block changes the chunk it is in.
        """
        rows = list(self._rows())
        starts = array("I", (row[0] for row in rows))
        return tuple(
            pack_chunk(span, rows[low:high], self._names) for span, low, high in cut_chunks(starts)
        )

    def _rows(self) -> Iterator[Row]:
        wide = sorted((*block, site) for block, site in self._wide.items())
        for octet, segment in enumerate(self._segments):
            # A short block starts where its segment does and sorts before the longer ones.
            yield from (row for row in wide if row[0] >> 24 == octet)
            yield from segment.rows()

    def _wide_site(self, address: int) -> str:
        for length in range(_SEGMENT_LENGTH - 1, -1, -1):
            site = self._wide.get(Block(address & NETMASKS[length], length))
            if site is not None:
                return self._names[site]
        return self._default

    def _sharing(self) -> "BlockMap":
        made = BlockMap(self._default)
        made._names = self._names
        made._segments = list(self._segments)
        made._wide = dict(self._wide)
        made._chunks = dict(self._chunks)
        return made

    def _add_names(self, names: Iterable[str]) -> dict[str, int]:
        sites = {name: at for at, name in enumerate(self._names)}
        for name in names:
            sites.setdefault(name, len(sites))
        self._names = tuple(sites)
        return sites

    def _typecode(self) -> str:
        return "B" if len(self._names) <= 256 else "H"

    def _change(self, block: Block, site: int | None, copied: set[int]) -> None:
        if block.length < _SEGMENT_LENGTH:
            self._wide.pop(block, None)
            if site is not None:
                self._wide[block] = site
            return
        octet = block.network >> 24
        if octet not in copied:
            copied.add(octet)
            self._segments[octet] = self._segments[octet].copy(self._typecode())
        if site is None:
            self._segments[octet].remove(block)
        else:
            self._segments[octet].put(block, site)

    def _clear(self, spans: Iterable[Range]) -> None:
        """Drop every block that starts in `spans`."""
        for first, last in spans:
            for block in [block for block in self._wide if first <= block.network <= last]:
                del self._wide[block]
            for octet in range(first >> 24, (last >> 24) + 1):
                rows = self._segments[octet].rows()
                outside = (row for row in rows if not first <= row[0] <= last)
                self._segments[octet] = _build_segment(outside, self._typecode())

    def _load(self, rows: list[Row]) -> None:
        """Add blocks that the map does not have yet."""
        rows.sort()
        for octet, group in itertools.groupby(rows, key=lambda row: row[0] >> 24):
            narrow = []
            for row in group:
                if row[1] < _SEGMENT_LENGTH:
                    self._wide[Block(*row[:2])] = row[2]
                else:
                    narrow.append(row)
            if self._segments[octet].starts:
                narrow = sorted([*self._segments[octet].rows(), *narrow])
            self._segments[octet] = _build_segment(narrow, self._typecode())


def block_mistakes(path: Sequence[object], blocks: Mapping[str, str]) -> Iterator[Mistake]:
    """Yield a mistake for each malformed block of the table at `path`.

    Blocks may nest, and the longest wins; as there is one way to write a block, no two can
    overlap otherwise.
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
