"""Selection of the entry that serves requests for one whose links to the endpoints are down."""

import random
from collections import Counter
from collections.abc import Collection, Iterable
from datetime import timedelta

from cardamomloft.core.connectivity.cutoff import CutOffEntries
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import EntryRecord

OTHER_ZONE_COST = 1
"""Cost of an entry in another zone of the region, in requests in flight. Entries of the own zone
save transfer between zones, but must not get all of the load."""

OTHER_REGION_COST = 8
"""Cost of an entry in another region. Where few entries of a region are left, each serves this many
more requests for every other entry of the region before other regions help."""

SAMPLED_ENTRIES = 32
"""Number of entries of other regions that are compared, which bounds the time of a decision."""

UNAVAILABLE_TIME = timedelta(seconds=1)
"""How long an entry is not asked again after it could not help."""


class Helpers:
    """The entries that can serve requests for this one.

    Parameters
    ----------
    own
        This entry's record.
    entries
        The recorded entries.
    cut_off
        Those that have lost their links too.
    rng
        Chooses among equal entries.
    """

    def __init__(
        self,
        own: EntryRecord,
        entries: EntryTable,
        cut_off: CutOffEntries,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._entries = entries
        self._cut_off = cut_off
        self._rng = rng
        self._version = -1
        self._near: list[EntryRecord] = []
        self._far: list[EntryRecord] = []
        self._in_flight: Counter[str] = Counter()
        self._unavailable: dict[tuple[str, str], timedelta] = {}
        self._unreachable: dict[str, timedelta] = {}

    def choose(
        self, service: str, homes: frozenset[str], tried: Collection[str], now: timedelta
    ) -> EntryRecord | None:
        """Return the entry that should serve a request, None if there is none.

        Parameters
        ----------
        service
            The service that the request goes to.
        homes
            The regions that may get the request; empty: all.
        tried
            Names of entries that were tried for this request.
        now
            Monotonic instant.
        """
        self._refresh(now)
        zones = {record.zone for record in self._near if record.name in tried}

        def is_able(record: EntryRecord) -> bool:
            return (
                record.name not in tried
                and record.name not in self._cut_off
                and (not homes or record.region in homes)
                and (record.name, "") not in self._unavailable
                and (record.name, service) not in self._unavailable
            )

        near = self._cheapest(filter(is_able, self._near), zones)
        if near is not None and self._cost(near) <= OTHER_REGION_COST:
            return near
        far = self._cheapest(filter(is_able, self._sample_far(homes)))
        if near is None or far is None:
            return near or far
        return near if self._cost(near) <= self._cost(far) else far

    def record_sent(self, name: str) -> None:
        """Record that a request is sent to an entry."""
        self._in_flight[name] += 1

    def record_end(self, name: str) -> None:
        """Record the end of a request."""
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]

    def record_unavailable(self, name: str, now: timedelta, service: str = "") -> None:
        """Record that an entry can't help, or can't help with requests to `service`."""
        self._unavailable[name, service] = now + UNAVAILABLE_TIME

    def record_unreachable(self, service: str, now: timedelta) -> None:
        """Record that the entries that were asked could not send a request to a service."""
        self._unreachable[service] = now + UNAVAILABLE_TIME

    def is_unreachable(self, service: str, now: timedelta) -> bool:
        """Return whether other entries could not reach a service either, a short time ago."""
        return self._unreachable.get(service, now) > now

    def _cheapest(
        self, records: Iterable[EntryRecord], tried_zones: Collection[str] = ()
    ) -> EntryRecord | None:
        """Return the cheapest entry, preferably of a zone in which none was tried."""
        ranked = [
            (record.zone in tried_zones, self._cost(record), self._rng.random(), record)
            for record in records
        ]
        return min(ranked)[-1] if ranked else None

    def _cost(self, record: EntryRecord) -> int:
        cost = self._in_flight[record.name]
        if record.region != self._own.region:
            return cost + OTHER_REGION_COST
        return cost if record.zone == self._own.zone else cost + OTHER_ZONE_COST

    def _sample_far(self, homes: frozenset[str]) -> list[EntryRecord]:
        able = [record for record in self._far if not homes or record.region in homes]
        return self._rng.sample(able, min(SAMPLED_ENTRIES, len(able)))

    def _refresh(self, now: timedelta) -> None:
        if self._unavailable:
            self._unavailable = {
                key: until for key, until in self._unavailable.items() if until > now
            }
        if self._entries.version == self._version:
            return
        self._version = self._entries.version
        records = [record for record in self._entries.records(with_own=False) if record.proxy]
        self._near = [record for record in records if record.region == self._own.region]
        self._far = [record for record in records if record.region != self._own.region]
