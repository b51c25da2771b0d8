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
    """One connection to an app whose handler only records what it is given."""

    def __init__(self, handle=None, lookup=None):
        self.calls = []
        self.faults = []
        self.answers = []
        self.clock = Clock()
        self.app = CallersApp(lookup, handle or self.record, self.faults.append)
        self.transport = StringTransport()
        self.channel = self.app.factory(self.clock).buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def record(self, head, body, gone):
        self.calls.append((head, body, gone))
        self.answers.append(Deferred())
        return self.answers[-1]

    def receive(self, data):
        self.channel.dataReceived(data)

    def lose(self):
        self.channel.connectionLost(Failure(ConnectionDone()))

    def written(self):
        value = self.transport.value()
        self.transport.clear()
        return value


class ManualSource:
    """A streamed body that a test feeds by hand."""

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


def test_a_request_is_handled_when_its_head_is_there_and_pipelined_ones_wait_in_order():
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


def test_an_early_refusal_of_a_small_upload_keeps_the_connection_in_step():
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


def test_an_early_refusal_of_a_large_upload_closes_when_its_rest_takes_too_long():
    harness = Harness(lambda *_: succeed(to_answer(Refusal(RefusalReason.OVERLOAD))))
    harness.receive(POST + b"Content-Length: 9999999\r\n\r\n")
    assert b"Connection: close" in harness.written()
    harness.clock.advance(DISCARD_TIMEOUT_S - 1)
    assert not harness.transport.disconnecting
    harness.clock.advance(1)
    assert harness.transport.disconnected


def test_expectation_is_met_only_when_the_body_is_wanted():
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


def test_a_malformed_chunk_fails_the_body_and_writes_nothing_into_an_answer():
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


def test_a_body_shorter_than_announced_fails_and_tells_that_the_caller_has_gone():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 10\r\n\r\nabc")
    _, body, gone = harness.calls[0]
    result = body.collect(100)
    harness.lose()
    assert "after 3 bytes" in result.result.error and gone.called
    harness.answers[0].callback(text(b"too late"))
    assert harness.written() == b"" and harness.app.in_flight == 0


def test_bytes_beyond_the_announced_length_are_not_the_body_and_close_the_connection():
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
def test_a_bad_head_is_refused_once_and_never_handled(head, status):
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
def test_a_fault_of_the_handler_claims_nothing(fault):
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
def test_an_answer_cut_short_or_too_long_resets_the_connection(announced, sent, delivery):
    source = ManualSource()
    headers = (("content-length", announced),) if announced else ()
    harness = Harness(lambda *_: succeed(text(source, headers)))
    harness.receive(GET)
    source.consumer.write(sent)
    source.end(delivery)
    assert harness.transport.disconnected and not harness.written().endswith(b"0\r\n\r\n")
    assert harness.app.in_flight == 0


def test_a_streamed_answer_pauses_its_source_and_is_aborted_when_the_caller_goes():
    source = ManualSource()
    harness = Harness(lambda *_: succeed(text(source)))
    harness.receive(GET)
    source.consumer.write(b"abc")
    assert harness.written().endswith(b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    harness.transport.producer.pauseProducing()
    assert source.producer.pauseProducing.called
    harness.transport.producer.resumeProducing()
    assert source.producer.resumeProducing.called
    harness.lose()
    assert source.abort.called
    source.end(Delivery(False, 3, "aborted"))
    assert harness.app.in_flight == 0


def test_reading_stays_paused_for_a_full_upstream_when_the_answer_may_flow_again():
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
def test_answers_without_a_body_leave_the_connection_in_step(method, status):
    source = ManualSource()
    headers = (("content-length", "5"),) if status == 200 else ()
    harness = Harness(lambda *_: succeed(Answer(status, headers, source)))
    harness.receive(GET.replace(b"GET", method))
    written = harness.written()
    assert written.endswith(b"\r\n\r\n") and written.count(b"\r\n\r\n") == 1
    assert (b"content-length: 5" in written.lower()) == (status == 200)
    assert b"chunked" not in written and source.abort.called and harness.channel.idle


def test_hop_by_hop_headers_go_neither_way():
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


def test_closing_ends_connections_with_their_answers_and_drained_waits_for_them():
    harness = Harness()
    harness.receive(GET)
    harness.app.start_closing()
    drained = harness.app.drained()
    assert not drained.called and harness.app.in_flight == 1
    harness.answers[0].callback(text(b"ok"))
    assert drained.called and b"Connection: close" in harness.written()
    assert harness.transport.disconnecting
    gone = harness.app.disconnect()
    assert not gone.called
    harness.lose()
    assert gone.called


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
def test_a_head_that_has_begun_must_end_in_time_however_it_trickles(begin):
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


def test_a_head_whose_rest_came_while_the_process_was_busy_is_not_late():
    harness = Harness()
    harness.receive(POST)
    # The loop runs due timers first and then reads: the rest waits in the socket meanwhile.
    harness.clock.callLater(HEAD_TIMEOUT_S, harness.receive, b"\r\n")
    harness.clock.advance(HEAD_TIMEOUT_S + 1)
    assert len(harness.calls) == 1 and harness.written() == b""


def test_heads_are_held_to_the_size_that_was_set_the_request_line_apart():
    harness = Harness()
    harness.channel.set_head_limits(HeadLimits(64, 1))
    harness.receive(b"GET /" + b"x" * 100 + b" HTTP/1.1\r\nHost: a\r\n\r\n")
    assert len(harness.calls) == 1
    harness.answers[0].callback(text(b"ok"))
    harness.written()
    harness.receive(b"GET / HTTP/1.1\r\nHost: a\r\nB: " + b"x" * 64 + b"\r\n")
    assert harness.written().startswith(b"HTTP/1.1 431 ")


def test_a_head_may_be_larger_than_usual_where_that_was_set():
    harness = Harness()
    harness.channel.set_head_limits(HeadLimits(64 * 1024, 1))
    harness.receive(b"GET / HTTP/1.1\r\nHost: a\r\nB: " + b"x" * 30_000 + b"\r\n\r\n")
    assert len(harness.calls) == 1


def test_lookup_answers_json_and_refuses_a_malformed_client():
    asked = []

    def lookup(client):
        asked.append(client)
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
    assert asked == ["10.1.2.3", "10.0.0.9", "192.168.1.1"]
