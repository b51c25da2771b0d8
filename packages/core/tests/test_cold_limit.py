"""What one entry may send to a cold endpoint, and which of its sends count."""

from datetime import timedelta

import pytest
from cardamomloft.core.choices import Choice, Preferences
from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.registrations import Registration
from cardamomloft.core.routes import ServicePolicy
from cardamomloft.core.selection import Selector
from cardamomloft.core.upstreamtable import UpstreamTable
from cardamomloft_standins import gateway as kit

MS = timedelta(milliseconds=1)
SECOND = 1000 * MS
ROW = Registration("i-1", "menus", "10.0.0.1:80", "a", 4, False, timedelta(0))
RULE = kit.RULE._replace(keyed=False)


def _selector() -> tuple[UpstreamTable, Selector]:
    table = UpstreamTable({"a": "east"})
    selector = Selector(table, "e-0", "a", ColdLimit(1.5, 5), Preferences())
    selector.policies = {"menus": ServicePolicy("menus", 360, 3 * SECOND, 7.0)}
    selector.entries = 4
    table.set_cold_times({"menus": 3 * SECOND}, timedelta(0))
    table.register(ROW, timedelta(0))
    return table, selector


def _send(selector: Selector, now: timedelta) -> bool:
    """Send a request if an endpoint may get one; it is answered at once."""
    chosen = selector.choose(RULE, "menus", "k", (), now + 2 * SECOND, now)
    if not isinstance(chosen, Choice):
        return False
    selector.record_sent(chosen.upstream, now)
    selector.record_end(chosen.upstream)
    return True


def test_requests_sent_in_the_second_before_an_endpoint_became_cold_count():
    table, selector = _selector()
    assert sum(_send(selector, SECOND + at * MS) for at in range(0, 500, 100)) == 5
    table.register(ROW._replace(cold_left=3 * SECOND), 1500 * MS)
    assert not any(_send(selector, 1500 * MS + at * MS) for at in range(0, 600, 50))
    assert _send(selector, 2700 * MS)


@pytest.mark.parametrize("lapsed", [50, 500])
def test_registration_that_lapses_and_returns_keeps_what_was_sent_and_how_long_it_is_cold(lapsed):
    table, selector = _selector()
    table.register(ROW._replace(cold_left=3 * SECOND), SECOND)
    assert sum(_send(selector, SECOND + at * MS) for at in range(5)) == 3
    table.withdraw("i-1", 1100 * MS)
    returned_at = (1100 + lapsed) * MS
    table.register(ROW, returned_at)
    assert not _send(selector, returned_at)
    assert table.get("i-1").cold_until == 4 * SECOND


def test_endpoints_of_a_restored_zone_are_cold_though_its_drain_was_not_seen():
    table, _ = _selector()
    table.restore_zone("a", SECOND, SECOND)
    assert table.get("i-1").cold_until == 4 * SECOND


def test_endpoint_that_registers_after_the_end_of_its_zones_drain_is_cold():
    table, _ = _selector()
    table.drain_zone("a")
    table.restore_zone("a", SECOND, SECOND)
    table.register(ROW._replace(id="i-2"), 2 * SECOND)
    assert table.get("i-2").cold_until == 4 * SECOND


def test_end_of_a_drain_that_is_known_before_the_cold_times_are_counts():
    table = UpstreamTable({"a": "east"})
    table.record_drain_end("a", SECOND, SECOND)
    table.register(ROW, SECOND)
    table.set_cold_times({"menus": 3 * SECOND}, 2 * SECOND)
    assert table.get("i-1").cold_until == 4 * SECOND
