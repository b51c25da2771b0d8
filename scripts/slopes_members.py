"""Costs of the membership by roster size, and how many entries gossip makes known."""

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
from slopes_fit import Series, cpu_ms, retained_bytes

_SIZES = (100, 200, 400, 800, 1500)
_QUICK_SIZES = (25, 50, 100, 200)
_GOSSIP_SIZES = (64, 128, 256, 512)
_QUICK_GOSSIP_SIZES = (32, 64, 96, 128)
_GOSSIP_SECONDS = 60
_QUICK_GOSSIP_SECONDS = 10
_SAMPLES = 10
_TARGET_CALLS = 20
_DIGEST = Digest(1, 1, "ready", "p" * 60, 10_000_000)


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of the membership."""
    yield from _costs(_QUICK_SIZES if quick else _SIZES)
    seconds = _QUICK_GOSSIP_SECONDS if quick else _GOSSIP_SECONDS
    yield from _knowledge(_QUICK_GOSSIP_SIZES if quick else _GOSSIP_SIZES, seconds)


def _costs(sizes: tuple[int, ...]) -> Iterator[Series]:
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
    members = _full_membership(document, clock)
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
        ("memory", "bytes"): retained_bytes(lambda: _full_membership(document, clock)),
    }


def _full_membership(document: Document, clock: ManualClock) -> Membership:
    """Return a membership that has received a digest from every other entry."""
    seats = list(document["entries"])
    members = Membership(Incarnation(seats[0], "1"), clock)
    members.configure(document)
    for seat in seats[1:]:
        members.on_digest(Incarnation(seat, "1"), _DIGEST)
    return members


def _knowledge(sizes: tuple[int, ...], seconds: int) -> Iterator[Series]:
    known, in_region = [], []
    for entries in sizes:
        document = make_document(full_size(entries))
        members = _run_gossip(document, seconds)
        sampled = members[:: max(1, entries // _SAMPLES)]
        seats = list(document["entries"])
        counts = [sum(member.revision_of(seat) is not None for seat in seats) for member in sampled]
        known.append((entries, sum(counts) / len(counts)))
        in_region.append((entries, 100 * _fraction_in_region(document, sampled)))
    model = "model run"
    yield Series("members.heard_of", "entries", "entries", tuple(known), "log2", model)
    yield Series("members.named_in_region", "entries", "%", tuple(in_region), source=model)


def _run_gossip(document: Document, seconds: int) -> list[Membership]:
    """Simulate gossip among all entries without loss; return their memberships."""
    clock, rng = ManualClock(), random.Random(len(document["entries"]))
    names = {seat: Incarnation(seat, "1") for seat in document["entries"]}
    members = {seat: Membership(name, clock) for seat, name in names.items()}
    partners = _partners(document)
    for seat, member in members.items():
        member.configure(document, partners[seat])
    for _ in range(seconds):
        clock.advance(timedelta(seconds=1))
        for seat, member in members.items():
            member.set_own_digest(_DIGEST)
            for target in member.gossip_targets(rng, gossip.DIGEST_FANOUT):
                members[target].on_digest(names[seat], _DIGEST)
    return list(members.values())


def _partners(document: Document) -> dict[str, set[str]]:
    """Return the seats that hold a limit together with each seat."""
    found: dict[str, set[str]] = {seat: set() for seat in document["entries"]}
    for limit in limits_of(document).values():
        for seat in limit.holders:
            found[seat].update(limit.holders)
    return found


def _fraction_in_region(document: Document, sampled: list[Membership]) -> float:
    """Return the fraction of look-ups whose first entry is in a region of the client's site."""
    region_of = {zone: name for name, zones in document["regions"].items() for zone in zones}
    rows = document["entries"]
    regions_of_site: dict[str, set[str]] = {}
    for row in rows.values():
        regions_of_site.setdefault(row["site"], set()).add(region_of[row["zone"]])
    hits = [
        region_of[rows[member.entries_for(site, LOOKUP_ENTRIES)[0]]["zone"]] in regions
        for member in sampled
        for site, regions in regions_of_site.items()
    ]
    return sum(hits) / len(hits)
