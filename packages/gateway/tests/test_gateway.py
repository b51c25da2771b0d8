"""The assembled gateway with a fake store and endpoints: readiness, logging and stopping."""

from cardamomloft.core.model import Refusal
from cardamomloft.core.registrations import EntryRecord, EntryRecorded, EntryWithdrawn, PlanRead
from cardamomloft.gateway import records
from cardamomloft.gateway.status import GatewayStatus
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.gatewayharness import MS, GatewayHarness
from expression import Ok
from twisted.internet.defer import Deferred


def test_gateway_is_ready_once_it_has_a_configuration_and_a_listing():
    control = kit.FakeControl()
    run = GatewayHarness(control)
    assert not run.gateway.ready()
    assert run.send_request().status == 503
    control.listing = Ok(kit.listing(kit.registration(1)))
    run.time.advance(1000 * MS)
    assert run.gateway.ready()
    assert run.send_request().status == 200


def test_request_without_a_rule_is_404_only_once_rules_are_known():
    control = kit.FakeControl()
    run = GatewayHarness(control)
    assert run.send_request(host="unknown.example").status == 503
    assert GatewayHarness().send_request(host="unknown.example").status == 404


def test_entry_is_recorded_only_once_it_is_ready():
    assert "record e-1" in GatewayHarness().control.calls
    assert "record e-1" not in GatewayHarness(kit.FakeControl()).control.calls


def test_older_configuration_never_replaces_a_newer_one():
    run = GatewayHarness()
    run.deliver_changes(PlanRead(kit.plan(5, rules=[kit.RULE])))
    assert run.send_request("/orders/1").status == 404
    run.deliver_changes(PlanRead(kit.plan(4)))
    assert run.send_request("/orders/1").status == 404
    run.deliver_changes(PlanRead(kit.plan(6)))
    assert run.send_request("/orders/1").status == 200


def test_look_up_returns_the_recorded_entries_of_the_region():
    run = GatewayHarness()
    for number, zone, region in ((2, "a", "east"), (3, "b", "west")):
        run.deliver_changes(
            EntryRecorded(EntryRecord(f"e-{number}", f"10.0.0.{number}:80", zone, region))
        )
    assert run.lookup().addresses == ["127.0.0.1:7101", "10.0.0.2:80"]
    assert run.lookup("b", "west").addresses == ["10.0.0.3:80"]
    run.deliver_changes(EntryWithdrawn("e-2"))
    assert run.lookup().addresses == ["127.0.0.1:7101"]


def test_look_up_is_refused_without_a_configuration():
    assert isinstance(GatewayHarness(kit.FakeControl()).lookup(), Refusal)


def test_stopping_gateway_leaves_look_ups_at_once_and_keeps_serving():
    run = GatewayHarness()
    run.deliver_changes(EntryRecorded(EntryRecord("e-2", "10.0.0.2:80", "a", "east")))
    run.gateway.stop()
    run.time.advance(20 * MS)
    assert not run.gateway.ready()
    assert run.control.calls[-1] == "withdraw 7"
    assert run.lookup().addresses == ["10.0.0.2:80"]
    assert run.send_request().status == 200
    assert not run.gateway.stopped.called


def test_stopping_gateway_waits_for_requests_in_flight():
    run = GatewayHarness()
    run.gateway.app.in_flight = 1
    run.gateway.stop()
    run.time.advance(4000 * MS)
    assert run.send_request().status == 503
    assert not run.gateway.stopped.called
    run.gateway.app.in_flight = 0
    run.gateway.app._drained.check()
    run.time.advance(20 * MS)
    assert run.gateway.stopped.called


def test_stopping_gateway_waits_for_acknowledged_bodies_in_its_memory():
    """Guards against processes that end with the rest of an acknowledged upload in memory."""
    run = GatewayHarness()
    passing = run.client.passing = Deferred()
    run.gateway.stop()
    run.time.advance(4000 * MS)
    assert not run.gateway.stopped.called
    passing.callback(None)
    run.time.advance(20 * MS)
    assert run.gateway.stopped.called


def test_stop_ends_within_the_stop_time_despite_acknowledged_bodies_in_memory():
    run = GatewayHarness()
    run.client.passing = Deferred()
    run.gateway.stop()
    run.time.advance(5900 * MS)
    assert run.gateway.stopped.called


def test_stop_ends_within_the_stop_time_despite_requests_in_flight():
    run = GatewayHarness()
    run.gateway.app.in_flight = 1
    run.gateway.stop()
    run.time.advance(5900 * MS)
    assert run.gateway.stopped.called


def test_further_signals_do_not_move_the_phases_of_a_stop():
    run = GatewayHarness()
    run.gateway.app.in_flight = 1
    run.gateway.stop()
    run.time.advance(2900 * MS)
    run.gateway.stop()
    assert run.send_request().status == 200
    run.time.advance(200 * MS)
    assert run.send_request().status == 503
    run.time.advance(2500 * MS)
    assert run.gateway.stopped.called


def test_gateway_that_is_stopped_before_it_is_ready_refuses_requests_and_ends():
    run = GatewayHarness(kit.FakeControl())
    run.gateway.stop()
    assert run.send_request().status == 503
    run.time.advance(3100 * MS)
    assert run.gateway.stopped.called
    assert not run.gateway.ready()


def test_clock_decides_until_when_requests_are_served_if_timers_are_late():
    run = GatewayHarness()
    run.gateway.app.in_flight = 1
    run.gateway.stop()
    run.time.clock.advance(3100 * MS)
    assert run.send_request().status == 503


def test_stopped_gateway_makes_no_store_calls():
    run = GatewayHarness()
    run.gateway.stop()
    run.time.advance(6000 * MS)
    calls_before = len(run.control.calls)
    run.time.advance(3000 * MS)
    assert len(run.control.calls) == calls_before


def test_status_page_and_metrics_show_the_state():
    run = GatewayHarness()
    status = GatewayStatus(run.gateway)
    run.send_request()
    assert status.ready()
    page = status.status()
    assert (page["state"], page["configuration"], page["upstreams"]) == ("ready", 1, 1)
    assert page["endpoints"][0]["id"] == "i-1"
    assert "cardamomloft_requests_total 1" in status.metrics_text()


def test_explain_names_the_rule_or_the_refusal():
    status = GatewayStatus(GatewayHarness().gateway)
    assert status.explain({"host": "a.example", "path": "/menus/7"})["rule"] == "menus"
    assert status.explain({"host": "x.example"})["refused"] == "no-such-service"


def test_refused_request_is_logged_with_its_id_and_the_configuration(monkeypatch):
    lines = []
    monkeypatch.setattr(records, "log", lambda event, **fields: lines.append((event, fields)))
    run = GatewayHarness()
    run.send_request(host="unknown.example")
    run.gateway.stop()
    run.time.advance(4000 * MS)
    run.send_request()
    (_, unknown), (_, stopping) = lines
    assert (unknown["id"], unknown["configuration"]) == ("id-1", 1)
    assert unknown["reason"] == "no-such-service"
    assert stopping["reason"] == "entry-is-stopping"


def test_request_log_is_rate_limited_and_skipped_lines_are_counted(monkeypatch):
    lines = []
    monkeypatch.setattr(records, "log", lambda event, **fields: lines.append((event, fields)))
    run = GatewayHarness()
    for _ in range(records.MAX_LINES_PER_S + 40):
        run.send_request(host="unknown.example")
    assert len(lines) == records.MAX_LINES_PER_S
    run.time.advance(1500 * MS)
    run.send_request(host="unknown.example")
    assert ("requests-not-logged", {"count": 40}) in lines


def test_stop_during_an_outage_of_the_store_continues_no_request():
    """Guards against a fault when a stop cancels a pending request for changes.

    The cancelled request must not be continued at a relay because the store is unavailable.
    """
    run = GatewayHarness()
    run.control.next_changes = kit.STORE_UNAVAILABLE
    run.time.advance(3000 * MS)
    run.control.pending = Deferred(lambda deferred: deferred.callback(kit.STORE_UNAVAILABLE))
    run.time.advance(600 * MS)
    run.gateway.stop()
    run.time.advance(6000 * MS)
    assert run.gateway.stopped.called
    assert run.gateway.metrics.counters["faults"] == 0
