"""Which endpoint a request goes to.

Placement by object is worth more than anything else here: an endpoint that has handled an object
recently is about three times as fast, and it has a bounded number of objects at hand. So an object
has one first endpoint and one fixed second choice, by rendezvous hashing over the registered
endpoints. It leaves the first when it would wait there beyond its rule's target, and it is refused
when the second is not half idle either.
"""

import enum
import typing as t
from collections import Counter
from collections.abc import Collection, Mapping
from datetime import timedelta

from cardamomloft.core.affinity import Candidate, first_ranked
from cardamomloft.core.budgets import ColdLimit, cold_part, may_send_cold
from cardamomloft.core.cachestate import CacheState, CacheTracker
from cardamomloft.core.estimates import (
    SMOOTHING,
    described,
    expected_load,
    expected_time,
    others_load,
)
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.ranks import OwnRanks
from cardamomloft.core.routes import RouteRule, ServicePolicy
from cardamomloft.core.sizes import Sizes
from cardamomloft.core.upstreamtable import LoadReport, Upstream, UpstreamTable
from cardamomloft.core.zones import slot_weights

MAX_RESTING = 0.5
"""The part of a service's endpoints that may rest after failures at one time.

When more of them fail, the cause is likelier a link or this entry than the endpoints.
"""

UNKNOWN_WORK = 3
"""How many times as long work takes on an object that is not at hand, about."""

CLEARLY = 0.8
"""Part of the first endpoint's expected time below which the second is taken to be sooner: both are
smoothed figures, and small differences say nothing."""

ENDPOINTS_IN_ZONE = 1.5
"""Endpoints of a service in a zone, on average, from which large requests stay in their zone.

With one in each zone an object is at hand nowhere: each zone's endpoint gets all objects of its
region. With two it is cheaper to stay in the zone. The bound lies between, so that one that comes
or goes changes nothing.
"""

USUAL_PART = 0.25
"""Part of a service's usual load at which an endpoint that is not heard of is estimated: a second
endpoint is then still used while others usually have up to twice its slots there."""

FIRST_RANKS = 8
"""Endpoints that are ranked for a key: it is at two, and some of the others rest or are cold.

Only when all of these are cold or tried, all endpoints are ranked.
"""

RANKS_KEPT = 20_000
"""Keys of a service whose ranks are kept, at 0.2 KB each with 50 endpoints; others are ranked each
time."""

_FAILURES_TO_REST = 2
"""Failures in a row after which an endpoint rests; one may be an answer that was lost."""

_FIRST_REST = timedelta(milliseconds=300)
"""The first rest, doubled with each further failure; one that was only unlucky is soon back."""

_LONGEST_REST = timedelta(seconds=4)
"""The longest rest, after which an endpoint is tried again: callers wait seconds, not minutes."""

_FULL_TIME = timedelta(milliseconds=60)
"""How long an endpoint that refused a request for want of room counts as full.

Its objects then go to their second endpoint only as far as those of any full one. A part of the
usual time of work, after which a slot may be free again.
"""

_ZERO = timedelta(0)


class Preferences(t.NamedTuple):
    """What weighs in the choice of endpoints.

    Attributes
    ----------
    endpoints_per_key
        How many endpoints an object may be at. Each keeps a bounded number of objects at hand:
        with more endpoints_per_key they push each other out, all work takes three times as long, and an
        overload of seconds never ends.
    default_load, min_load, max_load
        Load in parts of the slots up to which an object waits at its first endpoint: as far as the
        rule's target allows, between the least and the most; `default_load` as long as the time that
        work takes there is not known.
    secondary_load
        Load up to which it goes to its second endpoint, where it is seldom at hand and pushes
        another object out.
    cached_load
        Load up to which an object goes to its second endpoint when it is at hand there and the
        first is expected to answer later: a free slot. At 0 it never does.
    retry_load
        Load up to which a request that has failed is sent to another endpoint: a free slot.
    """

    # Not tuned to one deployment: the load bounds only cap what the target and the work give.
    endpoints_per_key: int = 2
    default_load: float = 2.25
    min_load: float = 1.5
    max_load: float = 3.0
    secondary_load: float = 0.5
    cached_load: float = 1.0
    retry_load: float = 1.0


class Reason(enum.StrEnum):
    """Why an endpoint was chosen.

    `PRIMARY`: it is the first of its object. `OVERFLOW`: the first has no room. `MOVED`: the first
    rests after failures, or is cold. `REPEAT`: another had this request before. `COLD`: there are
    only cold ones.
    """

    PRIMARY = "home"
    OVERFLOW = "overflow"
    MOVED = "moved"
    REPEAT = "repeat"
    COLD = "cold"


class Choice(t.NamedTuple):
    """An endpoint, and why it was chosen."""

    upstream: Upstream
    reason: Reason


class _Ranking(t.NamedTuple):
    """The endpoints of a service with their weights, and the first ones of each known key."""

    version: int
    candidates: list[Candidate[Upstream]]
    known: dict[str, list[Upstream]]


class Selector:
    """Chooses endpoints for one entry.

    Parameters
    ----------
    book
        The registered endpoints.
    name, zone
        This entry's name and zone.
    cold
        What a cold endpoint bears beyond its service's rate.
    preferences
        What weighs in the choice.

    Attributes
    ----------
    policies
        What the endpoints of each service bear.
    entries
        Among how many entries budgets are divided.
    sizes
        How large the requests of each rule are.
    touches
        Which objects were handled at which endpoints.
    """

    def __init__(
        self,
        book: UpstreamTable,
        name: str,
        zone: str,
        cold: ColdLimit,
        preferences: Preferences,
    ) -> None:
        self._book = book
        self._zone = zone
        self.cold_limit = cold
        self._preferences = preferences
        self._rankings: dict[tuple[str, frozenset[str], bool], _Ranking] = {}
        self.body_sizes = Sizes()
        self.cache_states = CacheTracker()
        self.policies: Mapping[str, ServicePolicy] = {}
        self.entries = 1
        self._usual: dict[str, float] = {}
        self._ranks = OwnRanks(name)

    @property
    def others(self) -> Collection[str]:
        """Names of the other entries."""
        return self._ranks.others

    @others.setter
    def others(self, names: Collection[str]) -> None:
        self._ranks.use(names)

    def choose(
        self,
        rule: RouteRule,
        service: str,
        key: str,
        tried: Collection[str],
        until: timedelta,
        now: timedelta,
    ) -> Choice | Refusal:
        """Return the endpoint for a request.

        Parameters
        ----------
        rule
            The rule that matched.
        service
            The service that was chosen among the rule's.
        key
            The placement key; any text that differs from request to request if there is none.
        tried
            Ids of endpoints that had this request already.
        until
            Monotonic instant at which the answer must be there.
        now
            Monotonic instant.
        """
        order = self._order(rule, service, key)
        if not order:
            return Refusal(RefusalReason.NO_PLACE, f"{service} has no endpoint")
        if all(max(up.cold_until, up.paused_until) > now or up.id in tried for up in order):
            ranking = self._ranking(rule, service)
            order = first_ranked(key, ranking.candidates, len(ranking.candidates))
        paused_until = min(up.paused_until for up in order)
        if paused_until > now:
            detail = f"no endpoint of {service} wants anything yet"
            return Refusal(RefusalReason.OVERLOAD, detail, paused_until - now)
        order = [up for up in order if up.paused_until <= now]
        fit = [up for up in order if up.ejected_until <= now]
        if len(fit) < len(order) * (1 - MAX_RESTING):
            fit = order
        warm = [up for up in fit if up.cold_until <= now]
        endpoints_per_key = self._preferences.endpoints_per_key if rule.keyed else FIRST_RANKS
        left = [up for up in warm if up.id not in tried][:endpoints_per_key]
        chosen = None
        if rule.keyed and not tried and len(left) > 1:
            chosen = self._sooner(left[0], left[1], key, until, now)
        if chosen is None:
            chosen = self._with_room(left, bool(tried), rule, until, now)
        if chosen is not None:
            return Choice(chosen, _reason(chosen, order[0], left[0], bool(tried)))
        cold = [up for up in fit if up.cold_until > now and up.id not in tried]
        if not warm:
            chosen = self._cold_with_room(cold, now)
        if chosen is not None:
            return Choice(chosen, Reason.REPEAT if tried else Reason.COLD)
        seen = ", ".join(described(up, now) for up in left) or f"{len(cold)} cold"
        return Refusal(RefusalReason.OVERLOAD, f"no endpoint has room for {key}: {seen}")

    def _with_room(
        self,
        warm: list[Upstream],
        repeated: bool,
        rule: RouteRule,
        until: timedelta,
        now: timedelta,
    ) -> Upstream | None:
        """Return the first in order of preference that is expected to answer in time."""
        preferences = self._preferences
        other = preferences.retry_load if repeated else preferences.secondary_load
        for place, upstream in enumerate(warm):
            if upstream.full_until > now:
                continue
            is_first = not rule.keyed or not (place or repeated)
            usual = 0.0 if is_first else self._usual_load(upstream)
            load = expected_load(upstream, now, usual)
            bound = self._bound(upstream, rule) if is_first else other
            has_room = load < bound * upstream.registration.slots
            if has_room and now + expected_time(upstream, load) < until:
                return upstream
        return None

    def _sooner(
        self, first: Upstream, second: Upstream, key: str, until: timedelta, now: timedelta
    ) -> Upstream | None:
        """Return the second endpoint if it has the object at hand and is to answer clearly sooner.

        It evens out what hashing divides unevenly, without further first touches: an object gets
        to its second endpoint only when the first is full.
        """
        load = expected_load(second, now)
        bound = self._preferences.cached_load * second.registration.slots
        if load >= bound or second.full_until > now:
            return None
        if self.cache_states.state_of(second, key) is not CacheState.KNOWN:
            return None
        there = expected_time(second, load)
        here = expected_time(first, expected_load(first, now))
        if self.cache_states.state_of(first, key) is CacheState.FIRST:
            here *= UNKNOWN_WORK
        return second if there < CLEARLY * here and now + there < until else None

    def _usual_load(self, upstream: Upstream) -> float:
        """Return what others' requests take up of the slots of an endpoint that is not heard of.

        With many entries and few endpoints most reports are old. If nothing known counted as
        nothing there, every entry would send the objects of full endpoints on to the same others,
        which are as full, and push what they have at hand out.
        """
        return USUAL_PART * self._usual.get(upstream.registration.service, 0.0)

    def _bound(self, upstream: Upstream, rule: RouteRule) -> float:
        """Return the load, in parts of the slots, at which an answer would miss its target."""
        preferences = self._preferences
        if not upstream.service_time:
            return preferences.default_load
        return min(
            max(rule.target / upstream.service_time, preferences.min_load), preferences.max_load
        )

    def _cold_with_room(self, cold: list[Upstream], now: timedelta) -> Upstream | None:
        for upstream in cold:
            policy = self.policies.get(upstream.registration.service)
            rate = policy.cold_per_s if policy else 0.0
            place = self._ranks.of(upstream.id, upstream.seed)
            part = cold_part(rate, self.cold_limit, self.entries, place)
            if may_send_cold(upstream.cold_sends, part, now):
                return upstream
        return None

    def _order(self, rule: RouteRule, service: str, key: str) -> list[Upstream]:
        """Return the endpoints that the key prefers, in that order: the first few, or else all."""
        ranking = self._ranking(rule, service)
        found = ranking.known.get(key)
        if found is None:
            found = first_ranked(key, ranking.candidates, FIRST_RANKS)
            if rule.keyed and len(ranking.known) < RANKS_KEPT:
                ranking.known[key] = found
        return found

    def _ranking(self, rule: RouteRule, service: str) -> "_Ranking":
        bulky = self.body_sizes.is_bulky(rule.name)
        version = self._book.version(service)
        held = self._rankings.get((service, rule.homes, bulky))
        if held is not None and held.version == version:
            return held
        usable = [
            up for up in self._book.of_service(service) if not rule.homes or up.region in rule.homes
        ]
        near = bulky and _fills_zones(usable)
        area = _zone_of if near else _region_of
        weights = self._weigh(usable, rule.homes, near)
        candidates = [
            Candidate(up, up.seed, up.registration.slots * weights[area(up)]) for up in usable
        ]
        ranking = _Ranking(version, candidates, {})
        self._rankings[service, rule.homes, bulky] = ranking
        return ranking

    def _weigh(
        self, candidates: list[Upstream], homes: frozenset[str], near: bool
    ) -> dict[str, float]:
        """Return the weight of a slot of each zone (`near`) or else of each region."""
        area = _zone_of if near else _region_of
        slots: Counter[str] = Counter()
        for upstream in candidates:
            slots[area(upstream)] += upstream.registration.slots
        regions = {
            zone if near else region: region
            for zone, region in self._book.regions.items()
            if not homes or region in homes
        }
        here = self._zone if near else self._book.regions.get(self._zone, "")
        return slot_weights(slots, here, regions)

    # What became of requests.

    def record_sent(self, upstream: Upstream, now: timedelta) -> None:
        """Note that a request goes to `upstream`."""
        upstream.in_flight += 1
        if upstream.cold_until > now:
            upstream.cold_sends.append(now)

    def record_end(self, upstream: Upstream) -> None:
        """Note that a request there is over."""
        upstream.in_flight -= 1

    def record_report(self, upstream: Upstream, report: LoadReport) -> None:
        """Note what an endpoint says of its load."""
        upstream.report = report
        service = upstream.registration.service
        found = others_load(report) / max(1, report.slots)
        known = self._usual.get(service, 0.0)
        self._usual[service] = known + (found - known) * SMOOTHING

    def record_answer(self, upstream: Upstream, took: timedelta, load: float) -> None:
        """Note an answer from an endpoint that had `load` requests when this one was sent."""
        upstream.failures = 0
        upstream.ejected_until = _ZERO
        alone = took / max(1.0, (load + 1) / upstream.registration.slots)
        known = upstream.service_time
        upstream.service_time = alone if known is None else known + (alone - known) * SMOOTHING

    def record_refusal(self, upstream: Upstream, now: timedelta, *, had_room: bool) -> None:
        """Note that the endpoint refused a request; `had_room` if it reported a free slot then."""
        if not had_room:
            upstream.full_until = now + _FULL_TIME

    def record_failure(self, upstream: Upstream, now: timedelta) -> None:
        """Note that a request there failed; after some in a row the endpoint rests."""
        upstream.failures += 1
        if upstream.failures >= _FAILURES_TO_REST:
            rest = _FIRST_REST * 2 ** min(upstream.failures - _FAILURES_TO_REST, 4)
            upstream.ejected_until = now + min(rest, _LONGEST_REST)


def _reason(chosen: Upstream, home: Upstream, first_fit: Upstream, repeated: bool) -> Reason:
    if repeated:
        return Reason.REPEAT
    if chosen is home:
        return Reason.PRIMARY
    return Reason.MOVED if chosen is first_fit else Reason.OVERFLOW


def _fills_zones(usable: list[Upstream]) -> bool:
    """Tell whether zones have endpoints enough to keep objects within them."""
    zones = {upstream.registration.zone for upstream in usable}
    return len(usable) >= ENDPOINTS_IN_ZONE * len(zones)


def _zone_of(upstream: Upstream) -> str:
    return upstream.registration.zone


def _region_of(upstream: Upstream) -> str:
    return upstream.region
