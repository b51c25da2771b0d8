"""Requests to upstreams: what may have run, complete bodies, and connection reuse."""

from datetime import timedelta
from unittest.mock import Mock

import pytest
from cardamomloft.core.model import Endpoint
from cardamomloft.runtime.answers.grammar import MAX_ANSWER_HEAD_BYTES
from cardamomloft.upstreams.body import Delivery
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.connections import IDLE_TIMEOUT_S
from cardamomloft.upstreams.sends import EndedBy, SendFailure, UpstreamRequest
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

ENDPOINT = Endpoint("u1", "menus", "kingston-a", "kingston", "127.0.0.1:8001", 4, 360)
PATH = "/menus?a=%ff"
SECOND = timedelta(seconds=1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Wire:
    """The upstream's end of one connection."""

    def __init__(self, factory):
        self.transport = StringTransport()
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def send(self, data):
        self.protocol.dataReceived(data)

    def close(self):
        self.protocol.connectionLost(Failure(ConnectionDone()))

    def received(self):
        return self.transport.value()


def streamed():
    """Return a request body that the test writes step by step."""
    return Mock(length=100, **{"startProducing.return_value": Deferred()})


def consumer_of(upload):
    return upload.startProducing.call_args[0][0]


class Harness:
    def __init__(self, **options):
        self.reactor = MemoryReactorClock()
        self.client = UpstreamClient(self.reactor, **options)

    def send(
        self, *, body=None, method="GET", idempotent=True, request_id="r1", path=PATH, **options
    ):
        headers = (("host", "shop"), ("content-length", "9"), ("idempotency-key", "k1"))
        req = UpstreamRequest(
            ENDPOINT, method, path, headers, body, SECOND, request_id, idempotent, **options
        )
        return self.client.send(req)

    def connect(self):
        return Wire(self.reactor.tcpClients[-1][2])

    def refuse(self, reason):
        self.reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(reason))


def delivered(result):
    sink = StringTransport()
    return result.result.ok.body.deliver(sink), sink


@pytest.mark.parametrize("reason", [ConnectionRefusedError(), TimeoutError()])
def test_a_request_is_not_run_if_the_connection_fails(reason):
    harness = Harness()
    result = harness.send()
    harness.refuse(reason)
    assert result.result.error.not_run and not harness.client.in_flight


def test_a_request_is_not_run_if_it_ends_before_the_connection():
    harness = Harness()
    late, cancelled = harness.send(), harness.send()
    cancelled.cancel()
    harness.reactor.advance(1)
    assert late.result.error == SendFailure(True, "deadline passed", ended_by=EndedBy.DEADLINE)
    assert cancelled.result.error == SendFailure(True, "cancelled", ended_by=EndedBy.CALLER)


def test_failure_tells_for_how_long_the_upstream_had_the_request_on_a_reused_connection():
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(OK)
    assert delivered(result)[1].value() == b"ok"
    harness.reactor.advance(0.5)
    result = harness.send(request_id="r2")
    harness.reactor.advance(0.25)
    wire.close()
    failure = result.result.error
    assert (failure.ended_by, failure.held) == (EndedBy.CONNECTION, timedelta(seconds=0.25))


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nA: b\r\n", b"x\r\n"])
def test_a_request_may_have_run_if_the_connection_is_lost_before_the_head(answer):
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(answer)
    wire.close()
    assert not result.result.error.not_run and not harness.client.in_flight


@pytest.mark.parametrize("reason", [ConnectionDone(), ConnectionLost()])
@pytest.mark.parametrize(("answer", "cut"), [(b"", True), (b"HTTP/1.1 20", True), (OK[:-1], False)])
def test_only_a_connection_lost_before_the_answer_counts_as_cut(reason, answer, cut):
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(answer)
    wire.protocol.connectionLost(Failure(reason))
    assert (result.result.is_error() and result.result.error.cut) == cut


def test_timeouts_cancellations_and_malformed_answers_do_not_count_as_cut():
    harness = Harness()
    late, cancelled, malformed = harness.send(), harness.send(), harness.send()
    wires = [Wire(factory) for _, _, factory, *_ in harness.reactor.tcpClients]
    wires[2].send(b"x\r\n\r\n")
    cancelled.cancel()
    harness.reactor.advance(1)
    for result in (late, cancelled, malformed):
        assert not result.result.error.not_run
        assert not result.result.error.cut


def test_only_an_exchange_without_a_connection_is_aborted_by_a_suspicion():
    harness = Harness()
    sent = harness.send()
    wire = harness.connect()
    unsent = harness.send(request_id="r2")
    assert harness.client.abort_unsent("silent", ["10.0.0.9:80"]) == 0
    assert harness.client.abort_unsent("silent", [ENDPOINT.address]) == 1
    failure = SendFailure(True, "silent", unreachable=True, ended_by=EndedBy.SUSPICION)
    assert unsent.result.error == failure
    wire.send(OK)
    assert delivered(sent)[1].value() == b"ok"


def test_suspicions_are_told_while_an_answer_is_awaited_and_end_nothing():
    harness = Harness()
    evidence = []
    result = harness.send(on_suspected=evidence.append)
    assert harness.client.suspect("not sent yet") == 0
    wire = harness.connect()
    assert harness.client.suspect("elsewhere", ["10.0.0.9:80"]) == 0
    assert harness.client.suspect("silent", [ENDPOINT.address]) == 1
    assert harness.client.suspect("still silent") == 1
    wire.send(OK)
    assert harness.client.suspect("answered") == 0
    assert evidence == ["silent", "still silent"]
    assert delivered(result)[1].value() == b"ok"


def test_a_late_answer_after_a_timeout_is_discarded():
    harness = Harness()
    result = harness.send()
    harness.reactor.advance(0.25)
    first = harness.connect()
    harness.reactor.advance(0.75)
    held = timedelta(seconds=0.75)
    failure = SendFailure(False, "deadline passed", ended_by=EndedBy.DEADLINE, held=held)
    assert result.result.error == failure
    assert first.transport.disconnected
    after = harness.send(request_id="r2")
    second = harness.connect()
    first.send(OK)
    assert not after.called and second is not first
    second.send(OK.replace(b"ok", b"k2"))
    assert delivered(after)[1].value() == b"k2"


def test_an_aborted_upload_resets_the_connection_and_may_have_run():
    harness = Harness()
    upload = streamed()
    result = harness.send(body=upload, method="POST")
    wire = harness.connect()
    consumer_of(upload).write(b"part")
    upload.startProducing.return_value.errback(ValueError("caller left"))
    failure = result.result.error
    assert not failure.not_run and "caller left" in failure.detail
    assert wire.transport.disconnected


@pytest.mark.parametrize(
    ("status", "header", "not_run"),
    [(503, b"X-Not-Run: 1\r\n", True), (503, b"", False), (500, b"X-Not-Run: 1\r\n", False)],
)
def test_only_a_definite_refusal_of_the_upstream_is_not_run(status, header, not_run):
    harness = Harness()
    result = harness.send()
    head = b"HTTP/1.1 %d Busy\r\n%bContent-Length: 0\r\n\r\n" % (status, header)
    harness.connect().send(head)
    assert result.result.ok.not_run is not_run


def test_the_request_has_its_id_its_deadline_and_a_single_framing():
    harness = Harness()
    harness.send(body=b"12345", method="POST")
    request = harness.connect().received().lower()
    assert request.startswith(b"post /menus?a=%ff http/1.1\r\n") and request.endswith(
        b"\r\n\r\n12345"
    )
    for line in (b"x-request-id: r1", b"x-deadline-ms: 1000", b"idempotency-key: k1"):
        assert line in request
    assert request.count(b"content-length") == 1 and request.count(b"host: shop") == 1


@pytest.mark.parametrize(
    ("answer", "complete", "body"),
    [
        (OK, True, b"ok"),
        (OK[:-1], False, b"o"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", True, b"ok"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", False, b"ok"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", False, b"ok"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok", False, b""),
        (b"HTTP/1.1 200 OK\r\n\r\nok", False, b"ok"),
        (b"HTTP/1.1 204 Done\r\n\r\n", True, b""),
    ],
)
def test_a_body_is_complete_only_with_its_announced_end(answer, complete, body):
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(answer)
    delivery, sink = delivered(result)
    wire.close()
    assert delivery.result.complete is complete and sink.value() == body
    assert not harness.client.in_flight


def test_collect_returns_the_body_or_an_error():
    harness = Harness()
    results = []
    for limit in (2, 1):
        result = harness.send(idempotent=False)
        harness.connect().send(OK)
        result.result.ok.body.collect(limit).addCallback(results.append)
    assert results[0].ok == b"ok" and "exceeds 1" in results[1].error


def test_the_deadline_covers_the_body():
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(OK[:-1])
    delivery, _ = delivered(result)
    harness.reactor.advance(1)
    assert delivery.result == Delivery(False, 1, "deadline passed", expired=True)
    assert wire.transport.disconnected and not harness.client.in_flight


def test_a_slow_consumer_pauses_reading_from_the_upstream():
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
    assert wire.transport.producerState == "paused"
    _, sink = delivered(result)
    assert wire.transport.producerState == "producing"
    sink.producer.pauseProducing()
    assert wire.transport.producerState == "paused"
    sink.producer.resumeProducing()
    assert wire.transport.producerState == "producing"


@pytest.mark.parametrize(
    ("idempotent", "pause", "connections"),
    [(True, 0, 1), (True, IDLE_TIMEOUT_S, 2), (False, 0, 2)],
)
def test_only_idempotent_requests_reuse_an_idle_connection(idempotent, pause, connections):
    harness = Harness()
    first = harness.send(idempotent=idempotent)
    wire = harness.connect()
    wire.send(OK)
    assert delivered(first)[0].result.complete
    harness.reactor.advance(pause)
    assert wire.transport.disconnecting is bool(pause)
    harness.send(idempotent=idempotent)
    assert len(harness.reactor.tcpClients) == connections


@pytest.mark.parametrize("extra", [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", b"H"])
@pytest.mark.parametrize("together", [True, False])
def test_extra_data_is_never_taken_as_the_answer_to_the_next_request(extra, together):
    harness = Harness()
    first = harness.send()
    wire = harness.connect()
    wire.send(OK + extra if together else OK)
    assert delivered(first)[1].value() == b"ok"
    if not together:
        wire.send(extra)
    second = harness.send(request_id="r2")
    assert len(harness.reactor.tcpClients) == 2
    harness.connect().send(OK.replace(b"ok", b"k2"))
    assert delivered(second)[1].value() == b"k2"


@pytest.mark.parametrize(
    ("begin", "more"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"A: " + b"b" * 1000 + b"\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50),
    ],
    ids=["header lines", "interim answers"],
)
def test_answer_whose_head_has_no_end_is_given_up(begin, more):
    """Guards against endpoints that fill a gateway's memory with a head."""
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    wire.send(begin)
    sent = 0
    while not wire.transport.disconnected and sent < 10 * MAX_ANSWER_HEAD_BYTES:
        wire.send(more)
        sent += len(more)
    assert sent <= MAX_ANSWER_HEAD_BYTES + len(more)
    wire.close()
    assert not result.result.error.not_run
    assert not harness.client.in_flight


@pytest.mark.parametrize(
    "answer",
    [b"no answer\r\n", b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * MAX_ANSWER_HEAD_BYTES],
    ids=["malformed", "without end"],
)
def test_upload_ends_at_once_if_its_endpoint_sends_no_answer(answer):
    """Guards against uploads that wait for their deadline after bytes that are no answer."""
    harness = Harness()
    body = streamed()
    result = harness.send(body=body, method="POST")
    wire = harness.connect()
    wire.send(answer)
    assert body.stopProducing.called
    assert wire.transport.disconnected
    wire.close()
    assert not result.result.error.not_run
    assert not harness.client.in_flight


def test_answer_with_a_long_head_and_body_is_taken():
    harness = Harness()
    result = harness.send()
    wire = harness.connect()
    lines = b"A: b\r\n" * (MAX_ANSWER_HEAD_BYTES // 8)
    wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n" + lines + b"\r\n")
    delivery, sink = delivered(result)
    for _ in range(10):
        wire.send(b"x" * 10_000)
    assert delivery.result.complete and len(sink.value()) == 100_000


def test_an_answer_with_another_request_id_is_rejected():
    harness = Harness()
    result = harness.send(request_id="r2")
    wire = harness.connect()
    wire.send(OK.replace(b"\r\n\r\n", b"\r\nX-Request-Id: r1\r\n\r\n"))
    detail, held = "answer to another request: r1", timedelta(0)
    assert result.result.error == SendFailure(False, detail, ended_by=EndedBy.ANSWER, held=held)
    assert wire.transport.disconnected and not harness.client.in_flight


def test_an_abort_after_the_end_does_not_affect_the_next_request():
    harness = Harness()
    first = harness.send()
    wire = harness.connect()
    wire.send(b"HTTP/1.1 204 Done\r\n\r\n")
    second = harness.send(request_id="r2")
    first.result.ok.body.abort()
    assert len(harness.reactor.tcpClients) == 1 and not wire.transport.disconnected
    wire.send(OK)
    assert delivered(second)[1].value() == b"ok"


@pytest.mark.parametrize("body", [b"2\r\nno\r\n0\r\n\r\n", b""])
def test_an_early_refusal_is_delivered_and_stops_the_upload(body):
    harness = Harness()
    upload = streamed()
    result = harness.send(body=upload, method="POST")
    wire = harness.connect()
    framing = b"Transfer-Encoding: chunked" if body else b"Content-Length: 0"
    wire.send(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" + framing + b"\r\n\r\n" + body)
    assert result.result.ok.not_run and upload.stopProducing.called
    delivery, sink = delivered(result)
    assert delivery.result.complete and sink.value() == (b"no" if body else b"")
    # An upstream that reads no further must not keep the connection open.
    assert wire.transport.disconnected
    harness.send()
    assert len(harness.reactor.tcpClients) == 2


TARGETS = [
    "/menus?",
    "/menus;",
    "/menus;?",
    "/a//b/",
    "//menus",
    "/menus?a=%ff#x",
    "/menus?a&&b=",
    "/",
]


@pytest.mark.parametrize("target", TARGETS)
def test_target_is_sent_as_it_is(target):
    harness = Harness()
    harness.send(path=target)
    assert harness.connect().received().startswith(f"GET {target} HTTP/1.1\r\n".encode())


def test_an_early_success_does_not_stop_the_upload():
    harness = Harness()
    upload = streamed()
    result = harness.send(body=upload, method="POST")
    wire = harness.connect()
    wire.send(OK)
    assert not upload.stopProducing.called
    consumer_of(upload).write(b"x" * 100)
    upload.startProducing.return_value.callback(None)
    assert wire.received().endswith(b"x" * 100)
    assert delivered(result)[1].value() == b"ok"


@pytest.mark.parametrize("extra", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"])
def test_connection_stays_open_until_an_upload_that_was_answered_early_is_sent_whole(extra):
    """Guards against uploads that are acknowledged and cut short."""
    harness = Harness()
    upload = streamed()
    result = harness.send(body=upload, method="POST")
    wire = harness.connect()
    wire.send(OK)
    assert delivered(result)[0].result.complete
    consumer_of(upload).write(b"x" * 60)
    wire.send(extra)
    assert not wire.transport.disconnecting
    consumer_of(upload).write(b"x" * 40)
    upload.startProducing.return_value.callback(None)
    assert wire.received().endswith(b"x" * 100)
    assert wire.transport.disconnecting
    assert not upload.stopProducing.called
    harness.send()
    assert len(harness.reactor.tcpClients) == 2


def test_rest_of_an_upload_that_fails_after_an_early_answer_resets_the_connection():
    harness = Harness()
    upload = streamed()
    result = harness.send(body=upload, method="POST")
    wire = harness.connect()
    wire.send(OK)
    assert delivered(result)[0].result.complete
    upload.startProducing.return_value.errback(ValueError("the caller has left"))
    assert wire.transport.disconnected


def test_upload_that_its_endpoint_stops_reading_after_an_early_answer_ends():
    harness = Harness()
    upload = streamed()
    result = harness.send(body=upload, method="POST")
    wire = harness.connect()
    wire.send(OK)
    assert delivered(result)[0].result.complete
    wire.close()
    assert not harness.client.in_flight


def test_requests_beyond_the_in_flight_limit_are_not_run():
    harness = Harness(max_in_flight=1)
    harness.send()
    assert harness.send().result.error.not_run
    assert len(harness.reactor.tcpClients) == 1


@pytest.mark.parametrize(
    ("status", "body", "stopped", "load"),
    [
        (200, b'{"running": false}', True, None),
        (200, b'{"running": true}', False, None),
        (500, b'{"running": false}', False, None),
        (200, b"{}", False, None),
        (200, b'{"running": 2, "slots": 4, "state": "cold"}', False, (2, 4, "cold")),
        (200, b'{"running": 2, "slots": 4, "state": "odd"}', False, None),
    ],
)
def test_control_answers_are_accepted_only_if_well_formed(status, body, stopped, load):
    harness = Harness()
    answer = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
    cancelled = harness.client.cancel(ENDPOINT, "r1")
    wire = harness.connect()
    wire.send(answer)
    assert wire.received().startswith(b"DELETE /-/requests/r1 ") and cancelled.result is stopped
    wire.close()
    polled = harness.client.poll(ENDPOINT)
    harness.connect().send(answer)
    assert (tuple(polled.result.ok) if polled.result.is_ok() else None) == load


def test_a_poll_without_an_answer_times_out_and_resets_the_connection():
    harness = Harness()
    polled = harness.client.poll(ENDPOINT, timedelta(milliseconds=500))
    wire = harness.connect()
    harness.reactor.advance(0.5)
    assert polled.result.is_error() and wire.transport.disconnected
