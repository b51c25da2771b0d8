"""Lookup, changes and chunks of the client-block map."""

import random
import zlib

import msgspec
import pytest
from cardamomloft.core import chunks as chunks_module
from cardamomloft.core.addresses import Block, format_address, parse_block
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.chunks import digest_of
from hypothesis import given, settings
from hypothesis import strategies as st

SITES = ("north", "south", "east")
DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=150)

# Few distinct octets and all lengths, so that blocks nest, adjoin, repeat and span segments.
lengths = st.one_of(st.integers(0, 32), st.sampled_from((6, 7, 8, 9, 16, 24, 32)))
networks = st.builds(
    lambda octets, length: Block(int.from_bytes(bytes(octets), "big"), 32).supernet(length),
    st.tuples(*[st.sampled_from((0, 1, 2, 128, 254, 255))] * 4),
    lengths,
)
tables = st.dictionaries(networks.map(str), st.sampled_from(SITES), max_size=25)
changes = st.dictionaries(networks.map(str), st.sampled_from((*SITES, "new", None)), max_size=8)


def naive_site(table: dict[str, str], address: int) -> str:
    parsed = map(parse_block, table)
    holding = [block for block in parsed if address & block.netmask == block.network]
    longest = max(holding, key=lambda block: block.length, default=None)
    return "default" if longest is None else table[str(longest)]


def edges(table: dict[str, str]) -> list[int]:
    """Return the first and last address of each block and their neighbors."""
    found = {0, 0xFFFFFFFF}
    for block in map(parse_block, table):
        found |= {block.network - 1, block.network, block.last, block.last + 1}
    return sorted(address for address in found if 0 <= address <= 0xFFFFFFFF)


def assert_serves(block_map: BlockMap, table: dict[str, str]) -> None:
    assert dict(block_map.blocks()) == table
    for address in edges(table):
        assert block_map.site_of(address) == naive_site(table, address)


@DETERMINISTIC
@given(tables, changes)
def test_longest_block_wins_before_and_after_a_change(table, change):
    before = BlockMap.from_blocks(table, "default")
    after = before.replace(change)

    assert_serves(before, table)
    changed = {block: site for block, site in {**table, **change}.items() if site is not None}
    assert_serves(after, changed)


@DETERMINISTIC
@given(tables, tables, st.integers(1, 6))
def test_chunks_load_a_map_and_update_it_to_another(old, new, max_blocks):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(chunks_module, "CHUNK_BLOCKS", max_blocks)
        packed_old = BlockMap.from_blocks(old, "default").pack()
        packed_new = BlockMap.from_blocks(new, "default").pack()
    loaded = BlockMap.from_chunks("default", [chunk.data for chunk in packed_old]).ok
    assert_serves(loaded, old)

    digests = [chunk.digest for chunk in packed_new]
    missing = set(loaded.missing(digests))
    fetched = {chunk.digest: chunk.data for chunk in packed_new if chunk.digest in missing}
    assert_serves(loaded.with_chunks(digests, fetched).ok, new)
    assert_serves(loaded, old)


def large_table(count: int) -> dict[str, str]:
    rng = random.Random(11)
    starts = rng.sample(range(1 << 16, 224 << 16), count)
    return {f"{format_address(start << 8)}/24": rng.choice(SITES) for start in starts}


def test_a_changed_block_changes_one_chunk_and_copies_one_segment():
    table = large_table(3 * chunks_module.CHUNK_BLOCKS)
    block_map = BlockMap.from_blocks(table, "default")
    block = next(iter(table))
    changed = block_map.replace({block: "elsewhere"})

    old = {chunk.digest for chunk in block_map.pack()}
    new = {chunk.digest: chunk.data for chunk in changed.pack()}
    assert len(old) >= 4
    assert len(new.keys() - old) == 1
    assert all(len(data) <= chunks_module.MAX_CHUNK_BYTES for data in new.values())
    pairs = zip(block_map._segments, changed._segments, strict=True)
    assert sum(one is not other for one, other in pairs) == 1


def test_more_sites_than_a_byte_holds():
    table = {f"10.{a}.{b}.0/24": f"site-{a}-{b}" for a in range(3) for b in range(200)}
    block_map = BlockMap.from_blocks(table, "default")
    reloaded = BlockMap.from_chunks("default", [chunk.data for chunk in block_map.pack()]).ok
    grown = BlockMap.from_blocks(dict(list(table.items())[:256]), "default").replace(table)
    for made in (block_map, reloaded, grown):
        assert dict(made.blocks()) == table
        assert all(made.site_of(parse_block(block).last) == site for block, site in table.items())


def packed(first, last, names, rows) -> bytes:
    starts = [row[0] for row in rows]
    steps = [here - before for here, before in zip(starts, [0, *starts], strict=False)]
    columns = (
        b"".join((step & 0xFFFFFFFF).to_bytes(4, "little") for step in steps),
        bytes(row[1] for row in rows),
        b"".join(row[2].to_bytes(2, "little") for row in rows),
    )
    return zlib.compress(msgspec.msgpack.encode((first, last, names, *columns)))


GOOD = packed(0, 1 << 31, ["a"], [(0, 8, 0), (1 << 24, 8, 0)])


@pytest.mark.parametrize(
    "chunk",
    [
        b"",
        b"not compressed",
        GOOD[:-3],
        zlib.compress(b"not msgpack"),
        packed(0, 1 << 31, ["a" * 2 * chunks_module.MAX_CHUNK_BYTES], [(0, 8, 0)]),
        packed(0, 10, ["a"], []),
        packed(0, 10, ["a"], [(1 << 24, 8, 0)]),
        packed(0, 1 << 31, ["a"], [(0, 8, 1)]),
        packed(0, 1 << 31, ["a"], [(0, 40, 0)]),
        packed(0, 1 << 31, ["a"], [(1, 8, 0)]),
        packed(0, 1 << 31, ["a"], [(0, 8, 0), (0, 8, 0)]),
        packed(0, 1 << 31, ["a"], [(0, 9, 0), (0, 8, 0)]),
    ],
)
def test_malformed_chunk_is_reported_and_nothing_is_loaded(chunk):
    assert BlockMap.from_chunks("default", [GOOD]).is_ok()
    mistake = BlockMap.from_chunks("default", [chunk]).error
    assert mistake.path == "clients.chunks.0"


def test_missing_altered_or_overlapping_chunks_are_reported():
    empty = BlockMap("default")
    digest = digest_of(GOOD)
    assert "missing" in empty.with_chunks([digest], {}).error.text
    assert "digest" in empty.with_chunks([digest], {digest: GOOD + b" "}).error.text
    other = packed(5 << 24, 1 << 31, ["a"], [(5 << 24, 8, 0)])
    assert "overlap" in BlockMap.from_chunks("default", [GOOD, other]).error.text


MALFORMED = """10.0.0.0 10.0.0.0/ 10.0.0.0/33 10.0.0.0/08 10.0.0.1/8 010.0.0.0/8
256.0.0.0/8 10.0.0/8 10.0.0.0/\u0668 ::/0 10.0.0.0/-1 x"""


@pytest.mark.parametrize("text", ["", "10.0.0.0/8 ", *MALFORMED.split()])
def test_malformed_blocks_are_rejected(text):
    assert parse_block(text) is None
    with pytest.raises(ValueError, match="must be a block"):
        BlockMap.from_blocks({text: "north"}, "default")
