"""Which entries a client is told to use."""

from collections.abc import Iterable, Mapping

from cardamomloft.core.registrations import EntryRecord

MAX_NAMED = 64
"""Entries in one answer at the most; callers read no more."""


def entries_for(
    records: Iterable[EntryRecord],
    zone: str,
    region: str,
    homes: frozenset[str],
    regions: Mapping[str, str],
) -> list[EntryRecord]:
    """Return the entries that a client should use, the nearest group that is not empty.

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
    at_home = [record for record in known if record.region in homes]
    return (near or at_home or known)[:MAX_NAMED]
