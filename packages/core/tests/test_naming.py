"""Which entries a client is told to use."""

from cardamomloft.core.naming import ENOUGH, MAX_NAMED, entries_for
from cardamomloft.core.registrations import EntryRecord

REGIONS = {"a": "east", "b": "east", "c": "west"}


def _records(zones: str) -> list[EntryRecord]:
    """Return an entry for each letter, which is its zone."""
    return [
        EntryRecord(f"{zone}{number}", f"10.0.0.{number}:80", zone, REGIONS[zone])
        for number, zone in enumerate(zones)
    ]


def _names(zones, zone="", region="", homes=frozenset()):
    return [row.name for row in entries_for(_records(zones), zone, region, homes, REGIONS)]


def test_a_client_uses_the_entries_of_its_zone():
    assert _names("aabbc", "a", "east") == ["a0", "a1"]
    assert _names("ccabb", "c") == ["c0", "c1"]


def test_a_zone_with_one_entry_is_helped_by_another_of_its_region():
    names = _names("abbbc", "a", "east")
    assert len(names) == ENOUGH
    assert names[0] == "a0"
    assert names[1][0] == "b"


def test_a_zone_without_entries_uses_all_of_its_region():
    assert sorted(_names("bbcc", "a", "east")) == ["b0", "b1"]


def test_no_entry_of_another_region_is_named_while_the_own_has_one():
    assert _names("bccc", "a", "east") == ["b0"]


def test_without_entries_in_the_region_it_uses_those_of_the_homes_and_else_all():
    assert _names("abc", region="north", homes=frozenset({"west"})) == ["c2"]
    assert _names("abc", region="north") == ["a0", "b1", "c2"]


def test_no_more_are_named_than_callers_read():
    assert len(_names("a" * 100, "a", "east")) == MAX_NAMED
