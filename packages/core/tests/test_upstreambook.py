"""The upstream table: which endpoints may get requests, and how lapsed registrations are kept."""

from datetime import timedelta

import pytest
from cardamomloft.core import upstreamtable
from cardamomloft.core.registrations import RENEWAL_GRACE, Registration, UpstreamIncarnation
from cardamomloft.core.upstreamtable import UpstreamTable

MS = timedelta(milliseconds=1)
ZERO = timedelta(0)
REGIONS = {"a": "east", "b": "west"}


def _row(number: int = 1, **changes) -> Registration:
    row = Registration(f"i-{number}", "menus", f"10.0.0.{number}:80", "a", 4, False, ZERO)
    return row._replace(**changes)


def _ids(table: UpstreamTable) -> list[str]:
    return [upstream.id for upstream in table.of_service("menus")]


def test_a_draining_endpoint_gets_no_new_requests():
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    assert _ids(table) == ["i-1"]
    version = table.version("menus")
    assert table.register(_row(draining=True), ZERO)
    assert _ids(table) == []
    assert table.version("menus") > version


@pytest.mark.parametrize("change", [{"slots": 9}, {"zone": "b"}])
def test_a_change_that_affects_ranking_makes_a_new_version(change):
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    version = table.version("menus")
    table.register(_row(**change), ZERO)
    assert table.version("menus") > version


def test_an_endpoint_withdrawn_and_registered_again_makes_a_new_version():
    """A cached ranking must not keep an `Upstream` that gets no more updates."""
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    version, (before,) = table.version("menus"), table.of_service("menus")
    table.withdraw("i-1", ZERO)
    table.register(_row(), ZERO)
    assert table.version("menus") > version
    assert table.of_service("menus") != [before]


def test_a_long_list_is_divided_by_service_once(monkeypatch):
    """Rebuilding the lists by service at each registration would take quadratic time."""
    rebuilds = []
    candidates = upstreamtable._candidates
    monkeypatch.setattr(
        upstreamtable, "_candidates", lambda rows: rebuilds.append(1) or candidates(rows)
    )
    table = UpstreamTable(REGIONS)
    for number in range(1000):
        table.register(_row(number), ZERO)
    assert len(table.of_service("menus")) == 1000
    assert len(rebuilds) == 1


def test_a_registration_that_is_only_renewed_changes_nothing():
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    version = table.version("menus")
    assert not table.register(_row(), 1500 * MS)
    assert table.version("menus") == version


def test_the_remaining_cold_time_starts_when_the_registration_is_read():
    table = UpstreamTable(REGIONS)
    table.register(_row(cold_left=2000 * MS), 500 * MS)
    assert table.get("i-1").cold_until == 2500 * MS
    table.register(_row(cold_left=ZERO), 1000 * MS)
    assert table.get("i-1").cold_until == 2500 * MS


def test_a_reused_address_belongs_to_another_endpoint():
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    table.withdraw("i-1", ZERO)
    table.register(_row(2, address="10.0.0.1:80", service="orders"), ZERO)
    assert _ids(table) == []
    assert [up.id for up in table.of_service("orders")] == ["i-2"]


def test_lapsed_registrations_may_be_renewed_in_the_grace_period():
    table = UpstreamTable(REGIONS)
    for number in (1, 2):
        table.register(_row(number), ZERO)
    table.start_grace_period(10_000 * MS)
    assert not table.withdraw("i-1", 10_100 * MS)
    assert not table.withdraw("i-2", 10_100 * MS)
    assert _ids(table) == ["i-1", "i-2"]
    table.register(_row(1), 11_000 * MS)
    assert table.tick(10_000 * MS + RENEWAL_GRACE) == ["i-2"]
    assert _ids(table) == ["i-1"]


def _table_of(count):
    table = UpstreamTable(REGIONS)
    for number in range(1, count + 1):
        table.register(_row(number), ZERO)
    return table


@pytest.mark.parametrize(
    ("known", "vanished", "lapsed"),
    [(6, 4, True), (6, 3, False), (2, 2, False), (3, 3, True), (40, 21, True)],
)
def test_registrations_count_as_lapsed_if_more_than_half_vanish_at_once(known, vanished, lapsed):
    ids = [f"i-{number}" for number in range(1, vanished + 1)]
    assert _table_of(known).have_lapsed([*ids, "i-unknown"]) == lapsed


def test_a_list_without_most_endpoints_starts_a_grace_period():
    table = _table_of(6)
    assert table.withdraw_unlisted(["i-6"], ZERO) == []
    table.register(_row(1), 1000 * MS)
    assert table.tick(RENEWAL_GRACE) == ["i-2", "i-3", "i-4", "i-5"]
    assert _ids(table) == ["i-1", "i-6"]


def test_a_lapsed_draining_endpoint_gets_no_requests_in_the_grace_period():
    table = UpstreamTable(REGIONS)
    table.register(_row(draining=True), ZERO)
    table.start_grace_period(ZERO)
    table.withdraw("i-1", ZERO)
    assert _ids(table) == []


def test_a_complete_list_withdraws_missing_endpoints():
    table = UpstreamTable(REGIONS)
    for number in (1, 2):
        table.register(_row(number), ZERO)
    assert table.withdraw_unlisted(["i-2"], ZERO) == ["i-1"]
    assert _ids(table) == ["i-2"]


def test_a_drained_zone_gets_no_requests_and_is_cold_when_restored():
    table = UpstreamTable(REGIONS)
    table.register(_row(1), ZERO)
    table.register(_row(2, zone="b"), ZERO)
    assert table.drain_zone("a")
    assert not table.drain_zone("a")
    assert _ids(table) == ["i-2"]
    table.set_cold_times({"menus": 3000 * MS}, 4000 * MS)
    assert table.restore_zone("a", 5000 * MS, 5000 * MS)
    assert _ids(table) == ["i-1", "i-2"]
    assert table.get("i-1").cold_until == 8000 * MS
    assert table.get("i-2").cold_until == ZERO


def test_an_endpoint_marked_as_leaving_gets_no_new_requests():
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    table.mark_leaving(table.get("i-1"))
    assert _ids(table) == []


def test_a_new_incarnation_starts_with_fresh_state_and_the_same_seed():
    table = UpstreamTable(REGIONS)
    table.register(_row(started_ms=100), ZERO)
    before, version = table.get("i-1"), table.version("menus")
    before.failures, before.service_time, before.ejected_until = 3, 40 * MS, 900 * MS
    before.in_flight, before.leaving = 2, True
    assert table.register(_row(started_ms=200, cold_left=500 * MS), 1000 * MS)
    after = table.get("i-1")
    assert (after.failures, after.service_time, after.ejected_until, after.in_flight) == (
        0,
        None,
        ZERO,
        0,
    )
    assert after.report is None and not after.leaving and after.cold_until == 1500 * MS
    assert after.seed == before.seed and table.version("menus") > version
    assert table.of_service("menus") == [after]


def test_a_registration_of_an_earlier_incarnation_never_replaces_a_later_one():
    table = UpstreamTable(REGIONS)
    table.register(_row(started_ms=200), ZERO)
    for late in (_row(started_ms=100, address="10.0.0.9:80"), _row(started_ms=0, draining=True)):
        assert not table.register(late, MS)
    assert table.get("i-1").registration == _row(started_ms=200)
    table.withdraw("i-1", MS)
    assert not table.register(_row(started_ms=100), MS) and _ids(table) == []
    assert table.register(_row(started_ms=200), MS) and _ids(table) == ["i-1"]


def test_starts_are_kept_for_a_bounded_number_of_endpoints(monkeypatch):
    monkeypatch.setattr(upstreamtable, "MAX_STARTS", 2)
    table = UpstreamTable(REGIONS)
    for number in (1, 2, 3):
        table.register(_row(number, started_ms=200), ZERO)
        table.withdraw(f"i-{number}", ZERO)
    assert table.register(_row(1, started_ms=100), ZERO)
    assert not table.register(_row(3, started_ms=100), ZERO)


def test_an_unreadable_registration_excludes_the_endpoint_until_the_next_readable_one():
    table = UpstreamTable(REGIONS)
    table.register(_row(), ZERO)
    table.get("i-1").service_time = 40 * MS
    assert (
        table.mark_unreadable("i-1")
        and not table.mark_unreadable("i-1")
        and not table.mark_unreadable("i-2")
    )
    assert _ids(table) == []
    assert table.register(_row(), ZERO) and _ids(table) == ["i-1"]
    assert table.get("i-1").service_time == 40 * MS


def test_a_leaving_incarnation_gets_no_requests_if_registered_late_but_a_later_one_does():
    table = UpstreamTable(REGIONS)
    table.register(_row(1, started_ms=5), ZERO)
    assert table.leave(UpstreamIncarnation("i-1", 5))
    assert not table.leave(UpstreamIncarnation("i-1", 5))
    assert table.leave(UpstreamIncarnation("i-2", 0))
    table.register(_row(2), ZERO)
    assert table.of_service("menus") == []
    table.register(_row(1, started_ms=6), ZERO)
    assert [up.id for up in table.of_service("menus")] == ["i-1"]


def test_a_leaving_incarnation_stays_excluded_if_withdrawn_and_registered_again():
    table = UpstreamTable(REGIONS)
    table.register(_row(1), ZERO)
    table.leave(UpstreamIncarnation("i-1", 0))
    table.withdraw("i-1", ZERO)
    table.register(_row(1), ZERO)
    assert table.of_service("menus") == []
