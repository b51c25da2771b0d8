"""What is believed of a store that has come back from an older copy."""

from datetime import timedelta

from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    PlanRead,
    Registration,
    UpstreamRegistered,
    ZoneDrained,
)
from cardamomloft.core.restoration import classify_facts, missing_drains
from cardamomloft.core.routes import CallerLimits, RoutePlan
from cardamomloft.core.upstreamtable import UpstreamTable

ZERO = timedelta(0)
OWN = EntryRecord("e-0", "10.0.0.1:80", "a", "east")
PLAN = PlanRead(RoutePlan(1, (), {}, CallerLimits(1, 1, ZERO, ZERO)))


def row(number=1, **changes) -> Registration:
    made = Registration(f"i-{number}", "menus", "10.0.0.9:80", "a", 4, False, ZERO)
    return made._replace(**changes)


def books(*rows) -> tuple[UpstreamTable, EntryTable]:
    book, entries = UpstreamTable({"a": "east"}), EntryTable(OWN, timedelta(seconds=10))
    for each in rows:
        book.register(each, ZERO)
    return book, entries


def is_taken(fact, book, entries) -> bool:
    taken, doubted = classify_facts([fact], book, entries)
    assert (taken, doubted) in (((fact,), ()), ((), (fact,)))
    return bool(taken)


def test_what_is_not_known_here_is_taken():
    for fact in (PLAN, UpstreamRegistered(row()), ZoneDrained("a"), EntryRecorded(OWN)):
        assert is_taken(fact, *books())


def test_an_endpoint_that_had_said_it_leaves_is_not_ready_again():
    book, entries = books(row(draining=True))
    assert not is_taken(UpstreamRegistered(row()), book, entries)
    assert is_taken(UpstreamRegistered(row(draining=True)), book, entries)


def test_an_endpoint_that_was_withdrawn_is_not_back():
    book, entries = books(row())
    book.withdraw("i-1", ZERO)
    assert not is_taken(UpstreamRegistered(row()), book, entries)


def test_a_later_life_of_it_and_one_that_wrote_itself_again_are():
    book, entries = books(row(started_ms=5))
    book.withdraw("i-1", ZERO)
    assert is_taken(UpstreamRegistered(row(started_ms=6)), book, entries)
    book.register(row(started_ms=5), ZERO)
    assert is_taken(UpstreamRegistered(row(started_ms=5)), book, entries)


def test_an_entry_that_was_gone_is_not_named_until_it_records_itself_again():
    book, entries = books()
    other = OWN._replace(name="e-1")
    entries.add(other, ZERO)
    entries.withdraw("e-1", ZERO)
    assert not is_taken(EntryRecorded(other), book, entries)
    entries.add(other, ZERO)
    assert is_taken(EntryRecorded(other), book, entries)


def test_drains_that_are_missing_are_told():
    book, _ = books()
    for zone in ("a", "b"):
        book.drain_zone(zone)
    assert missing_drains([ZoneDrained("b"), ZoneDrained("c")], book) == {"a"}
