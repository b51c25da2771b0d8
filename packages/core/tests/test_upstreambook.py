"""The book of upstreams: who may get new work, and what an outage of the store excuses."""

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


def _ids(book: UpstreamTable) -> list[str]:
    return [upstream.id for upstream in book.of_service("menus")]


def test_a_draining_endpoint_gets_no_new_work():
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    assert _ids(book) == ["i-1"]
    version = book.version("menus")
    assert book.register(_row(draining=True), ZERO)
    assert _ids(book) == []
    assert book.version("menus") > version


@pytest.mark.parametrize("change", [{"slots": 9}, {"zone": "b"}])
def test_what_placement_depends_on_makes_a_new_version(change):
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    version = book.version("menus")
    book.register(_row(**change), ZERO)
    assert book.version("menus") > version


def test_an_endpoint_that_went_and_came_back_between_two_requests_makes_a_new_version():
    """Who ranked the endpoints holds an object of which the book would learn nothing more."""
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    version, (before,) = book.version("menus"), book.of_service("menus")
    book.withdraw("i-1", ZERO)
    book.register(_row(), ZERO)
    assert book.version("menus") > version
    assert book.of_service("menus") != [before]


def test_a_long_list_is_divided_by_service_once(monkeypatch):
    """A list of 810 took a third of a second of processor time, and more with the square."""
    divided = []
    placed = upstreamtable._placed
    monkeypatch.setattr(upstreamtable, "_placed", lambda rows: divided.append(1) or placed(rows))
    book = UpstreamTable(REGIONS)
    for number in range(1000):
        book.register(_row(number), ZERO)
    assert len(book.of_service("menus")) == 1000
    assert len(divided) == 1


def test_a_registration_that_is_only_renewed_changes_nothing():
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    version = book.version("menus")
    assert not book.register(_row(), 1500 * MS)
    assert book.version("menus") == version


def test_the_time_left_cold_counts_from_when_it_was_read():
    book = UpstreamTable(REGIONS)
    book.register(_row(cold_left=2000 * MS), 500 * MS)
    assert book.get("i-1").cold_until == 2500 * MS
    book.register(_row(cold_left=ZERO), 1000 * MS)
    assert book.get("i-1").cold_until == 2500 * MS


def test_an_address_used_again_is_another_endpoint():
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    book.withdraw("i-1", ZERO)
    book.register(_row(2, address="10.0.0.1:80", service="orders"), ZERO)
    assert _ids(book) == []
    assert [up.id for up in book.of_service("orders")] == ["i-2"]


def test_what_lapsed_with_the_store_may_come_back_for_a_time():
    book = UpstreamTable(REGIONS)
    for number in (1, 2):
        book.register(_row(number), ZERO)
    book.start_grace_period(10_000 * MS)
    assert not book.withdraw("i-1", 10_100 * MS)
    assert not book.withdraw("i-2", 10_100 * MS)
    assert _ids(book) == ["i-1", "i-2"]
    book.register(_row(1), 11_000 * MS)
    assert book.tick(10_000 * MS + RENEWAL_GRACE) == ["i-2"]
    assert _ids(book) == ["i-1"]


def _book_of(count):
    book = UpstreamTable(REGIONS)
    for number in range(1, count + 1):
        book.register(_row(number), ZERO)
    return book


@pytest.mark.parametrize(
    ("known", "vanished", "lapsed"),
    [(6, 4, True), (6, 3, False), (2, 2, False), (3, 3, True), (40, 21, True)],
)
def test_most_registrations_vanish_at_once_only_with_the_store(known, vanished, lapsed):
    ids = [f"i-{number}" for number in range(1, vanished + 1)]
    assert _book_of(known).have_lapsed([*ids, "i-unknown"]) == lapsed


def test_a_whole_list_without_most_of_them_leaves_them_time_to_come_back():
    book = _book_of(6)
    assert book.withdraw_unlisted(["i-6"], ZERO) == []
    book.register(_row(1), 1000 * MS)
    assert book.tick(RENEWAL_GRACE) == ["i-2", "i-3", "i-4", "i-5"]
    assert _ids(book) == ["i-1", "i-6"]


def test_a_draining_endpoint_that_lapses_gets_no_work_meanwhile():
    book = UpstreamTable(REGIONS)
    book.register(_row(draining=True), ZERO)
    book.start_grace_period(ZERO)
    book.withdraw("i-1", ZERO)
    assert _ids(book) == []


def test_a_whole_list_withdraws_what_it_lacks():
    book = UpstreamTable(REGIONS)
    for number in (1, 2):
        book.register(_row(number), ZERO)
    assert book.withdraw_unlisted(["i-2"], ZERO) == ["i-1"]
    assert _ids(book) == ["i-2"]


def test_a_drained_zone_gets_nothing_and_is_cold_when_it_is_back():
    book = UpstreamTable(REGIONS)
    book.register(_row(1), ZERO)
    book.register(_row(2, zone="b"), ZERO)
    assert book.drain_zone("a")
    assert not book.drain_zone("a")
    assert _ids(book) == ["i-2"]
    assert book.restore_zone("a", 5000 * MS, {"menus": 3000 * MS})
    assert _ids(book) == ["i-1", "i-2"]
    assert book.get("i-1").cold_until == 8000 * MS
    assert book.get("i-2").cold_until == ZERO


def test_one_that_refuses_as_another_gets_no_new_work():
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    book.mark_leaving(book.get("i-1"))
    assert _ids(book) == []


def test_a_new_life_under_an_old_id_is_known_for_nothing_and_keeps_its_place():
    book = UpstreamTable(REGIONS)
    book.register(_row(started_ms=100), ZERO)
    before, version = book.get("i-1"), book.version("menus")
    before.failures, before.service_time, before.ejected_until = 3, 40 * MS, 900 * MS
    before.in_flight, before.leaving = 2, True
    assert book.register(_row(started_ms=200, cold_left=500 * MS), 1000 * MS)
    after = book.get("i-1")
    assert (after.failures, after.service_time, after.ejected_until, after.in_flight) == (
        0,
        None,
        ZERO,
        0,
    )
    assert after.report is None and not after.leaving and after.cold_until == 1500 * MS
    assert after.seed == before.seed and book.version("menus") > version
    assert book.of_service("menus") == [after]


def test_a_registration_of_an_earlier_life_never_replaces_a_later_one():
    book = UpstreamTable(REGIONS)
    book.register(_row(started_ms=200), ZERO)
    for late in (_row(started_ms=100, address="10.0.0.9:80"), _row(started_ms=0, draining=True)):
        assert not book.register(late, MS)
    assert book.get("i-1").registration == _row(started_ms=200)
    book.withdraw("i-1", MS)
    assert not book.register(_row(started_ms=100), MS) and _ids(book) == []
    assert book.register(_row(started_ms=200), MS) and _ids(book) == ["i-1"]


def test_starts_are_kept_for_a_bounded_number_of_endpoints(monkeypatch):
    monkeypatch.setattr(upstreamtable, "STARTS_KEPT", 2)
    book = UpstreamTable(REGIONS)
    for number in (1, 2, 3):
        book.register(_row(number, started_ms=200), ZERO)
        book.withdraw(f"i-{number}", ZERO)
    assert book.register(_row(1, started_ms=100), ZERO)
    assert not book.register(_row(3, started_ms=100), ZERO)


def test_an_endpoint_whose_registration_is_unreadable_waits_for_its_next_one():
    book = UpstreamTable(REGIONS)
    book.register(_row(), ZERO)
    book.get("i-1").service_time = 40 * MS
    assert (
        book.mark_unreadable("i-1")
        and not book.mark_unreadable("i-1")
        and not book.mark_unreadable("i-2")
    )
    assert _ids(book) == []
    assert book.register(_row(), ZERO) and _ids(book) == ["i-1"]
    assert book.get("i-1").service_time == 40 * MS


def test_a_life_that_leaves_gets_nothing_however_late_it_is_registered_and_a_later_one_does():
    book = UpstreamTable(REGIONS)
    book.register(_row(1, started_ms=5), ZERO)
    assert book.leave(UpstreamIncarnation("i-1", 5))
    assert not book.leave(UpstreamIncarnation("i-1", 5))
    assert book.leave(UpstreamIncarnation("i-2", 0))
    book.register(_row(2), ZERO)
    assert book.of_service("menus") == []
    book.register(_row(1, started_ms=6), ZERO)
    assert [up.id for up in book.of_service("menus")] == ["i-1"]


def test_a_life_that_was_withdrawn_and_is_registered_again_has_not_forgotten_that_it_leaves():
    book = UpstreamTable(REGIONS)
    book.register(_row(1), ZERO)
    book.leave(UpstreamIncarnation("i-1", 0))
    book.withdraw("i-1", ZERO)
    book.register(_row(1), ZERO)
    assert book.of_service("menus") == []
