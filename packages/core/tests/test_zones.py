"""Division of the requests of a zone among zones."""

import pytest
from cardamomloft.core.zones import FALLBACK_WEIGHT, slot_weights
from hypothesis import given
from hypothesis import strategies as st

REGIONS = {"e1": "east", "e2": "east", "n1": "north", "n2": "north", "w1": "west", "w2": "west"}
_slots = st.fixed_dictionaries({zone: st.integers(0, 50) for zone in REGIONS})


def _zone_fractions(slots, here, regions=REGIONS):
    weights = slot_weights(slots, here, regions)
    parts = {zone: weight * slots[zone] for zone, weight in weights.items()}
    return {zone: part / sum(parts.values()) for zone, part in parts.items()}


@given(_slots)
def test_equal_demand_loads_no_zone_beyond_its_slots(slots):
    """No zone gets a larger fraction of the requests than its fraction of all slots."""
    if not sum(slots.values()):
        return
    load = dict.fromkeys(slots, 0.0)
    for here in REGIONS:
        for zone, share in _zone_fractions(slots, here).items():
            load[zone] += share / len(REGIONS)
    for zone, count in slots.items():
        assert load[zone] <= count / sum(slots.values()) + 1e-6


def test_zone_with_enough_slots_keeps_its_requests():
    assert _zone_fractions(dict.fromkeys(REGIONS, 8), "e1")["e1"] == pytest.approx(1)


def test_zone_deficit_goes_to_its_region_first():
    slots = {"e1": 4, "e2": 12, "n1": 8, "n2": 8, "w1": 8, "w2": 8}
    fractions = _zone_fractions(slots, "e1")
    assert fractions["e1"] == pytest.approx(0.5)
    assert fractions["e2"] == pytest.approx(0.5)


def test_region_deficit_goes_to_regions_with_surplus():
    slots = {"e1": 4, "e2": 4, "n1": 12, "n2": 12, "w1": 8, "w2": 8}
    fractions = _zone_fractions(slots, "e1")
    assert fractions["e1"] == pytest.approx(0.5)
    assert fractions["n1"] == fractions["n2"] == pytest.approx(0.25)
    assert fractions["w1"] < 1e-6


def test_zone_without_a_region_gets_only_the_fallback_weight():
    fractions = _zone_fractions({"e1": 4, "x": 20}, "e1", {"e1": "east"})
    assert fractions["e1"] == pytest.approx(1)


def test_every_zone_keeps_the_fallback_weight():
    assert slot_weights({"e1": 30, "w1": 2}, "e1", {"e1": "east"})["w1"] == FALLBACK_WEIGHT
