"""Which entries a client is told to use."""

from cardamomloft.core.naming import MAX_NAMED, entries_for
from cardamomloft.core.registrations import EntryRecord

REGIONS = {"a": "east", "b": "east", "c": "west"}
RECORDS = [EntryRecord(f"e-{zone}", f"10.0.0.1:{zone}", zone, REGIONS[zone]) for zone in "cba"]


def _names(zone="", region="", homes=frozenset(), records=RECORDS):
    found = entries_for(records, zone, region, homes, REGIONS)
    return [record.name for record in found]


def test_a_client_uses_the_entries_of_its_region():
    assert _names("a", "east") == ["e-a", "e-b"]
    assert _names("c") == ["e-c"]


def test_without_entries_there_it_uses_those_of_the_homes_and_else_all():
    assert _names(region="north", homes=frozenset({"west"})) == ["e-c"]
    assert _names(region="north") == ["e-a", "e-b", "e-c"]


def test_no_more_are_named_than_callers_read():
    many = [EntryRecord(f"e-{n:03}", "10.0.0.1:1", "a", "east") for n in range(100)]
    assert len(_names("a", "east", records=many)) == MAX_NAMED
