"""Which entries a client is told to use."""

from collections.abc import Iterable, Mapping

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.registrations import EntryRecord

MAX_NAMED = 64
"""Entries in one answer at the most; callers read no more."""

ENOUGH = 2
"""Entries that a client needs, so that it has another one while a dead one is still named."""


def entries_for(
    records: Iterable[EntryRecord],
    zone: str,
    region: str,
    homes: frozenset[str],
    regions: Mapping[str, str],
) -> list[EntryRecord]:
    """Return the entries that a client should use: those of its zone, if they are enough.

    Entries of other zones place the client's objects elsewhere, so no more of them are named than
    are needed. Without one in the region, all in the homes are named, or else all.

    Parameters
    ----------
    records
        The entries that are there.
    zone, region
        Where the client is; either may be empty if it is not known.
    homes
        Regions that the name's requests are bound to; empty: none.
    regions
        The region of each zone, for a client that states only its zone.
    """
    known = sorted(records)
    here = region or regions.get(zone, "")
    near = [record for record in known if record.region == here]
    if not near:
        near = [record for record in known if record.region in homes]
        return (near or known)[:MAX_NAMED]
    local = [record for record in near if record.zone == zone]
    others = [record for record in near if record.zone != zone]
    # Each zone draws its own order, so that the same entry does not help out everywhere.
    others.sort(key=lambda record: unit_hash(zone, record.name))
    if not local:
        return others[:MAX_NAMED]
    return [*local, *others[: max(0, ENOUGH - len(local))]][:MAX_NAMED]
