"""A configuration that can't be put in force ends the keys that it withdraws, and nothing else.

A gateway that knows of it must not go by the keys of the configuration before. It uses the new
accounts if they can be read, and refuses keys if not.
"""

import pytest
from cardamomloft.core.messages import ConfigurationPush
from cardamomloft.core.model import Incarnation
from cardamomloft.core.registrations import (
    EntryRecorded,
    PlanRead,
    Unreadable,
    UnreadablePlan,
    UpstreamRegistered,
)
from cardamomloft.core.routes import ClientAccount
from cardamomloft.feed.changetable import ChangeTable
from cardamomloft.feed.factcodec import decode_facts, encode_facts
from cardamomloft.gateway.control import Listing
from cardamomloft.gateway.status import GatewayStatus
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import SETTINGS, GatewayHarness
from expression import Ok

from .test_key_verification import MS, PLAN, STRICT, Harness

ALPHA, BETA = ClientAccount("alpha", ("key-a",)), ClientAccount("beta", ("key-b",))
BOTH = PLAN._replace(number=3, accounts=(ALPHA, BETA))
AFTER = BOTH._replace(number=5, accounts=(ALPHA,))
UNKNOWN = Unreadable("config", "rules.0: no timeout", UnreadablePlan(4))
WITHOUT_BETA = Unreadable("config", "rules.0: no timeout", UnreadablePlan(4, (ALPHA,)))
WITHOUT_NUMBER = Unreadable("config", "not JSON", UnreadablePlan())
SERVED, REFUSED, BETA_ENDED = (200, 200, 200), (503, 503, 200), (200, 401, 200)


def statuses(run) -> tuple[int, int, int]:
    """Return the statuses for the keys of alpha and beta, and for an open rule without a key."""
    keyed = [run.send(key=key).status for key in ("key-a", "key-b")]
    return (*keyed, run.send("/open/1", key=None).status)


def running(*facts, cfg=STRICT) -> Harness:
    """Return a gateway that has got the configuration of both accounts, and then `facts`."""
    run = Harness(cfg)
    for index, fact in enumerate((PlanRead(BOTH), *facts), 20):
        run.deliver_changes(fact, index=index)
    return run


@pytest.mark.parametrize(
    ("fact", "expected"),
    [(UNKNOWN, REFUSED), (WITHOUT_NUMBER, REFUSED), (WITHOUT_BETA, BETA_ENDED)],
)
def test_keys_of_the_configuration_before_are_not_accepted(fact, expected):
    """Guards against withdrawn keys that work on since their withdrawal can't be read."""
    run = running()
    assert statuses(run) == SERVED
    run.deliver_changes(fact, index=30)
    for _ in range(3):
        assert statuses(run) == expected
        run.time.advance(5000 * MS)


def test_refusal_promises_that_the_request_has_not_run_and_says_when_to_return():
    run = running(UNKNOWN)
    sent = len(run.client.sent)
    answer = run.send()
    assert answer.status == 503 and float(dict(answer.headers)["Retry-After"]) > 0
    assert len(run.client.sent) == sent


@pytest.mark.parametrize("fact", [UNKNOWN, WITHOUT_NUMBER, WITHOUT_BETA])
def test_next_readable_configuration_ends_the_refusals(fact):
    assert statuses(running(fact, PlanRead(AFTER))) == BETA_ENDED


@pytest.mark.parametrize("fact", [UNKNOWN, WITHOUT_NUMBER, WITHOUT_BETA])
def test_configuration_before_that_is_written_again_is_used_again(fact):
    assert statuses(running(fact, PlanRead(BOTH))) == SERVED


@pytest.mark.parametrize(
    ("fact", "expected"),
    [(UNKNOWN, REFUSED), (WITHOUT_NUMBER, REFUSED), (WITHOUT_BETA, BETA_ENDED)],
)
def test_push_of_an_older_configuration_verifies_nothing(fact, expected):
    run = Harness()
    run.deliver_changes(fact, index=20)
    run.gateway._apply_plan(BOTH, "push e-2")
    assert run.gateway.configuration == 3
    assert statuses(run) == expected


def test_unreadable_configuration_older_than_the_one_in_force_changes_nothing():
    assert statuses(running(Unreadable("config", "late", UnreadablePlan(2)))) == SERVED


def test_without_a_revocation_time_known_keys_are_accepted():
    assert statuses(running(UNKNOWN, cfg=SETTINGS)) == SERVED
    assert statuses(running(WITHOUT_BETA, cfg=SETTINGS)) == BETA_ENDED


def test_configuration_that_raises_when_it_is_applied_verifies_no_key(monkeypatch):
    """Guards against data that counts as verified when it has arrived, not when it is in force."""
    run = running()
    listing = Listing((PlanRead(AFTER), UpstreamRegistered(kit.registration(1))), kit.position(30))
    with monkeypatch.context() as patch:
        patch.setattr(run.gateway.plan, "replace", lambda *args: 1 / 0)
        run.control.listing = Ok(listing)
        run.deliver_changes(PlanRead(AFTER), index=30)
        run.time.advance(3000 * MS)
        assert statuses(run) == REFUSED
    run.time.advance(9000 * MS)
    assert statuses(run) == BETA_ENDED


class Starting(Harness):
    """A gateway that finds an unreadable configuration when it starts, and another gateway."""

    def __init__(self) -> None:
        records = map(EntryRecorded, kit.entry_records(2))
        facts = (UNKNOWN, UpstreamRegistered(kit.registration(1)), *records)
        control = kit.FakeControl(Ok(Listing(facts, kit.position(10))))
        GatewayHarness.__init__(self, control, start=False)
        self.gateway.reconfigure(STRICT)
        self.start()


def test_gateway_that_starts_serves_what_another_one_pushes_but_refuses_its_keys():
    run = Starting()
    assert not run.gateway.ready()
    assert GatewayStatus(run.gateway).status()["configuration_problem"] == UNKNOWN.detail
    push = ConfigurationPush(encode_facts([PlanRead(BOTH)]))
    run.gateway.feed.receive(Incarnation("e-2", "x"), push)
    assert run.gateway.ready()
    assert statuses(run) == REFUSED


def test_problem_of_the_configuration_is_shown_until_it_can_be_read():
    run = running(UNKNOWN)
    page = GatewayStatus(run.gateway).status()
    assert page["configuration_problem"] == UNKNOWN.detail
    assert page["keys_verified"] is False
    run.deliver_changes(PlanRead(AFTER), index=40)
    page = GatewayStatus(run.gateway).status()
    assert page["configuration_problem"] is None and page["keys_verified"] is True


def test_relay_hands_on_both_the_configuration_in_force_and_the_unreadable_one():
    table = ChangeTable()
    table.apply_listing([PlanRead(PLAN)], kit.position(10))
    table.apply_changes([PlanRead(BOTH), WITHOUT_BETA], kit.position(12))
    for after in (10, 11):
        handed_on = decode_facts(encode_facts(table.changes_since(kit.position(after)))).ok
        assert handed_on == (PlanRead(BOTH), WITHOUT_BETA)
    assert table.all_facts() == (PlanRead(BOTH), WITHOUT_BETA)


@pytest.mark.parametrize("plan", [BOTH, AFTER])
def test_relay_hands_on_the_configuration_that_can_be_read_again(plan):
    table = ChangeTable()
    table.apply_listing([PlanRead(BOTH)], kit.position(10))
    table.apply_changes([UNKNOWN], kit.position(12))
    table.apply_changes([PlanRead(plan)], kit.position(14))
    assert table.changes_since(kit.position(12)) == (PlanRead(plan),)
    assert table.all_facts() == (PlanRead(plan),)
