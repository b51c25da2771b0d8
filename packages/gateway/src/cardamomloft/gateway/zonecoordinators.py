"""Which gateway coordinates a zone: the first, in an order that all know, that answers."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from cardamomloft.core.affinity import unit_hash
from cardamomloft.core.clientaccounts.reports import Source
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecord

SUSPECT_TIME = timedelta(seconds=3)
"""How long a gateway that did not answer is passed over. A dead one's record expires earlier."""

_LONG_AGO = -timedelta(days=1)


class ZoneCoordinators:
    """The recorded gateways as coordinators of their zones.

    Parameters
    ----------
    own
        This gateway's record.
    entries
        The recorded gateways.
    is_announced
        Returns whether this gateway is announced to the others.
    """

    def __init__(
        self, own: EntryRecord, entries: EntryTable, is_announced: Callable[[], bool]
    ) -> None:
        self._own = own
        self._entries = entries
        self._is_announced = is_announced
        self._suspected_until: dict[str, timedelta] = {}
        self._by_zone: dict[str, list[EntryRecord]] = {}
        self._version: tuple[int, bool] | None = None

    def by_zone(self) -> dict[str, list[EntryRecord]]:
        """Return the gateways of each zone in the order in which they become coordinators.

        The result is kept until the records change, as sorting 69 of them takes 0.4 ms.
        """
        version = self._entries.version, self._is_announced()
        if version != self._version:
            self._version, self._by_zone = version, self._sorted(with_own=version[1])
        return self._by_zone

    def _sorted(self, *, with_own: bool) -> dict[str, list[EntryRecord]]:
        found: dict[str, list[EntryRecord]] = {}
        for row in self._entries.records(with_own=with_own):
            found.setdefault(row.zone, []).append(row)
        for zone, rows in found.items():
            rows.sort(key=lambda row: unit_hash(zone, row.name))
        return found

    def first_usable(self, candidates: Iterable[EntryRecord], now: timedelta) -> EntryRecord | None:
        """Return the first of the candidates that accepts messages and is not suspected."""
        return next((row for row in candidates if self._is_usable(row, now)), None)

    def suspect(self, name: str, now: timedelta) -> None:
        """Pass over a gateway for a while, since it did not answer."""
        self._suspected_until[name] = now + SUSPECT_TIME

    def record_of(self, name: str) -> EntryRecord | None:
        """Return the record of another gateway that accepts messages, or None."""
        rows = self._entries.records(with_own=False)
        return next((row for row in rows if row.name == name and row.peers), None)

    def sources(self, records: Mapping[str, list[EntryRecord]]) -> dict[Source, float]:
        """Return whose reports this gateway expects as coordinator, by fraction of all gateways."""
        total = self._entries.count
        found = {
            Source(zone=zone): len(rows) / total
            for zone, rows in records.items()
            if zone != self._own.zone
        }
        for row in records.get(self._own.zone, []):
            if row.name != self._own.name:
                found[Source(entry=row.name)] = 1 / total
        return found

    def _is_usable(self, row: EntryRecord, now: timedelta) -> bool:
        return bool(row.peers) and self._suspected_until.get(row.name, _LONG_AGO) <= now
