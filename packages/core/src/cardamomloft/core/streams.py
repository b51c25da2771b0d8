"""Streams of traffic, one for each rule of a service, each with its shift.

After an edit of the rules a stream is made for each pair of the former and the new rule of a
request, so that all traffic starts from where it went before, whichever rule it falls to now.
"""

import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Request
from cardamomloft.core.places import ServicePlaces
from cardamomloft.core.ramping import Fractions, Movement, Shift
from cardamomloft.core.rules import Directive, RuleSet
from cardamomloft.core.shifting import Landscape, Plan, Schedule, plan

_REFRESH = timedelta(milliseconds=10)
_SETTLED = 1e-6


class StreamKey(t.NamedTuple):
    """Requests of a service that match `rule`, and matched `former` before the last edit."""

    service: str
    rule: str
    former: str


class Stream:
    """One stream: where it should go, and where it goes by now."""

    def __init__(self, directive: Directive, shift: Shift, aim: Plan) -> None:
        self.directive = directive
        self.shift = shift
        self.aim = aim
        self.closed = aim.closed
        self.requests = 0
        self._land: Landscape | None = None
        self._refreshed = timedelta(0)

    def refresh(
        self, land: Landscape, schedule: Schedule, places: ServicePlaces, now: timedelta
    ) -> None:
        """Bring the stream to the present; at most once in a few milliseconds, or at news."""
        if self._land is land and now - self._refreshed < _REFRESH:
            return
        before = self.aim.overflow
        self.aim = plan(self.directive, land, schedule.moves(places.name), places.cap)
        if not set(self.aim.overflow) <= set(before):
            # What grew towards other places has not moved anything to the new one yet.
            self.shift.forget_overflow()
        gone = {zone for zone in self.shift.fractions if not land.slots.get(zone)}
        self.closed = self.aim.closed | gone
        target = self.aim.fractions or dict(self.shift.fractions)
        self.shift.advance(now, target, self.closed, places.cap)
        self._land, self._refreshed = land, now

    @property
    def settled(self) -> bool:
        """Whether all traffic is where it should be."""
        return self.shift.distance(self.aim.fractions) < _SETTLED


class _Former(t.NamedTuple):
    """The rules before the last edit, and where their traffic went at that moment."""

    rules: RuleSet
    fractions: Mapping[tuple[str, str], Fractions]
    until: timedelta


class Streams:
    """All streams of one entry.

    Parameters
    ----------
    zone, region
        Where this entry stands.
    clock
        Source of time.
    schedule
        The planned moves and drains.
    """

    def __init__(self, zone: str, region: str, clock: Clock, schedule: Schedule) -> None:
        self._zone = zone
        self._region = region
        self._clock = clock
        self._schedule = schedule
        self._former: _Former | None = None
        self._streams: dict[StreamKey, Stream] = {}

    def remember(self, rules: RuleSet, services: Mapping[str, ServicePlaces]) -> None:
        """Begin anew after an edit; `rules` and `services` are those before it."""
        slowest = min((service.cap for service in services.values()), default=1.0)
        until = self._clock.monotonic() + timedelta(seconds=1 / slowest)
        self._former = _Former(rules, self._blended(), until)
        self._streams = {}

    def get(
        self, places: ServicePlaces, land: Landscape, req: Request, directive: Directive
    ) -> Stream:
        """Return the stream that a request belongs to, brought to the present."""
        former = self._former_directive(req)
        key = StreamKey(places.name, directive.rule, "" if former is None else former.rule)
        stream = self._streams.get(key)
        if stream is None:
            stream = self._open(places, land, directive, former)
            self._streams[key] = stream
        stream.refresh(land, self._schedule, places, self._clock.monotonic())
        return stream

    def of(self, service: str) -> list[Stream]:
        """Return the streams of a service."""
        return [stream for key, stream in self._streams.items() if key.service == service]

    def forget_service(self, service: str) -> None:
        """Drop the streams of a service that is no longer configured."""
        self._streams = {k: s for k, s in self._streams.items() if k.service != service}

    def tidy(self) -> None:
        """Drop the former rules once all traffic has moved to where the new ones want it."""
        former = self._former
        if former is None or self._clock.monotonic() < former.until:
            return
        if not all(stream.settled for stream in self._streams.values()):
            return
        merged: dict[StreamKey, Stream] = {}
        for key, stream in self._streams.items():
            merged.setdefault(key._replace(former=""), stream)
        self._streams, self._former = merged, None

    def movements(self, services: Mapping[str, ServicePlaces]) -> list[Movement]:
        """Return all shifts under way."""
        rows = []
        for key, stream in self._streams.items():
            if stream.settled:
                continue
            left = stream.shift.distance(stream.aim.fractions)
            ends_in = timedelta(seconds=left / services[key.service].cap)
            fractions = dict(stream.shift.fractions)
            rows.append(Movement(key.service, key.rule, fractions, left, ends_in))
        return rows

    def _former_directive(self, req: Request) -> Directive | None:
        if self._former is None:
            return None
        return self._former.rules.match(req, self._zone, self._region).default_value(None)

    def _open(
        self,
        places: ServicePlaces,
        land: Landscape,
        directive: Directive,
        former: Directive | None,
    ) -> Stream:
        """Begin where the traffic went before the edit, or where the fleet's shift is by now."""
        now = self._clock.monotonic()
        if not places.may_spill:
            directive = directive._replace(spill=())
        aim = self._aim(places, land, directive)
        # How far the others are with a drain that is still to come depends on when it was
        # recorded, which the document does not say. To start before it is never ahead of them.
        steady = land._replace(closing=())
        if former is None or self._former is None:
            return Stream(directive, self._resumed(places, steady, directive), aim)
        start = self._former.fractions.get((places.name, former.rule))
        if start is None:
            start = self._aim(places, steady, former).fractions
        return Stream(directive, Shift(start, now), aim)

    def _aim(self, places: ServicePlaces, land: Landscape, directive: Directive) -> Plan:
        return plan(directive, land, self._schedule.moves(places.name), places.cap)

    def _resumed(self, places: ServicePlaces, land: Landscape, directive: Directive) -> Shift:
        """Return a shift at most as far as the cap allowed since the last plan began."""
        now, wall = self._clock.monotonic(), self._clock.utcnow()
        aim = self._aim(places, land, directive)
        recent = wall - timedelta(seconds=1 / places.cap)
        names = [state.endpoint.name for state in places.states()]
        since = self._schedule.last_begun(places.name, names, recent)
        if since is None:
            return Shift(aim.fractions, now)
        before = places.before(land, self._schedule, recent)
        moves = self._schedule.moves(places.name, begun_before=recent)
        shift = Shift(plan(directive, before, moves, places.cap).fractions, now)
        shift.jump(aim.fractions, places.cap * (wall - since).total_seconds())
        return shift

    def _blended(self) -> dict[tuple[str, str], Fractions]:
        """Return the fractions of each rule, over its streams by their requests."""
        weights: dict[tuple[str, str], Fractions] = {}
        for key, stream in self._streams.items():
            sums = weights.setdefault((key.service, key.rule), {})
            for place, fraction in stream.shift.fractions.items():
                sums[place] = sums.get(place, 0.0) + fraction * (stream.requests + 1)
        return {
            rule: {place: weight / sum(sums.values()) for place, weight in sums.items()}
            for rule, sums in weights.items()
        }
