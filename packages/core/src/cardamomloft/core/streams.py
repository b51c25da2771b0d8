"""Streams: the traffic of each rule of a service, with its gradual shift.

After an edit of the rules, a stream is created for each pair of a request's previous and present
rule. Traffic thus starts from its distribution before the edit, whichever rule it matches now.
"""

import typing as t
from collections.abc import Mapping
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Request
from cardamomloft.core.places import ServiceState
from cardamomloft.core.ramping import Fractions, Movement, Shift
from cardamomloft.core.rules import Directive, RuleSet
from cardamomloft.core.shifting import (
    Schedule,
    ServiceSnapshot,
    TargetDistribution,
    target_distribution,
)

_REFRESH_INTERVAL = timedelta(milliseconds=10)
_SETTLED_DISTANCE = 1e-6


class StreamKey(t.NamedTuple):
    """Requests of a service that match `rule` now and matched `previous` before the last edit."""

    service: str
    rule: str
    previous: str


class Stream:
    """One stream: the target of its traffic and its present distribution."""

    def __init__(self, directive: Directive, shift: Shift, target: TargetDistribution) -> None:
        self.directive = directive
        self.shift = shift
        self.target = target
        self.closed = target.closed
        self.requests = 0
        self._snapshot: ServiceSnapshot | None = None
        self._refreshed = timedelta(0)

    def refresh(
        self, snapshot: ServiceSnapshot, schedule: Schedule, service: ServiceState, now: timedelta
    ) -> None:
        """Advance the stream to `now`, once per interval while the snapshot is unchanged."""
        if self._snapshot is snapshot and now - self._refreshed < _REFRESH_INTERVAL:
            return
        old_overflow = self.target.overflow
        self.target = target_distribution(
            self.directive, snapshot, schedule.moves(service.name), service.cap
        )
        if not set(self.target.overflow) <= set(old_overflow):
            # The overflow fraction grew towards the earlier zones: reset it for a new one.
            self.shift.forget_overflow()
        gone = {zone for zone in self.shift.fractions if not snapshot.slots.get(zone)}
        self.closed = self.target.closed | gone
        fractions = self.target.fractions or dict(self.shift.fractions)
        self.shift.advance(now, fractions, self.closed, service.cap)
        self._snapshot, self._refreshed = snapshot, now

    @property
    def settled(self) -> bool:
        """Whether the distribution has reached the target."""
        return self.shift.distance(self.target.fractions) < _SETTLED_DISTANCE


class _PreviousRules(t.NamedTuple):
    """The rules before the last edit and the distribution of their traffic at that time."""

    rules: RuleSet
    fractions: Mapping[tuple[str, str], Fractions]
    until: timedelta


class Streams:
    """All streams of one entry.

    Parameters
    ----------
    zone, region
        Location of this entry.
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
        self._previous: _PreviousRules | None = None
        self._streams: dict[StreamKey, Stream] = {}

    def start_transition(self, rules: RuleSet, services: Mapping[str, ServiceState]) -> None:
        """Start from the present distribution; `rules` and `services` are those before the edit."""
        slowest = min((service.cap for service in services.values()), default=1.0)
        until = self._clock.monotonic() + timedelta(seconds=1 / slowest)
        self._previous = _PreviousRules(rules, self._fractions_by_rule(), until)
        self._streams = {}

    def get(
        self, service: ServiceState, snapshot: ServiceSnapshot, req: Request, directive: Directive
    ) -> Stream:
        """Return the stream of a request, advanced to the present."""
        previous = self._previous_directive(req)
        key = StreamKey(service.name, directive.rule, "" if previous is None else previous.rule)
        stream = self._streams.get(key)
        if stream is None:
            stream = self._create_stream(service, snapshot, directive, previous)
            self._streams[key] = stream
        stream.refresh(snapshot, self._schedule, service, self._clock.monotonic())
        return stream

    def of_service(self, service: str) -> list[Stream]:
        """Return the streams of a service."""
        return [stream for key, stream in self._streams.items() if key.service == service]

    def forget_service(self, service: str) -> None:
        """Remove the streams of a service that is no longer configured."""
        self._streams = {k: s for k, s in self._streams.items() if k.service != service}

    def end_transition(self) -> None:
        """Remove the previous rules once all traffic has reached its target."""
        previous = self._previous
        if previous is None or self._clock.monotonic() < previous.until:
            return
        if not all(stream.settled for stream in self._streams.values()):
            return
        merged: dict[StreamKey, Stream] = {}
        for key, stream in self._streams.items():
            merged.setdefault(key._replace(previous=""), stream)
        self._streams, self._previous = merged, None

    def movements(self, services: Mapping[str, ServiceState]) -> list[Movement]:
        """Return all shifts in progress."""
        rows = []
        for key, stream in self._streams.items():
            if stream.settled:
                continue
            left = stream.shift.distance(stream.target.fractions)
            ends_in = timedelta(seconds=left / services[key.service].cap)
            fractions = dict(stream.shift.fractions)
            rows.append(Movement(key.service, key.rule, fractions, left, ends_in))
        return rows

    def _previous_directive(self, req: Request) -> Directive | None:
        if self._previous is None:
            return None
        return self._previous.rules.match(req, self._zone, self._region).default_value(None)

    def _create_stream(
        self,
        service: ServiceState,
        snapshot: ServiceSnapshot,
        directive: Directive,
        previous: Directive | None,
    ) -> Stream:
        """Start from the distribution before the edit, else from the fleet's progress."""
        now = self._clock.monotonic()
        if not service.may_spill:
            directive = directive._replace(spill=())
        target = self._target(service, snapshot, directive)
        # The document does not say when an upcoming drain was recorded. Starting as if it had not
        # begun to take effect is never ahead of the other entries.
        before_drains = snapshot._replace(upcoming_drains=())
        if previous is None or self._previous is None:
            return Stream(directive, self._resumed_shift(service, before_drains, directive), target)
        start = self._previous.fractions.get((service.name, previous.rule))
        if start is None:
            start = self._target(service, before_drains, previous).fractions
        return Stream(directive, Shift(start, now), target)

    def _target(
        self, service: ServiceState, snapshot: ServiceSnapshot, directive: Directive
    ) -> TargetDistribution:
        return target_distribution(
            directive, snapshot, self._schedule.moves(service.name), service.cap
        )

    def _resumed_shift(
        self, service: ServiceState, snapshot: ServiceSnapshot, directive: Directive
    ) -> Shift:
        """Return a shift at most as far as the cap has allowed since the last plan began."""
        now, wall = self._clock.monotonic(), self._clock.utcnow()
        target = self._target(service, snapshot, directive)
        recent = wall - timedelta(seconds=1 / service.cap)
        names = [state.endpoint.name for state in service.states()]
        since = self._schedule.last_start(service.name, names, recent)
        if since is None:
            return Shift(target.fractions, now)
        earlier = service.without_recent_drains(snapshot, self._schedule, recent)
        moves = self._schedule.moves(service.name, started_before=recent)
        shift = Shift(target_distribution(directive, earlier, moves, service.cap).fractions, now)
        shift.jump(target.fractions, service.cap * (wall - since).total_seconds())
        return shift

    def _fractions_by_rule(self) -> dict[tuple[str, str], Fractions]:
        """Return the fractions of each rule, averaged over its streams by request count."""
        weights: dict[tuple[str, str], Fractions] = {}
        for key, stream in self._streams.items():
            sums = weights.setdefault((key.service, key.rule), {})
            for place, fraction in stream.shift.fractions.items():
                sums[place] = sums.get(place, 0.0) + fraction * (stream.requests + 1)
        return {
            rule: {place: weight / sum(sums.values()) for place, weight in sums.items()}
            for rule, sums in weights.items()
        }
