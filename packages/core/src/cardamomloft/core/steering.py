"""Choosing a place and endpoints for each request.

:class:`Steering` joins the stages: which zones are open (:mod:`~cardamomloft.core.places`), what
the rule wants and the plans leave of it (:mod:`~cardamomloft.core.shifting`), how fast traffic may
follow (:mod:`~cardamomloft.core.ramping`), and which endpoints of a place are fit
(:mod:`~cardamomloft.core.hints`). Nothing here waits for a message: without news all ramps go on.
"""

import random
import typing as t
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document
from cardamomloft.core.hints import MAX_REPORT_AGE, Candidate, LoadReport, usual_latency
from cardamomloft.core.model import Endpoint, Refusal, RefusalReason, Request
from cardamomloft.core.places import EndpointIndex, ServicePlaces
from cardamomloft.core.ramping import Movement
from cardamomloft.core.rules import Directive, RuleSet
from cardamomloft.core.shifting import Landscape, Schedule
from cardamomloft.core.streams import Stream, Streams
from expression import Error, Ok, Result

_MIN_RETRY = timedelta(milliseconds=50)
_SPREAD = 0.5
_GOLDEN = 0.618034  # Multiples of it, modulo 1, are evenly spread.
_ZERO = timedelta(0)


class Choice(t.NamedTuple):
    """Where a request should go.

    `endpoints` are in order of preference, those without a free slot last; it is empty while
    none may take more, and the request should then be queued for the place and chosen for again.
    `spill_key` is the limit to hold as well, if the place is used as spill-over.
    """

    place: str
    endpoints: tuple[Endpoint, ...]
    spill_key: str | None


class DrainProgress(t.NamedTuple):
    """How far a drain has come at this entry, for one service at one zone.

    `traffic` is the largest fraction of any rule's traffic that still belongs to the zone, and
    `ends_in` when the last request there should be over.
    """

    service: str
    zone: str
    traffic: float
    in_flight: int
    ends_in: timedelta


class Steering:
    """Chooses for every request of one entry.

    Parameters
    ----------
    zone, region
        Where this entry stands.
    clock
        Source of time.
    rng
        Draws once per zone where to begin, so that entries do not all prefer the same endpoint.
    free
        Returns how much of a limit this entry may use at this moment.
    base
        Returns how much of a limit is this entry's by the document.
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
        self._services: dict[str, ServicePlaces] = {}
        self._leaving: frozenset[str] = frozenset()
        self._document: Document | None = None
        self._cap_refusals = 0

    def configure(self, document: Document) -> None:
        """Put a document in force for all later choices."""
        self.tick()
        old, self._document = self._document, document
        if old is not None and old["rules"] != document["rules"]:
            self._streams.remember(RuleSet(old), self._services)
        for name in self._services.keys() - document["services"].keys():
            self._streams.forget_service(name)
        self._schedule.configure(document)
        self._services = self._index.configure(document)
        self.tick()

    def on_report(self, endpoint: str, report: LoadReport) -> None:
        """Take in what an endpoint said of itself."""
        state = self._index.states.get(endpoint)
        if state is None:
            return
        now = self._clock.monotonic()
        state.on_report(report)
        if not state.says_draining(now):
            return
        places = self._services[state.endpoint.service]
        if state.heeds_drain(now) or (not state.out(now) and places.may_eject(state, now)):
            state.heed_drain(report.at + MAX_REPORT_AGE)

    def on_report_lost(self, endpoint: str) -> None:
        """Note that an endpoint's report did not come. The last one ages; nothing else follows."""

    def on_leaving(self, endpoints: Iterable[str]) -> None:
        """Give no new work to these endpoints, which the platform says are leaving or gone."""
        self._leaving = frozenset(endpoints)
        self._look_again()

    def on_started(self, endpoint: str) -> None:
        """Count a request sent to an endpoint."""
        state = self._index.states.get(endpoint)
        if state is not None:
            state.on_started(self._clock.monotonic())

    def on_finished(self, endpoint: str) -> None:
        """Count the end of a request, however it ended."""
        state = self._index.states.get(endpoint)
        if state is not None:
            state.on_finished(self._clock.monotonic())

    def on_result(self, endpoint: str, ok: bool, latency: timedelta) -> None:
        """Take in how a request ended; `ok` is False if the endpoint failed or timed out."""
        state = self._index.states.get(endpoint)
        if state is None:
            return
        now, was_failing = self._clock.monotonic(), state.failing
        places = self._services[state.endpoint.service]
        state.on_result(ok, latency, places.reference(state) if state.cold else None)
        if state.failing and not state.out(now) and places.may_eject(state, now):
            state.eject(now)
        if state.failing != was_failing:
            places.look_again()

    def on_shed(self, endpoint: str) -> None:
        """Note that an endpoint refused work; it is left alone for a moment."""
        state = self._index.states.get(endpoint)
        if state is None:
            return
        state.on_shed(self._clock.monotonic())
        self._services[state.endpoint.service].look_again()

    def tick(self) -> None:
        """Let all ramps go on; call it every 20 to 50 ms, whether or not there are requests."""
        now = self._clock.monotonic()
        self._advance()
        for places in self._services.values():
            land = self._survey(places)
            for stream in self._streams.of(places.name):
                stream.refresh(land, self._schedule, places, now)
        self._streams.tidy()

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
            What the matching rule asks for.
        exclude
            Endpoints that this request has been to already.
        place
            The place chosen for it before, if it was queued there. It is kept while it is open,
            and the request is not counted again.

        Errors
        ------
        Refusal
            NO_SERVICE; NO_PLACE if none is left; CAP if the request belongs to a closed place
            whose traffic has yet to move.
        """
        places = self._services.get(req.service)
        if places is None:
            return Error(Refusal(RefusalReason.NO_SERVICE, req.service))
        self._advance()
        land = self._survey(places)
        stream = self._streams.get(places, land, req, directive)
        if not stream.aim.fractions:
            return Error(Refusal(RefusalReason.NO_PLACE, "no place of the rule is open"))
        probe = self._probe(places, stream, req, exclude)
        if probe is not None:
            return Ok(probe)
        if place is None or place in stream.closed or not land.slots.get(place):
            stream.requests += 1
            stream.shift.count_overflow()
            place = stream.shift.pick(req.priority, stream.closed)
        if place is None:
            return Error(self._cap_refusal(places, stream))
        return self._at(places, stream, req, place, exclude)

    def movements(self) -> list[Movement]:
        """Return all shifts under way, for status pages."""
        return self._streams.movements(self._services)

    def drains(self) -> list[DrainProgress]:
        """Return how far the drains of whole zones have come at this entry."""
        rows = []
        for places in self._services.values():
            shifts = [stream.shift for stream in self._streams.of(places.name)]
            for name in sorted(self._survey(places).shut):
                zone = places.zones[name]
                traffic = max((shift.on({name}) for shift in shifts), default=0.0)
                usual = usual_latency(zone.states) or _ZERO
                rest = usual if zone.running else _ZERO
                ends_in = timedelta(seconds=traffic / places.cap) + rest
                rows.append(DrainProgress(places.name, name, traffic, zone.running, ends_in))
        return rows

    def _at(
        self,
        places: ServicePlaces,
        stream: Stream,
        req: Request,
        place: str,
        exclude: frozenset[str],
    ) -> Result[Choice, Refusal]:
        """Choose at `place`, or where its overflow may go if it is full."""
        now = self._clock.monotonic()
        ranked = places.zones[place].ranked(req, exclude, self._free, now)
        if ranked and not ranked[0].full:
            return Ok(self._choice(places, stream, place, ranked))
        if ranked and places.zones[place].may_ask(now):
            return Ok(self._choice(places, stream, place, ranked))
        others = [zone for zone in stream.aim.overflow if zone != place]
        if others:
            # Where nothing can go, the fraction that may must not grow towards a later place.
            stream.shift.want_overflow(now)
        if others and stream.shift.may_overflow:
            overflow = self._overflow(places, stream, req, others, exclude)
            if overflow is not None:
                stream.shift.take_overflow()
                return Ok(overflow)
        if exclude and all(s.endpoint.name in exclude for s in places.zones[place].fit):
            return Error(Refusal(RefusalReason.NO_PLACE, f"every endpoint of {place} was tried"))
        return Ok(self._choice(places, stream, place, ranked))

    def _overflow(
        self,
        places: ServicePlaces,
        stream: Stream,
        req: Request,
        others: list[str],
        exclude: frozenset[str],
    ) -> Choice | None:
        """Choose at the first place with room, else at one where a share is to be asked for."""
        now = self._clock.monotonic()
        asked = None
        for zone in others:
            found = places.zones[zone].ranked(req, exclude, self._free, now)
            if not found:
                continue
            choice = self._choice(places, stream, zone, found)
            key = choice.spill_key
            if not found[0].full and (key is None or self._free(key) > 0):
                return choice
            if asked is None and places.zones[zone].may_ask(now):
                asked = choice
        return asked

    def _choice(
        self, places: ServicePlaces, stream: Stream, place: str, ranked: list[Candidate]
    ) -> Choice:
        endpoints = tuple(candidate.state.endpoint for candidate in ranked)
        return Choice(place, endpoints, self._spill_key(places, stream, place))

    def _spill_key(self, places: ServicePlaces, stream: Stream, place: str) -> str | None:
        """Return the limit on other regions' use of a region that the rule does not name."""
        land = self._survey(places)
        region = land.region_of[place]
        if region == self._region or region in {land.region_of[z] for z in stream.aim.primary}:
            return None
        return f"spill/{places.name}/{region}"

    def _probe(
        self, places: ServicePlaces, stream: Stream, req: Request, exclude: frozenset[str]
    ) -> Choice | None:
        """Send this request to a dead place of its rule if that is due to be tried again."""
        land = self._survey(places)
        for name in sorted(stream.closed & stream.aim.primary & land.dead):
            state = places.zones[name].probe(req, exclude, self._free, self._clock.monotonic())
            if state is not None:
                key = self._spill_key(places, stream, name)
                return Choice(name, (state.endpoint,), key)
        return None

    def _cap_refusal(self, places: ServicePlaces, stream: Stream) -> Refusal:
        """Ask to come back when all has moved, spread out so that not all come at that instant."""
        left = stream.shift.on(stream.closed)
        self._cap_refusals += 1
        spread = 1 + self._cap_refusals * _GOLDEN % 1 * _SPREAD
        after = max(_MIN_RETRY, timedelta(seconds=left / places.cap)) * spread
        detail = f"{left:.0%} of the traffic has yet to move off closed places"
        return Refusal(RefusalReason.CAP, detail, after)

    def _advance(self) -> None:
        if self._schedule.advance():
            self._look_again()

    def _look_again(self) -> None:
        for places in self._services.values():
            places.look_again()

    def _survey(self, places: ServicePlaces) -> Landscape:
        return places.survey(self._clock, self._schedule, self._leaving)
