"""Target distribution of each rule's traffic: its places, planned moves, drains and dead zones.

The stages are pure functions from weights to weights; :func:`target_distribution` runs them in
order. :mod:`cardamomloft.core.ramping` bounds the rate at which traffic follows the target.
"""

import typing as t
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from datetime import UTC, datetime, timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.document import Document, DrainRow, MoveRow, regions_of_zones
from cardamomloft.core.ramping import Fractions, Ramp
from cardamomloft.core.rules import Directive, WeightedPlace

DRAIN_LEAD = timedelta(seconds=1)
"""Lead time by which traffic has moved before an announced drain begins."""

_DRAIN_CAP_FRACTION = 0.8


class UpcomingDrain(t.NamedTuple):
    """A zone whose drain begins after `time_left`."""

    zone: str
    time_left: timedelta


class AppliedMove(t.NamedTuple):
    """The progress of a move: `fraction` of the origin's traffic goes to the target."""

    origin: str
    target: str
    fraction: float


class ServiceSnapshot(t.NamedTuple):
    """Availability of one service's zones, seen from this entry.

    `region` and `zone` locate this entry. `slots` has the slots of the endpoints that are not
    drained, for each zone with endpoints, and `base_slots` those that belong to this entry's base
    shares. In `drained` zones every endpoint is drained or reported as leaving. In `dead` zones
    every open endpoint fails or is confirmed to be draining.
    """

    region: str
    zone: str
    regions: Mapping[str, t.Sequence[str]]
    region_of: Mapping[str, str]
    slots: Mapping[str, int]
    drained: frozenset[str]
    dead: frozenset[str]
    upcoming_drains: tuple[UpcomingDrain, ...]
    base_slots: Mapping[str, int] = {}


class TargetDistribution(t.NamedTuple):
    """Where a rule's traffic should go once all shifts are complete.

    `fractions` is empty if no place is left. `closed` zones get no new requests whatever their
    present fraction. `primary` zones are those named by the rule and the moves; `overflow` lists
    the zones to use when one is full, the nearest first.
    """

    fractions: Fractions
    closed: frozenset[str]
    primary: frozenset[str]
    overflow: tuple[str, ...]


def target_distribution(
    directive: Directive, snapshot: ServiceSnapshot, moves: Iterable[AppliedMove], rate: float
) -> TargetDistribution:
    """Run all stages for one rule; `rate` is the cap as a fraction of traffic per second.

    Moves are applied before drains, so traffic that was moved off a place stays at its target.
    """
    unavailable = snapshot.drained | snapshot.dead
    weights = expand_places(directive.places, snapshot)
    weights = apply_moves(weights, [m for m in moves if _is_possible(m, snapshot, unavailable)])
    primary = frozenset(weights)
    limits = dict.fromkeys(unavailable, 0.0) | limits_before_drains(
        weights, snapshot.upcoming_drains, unavailable, rate
    )
    fractions = redistribute(weights, limits, snapshot.region_of)
    if not fractions:
        fractions = _spill_fractions(directive, snapshot, unavailable)
    closed = unavailable
    if not fractions:
        # Every place seems dead to this entry: try them rather than refuse all requests.
        fractions = redistribute(weights, dict.fromkeys(snapshot.drained, 0.0), snapshot.region_of)
        closed = snapshot.drained
    return TargetDistribution(
        fractions, closed, primary, _overflow_zones(directive, snapshot, primary, closed)
    )


def expand_places(places: t.Sequence[WeightedPlace], snapshot: ServiceSnapshot) -> Fractions:
    """Convert a rule's places to zones with fractions; a region's weight is split by slots.

    The split uses this entry's base slots if it has any in the region: over all entries they add up
    to the full slots, and a request that waits for a zone can then use a slot of this entry.
    Without places, the entry's own region is used, or all zones if that has no endpoint. Places
    with weight 0 are kept as standby.
    """
    weights: Fractions = {}
    for place in places or (WeightedPlace(snapshot.region, None, 1),):
        zones = [place.zone] if place.region is None else snapshot.regions.get(place.region, ())
        has_base = any(snapshot.base_slots.get(zone) for zone in zones)
        for zone, fraction in _split_by_slots(
            zones, snapshot.base_slots if has_base else snapshot.slots
        ).items():
            weights[zone] = weights.get(zone, 0.0) + fraction * place.weight
    if not weights and not places:
        weights = _split_by_slots(snapshot.slots, snapshot.slots)
    return _normalized(weights)


def apply_moves(weights: Fractions, moves: t.Sequence[AppliedMove]) -> Fractions:
    """Move fractions of origins to targets; they relate to the rule's weights before any move."""
    moved = dict(weights)
    requested: dict[str, float] = {}
    for move in moves:
        requested[move.origin] = requested.get(move.origin, 0.0) + move.fraction
    for move in moves:
        amount = weights.get(move.origin, 0.0) * move.fraction / max(1.0, requested[move.origin])
        if amount > 0:
            moved[move.origin] -= amount
            moved[move.target] = moved.get(move.target, 0.0) + amount
    return moved


def limits_before_drains(
    weights: Fractions,
    upcoming_drains: Iterable[UpcomingDrain],
    unavailable: AbstractSet[str],
    rate: float,
) -> Fractions:
    """Return the fraction that each zone with an upcoming drain may still have.

    The traffic of all drains up to an instant must fit the cap until then. Movement is planned at a
    reduced rate and ends before the drain begins, which leaves a margin for clock skew and for
    concurrent shifts.
    """
    limits: Fractions = {}
    used = 0.0
    for item in sorted(upcoming_drains, key=lambda c: (c.time_left, c.zone)):
        if item.zone in unavailable or item.zone not in weights:
            continue
        movable = (
            max(0.0, (item.time_left - DRAIN_LEAD).total_seconds()) * rate * _DRAIN_CAP_FRACTION
        )
        if movable >= 1:
            break
        limits[item.zone] = min(weights[item.zone], max(0.0, movable - used))
        used += limits[item.zone]
    return limits


def redistribute(
    weights: Fractions, limits: Mapping[str, float], region_of: Mapping[str, str]
) -> Fractions:
    """Move the excess of limited zones to others, the nearest first.

    It goes to the other zones of the same region, else to all others by weight, else to the standby
    zones. Empty if no zone can take it and none may keep traffic.
    """
    recipients = {zone: weight for zone, weight in weights.items() if zone not in limits}
    if not recipients:
        return _normalized({z: w for z, w in weights.items() if limits.get(z, 0.0) > 0 and w > 0})
    if sum(recipients.values()) <= 0:
        recipients = dict.fromkeys(recipients, 1.0)
    kept = {zone: min(weight, limits.get(zone, weight)) for zone, weight in weights.items()}
    for zone, weight in weights.items():
        excess = weight - kept[zone]
        if excess <= 0:
            continue
        near = {z: w for z, w in recipients.items() if region_of.get(z) == region_of.get(zone)}
        group = near if sum(near.values()) > 0 else recipients
        total = sum(group.values())
        for recipient, share in group.items():
            kept[recipient] += excess * share / total
    return _normalized({zone: fraction for zone, fraction in kept.items() if fraction > 0})


def _is_possible(
    move: AppliedMove, snapshot: ServiceSnapshot, unavailable: AbstractSet[str]
) -> bool:
    return move.target not in unavailable and snapshot.slots.get(move.target, 0) > 0


def _spill_fractions(
    directive: Directive, snapshot: ServiceSnapshot, unavailable: AbstractSet[str]
) -> Fractions:
    """Return the zones that take a rule's traffic when none of its places can."""
    regions = directive.spill
    if not directive.places and not regions:
        regions = tuple(region for region in snapshot.regions if region != snapshot.region)
    for region in regions:
        zones = [zone for zone in snapshot.regions.get(region, ()) if zone not in unavailable]
        fractions = _normalized(_split_by_slots(zones, snapshot.slots))
        if fractions:
            return fractions
    return {}


def _overflow_zones(
    directive: Directive, snapshot: ServiceSnapshot, primary: frozenset[str], closed: frozenset[str]
) -> tuple[str, ...]:
    leaving = {item.zone for item in snapshot.upcoming_drains}

    def usable(zone: str) -> bool:
        return snapshot.slots.get(zone, 0) > 0 and zone not in closed and zone not in leaving

    own = sorted(
        filter(usable, primary),
        key=lambda zone: (
            zone != snapshot.zone,
            snapshot.region_of.get(zone) != snapshot.region,
            zone,
        ),
    )
    spill = [zone for region in directive.spill for zone in snapshot.regions.get(region, ())]
    return tuple(own) + tuple(z for z in filter(usable, spill) if z not in primary)


def _split_by_slots(zones: Iterable[str], slots: Mapping[str, int]) -> Fractions:
    """Divide 1 among the zones that have endpoints, by their open slots."""
    open_slots = {zone: slots[zone] for zone in zones if zone in slots}
    total = sum(open_slots.values())
    if total == 0:
        # All are drained: equal fractions let later stages redistribute them.
        return dict.fromkeys(open_slots, 1 / len(open_slots)) if open_slots else {}
    return {zone: count / total for zone, count in open_slots.items()}


def _normalized(weights: Fractions) -> Fractions:
    total = sum(weights.values())
    if total <= 0:
        return dict.fromkeys(weights, 1 / len(weights)) if weights else {}
    return {zone: weight / total for zone, weight in weights.items()}


class _Move:
    """A move in progress; a wall clock that steps back does not undo its start."""

    def __init__(self, row: MoveRow, ramp: Ramp) -> None:
        self.row = row
        self.ramp = ramp
        self.since = parse_instant(row["since"])
        self.started = False
        self.revoked = False

    def advance(self, now: timedelta, wall: datetime) -> None:
        self.started = self.started or wall >= self.since
        goal = self.row["percent"] if self.started and not self.revoked else 0.0
        self.ramp.advance(now, goal, self.row["cap_percent_per_s"])


class Schedule:
    """The planned moves and drains of the document and their progress.

    Parameters
    ----------
    clock
        The wall clock determines when a plan begins, the monotonic clock how fast it proceeds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._moves: dict[str, _Move] = {}
        self._revoked: list[_Move] = []
        self._drain_starts: dict[str, datetime] = {}
        self._closed: set[str] = set()
        self._pending: list[tuple[datetime, str]] = []
        self._is_first_document = True

    def configure(self, document: Document) -> None:
        """Apply the moves and drains of a document."""
        self._configure_moves(document.get("moves", {}))
        drain_starts = drain_start_times(document)
        self._closed = {e for e in self._closed if drain_starts.get(e) == self._drain_starts.get(e)}
        self._drain_starts = drain_starts
        self._pending = sorted(
            ((since, name) for name, since in drain_starts.items() if name not in self._closed),
            reverse=True,
        )
        self._is_first_document = False
        self.advance()

    def advance(self) -> bool:
        """Advance all plans to the present; return whether an endpoint has been closed."""
        now, wall = self._clock.monotonic(), self._clock.utcnow()
        for move in [*self._moves.values(), *self._revoked]:
            move.advance(now, wall)
        self._revoked = [move for move in self._revoked if move.ramp.value > 0]
        any_closed = False
        while self._pending and self._pending[-1][0] <= wall:
            self._closed.add(self._pending.pop()[1])
            any_closed = True
        return any_closed

    def is_closed(self, endpoint: str) -> bool:
        """Return whether a drain that has begun covers the endpoint."""
        return endpoint in self._closed

    def drain_start(self, endpoint: str) -> datetime | None:
        """Return when a drain of the endpoint begins or began, if there is one."""
        return self._drain_starts.get(endpoint)

    def moves(self, service: str, *, started_before: datetime | None = None) -> list[AppliedMove]:
        """Return the progress of the service's moves, or of those started before an instant."""
        return [
            AppliedMove(move.row["origin"], move.row["target"], move.ramp.value / 100)
            for move in [*self._moves.values(), *self._revoked]
            if move.row["service"] == service
            and move.ramp.value > 0
            and (started_before is None or move.since < started_before)
        ]

    def last_start(
        self, service: str, endpoints: Iterable[str], after: datetime
    ) -> datetime | None:
        """Return the start of the service's latest plan that began after `after`."""
        wall = self._clock.utcnow()
        starts = [m.since for m in self._moves.values() if m.row["service"] == service]
        starts += [self._drain_starts[name] for name in endpoints if name in self._drain_starts]
        return max((since for since in starts if after < since <= wall), default=None)

    def _configure_moves(self, rows: Mapping[str, MoveRow]) -> None:
        moves: dict[str, _Move] = {}
        for name, row in rows.items():
            old = self._moves.pop(name, None)
            if old is not None and _same_move(old.row, row):
                old.row = row
                moves[name] = old
                continue
            if old is not None:
                self._revoke(old)
            moves[name] = self._new_move(row)
        for gone in self._moves.values():
            self._revoke(gone)
        self._moves = moves

    def _revoke(self, move: _Move) -> None:
        move.revoked = True
        self._revoked.append(move)

    def _new_move(self, row: MoveRow) -> _Move:
        """Create a move at zero progress, or in the first document at the progress of the fleet.

        Only a process that has just started continues from the elapsed time.
        """
        value = 0.0
        if self._is_first_document:
            elapsed = (self._clock.utcnow() - parse_instant(row["since"])).total_seconds()
            value = min(row["percent"], max(0.0, elapsed) * row["cap_percent_per_s"])
        return _Move(row, Ramp(self._clock.monotonic(), value))


def drain_start_times(document: Document) -> dict[str, datetime]:
    """Return when the first drain of each endpoint begins, for endpoints that have one."""
    region_of = regions_of_zones(document)
    drain_starts: dict[str, datetime] = {}
    for name, drain in document.get("drains", {}).items():
        since = parse_instant(drain["since"])
        for service in document["services"].values():
            for endpoint, row in service["upstreams"].items():
                if not _covers(name, drain, endpoint, row["zone"], region_of.get(row["zone"])):
                    continue
                drain_starts[endpoint] = min(since, drain_starts.get(endpoint, since))
    return drain_starts


def parse_instant(text: str) -> datetime:
    """Return an ISO 8601 instant; without an offset it is UTC."""
    instant = datetime.fromisoformat(text)
    return instant if instant.tzinfo is not None else instant.replace(tzinfo=UTC)


def _covers(name: str, drain: DrainRow, endpoint: str, zone: str, region: str | None) -> bool:
    covered = {"upstream": endpoint, "zone": zone, "region": region}
    return covered.get(drain["kind"]) == name


def _same_move(old: MoveRow, new: MoveRow) -> bool:
    return all(
        old[field] == new[field]  # type: ignore[literal-required]
        for field in ("service", "origin", "target", "since")
    )
