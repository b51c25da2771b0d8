"""The log tells which configuration decided a request, its age and its source."""

import eliot
import pytest
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.model import Refusal
from cardamomloft.core.registrations import ZoneDrained, ZoneRestored
from cardamomloft.core.routes import ServiceShare
from cardamomloft.gateway.calls import CallerHeaders
from cardamomloft.gateway.control import Changes
from cardamomloft.gateway.following import Follower, PollTiming
from cardamomloft.gateway.inforce import PlanInForce
from cardamomloft.gateway.knowledge import Knowledge
from cardamomloft.gateway.records import RequestLog
from cardamomloft.store.failures import StoreFailure
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import GatewayHarness
from expression import Error, Ok
from twisted.internet.task import Clock

MS = kit.MS
HEADERS = CallerHeaders("x-id", "x-deadline-ms", "x-key")
SPLIT = (ServiceShare("menus", 3), ServiceShare("orders", 1))


def _plan(number: int):
    return kit.plan(number, (kit.RULE._replace(services=SPLIT),))


def _head(path: str) -> RequestHead:
    headers = (("host", kit.RULE.host), ("x-id", "r-1"))
    return RequestHead("GET", path, "", headers, "127.0.0.1", 0, False)


@pytest.fixture
def logged():
    """Return a function that returns the logged lines of an event."""
    lines: list[dict] = []
    eliot.add_destinations(lines.append)
    # The first destination of a process gets what was logged before.
    lines.clear()
    yield lambda event: [row for row in lines if row["message_type"] == f"cardamomloft:{event}"]
    eliot.remove_destination(lines.append)


def _in_force(time: kit.Time) -> PlanInForce:
    plan = PlanInForce(time.clock, kit.rng(), HEADERS, lambda: True)
    plan.verified_age = lambda: 700 * MS
    return plan


def test_request_line_names_the_configuration_that_decided_it_and_not_a_later_one(logged):
    time = kit.Time(Clock())
    plan = _in_force(time)
    plan.replace(_plan(4), "relay gw-2")
    call = plan.read(_head(kit.RULE.prefix))
    plan.replace(_plan(5), "watch")
    RequestLog(plan.knowledge).write(call, "failed", time.clock.monotonic())
    (line,) = logged("request")
    assert (line["configuration"], line["configuration_source"]) == (4, "relay gw-2")
    assert line["verified_age_ms"] == 700
    assert line["service"] == call.service


def test_line_of_a_request_without_a_rule_tells_how_old_the_configuration_is(logged):
    time = kit.Time(Clock())
    plan = _in_force(time)
    plan.replace(_plan(4), "push gw-3")
    refusal = plan.read(_head("/unknown/"))
    assert isinstance(refusal, Refusal)
    RequestLog(plan.knowledge).write_unparsed(
        _head("/unknown/"), "r-1", refusal, time.clock.monotonic()
    )
    (line,) = logged("request")
    assert line["configuration_source"] == "push gw-3"
    assert line["verified_age_ms"] == 700


def test_offers_of_older_configurations_are_logged_with_their_source(logged):
    plan = _in_force(kit.Time(Clock()))
    plan.replace(_plan(4), "watch")
    plan.replace(_plan(3), "push gw-3")
    assert [row["configuration_source"] for row in logged("in-force")] == ["watch"]
    (line,) = logged("configuration-older")
    assert (line["offered"], line["held"], line["source"]) == (3, 4, "push gw-3")


def test_choices_of_splits_are_logged(logged):
    plan = _in_force(kit.Time(Clock()))
    plan.replace(_plan(4), "watch")
    for _ in range(40):
        plan.read(_head(kit.RULE.prefix))
    plan.log_splits()
    (line,) = logged("splits")
    ((_, chosen),) = line["chosen"].items()
    assert sum(chosen.values()) == 40
    assert abs(chosen["menus"] - 30) <= 1


def _following(control: kit.FakeControl) -> tuple[kit.Time, Follower]:
    time = kit.Time(Clock())
    follower = Follower(
        time.reactor,
        time.clock,
        control,
        kit.rng(),
        PollTiming(1000 * MS, 1000 * MS),
        lambda listing: None,
        lambda facts: None,
        lambda: None,
    )
    follower.start(lambda failure: None)
    return time, follower


def test_polls_that_failed_are_logged_with_their_duration(logged):
    control = kit.FakeControl(Ok(kit.listing(index=10)))
    control.next_changes = kit.STORE_UNAVAILABLE
    time, _ = _following(control)
    time.advance(30_000 * MS)
    lines = logged("poll-failed")
    assert [row["failures"] for row in lines[:4]] == [1, 2, 3, 10]
    assert lines[0]["request"] == "changes"
    assert lines[0]["answered_ms"] >= 900
    assert len(lines) < 10


def test_source_of_changes_is_that_of_the_last_answer_with_facts():
    control = kit.FakeControl(Ok(kit.listing(index=10)))
    control.next_changes = Ok(Changes((), kit.position(10), source="relay gw-2"))
    time, follower = _following(control)
    time.advance(3000 * MS)
    assert follower.source == "listing"


def test_knowledge_without_a_proof_states_no_age():
    assert Knowledge(3, "listing").fields()["verified_age_ms"] is None


def test_log_tells_when_and_why_a_gateway_holds_endpoints_for_cold_and_what_it_sends(logged):
    run = GatewayHarness()
    run.send_request()
    run.deliver_changes(ZoneDrained("a"))
    run.deliver_changes(ZoneRestored("a"), index=12)
    (line,) = logged("upstreams-cold")
    assert (line["source"], line["count"]) == ("drain-end", 1)
    (row,) = line["endpoints"]
    assert row["id"] == "i-1" and row["left_ms"] > 0
    run.time.advance(2000 * MS)
    (row,) = logged("endpoint-sends")[-1]["cold"]
    assert (row["id"], row["source"]) == ("i-1", "drain-end")


def test_log_names_the_endpoints_that_a_gateway_with_outdated_data_holds_for_warm(logged):
    run = GatewayHarness()
    run.control.next_changes = Error(StoreFailure(False, "no answer"))
    run.time.advance(4000 * MS)
    run.send_request()
    run.time.advance(2000 * MS)
    lines = [row for row in logged("endpoint-sends") if row["warm"]]
    assert [row["warm"] for row in lines] == [{"i-1": 1}]
    assert lines[0]["outdated"] and lines[0]["verified_age_ms"] > 2000
