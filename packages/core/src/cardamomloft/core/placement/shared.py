"""Placement of the requests of services whose loads are shared between gateways."""

import random
import typing as t
from collections.abc import Callable, Sequence
from datetime import timedelta

from cardamomloft.core.cachestate import CacheState, CacheTracker
from cardamomloft.core.choices import Reason
from cardamomloft.core.estimates import others_load
from cardamomloft.core.placement.choosing import Option, choose_option, must_wait
from cardamomloft.core.placement.regions import RegionShares
from cardamomloft.core.placement.response import (
    MAX_AGE_S,
    report_age,
    response_time,
    shared_load,
    slowdown,
)
from cardamomloft.core.placement.worktimes import WorkTimes, limited
from cardamomloft.core.routes import RouteRule
from cardamomloft.core.upstreamtable import Upstream

CROSS_REGION_S = 0.07
"""Time in seconds that the links to another region and back are assumed to add to an answer.

Regions are 20 to 35 ms apart one way. What is longer or shorter shows in an endpoint's work ratio.
"""

MAX_WORK_FRACTION = 0.9
"""Maximum expected work time as a fraction of the timeout of the request's rule.

Longer work is never observed. Without the limit, estimates beyond the timeout would have all
requests refused, also by idle endpoints, and no answer could correct them.
"""

LOAD_WEIGHT = 1 / 32
"""Weight of a report in the usual load of a service."""

RATIO_WEIGHT = 1 / 8
"""Weight of a sample in the ratio of an endpoint's work time to the service's."""


EndpointsIn = Callable[[str], Sequence[Upstream]]


class PlacedRequest(t.NamedTuple):
    """A request to place.

    Attributes
    ----------
    rule
        The rule that matched.
    key
        The affinity key.
    region
        The region of this gateway.
    until
        Monotonic instant by which the answer is due.
    now
        Monotonic instant.
    """

    rule: RouteRule
    key: str
    region: str
    until: timedelta
    now: timedelta


class SharedPlacement:
    """Chooses endpoints by expected response time, and keeps what these times are derived from.

    Parameters
    ----------
    cache_states
        Cache states of the keys at the endpoints.
    rng
        Draws among nearly equal endpoints.
    endpoints_of
        Returns the usable endpoints of a service.

    Attributes
    ----------
    sends_late
        Whether requests are sent where they have to wait and will miss their target.
    regions : RegionShares
        The regions to which keys are moved.
    """

    def __init__(
        self,
        cache_states: CacheTracker,
        rng: random.Random,
        endpoints_of: Callable[[str], Sequence[Upstream]],
    ) -> None:
        self.sends_late = True
        self.regions = RegionShares(endpoints_of, self.load)
        self._cache_states = cache_states
        self._rng = rng
        self.work_times = WorkTimes()
        self._usual_loads: dict[str, float] = {}
        self._queue_limits: dict[str, int] = {}

    def knows(self, upstreams: Sequence[Upstream], now: timedelta) -> bool:
        """Return whether the load of any of these endpoints is known."""
        now_s = now.total_seconds()
        return any(report_age(upstream, now_s) < MAX_AGE_S for upstream in upstreams)

    def choose(
        self, request: PlacedRequest, upstreams: Sequence[Upstream], moved: EndpointsIn
    ) -> tuple[Upstream, Reason] | None:
        """Return an endpoint and the reason if it isn't the first, or None if none has room.

        Parameters
        ----------
        request
            The request.
        upstreams
            Endpoints of one service in the key's order of preference, at least one.
        moved
            Returns the key's endpoints in a region to which it is moved.
        """
        home, service = upstreams[0].region, upstreams[0].registration.service
        region = self.regions.region_for(service, home, request.key, request.now)
        if region != home:
            found = self._choose_among(request, moved(region), only_in_time=True)
            if found is not None:
                return found[0], Reason.REGION
        return self._choose_among(request, upstreams, only_in_time=False)

    def _choose_among(
        self, request: PlacedRequest, upstreams: Sequence[Upstream], *, only_in_time: bool
    ) -> tuple[Upstream, Reason] | None:
        """Return an endpoint, or None if all are full or late, also if only late for the target."""
        found = self._options(request, upstreams, request.now.total_seconds())
        deadline_s = (request.until - request.now).total_seconds()
        target_s = deadline_s - (request.rule.timeout - request.rule.target).total_seconds()
        options = [option for _, option in found]
        if (only_in_time or not self.sends_late) and must_wait(options, target_s):
            return None
        place = choose_option(options, target_s, deadline_s, self._rng)
        if place is None:
            return None
        chosen = found[place][0]
        if options[place].is_cached:
            return chosen, Reason.SOONER
        copied = any(option.is_cached for option in options)
        return chosen, Reason.COPY if copied else Reason.OVERFLOW

    def _options(
        self, request: PlacedRequest, upstreams: Sequence[Upstream], now_s: float
    ) -> list[tuple[Upstream, Option]]:
        """Return those of the endpoints that aren't full, with their expected response times."""
        found: list[tuple[Upstream, Option]] = []
        if not upstreams:
            return found
        rule, now = request.rule, request.now
        service = upstreams[0].registration.service
        work = self.work_times.of(service, rule.target)
        max_work = MAX_WORK_FRACTION * rule.timeout.total_seconds()
        usual, limit = self._usual_loads.get(service, 0.0), self._queue_limits.get(service)
        for upstream in upstreams:
            slots, age_s = upstream.registration.slots, report_age(upstream, now_s)
            if age_s < MAX_AGE_S:
                usual = self._observe(service, upstream, usual)
            load = shared_load(upstream, age_s, usual)
            if upstream.full_until > now or (limit is not None and load >= slots + limit):
                continue
            cached = not rule.keyed or (
                self._cache_states.state_of(upstream, request.key) is not CacheState.MISS
            )
            factor = slowdown(upstream.report, age_s) * upstream.work_ratio
            own = min(work.hit if cached else work.miss, max_work / factor)
            seconds = response_time(load, slots, own, work.mean, factor)
            if upstream.region != request.region:
                seconds += CROSS_REGION_S
            found.append((upstream, Option(seconds, cached, slots - load)))
        self._usual_loads[service] = usual
        return found

    def load(self, upstream: Upstream, now: timedelta) -> float:
        """Return the expected number of requests at an endpoint."""
        usual = self._usual_loads.get(upstream.registration.service, 0.0)
        return shared_load(upstream, report_age(upstream, now.total_seconds()), usual)

    def record_answer(
        self, upstream: Upstream, seconds: float, load: float, state: CacheState, target: timedelta
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        upstream
            The endpoint.
        seconds
            Time from sending the request to its answer, without the latency of links.
        load
            Requests that the endpoint had when this one was sent.
        state
            The cache state of the key when the request was sent.
        target
            The target latency of the request's rule.
        """
        service, report = upstream.registration.service, upstream.report
        if report is not None:
            seconds *= 100 / report.work_percent
        seconds /= max(1.0, (load + 1) / upstream.registration.slots)
        work = self.work_times.of(service, target)
        expected = work.miss if state is CacheState.MISS else work.hit
        ratio = limited(seconds / max(expected, 1e-6), 1.0)
        upstream.work_ratio += (ratio - upstream.work_ratio) * RATIO_WEIGHT
        self.work_times.record(service, state, seconds)

    def record_full(self, upstream: Upstream) -> None:
        """Record that an endpoint refused a request for lack of room in its queue."""
        if upstream.report is not None:
            service, waiting = upstream.registration.service, upstream.report.waiting
            self._queue_limits[service] = max(self._queue_limits.get(service, 0), waiting)

    def _observe(self, service: str, upstream: Upstream, usual: float) -> float:
        """Return the usual load of a service, in multiples of the slots, after a fresh report."""
        report = upstream.report
        if report is None:
            return usual
        if report.waiting > self._queue_limits.get(service, report.waiting):
            self._queue_limits[service] = report.waiting
        return usual + (others_load(report) / max(1, report.slots) - usual) * LOAD_WEIGHT
