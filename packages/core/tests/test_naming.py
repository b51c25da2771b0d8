"""Tests of the selection of entries that clients should use."""

from datetime import timedelta

from cardamomloft.core import naming
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.naming import MAX_ENTRIES, MIN_ENTRIES, EntryLookup, entries_for
from cardamomloft.core.registrations import EntryRecord
from hypothesis import given
from hypothesis import strategies as st

REGIONS = {"a": "east", "b": "east", "c": "west"}


def _records(zones: str) -> list[EntryRecord]:
    """Return one entry per letter of `zones`; the letter is its zone."""
    return [
        EntryRecord(f"{zone}{number}", f"10.0.0.{number}:80", zone, REGIONS[zone])
        for number, zone in enumerate(zones)
    ]


def _names(zones, zone="", region="", homes=frozenset()):
    return [row.name for row in entries_for(_records(zones), zone, region, homes, REGIONS)]


def test_client_uses_the_entries_of_its_zone():
    assert _names("aabbc", "a", "east") == ["a0", "a1"]
    assert _names("ccabb", "c") == ["c0", "c1"]


def test_zone_with_one_entry_gets_another_one_of_its_region():
    names = _names("abbbc", "a", "east")
    assert len(names) == MIN_ENTRIES
    assert names[0] == "a0"
    assert names[1][0] == "b"


def test_a_zone_without_entries_uses_all_of_its_region():
    assert sorted(_names("bbcc", "a", "east")) == ["b0", "b1"]


def test_no_entry_of_another_region_is_returned_while_the_own_region_has_one():
    assert _names("bccc", "a", "east") == ["b0"]


def test_without_entries_in_the_region_the_home_regions_are_used_or_else_all():
    assert _names("abc", region="north", homes=frozenset({"west"})) == ["c2"]
    assert _names("abc", region="north") == ["a0", "b1", "c2"]


def test_answers_are_limited_to_max_entries():
    assert len(_names("a" * 100, "a", "east")) == MAX_ENTRIES


OWN, *OTHERS = _records("aabbc")
ZERO = timedelta(0)
MOVES = st.lists(
    st.tuples(st.sampled_from(["add", "move", "withdraw"]), st.sampled_from(OTHERS)), max_size=12
)


@given(MOVES, st.sampled_from(["", "a", "b", "c"]), st.booleans())
def test_cached_answers_match_the_registered_entries(moves, zone, with_own):
    table = EntryTable(OWN, ZERO)
    names = EntryLookup(table)
    for kind, record in moves:
        if kind == "withdraw":
            table.withdraw(record.name, ZERO)
        else:
            table.add(record._replace(address="10.9.9.9:80") if kind == "move" else record, ZERO)
        cached = names.find(zone, "", frozenset(), REGIONS, with_own=with_own)
        registered = table.records(with_own=with_own)
        assert cached == entries_for(registered, zone, "", frozenset(), REGIONS)


def test_answer_is_computed_once_until_the_entries_change(monkeypatch):
    computed = []
    monkeypatch.setattr(naming, "entries_for", lambda *_: computed.append(1) or [])
    table = EntryTable(OWN, ZERO)
    names, zones = EntryLookup(table), dict(REGIONS)
    for _ in range(3):
        names.find("a", "", frozenset(), zones, with_own=True)
    assert len(computed) == 1
    table.add(OTHERS[0], ZERO)
    names.find("a", "", frozenset(), zones, with_own=True)
    assert len(computed) == 2
    names.find("a", "", frozenset(), dict(REGIONS), with_own=True)
    assert len(computed) == 3


def test_answer_cache_stays_bounded_for_arbitrary_zones():
    names = EntryLookup(EntryTable(OWN, ZERO))
    for number in range(3 * naming.MAX_CACHED_ANSWERS):
        names.find(f"zone-{number}", "", frozenset(), REGIONS, with_own=True)
    assert len(names._cache) <= naming.MAX_CACHED_ANSWERS
