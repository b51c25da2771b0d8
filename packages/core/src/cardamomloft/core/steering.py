"""Chooses a zone and its endpoints for each request.

:class:`Steering` combines the stages of the decision: which zones are open
(:mod:`~cardamomloft.core.places`), the target distribution of each rule's traffic
(:mod:`~cardamomloft.core.shifting`), the rate at which traffic may shift towards it
(:mod:`~cardamomloft.core.ramping`), and which endpoints of a zone can take the request
(:mod:`~cardamomloft.core.hints`). All stages run on local state and clocks, so shifts continue
while no messages arrive.
"""

import random
import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document
from cardamomloft.core.hints import MAX_REPORT_AGE, Candidate, LoadReport, median_latency
from cardamomloft.core.model import Endpoint, Refusal, RefusalReason, Request
from cardamomloft.core.places import EndpointIndex, ServiceState
from cardamomloft.core.ramping import Movement
from cardamomloft.core.rules import Directive, RuleSet
from cardamomloft.core.shifting import Schedule, ServiceSnapshot
from cardamomloft.core.streams import Stream, Streams
from expression import Error, Ok, Result

_MIN_RETRY_AFTER = timedelta(milliseconds=50)
_RETRY_AFTER_JITTER = 0.5
_GOLDEN_RATIO_FRACTION = 0.618034  # Its multiples modulo 1 are evenly distributed.
_ZERO = timedelta(0)


class Choice(t.NamedTuple):
    """The place and the endpoints chosen for a request.

    `endpoints` are in order of preference, with those that have no free slot last. It is empty if
    no endpoint may take another request at present; the caller then queues the request for the
    place and chooses again later. `spill_key` is the additional limit to hold if the place is used
    as spill-over.
    """

    place: str
    endpoints: tuple[Endpoint, ...]
    spill_key: str | None


class DrainProgress(t.NamedTuple):
    """Progress of a drain at this entry, for one service in one zone.

    `traffic` is the largest fraction of any rule's traffic that still belongs to the zone, and
    `ends_in` the estimated time until the last request there ends.
    """

    service: str
    zone: str
    traffic: float
    in_flight: int
    ends_in: timedelta


class Steering:
    """Chooses a place and endpoints for every request of one entry.

    Parameters
    ----------
    zone, region
        Location of this entry.
    clock
        Source of time.
    rng
        Draws the start of the endpoint rotation in each zone, so that entries differ in it.
    free
        Returns how much of a limit this entry may use now.
    base
        Returns this entry's base share of a limit according to the document.
    """

    def __init__(
        self,
        zone: str,
        region: str,
        clock: Clock,
        rng: random.Random,
        free: Callable[[str], int] = lambda key: 1,
        base: Callable[[str], int] = lambda key: 0,
    ) -> None:
        self._region = region
        self._clock = clock
        self._free = free
        self._schedule = Schedule(clock)
        self._index = EndpointIndex(zone, region, rng, lambda name: base(f"slots/{name}"))
        self._streams = Streams(zone, region, clock, self._schedule)
        self._services: dict[str, ServiceState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._document: Document | None = None
        self._cap_refusals = 0

    def configure(self, document: Document) -> None:
        """Apply a document to all later choices."""
        self.tick()
        old, self._document = self._document, document
        if old is not None and old["rules"] != document["rules"]:
            self._streams.start_transition(RuleSet(old), self._services)
        for name in self._services.keys() - document["services"].keys():
            self._streams.forget_service(name)
        self._schedule.configure(document)
        self._services = self._index.configure(document)
        self.tick()

    def on_report(self, endpoint: str, report: LoadReport) -> None:
        """Record an endpoint's load report and apply the drain that it may announce."""
        state = self._index.states.get(endpoint)
        if state is None:
            return
        now = self._clock.monotonic()
        state.on_report(report)
        if not state.reports_draining(now):
            return
        service = self._services[state.endpoint.service]
        if state.honors_drain(now) or (not state.is_ejected(now) and service.may_eject(state, now)):
            state.honor_drain_until(report.at + MAX_REPORT_AGE)

    def on_report_lost(self, endpoint: str) -> None:
        """Ignore a missing load report; the last one stays valid until it expires."""

    def on_leaving(self, endpoints: Iterable[str]) -> None:
        """Exclude the endpoints that the platform reports as leaving or gone."""
        self._leaving = frozenset(endpoints)
        self._invalidate_snapshots()

    def on_started(self, endpoint: str) -> None:
        """Count a request sent to an endpoint."""
        state = self._index.states.get(endpoint)
        if state is not None:
            state.on_started(self._clock.monotonic())

    def on_finished(self, endpoint: str) -> None:
        """Count the end of a request, whatever its result."""
        state = self._index.states.get(endpoint)
        if state is not None:
            state.on_finished(self._clock.monotonic())

    def on_result(self, endpoint: str, ok: bool, latency: timedelta) -> None:
        """Record the result of a request; `ok` is False if the endpoint failed or timed out."""
        state = self._index.states.get(endpoint)
        if state is None:
            return
        now, was_failing = self._clock.monotonic(), state.failing
        service = self._services[state.endpoint.service]
        state.on_result(ok, latency, service.reference_latency(state) if state.cold else None)
        if state.failing and not state.is_ejected(now) and service.may_eject(state, now):
            state.eject(now)
        if state.failing != was_failing:
            service.invalidate()

    def on_shed(self, endpoint: str) -> None:
        """Record that an endpoint refused a request; it is skipped for a short back-off."""
        state = self._index.states.get(endpoint)
        if state is None:
            return
        state.on_shed(self._clock.monotonic())
        self._services[state.endpoint.service].invalidate()

    def tick(self) -> None:
        """Advance all shifts; call it every 20 to 50 ms, with or without requests."""
        now = self._clock.monotonic()
        self._advance()
        for service in self._services.values():
            snapshot = self._snapshot_of(service)
            for stream in self._streams.of_service(service.name):
                stream.refresh(snapshot, self._schedule, service, now)
        self._streams.end_transition()

    def choose(
        self,
        req: Request,
        directive: Directive,
        exclude: frozenset[str] = frozenset(),
        place: str | None = None,
    ) -> Result[Choice, Refusal]:
        """Choose a place and the order of its endpoints for one request.

        Parameters
        ----------
        req
            The request.
        directive
            The effect of the matching rule.
        exclude
            Endpoints that were already tried for this request.
        place
            The place chosen earlier, if the request was queued there. It is kept as long as it is
            open, and the request is not counted again.

        Errors
        ------
        Refusal
            NO_SERVICE if the service is not configured; NO_PLACE if no place is open or every
            endpoint was tried; CAP if the request belongs to a closed place whose traffic has not
            moved yet.
        """
        service = self._services.get(req.service)
        if service is None:
            return Error(Refusal(RefusalReason.NO_SERVICE, req.service))
        self._advance()
        snapshot = self._snapshot_of(service)
        stream = self._streams.get(service, snapshot, req, directive)
        if not stream.target.fractions:
            return Error(Refusal(RefusalReason.NO_PLACE, "no place of the rule is open"))
        probe = self._choose_probe(service, stream, req, exclude)
        if probe is not None:
            return Ok(probe)
        if place is None or place in stream.closed or not snapshot.slots.get(place):
            stream.requests += 1
            stream.shift.count_overflow()
            place = stream.shift.pick(req.priority, stream.closed)
        if place is None:
            return Error(self._cap_refusal(service, stream))
        return self._choose_at(service, stream, req, place, exclude)

    def movements(self) -> list[Movement]:
        """Return all shifts in progress, for status pages."""
        return self._streams.movements(self._services)

    def drains(self) -> list[DrainProgress]:
        """Return the progress of all drained zones at this entry."""
        rows = []
        for service in self._services.values():
            shifts = [stream.shift for stream in self._streams.of_service(service.name)]
            for name in sorted(self._snapshot_of(service).drained):
                zone = service.zones[name]
                traffic = max((shift.on({name}) for shift in shifts), default=0.0)
                median = median_latency(zone.states) or _ZERO
                in_flight_time = median if zone.running else _ZERO
                ends_in = timedelta(seconds=traffic / service.cap) + in_flight_time
                rows.append(DrainProgress(service.name, name, traffic, zone.running, ends_in))
        return rows

    def _choose_at(
        self,
        service: ServiceState,
        stream: Stream,
        req: Request,
        place: str,
        exclude: frozenset[str],
    ) -> Result[Choice, Refusal]:
        """Choose at `place`, or at an overflow zone if it is full."""
        now = self._clock.monotonic()
        ranked = service.zones[place].ranked(req, exclude, self._free, now)
        if ranked and not ranked[0].full:
            return Ok(self._make_choice(service, stream, place, ranked))
        if ranked and service.zones[place].may_wait_for_share(now):
            return Ok(self._make_choice(service, stream, place, ranked))
        others = [zone for zone in stream.target.overflow if zone != place]
        if others:
            # Without an overflow zone the overflow fraction must not grow: a zone that is added
            # later would receive all of it at once.
            stream.shift.want_overflow(now)
        if others and stream.shift.may_overflow:
            overflow = self._choose_overflow(service, stream, req, others, exclude)
            if overflow is not None:
                stream.shift.take_overflow()
                return Ok(overflow)
        if exclude and all(s.endpoint.name in exclude for s in service.zones[place].eligible):
            return Error(Refusal(RefusalReason.NO_PLACE, f"every endpoint of {place} was tried"))
        return Ok(self._make_choice(service, stream, place, ranked))

    def _choose_overflow(
        self,
        service: ServiceState,
        stream: Stream,
        req: Request,
        others: list[str],
        exclude: frozenset[str],
    ) -> Choice | None:
        """Choose the first zone with room, else one where a share may be requested."""
        now = self._clock.monotonic()
        fallback = None
        for zone in others:
            found = service.zones[zone].ranked(req, exclude, self._free, now)
            if not found:
                continue
            choice = self._make_choice(service, stream, zone, found)
            key = choice.spill_key
            if not found[0].full and (key is None or self._free(key) > 0):
                return choice
            if fallback is None and service.zones[zone].may_wait_for_share(now):
                fallback = choice
        return fallback

    def _make_choice(
        self, service: ServiceState, stream: Stream, place: str, ranked: list[Candidate]
    ) -> Choice:
        endpoints = tuple(candidate.state.endpoint for candidate in ranked)
        return Choice(place, endpoints, self._spill_key(service, stream, place))

    def _spill_key(self, service: ServiceState, stream: Stream, place: str) -> str | None:
        """Return the spill limit if the place is in another region that the rule does not name."""
        snapshot = self._snapshot_of(service)
        region = snapshot.region_of[place]
        if region == self._region or region in {
            snapshot.region_of[z] for z in stream.target.primary
        }:
            return None
        return f"spill/{service.name}/{region}"

    def _choose_probe(
        self, service: ServiceState, stream: Stream, req: Request, exclude: frozenset[str]
    ) -> Choice | None:
        """Choose the probe of a dead zone of the rule for this request, if one is due."""
        snapshot = self._snapshot_of(service)
        for name in sorted(stream.closed & stream.target.primary & snapshot.dead):
            state = service.zones[name].probe(req, exclude, self._free, self._clock.monotonic())
            if state is not None:
                key = self._spill_key(service, stream, name)
                return Choice(name, (state.endpoint,), key)
        return None

    def _cap_refusal(self, service: ServiceState, stream: Stream) -> Refusal:
        """Refuse until the traffic should have moved; the retry times are spread over callers."""
        remaining_fraction = stream.shift.on(stream.closed)
        self._cap_refusals += 1
        spread = 1 + self._cap_refusals * _GOLDEN_RATIO_FRACTION % 1 * _RETRY_AFTER_JITTER
        after = max(_MIN_RETRY_AFTER, timedelta(seconds=remaining_fraction / service.cap)) * spread
        detail = f"{remaining_fraction:.0%} of the traffic has yet to move off closed places"
        return Refusal(RefusalReason.CAP, detail, after)

    def _advance(self) -> None:
        if self._schedule.advance():
            self._invalidate_snapshots()

    def _invalidate_snapshots(self) -> None:
        for service in self._services.values():
            service.invalidate()

    def _snapshot_of(self, service: ServiceState) -> ServiceSnapshot:
        return service.current_snapshot(self._clock, self._schedule, self._leaving)
