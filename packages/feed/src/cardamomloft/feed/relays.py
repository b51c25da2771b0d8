"""Selection of relays: the gateways of a region that read the control store for the others.

Each gateway ranks the recorded gateways of its region with the same hash, so no election is needed.
While gateways see different records, a region may have extra relays, which cost a few calls, or a
subscriber may query a gateway that is no relay, which it detects by the age of the data.
"""

import itertools
from collections.abc import Iterable

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.registrations import EntryRecord

RELAYS_PER_REGION = 2
"""Relays per region, in different zones if possible, so that the loss of a zone leaves one."""

MIN_GATEWAYS_FOR_RELAYS = 8
"""Gateways of a region below which each reads the store itself, as relays would save few calls."""


def relays_of(region: str, records: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return the relays of `region` by rank; empty if each gateway reads the store itself."""
    reachable = {row.name: row for row in records if row.region == region and row.peers}
    if len(reachable) < MIN_GATEWAYS_FOR_RELAYS:
        return []
    ranked = sorted(reachable.values(), key=lambda row: unit_hash(region, row.name))
    first = ranked[0]
    elsewhere = (row for row in ranked if row.zone != first.zone)
    preferred = itertools.chain(elsewhere, ranked[1:])
    return [first, *itertools.islice(preferred, RELAYS_PER_REGION - 1)]


def by_proximity(own: EntryRecord, relays: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return `relays` in the order in which `own` uses them: its zone first, then by hash."""
    return sorted(relays, key=lambda row: (row.zone != own.zone, unit_hash(own.name, row.name)))
