"""Limits defined by a document, and their division into base shares of the entries.

Limits and base shares are a pure function of the document. Entries that apply the same revision
therefore agree on every share without messages and without failure detection.
"""

import bisect
import enum
import hashlib
import typing as t
from collections.abc import Iterable, Iterator
from datetime import timedelta

from cardamomloft.core.document import Document, ServiceRow, regions_of_zones

MAX_HOLDERS = 16
"""Maximum number of holders per limit, which all have to agree on a new division."""

DEFAULT_SPILL_PERCENT = 100.0
"""Default percentage of a region's slots that entries of other regions may use."""

STOP_GRACE = timedelta(seconds=1)
"""How long a request may still occupy its endpoint after its deadline."""

MAX_RATE_USE = timedelta(seconds=1)
"""Longest use of a rate, which covers bytes that were sent and are still in transit."""


class LimitKind(enum.StrEnum):
    """Unit of a limit: concurrent uses, or bytes per second."""

    CONCURRENCY = "concurrency"
    RATE = "rate"


class Limit(t.NamedTuple):
    """One limit of the document.

    `capacity` is a number of concurrent uses, or bytes per second. `holders` are the seats that
    share it, in order of preference, and `longest_use` bounds the time from the start of a use to
    its deadline.
    """

    key: str
    kind: LimitKind
    capacity: int
    holders: tuple[str, ...]
    longest_use: timedelta


def base_shares(limit: Limit) -> dict[str, int]:
    """Divide the capacity evenly between the holders; the first ones get the remainder.

    The shares add up to the capacity, or to 0 if there is no holder.
    """
    if not limit.holders:
        return {}
    quotient, remainder = divmod(limit.capacity, len(limit.holders))
    return {seat: quotient + (index < remainder) for index, seat in enumerate(limit.holders)}


def limits_of(document: Document) -> dict[str, Limit]:
    """Return all limits of the document by key.

    Keys are ``slots/<endpoint>``, ``connections/<endpoint>``, ``link/<origin>/<target>`` and
    ``spill/<service>/<region>``.
    """
    roster = _Roster(document)
    limits = (
        *_endpoint_limits(document, roster),
        *_spill_limits(document, roster),
        *_link_limits(document, roster),
    )
    return {limit.key: limit for limit in limits}


def _endpoint_limits(document: Document, roster: "_Roster") -> Iterator[Limit]:
    for service in document["services"].values():
        longest = _longest_use(service)
        for name, row in service["upstreams"].items():
            holders = roster.near(row["zone"], name)
            for kind in ("slots", "connections"):
                capacity = row[kind]
                yield Limit(f"{kind}/{name}", LimitKind.CONCURRENCY, capacity, holders, longest)


def _spill_limits(document: Document, roster: "_Roster") -> Iterator[Limit]:
    for name, service in document["services"].items():
        percent = service.get("spill_percent", DEFAULT_SPILL_PERCENT)
        slots: dict[str, int] = {}
        for row in service["upstreams"].values():
            region = roster.region_of[row["zone"]]
            slots[region] = slots.get(region, 0) + row["slots"]
        for region, count in slots.items():
            key = f"spill/{name}/{region}"
            holders = roster.elsewhere(region, key)
            capacity = int(count * percent / 100)
            yield Limit(key, LimitKind.CONCURRENCY, capacity, holders, _longest_use(service))


def _link_limits(document: Document, roster: "_Roster") -> Iterator[Limit]:
    for row in document.get("links", []):
        key = f"link/{row['origin']}/{row['target']}"
        holders = roster.within(row["origin"], key)
        yield Limit(key, LimitKind.RATE, row["bytes_per_s"], holders, MAX_RATE_USE)


def _longest_use(service: ServiceRow) -> timedelta:
    return timedelta(milliseconds=service["max_deadline_ms"]) + STOP_GRACE


class _Roster:
    """Chooses the holders of a limit.

    Seats lie on a consistent-hashing ring, and the holders of a limit are the seats that follow the
    hash of its name. With rendezvous hashing the holders of all limits would be unrelated; on a
    ring they overlap, so that an entry shares limits with a few neighbouring seats only, however
    many limits there are. Capacities do not affect the choice.
    """

    def __init__(self, document: Document) -> None:
        self.region_of = regions_of_zones(document)
        self._zone_of = {seat: row["zone"] for seat, row in document["entries"].items()}
        self._rings: dict[tuple[str, str], _Ring] = {}

    def near(self, zone: str, name: str) -> tuple[str, ...]:
        """Return holders from the zone, then its region; other regions only if it has no seats."""
        region = self.region_of[zone]
        own = self._ring("zone", zone).run(name)
        own += [s for s in self._ring("region", region).run(name) if s not in own]
        return tuple(own[:MAX_HOLDERS] or self._ring("elsewhere", region).run(name))

    def within(self, region: str, name: str) -> tuple[str, ...]:
        """Return holders from the region only."""
        return tuple(self._ring("region", region).run(name))

    def elsewhere(self, region: str, name: str) -> tuple[str, ...]:
        """Return holders from all other regions."""
        return tuple(self._ring("elsewhere", region).run(name))

    def _ring(self, scope: str, place: str) -> "_Ring":
        if (scope, place) not in self._rings:
            self._rings[scope, place] = _Ring(self._seats(scope, place))
        return self._rings[scope, place]

    def _seats(self, scope: str, place: str) -> list[str]:
        if scope == "zone":
            return [seat for seat, zone in self._zone_of.items() if zone == place]
        inside = scope == "region"
        region_of, zones = self.region_of, self._zone_of.items()
        return [seat for seat, zone in zones if (region_of[zone] == place) == inside]


class _Ring:
    def __init__(self, seats: Iterable[str]) -> None:
        points = sorted((_point(seat), seat) for seat in seats)
        self._points = [point for point, _ in points]
        self._seats = [seat for _, seat in points]

    def run(self, name: str) -> list[str]:
        """Return up to ``MAX_HOLDERS`` seats that follow the hash of `name` on the ring."""
        start = bisect.bisect(self._points, _point(name))
        return (self._seats[start:] + self._seats[:start])[:MAX_HOLDERS]


def _point(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
