"""Slopes of the membership: its work against the roster, and what digests let an entry know."""

import json
import random
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.document import Document
from cardamomloft.core.limits import limits_of
from cardamomloft.core.membership import Membership, VmRow
from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Incarnation
from cardamomloft.entry import gossip
from cardamomloft.entry.lookups import ENTRIES_PER_LOOKUP as LOOKUP_ENTRIES
from cardamomloft.store.vms import parse_vms
from slopes_document import SITES, Size, full_size, make_document
from slopes_fit import Series, cpu_ms, held_bytes

_SIZES = (100, 200, 400, 800, 1500)
_QUICK_SIZES = (25, 50, 100, 200)
_KNOWN_SIZES = (64, 128, 256, 512)
_QUICK_KNOWN_SIZES = (32, 64, 96, 128)
_KNOWN_SECONDS = 60
_QUICK_KNOWN_SECONDS = 10
_ASKED = 10
_TARGET_CALLS = 20
_DIGEST = Digest(1, 1, "ready", "p" * 60, 10_000_000)


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield every series of the membership."""
    yield from _work(_QUICK_SIZES if quick else _SIZES)
    seconds = _QUICK_KNOWN_SECONDS if quick else _KNOWN_SECONDS
    yield from _known(_QUICK_KNOWN_SIZES if quick else _KNOWN_SIZES, seconds)


def _work(sizes: tuple[int, ...]) -> Iterator[Series]:
    found: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for entries in sizes:
        document = make_document(Size(entries, 8, 4))
        for key, value in _one_size(document).items():
            found.setdefault(key, []).append((entries, value))
    for (name, unit), points in found.items():
        yield Series(f"members.{name}", "entries", unit, tuple(points))


def _one_size(document: Document) -> dict[tuple[str, str], float]:
    seats = list(document["entries"])
    clock = ManualClock()
    rng = random.Random(len(seats))
    members = _full(document, clock)
    rows = [VmRow(seat, "live", datetime(2026, 1, 1, tzinfo=UTC)) for seat in seats]
    listed = json.dumps(
        [{"name": row.name, "state": row.state, "at": row.at.isoformat()} for row in rows]
    ).encode()
    sender = Incarnation(seats[-1], "1")

    def all_sites() -> None:
        clock.advance(timedelta(seconds=1))
        members.on_digest(sender, _DIGEST)
        for site in range(SITES):
            members.entries_for(f"site-{site}", LOOKUP_ENTRIES)

    return {
        ("configure", "ms"): cpu_ms(lambda: members.configure(document)),
        ("targets", "us"): 1000
        * cpu_ms(lambda: members.gossip_targets(rng, gossip.DIGEST_FANOUT), loops=_TARGET_CALLS),
        ("on_vms", "ms"): cpu_ms(lambda: members.on_vm_list(rows)),
        ("parse_vms", "ms"): cpu_ms(lambda: parse_vms(listed)),
        ("look_up_groups", "ms"): cpu_ms(all_sites),
        ("memory", "bytes"): held_bytes(lambda: _full(document, clock)),
    }


def _full(document: Document, clock: ManualClock) -> Membership:
    """Return a membership that has heard of everyone."""
    seats = list(document["entries"])
    members = Membership(Incarnation(seats[0], "1"), clock)
    members.configure(document)
    for seat in seats[1:]:
        members.on_digest(Incarnation(seat, "1"), _DIGEST)
    return members


def _known(sizes: tuple[int, ...], seconds: int) -> Iterator[Series]:
    usable, near = [], []
    for entries in sizes:
        document = make_document(full_size(entries))
        members = _gossiped(document, seconds)
        asked = members[:: max(1, entries // _ASKED)]
        seats = list(document["entries"])
        counts = [sum(one.revision_of(seat) is not None for seat in seats) for one in asked]
        usable.append((entries, sum(counts) / len(counts)))
        near.append((entries, 100 * _named_near(document, asked)))
    model = "model run"
    yield Series("members.heard_of", "entries", "entries", tuple(usable), "log2", model)
    yield Series("members.named_in_region", "entries", "%", tuple(near), source=model)


def _gossiped(document: Document, seconds: int) -> list[Membership]:
    """Let every entry of a fleet send its digests for some seconds without loss."""
    clock, rng = ManualClock(), random.Random(len(document["entries"]))
    names = {seat: Incarnation(seat, "1") for seat in document["entries"]}
    members = {seat: Membership(name, clock) for seat, name in names.items()}
    partners = _partners(document)
    for seat, one in members.items():
        one.configure(document, partners[seat])
    for _ in range(seconds):
        clock.advance(timedelta(seconds=1))
        for seat, one in members.items():
            one.set_own_digest(_DIGEST)
            for target in one.gossip_targets(rng, gossip.DIGEST_FANOUT):
                members[target].on_digest(names[seat], _DIGEST)
    return list(members.values())


def _partners(document: Document) -> dict[str, set[str]]:
    """Return the seats that share a limit with each seat."""
    found: dict[str, set[str]] = {seat: set() for seat in document["entries"]}
    for limit in limits_of(document).values():
        for seat in limit.holders:
            found[seat].update(limit.holders)
    return found


def _named_near(document: Document, asked: list[Membership]) -> float:
    """Return the part of look-ups whose first entry is in the region of the client's site."""
    region_of = {zone: name for name, zones in document["regions"].items() for zone in zones}
    rows = document["entries"]
    homes: dict[str, set[str]] = {}
    for row in rows.values():
        homes.setdefault(row["site"], set()).add(region_of[row["zone"]])
    hits = [
        region_of[rows[one.entries_for(site, LOOKUP_ENTRIES)[0]]["zone"]] in regions
        for one in asked
        for site, regions in homes.items()
    ]
    return sum(hits) / len(hits)
