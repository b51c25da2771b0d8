"""Where traffic should go: places of a rule, planned moves and drains, dead places.

The stages are plain functions from weights to weights; :func:`plan` runs them in order. How fast
the traffic then follows is bounded by :mod:`cardamomloft.core.ramping`.
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
"""How long before its time an announced drain should have moved all traffic."""

_DRAIN_RATE = 0.8


class Closing(t.NamedTuple):
    """A zone that is to be drained in `left`."""

    zone: str
    left: timedelta


class AppliedMove(t.NamedTuple):
    """A move as far as it has come: `fraction` of the origin's traffic goes to the target."""

    origin: str
    target: str
    fraction: float


class Landscape(t.NamedTuple):
    """What the stages know of one service's places.

    `slots` holds those of the endpoints not drained, for each zone that has endpoints, and `held`
    those of them that are this entry's by its base shares. `shut` are
    the zones closed by the configuration, `dead` those found dead or leaving. `region` is that of
    this entry and `zone` its own.
    """

    region: str
    zone: str
    regions: Mapping[str, t.Sequence[str]]
    region_of: Mapping[str, str]
    slots: Mapping[str, int]
    shut: frozenset[str]
    dead: frozenset[str]
    closing: tuple[Closing, ...]
    held: Mapping[str, int] = {}


class Plan(t.NamedTuple):
    """Where a rule's traffic should go in the end.

    `fractions` is empty if no place is left. `closed` zones get no new work whatever fraction
    they still have. `primary` zones are those that the rule and the moves name; `overflow` lists
    the zones to use when one is full, the nearest first.
    """

    fractions: Fractions
    closed: frozenset[str]
    primary: frozenset[str]
    overflow: tuple[str, ...]


def plan(directive: Directive, land: Landscape, moves: Iterable[AppliedMove], rate: float) -> Plan:
    """Run all stages for one rule; `rate` is the cap as a fraction of traffic per second.

    Moves come before drains: what was moved off a place before its drain stays where it went.
    """
    barred = land.shut | land.dead
    weights = expand(directive.places, land)
    weights = apply_moves(weights, [m for m in moves if _possible(m, land, barred)])
    primary = frozenset(weights)
    limits = dict.fromkeys(barred, 0.0) | hold_back(weights, land.closing, barred, rate)
    fractions = withdraw(weights, limits, land.region_of)
    if not fractions:
        fractions = _elsewhere(directive, land, barred)
    closed = barred
    if not fractions:
        # All are dead as far as this entry can tell. To try them is better than to refuse all.
        fractions = withdraw(weights, dict.fromkeys(land.shut, 0.0), land.region_of)
        closed = land.shut
    return Plan(fractions, closed, primary, _overflow(directive, land, primary, closed))


def expand(places: t.Sequence[WeightedPlace], land: Landscape) -> Fractions:
    """Turn a rule's places into zones with fractions; a region's weight follows its slots.

    They are the slots that this entry holds there, if it holds any: over all entries these add up
    to the slots themselves, and what waits for a zone then waits for slots that come free here.
    Without places it is the entry's own region, or everywhere if that has no endpoint. Places of
    weight 0 are kept, as a standby.
    """
    weights: Fractions = {}
    for place in places or (WeightedPlace(land.region, None, 1),):
        zones = [place.zone] if place.region is None else land.regions.get(place.region, ())
        held = any(land.held.get(zone) for zone in zones)
        for zone, part in _by_slots(zones, land.held if held else land.slots).items():
            weights[zone] = weights.get(zone, 0.0) + part * place.weight
    if not weights and not places:
        weights = _by_slots(land.slots, land.slots)
    return _normal(weights)


def apply_moves(weights: Fractions, moves: t.Sequence[AppliedMove]) -> Fractions:
    """Move parts of origins to targets; all are parts of what the rule alone would send."""
    moved = dict(weights)
    asked: dict[str, float] = {}
    for move in moves:
        asked[move.origin] = asked.get(move.origin, 0.0) + move.fraction
    for move in moves:
        amount = weights.get(move.origin, 0.0) * move.fraction / max(1.0, asked[move.origin])
        if amount > 0:
            moved[move.origin] -= amount
            moved[move.target] = moved.get(move.target, 0.0) + amount
    return moved


def hold_back(
    weights: Fractions, closing: Iterable[Closing], barred: AbstractSet[str], rate: float
) -> Fractions:
    """Return how much traffic those places may still have whose drain is near.

    All that is to leave by a certain time must fit the cap until then, taken together with what
    is to leave earlier. The rate used is below the cap and ends ahead of time, so that clocks
    which differ a little, or another shift, do not leave a rest.
    """
    limits: Fractions = {}
    used = 0.0
    for item in sorted(closing, key=lambda c: (c.left, c.zone)):
        if item.zone in barred or item.zone not in weights:
            continue
        movable = max(0.0, (item.left - DRAIN_LEAD).total_seconds()) * rate * _DRAIN_RATE
        if movable >= 1:
            break
        limits[item.zone] = min(weights[item.zone], max(0.0, movable - used))
        used += limits[item.zone]
    return limits


def withdraw(
    weights: Fractions, limits: Mapping[str, float], region_of: Mapping[str, str]
) -> Fractions:
    """Take from limited places what they may not have and give it to others, the nearest first.

    It goes to the other places of the same region, else to all others by their weights, else to
    the standby places. Empty if there is none to take it and nothing may stay.
    """
    takers = {zone: weight for zone, weight in weights.items() if zone not in limits}
    if not takers:
        return _normal({z: w for z, w in weights.items() if limits.get(z, 0.0) > 0 and w > 0})
    if sum(takers.values()) <= 0:
        takers = dict.fromkeys(takers, 1.0)
    kept = {zone: min(weight, limits.get(zone, weight)) for zone, weight in weights.items()}
    for zone, weight in weights.items():
        lost = weight - kept[zone]
        if lost <= 0:
            continue
        near = {z: w for z, w in takers.items() if region_of.get(z) == region_of.get(zone)}
        group = near if sum(near.values()) > 0 else takers
        total = sum(group.values())
        for taker, part in group.items():
            kept[taker] += lost * part / total
    return _normal({zone: fraction for zone, fraction in kept.items() if fraction > 0})


def _possible(move: AppliedMove, land: Landscape, barred: AbstractSet[str]) -> bool:
    return move.target not in barred and land.slots.get(move.target, 0) > 0


def _elsewhere(directive: Directive, land: Landscape, barred: AbstractSet[str]) -> Fractions:
    """Return the zones that take a rule's traffic when none of its places can."""
    regions = directive.spill
    if not directive.places and not regions:
        regions = tuple(region for region in land.regions if region != land.region)
    for region in regions:
        zones = [zone for zone in land.regions.get(region, ()) if zone not in barred]
        fractions = _normal(_by_slots(zones, land.slots))
        if fractions:
            return fractions
    return {}


def _overflow(
    directive: Directive, land: Landscape, primary: frozenset[str], closed: frozenset[str]
) -> tuple[str, ...]:
    leaving = {item.zone for item in land.closing}

    def usable(zone: str) -> bool:
        return land.slots.get(zone, 0) > 0 and zone not in closed and zone not in leaving

    own = sorted(
        filter(usable, primary),
        key=lambda zone: (zone != land.zone, land.region_of.get(zone) != land.region, zone),
    )
    spill = [zone for region in directive.spill for zone in land.regions.get(region, ())]
    return tuple(own) + tuple(z for z in filter(usable, spill) if z not in primary)


def _by_slots(zones: Iterable[str], slots: Mapping[str, int]) -> Fractions:
    """Split 1 over the zones that have endpoints, by the slots that are open."""
    known = {zone: slots[zone] for zone in zones if zone in slots}
    total = sum(known.values())
    if total == 0:
        # All are drained. They keep their part for now, so that later stages can pass it on.
        return dict.fromkeys(known, 1 / len(known)) if known else {}
    return {zone: part / total for zone, part in known.items()}


def _normal(weights: Fractions) -> Fractions:
    total = sum(weights.values())
    if total <= 0:
        return dict.fromkeys(weights, 1 / len(weights)) if weights else {}
    return {zone: weight / total for zone, weight in weights.items()}


class _Move:
    """A move under way; a wall clock that jumps back does not undo its start."""

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
    """The planned moves and drains of the document, and how far they have come.

    Parameters
    ----------
    clock
        The wall clock says when a plan begins, the monotonic clock how fast it goes on.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._moves: dict[str, _Move] = {}
        self._revoked: list[_Move] = []
        self._closes: dict[str, datetime] = {}
        self._closed: set[str] = set()
        self._pending: list[tuple[datetime, str]] = []
        self._first = True

    def configure(self, document: Document) -> None:
        """Take over the moves and drains of a document."""
        self._configure_moves(document.get("moves", {}))
        closes = closing_times(document)
        self._closed = {e for e in self._closed if closes.get(e) == self._closes.get(e)}
        self._closes = closes
        self._pending = sorted(
            ((since, name) for name, since in closes.items() if name not in self._closed),
            reverse=True,
        )
        self._first = False
        self.advance()

    def advance(self) -> bool:
        """Bring all plans to the present; tell whether an endpoint has closed."""
        now, wall = self._clock.monotonic(), self._clock.utcnow()
        for move in [*self._moves.values(), *self._revoked]:
            move.advance(now, wall)
        self._revoked = [move for move in self._revoked if move.ramp.value > 0]
        begun = False
        while self._pending and self._pending[-1][0] <= wall:
            self._closed.add(self._pending.pop()[1])
            begun = True
        return begun

    def is_closed(self, endpoint: str) -> bool:
        """Tell whether a drain that has begun covers the endpoint."""
        return endpoint in self._closed

    def closes_at(self, endpoint: str) -> datetime | None:
        """Return when a drain of the endpoint begins or began, if there is one."""
        return self._closes.get(endpoint)

    def moves(self, service: str, *, begun_before: datetime | None = None) -> list[AppliedMove]:
        """Return how far the service's moves are, or only those begun before an instant."""
        return [
            AppliedMove(move.row["origin"], move.row["target"], move.ramp.value / 100)
            for move in [*self._moves.values(), *self._revoked]
            if move.row["service"] == service
            and move.ramp.value > 0
            and (begun_before is None or move.since < begun_before)
        ]

    def last_begun(
        self, service: str, endpoints: Iterable[str], after: datetime
    ) -> datetime | None:
        """Return when the last plan after `after` began that concerns the service."""
        wall = self._clock.utcnow()
        begun = [m.since for m in self._moves.values() if m.row["service"] == service]
        begun += [self._closes[name] for name in endpoints if name in self._closes]
        return max((since for since in begun if after < since <= wall), default=None)

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
        """Begin at nothing moved; only a process that has just begun takes the fleet's position."""
        value = 0.0
        if self._first:
            elapsed = (self._clock.utcnow() - parse_instant(row["since"])).total_seconds()
            value = min(row["percent"], max(0.0, elapsed) * row["cap_percent_per_s"])
        return _Move(row, Ramp(self._clock.monotonic(), value))


def closing_times(document: Document) -> dict[str, datetime]:
    """Return when a drain first covers each endpoint, for those that one covers."""
    region_of = regions_of_zones(document)
    closes: dict[str, datetime] = {}
    for name, drain in document.get("drains", {}).items():
        since = parse_instant(drain["since"])
        for service in document["services"].values():
            for endpoint, row in service["upstreams"].items():
                if not _covers(name, drain, endpoint, row["zone"], region_of.get(row["zone"])):
                    continue
                closes[endpoint] = min(since, closes.get(endpoint, since))
    return closes


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
