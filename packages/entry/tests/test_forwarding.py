"""Forwarding to upstreams when answers are lost, incomplete or refused."""

import random
from datetime import timedelta

import pytest
from cardamomloft.callers.body import RequestBody
from cardamomloft.callers.exchange import RequestHead
from cardamomloft.core.admission import Admission
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.document import Revision
from cardamomloft.core.ledger import KeptAnswer
from cardamomloft.core.model import Incarnation, Refusal, RefusalReason, Unknown
from cardamomloft.core.rates import Pacer
from cardamomloft.core.router import Router
from cardamomloft.core.shares import Shares
from cardamomloft.core.steering import Steering
from cardamomloft.entry.forwarding import Forwarder
from cardamomloft.runtime.metrics import Metrics
from cardamomloft.upstreams.body import Delivery
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock


def document(names, **tables):
    row = {"zone": "a", "address": "127.0.0.1:9000", "slots": 1, "connections": 90}
    service = {"prefix": "/m", "deadline_ms": 2000, "max_deadline_ms": 5000}
    service["upstreams"] = {name: dict(row) for name in names}
    places = [{"region": "r1", "weight": 1}]
    return {
        "regions": {"r1": ["a"]},
        "entries": {"e1": {"zone": "a"}},
        "services": {"menus": service},
        "clients": {"default": "r1"},
        "rules": [{"name": "all", "when": {}, "then": {"places": places, "attempts": 3}}],
        **tables,
    }


class FakeBody:
    """An upstream's body, which ends when the test calls `end`."""

    def __init__(self):
        self.consumer = None
        self.aborted = False
        self._done = Deferred()
        self._collected = Deferred()

    def deliver(self, consumer):
        self.consumer = consumer
        return self._done

    def collect(self, limit):
        return self._collected

    def abort(self, detail=""):
        self.aborted = True

    def end(self, content=b"ok", complete=True):
        self._done.callback(Delivery(complete, len(content), ""))
        self._collected.callback(Ok(content) if complete else Error("cut short"))


class FakeClient:
    """Records requests; cancelling one makes it fail, as with the real client."""

    def __init__(self):
        self.sent = []
        self.replies = []
        self.cancelled = []
        self.stops = []

    def send(self, req):
        failure = Error(SendFailure(False, "cancelled"))
        reply = Deferred(lambda d: d.callback(failure))
        self.sent.append(req)
        self.replies.append(reply)
        return reply

    def cancel(self, endpoint, request_id):
        self.cancelled.append((endpoint.name, request_id))
        stop = Deferred()
        self.stops.append(stop)
        return stop

    def answer(self, at=-1, status=200, not_run=False):
        body = FakeBody()
        headers = (("content-type", "text/plain"), ("x-request-id", self.sent[at].request_id))
        self.replies[at].callback(Ok(UpstreamAnswer(status, headers, None, not_run, body)))
        return body

    def fail(self, not_run, at=-1):
        self.replies[at].callback(Error(SendFailure(not_run, "connection lost")))


class Flow:
    def pause_body(self):
        pass

    def resume_body(self):
        pass


class Bench:
    def __init__(self, names=("m-1", "m-2", "m-3"), max_queued=64):
        self.clock, self.reactor = ManualClock(), Clock()
        self.client, self.metrics = FakeClient(), Metrics()
        self.shares = Shares(Incarnation("e1", "1"), self.clock)
        steering = Steering("a", "r1", self.clock, random.Random(1), self.shares.free)
        admission = Admission(self.clock, max_queued=max_queued)
        self.router = Router("a", "r1", self.clock, self.shares, steering, admission)
        self.router.configure(Revision(1, document(names)), quarantine=False)
        pacer = Pacer(self.shares, self.clock)
        self.forwarder = Forwarder(
            self.reactor, self.clock, self.router, self.client, self.metrics, pacer, "e1-1"
        )

    def pass_time(self, seconds):
        for _ in range(round(seconds * 40)):
            self.clock.advance(timedelta(milliseconds=25))
            self.reactor.advance(0.025)
            self.forwarder.pump()

    def request(self, method="GET", body=b"", headers=()):
        head = RequestHead(method, "/m/7", "q=1", headers, "127.0.0.1", len(body), False)
        return self.forwarder.classify(head).ok, head

    def stream(self, method="GET", body=b"", headers=(), *, ended=True):
        req, head = self.request(method, body, headers)
        caller = Caller(RequestBody(len(body) if ended else 1_000_000, Flow()))
        if body:
            caller.body.data_received(body)
        if ended:
            caller.body.end()
        coroutine = self.forwarder.stream(req, head, caller.body, caller.gone)
        ensureDeferred(coroutine).addBoth(caller.answers.append)
        return caller

    def collect(self, method="POST", body=b"order"):
        req, head = self.request(method, body)
        results = []
        ensureDeferred(self.forwarder.collect(req, head, body)).addBoth(results.append)
        return results

    def used(self):
        return sum(row.used for row in self.shares.rows() if row.key.startswith("slots/"))

    def counted(self, prefix):
        return sum(v for k, v in self.metrics.counters.items() if k.startswith(prefix))


class Caller:
    def __init__(self, body):
        self.body = body
        self.gone = Deferred()
        self.answers = []

    @property
    def outcome(self):
        (answer,) = self.answers
        return dict(answer.headers)["Cardamomloft-Outcome"], answer.status


@pytest.fixture
def bench():
    return Bench()


def test_a_streamed_answer_holds_its_slot_until_its_end(bench):
    caller = bench.stream()
    (sent,) = bench.client.sent
    assert (sent.path, sent.request_id) == ("/m/7?q=1", "e1-1-1")
    body = bench.client.answer()
    (answer,) = caller.answers
    assert caller.outcome == ("complete", 200)
    assert "x-request-id" not in dict(answer.headers)
    over = []
    answer.body.deliver("the caller").addCallback(over.append)
    assert body.consumer == "the caller" and bench.used() == 1
    body.end()
    assert over[0].complete and bench.used() == 0 and bench.client.cancelled == []


@pytest.mark.parametrize(
    ("method", "outcome"), [("POST", ("unknown", 504)), ("GET", ("complete", 200))]
)
def test_after_sending_only_an_idempotent_request_is_retried(bench, method, outcome):
    caller = bench.stream(method, b"" if method == "GET" else b"order")
    bench.client.fail(not_run=False)
    if method == "GET":
        assert len({sent.endpoint.name for sent in bench.client.sent}) == 2
        assert len({sent.request_id for sent in bench.client.sent}) == 2
        bench.client.answer()
    bench.pass_time(3)
    assert len(bench.client.sent) == (2 if method == "GET" else 1)
    assert caller.outcome == outcome


@pytest.mark.parametrize("shed", [True, False])
def test_a_request_that_did_not_run_is_retried_at_another_endpoint(bench, shed):
    caller = bench.stream("POST", b"order")
    if shed:
        assert bench.client.answer(status=503, not_run=True).aborted
    else:
        bench.client.fail(not_run=True)
    first, second = bench.client.sent
    assert first.endpoint.name != second.endpoint.name and second.body == b"order"
    assert bench.used() == 1 and bench.client.cancelled == []
    bench.client.answer(status=201)
    assert caller.outcome == ("complete", 201)


def test_a_request_that_every_upstream_sheds_is_refused(bench):
    caller = bench.stream("POST", b"order")
    for at in range(3):
        bench.client.answer(at, status=503, not_run=True)
    assert caller.outcome == ("refused", 503) and len(bench.client.sent) == 3
    assert bench.used() == 0 and bench.metrics.counters["refused.upstream-shed"] == 1


def test_a_request_that_is_shed_and_then_lost_is_unknown_not_refused(bench):
    caller = bench.stream("POST", b"order")
    bench.client.answer(status=503, not_run=True)
    bench.client.fail(not_run=False)
    assert caller.outcome == ("unknown", 504) and len(bench.client.sent) == 2


def test_an_upload_that_has_begun_is_not_resent(bench):
    caller = bench.stream("POST", b"x" * 100, ended=False)
    (sent,) = bench.client.sent
    sent.body.startProducing(Sink())
    bench.client.fail(not_run=False)
    assert caller.outcome == ("unknown", 504)
    assert len(bench.client.sent) == 1


def test_an_upload_that_was_not_read_is_retried_at_another_endpoint(bench):
    caller = bench.stream("POST", b"x" * 100, ended=False)
    bench.client.fail(not_run=True)
    assert len(bench.client.sent) == 2
    bench.client.answer()
    assert caller.outcome == ("complete", 200)


def test_an_upload_that_fails_after_sending_is_not_refused(bench):
    caller = bench.stream("PUT", b"x" * 100, ended=False)
    bench.client.sent[0].body.startProducing(Sink()).addErrback(lambda failure: None)
    caller.body.fail("the body is malformed")
    bench.client.fail(not_run=False)
    assert caller.outcome[0] != "refused"


class Sink:
    def registerProducer(self, producer, streaming):  # noqa: N802
        pass

    def unregisterProducer(self):  # noqa: N802
        pass

    def write(self, data):
        pass


@pytest.mark.parametrize("confirmed", [True, False])
def test_the_slot_is_held_until_the_upstream_has_stopped_the_request(confirmed):
    bench = Bench(["m-1"])
    bench.stream("POST", b"order")
    deadline = timedelta(seconds=2)
    bench.client.fail(not_run=False)
    assert bench.client.cancelled == [("m-1", "e1-1-1")]
    assert bench.used() == 1 and bench.forwarder.pending_cancellations == 1
    if confirmed:
        bench.client.stops[0].callback(False)
        assert bench.used() == 1
        bench.client.stops[1].callback(True)
        assert bench.used() == 0 and bench.forwarder.pending_cancellations == 0
        return
    for _ in range(3):
        bench.client.stops[-1].callback(False)
    bench.pass_time(2.2)
    assert bench.used() == 1 and bench.clock.monotonic() > deadline
    bench.pass_time(0.5)
    assert bench.used() == 0 and bench.forwarder.pending_cancellations == 0


def test_a_caller_that_disconnects_cancels_its_request_upstream(bench):
    caller = bench.stream()
    caller.gone.callback(None)
    assert len(bench.client.cancelled) == 1 and bench.used() == 1
    bench.client.stops[0].callback(True)
    assert bench.used() == 0
    assert len(bench.client.sent) == 1, "a request was retried after its caller disconnected"
    assert bench.metrics.counters["caller-left"] == 1


def test_a_queued_request_of_a_disconnected_caller_is_never_sent():
    bench = Bench(["m-1"])
    bench.stream()
    waiting = bench.stream()
    assert len(bench.client.sent) == 1
    waiting.gone.callback(None)
    assert waiting.outcome[0] == "failed"
    bench.client.answer().end()
    bench.pass_time(1)
    assert len(bench.client.sent) == 1


def test_a_queued_request_is_sent_when_the_slot_is_free():
    bench = Bench(["m-1"])
    first, second = bench.stream(), bench.stream()
    body = bench.client.answer()
    first.answers[0].body.deliver(None)
    body.end()
    assert len(bench.client.sent) == 2
    bench.client.answer()
    assert second.outcome == ("complete", 200)


def test_a_displaced_request_is_refused_at_once_and_counted_once():
    bench = Bench(["m-1"], max_queued=1)
    bench.stream()
    bulk = bench.stream(headers=(("x-priority", "bulk"),))
    bench.stream()
    bench.reactor.advance(0)
    assert bulk.outcome == ("refused", 503)
    assert bench.counted("refused.") == 1


@pytest.mark.parametrize("complete", [True, False])
def test_an_incomplete_answer_is_never_reported_as_complete(complete):
    bench = Bench(["m-1"])
    caller = bench.stream()
    body = bench.client.answer()
    over = []
    caller.answers[0].body.deliver(None).addCallback(over.append)
    body.end(complete=complete)
    assert over[0].complete == complete
    assert bench.used() == (0 if complete else 1)
    assert len(bench.client.cancelled) == (0 if complete else 1)


def test_an_aborted_answer_holds_its_slot_until_cancellation_is_confirmed():
    bench = Bench(["m-1"])
    caller = bench.stream()
    body = bench.client.answer()
    caller.answers[0].body.abort()
    caller.answers[0].body.abort()
    assert body.aborted and bench.used() == 1 and len(bench.client.cancelled) == 1
    bench.client.stops[0].callback(True)
    assert bench.used() == 0


def test_nothing_is_retried_after_the_deadline(bench):
    caller = bench.stream()
    bench.pass_time(2.1)
    bench.client.fail(not_run=False)
    assert len(bench.client.sent) == 1 and caller.outcome == ("failed", 502)


def test_a_request_queued_past_its_deadline_is_refused_and_not_sent():
    bench = Bench(["m-1"])
    bench.stream("POST", b"first")
    caller = bench.stream("POST", b"second")
    bench.pass_time(2.1)
    assert caller.outcome == ("refused", 503)
    assert [sent.body for sent in bench.client.sent] == [b"first"]


def test_the_complete_answer_of_an_operation_is_kept(bench):
    results = bench.collect()
    bench.client.answer(status=201).end(b"receipt")
    kept = KeptAnswer(201, (("content-type", "text/plain"),), b"receipt")
    assert results == [kept] and bench.used() == 0


def test_an_operation_with_an_incomplete_or_lost_answer_is_unknown_and_not_retried(bench):
    short, lost, unsent = bench.collect(), bench.collect(), bench.collect()
    bench.client.answer(0).end(b"rec", complete=False)
    bench.client.fail(not_run=False, at=1)
    assert isinstance(short[0], Unknown) and isinstance(lost[0], Unknown)
    assert len(bench.client.sent) == 3
    bench.client.fail(not_run=True, at=2)
    bench.pass_time(3)
    assert isinstance(unsent[0], Refusal)


def test_a_dispatch_without_a_waiting_request_releases_its_slot():
    bench = Bench(["m-1"])
    running = bench.stream()
    req, _ = bench.request()
    bench.router.submit(req)
    running.gone.callback(None)
    bench.client.stops[0].callback(True)
    assert bench.used() == 0 and len(bench.client.sent) == 1


def test_a_request_for_an_unknown_service_is_refused_without_using_a_slot(bench):
    head = RequestHead("GET", "/other", "", (), "127.0.0.1", 0, False)
    assert bench.forwarder.classify(head).error.reason is RefusalReason.NO_SERVICE
    assert bench.used() == 0
