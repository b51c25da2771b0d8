"""Synthetic configuration documents and client-block maps of any size, with fixed seeds."""

import itertools
import json
import random
import typing as t
from collections.abc import Iterator

from cardamomloft.core.addresses import Block
from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.chunks import Chunk
from cardamomloft.core.document import Document

REGIONS = 8
ZONES = 20
SITES = 160
SERVICES = ("menus", "checkout", "media", "loyalty")
ENDPOINTS_PER_ENTRY = 50 / 12
"""Ratio of upstream endpoints to entries."""

RULES = 200
_BLOCK_LENGTHS = (22, 23, 24, 24, 24, 25, 26)


class Size(t.NamedTuple):
    """Numbers of items in a generated document."""

    entries: int
    endpoints: int
    rules: int
    regions: int = REGIONS
    zones: int = ZONES
    chunks: int = 0


def full_size(entries: int) -> Size:
    """Return a size whose endpoints grow with the entries and whose rules are fixed."""
    return Size(entries, round(entries * ENDPOINTS_PER_ENTRY), RULES)


def make_document(size: Size) -> Document:
    """Return a document of the given size with loopback addresses."""
    zones = [f"r{index % size.regions}-z{index}" for index in range(max(size.zones, size.regions))]
    names = [f"r{index}" for index in range(size.regions)]
    document = {
        "format": 1,
        "deployment": "slopes",
        "regions": {name: [z for z in zones if z.startswith(f"{name}-")] for name in names},
        "entries": dict(_entry(index, zones) for index in range(size.entries)),
        "services": {
            name: _service(name, index, size, zones) for index, name in enumerate(SERVICES)
        },
        "clients": {
            "default": "site-0",
            "chunks": [f"{index:064x}" for index in range(size.chunks)],
        },
        "rules": list(make_rules(size.rules, names)),
        "links": [
            {"origin": one, "target": two, "bytes_per_s": 25_000_000}
            for one, two in itertools.permutations(names, 2)
        ],
    }
    return t.cast(Document, document)


def document_bytes(document: Document) -> int:
    """Return the length of a document in the JSON encoding of the store."""
    return len(json.dumps(document, sort_keys=True, separators=(",", ":")))


def _entry(index: int, zones: list[str]) -> tuple[str, dict[str, t.Any]]:
    zone = zones[index % len(zones)]
    host = f"127.2.{index // 250}.{index % 250 + 1}"
    return f"entry-{zone}-{index}", {
        "zone": zone,
        "site": f"site-{index % SITES}",
        "callers": f"{host}:8080",
        "peers": f"{host}:7400",
        "operators": f"{host}:8081",
    }


def _service(name: str, offset: int, size: Size, zones: list[str]) -> dict[str, t.Any]:
    numbers = range(offset, size.endpoints, len(SERVICES))
    upstreams = {
        f"{name}-{index}": {
            "zone": zones[index // len(SERVICES) % len(zones)],
            "address": f"127.2.{100 + index // 250}.{index % 250 + 1}:9000",
            "slots": 4,
            "connections": 360,
        }
        for index in numbers
    }
    return {
        "prefix": f"/{name}",
        "priority": "normal",
        "deadline_ms": 1500,
        "max_deadline_ms": 5000,
        "shift_cap_percent_per_s": 50,
        "spill_percent": 50,
        "retry_percent": 20,
        "upstreams": upstreams,
    }


def make_rules(count: int, regions: list[str]) -> Iterator[dict[str, t.Any]]:
    """Yield rules on paths, headers and blocks, then a catch-all rule for each service."""
    rng = random.Random(count)
    for index in range(max(count - len(SERVICES), 0)):
        service = SERVICES[index % len(SERVICES)]
        when: dict[str, t.Any] = {"service": service}
        if index % 3 == 0:
            when["path"] = f"/{service}/part-{index}"
        elif index % 3 == 1:
            when["headers"] = {"x-shop": f"shop-{index}"}
        else:
            when["block"] = f"10.{index // 250 % 250}.{index % 250}.0/24"
        yield _rule(f"rule-{index}", when, rng.sample(regions, min(3, len(regions))))
    for service in SERVICES:
        yield _rule(f"rest-{service}", {"service": service}, regions)


def _rule(name: str, when: dict[str, t.Any], regions: list[str]) -> dict[str, t.Any]:
    places = [{"region": region, "weight": 1 + index} for index, region in enumerate(regions)]
    return {"name": name, "when": when, "then": {"places": places, "attempts": 2}}


def make_blocks(count: int) -> dict[str, str]:
    """Return the sites of `count` client blocks; adjacent blocks mostly belong to one site."""
    rng = random.Random(count)
    blocks: dict[str, str] = {}
    while len(blocks) < count:
        first = rng.randrange(1 << 16, 224 << 16) << 8
        site = f"site-{rng.randrange(SITES)}"
        for step in range(rng.randrange(1, 9)):
            block = Block(first + (step << 8), 32).supernet(rng.choice(_BLOCK_LENGTHS))
            other = f"site-{rng.randrange(SITES)}"
            blocks[str(block)] = site if rng.random() < 0.8 else other
    return dict(itertools.islice(blocks.items(), count))


def make_map(count: int) -> tuple[dict[str, str], BlockMap, tuple[Chunk, ...]]:
    """Return client blocks with their sites, the map of them, and its packed chunks."""
    blocks = make_blocks(count)
    built = BlockMap.from_blocks(blocks, "site-0")
    return blocks, built, built.pack()
