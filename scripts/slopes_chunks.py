"""How long changed chunks of the client-block map take to reach every entry of a region."""

import random
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.messages import ChunkRequest
from cardamomloft.entry.mapfetching import CHUNK_REQUEST_INTERVAL
from cardamomloft.entry.maps import MapLoader
from slopes_document import make_map
from slopes_fit import Series
from slopes_roles import TARGET

_SIZES = (12, 47, 94, 188)
_QUICK_SIZES = (4, 8, 12, 16)
_SEEDS = (1, 2, 3)
_BLOCKS = 24_000
_STEP = timedelta(milliseconds=25)
_AT_MOST = timedelta(minutes=2)


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield the one series."""
    chunks = {chunk.digest: chunk.data for chunk in make_map(_BLOCKS)[2]}
    changed = dict(list(chunks.items())[: TARGET.blocks_changed])
    seeds = _SEEDS[:1] if quick else _SEEDS
    points = [
        (size, sum(_spread_s(size, seed, changed) for seed in seeds) / len(seeds))
        for size in (_QUICK_SIZES if quick else _SIZES)
    ]
    against = "entries in the region"
    yield Series("chunks.spread", against, "s", tuple(points), "log2", "model run")


def _spread_s(size: int, seed: int, chunks: dict[str, bytes]) -> float:
    """Return the seconds until all have `chunks`, of which only the steward reads the store.

    All know of them at once, each asks at its own phase, and nothing is lost or takes time on its
    way.
    """
    rng = random.Random(seed)
    loaders: dict[str, MapLoader] = {}
    for at in range(size):
        loaders[f"e{at}"] = _loader(rng, chunks)
    for loader in loaders.values():
        loader.configure({"default": "site-0", "chunks": list(chunks)})
    due = {seat: CHUNK_REQUEST_INTERVAL * rng.random() for seat in loaders}
    now = timedelta(0)
    while any(loader.missing for loader in loaders.values()) and now < _AT_MOST:
        for seat, loader in loaders.items():
            if now >= due[seat]:
                due[seat] += CHUNK_REQUEST_INTERVAL
                _ask(loaders, seat, loader)
        now += _STEP
    return now / timedelta(seconds=1)


def _loader(rng: random.Random, chunks: dict[str, bytes]) -> MapLoader:
    loader = MapLoader(rng, lambda digest: loader.add_chunk(digest, chunks[digest]), lambda _: None)
    return loader


def _ask(loaders: dict[str, MapLoader], seat: str, loader: MapLoader) -> None:
    peers = [other for other in loaders if other != seat]
    for target, request in loader.next_requests(peers, from_store=seat == "e0"):
        assert isinstance(request, ChunkRequest)
        for _, reply in loaders[target].on_request(seat, request):
            loader.add_chunk(reply.digest, reply.chunk)
