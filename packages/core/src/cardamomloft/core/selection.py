"""Selection of the upstream endpoint for a request.

Endpoints cache the data behind the affinity keys that they have served lately, and a cache hit is
much faster than a miss. Each key therefore has a primary and a secondary endpoint, found by
rendezvous hashing over the registered endpoints. A request leaves its primary endpoint when
waiting there would exceed the target latency of its rule, and is refused when the secondary
endpoint is too busy as well.
"""

import random
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta

from cardamomloft.core.affinity import text_hash
from cardamomloft.core.budgets import Division
from cardamomloft.core.cachestate import CacheState, CacheTracker
from cardamomloft.core.choices import Choice, Preferences, Reason
from cardamomloft.core.coldness.limits import ColdLimit, cold_allowance
from cardamomloft.core.coldness.sendcounts import SendCounts
from cardamomloft.core.connectivity.outages import EndpointOutages
from cardamomloft.core.estimates import (
    SMOOTHING_FACTOR,
    describe_load,
    expected_load,
)
from cardamomloft.core.loads.sharedloads import SharedLoads
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.placement.loadbounds import LoadBounds
from cardamomloft.core.placement.shared import CROSS_REGION_S, PlacedRequest, SharedPlacement
from cardamomloft.core.ranking import RANKED_ENDPOINTS, KeyRanker
from cardamomloft.core.ranks import EntryRanks
from cardamomloft.core.ratelimits import RateLimits
from cardamomloft.core.routes import RouteRule, ServicePolicy
from cardamomloft.core.sizes import BodySizes
from cardamomloft.core.upstreamtable import LoadReport, Upstream, UpstreamTable

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a service's endpoints that may be ejected at one time.

Failures are a guess; endpoints that accept no connections are left out whatever their number.
"""

_FAILURES_TO_EJECT = 2
"""Consecutive failures after which an endpoint is ejected; a single one may be a lost answer."""

_INITIAL_EJECTION = timedelta(milliseconds=300)
"""Duration of the first ejection; it doubles with each further failure."""

_MAX_EJECTION = timedelta(seconds=4)
"""Upper bound of the ejection time. Callers wait for seconds, so the back-off must stay short."""

_FULL_TIME = timedelta(milliseconds=60)
"""How long an endpoint counts as full after it refused a request for lack of a free slot.

During this time its keys use their secondary endpoint under the same load bound as for any full
primary. It is a fraction of a usual service time, after which a slot may be free again.
"""

_ZERO = timedelta(0)


class Selector:
    """Chooses endpoints for the requests of one entry.

    Parameters
    ----------
    table
        The registered endpoints.
    name, zone
        This entry's name and zone.
    cold_limit
        Requests that a cold endpoint accepts beyond its service's rate.
    preferences
        Tuning parameters.
    rng
        Draws among nearly equal endpoints of services whose loads are shared.

    Attributes
    ----------
    policies
        The policy of each service.
    entries
        Number of entries that share the limits.
    record_age
        Returns how long this entry has been recorded at an instant.
    body_sizes : BodySizes
        Body sizes of the requests of each rule.
    ranker : KeyRanker
        Ranks endpoints for affinity keys.
    rate_limits : RateLimits
        The rate limits that endpoints have stated.
    cache_states : CacheTracker
        Cache states of the keys at the endpoints.
    shared_loads : SharedLoads
        The loads that entries share; by default those of no service.
    outages : EndpointOutages
        The endpoints that accept no connections, which get no requests however many they are.
    send_counts : SendCounts
        Counts of the requests sent to each endpoint, for the log.
    has_connection
        Returns whether there is an idle connection to an address.
    """

    def __init__(
        self,
        table: UpstreamTable,
        name: str,
        zone: str,
        cold_limit: ColdLimit,
        preferences: Preferences,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self._zone = zone
        self.cold_limit = cold_limit
        self._preferences = preferences
        self.body_sizes = BodySizes()
        self.ranker = KeyRanker(table, zone, self.body_sizes)
        self.cache_states = CacheTracker()
        self.shared_loads = SharedLoads(table, self.cache_states.shared, self.record_report)
        self.rate_limits = RateLimits()
        self.policies: Mapping[str, ServicePolicy] = {}
        self.entries = 1
        self.outages = EndpointOutages()
        self.send_counts = SendCounts()
        self.has_connection: Callable[[str], bool] = lambda address: False
        self.record_age: Callable[[timedelta], timedelta] = lambda now: timedelta.max
        self._bounds = LoadBounds(preferences, self.cache_states)
        self._ranks = EntryRanks(name)
        rng = rng or random.Random(text_hash(name))
        self._placement = SharedPlacement(self.cache_states, rng, table.of_service)
        self._placement.sends_late = preferences.shared_late

    @property
    def others(self) -> Collection[str]:
        """Names of the other entries."""
        return self._ranks.others

    @others.setter
    def others(self, names: Collection[str]) -> None:
        self._ranks.set_others(names)

    def entry_rank(self, name: str) -> int:
        """Return this entry's rank among all entries, from 0, for anything with a name."""
        return self._ranks.rank_for(name, text_hash(name))

    def division(self, now: timedelta) -> Division:
        """Return how the limits over all entries are divided."""
        return Division(self.entries, self.record_age(now))

    def choose(
        self,
        rule: RouteRule,
        service: str,
        key: str,
        tried: Collection[str],
        until: timedelta,
        now: timedelta,
    ) -> Choice | Refusal:
        """Return the endpoint for a request, or a refusal if none is available.

        Parameters
        ----------
        rule
            The rule that matched.
        service
            The service that was chosen among the rule's.
        key
            The affinity key; if there is none, any text that differs between requests.
        tried
            Ids of endpoints that this request was already sent to.
        until
            Monotonic instant by which the answer is due.
        now
            Monotonic instant.
        """
        order = self.ranker.first(rule, service, key)
        if not order:
            return Refusal(RefusalReason.NO_PLACE, f"{service} has no endpoint")
        if all(self._is_out(up, tried, now) for up in order):
            order = self.ranker.all(rule, service, key)
        primary = order[0]
        if self.outages:
            order = [up for up in order if not self._is_lost(up)]
            if not order:
                detail = f"no endpoint of {service} accepts connections"
                return Refusal(RefusalReason.UNREACHABLE, detail)
            order = [up for up in order if not self._is_returning(up, now)]
            if not order:
                detail = f"the endpoints of {service} were unreachable a moment ago"
                return Refusal(RefusalReason.OVERLOAD, detail)
        holds = [self._hold(up, now) for up in order]
        if min(holds):
            return _on_hold(service, min(holds))
        order = [up for up, hold in zip(order, holds, strict=True) if not hold]
        eligible = [up for up in order if up.ejected_until <= now]
        if len(eligible) < len(order) * (1 - MAX_EJECTED_FRACTION):
            eligible = order
        warm = [up for up in eligible if up.cold_until <= now]
        if warm and self._chooses_by_time(service):
            left = self._untried_shared(warm, rule, tried)
            if left and self._placement.knows(left, now):
                return self._choose_shared(left, primary, rule, key, tried, until, now)
        count = self._preferences.endpoints_per_key if rule.keyed else RANKED_ENDPOINTS
        untried = [up for up in warm if up.id not in tried][:count]
        chosen = None
        if rule.keyed and not tried and len(untried) > 1:
            chosen = self._bounds.faster_secondary(untried[0], untried[1], key, until, now)
        if chosen is None:
            chosen = self._bounds.with_room(
                untried,
                bool(tried),
                rule,
                until,
                now,
                endpoints_lost=self.has_lost(service),
            )
        if chosen is not None:
            return Choice(chosen, _reason(chosen, primary, untried[0], bool(tried)))
        cold = [up for up in eligible if up.cold_until > now and up.id not in tried]
        if not warm:
            chosen = self._cold_with_room(cold, now)
        if chosen is not None:
            return Choice(chosen, Reason.RETRY if tried else Reason.COLD)
        loads = ", ".join(describe_load(up, now) for up in untried) or f"{len(cold)} cold"
        return Refusal(RefusalReason.OVERLOAD, f"no endpoint has room for {key}: {loads}")

    def _chooses_by_time(self, service: str) -> bool:
        """Return whether endpoints of a service are chosen by expected response time.

        The load bounds answer more requests in time where endpoints don't state their work time.
        """
        always = self._preferences.by_response_time and self.shared_loads.is_shared(service)
        return always or self.shared_loads.states_work(service)

    def _untried_shared(
        self, warm: list[Upstream], rule: RouteRule, tried: Collection[str]
    ) -> list[Upstream]:
        """Return the endpoints of a key that are compared with each other."""
        count = self._preferences.shared_endpoints_per_key if rule.keyed else RANKED_ENDPOINTS
        return [up for up in warm if up.id not in tried][:count]

    def _choose_shared(
        self,
        upstreams: list[Upstream],
        primary: Upstream,
        rule: RouteRule,
        key: str,
        tried: Collection[str],
        until: timedelta,
        now: timedelta,
    ) -> Choice | Refusal:
        """Return the endpoint for a request of a service whose loads are shared."""
        region = self._table.regions.get(self._zone, "")
        request = PlacedRequest(rule, key, region, until, now)
        found = self._placement.choose(
            request,
            upstreams,
            lambda region: self._in_region(rule, upstreams[0], key, region, tried, now),
        )
        if found is None:
            loads = ", ".join(describe_load(up, now) for up in upstreams)
            return Refusal(RefusalReason.OVERLOAD, f"no endpoint can answer {key} in time: {loads}")
        chosen, reason = found
        if tried or chosen is primary or chosen is upstreams[0]:
            reason = _reason(chosen, primary, upstreams[0], bool(tried))
        return Choice(chosen, reason)

    def _in_region(
        self,
        rule: RouteRule,
        first: Upstream,
        key: str,
        region: str,
        tried: Collection[str],
        now: timedelta,
    ) -> list[Upstream]:
        """Return the available warm endpoints of a key in a region to which it is moved."""
        found = [
            up
            for up in self.ranker.in_region(rule, first.registration.service, key, region)
            if up.ejected_until <= now and not self._is_out(up, tried, now)
        ]
        return found[: self._preferences.shared_endpoints_per_key]

    def set_sends_late(self, sends_late: bool) -> None:
        """Send requests of shared services that will be late, or refuse them for lack of room.

        A gateway with a queue holds what is refused here until there is room.
        """
        self._placement.sends_late = sends_late

    def region_shares(self, service: str) -> dict[tuple[str, str], float]:
        """Return the shares of keys that are moved, by the regions that they leave and go to."""
        return self._placement.regions.shares(service)

    def has_alternative(self, rule: RouteRule, service: str, tried: Collection[str]) -> bool:
        """Return whether an endpoint that was not tried accepts connections, as far as is known."""
        return any(
            up.id not in tried and not self._is_lost(up)
            for up in self._table.of_service(service)
            if not rule.homes or up.region in rule.homes
        )

    def has_lost(self, service: str) -> bool:
        """Return whether any endpoint of a service accepts no connections."""
        return bool(self.outages) and any(map(self._is_lost, self._table.of_service(service)))

    def _is_out(self, upstream: Upstream, tried: Collection[str], now: timedelta) -> bool:
        """Return whether an endpoint is cold, or can't get this request now."""
        if upstream.cold_until > now or upstream.id in tried or self._hold(upstream, now):
            return True
        if not self.outages:
            return False
        return self._is_lost(upstream) or self._is_returning(upstream, now)

    def _is_lost(self, upstream: Upstream) -> bool:
        address = upstream.registration.address
        return self.outages.is_lost(address) and self.outages.is_lost(
            address, connected=self.has_connection(address)
        )

    def _is_returning(self, upstream: Upstream, now: timedelta) -> bool:
        row = upstream.registration
        rank = self._ranks.rank_for(upstream.id, upstream.seed)
        return self.outages.is_returning(row.address, upstream.in_flight, rank, row.slots, now)

    def _hold(self, upstream: Upstream, now: timedelta) -> timedelta:
        """Return the time until an endpoint accepts a request of this entry.

        An endpoint may have asked for a pause, or limited the rate of all entries.
        """
        pause = upstream.paused_until - now if upstream.paused_until > now else _ZERO
        if not self.rate_limits:
            return pause
        wait = self.rate_limits.wait(
            upstream.incarnation,
            self.division(now),
            lambda: self._ranks.rank_for(upstream.id, upstream.seed),
            now,
        )
        return max(pause, wait)

    def _cold_with_room(self, cold: list[Upstream], now: timedelta) -> Upstream | None:
        for upstream in cold:
            policy = self.policies.get(upstream.registration.service)
            rate = policy.cold_per_s if policy else 0.0
            rank = self._ranks.rank_for(upstream.id, upstream.seed)
            allowance = cold_allowance(rate, self.cold_limit, self.division(now), rank)
            if upstream.recent_sends.count(now) < allowance:
                return upstream
        return None

    # Feedback from requests.

    def record_sent(self, upstream: Upstream, now: timedelta) -> None:
        """Record that a request is sent to `upstream`."""
        upstream.in_flight += 1
        self.send_counts.record(upstream)
        self.shared_loads.record_sent(upstream, now)
        if self.rate_limits:
            self.rate_limits.record_sent(upstream.incarnation)
        upstream.recent_sends.record(now)

    def record_end(self, upstream: Upstream) -> None:
        """Record the end of a request, whatever its outcome."""
        upstream.in_flight -= 1

    def record_report(self, upstream: Upstream, report: LoadReport) -> None:
        """Record a load report of an endpoint, and update the average load of its service."""
        upstream.report = report
        self._bounds.record_report(upstream, report)

    def record_answer(self, upstream: Upstream, took: timedelta, load: float) -> None:
        """Record an answer, and update the service time of the endpoint.

        Parameters
        ----------
        upstream
            The endpoint.
        took
            The time from sending the request to the end of its answer, waiting included.
        load
            Requests that the endpoint had when this one was sent.
        """
        upstream.failures = 0
        upstream.ejected_until = _ZERO
        observed = took / max(1.0, (load + 1) / upstream.registration.slots)
        average = upstream.service_time
        upstream.service_time = (
            observed if average is None else average + (observed - average) * SMOOTHING_FACTOR
        )

    def load_of(self, upstream: Upstream, now: timedelta) -> float:
        """Return the expected number of requests at an endpoint, running and waiting."""
        if self.shared_loads.is_shared(upstream.registration.service):
            return self._placement.load(upstream, now)
        return expected_load(upstream, now)

    def record_work(
        self,
        upstream: Upstream,
        took: timedelta,
        load: float,
        state: CacheState,
        target: timedelta,
    ) -> None:
        """Record the work time of an answered request if the loads of its service are shared."""
        if self.shared_loads.is_shared(upstream.registration.service):
            here = upstream.region == self._table.regions.get(self._zone, "")
            seconds = took.total_seconds() - (0 if here else CROSS_REGION_S)
            self._placement.record_answer(upstream, seconds, load, state, target)

    def record_refusal(self, upstream: Upstream, now: timedelta, *, had_room: bool) -> None:
        """Record that the endpoint refused a request; `had_room` if it reported a free slot."""
        if not had_room:
            upstream.full_until = now + _FULL_TIME
            self._placement.record_full(upstream)

    def record_failure(self, upstream: Upstream, now: timedelta) -> None:
        """Record a failed request, and eject the endpoint after consecutive failures."""
        upstream.failures += 1
        if upstream.failures >= _FAILURES_TO_EJECT:
            ejection = _INITIAL_EJECTION * 2 ** min(upstream.failures - _FAILURES_TO_EJECT, 4)
            upstream.ejected_until = now + min(ejection, _MAX_EJECTION)

    def forget_failures(self) -> None:
        """Use ejected endpoints again, as their failures had another cause."""
        for upstream in self._table.all():
            upstream.failures = 0
            upstream.ejected_until = _ZERO


def _on_hold(service: str, hold: timedelta) -> Refusal:
    """Return the refusal while no endpoint accepts requests; the first does after `hold`."""
    detail = f"all endpoints of {service} are paused or at their rate limits"
    return Refusal(RefusalReason.OVERLOAD, detail, None if hold == timedelta.max else hold)


def _reason(
    chosen: Upstream, primary: Upstream, first_eligible: Upstream, is_retry: bool
) -> Reason:
    if is_retry:
        return Reason.RETRY
    if chosen is primary:
        return Reason.PRIMARY
    return Reason.MOVED if chosen is first_eligible else Reason.OVERFLOW
