"""Bounds on the load of an endpoint by which requests stay at, leave or avoid it.

They apply to services whose loads gateways don't share, and to endpoints that no gateway has heard
of lately.
"""

from datetime import timedelta

from cardamomloft.core.cachestate import CacheState, CacheTracker
from cardamomloft.core.choices import Preferences
from cardamomloft.core.estimates import (
    SMOOTHING_FACTOR,
    expected_load,
    expected_time,
    others_load,
)
from cardamomloft.core.routes import RouteRule
from cardamomloft.core.upstreamtable import LoadReport, Upstream

CACHE_MISS_FACTOR = 3
"""Approximate ratio of the service time of a cache miss to that of a hit."""

MAX_SECONDARY_TIME_RATIO = 0.8
"""The secondary endpoint is preferred only if its expected time is below this fraction of the
primary's. Both times are smoothed estimates, so small differences are ignored."""

ASSUMED_LOAD_FRACTION = 0.25
"""Fraction of a service's average load that is assumed at an endpoint without a fresh report."""


class LoadBounds:
    """Finds the first endpoint of a key whose load is within its bound.

    Parameters
    ----------
    preferences
        The bounds.
    cache_states
        Cache states of the keys at the endpoints.
    """

    def __init__(self, preferences: Preferences, cache_states: CacheTracker) -> None:
        self._preferences = preferences
        self._cache_states = cache_states
        self._average_loads: dict[str, float] = {}

    def record_report(self, upstream: Upstream, report: LoadReport) -> None:
        """Update the average load of a service by a report of one of its endpoints."""
        service = upstream.registration.service
        load = others_load(report) / max(1, report.slots)
        average = self._average_loads.get(service, 0.0)
        self._average_loads[service] = average + (load - average) * SMOOTHING_FACTOR

    def with_room(
        self,
        warm: list[Upstream],
        is_retry: bool,
        rule: RouteRule,
        until: timedelta,
        now: timedelta,
        *,
        endpoints_lost: bool = False,
    ) -> Upstream | None:
        """Return the first endpoint in order that has room and is expected to answer in time.

        While endpoints are lost, the requests of all entries move to the others, so that one which
        is the first for a key is as busy as the service, even without a recent report.
        """
        preferences = self._preferences
        other = preferences.retry_load if is_retry else preferences.secondary_load
        for place, upstream in enumerate(warm):
            if upstream.full_until > now:
                continue
            is_primary = not rule.keyed or not (place or is_retry)
            if endpoints_lost:
                assumed = self._average_loads.get(upstream.registration.service, 0.0)
            else:
                assumed = 0.0 if is_primary else self._assumed_load(upstream)
            load = expected_load(upstream, now, assumed)
            bound = self._primary_bound(upstream, rule) if is_primary else other
            has_room = load < bound * upstream.registration.slots
            if has_room and now + expected_time(upstream, load) < until:
                return upstream
        return None

    def faster_secondary(
        self, primary: Upstream, secondary: Upstream, key: str, until: timedelta, now: timedelta
    ) -> Upstream | None:
        """Return the secondary endpoint if it has the key cached and should answer much sooner.

        This evens out the imbalance of hashing without additional cache misses, since a key is
        cached at its secondary endpoint only after its primary was full.
        """
        load = expected_load(secondary, now)
        bound = self._preferences.cached_load * secondary.registration.slots
        if load >= bound or secondary.full_until > now:
            return None
        if self._cache_states.state_of(secondary, key) is not CacheState.HIT:
            return None
        secondary_time = expected_time(secondary, load)
        primary_time = expected_time(primary, expected_load(primary, now))
        if self._cache_states.state_of(primary, key) is CacheState.MISS:
            primary_time *= CACHE_MISS_FACTOR
        return (
            secondary
            if secondary_time < MAX_SECONDARY_TIME_RATIO * primary_time
            and now + secondary_time < until
            else None
        )

    def _assumed_load(self, upstream: Upstream) -> float:
        """Return the load by other entries to assume at an endpoint without a fresh report.

        With many entries and few endpoints most reports are old. If such endpoints counted as
        idle, all entries would overflow to the same ones and evict the keys cached there.
        """
        return ASSUMED_LOAD_FRACTION * self._average_loads.get(upstream.registration.service, 0.0)

    def _primary_bound(self, upstream: Upstream, rule: RouteRule) -> float:
        """Return the load, in multiples of the slots, at which an answer would miss its target."""
        preferences = self._preferences
        if not upstream.service_time:
            return preferences.default_load
        return min(
            max(rule.target / upstream.service_time, preferences.min_load), preferences.max_load
        )
