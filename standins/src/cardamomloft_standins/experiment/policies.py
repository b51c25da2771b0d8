"""Placement by the product's own code, and plain policies to compare it with."""

import typing as t
from collections.abc import Callable, Collection
from datetime import timedelta

from cardamomloft.core.budgets import ColdLimit
from cardamomloft.core.estimates import expected_load
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.routes import RouteRule
from cardamomloft.core.selection import Choice, Preferences, Reason, Selector
from cardamomloft.core.upstreamtable import Upstream, UpstreamTable

from cardamomloft_standins.experiment.sharing import SharingSelector

MakeSelector = Callable[[UpstreamTable, str, str, ColdLimit], Selector]


class _Plain(Selector):
    """Prefers endpoints in an order of its own, without regard to objects at hand."""

    def choose(
        self,
        rule: RouteRule,
        service: str,
        key: str,
        tried: Collection[str],
        until: timedelta,
        now: timedelta,
    ) -> Choice | Refusal:
        """Return the first endpoint in order that rests no more and had the request not yet."""
        usable = [
            up
            for up in self._book.of_service(service)
            if up.id not in tried and up.ejected_until <= now
        ]
        if not usable:
            return Refusal(RefusalReason.OVERLOAD, "no endpoint is left")
        return Choice(min(usable, key=lambda up: self.rank(up, key, now)), Reason.PRIMARY)

    def rank(self, upstream: Upstream, key: str, now: timedelta) -> t.Any:
        """Return what the least of is chosen."""
        raise NotImplementedError


class RandomChoice(_Plain):
    """Any endpoint."""

    def rank(self, upstream: Upstream, key: str, now: timedelta) -> t.Any:
        """Return a number that differs from request to request."""
        return hash((upstream.id, now))


class Nearest(_Plain):
    """The nearest endpoint with a free slot, else the least loaded one."""

    def rank(self, upstream: Upstream, key: str, now: timedelta) -> t.Any:
        """Return whether it is full, how far it is, and its load."""
        here = self._zone
        far = upstream.registration.zone != here
        farther = upstream.region != self._book.regions.get(here)
        load = expected_load(upstream, now) / upstream.registration.slots
        return load >= 1, load if load >= 1 else far + farther, load


def _made_by(kind: type[Selector], preferences: Preferences) -> MakeSelector:
    return lambda book, name, zone, cold: kind(book, name, zone, cold, preferences)


_UNBOUNDED = Preferences(default_load=99, min_load=99, max_load=99)

POLICIES: dict[str, MakeSelector] = {
    "product": _made_by(Selector, Preferences()),
    "eager-second": _made_by(Selector, Preferences(secondary_load=1.0)),
    "first-only": _made_by(Selector, Preferences(cached_load=0.0)),
    "one-choice": _made_by(Selector, Preferences(endpoints_per_key=1)),
    "hash-unbounded": _made_by(Selector, _UNBOUNDED),
    "shared-failures": _made_by(SharingSelector, Preferences()),
    "nearest": _made_by(Nearest, Preferences()),
    "random": _made_by(RandomChoice, Preferences()),
}
"""Selectors by name. All but ``product`` are only for comparison. With ``eager-second`` an object
goes to its second endpoint as long as that has a free slot; with ``first-only`` it goes there only
when the first is full, also if it is at hand there; with ``one-choice`` it has no second. With
``shared-failures`` gateways tell each other of endpoints that fail.
"""
