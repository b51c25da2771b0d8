"""What the assembled gateway makes of the store: registrations, drains, outages."""

import pytest
from cardamomloft.core.registrations import (
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.gateway.control import Changes
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import MS, GatewayHarness
from expression import Ok
from twisted.internet.defer import Deferred

UNREADABLE = UpstreamUnreadable("i-1", "no slots")


def listed(run, *facts):
    run.control.next_changes = Ok(Changes((), kit.position(10), lost=True))
    run.control.listing = Ok(kit.listing()._replace(facts=facts))
    run.time.advance(2000 * MS)
    run.control.next_changes = kit.no_changes()


def test_an_unreadable_item_leaves_the_last_good_state():
    run = GatewayHarness()
    run.deliver_changes(Unreadable("config", "no rules"), Unreadable("upstreams/i-1", "no slots"))
    assert run.send_request().status == 200


def test_a_list_with_an_unreadable_registration_names_no_endpoint_there_and_keeps_the_others():
    run = GatewayHarness()
    run.deliver_changes(
        UpstreamRegistered(kit.registration(2)), UpstreamRegistered(kit.registration(3))
    )
    listed(run, UNREADABLE, UpstreamRegistered(kit.registration(2)))
    assert run.send_request().status == 200
    assert {request.endpoint.name for request in run.client.sent} == {"i-2"}


def test_an_unreadable_registration_is_not_used_until_it_is_readable_again():
    run = GatewayHarness()
    run.deliver_changes(UNREADABLE)
    assert run.send_request().status == 503 and run.client.sent == []
    run.deliver_changes(UpstreamRegistered(kit.registration(1)), index=12)
    assert run.send_request().status == 200
    listed(run, UNREADABLE)
    assert run.send_request().status == 503


def test_what_is_unreadable_is_logged_once_and_again_when_it_was_mended(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "cardamomloft.gateway.storeview.log", lambda name, **row: lines.append(name)
    )
    run = GatewayHarness()
    for index in (11, 12, 13):
        run.deliver_changes(UNREADABLE, Unreadable("entries/e-9", "no address"), index=index)
    assert lines.count("unreadable") == 2
    run.deliver_changes(UpstreamRegistered(kit.registration(1)), index=14)
    run.deliver_changes(UNREADABLE, index=15)
    assert lines.count("unreadable") == 3


def test_a_new_life_under_an_old_id_gets_no_kept_connection_of_the_one_before():
    run = GatewayHarness()
    run.deliver_changes(UpstreamRegistered(kit.registration(1, started_ms=5)))
    run.deliver_changes(
        UpstreamRegistered(kit.registration(1, started_ms=5, draining=True)), index=12
    )
    assert run.client.forgotten_addresses == ["10.0.0.1:80"]
    run.deliver_changes(UpstreamRegistered(kit.registration(1, started_ms=9)), index=13)
    assert run.client.forgotten_addresses == ["10.0.0.1:80"] * 2
    assert run.send_request().status == 200
    run.deliver_changes(
        UpstreamRegistered(kit.registration(1, started_ms=5, draining=True)), index=14
    )
    assert run.send_request().status == 200


@pytest.mark.parametrize(
    "fact",
    [
        UpstreamWithdrawn("i-1"),
        UpstreamRegistered(kit.registration(1, draining=True)),
        ZoneDrained("a"),
    ],
)
def test_what_leaves_gets_nothing_more(fact):
    run = GatewayHarness()
    run.deliver_changes(fact)
    assert run.send_request().status == 503
    assert run.client.sent == []


def _outage(run, *facts):
    """Play an outage of the store of 4 s, after which `facts` are what has changed."""
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(4000 * MS)
    run.control.next_changes = Ok(Changes(facts, kit.position(20)))
    run.time.advance(600 * MS)
    run.control.next_changes = kit.no_changes(20)


def _run_with(count):
    rows = [kit.registration(number) for number in range(1, count + 1)]
    return GatewayHarness(kit.FakeControl(Ok(kit.listing(*rows))))


def test_registrations_that_lapsed_in_an_outage_for_all_serve_until_they_are_back():
    run = _run_with(4)
    _outage(run, *(UpstreamWithdrawn(f"i-{number}") for number in (1, 2, 3, 4)))
    assert run.send_request().status == 200
    run.deliver_changes(UpstreamRegistered(kit.registration(2)), index=21)
    run.time.advance(2000 * MS)
    assert [up.id for up in run.gateway.upstream_table.all()] == ["i-2"]


def test_lapses_are_no_sign_that_the_store_was_there():
    """Registrations come by the dozen at a start, later nothing changes, then all of them lapse."""
    run = _run_with(40)
    run.control.next_changes = kit.no_changes(80)
    run.time.advance(10_000 * MS)
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(4000 * MS)
    lapsed = tuple(UpstreamWithdrawn(f"i-{number}") for number in range(1, 41))
    run.control.next_changes = Ok(Changes(lapsed, kit.position(120)))
    run.time.advance(600 * MS)
    run.control.next_changes = kit.no_changes(120)
    assert run.send_request().status == 200


def test_what_left_while_this_entry_was_cut_off_alone_gets_nothing_more():
    run = _run_with(4)
    _outage(run, UpstreamWithdrawn("i-1"), UpstreamWithdrawn("i-3"))
    assert [up.id for up in run.gateway.upstream_table.all()] == ["i-2", "i-4"]


def test_registrations_that_lapsed_and_came_back_meanwhile_are_not_awaited():
    run = _run_with(4)
    gone = [UpstreamWithdrawn(f"i-{number}") for number in (1, 2, 3, 4)]
    back = [UpstreamRegistered(kit.registration(number)) for number in (1, 2, 3)]
    _outage(run, *gone, *back)
    assert [up.id for up in run.gateway.upstream_table.all()] == ["i-1", "i-2", "i-3"]


def test_a_restored_zone_is_used_again_as_cold():
    run = GatewayHarness()
    run.deliver_changes(ZoneDrained("a"))
    run.deliver_changes(ZoneRestored("a"))
    (upstream,) = run.gateway.upstream_table.of_service("menus")
    assert upstream.cold_until > run.time.clock.monotonic()
    assert run.send_request().status == 200


def test_a_zone_drained_no_longer_in_a_new_list_is_restored():
    run = GatewayHarness()
    run.deliver_changes(ZoneDrained("a"))
    run.control.next_changes = Ok(Changes((), kit.position(11), lost=True))
    run.time.advance(2000 * MS)
    assert run.send_request().status == 200


class DeafControl(kit.FakeControl):
    """Its questions hear of nothing while the store forgets its history, and then tell of that."""

    def __init__(self, first) -> None:
        super().__init__(first)
        self.reactor = None

    def changes(self, after, wait):
        self.calls.append(f"changes {after}")
        told = Deferred()
        lost = Ok(Changes((), after, lost=True))
        self.reactor.callLater(wait.total_seconds(), told.callback, lost)
        return told


def test_a_change_is_in_force_soon_though_the_question_for_it_hears_nothing():
    """What users saw: 404 for a route whose configuration was confirmed 5.5 s before.

    The store forgot its history while an entry was about to ask for changes. The question heard
    neither of the new configuration nor of the loss until the next change, 5 s later; only then was
    it told that the history is gone, and the entry listed everything again. Evidence: the entry's
    log of such a day has changes taken at second 6.9 and `store-history-lost` at 13.3, and between
    them no failure of the store and no lapsed lease. That the question stayed open is concluded
    from that; a play with each answer logged did not hit it again.
    """
    control = DeafControl(Ok(kit.listing(kit.registration(1))))
    run = GatewayHarness(control, start=False)
    control.reactor = run.time.reactor
    run.start()
    control.listing = Ok(kit.listing(kit.registration(1), number=7))
    run.time.advance(3000 * MS)
    assert run.gateway.configuration == 7
