"""The assembled gateway applies changes from the store: registrations, drains, outages."""

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


def relist(run, *facts):
    run.control.next_changes = Ok(Changes((), kit.position(10), lost=True))
    run.control.listing = Ok(kit.listing()._replace(facts=facts))
    run.time.advance(2000 * MS)
    run.control.next_changes = kit.no_changes()


def test_unreadable_item_keeps_the_last_valid_state():
    run = GatewayHarness()
    run.deliver_changes(Unreadable("config", "no rules"), Unreadable("upstreams/i-1", "no slots"))
    assert run.send_request().status == 200


def test_listing_with_an_unreadable_registration_keeps_the_other_endpoints():
    run = GatewayHarness()
    run.deliver_changes(
        UpstreamRegistered(kit.registration(2)), UpstreamRegistered(kit.registration(3))
    )
    relist(run, UNREADABLE, UpstreamRegistered(kit.registration(2)))
    assert run.send_request().status == 200
    assert {request.endpoint.name for request in run.client.sent} == {"i-2"}


def test_endpoint_is_not_used_while_its_registration_is_unreadable():
    run = GatewayHarness()
    run.deliver_changes(UNREADABLE)
    assert run.send_request().status == 503 and run.client.sent == []
    run.deliver_changes(UpstreamRegistered(kit.registration(1)), index=12)
    assert run.send_request().status == 200
    relist(run, UNREADABLE)
    assert run.send_request().status == 503


def test_unreadable_item_is_logged_once_until_it_has_been_readable_again(monkeypatch):
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


def test_new_incarnation_does_not_reuse_connections_of_the_previous_one():
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
def test_withdrawn_or_draining_endpoint_gets_no_requests(fact):
    run = GatewayHarness()
    run.deliver_changes(fact)
    assert run.send_request().status == 503
    assert run.client.sent == []


def _outage(run, *facts):
    """Simulate a 4 s outage of the store, after which it reports `facts` as changes."""
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(4000 * MS)
    run.control.next_changes = Ok(Changes(facts, kit.position(20)))
    run.time.advance(600 * MS)
    run.control.next_changes = kit.no_changes(20)


def _run_with(count):
    rows = [kit.registration(number) for number in range(1, count + 1)]
    return GatewayHarness(kit.FakeControl(Ok(kit.listing(*rows))))


def test_endpoints_whose_registrations_expired_in_an_outage_keep_serving():
    run = _run_with(4)
    _outage(run, *(UpstreamWithdrawn(f"i-{number}") for number in (1, 2, 3, 4)))
    assert run.send_request().status == 200
    run.deliver_changes(UpstreamRegistered(kit.registration(2)), index=21)
    run.time.advance(2000 * MS)
    assert [up.id for up in run.gateway.upstream_table.all()] == ["i-2"]


def test_expiration_of_all_registrations_in_an_outage_removes_no_endpoint():
    """Guards against treating revisions of expirations as evidence that the store was available."""
    run = _run_with(40)
    run.control.next_changes = kit.no_changes(80)
    run.time.advance(10_000 * MS)
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(4000 * MS)
    expired = tuple(UpstreamWithdrawn(f"i-{number}") for number in range(1, 41))
    run.control.next_changes = Ok(Changes(expired, kit.position(120)))
    run.time.advance(600 * MS)
    run.control.next_changes = kit.no_changes(120)
    assert run.send_request().status == 200


def test_endpoints_withdrawn_while_only_this_gateway_was_disconnected_are_removed():
    run = _run_with(4)
    _outage(run, UpstreamWithdrawn("i-1"), UpstreamWithdrawn("i-3"))
    assert [up.id for up in run.gateway.upstream_table.all()] == ["i-2", "i-4"]


def test_expired_registration_is_not_retained_if_others_were_renewed_meanwhile():
    run = _run_with(4)
    expired = [UpstreamWithdrawn(f"i-{number}") for number in (1, 2, 3, 4)]
    renewed = [UpstreamRegistered(kit.registration(number)) for number in (1, 2, 3)]
    _outage(run, *expired, *renewed)
    assert [up.id for up in run.gateway.upstream_table.all()] == ["i-1", "i-2", "i-3"]


def test_endpoints_of_a_restored_zone_are_cold():
    run = GatewayHarness()
    run.deliver_changes(ZoneDrained("a"))
    run.deliver_changes(ZoneRestored("a"))
    (upstream,) = run.gateway.upstream_table.of_service("menus")
    assert upstream.cold_until > run.time.clock.monotonic()
    assert run.send_request().status == 200


def test_zone_without_a_drain_in_a_new_listing_is_restored():
    run = GatewayHarness()
    run.deliver_changes(ZoneDrained("a"))
    run.control.next_changes = Ok(Changes((), kit.position(11), lost=True))
    run.time.advance(2000 * MS)
    assert run.send_request().status == 200


class HangingControl(kit.FakeControl):
    """A fake store whose calls for changes report a lost history only at the end of their wait."""

    def __init__(self, first) -> None:
        super().__init__(first)
        self.reactor = None

    def changes(self, after, wait):
        self.calls.append(f"changes {after}")
        deferred = Deferred()
        lost = Ok(Changes((), after, lost=True))
        self.reactor.callLater(wait.total_seconds(), deferred.callback, lost)
        return deferred


def test_change_is_in_force_in_time_while_a_call_for_changes_hangs():
    """Guards against 404 answers for new rules while a call for changes hangs.

    If the store loses its history just before the call, it reports neither the change nor the loss
    until the call's wait is over.
    """
    control = HangingControl(Ok(kit.listing(kit.registration(1))))
    run = GatewayHarness(control, start=False)
    control.reactor = run.time.reactor
    run.start()
    control.listing = Ok(kit.listing(kit.registration(1), number=7))
    run.time.advance(3000 * MS)
    assert run.gateway.configuration == 7
