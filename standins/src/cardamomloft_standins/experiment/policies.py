"""Placement policies: the product's selector, variants of it and simple baselines."""

import typing as t
from collections.abc import Callable, Collection
from datetime import timedelta

from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.estimates import expected_load
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import RouteRule
from cardamomloft.core.selection import Choice, Preferences, Reason, Selector
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable

from cardamomloft_standins.experiment.sharing import (
    InformedSelector,
    SharedSelector,
    SharingSelector,
)

SelectorFactory = Callable[[UpstreamTable, str, str, ColdLimit], Selector]


class _RankedSelector(Selector):
    """Chooses the available endpoint with the lowest rank, regardless of caches."""

    def choose(
        self,
        rule: RouteRule,
        service: str,
        key: str,
        tried: Collection[str],
        until: timedelta,
        now: timedelta,
    ) -> Choice | Refusal:
        """Return the lowest ranked endpoint that is not ejected and has not been tried."""
        candidates = [
            up
            for up in self._table.of_service(service)
            if up.id not in tried and up.ejected_until <= now
        ]
        if not candidates:
            return Refusal(RefusalReason.OVERLOAD, "no endpoint is left")
        return Choice(min(candidates, key=lambda up: self.rank(up, key, now)), Reason.PRIMARY)

    def rank(self, upstream: Upstream, key: str, now: timedelta) -> t.Any:
        """Return the sort key of an endpoint; the endpoint with the smallest one is chosen."""
        raise NotImplementedError


class RandomChoice(_RankedSelector):
    """Chooses a random endpoint."""

    def rank(self, upstream: Upstream, key: str, now: timedelta) -> t.Any:
        """Return a pseudo-random number that changes with every request."""
        return hash((upstream.id, now))


class Nearest(_RankedSelector):
    """Chooses the nearest endpoint with a free slot, or else the least loaded one."""

    def rank(self, upstream: Upstream, key: str, now: timedelta) -> t.Any:
        """Return whether the endpoint is full, its distance unless it is full, and its load."""
        zone = self._zone
        other_zone = upstream.registration.zone != zone
        other_region = upstream.region != self._table.regions.get(zone)
        load = expected_load(upstream, now) / upstream.registration.slots
        return load >= 1, load if load >= 1 else other_zone + other_region, load


def _selector_factory(kind: type[Selector], preferences: Preferences) -> SelectorFactory:
    return lambda book, name, zone, cold: kind(book, name, zone, cold, preferences)


_UNBOUNDED = Preferences(default_load=99, min_load=99, max_load=99)

_BY_TIME = Preferences(by_response_time=True, shared_endpoints_per_key=2)

POLICIES: dict[str, SelectorFactory] = {
    "product": _selector_factory(Selector, Preferences()),
    "eager-second": _selector_factory(Selector, Preferences(secondary_load=1.0)),
    "first-only": _selector_factory(Selector, Preferences(cached_load=0.0)),
    "one-choice": _selector_factory(Selector, Preferences(endpoints_per_key=1)),
    "hash-unbounded": _selector_factory(Selector, _UNBOUNDED),
    "shared-failures": _selector_factory(SharingSelector, Preferences()),
    "informed": _selector_factory(InformedSelector, Preferences()),
    "shared": _selector_factory(SharedSelector, _BY_TIME),
    "shared-in-time": _selector_factory(SharedSelector, _BY_TIME._replace(shared_late=False)),
    "shared-3": _selector_factory(SharedSelector, _BY_TIME._replace(shared_endpoints_per_key=3)),
    "shared-4": _selector_factory(SharedSelector, _BY_TIME._replace(shared_endpoints_per_key=4)),
    "nearest": _selector_factory(Nearest, Preferences()),
    "random": _selector_factory(RandomChoice, Preferences()),
}
"""Selector factories by name. All but ``product`` are for comparison only.

- ``eager-second``: a key spills to its secondary endpoint while that has a free slot.
- ``first-only``: a key goes to its secondary endpoint only when the primary endpoint is full, even
  if it is cached there.
- ``one-choice``: a key has no secondary endpoint.
- ``hash-unbounded``: the primary endpoint is used regardless of its load.
- ``shared-failures``: gateways notify each other of failing endpoints.
"""
