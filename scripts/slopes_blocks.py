"""Costs of the client-block map, by the number of blocks and by the number of changed blocks."""

import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing as t
from collections.abc import Iterator, Sequence

from cardamomloft.core.addresses import parse_block
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.chunks import Chunk, digest_of
from slopes_document import SITES, make_map
from slopes_fit import Series, cpu_ms

_SIZES = (150_000, 300_000, 600_000, 1_200_000)
_QUICK_SIZES = (1_000, 2_000, 4_000, 8_000)
_CHANGED_BLOCKS = (1, 10, 30, 100)
_LOOKUPS = 50_000
_CHILD_TIMEOUT_S = 120.0
_UNITS = {
    "memory": "bytes",
    "look_up": "us",
    "chunks": "chunks",
    "packed": "bytes",
    "largest_chunk": "bytes",
    "load": "ms",
    "load_rss": "bytes",
    "load_peak": "bytes",
    "stepwise_load": "ms",
    "stepwise_rss": "bytes",
    "stepwise_peak": "bytes",
}


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of the client-block map."""
    found: dict[str, list[tuple[float, float]]] = {name: [] for name in _UNITS}
    for size in _QUICK_SIZES if quick else _SIZES:
        blocks, built, chunks = make_map(size)
        for name, value in _one_size(blocks, built, chunks).items():
            found[name].append((size, value))
    for name, unit in _UNITS.items():
        scale = "log2" if name == "look_up" else "linear"
        yield Series(f"map.{name}", "blocks", unit, tuple(found[name]), scale)
    yield from _changes(blocks, built, chunks)


def _one_size(blocks: dict[str, str], built: BlockMap, chunks: Sequence[Chunk]) -> dict[str, float]:
    rng = random.Random(len(blocks))
    addresses = [parse_block(text).network + 1 for text in rng.choices(list(blocks), k=_LOOKUPS)]

    def look_up() -> None:
        for address in addresses:
            built.site_of(address)

    data = [chunk.data for chunk in chunks]
    bulk, stepwise = _load_in_child(data, "at-once"), _load_in_child(data, "stepwise")
    return {
        "memory": built.nbytes,
        "look_up": cpu_ms(look_up) / _LOOKUPS * 1000,
        "chunks": len(chunks),
        "packed": sum(map(len, data)),
        "largest_chunk": max(map(len, data)),
        "load": bulk.cpu_ms,
        "load_rss": bulk.rss_growth,
        "load_peak": bulk.peak_growth,
        "stepwise_load": stepwise.cpu_ms,
        "stepwise_rss": stepwise.rss_growth,
        "stepwise_peak": stepwise.peak_growth,
    }


class _Load(t.NamedTuple):
    """Cost of loading a map; growth of resident memory and of its peak in bytes."""

    cpu_ms: float
    rss_growth: int
    peak_growth: int


def _load_in_child(chunks: Sequence[bytes], method: str) -> _Load:
    """Load the chunks in a fresh process and return the cost."""
    with tempfile.TemporaryDirectory() as folder:
        for index, chunk in enumerate(chunks):
            pathlib.Path(folder, str(index)).write_bytes(chunk)
        done = subprocess.run(
            [sys.executable, __file__, folder, method],
            capture_output=True,
            check=True,
            timeout=_CHILD_TIMEOUT_S,
            stdin=subprocess.DEVNULL,
        )
    return _Load(*json.loads(done.stdout))


def _memory(field: str) -> int:
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024
    raise AssertionError(f"no {field} in the process's status")


def _child(folder: str, method: str) -> None:
    files = sorted(pathlib.Path(folder).iterdir(), key=lambda path: int(path.name))
    chunks = [path.read_bytes() for path in files]
    before, start = _memory("VmRSS"), time.process_time()
    loaded = _load_bulk(chunks) if method == "at-once" else _load_stepwise(chunks)
    spent = 1000 * (time.process_time() - start)
    del chunks
    print(json.dumps([spent, _memory("VmRSS") - before, _memory("VmHWM") - before]))
    assert len(loaded) > 0


def _load_bulk(chunks: Sequence[bytes]) -> BlockMap:
    return BlockMap.from_chunks("site-0", chunks).ok


def _load_stepwise(chunks: Sequence[bytes]) -> BlockMap:
    """Load one chunk at a time, as an entry does while it serves."""
    loaded, digests = BlockMap("site-0"), []
    for chunk in chunks:
        digests.append(digest_of(chunk))
        loaded = loaded.with_chunks(digests, {digests[-1]: chunk}).ok
    return loaded


def _changes(blocks: dict[str, str], built: BlockMap, chunks: Sequence[Chunk]) -> Iterator[Series]:
    """Yield the cost of changing a few blocks of the largest map."""
    rng = random.Random(1)
    loaded = BlockMap.from_chunks("site-0", [chunk.data for chunk in chunks]).ok
    known = {chunk.digest for chunk in chunks}
    bytes_, load_ms, pack_ms = [], [], []
    for count in _CHANGED_BLOCKS:
        moved = {text: f"site-{rng.randrange(SITES)}" for text in rng.sample(list(blocks), count)}
        changed = built.replace(moved)
        start = time.process_time()
        packed = changed.pack()
        pack_ms.append((count, 1000 * (time.process_time() - start)))
        fresh = {chunk.digest: chunk.data for chunk in packed if chunk.digest not in known}
        digests = [chunk.digest for chunk in packed]
        bytes_.append((count, sum(map(len, fresh.values()))))
        load_ms.append(
            (count, cpu_ms(lambda d=digests, f=fresh: loaded.with_chunks(d, f), repeat=1))
        )
    against = f"changed blocks of {len(blocks)}"
    yield Series("map.change_bytes", against, "bytes", tuple(bytes_))
    yield Series("map.change_load", against, "ms", tuple(load_ms))
    yield Series("map.change_pack", against, "ms", tuple(pack_ms))


if __name__ == "__main__":
    _child(*sys.argv[1:])
