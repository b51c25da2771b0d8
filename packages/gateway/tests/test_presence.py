"""The entry's own record is kept under a lease, and written again once the lease has expired."""

from cardamomloft.core.clock import ManualClock
from cardamomloft.core.registrations import EntryRecord, EntryRecorded, EntryWithdrawn
from cardamomloft.gateway.presence import Presence
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import GatewayHarness
from expression import Ok
from twisted.internet.defer import succeed

RECORD = EntryRecord("e-1", "10.0.0.1:80", "a", "east")


def _presence():
    control = kit.FakeControl()
    return control, Presence(ManualClock(), control, RECORD, 3000 * kit.MS)


def test_record_is_written_once_and_then_renewed():
    control, presence = _presence()
    for _ in range(3):
        presence.refresh()
    assert control.calls == ["record e-1", "renew 7", "renew 7"]
    assert presence.interval == 1500 * kit.MS


def test_expired_lease_is_replaced_at_once():
    control, presence = _presence()
    presence.refresh()
    control.renewed = Ok(False)
    presence.refresh()
    assert control.calls[-2:] == ["renew 7", "record e-1"]


def test_failed_renewal_keeps_the_lease_and_failed_record_is_retried():
    control, presence = _presence()
    control.lease = kit.STORE_UNAVAILABLE
    presence.refresh()
    control.lease = Ok("7")
    presence.refresh()
    control.renewed = kit.STORE_UNAVAILABLE
    presence.refresh()
    presence.refresh()
    assert control.calls == ["record e-1", "record e-1", *["renew 7"] * 4]


def test_failed_renewal_is_retried_at_once_and_only_once():
    """Guards against a lease that expires after lost calls, before the next regular renewal."""
    control, presence = _presence()
    presence.refresh()
    control.renewed = kit.STORE_UNAVAILABLE
    presence.refresh()
    assert control.calls == ["record e-1", "renew 7", "renew 7"]


def test_lease_that_the_retry_finds_expired_is_replaced():
    control, presence = _presence()
    answers = [kit.STORE_UNAVAILABLE, Ok(False)]
    control.renew = lambda lease: succeed(answers.pop(0))
    presence.refresh()
    presence.refresh()
    assert control.calls == ["record e-1", "record e-1"]


def test_failed_renewal_is_reported_and_an_expired_lease_is_not():
    failures = []
    control = kit.FakeControl()
    presence = Presence(
        ManualClock(), control, RECORD, 3000 * kit.MS, lambda: failures.append("failed")
    )
    presence.refresh()
    control.renewed = Ok(False)
    presence.refresh()
    assert failures == []
    control.renewed = kit.STORE_UNAVAILABLE
    presence.refresh()
    assert failures == ["failed"]


def test_withdrawn_record_is_not_written_again():
    control, presence = _presence()
    presence.refresh()
    presence.withdraw()
    presence.refresh()
    assert control.calls == ["record e-1", "withdraw 7"]


def test_record_that_was_removed_under_a_held_lease_is_written_again():
    """Guards against a gateway that is ready and that no other one names."""
    run = GatewayHarness()
    run.time.advance(100 * kit.MS)
    before = run.control.calls.count("record e-1")
    record = kit.entry_records(1)[0]._replace(name="e-1")
    run.deliver_changes(EntryRecorded(record), EntryWithdrawn("e-1"))
    run.time.advance(3000 * kit.MS)
    assert run.control.calls.count("record e-1") == before + 1


def test_record_that_is_there_again_or_of_another_gateway_is_left_alone():
    run = GatewayHarness()
    run.time.advance(100 * kit.MS)
    before = run.control.calls.count("record e-1")
    record = kit.entry_records(1)[0]._replace(name="e-1")
    run.deliver_changes(EntryWithdrawn("e-1"), EntryRecorded(record), EntryWithdrawn("e-2"))
    run.time.advance(3000 * kit.MS)
    assert run.control.calls.count("record e-1") == before
