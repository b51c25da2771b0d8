"""Which entries a client is told to use."""

from datetime import timedelta

from cardamomloft.core import naming
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.naming import ENOUGH, MAX_NAMED, EntryLookup, entries_for
from cardamomloft.core.registrations import EntryRecord
from hypothesis import given
from hypothesis import strategies as st

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


OWN, *OTHERS = _records("aabbc")
ZERO = timedelta(0)
MOVES = st.lists(
    st.tuples(st.sampled_from(["add", "move", "withdraw"]), st.sampled_from(OTHERS)), max_size=12
)


@given(MOVES, st.sampled_from(["", "a", "b", "c"]), st.booleans())
def test_kept_answers_are_those_of_the_entries_that_are_there(moves, zone, with_own):
    book = EntryTable(OWN, ZERO)
    names = EntryLookup(book)
    for kind, record in moves:
        if kind == "withdraw":
            book.withdraw(record.name, ZERO)
        else:
            book.add(record._replace(address="10.9.9.9:80") if kind == "move" else record, ZERO)
        kept = names.find(zone, "", frozenset(), REGIONS, with_own=with_own)
        there = book.records(with_own=with_own)
        assert kept == entries_for(there, zone, "", frozenset(), REGIONS)


def test_an_answer_is_worked_out_once_until_something_changes(monkeypatch):
    worked = []
    monkeypatch.setattr(naming, "entries_for", lambda *_: worked.append(1) or [])
    book = EntryTable(OWN, ZERO)
    names, zones = EntryLookup(book), dict(REGIONS)
    for _ in range(3):
        names.find("a", "", frozenset(), zones, with_own=True)
    assert len(worked) == 1
    book.add(OTHERS[0], ZERO)
    names.find("a", "", frozenset(), zones, with_own=True)
    assert len(worked) == 2
    names.find("a", "", frozenset(), dict(REGIONS), with_own=True)
    assert len(worked) == 3


def test_no_more_answers_are_kept_than_so_many_whatever_callers_state():
    names = EntryLookup(EntryTable(OWN, ZERO))
    for number in range(3 * naming.ANSWERS_KEPT):
        names.find(f"zone-{number}", "", frozenset(), REGIONS, with_own=True)
    assert len(names._kept) <= naming.ANSWERS_KEPT
