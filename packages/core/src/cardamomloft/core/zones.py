"""How much of a zone's work its own endpoints take, and where the rest goes.

Bytes between zones cost money, and between regions time as well, but zones seldom have endpoints
in proportion to their callers. The division depends on the registrations only, so every entry of a
zone computes the same one, and it changes only when endpoints come or go.
"""

import typing as t
from collections import Counter
from collections.abc import Mapping

LAST_RESORT = 1e-9
"""Weight of a slot in a zone that gets nothing as long as another has endpoints."""


class _Balance(t.NamedTuple):
    """What a zone or a region lacks for its demand, and what it has over."""

    lacks: float
    over: float


def slot_weights(
    slots: Mapping[str, int], here: str, regions: Mapping[str, str]
) -> dict[str, float]:
    """Return the weight of one slot of each zone for work that arrives in the zone `here`.

    Each zone is assumed to have the same demand. One with fewer slots than that needs keeps work
    in proportion to its slots; the rest goes to zones of the region with more, by what they have
    over, and what the region lacks goes to other regions in the same way.

    Parameters
    ----------
    slots
        Slots of a service by zone.
    here
        The zone in which the work arrives.
    regions
        The region of each zone that has demand.
    """
    fair = sum(slots.values()) / max(len(regions), 1)
    zones = {zone: _balance(slots.get(zone, 0), fair) for zone in {*slots, *regions}}
    shares = _shares(zones, here, regions, fair)
    return {zone: max(LAST_RESORT, shares[zone] / count) for zone, count in slots.items() if count}


def _balance(count: float, fair: float) -> _Balance:
    return _Balance(max(0.0, fair - count), max(0.0, count - fair))


def _shares(
    zones: Mapping[str, _Balance], here: str, regions: Mapping[str, str], fair: float
) -> Counter[str]:
    """Return the part of the work of `here` that each zone gets; the parts add up to 1."""
    shares: Counter[str] = Counter()
    lacks = zones[here].lacks if here in zones else fair
    if not fair:
        return shares
    shares[here] = 1 - lacks / fair
    region = regions.get(here, "")
    left = _spread_inside(shares, zones, lacks / fair, region, regions)
    _spread_outside(shares, zones, left, region, regions)
    return shares


def _spread_inside(
    shares: Counter[str],
    zones: Mapping[str, _Balance],
    part: float,
    region: str,
    regions: Mapping[str, str],
) -> float:
    """Give `part` of the work to zones of the region; return what finds no room there."""
    inside = [zone for zone in zones if regions.get(zone) == region]
    lacking = sum(zones[zone].lacks for zone in inside)
    over = sum(zones[zone].over for zone in inside)
    if not lacking or not over:
        return part
    placed = part * min(1.0, over / lacking)
    for zone in inside:
        shares[zone] += placed * zones[zone].over / over
    return part - placed


def _spread_outside(
    shares: Counter[str],
    zones: Mapping[str, _Balance],
    part: float,
    region: str,
    regions: Mapping[str, str],
) -> None:
    """Give `part` of the work to other regions, by what they have over for themselves."""
    room: Counter[str] = Counter()
    for other in {*regions.values()} - {region}:
        inside = [zone for zone in zones if regions.get(zone) == other]
        over = sum(zones[zone].over for zone in inside)
        spare = over - sum(zones[zone].lacks for zone in inside)
        for zone in inside if spare > 0 else ():
            room[zone] = spare * zones[zone].over / over
    total = sum(room.values())
    for zone, count in room.items():
        shares[zone] += part * count / total
