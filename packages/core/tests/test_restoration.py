"""What is believed of a store that has come back from an older copy."""

from datetime import timedelta

from cardamomloft.core.entrybook import EntryBook
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    PlanRead,
    Registration,
    UpstreamRegistered,
    ZoneDrained,
)
from cardamomloft.core.restoration import missing_drains, sift
from cardamomloft.core.routes import CallerLimits, RoutePlan
from cardamomloft.core.upstreambook import UpstreamBook

ZERO = timedelta(0)
OWN = EntryRecord("e-0", "10.0.0.1:80", "a", "east")
PLAN = PlanRead(RoutePlan(1, (), {}, CallerLimits(1, 1, ZERO, ZERO)))


def row(number=1, **changes) -> Registration:
    made = Registration(f"i-{number}", "menus", "10.0.0.9:80", "a", 4, False, ZERO)
    return made._replace(**changes)


def books(*rows) -> tuple[UpstreamBook, EntryBook]:
    table, entries = UpstreamBook({"a": "east"}), EntryBook(OWN, timedelta(seconds=10))
    for each in rows:
        table.register(each, ZERO)
    return table, entries


def is_taken(fact, table, entries) -> bool:
    taken, doubted = sift([fact], table, entries)
    assert (taken, doubted) in (((fact,), ()), ((), (fact,)))
    return bool(taken)


def test_what_is_not_known_here_is_taken():
    for fact in (PLAN, UpstreamRegistered(row()), ZoneDrained("a"), EntryRecorded(OWN)):
        assert is_taken(fact, *books())


def test_an_endpoint_that_had_said_it_leaves_is_not_ready_again():
    table, entries = books(row(draining=True))
    assert not is_taken(UpstreamRegistered(row()), table, entries)
    assert is_taken(UpstreamRegistered(row(draining=True)), table, entries)


def test_an_endpoint_that_was_withdrawn_is_not_back():
    table, entries = books(row())
    table.withdraw("i-1", ZERO)
    assert not is_taken(UpstreamRegistered(row()), table, entries)


def test_a_later_life_of_it_and_one_that_wrote_itself_again_are():
    table, entries = books(row(started_ms=5))
    table.withdraw("i-1", ZERO)
    assert is_taken(UpstreamRegistered(row(started_ms=6)), table, entries)
    table.register(row(started_ms=5), ZERO)
    assert is_taken(UpstreamRegistered(row(started_ms=5)), table, entries)


def test_an_entry_that_was_gone_is_not_named_until_it_records_itself_again():
    table, entries = books()
    other = OWN._replace(name="e-1")
    entries.add(other, ZERO)
    entries.withdraw("e-1", ZERO)
    assert not is_taken(EntryRecorded(other), table, entries)
    entries.add(other, ZERO)
    assert is_taken(EntryRecorded(other), table, entries)


def test_drains_that_are_missing_are_told():
    table, _ = books()
    for zone in ("a", "b"):
        table.drain_zone(zone)
    assert missing_drains([ZoneDrained("b"), ZoneDrained("c")], table) == {"a"}
