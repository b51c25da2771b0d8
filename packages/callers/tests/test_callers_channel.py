"""The HTTP protocol of a caller's connection, on an in-memory transport."""

from datetime import timedelta
from unittest.mock import Mock

import msgspec
import pytest
from cardamomloft.callers.app import CallersApp
from cardamomloft.callers.channel import DISCARD_TIMEOUT_S, HEAD_TIMEOUT_S, HeadLimits
from cardamomloft.callers.exchange import Answer, Delivery, complete, failed, to_answer
from cardamomloft.callers.factory import IDLE_TIMEOUT_S
from cardamomloft.core.model import Refusal, RefusalReason, Unknown
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

POST = b"POST /orders HTTP/1.1\r\nHost: a\r\n"
GET = b"GET /menus?x=%ff HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class Harness:
    """One connection to an app whose handler records its arguments and answers on demand."""

    def __init__(self, handle=None, lookup=None):
        self.calls = []
        self.faults = []
        self.answers = []
        self.clock = Clock()
        self.app = CallersApp(lookup, handle or self.record, self.faults.append)
        self.transport = StringTransport()
        self.channel = self.app.factory(self.clock).buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def record(self, head, body, disconnected):
        self.calls.append((head, body, disconnected))
        self.answers.append(Deferred())
        return self.answers[-1]

    def receive(self, data):
        self.channel.dataReceived(data)

    def lose_connection(self):
        self.channel.connectionLost(Failure(ConnectionDone()))

    def written(self):
        value = self.transport.value()
        self.transport.clear()
        return value


class ManualSource:
    """A streamed body whose chunks and end the test controls."""

    def __init__(self):
        self.producer = Mock()
        self.abort = self.producer.stopProducing
        self.done = Deferred()

    def deliver(self, consumer):
        self.consumer = consumer
        consumer.registerProducer(self.producer, True)
        return self.done

    def end(self, delivery):
        self.consumer.unregisterProducer()
        self.done.callback(delivery)


def text(body, headers=()):
    return complete(200, headers, body)


def test_request_is_handled_before_its_body_arrives_and_pipelined_ones_wait():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 4\r\n\r\nab")
    head, body, _ = harness.calls[0]
    assert (head.method, head.path, head.length, body.received) == ("POST", "/orders", 4, 2)
    harness.receive(b"cd" + GET)
    assert len(harness.calls) == 1
    harness.answers[0].callback(text(b"first"))
    assert harness.written().endswith(b"first")
    assert harness.calls[1][0].query == "x=%ff"
    harness.answers[1].callback(text(b"second"))
    assert harness.written().endswith(b"second")
    assert harness.channel.idle and not harness.transport.disconnecting


def test_early_refusal_of_a_small_upload_keeps_the_connection_usable():
    refusal = Refusal(RefusalReason.OVERLOAD, retry_after=timedelta(milliseconds=1001))
    harness = Harness(lambda *_: succeed(to_answer(refusal)))
    harness.receive(POST + b"Content-Length: 40\r\n\r\n")
    refused = harness.written()
    assert refused.startswith(b"HTTP/1.1 503 ") and b"Connection: close" not in refused
    assert b"Retry-After: 2\r\n" in refused and b"Retry-After-Ms: 1001\r\n" in refused
    harness.receive(GET[:40].ljust(40, b"x"))
    assert harness.written() == b"" and harness.channel.idle
    harness.receive(GET)
    assert harness.written().startswith(b"HTTP/1.1 503 ")


def test_early_refusal_of_a_large_upload_closes_at_the_discard_timeout():
    harness = Harness(lambda *_: succeed(to_answer(Refusal(RefusalReason.OVERLOAD))))
    harness.receive(POST + b"Content-Length: 9999999\r\n\r\n")
    assert b"Connection: close" in harness.written()
    harness.clock.advance(DISCARD_TIMEOUT_S - 1)
    assert not harness.transport.disconnecting
    harness.clock.advance(1)
    assert harness.transport.disconnected


def test_pipelined_request_that_is_refused_at_once_behind_an_answer_causes_no_fault():
    first = Deferred()
    refusal = to_answer(Refusal(RefusalReason.SHED))
    harness = Harness(lambda head, *_: first if head.method == "POST" else succeed(refusal))
    harness.receive(POST + b"Content-Length: 0\r\n\r\n" + GET)
    first.callback(text(b"first"))
    written = harness.written()
    assert written.index(b"first") < written.index(b"HTTP/1.1 503 ")
    assert not harness.faults
    assert harness.channel.idle
    harness.receive(GET)
    assert harness.written().startswith(b"HTTP/1.1 503 ")


def test_empty_query_is_kept():
    harness = Harness()
    harness.receive(b"GET /menus/7? HTTP/1.1\r\nHost: a\r\n\r\n")
    head = harness.calls[0][0]
    assert (head.path, head.query, head.full_path) == ("/menus/7", "", "/menus/7?")


def test_100_continue_is_sent_only_when_the_body_is_consumed():
    harness = Harness()
    harness.receive(POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert harness.written() == b""
    result = harness.calls[0][1].collect(10)
    assert harness.written() == b"HTTP/1.1 100 Continue\r\n\r\n"
    harness.receive(b"ab")
    assert result.result.ok == b"ab"

    refusing = Harness(lambda *_: succeed(to_answer(Refusal(RefusalReason.SHED))))
    refusing.receive(POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    refused = refusing.written()
    assert refused.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in refused


def test_malformed_chunk_does_not_corrupt_an_answer_in_progress():
    source = ManualSource()
    answer = text(source, (("content-length", "4"),))
    harness = Harness(lambda *_: succeed(answer))
    harness.receive(POST + CHUNKED)
    source.consumer.write(b"ab")
    harness.written()
    harness.receive(b"zz\r\n")
    assert harness.written() == b""
    source.consumer.write(b"cd")
    source.end(Delivery(True, 4))
    assert harness.written() == b"cd" and harness.transport.disconnecting


def test_truncated_body_fails_and_notifies_the_handler():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 10\r\n\r\nabc")
    _, body, disconnected = harness.calls[0]
    result = body.collect(100)
    harness.lose_connection()
    assert "after 3 bytes" in result.result.error and disconnected.called
    harness.answers[0].callback(text(b"too late"))
    assert harness.written() == b"" and harness.app.in_flight == 0


def test_bytes_beyond_the_content_length_are_rejected_and_close_the_connection():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 2\r\n\r\nabEXTRA\r\n\r\n")
    result = harness.calls[0][1].collect(10)
    harness.answers[0].callback(text(b"done"))
    written = harness.written()
    assert result.result.ok == b"ab"
    assert written.count(b"HTTP/1.1") == 2 and b"done" in written
    assert b"HTTP/1.1 400 " in written and harness.transport.disconnecting


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 200, 431),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000 + b"\r\n", 431),
        (b"GET /" + b"x" * 20_000, 431),
        (b"GET / HTTP/1.0\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    ],
)
def test_invalid_head_is_refused_once_and_never_handled(head, status):
    harness = Harness()
    harness.receive(head)
    harness.receive(GET if status != 400 else b"")
    written = harness.written()
    assert written.startswith(b"HTTP/1.1 %d " % status) and written.count(b"HTTP/1.1") == 1
    assert b"Cardamomloft-Outcome: refused" in written and harness.calls == []


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (to_answer(Unknown("sent, no answer")), 504, b"unknown"),
        (failed("cut short"), 502, b"failed"),
        (to_answer(Refusal(RefusalReason.RULE)), 403, b"refused"),
        (to_answer(Refusal(RefusalReason.EXPIRED)), 410, b"refused"),
        (to_answer(Refusal(RefusalReason.OPERATION_REUSED)), 422, b"refused"),
        (to_answer(Refusal(RefusalReason.TOO_LARGE)), 413, b"refused"),
        (to_answer(Refusal(RefusalReason.CLAIM_BUDGET)), 429, b"refused"),
        (text(b"", (("cardamomloft-outcome", "refused"),)), 200, b"complete"),
    ],
)
def test_status_and_outcome_header_of_each_outcome(outcome, status, name):
    harness = Harness(lambda *_: succeed(outcome))
    harness.receive(GET)
    written = harness.written()
    assert written.startswith(b"HTTP/1.1 %d " % status)
    assert written.lower().count(b"cardamomloft-outcome: ") == 1
    assert b"Cardamomloft-Outcome: " + name in written


@pytest.mark.parametrize("fault", [ValueError("bug"), None])
def test_handler_error_gives_500_with_unknown_outcome(fault):
    def handle(*_):
        if fault is not None:
            raise fault
        return succeed("not an answer")

    harness = Harness(handle)
    harness.receive(GET)
    written = harness.written()
    assert written.startswith(b"HTTP/1.1 500 ") and b"Cardamomloft-Outcome: unknown" in written
    assert harness.faults and harness.app.in_flight == 0


@pytest.mark.parametrize(
    ("announced", "sent", "delivery"),
    [
        ("6", b"abc", Delivery(False, 3, "cut short")),
        (None, b"abc", Delivery(False, 3, "cut short")),
        ("6", b"abc", Delivery(True, 3)),
        ("2", b"abc", Delivery(True, 3)),
    ],
)
def test_answer_of_the_wrong_length_resets_the_connection(announced, sent, delivery):
    source = ManualSource()
    headers = (("content-length", announced),) if announced else ()
    harness = Harness(lambda *_: succeed(text(source, headers)))
    harness.receive(GET)
    source.consumer.write(sent)
    source.end(delivery)
    assert harness.transport.disconnected and not harness.written().endswith(b"0\r\n\r\n")
    assert harness.app.in_flight == 0


def test_streamed_answer_pauses_its_source_and_is_aborted_on_disconnect():
    source = ManualSource()
    harness = Harness(lambda *_: succeed(text(source)))
    harness.receive(GET)
    source.consumer.write(b"abc")
    assert harness.written().endswith(b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    harness.transport.producer.pauseProducing()
    assert source.producer.pauseProducing.called
    harness.transport.producer.resumeProducing()
    assert source.producer.resumeProducing.called
    harness.lose_connection()
    assert source.abort.called
    source.end(Delivery(False, 3, "aborted"))
    assert harness.app.in_flight == 0


def test_resumed_answer_does_not_resume_reading_for_a_paused_upstream():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 999999\r\n\r\n")
    _, body, _ = harness.calls[0]
    body.startProducing(Mock(write=lambda data: body.pauseProducing()))
    harness.receive(b"x")
    assert harness.transport.producerState == "paused"
    harness.transport.producer.pauseProducing()
    harness.transport.producer.resumeProducing()
    assert harness.transport.producerState == "paused"
    body.resumeProducing()
    assert harness.transport.producerState == "producing"


@pytest.mark.parametrize(("method", "status"), [(b"HEAD", 200), (b"GET", 204), (b"GET", 304)])
def test_answers_without_a_body_keep_the_connection_usable(method, status):
    source = ManualSource()
    headers = (("content-length", "5"),) if status == 200 else ()
    harness = Harness(lambda *_: succeed(Answer(status, headers, source)))
    harness.receive(GET.replace(b"GET", method))
    written = harness.written()
    assert written.endswith(b"\r\n\r\n") and written.count(b"\r\n\r\n") == 1
    assert (b"content-length: 5" in written.lower()) == (status == 200)
    assert b"chunked" not in written and source.abort.called and harness.channel.idle


def test_hop_by_hop_headers_are_removed_in_both_directions():
    answer = text(b"", (("Connection", "x-mine"), ("X-Mine", "1"), ("Kept", "1"), ("TE", "a")))
    harness = Harness()
    harness.receive(
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: b\r\n"
        b"Kept: 2\r\nUpgrade: h2c\r\n\r\n"
    )
    assert harness.calls[0][0].headers == (("host", "a"), ("kept", "2"))
    harness.answers[0].callback(answer)
    written = harness.written().lower()
    assert b"kept: 1" in written
    assert not any(name in written for name in (b"x-mine", b"te:", b"connection:"))


def test_closing_ends_connections_after_their_answers_and_drained_waits():
    harness = Harness()
    harness.receive(GET)
    harness.app.start_closing()
    drained = harness.app.drained()
    assert not drained.called and harness.app.in_flight == 1
    harness.answers[0].callback(text(b"ok"))
    assert drained.called and b"Connection: close" in harness.written()
    assert harness.transport.disconnecting
    closed = harness.app.disconnect()
    assert not closed.called
    harness.lose_connection()
    assert closed.called


def test_idle_timeout_runs_between_requests_but_not_during_one():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 2\r\n\r\n")
    harness.clock.advance(IDLE_TIMEOUT_S + 1)
    assert not harness.transport.disconnecting
    harness.receive(b"ab")
    harness.answers[0].callback(text(b"ok"))
    harness.clock.advance(IDLE_TIMEOUT_S + 1)
    assert harness.transport.disconnecting


@pytest.mark.parametrize("begin", [b"GE", POST, b"", GET + b"GET /"])
def test_slowly_sent_head_is_refused_at_the_head_timeout(begin):
    harness = Harness()
    harness.receive(begin)
    if harness.answers:
        harness.answers[0].callback(text(b"ok"))
        harness.written()
    for _ in range(HEAD_TIMEOUT_S + 1):
        harness.clock.advance(1)
        if begin and not harness.transport.disconnecting:
            harness.receive(b"x")
    harness.clock.advance(0)
    refused = harness.written().startswith(b"HTTP/1.1 408 ")
    assert refused == bool(begin) and harness.transport.disconnecting == bool(begin)


def test_head_received_while_the_event_loop_was_busy_does_not_time_out():
    harness = Harness()
    harness.receive(POST)
    # The event loop runs due timers before it reads the rest of the head from the socket.
    harness.clock.callLater(HEAD_TIMEOUT_S, harness.receive, b"\r\n")
    harness.clock.advance(HEAD_TIMEOUT_S + 1)
    assert len(harness.calls) == 1 and harness.written() == b""


def test_head_size_limit_does_not_count_the_request_line():
    harness = Harness()
    harness.channel.set_head_limits(HeadLimits(64, 1))
    harness.receive(b"GET /" + b"x" * 100 + b" HTTP/1.1\r\nHost: a\r\n\r\n")
    assert len(harness.calls) == 1
    harness.answers[0].callback(text(b"ok"))
    harness.written()
    harness.receive(b"GET / HTTP/1.1\r\nHost: a\r\nB: " + b"x" * 64 + b"\r\n")
    assert harness.written().startswith(b"HTTP/1.1 431 ")


def test_head_size_limit_can_be_raised_above_the_default():
    harness = Harness()
    harness.channel.set_head_limits(HeadLimits(64 * 1024, 1))
    harness.receive(b"GET / HTTP/1.1\r\nHost: a\r\nB: " + b"x" * 30_000 + b"\r\n\r\n")
    assert len(harness.calls) == 1


def test_lookup_returns_json_and_refuses_an_invalid_client():
    looked_up = []

    def lookup(client):
        looked_up.append(client)
        if client == "10.0.0.9":
            return Refusal(RefusalReason.NOT_READY)
        return {"site": "kingston", "entries": [], "valid_ms": 2500}

    harness = Harness(lookup=lookup)
    written = []
    for query in (b"?client=10.1.2.3", b"?a=b&client=10.0.0.9", b"?client=10.1.2", b""):
        harness.receive(b"GET /lookup" + query + b" HTTP/1.1\r\nHost: a\r\n\r\n")
        written.append(harness.written())
    assert b"Cache-Control: max-age=2" in written[0]
    assert msgspec.json.decode(written[0].partition(b"\r\n\r\n")[2])["site"] == "kingston"
    assert written[1].startswith(b"HTTP/1.1 503 ") and b"entry-not-ready" in written[1]
    assert written[2].startswith(b"HTTP/1.1 400 ")
    assert looked_up == ["10.1.2.3", "10.0.0.9", "192.168.1.1"]
