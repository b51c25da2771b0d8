"""Ranking of the endpoints of a service for affinity keys, by weighted rendezvous hashing.

The weights depend only on the registrations and on the sizes of requests, so that entries of a zone
rank alike.
"""

import typing as t
from collections import Counter

from cardamomloft.core.affinity import Candidate, first_ranked
from cardamomloft.core.routes import RouteRule
from cardamomloft.core.sizes import BodySizes
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable
from cardamomloft.core.zones import slot_weights

MIN_ENDPOINTS_PER_ZONE = 1.5
"""Average number of a service's endpoints per zone from which large requests stay in their zone.

With one endpoint per zone, that endpoint would get every key of its region and cache none of them
well; with two, staying in the zone is cheaper. The value lies between the two so that a single
endpoint that joins or leaves does not change the result.
"""

RANKED_ENDPOINTS = 8
"""Number of endpoints that are ranked for a key.

This leaves alternatives to the primary and secondary while some endpoints are ejected or cold. All
endpoints are ranked if every one of these is cold, paused, at its rate limit or already tried.
"""

REGION_ENDPOINTS = 4
"""Number of endpoints that are ranked for a key in a region to which it was moved, so that some are
left while others are ejected or cold."""

MAX_CACHED_RANKINGS = 20_000
"""Number of keys per service whose rankings are cached; others are ranked for each request. With 50
endpoints each takes about 0.2 KB."""


class Ranking(t.NamedTuple):
    """The weighted endpoints of a service, and the cached rankings by key."""

    version: int
    candidates: list[Candidate[Upstream]]
    by_key: dict[str, list[Upstream]]
    by_region: dict[tuple[str, str], list[Upstream]]


class KeyRanker:
    """Ranks the endpoints of services for affinity keys.

    Parameters
    ----------
    table
        The registered endpoints.
    zone
        The zone in which the requests arrive.
    body_sizes
        Body sizes of the requests of each rule; large requests stay in their zone.
    """

    def __init__(self, table: UpstreamTable, zone: str, body_sizes: BodySizes) -> None:
        self._table = table
        self._zone = zone
        self._body_sizes = body_sizes
        self._rankings: dict[tuple[str, frozenset[str], bool], Ranking] = {}

    def first(self, rule: RouteRule, service: str, key: str) -> list[Upstream]:
        """Return the first endpoints in the order of preference of a key."""
        ranking = self.ranking(rule, service)
        found = ranking.by_key.get(key)
        if found is None:
            found = first_ranked(key, ranking.candidates, RANKED_ENDPOINTS)
            if rule.keyed and len(ranking.by_key) < MAX_CACHED_RANKINGS:
                ranking.by_key[key] = found
        return found

    def in_region(self, rule: RouteRule, service: str, key: str, region: str) -> list[Upstream]:
        """Return the first endpoints of a key in one region, weighted by slots alone."""
        ranking = self.ranking(rule, service)
        found = ranking.by_region.get((region, key))
        if found is None:
            inside = [
                Candidate(up, seed, float(up.registration.slots))
                for up, seed, _ in ranking.candidates
                if up.region == region
            ]
            found = first_ranked(key, inside, REGION_ENDPOINTS)
            if rule.keyed and len(ranking.by_region) < MAX_CACHED_RANKINGS:
                ranking.by_region[region, key] = found
        return found

    def all(self, rule: RouteRule, service: str, key: str) -> list[Upstream]:
        """Return all endpoints in the order of preference of a key."""
        candidates = self.ranking(rule, service).candidates
        return first_ranked(key, candidates, len(candidates))

    def ranking(self, rule: RouteRule, service: str) -> Ranking:
        """Return the weighted endpoints of a service, rebuilt after a change of them."""
        large = self._body_sizes.has_large_bodies(rule.name)
        version = self._table.version(service)
        cached = self._rankings.get((service, rule.homes, large))
        if cached is not None and cached.version == version:
            return cached
        usable = [
            up
            for up in self._table.of_service(service)
            if not rule.homes or up.region in rule.homes
        ]
        by_zone = large and _fills_zones(usable)
        area = _zone_of if by_zone else _region_of
        weights = self._weigh(usable, rule.homes, by_zone)
        candidates = [
            Candidate(up, up.seed, up.registration.slots * weights[area(up)]) for up in usable
        ]
        ranking = Ranking(version, candidates, {}, {})
        self._rankings[service, rule.homes, large] = ranking
        return ranking

    def _weigh(
        self, candidates: list[Upstream], homes: frozenset[str], by_zone: bool
    ) -> dict[str, float]:
        """Return the weight of a slot in each zone if `by_zone`, otherwise in each region."""
        area = _zone_of if by_zone else _region_of
        slots: Counter[str] = Counter()
        for upstream in candidates:
            slots[area(upstream)] += upstream.registration.slots
        regions = {
            zone if by_zone else region: region
            for zone, region in self._table.regions.items()
            if not homes or region in homes
        }
        here = self._zone if by_zone else self._table.regions.get(self._zone, "")
        return slot_weights(slots, here, regions)


def _fills_zones(usable: list[Upstream]) -> bool:
    """Return whether there are enough endpoints per zone to keep requests within zones."""
    zones = {upstream.registration.zone for upstream in usable}
    return len(usable) >= MIN_ENDPOINTS_PER_ZONE * len(zones)


def _zone_of(upstream: Upstream) -> str:
    return upstream.registration.zone


def _region_of(upstream: Upstream) -> str:
    return upstream.region
