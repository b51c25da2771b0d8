"""Several requests in flight on one caller's connection."""

import re

import pytest
from cardamomloft.callers import pipelining
from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.exchange import Delivery, complete, to_answer
from cardamomloft.callers.pipelining import MAX_REQUESTS, Place, Room, may_read_on
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


class Counts:
    def __init__(self):
        self.names = []

    def count(self, name):
        self.names.append(name)

    def observe(self, name, took):
        self.names.append((name, took.total_seconds()))


class Connection:
    """One connection to an app whose requests are answered by hand, by their number."""

    def __init__(self, app=None):
        self.order = []
        self.answers = {}
        self.bodies = {}
        self.gone = set()
        self.clock = Clock()
        self.counts = Counts()
        self.app = app or CallersApp(None, self.handle, self.fail, meter=self.counts)
        self.factory = self.app.factory(self.clock)
        self.transport = StringTransport()
        self.channel = self.factory.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def fail(self, failure):
        raise AssertionError(failure.getTraceback())

    def handle(self, head, body, gone):
        name = int(head.path[1:])
        self.order.append(name)
        self.bodies[name] = body.collect(1_000_000)
        self.answers[name] = Deferred()
        gone.addCallback(lambda _: self.gone.add(name))
        return self.answers[name]

    def receive(self, data):
        self.channel.dataReceived(data)

    def answer(self, name, body=None):
        self.answers[name].callback(complete(200, (), body or b"<%d>" % name))

    def lose(self):
        self.channel.connectionLost(Failure(ConnectionDone()))

    def answered(self):
        return [int(name) for name in re.findall(rb"<(\d+)>", self.transport.value())]


def test_requests_run_side_by_side_and_are_answered_in_their_order():
    conn = Connection()
    conn.receive(get(1) + get(2) + get(3)[:10])
    assert conn.order == [1, 2]
    conn.receive(get(3)[10:])
    assert conn.order == [1, 2, 3] and conn.factory.room.requests == 2
    conn.answer(3)
    assert conn.answered() == [] and conn.factory.room.held == 3
    conn.answer(1)
    assert conn.answered() == [1] and conn.factory.room.requests == 1
    conn.answer(2)
    assert conn.answered() == [1, 2, 3] and not conn.transport.disconnecting
    assert (conn.factory.room.requests, conn.factory.room.held) == (0, 0)
    assert conn.counts.names == ["pipelined.beside"] * 2
    conn.receive(get(4))
    conn.answer(4)
    assert conn.answered() == [1, 2, 3, 4]


@pytest.mark.parametrize("first", [post(1), chunked(1)])
def test_what_stands_behind_a_request_that_may_not_be_repeated_waits(first):
    conn = Connection()
    conn.receive(first + get(2))
    assert conn.order == [1]
    conn.clock.advance(0.5)
    conn.answer(1)
    assert conn.order == [1, 2] and conn.answered() == [1]
    conn.answer(2)
    assert conn.answered() == [1, 2]


def test_a_request_that_may_not_be_repeated_waits_for_all_before_it():
    conn = Connection()
    conn.receive(get(1) + get(2) + post(3) + get(4))
    conn.answer(2)
    assert conn.order == [1, 2]
    conn.answer(1)
    assert conn.order == [1, 2, 3] and conn.bodies[3].result.ok == b"xxxx"
    conn.answer(3)
    assert conn.order == [1, 2, 3, 4]


def test_a_body_that_waits_is_bounded_and_still_whole():
    conn = Connection()
    conn.receive(get(1) + post(2, 200_000)[:100_000])
    assert conn.order == [1] and conn.transport.producerState == "paused"
    conn.answer(1)
    assert conn.order == [1, 2] and conn.transport.producerState == "producing"


def test_how_long_a_request_stood_unread_is_measured():
    conn = Connection()
    conn.receive(post(1) + get(2))
    conn.clock.advance(0.75)
    conn.answer(1)
    assert conn.counts.names == ["pipelined.waited", ("pipelined.wait", 0.75)]


def test_a_caller_that_leaves_cancels_all_of_its_requests():
    conn = Connection()
    conn.receive(get(1) + get(2) + get(3) + post(4))
    conn.answer(2)
    conn.lose()
    assert conn.gone == {1, 2, 3} and conn.order == [1, 2, 3]
    conn.answer(1)
    conn.answer(3)
    assert conn.app.in_flight == 0
    assert (conn.factory.room.requests, conn.factory.room.held) == (0, 0)


def test_only_the_last_answer_closes_when_the_process_stops():
    conn = Connection()
    conn.receive(get(1) + get(2))
    conn.app.start_closing()
    conn.receive(get(3))
    conn.answer(2)
    conn.answer(1)
    assert conn.order == [1, 2] and conn.answered() == [1, 2]
    assert conn.transport.value().count(b"Connection: close") == 1
    assert conn.transport.disconnecting and conn.app.in_flight == 0


def test_a_caller_that_announces_its_last_request_gets_all_answers_before_the_close():
    conn = Connection()
    last = get(2).replace(b"Host: a", b"Host: a\r\nConnection: close")
    conn.receive(get(1) + last + get(3))
    conn.answer(2)
    assert not conn.transport.disconnecting
    conn.answer(1)
    assert conn.order == [1, 2] and conn.answered() == [1, 2] and conn.transport.disconnecting


@pytest.mark.parametrize("bad", [b"bad\r\n\r\n", b"GET /3 HTTP/1.1\r\nno colon\r\n\r\n"])
def test_a_malformed_head_does_not_spoil_the_answers_before_it(bad):
    conn = Connection()
    conn.receive(get(1) + get(2) + bad + get(4))
    assert conn.order == [1, 2] and conn.transport.value() == b""
    conn.answer(2)
    conn.answer(1)
    written = conn.transport.value()
    assert conn.answered() == [1, 2] and written.count(b"HTTP/1.1 400") == 1
    assert written.index(b"<2>") < written.index(b"HTTP/1.1 400") and conn.transport.disconnecting
    assert b"Connection: close" not in written[: written.index(b"HTTP/1.1 400")]


def test_a_refusal_without_a_handler_waits_for_its_turn_too():
    conn = Connection()
    conn.receive(get(1) + get(2).replace(b"Host: a", b"Host: a\r\nHost: b"))
    assert conn.transport.value() == b""
    conn.answer(1)
    assert conn.transport.value().index(b"<1>") < conn.transport.value().index(b"HTTP/1.1 400")


def test_a_refused_request_closes_nothing_behind_or_before_it():
    conn = Connection()
    conn.receive(get(1) + get(2) + get(3))
    conn.answers[2].callback(to_answer(Refusal(RefusalReason.OVERLOAD)))
    conn.answer(3)
    conn.answer(1)
    assert conn.answered() == [1, 3] and not conn.transport.disconnecting


class Source:
    """A streamed body that notes whether anybody took it."""

    def __init__(self):
        self.consumer = None
        self.aborted = False
        self.done = Deferred()

    def deliver(self, consumer):
        self.consumer = consumer
        return self.done

    def abort(self):
        self.aborted = True


def test_a_streamed_answer_is_taken_only_in_its_turn():
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
    conn.lose()
    assert source.aborted and source.consumer is None


def test_a_connection_reads_no_further_than_its_room():
    conn = Connection()
    conn.receive(b"".join(get(name) for name in range(MAX_REQUESTS + 3)))
    assert len(conn.order) == MAX_REQUESTS
    conn.answer(0)
    assert len(conn.order) == MAX_REQUESTS + 1
    conn.answer(2, b"x" * pipelining.MAX_BYTES)
    conn.answer(1, b"y")
    assert len(conn.order) == MAX_REQUESTS + 3


def test_all_connections_share_their_room():
    room = Room()
    places = [Place(room) for _ in range(pipelining.MAX_REQUESTS_IN_ALL)]
    for place in places:
        place.take()
    assert not may_read_on([Place(room)], room) and may_read_on([], room)
    places[0].hold(pipelining.MAX_BYTES_IN_ALL)
    places[1].leave()
    assert not may_read_on([Place(room)], room)
    places[0].leave()
    assert may_read_on([Place(room)], room)
    held = Place(room)
    held.hold(pipelining.MAX_BYTES)
    assert not may_read_on([held], room)


def test_a_caller_that_does_not_read_gets_no_further_requests_handled():
    conn = Connection()
    conn.receive(post(1) + get(2) + get(3) + get(4))
    conn.channel.pauseProducing()
    conn.answer(1)
    assert conn.order == [1, 2]
    conn.answer(2)
    assert conn.order == [1, 2]
    conn.channel.resumeProducing()
    assert conn.order == [1, 2, 3, 4]


def test_a_caller_that_does_not_read_is_not_read_either():
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
def test_any_interleaving_keeps_order_and_repeats_or_loses_nothing(data):
    kinds = data.draw(
        st.lists(st.sampled_from(["get", "get", "get", "post", "chunked"]), max_size=12)
    )
    stream = b"".join(MAKERS[kind](name) for name, kind in enumerate(kinds))
    conn, lost, done = Connection(), False, set()
    while stream or len(done) < len(conn.order):
        waiting = [name for name in conn.order if name not in done]
        acts = ["read"] * bool(stream) + ["answer"] * bool(waiting)
        act = data.draw(st.sampled_from([*acts, *acts, *acts, "lose"]))
        if act == "read":
            size = data.draw(st.integers(1, 60))
            conn.receive(stream[:size])
            stream = stream[size:]
        elif act == "answer":
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
        conn.lose()
        assert conn.gone == set(waiting)
        for name in set(conn.order) - done:
            conn.answer(name)
    else:
        assert conn.answered() == list(range(len(kinds)))
    assert conn.app.in_flight == 0
    assert (conn.factory.room.requests, conn.factory.room.held) == (0, 0)


class Peer(Protocol):
    def __init__(self):
        self.heard = b""
        self.lost = Deferred()
        self.waiting = None

    def dataReceived(self, data):  # noqa: N802
        self.heard += data
        if self.waiting is not None and self.heard.count(b">") >= self.waiting[0]:
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
        self.answers, self.gone = {}, {}
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

    def handle(self, head, body, gone):
        name = int(head.path[1:])
        self.gone[name] = Deferred()
        gone.addCallback(lambda _: self.gone[name].callback(None))
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

    def heard(self):
        return [int(name) for name in re.findall(rb"<(\d+)>", self.peer.heard)]

    @inlineCallbacks
    def test_answers_come_in_the_order_of_the_requests(self):
        arrived = self.arrived(3)
        self.peer.transport.write(get(1) + get(2) + get(3))
        yield arrived
        answered = self.peer.answers(3)
        for name in (3, 1, 2):
            self.answer(name)
        yield answered
        self.assertEqual(self.heard(), [1, 2, 3])

    @inlineCallbacks
    def test_a_reset_cancels_all_of_them(self):
        arrived = self.arrived(2)
        self.peer.transport.write(get(1) + get(2))
        yield arrived
        self.peer.transport.abortConnection()
        yield self.gone[1]
        yield self.gone[2]
        for name in (1, 2):
            self.answer(name)
        self.assertEqual(self.app.in_flight, 0)

    @inlineCallbacks
    def test_an_orderly_close_with_half_a_head_behind_cancels_all_of_them(self):
        arrived = self.arrived(2)
        self.peer.transport.write(get(1) + get(2) + get(3)[:12])
        yield arrived
        self.peer.transport.loseConnection()
        yield self.gone[1]
        yield self.gone[2]
        self.assertEqual(self.arrivals, [1, 2])
        for name in (1, 2):
            self.answer(name)

    @inlineCallbacks
    def test_a_stop_answers_what_was_read_and_then_closes(self):
        arrived = self.arrived(2)
        self.peer.transport.write(get(1) + get(2))
        yield arrived
        self.app.start_closing()
        for name in (2, 1):
            self.answer(name)
        yield self.peer.lost
        self.assertTrue(self.peer.reason.check(ConnectionDone))
        self.assertEqual(self.heard(), [1, 2])
        self.assertEqual(self.peer.heard.count(b"Connection: close"), 1)
