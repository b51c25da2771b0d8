"""Documents and client-block maps of any size, drawn from a seed, for the slopes."""

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
"""Upstream endpoints for each entry in the larger of today's deployments."""

RULES = 200
_BLOCK_LENGTHS = (22, 23, 24, 24, 24, 25, 26)


class Size(t.NamedTuple):
    """What a document is made for."""

    entries: int
    endpoints: int
    rules: int
    regions: int = REGIONS
    zones: int = ZONES
    chunks: int = 0


def full_size(entries: int) -> Size:
    """Return a size in which everything but the rules grows with the entries."""
    return Size(entries, round(entries * ENDPOINTS_PER_ENTRY), RULES)


def make_document(size: Size) -> Document:
    """Return a document of the given size, with loopback addresses."""
    zones = [f"r{at % size.regions}-z{at}" for at in range(max(size.zones, size.regions))]
    names = [f"r{at}" for at in range(size.regions)]
    document = {
        "format": 1,
        "deployment": "slopes",
        "regions": {name: [z for z in zones if z.startswith(f"{name}-")] for name in names},
        "entries": dict(_entry(at, zones) for at in range(size.entries)),
        "services": {name: _service(name, at, size, zones) for at, name in enumerate(SERVICES)},
        "clients": {"default": "site-0", "chunks": [f"{at:064x}" for at in range(size.chunks)]},
        "rules": list(make_rules(size.rules, names)),
        "links": [
            {"origin": one, "target": two, "bytes_per_s": 25_000_000}
            for one, two in itertools.permutations(names, 2)
        ],
    }
    return t.cast(Document, document)


def document_bytes(document: Document) -> int:
    """Return the length of a document as the store keeps it."""
    return len(json.dumps(document, sort_keys=True, separators=(",", ":")))


def _entry(at: int, zones: list[str]) -> tuple[str, dict[str, t.Any]]:
    zone = zones[at % len(zones)]
    host = f"127.2.{at // 250}.{at % 250 + 1}"
    return f"entry-{zone}-{at}", {
        "zone": zone,
        "site": f"site-{at % SITES}",
        "callers": f"{host}:8080",
        "peers": f"{host}:7400",
        "operators": f"{host}:8081",
    }


def _service(name: str, turn: int, size: Size, zones: list[str]) -> dict[str, t.Any]:
    numbers = range(turn, size.endpoints, len(SERVICES))
    upstreams = {
        f"{name}-{at}": {
            "zone": zones[at // len(SERVICES) % len(zones)],
            "address": f"127.2.{100 + at // 250}.{at % 250 + 1}:9000",
            "slots": 4,
            "connections": 360,
        }
        for at in numbers
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
    """Yield rules on paths, headers and blocks, and a last one for the rest of each service."""
    rng = random.Random(count)
    for at in range(max(count - len(SERVICES), 0)):
        service = SERVICES[at % len(SERVICES)]
        when: dict[str, t.Any] = {"service": service}
        if at % 3 == 0:
            when["path"] = f"/{service}/part-{at}"
        elif at % 3 == 1:
            when["headers"] = {"x-shop": f"shop-{at}"}
        else:
            when["block"] = f"10.{at // 250 % 250}.{at % 250}.0/24"
        yield _rule(f"rule-{at}", when, rng.sample(regions, min(3, len(regions))))
    for service in SERVICES:
        yield _rule(f"rest-{service}", {"service": service}, regions)


def _rule(name: str, when: dict[str, t.Any], regions: list[str]) -> dict[str, t.Any]:
    places = [{"region": region, "weight": 1 + at} for at, region in enumerate(regions)]
    return {"name": name, "when": when, "then": {"places": places, "attempts": 2}}


def make_blocks(count: int) -> dict[str, str]:
    """Return `count` client blocks in runs of neighbours, each run mostly at one of the sites."""
    rng = random.Random(count)
    blocks: dict[str, str] = {}
    while len(blocks) < count:
        first = rng.randrange(1 << 16, 224 << 16) << 8
        site = f"site-{rng.randrange(SITES)}"
        for step in range(rng.randrange(1, 9)):
            block = Block(first + (step << 8), 32).within(rng.choice(_BLOCK_LENGTHS))
            other = f"site-{rng.randrange(SITES)}"
            blocks[str(block)] = site if rng.random() < 0.8 else other
    return dict(itertools.islice(blocks.items(), count))


def make_map(count: int) -> tuple[dict[str, str], BlockMap, tuple[Chunk, ...]]:
    """Return blocks, their map, and its chunks."""
    blocks = make_blocks(count)
    built = BlockMap.from_blocks(blocks, "site-0")
    return blocks, built, built.pack()
