"""Which entries a client is told to use."""

from collections.abc import Iterable, Mapping

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecord

MAX_NAMED = 64
"""Entries in one answer at the most; callers read no more."""

ENOUGH = 2
"""Entries that a client needs, so that it has another one while a dead one is still named."""

ANSWERS_KEPT = 1_000
"""Different questions whose answers are kept: callers state any zone and region they like."""


class EntryLookup:
    """The entries that clients should use; each answer is kept until the entries change.

    Parameters
    ----------
    entries
        The entries that are there.
    """

    def __init__(self, entries: EntryTable) -> None:
        self._entries = entries
        self._version = -1
        self._regions: Mapping[str, str] = {}
        self._kept: dict[tuple[str, str, frozenset[str], bool], list[EntryRecord]] = {}

    def find(
        self,
        zone: str,
        region: str,
        homes: frozenset[str],
        regions: Mapping[str, str],
        *,
        with_own: bool,
    ) -> list[EntryRecord]:
        """Return what :func:`entries_for` does; `with_own` if this entry itself may be named.

        Worked out anew it takes 0.43 us for each entry there is (scripts/slopes_gateway.py), and
        look-ups come by the hundred a second.
        """
        entries = self._entries
        full = len(self._kept) >= ANSWERS_KEPT
        if entries.version != self._version or regions is not self._regions or full:
            self._version, self._regions = entries.version, regions
            self._kept.clear()
        question = (zone, region, homes, with_own)
        found = self._kept.get(question)
        if found is None:
            records = entries.records(with_own=with_own)
            found = self._kept[question] = entries_for(records, zone, region, homes, regions)
        return found


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
