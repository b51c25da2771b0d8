"""Which gateways ask the control store and pass its changes on: the relays of each region.

Every gateway ranks the recorded gateways of its region alike, so nobody has to be asked or elected.
Views that differ for a while give too many relays, which costs some calls, or one that does not
relay, which its listeners notice by the age of what it knows.
"""

import itertools
from collections.abc import Iterable

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.registrations import EntryRecord

RELAYS = 2
"""Relays of a region, in two zones where it has them: the loss of a zone leaves one."""

LEAST_ENTRIES = 8
"""Gateways of a region below which each asks the store by itself: with a handful the relays are
half of them, which spares few calls, and each question to a relay is one more thing to fail."""


def relays_of(region: str, records: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return the relays of `region` by rank; empty where each gateway asks for itself."""
    reachable = {row.name: row for row in records if row.region == region and row.peers}
    if len(reachable) < LEAST_ENTRIES:
        return []
    ranked = sorted(reachable.values(), key=lambda row: unit_hash(region, row.name))
    first = ranked[0]
    elsewhere = (row for row in ranked if row.zone != first.zone)
    preferred = itertools.chain(elsewhere, ranked[1:])
    return [first, *itertools.islice(preferred, RELAYS - 1)]


def by_nearness(own: EntryRecord, relays: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Return `relays` in the order in which `own` asks them: its zone first, then spread."""
    return sorted(relays, key=lambda row: (row.zone != own.zone, unit_hash(own.name, row.name)))
