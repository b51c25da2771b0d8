"""The zones of one service: which are open, dead or about to drain, and their eligible endpoints.

A zone is dead only if, by this entry's own requests, each of its open endpoints fails or has
refused a request while it reports a drain. Load reports alone never close a zone, and the fraction
of endpoints ejected at one time is bounded.
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
    median_latency,
    rank,
)
from cardamomloft.core.model import Endpoint, Priority, Request
from cardamomloft.core.shifting import Schedule, ServiceSnapshot, UpcomingDrain

DEFAULT_SHIFT_CAP_PERCENT_PER_S = 50.0
"""Shift cap of a service that configures none, in percentage points of its traffic per second."""

_SNAPSHOT_INTERVAL = timedelta(milliseconds=100)
_RANKING_BATCH = 8
_TRIAL_INTERVAL_REQUESTS = 8
_SHARE_REQUEST_INTERVAL = timedelta(milliseconds=100)
_INITIAL_PROBE_INTERVAL = timedelta(seconds=1)
_MAX_PROBE_INTERVAL = timedelta(seconds=10)
_ZERO = timedelta(0)


class ZoneEndpoints:
    """The endpoints of one service in one zone.

    Parameters
    ----------
    states
        All its endpoints.
    offset
        Start of the endpoint rotation.
    """

    def __init__(self, states: list[EndpointState], offset: int) -> None:
        self.states = states
        self.eligible = states
        self.reference_latency: timedelta | None = None
        self._rotation = offset
        self._next_probe_at: timedelta | None = None
        self._probe_interval = _INITIAL_PROBE_INTERVAL
        self._next_share_request_at = _ZERO

    @property
    def slots(self) -> int:
        """Declared slots of all endpoints."""
        return sum(state.endpoint.slots for state in self.states)

    @property
    def running(self) -> int:
        """Requests that this entry has in flight in the zone."""
        return sum(state.running for state in self.states)

    def ranked(
        self, req: Request, exclude: frozenset[str], free: Callable[[str], int], now: timedelta
    ) -> list[Candidate]:
        """Rank the endpoints for a request, in batches until one has a free slot."""
        states = self._rotated()
        if exclude:
            states = [state for state in states if state.endpoint.name not in exclude]
        ranked: list[Candidate] = []
        for start in range(0, len(states), _RANKING_BATCH):
            found = rank(states[start : start + _RANKING_BATCH], free, self.reference_latency, now)
            if not req.idempotent:
                found = [candidate for candidate in found if candidate.state.accepts(req, now)]
            ranked = found + ranked if found and not found[0].full else ranked + found
            if ranked and not ranked[0].full:
                break
        if self._rotation % _TRIAL_INTERVAL_REQUESTS == 0:
            _put_trial_first(ranked, req)
        return ranked

    def probe(
        self, req: Request, exclude: frozenset[str], free: Callable[[str], int], now: timedelta
    ) -> EndpointState | None:
        """Return the endpoint that this request should probe, if a probe of the dead zone is due.

        Only idempotent requests are used as probes until `PROBE_GRACE` after the probe is due.
        """
        grace = _ZERO if req.idempotent else PROBE_GRACE
        if self._next_probe_at is None or now < self._next_probe_at + grace or not self.eligible:
            return None
        state = self._rotated()[0]
        if state.running or state.endpoint.name in exclude or free(state.key) < 1:
            return None
        self._next_probe_at = now + self._probe_interval
        self._probe_interval = min(_MAX_PROBE_INTERVAL, self._probe_interval * 2)
        return state

    def may_wait_for_share(self, now: timedelta) -> bool:
        """Return whether a request should wait here although no slot is free.

        An entry without a share of the zone borrows one only for requests that wait, so one request
        per interval may wait.
        """
        if now < self._next_share_request_at:
            return False
        self._next_share_request_at = now + _SHARE_REQUEST_INTERVAL
        return True

    def set_dead(self, dead: bool, now: timedelta) -> None:
        """Start or stop probing."""
        if not dead:
            self._next_probe_at, self._probe_interval = None, _INITIAL_PROBE_INTERVAL
        elif self._next_probe_at is None:
            self._next_probe_at = now + _INITIAL_PROBE_INTERVAL

    def _rotated(self) -> list[EndpointState]:
        """Return the eligible endpoints, starting with the next one at each call."""
        self._rotation += 1
        first = self._rotation % len(self.eligible) if self.eligible else 0
        return self.eligible[first:] + self.eligible[:first]


class ServiceState:
    """The zones of one service and the last snapshot of their availability.

    Parameters
    ----------
    name
        The service.
    row
        Its row in the document.
    zones
        Its zones by name.
    template
        A snapshot with the fixed fields filled in.
    base_share
        Returns how many of an endpoint's slots belong to this entry's base share.
    """

    def __init__(
        self,
        name: str,
        row: ServiceRow,
        zones: Mapping[str, ZoneEndpoints],
        template: ServiceSnapshot,
        base_share: Callable[[str], int],
    ) -> None:
        self.name = name
        self.cap = row.get("shift_cap_percent_per_s", DEFAULT_SHIFT_CAP_PERCENT_PER_S) / 100
        self.may_spill = row.get("spill_percent", 100) > 0
        self.zones = zones
        self._snapshot = template
        self._base_share = base_share
        self._snapshot_at: timedelta | None = None

    def states(self) -> Iterator[EndpointState]:
        """Iterate over all endpoints."""
        for zone in self.zones.values():
            yield from zone.states

    def invalidate(self) -> None:
        """Make :meth:`current_snapshot` evaluate all zones at its next call."""
        self._snapshot_at = None

    def current_snapshot(
        self, clock: Clock, schedule: Schedule, leaving: frozenset[str]
    ) -> ServiceSnapshot:
        """Return the availability of the zones, cached for a short interval."""
        now = clock.monotonic()
        if self._snapshot_at is not None and now - self._snapshot_at < _SNAPSHOT_INTERVAL:
            return self._snapshot
        slots, base_slots, drained, dead, upcoming_drains = {}, {}, set(), set(), []
        for name, zone in self.zones.items():
            open_endpoints = [s for s in zone.states if not _is_closed(s, schedule, leaving)]
            slots[name] = sum(state.endpoint.slots for state in open_endpoints)
            base_slots[name] = sum(
                self._base_share(state.endpoint.name) for state in open_endpoints
            )
            staying = [state for state in open_endpoints if not state.drain_confirmed(now)]
            zone.eligible = staying or open_endpoints
            zone.reference_latency = median_latency(zone.states)
            is_dead = bool(open_endpoints) and all(state.failing for state in staying)
            zone.set_dead(is_dead and bool(staying), now)
            if not open_endpoints:
                drained.add(name)
            elif is_dead:
                dead.add(name)
            start = _zone_drain_start(open_endpoints, schedule)
            if start is not None:
                upcoming_drains.append(UpcomingDrain(name, start - clock.utcnow()))
        self._snapshot_at = now
        self._snapshot = self._snapshot._replace(
            slots=slots,
            base_slots=base_slots,
            drained=frozenset(drained),
            dead=frozenset(dead),
            upcoming_drains=tuple(upcoming_drains),
        )
        return self._snapshot

    def without_recent_drains(
        self, snapshot: ServiceSnapshot, schedule: Schedule, instant: datetime
    ) -> ServiceSnapshot:
        """Return the snapshot without the drains that began at or after `instant`."""
        reopened = {
            name
            for name in snapshot.drained
            if (start := _zone_drain_start(self.zones[name].states, schedule)) is not None
            and start >= instant
        }
        slots = {**snapshot.slots, **{name: self.zones[name].slots for name in reopened}}
        return snapshot._replace(drained=snapshot.drained - reopened, slots=slots)

    def may_eject(self, state: EndpointState, now: timedelta) -> bool:
        """Return whether `state` may be ejected within the zone's bound.

        If `state` is failing, a healthy peer whose reported drain is honored is readmitted instead.
        """
        peers = self.zones[state.endpoint.zone].eligible
        if may_eject(state, peers, now):
            return True
        for peer in peers if state.failing else ():
            if peer is not state and peer.honors_drain(now) and not peer.failing:
                peer.honor_drain_until(None)
                return may_eject(state, peers, now)
        return False

    def reference_latency(self, state: EndpointState) -> timedelta | None:
        """Return the median latency of warm peers in the zone, else in the region."""
        zone = self.zones[state.endpoint.zone]
        median = median_latency(peer for peer in zone.states if peer is not state)
        if median is not None:
            return median
        region = state.endpoint.region
        return median_latency(peer for peer in self.states() if peer.endpoint.region == region)


class EndpointIndex:
    """The states of all endpoints, kept across changes of the document.

    Parameters
    ----------
    zone, region
        Location of this entry.
    rng
        Draws the start of the endpoint rotation in each zone, so that entries differ in it.
    base_share
        Returns how many of an endpoint's slots belong to this entry's base share.
    """

    def __init__(
        self, zone: str, region: str, rng: random.Random, base_share: Callable[[str], int]
    ) -> None:
        self._zone = zone
        self._region = region
        self._rng = rng
        self._base_share = base_share
        self.states: dict[str, EndpointState] = {}

    def configure(self, document: Document) -> dict[str, ServiceState]:
        """Apply a document; an endpoint added to a running entry starts cold."""
        cold = bool(self.states)
        region_of = regions_of_zones(document)
        states: dict[str, EndpointState] = {}
        services: dict[str, ServiceState] = {}
        for service, row in document["services"].items():
            zones: dict[str, list[EndpointState]] = {}
            for name, upstream in row["upstreams"].items():
                endpoint = _endpoint(name, service, upstream, region_of)
                state = states[name] = self._state(endpoint, cold)
                zones.setdefault(endpoint.zone, []).append(state)
            template = ServiceSnapshot(
                self._region,
                self._zone,
                document["regions"],
                region_of,
                {},
                _NO_ZONES,
                _NO_ZONES,
                (),
            )
            services[service] = ServiceState(
                service,
                row,
                {
                    z: ZoneEndpoints(found, self._rng.randrange(len(found)))
                    for z, found in zones.items()
                },
                template,
                self._base_share,
            )
        self.states = states
        return services

    def _state(self, endpoint: Endpoint, cold: bool) -> EndpointState:
        state = self.states.get(endpoint.name)
        if state is None or state.endpoint.address != endpoint.address:
            return EndpointState(endpoint, cold=cold)
        state.endpoint = endpoint
        return state


_NO_ZONES: frozenset[str] = frozenset()


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


def _is_closed(state: EndpointState, schedule: Schedule, leaving: frozenset[str]) -> bool:
    return state.endpoint.name in leaving or schedule.is_closed(state.endpoint.name)


def _zone_drain_start(states: t.Iterable[EndpointState], schedule: Schedule) -> datetime | None:
    """Return when the last of the endpoints is drained, if a drain covers each of them."""
    instants = [schedule.drain_start(state.endpoint.name) for state in states]
    starts = [instant for instant in instants if instant is not None]
    return max(starts) if starts and len(starts) == len(instants) else None


def _put_trial_first(ranked: list[Candidate], req: Request) -> None:
    """Move an idle degraded endpoint to the front, unless the request is critical."""
    if req.priority is Priority.CRITICAL:
        return
    for index, candidate in enumerate(ranked):
        state = candidate.state
        if candidate.degraded and not candidate.full and not state.running:
            ranked.insert(0, ranked.pop(index))
            return
