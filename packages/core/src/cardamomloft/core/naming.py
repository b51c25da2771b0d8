"""Selection of the entries that a look-up names to a client."""

from collections.abc import Iterable, Mapping

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.connectivity.cutoff import CutOffEntries
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecord

MAX_ENTRIES = 64
"""Maximum number of entries in one answer; callers ignore further ones."""

MIN_ENTRIES = 2
"""Entries that a client needs, to have an alternative while a failed one is still listed."""

MIN_ABLE_FRACTION = 0.5
"""Fraction of the entries of a region that must remain for the others to be left out."""

MAX_CACHED_ANSWERS = 1_000
"""Bound on cached answers, needed because callers can send any zone and region."""


class EntryLookup:
    """Selects entries for clients and caches each answer until the entries change.

    Parameters
    ----------
    entries
        The registered entries.
    cut_off
        Those that have lost their links to the endpoints.
    """

    def __init__(self, entries: EntryTable, cut_off: CutOffEntries | None = None) -> None:
        self._entries = entries
        self._cut_off = CutOffEntries() if cut_off is None else cut_off
        self._version = (-1, -1)
        self._regions: Mapping[str, str] = {}
        self._cache: dict[tuple[str, str, frozenset[str], bool], list[EntryRecord]] = {}

    def find(
        self,
        zone: str,
        region: str,
        homes: frozenset[str],
        regions: Mapping[str, str],
        *,
        with_own: bool,
    ) -> list[EntryRecord]:
        """Return the cached result of :func:`entries_for`.

        `with_own` is whether this entry itself may be in the answer. Without the cache an answer
        takes 0.43 us for each entry there is, and look-ups come by the hundred a second.
        """
        entries, version = self._entries, (self._entries.version, self._cut_off.version)
        full = len(self._cache) >= MAX_CACHED_ANSWERS
        if version != self._version or regions is not self._regions or full:
            self._version, self._regions = version, regions
            self._cache.clear()
        query = (zone, region, homes, with_own)
        found = self._cache.get(query)
        if found is None:
            records = entries.records(with_own=with_own)
            found = self._cache[query] = entries_for(
                records, zone, region, homes, regions, self._cut_off.names()
            )
        return found


def entries_for(
    records: Iterable[EntryRecord],
    zone: str,
    region: str,
    homes: frozenset[str],
    regions: Mapping[str, str],
    cut_off: frozenset[str] = frozenset(),
) -> list[EntryRecord]:
    """Return the entries that a client should use: those of its zone, if there are enough.

    Entries of other zones prefer other primary endpoints for the same affinity key, so they only
    fill up the answer to ``MIN_ENTRIES``. If the client's region has no entry, all entries of the
    `homes` regions are returned, or else all entries.

    Parameters
    ----------
    records
        The registered entries.
    zone, region
        The location of the client; each may be empty if unknown.
    homes
        The regions that may serve requests for the looked-up name; empty: all.
    regions
        The region of each zone, for a client that sends only its zone.
    cut_off
        Names of entries that can serve requests only through others. They are left out while at
        least half of the client's region remains, which carries their load in either case.
    """
    known = sorted(records)
    client_region = region or regions.get(zone, "")
    in_region = [record for record in known if record.region == client_region]
    able = [record for record in in_region if record.name not in cut_off]
    if len(able) >= len(in_region) * MIN_ABLE_FRACTION:
        in_region = able
    if not in_region:
        in_region = [record for record in known if record.region in homes]
        return (in_region or known)[:MAX_ENTRIES]
    in_zone = [record for record in in_region if record.zone == zone]
    in_other_zones = [record for record in in_region if record.zone != zone]
    # The order depends on the client's zone, so that the zones do not all use the same entry.
    in_other_zones.sort(key=lambda record: unit_hash(zone, record.name))
    if not in_zone:
        return in_other_zones[:MAX_ENTRIES]
    return [*in_zone, *in_other_zones[: max(0, MIN_ENTRIES - len(in_zone))]][:MAX_ENTRIES]
