"""The queue at the gateway: sending, refusing, callers that leave, deadlines, reload and stop."""

import pytest
from cardamomloft.core.queueing.servicequeue import Eviction, QueueBounds
from cardamomloft.core.upstreamtable import LoadReport
from cardamomloft.gateway.status import GatewayStatus
from cardamomloft_standins import gateway as kit
from cardamomloft_standins.forwarderharness import MS, RESET, SHED, ForwarderHarness, header
from cardamomloft_standins.gatewayharness import SETTINGS, GatewayHarness
from twisted.internet.defer import Deferred

FULL_REJECTION = kit.answer(503, b"", not_run=True, x_load="4,4,4")


def queueing(*outcomes, **kwargs) -> ForwarderHarness:
    """Return a forwarder with the queue switched on, whose answers have taken 100 ms so far."""
    bench = ForwarderHarness(*outcomes, **kwargs)
    bench.forwarder.queue.set_enabled(True)
    service = bench.forwarder.queue._service("menus")
    for _ in range(20):
        service.queue.estimate.record_answer(100 * MS, bench.time.clock.monotonic())
    return bench


def set_load(bench, waiting, running=4):
    """Let all endpoints report `running` requests and `waiting` further ones."""
    now = bench.time.clock.monotonic()
    for upstream in bench.table.of_service("menus"):
        upstream.report = LoadReport(running, waiting, 4, 0, now)


def send(bench, path="/menus/7", **kwargs):
    """Start a request; return the list that will hold its answer."""
    results = []
    bench.start(path, **kwargs).addBoth(results.append)
    return results


def waiting(bench):
    """Return the number of waiting requests."""
    return len(bench.forwarder.queue._service("menus").queue)


def test_request_without_capacity_waits_and_is_sent_with_the_time_that_is_left():
    """Guards against passing on the deadline that the request had at its arrival."""
    bench = queueing(kit.answer())
    set_load(bench, 30)
    results = send(bench)
    assert (results, bench.client.sent, waiting(bench)) == ([], [], 1)
    sent_at, client_send = [], bench.client.send
    bench.client.send = lambda req: (
        sent_at.append(bench.time.clock.monotonic()),
        client_send(req),
    )[1]
    bench.time.advance(100 * MS)
    set_load(bench, 0)
    bench.time.advance(50 * MS)
    assert results[0].status == 200
    (sent,) = bench.client.sent
    assert sent.timeout == 1000 * MS - sent_at[0]
    assert sent_at[0] >= 100 * MS


def test_load_report_wakes_the_queue_at_once():
    bench = queueing(kit.answer())
    set_load(bench, 30)
    results = send(bench)
    set_load(bench, 0)
    bench.forwarder.queue.capacity_changed("menus")
    bench.time.reactor.advance(0)
    assert results[0].status == 200


def test_request_that_cannot_be_answered_in_time_is_refused_at_once():
    bench = queueing(kit.answer())
    bench.forwarder.queue._service("menus").queue.estimate._duration = 1100 * MS
    set_load(bench, 30)
    results = send(bench)
    assert results[0].status == 503
    assert waiting(bench) == 0


def test_request_is_refused_as_soon_as_no_answer_is_expected_in_time():
    """Guards against holding a request up to its deadline and serving it nothing."""
    bench = queueing(kit.answer())
    set_load(bench, 300)
    results = send(bench)
    bench.time.advance(840 * MS)
    set_load(bench, 300)
    assert results == []
    bench.time.advance(120 * MS)
    assert results[0].status == 503
    assert bench.client.sent == []


@pytest.mark.parametrize("seed", range(20))
def test_no_request_is_held_beyond_its_deadline(seed):
    """Guards against timers that notice the deadline late; nothing completes, so all expire."""
    bench = queueing(kit.answer())
    bench.forwarder.queue._service("menus").queue.estimate._duration = 0 * MS
    bench.time.advance((7 * seed) % 50 * MS, 1 * MS)
    set_load(bench, 10_000)
    results = send(bench)
    for _ in range(99):
        bench.time.advance(10 * MS, 1 * MS)
        set_load(bench, 10_000)
    bench.time.advance(10 * MS, 1 * MS)
    assert results[0].status == 503
    assert waiting(bench) == 0


def test_request_is_not_held_longer_than_the_bound():
    bench = queueing(kit.answer())
    bench.forwarder.queue._services["menus"].queue.bounds = QueueBounds(wait=300 * MS)
    set_load(bench, 300)
    results = send(bench)
    for _ in range(6):
        assert results == []
        bench.time.advance(50 * MS)
        set_load(bench, 300)
    assert results[0].status == 503


def test_caller_that_leaves_frees_its_place_and_costs_no_work():
    bench = queueing(kit.answer())
    set_load(bench, 30)
    results = send(bench)
    bench.gone.callback(None)
    assert waiting(bench) == 0
    assert results
    set_load(bench, 0)
    bench.time.advance(200 * MS)
    assert bench.client.sent == []
    assert bench.metrics.counters["caller-left"] == 1


@pytest.mark.parametrize("first", ["send", "refuse"])
def test_send_and_refusal_in_the_same_iteration_exclude_each_other(first):
    """Guards against a refusal of a request that was sent, and a send of one that was refused."""
    bench = queueing(None)
    set_load(bench, 30)
    results = send(bench, "/orders/1")
    queue = bench.forwarder.queue
    (held,) = queue._services["menus"].queue.in_order(bench.time.clock.monotonic())
    set_load(bench, 0)
    if first == "send":
        queue._turn("menus", None, regular=True)
        queue._refuse("menus", held, Eviction.PREDICTED)
    else:
        queue._refuse("menus", held, Eviction.PREDICTED)
        queue._turn("menus", None, regular=True)
    bench.time.advance(60 * MS)
    assert len(bench.client.sent) == (1 if first == "send" else 0)
    assert len(results) == (0 if first == "send" else 1)


def test_caller_that_leaves_in_the_iteration_of_the_send_is_not_sent():
    """Guards against work for a caller that has left while a turn was due."""
    bench = queueing(kit.answer())
    set_load(bench, 30)
    send(bench)
    set_load(bench, 0)
    bench.forwarder.queue.capacity_changed("menus")
    bench.gone.callback(None)
    bench.time.reactor.advance(0)
    assert bench.client.sent == []


def test_definite_refusal_leads_to_the_queue():
    bench = queueing(FULL_REJECTION, kit.answer(), endpoints=1)
    results = send(bench, "/orders/1")
    assert len(bench.client.sent) == 1
    assert results == []
    bench.time.advance(2000 * MS)
    assert results[0].status == 503


def test_request_that_may_have_run_is_never_queued_or_refused():
    """Guards against a 503 from the queue for a request whose first endpoint was lost."""
    bench = queueing(RESET, kit.answer())
    choose = bench.selector.choose

    def full_after_the_first_send(*args):
        if bench.client.sent:
            set_load(bench, 300)
        return choose(*args)

    bench.selector.choose = full_after_the_first_send
    results = send(bench)
    assert results[0].status == 502
    assert len(bench.client.sent) == 1
    assert waiting(bench) == 0


def test_request_that_has_waited_is_not_repeated_beyond_the_retry_budget():
    """Guards against retries that were allowed before the wait and are not any more."""
    bench = queueing(FULL_REJECTION, kit.answer(), endpoints=2)
    choose = bench.selector.choose
    results = []

    def full_then_free(*args):
        if len(bench.client.sent) == 1 and bench.time.clock.monotonic() < 100 * MS:
            set_load(bench, 300)
        return choose(*args)

    bench.selector.choose = full_then_free
    bench.start("/orders/1").addBoth(results.append)
    assert waiting(bench) == 1
    budget = bench.forwarder.budget_for("menus")
    budget.set_limits(0.0, 0.0, 10_000 * MS)
    set_load(bench, 0)
    bench.time.advance(150 * MS)
    assert results[0].status == 503
    assert len(bench.client.sent) == 1


def test_full_queue_refuses_the_last_in_order():
    bench = queueing(kit.answer())
    bench.forwarder.queue._services["menus"].queue.bounds = QueueBounds(count=2)
    set_load(bench, 30)
    first, second = send(bench), send(bench)
    bench.time.advance(10 * MS)
    third = send(bench)
    assert (first, second) == ([], [])
    assert third[0].status == 503
    assert float(header(third[0], "retry-after")) > 0


def test_deployment_without_the_feature_refuses_at_once():
    bench = ForwarderHarness(kit.answer())
    set_load(bench, 30)
    assert send(bench)[0].status == 503
    assert bench.forwarder.queue.status() == {}


def test_switching_the_queue_off_decides_on_all_waiting_requests():
    bench = queueing(kit.answer())
    set_load(bench, 30)
    results = send(bench)
    bench.forwarder.queue.set_enabled(False)
    assert results[0].status == 503
    assert bench.client.sent == []


def test_refusals_despite_a_free_slot_are_told_to_return_soon():
    shed = kit.answer(503, b"", not_run=True, x_load="1,0,4")
    bench = queueing(shed)
    wait = float(header(bench.answer(), "retry-after"))
    assert 0.15 <= wait <= 0.34


def gateway_with_queue(**changes):
    """Return a started gateway with the feature."""
    run = GatewayHarness()
    run.gateway.reconfigure({**SETTINGS, "features": ["queue", "unknown"], **changes})
    now = run.time.clock.monotonic()
    for upstream in run.gateway.upstream_table.of_service("menus"):
        upstream.report = LoadReport(4, 60, 4, 0, now)
    return run


def test_reload_switches_the_queue_on_and_off():
    run = gateway_with_queue()
    assert run.send_request() is None
    page = GatewayStatus(run.gateway).status()
    assert page["queues"]["menus"]["waiting"] == 1
    assert "queue_admitted_menus_p1" in run.gateway.metrics.render()
    run.gateway.reconfigure(SETTINGS)
    assert len(run.gateway.forwarder.queue._services["menus"].queue) == 0
    assert "queues" not in GatewayStatus(run.gateway).status()


def test_planned_stop_decides_on_waiting_requests_within_the_stop_time():
    """Guards against requests that wait until the process ends, so that their callers get none."""
    run = gateway_with_queue(stop_time="500ms")
    assert run.send_request() is None
    run.gateway.app.in_flight = 1
    run.gateway.stop()
    for _ in range(42):
        run.time.advance(10 * MS)
        for upstream in run.gateway.upstream_table.of_service("menus"):
            upstream.report = LoadReport(4, 60, 4, 0, run.time.clock.monotonic())
    assert not run.gateway.stopped.called
    assert len(run.gateway.forwarder.queue._services["menus"].queue) == 0


def test_log_line_only_while_requests_wait_or_are_refused(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "cardamomloft.gateway.requestqueue.log", lambda event, **fields: lines.append(fields)
    )
    bench = queueing(kit.answer())
    bench.forwarder.queue.log()
    assert lines == []
    set_load(bench, 30)
    send(bench)
    bench.forwarder.queue.log()
    assert (lines[0]["service"], lines[0]["waiting"]) == ("menus", 1)
    assert lines[0]["counts"] == {"admitted.p1": 1}
    set_load(bench, 0)
    bench.time.advance(100 * MS)
    bench.forwarder.queue.log()
    assert len(lines) == 1


def test_many_waiting_requests_whose_sends_fail_at_once_do_not_nest():
    """Guards against one level of recursion for each request that fails synchronously."""
    bench = queueing(SHED, slack=10_000.0)
    service = bench.forwarder.queue._services["menus"]
    for _ in range(2000):
        service.queue.estimate.record_answer(100 * MS, bench.time.clock.monotonic())
    set_load(bench, 60)
    answers = [send(bench) for _ in range(100)]
    assert waiting(bench) == 100
    set_load(bench, 0)
    bench.time.advance(1500 * MS)
    assert all(results[0].status == 503 for results in answers)
    assert waiting(bench) == 0


def test_arrival_of_a_hot_account_is_decided_on_while_others_wait():
    """Guards against a request that is left out of a turn, so that it has no refusal to state."""
    bench = queueing(kit.answer())
    service = bench.forwarder.queue._services["menus"]
    now = bench.time.clock.monotonic()
    service.queue.shares.record("", 0.0, 50, now)
    service.queue.shares.record("other", 0.0, 1, now)
    set_load(bench, 30)
    send(bench)
    service.queue.bounds = QueueBounds(count=1)
    second = send(bench)
    assert waiting(bench) == 1
    assert second[0].status == 503


def test_fault_of_one_attempt_does_not_stop_the_queue():
    """Guards against requests that are held for ever after an attempt to send has raised."""
    bench = queueing(kit.answer())
    set_load(bench, 30)
    results = send(bench)
    choose = bench.selector.choose
    bench.selector.choose = lambda *args: 1 / 0
    bench.time.advance(60 * MS)
    assert isinstance(results[0].value, ZeroDivisionError)
    bench.selector.choose = choose
    set_load(bench, 30)
    again = send(bench)
    set_load(bench, 0)
    bench.time.advance(60 * MS)
    assert again[0].status == 200


def test_retry_of_a_request_that_may_have_run_does_not_overtake_a_more_urgent_one(monkeypatch):
    """Guards against capacity taken by a less urgent request that can't be put into the queue."""
    bench = queueing(None, kit.answer())
    lost, urgent = Deferred(), []
    client_send = bench.client.send
    bench.client.send = lambda req: (client_send(req), lost)[1]
    less_urgent = send(bench)
    bench.client.send = client_send
    set_load(bench, 30)
    plan = kit.plan(rules=(kit.RULE._replace(priority=0),))
    monkeypatch.setattr(kit, "plan", lambda: plan)
    bench.start(caller="urgent").addBoth(urgent.append)
    assert waiting(bench) == 1
    set_load(bench, 0, running=0)
    lost.callback(RESET)
    agents = [dict(sent.headers)["user-agent"] for sent in bench.client.sent]
    assert agents == ["app/1", "urgent", "app/1"]
    assert (less_urgent[0].status, urgent[0].status) == (200, 200)


def test_metrics_page_shows_length_and_longest_wait():
    run = gateway_with_queue()
    run.send_request()
    run.time.advance(20 * MS)
    page = GatewayStatus(run.gateway).metrics_text()
    assert 'cardamomloft_queue_waiting{service="menus"} 1' in page
    assert 'cardamomloft_queue_longest_wait_seconds{service="menus"} 0.02' in page


def test_short_pause_of_an_endpoint_is_not_the_time_to_return():
    """Guards against callers that return within milliseconds and are refused again."""
    bench = queueing(kit.answer())
    bench.forwarder.queue._services["menus"].queue.bounds = QueueBounds(count=0)
    for upstream in bench.table.of_service("menus"):
        upstream.paused_until = bench.time.clock.monotonic() + 5 * MS
    assert float(header(bench.answer(), "retry-after")) >= 0.15


def test_request_that_will_be_late_waits_for_a_free_slot(monkeypatch):
    """Guards against late requests that make others late, and against less urgent ones before."""
    bench = queueing(kit.answer(), endpoints=1)
    bench.forwarder.queue._services["menus"].queue.bounds = QueueBounds(wait=900 * MS)
    set_load(bench, 60)
    late = send(bench)
    for _ in range(35):
        bench.time.advance(10 * MS)
        set_load(bench, 60)
    plan = kit.plan(rules=(kit.RULE._replace(priority=2),))
    monkeypatch.setattr(kit, "plan", lambda: plan)
    less_urgent = send(bench)
    for _ in range(6):
        set_load(bench, 1)
        bench.time.advance(10 * MS)
    assert (late, less_urgent, bench.client.sent) == ([], [], [])
    set_load(bench, 0, running=3)
    bench.time.advance(50 * MS)
    assert late[0].status == 200
    assert less_urgent[0].status == 200


class DownLinks:
    """Links that are down."""

    down = True

    def may_send_any(self):
        return False

    def may_send(self, address):
        return False


def test_waiting_requests_are_decided_on_as_soon_as_links_are_down():
    bench = queueing(kit.answer())
    set_load(bench, 30)
    results = [send(bench) for _ in range(3)]
    assert waiting(bench) == 3
    bench.forwarder.links = DownLinks()
    bench.forwarder.queue.retry_all()
    bench.time.advance(5 * MS)
    reasons = [dict(result[0].headers)["Cardamomloft-Reason"] for result in results]
    assert reasons == ["upstream-unreachable"] * 3
    assert not bench.client.sent
    assert waiting(bench) == 0
