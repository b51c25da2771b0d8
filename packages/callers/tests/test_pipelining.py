"""Pipelined requests on one connection: concurrency, order of answers, limits and disconnects."""

import re

import pytest
from cardamomloft.callers import pipelining
from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.exchange import Delivery, complete, to_answer
from cardamomloft.callers.pipelining import (
    MAX_REQUESTS_PER_CONNECTION,
    PipelineBudget,
    PipelineUsage,
    may_read_next,
)
from cardamomloft.core.model import Refusal, RefusalReason
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.trial.unittest import TestCase


def get(name):
    return b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % name


def post(name, size=4):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % (name, size) + b"x" * size


def chunked(name):
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head % name + b"2\r\nxx\r\n0\r\n\r\n"


class RecordingMeter:
    def __init__(self):
        self.recorded = []

    def count(self, name):
        self.recorded.append(name)

    def observe(self, name, took):
        self.recorded.append((name, took.total_seconds()))


class Connection:
    """One connection to an app whose requests the test answers by their number."""

    def __init__(self, app=None):
        self.order = []
        self.answers = {}
        self.bodies = {}
        self.disconnected = set()
        self.clock = Clock()
        self.meter = RecordingMeter()
        self.app = app or CallersApp(None, self.handle, self.fail, meter=self.meter)
        self.factory = self.app.factory(self.clock)
        self.transport = StringTransport()
        self.channel = self.factory.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def fail(self, failure):
        raise AssertionError(failure.getTraceback())

    def handle(self, head, body, disconnected):
        name = int(head.path[1:])
        self.order.append(name)
        self.bodies[name] = body.collect(1_000_000)
        self.answers[name] = Deferred()
        disconnected.addCallback(lambda _: self.disconnected.add(name))
        return self.answers[name]

    def receive(self, data):
        self.channel.dataReceived(data)

    def answer(self, name, body=None):
        self.answers[name].callback(complete(200, (), body or b"<%d>" % name))

    def lose_connection(self):
        self.channel.connectionLost(Failure(ConnectionDone()))

    def answered(self):
        return [int(name) for name in re.findall(rb"<(\d+)>", self.transport.value())]


def test_requests_run_concurrently_and_are_answered_in_order():
    conn = Connection()
    conn.receive(get(1) + get(2) + get(3)[:10])
    assert conn.order == [1, 2]
    conn.receive(get(3)[10:])
    assert conn.order == [1, 2, 3] and conn.factory.pipeline_budget.requests == 2
    conn.answer(3)
    assert conn.answered() == [] and conn.factory.pipeline_budget.held_bytes == 3
    conn.answer(1)
    assert conn.answered() == [1] and conn.factory.pipeline_budget.requests == 1
    conn.answer(2)
    assert conn.answered() == [1, 2, 3] and not conn.transport.disconnecting
    assert (conn.factory.pipeline_budget.requests, conn.factory.pipeline_budget.held_bytes) == (
        0,
        0,
    )
    assert conn.meter.recorded == ["pipelined.beside"] * 2
    conn.receive(get(4))
    conn.answer(4)
    assert conn.answered() == [1, 2, 3, 4]


@pytest.mark.parametrize("first", [post(1), chunked(1)])
def test_requests_behind_a_non_idempotent_request_wait(first):
    conn = Connection()
    conn.receive(first + get(2))
    assert conn.order == [1]
    conn.clock.advance(0.5)
    conn.answer(1)
    assert conn.order == [1, 2] and conn.answered() == [1]
    conn.answer(2)
    assert conn.answered() == [1, 2]


def test_non_idempotent_request_waits_for_all_before_it():
    conn = Connection()
    conn.receive(get(1) + get(2) + post(3) + get(4))
    conn.answer(2)
    assert conn.order == [1, 2]
    conn.answer(1)
    assert conn.order == [1, 2, 3] and conn.bodies[3].result.ok == b"xxxx"
    conn.answer(3)
    assert conn.order == [1, 2, 3, 4]


def test_body_of_a_waiting_request_is_bounded_by_pausing_the_connection():
    conn = Connection()
    conn.receive(get(1) + post(2, 200_000)[:100_000])
    assert conn.order == [1] and conn.transport.producerState == "paused"
    conn.answer(1)
    assert conn.order == [1, 2] and conn.transport.producerState == "producing"


def test_time_that_a_request_waited_unread_is_recorded():
    conn = Connection()
    conn.receive(post(1) + get(2))
    conn.clock.advance(0.75)
    conn.answer(1)
    assert conn.meter.recorded == ["pipelined.waited", ("pipelined.wait", 0.75)]


def test_disconnect_cancels_all_pipelined_requests():
    conn = Connection()
    conn.receive(get(1) + get(2) + get(3) + post(4))
    conn.answer(2)
    conn.lose_connection()
    assert conn.disconnected == {1, 2, 3} and conn.order == [1, 2, 3]
    conn.answer(1)
    conn.answer(3)
    assert conn.app.in_flight == 0
    assert (conn.factory.pipeline_budget.requests, conn.factory.pipeline_budget.held_bytes) == (
        0,
        0,
    )


def test_only_the_last_answer_closes_the_connection_during_shutdown():
    conn = Connection()
    conn.receive(get(1) + get(2))
    conn.app.start_closing()
    conn.receive(get(3))
    conn.answer(2)
    conn.answer(1)
    assert conn.order == [1, 2] and conn.answered() == [1, 2]
    assert conn.transport.value().count(b"Connection: close") == 1
    assert conn.transport.disconnecting and conn.app.in_flight == 0


def test_connection_close_request_gets_all_answers_before_the_close():
    conn = Connection()
    last = get(2).replace(b"Host: a", b"Host: a\r\nConnection: close")
    conn.receive(get(1) + last + get(3))
    conn.answer(2)
    assert not conn.transport.disconnecting
    conn.answer(1)
    assert conn.order == [1, 2] and conn.answered() == [1, 2] and conn.transport.disconnecting


@pytest.mark.parametrize("bad", [b"bad\r\n\r\n", b"GET /3 HTTP/1.1\r\nno colon\r\n\r\n"])
def test_malformed_head_does_not_corrupt_the_answers_before_it(bad):
    conn = Connection()
    conn.receive(get(1) + get(2) + bad + get(4))
    assert conn.order == [1, 2] and conn.transport.value() == b""
    conn.answer(2)
    conn.answer(1)
    written = conn.transport.value()
    assert conn.answered() == [1, 2] and written.count(b"HTTP/1.1 400") == 1
    assert written.index(b"<2>") < written.index(b"HTTP/1.1 400") and conn.transport.disconnecting
    assert b"Connection: close" not in written[: written.index(b"HTTP/1.1 400")]


def test_refusal_without_a_handler_is_written_in_order():
    conn = Connection()
    conn.receive(get(1) + get(2).replace(b"Host: a", b"Host: a\r\nHost: b"))
    assert conn.transport.value() == b""
    conn.answer(1)
    assert conn.transport.value().index(b"<1>") < conn.transport.value().index(b"HTTP/1.1 400")


def test_refused_request_does_not_close_the_connection():
    conn = Connection()
    conn.receive(get(1) + get(2) + get(3))
    conn.answers[2].callback(to_answer(Refusal(RefusalReason.OVERLOAD)))
    conn.answer(3)
    conn.answer(1)
    assert conn.answered() == [1, 3] and not conn.transport.disconnecting


class Source:
    """A streamed body that records whether it was delivered or aborted."""

    def __init__(self):
        self.consumer = None
        self.aborted = False
        self.done = Deferred()

    def deliver(self, consumer):
        self.consumer = consumer
        return self.done

    def abort(self):
        self.aborted = True


def test_streamed_answer_starts_only_in_its_turn():
    conn, source = Connection(), Source()
    conn.receive(get(1) + get(2))
    conn.answer(2, source)
    assert source.consumer is None
    conn.answer(1)
    source.consumer.write(b"<2>")
    source.done.callback(Delivery(True, 3))
    assert conn.answered() == [1, 2]

    conn, source = Connection(), Source()
    conn.receive(get(1) + get(2))
    conn.answer(2, source)
    conn.lose_connection()
    assert source.aborted and source.consumer is None


def test_connection_stops_reading_at_its_limits():
    conn = Connection()
    conn.receive(b"".join(get(name) for name in range(MAX_REQUESTS_PER_CONNECTION + 3)))
    assert len(conn.order) == MAX_REQUESTS_PER_CONNECTION
    conn.answer(0)
    assert len(conn.order) == MAX_REQUESTS_PER_CONNECTION + 1
    conn.answer(2, b"x" * pipelining.MAX_HELD_BYTES_PER_CONNECTION)
    conn.answer(1, b"y")
    assert len(conn.order) == MAX_REQUESTS_PER_CONNECTION + 3


def test_all_connections_share_one_budget():
    budget = PipelineBudget()
    usages = [PipelineUsage(budget) for _ in range(pipelining.MAX_REQUESTS_AHEAD)]
    for usage in usages:
        usage.start_ahead()
    assert not may_read_next([PipelineUsage(budget)], budget) and may_read_next([], budget)
    usages[0].hold_answer(pipelining.MAX_HELD_BYTES)
    usages[1].release()
    assert not may_read_next([PipelineUsage(budget)], budget)
    usages[0].release()
    assert may_read_next([PipelineUsage(budget)], budget)
    charged = PipelineUsage(budget)
    charged.hold_answer(pipelining.MAX_HELD_BYTES_PER_CONNECTION)
    assert not may_read_next([charged], budget)


def test_no_further_requests_are_handled_while_the_caller_does_not_read():
    conn = Connection()
    conn.receive(post(1) + get(2) + get(3) + get(4))
    conn.channel.pauseProducing()
    conn.answer(1)
    assert conn.order == [1, 2]
    conn.answer(2)
    assert conn.order == [1, 2]
    conn.channel.resumeProducing()
    assert conn.order == [1, 2, 3, 4]


def test_reading_pauses_while_the_caller_does_not_read():
    conn = Connection()
    conn.receive(get(1) + get(2))
    conn.channel.pauseProducing()
    assert conn.transport.producerState == "paused"
    conn.answer(1)
    assert conn.transport.producerState == "paused"
    conn.channel.resumeProducing()
    assert conn.transport.producerState == "producing"


MAKERS = {"get": get, "post": post, "chunked": chunked}


@settings(max_examples=1000, deadline=None)
@given(st.data())
def test_any_interleaving_keeps_order_without_loss_or_duplicates(data):
    kinds = data.draw(
        st.lists(st.sampled_from(["get", "get", "get", "post", "chunked"]), max_size=12)
    )
    stream = b"".join(MAKERS[kind](name) for name, kind in enumerate(kinds))
    conn, lost, done = Connection(), False, set()
    while stream or len(done) < len(conn.order):
        waiting = [name for name in conn.order if name not in done]
        actions = ["read"] * bool(stream) + ["answer"] * bool(waiting)
        action = data.draw(st.sampled_from([*actions, *actions, *actions, "lose"]))
        if action == "read":
            size = data.draw(st.integers(1, 60))
            conn.receive(stream[:size])
            stream = stream[size:]
        elif action == "answer":
            name = data.draw(st.sampled_from(waiting))
            done.add(name)
            conn.answer(name)
        else:
            lost = True
            break
        running = [name for name in conn.order if name not in conn.answered()]
        assert len(running) <= 1 or all(kinds[name] == "get" for name in running)
        assert conn.answered() == list(range(len(conn.answered())))
        assert conn.order == list(range(len(conn.order)))
    if lost:
        waiting = [name for name in conn.order if name not in conn.answered()]
        conn.lose_connection()
        assert conn.disconnected == set(waiting)
        for name in set(conn.order) - done:
            conn.answer(name)
    else:
        assert conn.answered() == list(range(len(kinds)))
    assert conn.app.in_flight == 0
    assert (conn.factory.pipeline_budget.requests, conn.factory.pipeline_budget.held_bytes) == (
        0,
        0,
    )


class Peer(Protocol):
    def __init__(self):
        self.received = b""
        self.lost = Deferred()
        self.waiting = None

    def dataReceived(self, data):  # noqa: N802
        self.received += data
        if self.waiting is not None and self.received.count(b">") >= self.waiting[0]:
            waiting, self.waiting = self.waiting[1], None
            waiting.callback(None)

    def answers(self, count):
        self.waiting = (count, Deferred())
        return self.waiting[1]

    def connectionLost(self, reason):  # noqa: N802
        self.reason = reason
        self.lost.callback(None)


class Sockets(TestCase):
    timeout = 30

    @inlineCallbacks
    def setUp(self):  # noqa: N802
        self.answers, self.disconnected = {}, {}
        self.arrivals, self.wanted = [], None
        self.app = CallersApp(None, self.handle)
        self.port = listen(reactor, "127.0.0.1:0", self.app)
        self.peer = yield self.connect()

    def connect(self):
        where = TCP4ClientEndpoint(reactor, "127.0.0.1", self.port.getHost().port)
        return connectProtocol(where, Peer())

    @inlineCallbacks
    def tearDown(self):  # noqa: N802
        self.peer.transport.loseConnection()
        if not self.peer.lost.called:
            yield self.peer.lost
        yield self.app.disconnect()
        yield self.port.stopListening()

    def handle(self, head, body, disconnected):
        name = int(head.path[1:])
        self.disconnected[name] = Deferred()
        disconnected.addCallback(lambda _: self.disconnected[name].callback(None))
        self.answers[name] = Deferred()
        self.arrivals.append(name)
        if self.wanted is not None and len(self.arrivals) >= self.wanted[0]:
            wanted, self.wanted = self.wanted[1], None
            wanted.callback(None)
        return self.answers[name]

    def arrived(self, count):
        self.wanted = (count, Deferred())
        return self.wanted[1]

    def answer(self, name):
        self.answers[name].callback(complete(200, (), b"<%d>" % name))

    def received(self):
        return [int(name) for name in re.findall(rb"<(\d+)>", self.peer.received)]

    @inlineCallbacks
    def test_answers_are_received_in_request_order(self):
        arrived = self.arrived(3)
        self.peer.transport.write(get(1) + get(2) + get(3))
        yield arrived
        answered = self.peer.answers(3)
        for name in (3, 1, 2):
            self.answer(name)
        yield answered
        self.assertEqual(self.received(), [1, 2, 3])

    @inlineCallbacks
    def test_connection_reset_cancels_all_requests(self):
        arrived = self.arrived(2)
        self.peer.transport.write(get(1) + get(2))
        yield arrived
        self.peer.transport.abortConnection()
        yield self.disconnected[1]
        yield self.disconnected[2]
        for name in (1, 2):
            self.answer(name)
        self.assertEqual(self.app.in_flight, 0)

    @inlineCallbacks
    def test_orderly_close_after_a_partial_head_cancels_all_requests(self):
        arrived = self.arrived(2)
        self.peer.transport.write(get(1) + get(2) + get(3)[:12])
        yield arrived
        self.peer.transport.loseConnection()
        yield self.disconnected[1]
        yield self.disconnected[2]
        self.assertEqual(self.arrivals, [1, 2])
        for name in (1, 2):
            self.answer(name)

    @inlineCallbacks
    def test_shutdown_answers_the_requests_that_were_read_and_then_closes(self):
        arrived = self.arrived(2)
        self.peer.transport.write(get(1) + get(2))
        yield arrived
        self.app.start_closing()
        for name in (2, 1):
            self.answer(name)
        yield self.peer.lost
        self.assertTrue(self.peer.reason.check(ConnectionDone))
        self.assertEqual(self.received(), [1, 2])
        self.assertEqual(self.peer.received.count(b"Connection: close"), 1)
