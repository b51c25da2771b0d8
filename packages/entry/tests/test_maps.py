"""The client-block map by chunks: lost, forged and late ones, and what a change fetches."""

import random

import pytest
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.messages import ChunkRequest
from cardamomloft.entry.maps import MapLoader

BLOCKS = {f"10.{a}.{b}.0/24": f"site-{b % 5}" for a in range(40) for b in range(250)}
ADDRESS = 10 << 24 | 3 << 16 | 7 << 8 | 1


def chunks_of(blocks):
    return {chunk.digest: chunk.data for chunk in BlockMap.from_blocks(blocks, "d").pack()}


@pytest.fixture
def loader():
    return MapLoader(random.Random(1), lambda digest: None, lambda blocks: None)


def load(loader, chunks):
    """Ask peers until nothing is missing; return how many chunks were taken."""
    taken = 0
    while loader.missing:
        for _, request in loader.next_requests(["e2"], from_store=False):
            assert isinstance(request, ChunkRequest)
            loader.add_chunk(request.digest, chunks[request.digest])
            taken += 1
    return taken


def test_a_changed_block_fetches_its_chunk_only(loader):
    old = chunks_of(BLOCKS)
    loader.configure({"default": "d", "chunks": list(old)})
    assert load(loader, old) == len(old) > 1
    assert loader.map.site_of(ADDRESS) == "site-2"
    new = chunks_of({**BLOCKS, "10.3.7.0/24": "site-new"})
    loader.configure({"default": "d", "chunks": list(new)})
    assert load(loader, new) == 1
    assert loader.map.site_of(ADDRESS) == "site-new"


def test_forged_and_unwanted_chunks_are_dropped_and_lost_ones_asked_for_again(loader):
    chunks = chunks_of(BLOCKS)
    loader.configure({"default": "d", "chunks": list(chunks)})
    first = next(iter(chunks))
    loader.add_chunk(first, b"forged")
    loader.add_chunk("0" * 64, chunks[first])
    assert len(loader.missing) == len(chunks) and loader.map.site_of(ADDRESS) == "d"
    assert loader.next_requests(["e2"], from_store=False)
    assert load(loader, chunks) == len(chunks)


def test_a_chunk_that_is_here_is_passed_on_and_no_other(loader):
    chunks = chunks_of(BLOCKS)
    loader.configure({"default": "d", "chunks": list(chunks)})
    first = next(iter(chunks))
    assert loader.on_request("e2", ChunkRequest(first)) == []
    loader.add_chunk(first, chunks[first])
    ((seat, reply),) = loader.on_request("e2", ChunkRequest(first))
    assert (seat, reply.digest, reply.chunk) == ("e2", first, chunks[first])
