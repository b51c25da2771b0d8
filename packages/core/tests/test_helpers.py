"""Which entry serves for one whose links are down, for several sizes and partitions."""

import random
from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.connectivity.cutoff import CutOffEntries, LinkReports
from cardamomloft.core.connectivity.helpers import OTHER_REGION_COST, UNAVAILABLE_TIME, Helpers
from cardamomloft.core.entrytable import EntryTable
from cardamomloft.core.naming import entries_for
from cardamomloft.core.notices import LINKS_DOWN_RETENTION, LinksDown
from cardamomloft.core.registrations import EntryRecord

MS = timedelta(milliseconds=1)
NOW = timedelta(seconds=100)
HOMES: frozenset[str] = frozenset()
REGIONS = ("east", "west", "north")


def record(name: str, zone: str, region: str) -> EntryRecord:
    return EntryRecord(name, "10.0.0.1:80", zone, region, proxy="10.0.0.1:81", proxy_token="t")


class Fleet:
    """Entries in three regions of two zones each; the first entry has lost its links."""

    def __init__(self, per_zone: int) -> None:
        self.records = [
            record(f"{region}-{zone}-{number}", f"{region}-{zone}", region)
            for region in REGIONS
            for zone in "ab"
            for number in range(per_zone)
        ]
        self.own = self.records[0]
        self.entries = EntryTable(self.own, timedelta(seconds=1))
        for row in self.records:
            self.entries.add(row, NOW)
        self.cut_off = CutOffEntries()
        self.helpers = Helpers(self.own, self.entries, self.cut_off, random.Random(1))

    def cut(self, names) -> None:
        for name in names:
            self.cut_off.apply(LinksDown(name, 1, True), NOW)

    def choose(self, homes=HOMES, tried=()) -> EntryRecord | None:
        return self.helpers.choose("menus", homes, tried, NOW)

    def load(self, in_flight: int) -> Counter[str]:
        """Return the requests in flight by entry when this entry has so many."""
        for _ in range(in_flight):
            self.helpers.record_sent(self.choose().name)
        return Counter({row.name: self.helpers._in_flight[row.name] for row in self.records})


@pytest.mark.parametrize("per_zone", [2, 10, 30])
def test_requests_of_a_cut_off_entry_are_spread_over_its_region(per_zone):
    fleet = Fleet(per_zone)
    load = fleet.load(10 * per_zone)
    assert not any(load[row.name] for row in fleet.records if row.region != "east")
    assert max(load.values()) <= 2 * 10 * per_zone / (2 * per_zone - 1) + 1


@pytest.mark.parametrize("per_zone", [2, 10])
def test_other_regions_help_where_few_entries_of_the_region_are_left(per_zone):
    fleet = Fleet(per_zone)
    fleet.cut(row.name for row in fleet.records[: 2 * per_zone - 1])
    load = fleet.load(40)
    left = fleet.records[2 * per_zone - 1]
    assert OTHER_REGION_COST <= load[left.name] <= OTHER_REGION_COST + 10
    assert sum(load.values()) == 40


def test_the_own_zone_is_preferred_by_one_request_only():
    fleet = Fleet(2)
    assert fleet.choose().zone == fleet.own.zone
    load = fleet.load(6)
    assert {load[row.name] for row in fleet.records[1:4]} <= {1, 2, 3}


def test_only_entries_in_home_regions_get_a_request():
    fleet = Fleet(2)
    assert fleet.choose(frozenset({"west"})).region == "west"
    assert fleet.choose(frozenset({"south"})) is None


def test_entries_that_are_cut_off_too_or_accept_no_requests_are_not_asked():
    fleet = Fleet(2)
    fleet.cut(row.name for row in fleet.records)
    assert fleet.choose() is None
    assert Fleet(0 + 1).choose() is not None
    for row in fleet.records:
        fleet.entries.add(row._replace(proxy=""), NOW)
    fleet.cut_off.expire(NOW + LINKS_DOWN_RETENTION)
    assert fleet.choose() is None


def test_entry_that_could_not_help_is_asked_again_after_a_while():
    fleet = Fleet(1)
    fleet.cut(row.name for row in fleet.records[2:])
    name = fleet.choose().name
    fleet.helpers.record_unavailable(name, NOW)
    assert fleet.choose() is None
    assert fleet.helpers.choose("menus", HOMES, (), NOW + UNAVAILABLE_TIME).name == name


def test_entry_that_reaches_no_endpoint_of_one_service_helps_with_others():
    fleet = Fleet(1)
    fleet.cut(row.name for row in fleet.records[2:])
    name = fleet.choose().name
    fleet.helpers.record_unavailable(name, NOW, "orders")
    assert fleet.choose().name == name
    assert fleet.helpers.choose("orders", HOMES, (), NOW) is None
    assert not fleet.helpers.is_unreachable("orders", NOW)
    fleet.helpers.record_unreachable("orders", NOW)
    assert fleet.helpers.is_unreachable("orders", NOW)
    assert not fleet.helpers.is_unreachable("orders", NOW + UNAVAILABLE_TIME)


def test_decision_takes_bounded_work_at_the_largest_size():
    fleet = Fleet(250)
    fleet.cut(row.name for row in fleet.records if row.region == "east")
    costs = []
    fleet.helpers._cost = lambda row: costs.append(row.name) or OTHER_REGION_COST
    assert fleet.choose().region != "east"
    assert len(costs) < 100


def test_reports_are_repeated_while_links_are_down_and_expire_without():
    reports, others = LinkReports("e-1"), CutOffEntries()
    now, sent = NOW, 0
    assert reports.due(False, now) is None
    while now < NOW + 3 * LINKS_DOWN_RETENTION:
        report = reports.due(True, now)
        if report is not None:
            sent += 1
            others.apply(report, now)
        others.expire(now)
        assert "e-1" in others
        now += 200 * MS
    assert sent <= 10
    others.expire(now + LINKS_DOWN_RETENTION)
    assert "e-1" not in others
    others.apply(reports.due(True, now + LINKS_DOWN_RETENTION), now + LINKS_DOWN_RETENTION)
    restored = reports.due(False, now + LINKS_DOWN_RETENTION)
    assert others.apply(restored, now)
    assert not others.names()


def test_look_ups_leave_out_cut_off_entries_while_half_of_the_region_remains():
    fleet = Fleet(2)
    east = [row.name for row in fleet.records[:4]]

    def named(cut):
        found = entries_for(fleet.records, "east-a", "east", HOMES, {}, frozenset(cut))
        return {row.name for row in found}

    assert named(()) == set(east[:2])
    assert named(east[:1]) & set(east[:1]) == set()
    assert named(east[:2]) == set(east[2:])
    assert named(east[:3]) == set(east[:2])
