"""The zones of one service: which are open, dead or about to close, and which endpoints are fit.

A zone is dead only by facts: this entry's own last requests to each of its endpoints failed. A
report alone never closes one, and the ejection of single endpoints is bounded.
"""

import random
import typing as t
from collections.abc import Callable, Iterator, Mapping
from datetime import datetime, timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document, ServiceRow, UpstreamRow, regions_of_zones
from cardamomloft.core.hints import (
    PROBE_GRACE,
    Candidate,
    EndpointState,
    may_eject,
    rank,
    usual_latency,
)
from cardamomloft.core.model import Endpoint, Priority, Request
from cardamomloft.core.shifting import Closing, Landscape, Schedule

DEFAULT_CAP = 50.0
"""Percentage points per second by which a service's traffic may move if it states no cap."""

_SURVEY = timedelta(milliseconds=100)
_SAMPLE = 8
_TRIAL_EVERY = 8
_ASK = timedelta(milliseconds=100)
_PROBE = timedelta(seconds=1)
_MAX_PROBE = timedelta(seconds=10)
_ZERO = timedelta(0)


class Zone:
    """The endpoints of one service in one zone.

    Parameters
    ----------
    states
        All its endpoints.
    offset
        Where the rotation begins.
    """

    def __init__(self, states: list[EndpointState], offset: int) -> None:
        self.states = states
        self.fit = states
        self.reference: timedelta | None = None
        self._turns = offset
        self._probe_at: timedelta | None = None
        self._probe_pause = _PROBE
        self._ask_at = _ZERO

    @property
    def slots(self) -> int:
        """The declared slots of all endpoints."""
        return sum(state.endpoint.slots for state in self.states)

    @property
    def running(self) -> int:
        """Requests of this entry in flight there."""
        return sum(state.running for state in self.states)

    def ranked(
        self, req: Request, exclude: frozenset[str], free: Callable[[str], int], now: timedelta
    ) -> list[Candidate]:
        """Rank the endpoints for a request; of many, only as many as it takes to find room."""
        states = self._rotated()
        if exclude:
            states = [state for state in states if state.endpoint.name not in exclude]
        ranked: list[Candidate] = []
        for start in range(0, len(states), _SAMPLE):
            found = rank(states[start : start + _SAMPLE], free, self.reference, now)
            if not req.idempotent:
                found = [candidate for candidate in found if candidate.state.suits(req, now)]
            ranked = found + ranked if found and not found[0].full else ranked + found
            if ranked and not ranked[0].full:
                break
        if self._turns % _TRIAL_EVERY == 0:
            _put_trial_first(ranked, req)
        return ranked

    def probe(
        self, req: Request, exclude: frozenset[str], free: Callable[[str], int], now: timedelta
    ) -> EndpointState | None:
        """Return the endpoint that this request is to try, if a probe of the dead zone is due.

        Idempotent requests are used; others only if none of them came for a while.
        """
        grace = _ZERO if req.idempotent else PROBE_GRACE
        if self._probe_at is None or now < self._probe_at + grace or not self.fit:
            return None
        state = self._rotated()[0]
        if state.running or state.endpoint.name in exclude or free(state.key) < 1:
            return None
        self._probe_at = now + self._probe_pause
        self._probe_pause = min(_MAX_PROBE, self._probe_pause * 2)
        return state

    def may_ask(self, now: timedelta) -> bool:
        """Tell whether a request should wait here although no slot is free.

        An entry may hold no share of a zone, and borrows one only for requests that wait for it.
        """
        if now < self._ask_at:
            return False
        self._ask_at = now + _ASK
        return True

    def note_dead(self, dead: bool, now: timedelta) -> None:
        """Begin or end probing."""
        if not dead:
            self._probe_at, self._probe_pause = None, _PROBE
        elif self._probe_at is None:
            self._probe_at = now + _PROBE

    def _rotated(self) -> list[EndpointState]:
        """Return the fit endpoints, beginning one further at each call."""
        self._turns += 1
        at = self._turns % len(self.fit) if self.fit else 0
        return self.fit[at:] + self.fit[:at]


class ServicePlaces:
    """One service's zones, and what was last found out about them.

    Parameters
    ----------
    name
        The service.
    row
        Its part of the document.
    zones
        Its zones by name.
    blank
        A landscape with the fixed properties filled in.
    base
        Returns how many of an endpoint's slots are this entry's by its base share.
    """

    def __init__(
        self,
        name: str,
        row: ServiceRow,
        zones: Mapping[str, Zone],
        blank: Landscape,
        base: Callable[[str], int],
    ) -> None:
        self.name = name
        self.cap = row.get("shift_cap_percent_per_s", DEFAULT_CAP) / 100
        self.may_spill = row.get("spill_percent", 100) > 0
        self.zones = zones
        self._land = blank
        self._base = base
        self._surveyed: timedelta | None = None

    def states(self) -> Iterator[EndpointState]:
        """Iterate over all endpoints."""
        for zone in self.zones.values():
            yield from zone.states

    def look_again(self) -> None:
        """Make the next survey take everything anew."""
        self._surveyed = None

    def survey(self, clock: Clock, schedule: Schedule, leaving: frozenset[str]) -> Landscape:
        """Return which zones are open; the same object until something may have changed."""
        now = clock.monotonic()
        if self._surveyed is not None and now - self._surveyed < _SURVEY:
            return self._land
        slots, held, shut, dead, closing = {}, {}, set(), set(), []
        for name, zone in self.zones.items():
            opened = [s for s in zone.states if not _closed(s, schedule, leaving)]
            slots[name] = sum(state.endpoint.slots for state in opened)
            held[name] = sum(self._base(state.endpoint.name) for state in opened)
            staying = [state for state in opened if not state.confirmed_leaving(now)]
            zone.fit = staying or opened
            zone.reference = usual_latency(zone.states)
            is_dead = bool(opened) and all(state.failing for state in staying)
            zone.note_dead(is_dead and bool(staying), now)
            if not opened:
                shut.add(name)
            elif is_dead:
                dead.add(name)
            at = _closes_at(opened, schedule)
            if at is not None:
                closing.append(Closing(name, at - clock.utcnow()))
        self._surveyed = now
        self._land = self._land._replace(
            slots=slots,
            held=held,
            shut=frozenset(shut),
            dead=frozenset(dead),
            closing=tuple(closing),
        )
        return self._land

    def before(self, land: Landscape, schedule: Schedule, instant: datetime) -> Landscape:
        """Return the landscape without the drains that began at or after `instant`."""
        opened = {
            name
            for name in land.shut
            if (at := _closes_at(self.zones[name].states, schedule)) is not None and at >= instant
        }
        slots = {**land.slots, **{name: self.zones[name].slots for name in opened}}
        return land._replace(shut=land.shut - opened, slots=slots)

    def may_eject(self, state: EndpointState, now: timedelta) -> bool:
        """Tell whether the zone can spare an endpoint; facts displace what a report ejected."""
        peers = self.zones[state.endpoint.zone].fit
        if may_eject(state, peers, now):
            return True
        for peer in peers if state.failing else ():
            if peer is not state and peer.heeds_drain(now) and not peer.failing:
                peer.heed_drain(None)
                return may_eject(state, peers, now)
        return False

    def reference(self, state: EndpointState) -> timedelta | None:
        """Return the usual latency of warm peers: in its zone, else in its region."""
        zone = self.zones[state.endpoint.zone]
        usual = usual_latency(peer for peer in zone.states if peer is not state)
        if usual is not None:
            return usual
        region = state.endpoint.region
        return usual_latency(peer for peer in self.states() if peer.endpoint.region == region)


class EndpointIndex:
    """The state of each endpoint; it outlives changes of the document.

    Parameters
    ----------
    zone, region
        Where this entry stands.
    rng
        Draws once per zone where to begin, so that entries do not all prefer the same endpoint.
    base
        Returns how many of an endpoint's slots are this entry's by its base share.
    """

    def __init__(
        self, zone: str, region: str, rng: random.Random, base: Callable[[str], int]
    ) -> None:
        self._zone = zone
        self._region = region
        self._rng = rng
        self._base = base
        self.states: dict[str, EndpointState] = {}

    def configure(self, document: Document) -> dict[str, ServicePlaces]:
        """Take over a document; an endpoint that joins a running entry starts cold."""
        cold = bool(self.states)
        region_of = regions_of_zones(document)
        states: dict[str, EndpointState] = {}
        services: dict[str, ServicePlaces] = {}
        for service, row in document["services"].items():
            zones: dict[str, list[EndpointState]] = {}
            for name, upstream in row["upstreams"].items():
                endpoint = _endpoint(name, service, upstream, region_of)
                state = states[name] = self._state(endpoint, cold)
                zones.setdefault(endpoint.zone, []).append(state)
            blank = Landscape(
                self._region, self._zone, document["regions"], region_of, {}, _NONE, _NONE, ()
            )
            services[service] = ServicePlaces(
                service,
                row,
                {z: Zone(found, self._rng.randrange(len(found))) for z, found in zones.items()},
                blank,
                self._base,
            )
        self.states = states
        return services

    def _state(self, endpoint: Endpoint, cold: bool) -> EndpointState:
        state = self.states.get(endpoint.name)
        if state is None or state.endpoint.address != endpoint.address:
            return EndpointState(endpoint, cold=cold)
        state.endpoint = endpoint
        return state


_NONE: frozenset[str] = frozenset()


def _endpoint(name: str, service: str, row: UpstreamRow, region_of: Mapping[str, str]) -> Endpoint:
    return Endpoint(
        name=name,
        service=service,
        zone=row["zone"],
        region=region_of[row["zone"]],
        address=row["address"],
        slots=row["slots"],
        connections=row["connections"],
    )


def _closed(state: EndpointState, schedule: Schedule, leaving: frozenset[str]) -> bool:
    return state.endpoint.name in leaving or schedule.is_closed(state.endpoint.name)


def _closes_at(states: t.Iterable[EndpointState], schedule: Schedule) -> datetime | None:
    """Return when the last of the endpoints closes, if a drain covers each of them."""
    instants = [schedule.closes_at(state.endpoint.name) for state in states]
    known = [instant for instant in instants if instant is not None]
    return max(known) if known and len(known) == len(instants) else None


def _put_trial_first(ranked: list[Candidate], req: Request) -> None:
    """Let a request of lower priority find out whether an endpoint is fast and sound by now."""
    if req.priority is Priority.CRITICAL:
        return
    for at, candidate in enumerate(ranked):
        state = candidate.state
        if candidate.poor and not candidate.full and not state.running:
            ranked.insert(0, ranked.pop(at))
            return
