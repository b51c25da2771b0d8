"""Which facts are accepted from a store restored from an older copy."""

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


def tables(*rows) -> tuple[UpstreamTable, EntryTable]:
    table, entries = UpstreamTable({"a": "east"}), EntryTable(OWN, timedelta(seconds=10))
    for each in rows:
        table.register(each, ZERO)
    return table, entries


def is_accepted(fact, table, entries) -> bool:
    accepted, unconfirmed = classify_facts([fact], table, entries)
    assert (accepted, unconfirmed) in (((fact,), ()), ((), (fact,)))
    return bool(accepted)


def test_a_fact_about_something_unknown_is_accepted():
    for fact in (PLAN, UpstreamRegistered(row()), ZoneDrained("a"), EntryRecorded(OWN)):
        assert is_accepted(fact, *tables())


def test_a_draining_endpoint_is_not_made_ready_by_an_outdated_registration():
    table, entries = tables(row(draining=True))
    assert not is_accepted(UpstreamRegistered(row()), table, entries)
    assert is_accepted(UpstreamRegistered(row(draining=True)), table, entries)


def test_a_withdrawn_endpoint_is_not_restored_by_an_outdated_registration():
    table, entries = tables(row())
    table.withdraw("i-1", ZERO)
    assert not is_accepted(UpstreamRegistered(row()), table, entries)


def test_a_later_incarnation_and_a_renewed_registration_are_accepted():
    table, entries = tables(row(started_ms=5))
    table.withdraw("i-1", ZERO)
    assert is_accepted(UpstreamRegistered(row(started_ms=6)), table, entries)
    table.register(row(started_ms=5), ZERO)
    assert is_accepted(UpstreamRegistered(row(started_ms=5)), table, entries)


def test_a_withdrawn_entry_is_accepted_only_after_it_recorded_itself_again():
    table, entries = tables()
    other = OWN._replace(name="e-1")
    entries.add(other, ZERO)
    entries.withdraw("e-1", ZERO)
    assert not is_accepted(EntryRecorded(other), table, entries)
    entries.add(other, ZERO)
    assert is_accepted(EntryRecorded(other), table, entries)


def test_drains_missing_from_the_restored_store_are_reported():
    table, _ = tables()
    for zone in ("a", "b"):
        table.drain_zone(zone)
    assert missing_drains([ZoneDrained("b"), ZoneDrained("c")], table.drained_zones) == {"a"}
