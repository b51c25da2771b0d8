"""How a zone's work is divided among zones."""

import pytest
from cardamomloft.core.zones import LAST_RESORT, slot_weights
from hypothesis import given
from hypothesis import strategies as st

REGIONS = {"e1": "east", "e2": "east", "n1": "north", "n2": "north", "w1": "west", "w2": "west"}
_slots = st.fixed_dictionaries({zone: st.integers(0, 50) for zone in REGIONS})


def _shares(slots, here, regions=REGIONS):
    weights = slot_weights(slots, here, regions)
    parts = {zone: weight * slots[zone] for zone, weight in weights.items()}
    return {zone: part / sum(parts.values()) for zone, part in parts.items()}


@given(_slots)
def test_with_equal_demand_every_zone_is_loaded_alike(slots):
    """No zone gets more than its slots' part of all work."""
    if not sum(slots.values()):
        return
    load = dict.fromkeys(slots, 0.0)
    for here in REGIONS:
        for zone, share in _shares(slots, here).items():
            load[zone] += share / len(REGIONS)
    for zone, count in slots.items():
        assert load[zone] <= count / sum(slots.values()) + 1e-6


def test_nothing_leaves_a_zone_with_slots_enough():
    assert _shares(dict.fromkeys(REGIONS, 8), "e1")["e1"] == pytest.approx(1)


def test_what_a_zone_lacks_goes_to_its_region_first():
    slots = {"e1": 4, "e2": 12, "n1": 8, "n2": 8, "w1": 8, "w2": 8}
    shares = _shares(slots, "e1")
    assert shares["e1"] == pytest.approx(0.5)
    assert shares["e2"] == pytest.approx(0.5)


def test_what_a_region_lacks_goes_to_regions_with_more():
    slots = {"e1": 4, "e2": 4, "n1": 12, "n2": 12, "w1": 8, "w2": 8}
    shares = _shares(slots, "e1")
    assert shares["e1"] == pytest.approx(0.5)
    assert shares["n1"] == shares["n2"] == pytest.approx(0.25)
    assert shares["w1"] < 1e-6


def test_a_zone_without_demand_of_its_own_serves_others():
    shares = _shares({"e1": 4, "x": 20}, "e1", {"e1": "east"})
    assert shares["e1"] == pytest.approx(1)


def test_every_zone_keeps_a_weight_as_the_last_resort():
    assert slot_weights({"e1": 30, "w1": 2}, "e1", {"e1": "east"})["w1"] == LAST_RESORT
