"""The entry's own record: kept under a lease, made anew when the lease has lapsed."""

from cardamomloft.core.registrations import EntryRecord
from cardamomloft.gateway.presence import Presence
from cardamomloft_standins import gateway as kit
from expression import Ok
from twisted.internet.defer import succeed

RECORD = EntryRecord("e-1", "10.0.0.1:80", "a", "east")


def _presence():
    control = kit.FakeControl()
    return control, Presence(control, RECORD, 3000 * kit.MS)


def test_it_is_recorded_once_and_renewed_after_that():
    control, presence = _presence()
    for _ in range(3):
        presence.refresh()
    assert control.calls == ["record e-1", "renew 7", "renew 7"]
    assert presence.interval == 1500 * kit.MS


def test_a_lapsed_lease_is_replaced_at_once():
    control, presence = _presence()
    presence.refresh()
    control.renewed = Ok(False)
    presence.refresh()
    assert control.calls[-2:] == ["renew 7", "record e-1"]


def test_a_failed_renewal_keeps_the_lease_and_a_failed_record_is_tried_again():
    control, presence = _presence()
    control.lease = kit.STORE_UNAVAILABLE
    presence.refresh()
    control.lease = Ok("7")
    presence.refresh()
    control.renewed = kit.STORE_UNAVAILABLE
    presence.refresh()
    presence.refresh()
    assert control.calls == ["record e-1", "record e-1", *["renew 7"] * 4]


def test_a_renewal_that_fails_is_tried_again_at_once_and_not_more_often():
    """A lease must bear two lost calls: the next regular renewal would come too late after one."""
    control, presence = _presence()
    presence.refresh()
    control.renewed = kit.STORE_UNAVAILABLE
    presence.refresh()
    assert control.calls == ["record e-1", "renew 7", "renew 7"]


def test_a_lease_that_lapsed_meanwhile_is_replaced_after_the_second_try():
    control, presence = _presence()
    answers = [kit.STORE_UNAVAILABLE, Ok(False)]
    control.renew = lambda lease: succeed(answers.pop(0))
    presence.refresh()
    presence.refresh()
    assert control.calls == ["record e-1", "record e-1"]


def test_a_failed_renewal_is_told_and_a_lapsed_one_is_not():
    told = []
    control = kit.FakeControl()
    presence = Presence(control, RECORD, 3000 * kit.MS, lambda: told.append("failed"))
    presence.refresh()
    control.renewed = Ok(False)
    presence.refresh()
    assert told == []
    control.renewed = kit.STORE_UNAVAILABLE
    presence.refresh()
    assert told == ["failed"]


def test_after_it_was_withdrawn_it_is_not_recorded_again():
    control, presence = _presence()
    presence.refresh()
    presence.withdraw()
    presence.refresh()
    assert control.calls == ["record e-1", "withdraw 7"]
