"""Division of the requests that arrive in a zone among the endpoints of all zones.

Traffic between zones costs money and traffic between regions adds latency, so zones keep their own
requests where their slots allow. The division depends only on the registrations: every entry of a
zone computes the same one, and it changes only when endpoints come or go.
"""

import typing as t
from collections import Counter
from collections.abc import Mapping

FALLBACK_WEIGHT = 1e-9
"""Weight of a slot in a zone that gets requests only when no other zone has endpoints."""


class _Balance(t.NamedTuple):
    """Slots that a zone or region needs beyond its own, and slots it has beyond its demand."""

    deficit: float
    surplus: float


def slot_weights(
    slots: Mapping[str, int], arrival_zone: str, regions: Mapping[str, str]
) -> dict[str, float]:
    """Return the weight of one slot of each zone for requests that arrive in `arrival_zone`.

    Each zone is assumed to have the same demand. A zone with too few slots keeps requests in
    proportion to its slots. The rest goes to zones of its region in proportion to their surplus,
    and what the region cannot take goes to other regions in the same way.

    Parameters
    ----------
    slots
        Slots of a service by zone.
    arrival_zone
        The zone in which the requests arrive.
    regions
        The region of each zone that has demand.
    """
    fair_slots = sum(slots.values()) / max(len(regions), 1)
    zones = {zone: _balance(slots.get(zone, 0), fair_slots) for zone in {*slots, *regions}}
    fractions = _zone_fractions(zones, arrival_zone, regions, fair_slots)
    return {
        zone: max(FALLBACK_WEIGHT, fractions[zone] / count)
        for zone, count in slots.items()
        if count
    }


def _balance(count: float, fair_slots: float) -> _Balance:
    return _Balance(max(0.0, fair_slots - count), max(0.0, count - fair_slots))


def _zone_fractions(
    zones: Mapping[str, _Balance], arrival_zone: str, regions: Mapping[str, str], fair_slots: float
) -> Counter[str]:
    """Return the fraction of the arriving requests that each zone gets.

    The fractions add up to 1 if every zone with slots has a region.
    """
    fractions: Counter[str] = Counter()
    deficit = zones[arrival_zone].deficit if arrival_zone in zones else fair_slots
    if not fair_slots:
        return fractions
    fractions[arrival_zone] = 1 - deficit / fair_slots
    region = regions.get(arrival_zone, "")
    unplaced = _distribute_in_region(fractions, zones, deficit / fair_slots, region, regions)
    _distribute_to_other_regions(fractions, zones, unplaced, region, regions)
    return fractions


def _distribute_in_region(
    fractions: Counter[str],
    zones: Mapping[str, _Balance],
    fraction: float,
    region: str,
    regions: Mapping[str, str],
) -> float:
    """Give `fraction` of the requests to zones of the region; return what they cannot take."""
    inside = [zone for zone in zones if regions.get(zone) == region]
    region_deficit = sum(zones[zone].deficit for zone in inside)
    surplus = sum(zones[zone].surplus for zone in inside)
    if not region_deficit or not surplus:
        return fraction
    placed = fraction * min(1.0, surplus / region_deficit)
    for zone in inside:
        fractions[zone] += placed * zones[zone].surplus / surplus
    return fraction - placed


def _distribute_to_other_regions(
    fractions: Counter[str],
    zones: Mapping[str, _Balance],
    fraction: float,
    region: str,
    regions: Mapping[str, str],
) -> None:
    """Give `fraction` of the requests to other regions, by their net surplus."""
    spare_by_zone: Counter[str] = Counter()
    for other in {*regions.values()} - {region}:
        inside = [zone for zone in zones if regions.get(zone) == other]
        surplus = sum(zones[zone].surplus for zone in inside)
        spare = surplus - sum(zones[zone].deficit for zone in inside)
        for zone in inside if spare > 0 else ():
            spare_by_zone[zone] = spare * zones[zone].surplus / surplus
    total = sum(spare_by_zone.values())
    for zone, count in spare_by_zone.items():
        fractions[zone] += fraction * count / total
