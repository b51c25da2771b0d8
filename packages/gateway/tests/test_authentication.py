"""Callers are identified by their keys, and endpoints get the account's name instead of a key."""

import pytest
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.core.registrations import PlanRead
from cardamomloft.core.routes import ClientAccount
from cardamomloft.gateway import records
from cardamomloft.gateway.authentication import Authenticator, checked_accounts
from cardamomloft.gateway.calls import Call
from cardamomloft.gateway.status import GatewayStatus
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import GatewayHarness
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

ALPHA = ClientAccount("alpha", ("key-a1", "key-a2"))
HOMED = ClientAccount("homed", ("key-h",), priority=5, homes=frozenset({"west"}))
OPEN_RULE = kit.RULE._replace(name="open", prefix="/open/", anonymous=True)
PLAN = kit.plan(number=2, rules=(kit.RULE, kit.ORDERS, OPEN_RULE))._replace(accounts=(ALPHA, HOMED))
ACCOUNT_HEADER = kit.HEADERS.account


class Harness(GatewayHarness):
    """A gateway with client accounts, whose requests have the given credentials."""

    def __init__(self) -> None:
        registrations = (kit.registration(1), kit.registration(2, zone="b"))
        super().__init__(kit.FakeControl(Ok(kit.listing(*registrations))))
        self.deliver_changes(PlanRead(PLAN))

    def send(self, *headers, path="/menus/7"):
        """Send a request with additional headers and return its answer."""
        pairs = (("host", "a.example"), ("x-request-id", "id-1"), ("x-object", "17"), *headers)
        head = RequestHead("GET", path, "", pairs, "10.0.0.9", 0, False)
        results = []
        self.gateway.handle(head, RequestBody(0, self), Deferred()).addBoth(results.append)
        return results[0]

    @property
    def forwarded(self) -> tuple[tuple[str, str], ...]:
        """The headers of the last request to an endpoint."""
        return self.client.sent[-1].headers


def bearer(key: str) -> tuple[str, str]:
    return ("authorization", f"Bearer {key}")


@pytest.mark.parametrize(
    "value", ["Bearer key-a1", "bearer key-a2", "BEARER   key-a1", "Bearer key-a1 "]
)
def test_known_key_is_accepted_and_not_passed_on(value):
    run = Harness()
    assert run.send(("authorization", value)).status == 200
    assert (ACCOUNT_HEADER, "alpha") in run.forwarded
    assert "key-a" not in str(run.forwarded)
    assert "authorization" not in dict(run.forwarded)


@pytest.mark.parametrize(
    "headers",
    [
        (),
        (bearer(""),),
        (bearer("key-c"),),
        (bearer("KEY-A1"),),
        (bearer("key-a1,key-a2"),),
        (("authorization", "key-a1"),),
        (("authorization", "Basic key-a1"),),
        (bearer("key-a1"), bearer("key-a1")),
        (bearer("key-a1"), bearer("key-c")),
        ((ACCOUNT_HEADER, "alpha"),),
    ],
)
def test_missing_malformed_or_unknown_key_is_401_and_not_run(headers):
    run = Harness()
    answer = run.send(*headers)
    assert answer.status == 401
    assert dict(answer.headers)["WWW-Authenticate"] == "Bearer"
    assert "Retry-After" not in dict(answer.headers)
    assert b"key-missing-or-unknown" in answer.body
    assert run.client.sent == []


def test_rule_open_to_anonymous_callers_needs_no_key():
    run = Harness()
    assert run.send((ACCOUNT_HEADER, "alpha"), path="/open/1").status == 200
    assert ACCOUNT_HEADER not in dict(run.forwarded)


def test_key_at_an_open_rule_is_identified_and_not_passed_on():
    run = Harness()
    assert run.send(bearer("key-a1"), path="/open/1").status == 200
    assert dict(run.forwarded)[ACCOUNT_HEADER] == "alpha"
    assert "key-a1" not in str(run.forwarded)
    assert run.send(bearer("key-c"), path="/open/1").status == 401


def test_account_name_that_a_caller_sends_is_replaced():
    run = Harness()
    run.send(bearer("key-a1"), (ACCOUNT_HEADER, "homed"), (ACCOUNT_HEADER, "other"))
    assert [value for name, value in run.forwarded if name == ACCOUNT_HEADER] == ["alpha"]


def test_account_is_served_in_its_home_regions_only():
    run = Harness()
    for _ in range(20):
        run.send(bearer("key-h"))
    assert {sent.endpoint.region for sent in run.client.sent} == {"west"}


def test_request_without_a_region_that_rule_and_account_allow_is_refused():
    run = Harness()
    east = kit.RULE._replace(homes=frozenset({"east"}))
    run.deliver_changes(PlanRead(PLAN._replace(number=3, rules=(east,))), index=12)
    assert run.send(bearer("key-h")).status == 503
    assert run.send(bearer("key-a1")).status == 200


def test_key_is_valid_from_and_until_the_configuration_that_changes_it():
    run = Harness()
    assert run.send(bearer("key-new")).status == 401
    changed = PLAN._replace(number=3, accounts=(ALPHA._replace(keys=("key-new",)),))
    run.deliver_changes(PlanRead(changed), index=12)
    assert run.send(bearer("key-new")).status == 200
    assert run.send(bearer("key-a1")).status == 401


def test_without_accounts_all_headers_are_passed_on():
    run = Harness()
    run.deliver_changes(PlanRead(PLAN._replace(number=3, accounts=None)), index=12)
    run.send(bearer("key-a1"), (ACCOUNT_HEADER, "mine"))
    assert bearer("key-a1") in run.forwarded
    assert (ACCOUNT_HEADER, "mine") in run.forwarded


def test_configuration_with_no_account_at_all_accepts_no_key():
    run = Harness()
    run.deliver_changes(PlanRead(PLAN._replace(number=3, accounts=())), index=12)
    assert run.send(bearer("key-a1")).status == 401


def test_log_names_the_account_and_never_a_key(monkeypatch):
    lines = []
    monkeypatch.setattr(records, "log", lambda event, **fields: lines.append(fields))
    run = Harness()
    run.send(bearer("key-secret"))
    run.client.outcomes.clear()
    run.client.outcomes.append(kit.answer(500, b""))
    run.send(bearer("key-a1"))
    assert [line.get("account") for line in lines] == [None, "alpha"]
    assert "key-" not in str(lines).replace("key-missing-or-unknown", "")


@given(
    st.lists(
        st.sampled_from(["key-a1", "Bearer key-a1", "bearer", "Bearer key-a1\x00", "Bearer  "])
        | st.text(st.characters(max_codepoint=255), max_size=40),
        max_size=3,
    )
)
def test_arbitrary_credentials_are_accepted_only_if_they_are_one_known_key(values):
    headers = tuple(("authorization", value) for value in values)
    authenticator = Authenticator(PLAN, ACCOUNT_HEADER)
    found = authenticator.authenticate(kit.RULE, headers, verified=True)
    if isinstance(found, Refusal):
        assert found.reason is RefusalReason.UNAUTHENTICATED
        assert "key-a1" not in found.detail
    else:
        (value,) = values
        assert value.lower().startswith("bearer ")
        assert value[7:].strip(" ") in found.keys
    assert authenticator.forwarded_headers(headers, None) == ()


@pytest.mark.parametrize(
    "account",
    [
        ALPHA._replace(name="two\nlines"),
        ALPHA._replace(name="two\ttabs"),
        ALPHA._replace(name=" alpha"),
        ALPHA._replace(name="alpha "),
        ALPHA._replace(name="\u00e9"),
        ALPHA._replace(name=""),
        ALPHA._replace(keys=("key a",)),
        ALPHA._replace(keys=("",)),
        ALPHA._replace(keys=(7,)),
        ALPHA._replace(rate_per_s=-1.0),
        ALPHA._replace(burst=float("nan")),
    ],
)
def test_unusable_account_is_an_error_without_its_key(account):
    with pytest.raises(ValueError, match="account") as caught:
        checked_accounts([HOMED, account])
    assert "key a" not in str(caught.value)


def test_accounts_in_large_numbers_are_accepted():
    accounts = [ClientAccount(f"a{n}", (f"k{n}", f"l{n}")) for n in range(50_000)]
    assert len(checked_accounts(accounts)) == 50_000


def test_explain_names_the_account_of_a_key():
    status = GatewayStatus(Harness().gateway)
    query = {"host": "a.example", "path": "/menus/1"}
    assert "account" not in status.explain(query)
    assert status.explain({**query, "key": "key-a2"})["account"] == "alpha"
    assert status.explain({**query, "key": "key-c"})["account"] is None


def test_call_has_the_priority_of_the_account():
    reader = Harness().gateway.plan.reader
    pairs = (("host", "a.example"), ("x-request-id", "id-1"), bearer("key-h"))
    call = reader.read(RequestHead("GET", "/menus/1", "", pairs, "", 0, False), kit.MS)
    assert isinstance(call, Call)
    assert (call.rule.priority, call.account) == (5, HOMED)
