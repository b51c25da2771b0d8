"""Streams limited to the rate of a link."""

from datetime import timedelta

import pytest
from cardamomloft.callers.body import BodyIncomplete, RequestBody
from cardamomloft.callers.exchange import Delivery
from cardamomloft.entry.forwarding import _flush_delivery
from cardamomloft.entry.pacing import PacedBody, PacedConsumer
from twisted.internet.task import Clock
from twisted.python.failure import Failure

PIECES = [bytes([n]) * 10 for n in range(6)]


class FakePacer:
    """Allows one piece per second."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.next = 0.0

    def reserve(self, key, nbytes):
        assert key == "link/r1/r2"
        remaining = self.next - self.reactor.seconds()
        if remaining > 0:
            return timedelta(seconds=remaining)
        self.next = self.reactor.seconds() + 1
        return timedelta(0)


class Sink:
    def __init__(self):
        self.written = []
        self.producer = None
        self.events = []

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.events.append(("unregistered", len(self.written)))
        self.producer = None

    def write(self, data):
        self.written.append(data)


class Source:
    """A push producer that respects pauses."""

    def __init__(self, pieces):
        self.pieces = list(pieces)
        self.consumer = None
        self.paused = False
        self.stopped = False

    def start(self, consumer):
        self.consumer = consumer
        consumer.registerProducer(self, True)
        self.resumeProducing()

    def pauseProducing(self):  # noqa: N802
        self.paused = True

    def resumeProducing(self):  # noqa: N802
        self.paused = False
        while self.pieces and not self.paused:
            self.consumer.write(self.pieces.pop(0))

    def stopProducing(self):  # noqa: N802
        self.stopped = True


class Flow:
    def pause_body(self):
        pass

    def resume_body(self):
        pass


@pytest.fixture
def reactor():
    return Clock()


def paced(reactor, sink):
    return PacedConsumer(reactor, FakePacer(reactor), "link/r1/r2", sink)


def pass_time(reactor, seconds):
    for _ in range(seconds * 4):
        reactor.advance(0.25)


def fired(deferred):
    results = []
    deferred.addBoth(results.append)
    return results


def test_pieces_keep_their_order_and_rate_and_pause_the_producer(reactor):
    sink, source = Sink(), Source(PIECES)
    source.start(paced(reactor, sink))
    assert sink.written == PIECES[:1]
    assert source.paused and len(source.pieces) >= len(PIECES) - 2
    pass_time(reactor, 2)
    assert sink.written == PIECES[:3]
    pass_time(reactor, 10)
    assert sink.written == PIECES


def test_the_consumer_is_unregistered_only_after_the_last_piece(reactor):
    sink = Sink()
    consumer = paced(reactor, sink)
    consumer.registerProducer(Source([]), True)
    for piece in PIECES[:3]:
        consumer.write(piece)
    consumer.unregisterProducer()
    over = fired(consumer.flushed())
    assert (over, sink.events) == ([], [])
    pass_time(reactor, 5)
    assert sink.written == PIECES[:3]
    assert over == [None] and sink.events == [("unregistered", 3)]


def test_a_paused_consumer_pauses_the_stream_without_loss(reactor):
    sink, source = Sink(), Source(PIECES)
    source.start(paced(reactor, sink))
    sink.producer.pauseProducing()
    pass_time(reactor, 5)
    assert sink.written == PIECES[:1]
    sink.producer.resumeProducing()
    pass_time(reactor, 10)
    assert sink.written == PIECES


def test_an_incomplete_answer_discards_the_waiting_pieces(reactor):
    sink = Sink()
    consumer = paced(reactor, sink)
    consumer.registerProducer(Source([]), True)
    for piece in PIECES[:3]:
        consumer.write(piece)
    consumer.unregisterProducer()
    incomplete = Delivery(False, 30, "cut short")
    assert fired(_flush_delivery(incomplete, consumer)) == [incomplete]
    pass_time(reactor, 5)
    assert sink.written == PIECES[:1]


def test_a_closed_consumer_ends_a_delivery_with_waiting_pieces(reactor):
    sink = Sink()
    consumer = paced(reactor, sink)
    consumer.registerProducer(Source([]), True)
    for piece in PIECES[:3]:
        consumer.write(piece)
    consumer.unregisterProducer()
    over = fired(_flush_delivery(Delivery(True, 30), consumer))
    sink.producer.stopProducing()
    pass_time(reactor, 5)
    assert sink.written == PIECES[:1]
    assert len(over) == 1, "the delivery never ends, and the request counts as in flight forever"
    assert not over[0].complete


def test_a_closed_consumer_stops_the_producer(reactor):
    sink, source = Sink(), Source(PIECES)
    source.start(paced(reactor, sink))
    sink.producer.stopProducing()
    pass_time(reactor, 5)
    assert source.stopped and sink.written == PIECES[:1]


def start_body(reactor, length):
    sink, body = Sink(), RequestBody(length, Flow())
    sent = PacedBody(reactor, FakePacer(reactor), "link/r1/r2", body)
    assert sent.length == body.length
    return sink, body, fired(sent.startProducing(sink)), sent


def test_an_upload_ends_only_after_its_last_piece_is_sent(reactor):
    sink, body, over, _ = start_body(reactor, 60)
    for piece in PIECES:
        body.data_received(piece)
    body.end()
    pass_time(reactor, 3)
    assert over == [] and sink.written == PIECES[:4]
    pass_time(reactor, 5)
    assert over == [None] and sink.written == PIECES


def test_nothing_of_an_upload_is_sent_after_it_failed(reactor):
    sink, body, over, _ = start_body(reactor, 60)
    for piece in PIECES[:3]:
        body.data_received(piece)
    body.fail("the caller has disconnected")
    pass_time(reactor, 5)
    assert isinstance(over[0], Failure) and over[0].check(BodyIncomplete)
    assert sink.written == PIECES[:1]


def test_a_stopped_upload_sends_nothing_more(reactor):
    sink, body, over, sent = start_body(reactor, 60)
    body.data_received(PIECES[0])
    body.data_received(PIECES[1])
    sent.stopProducing()
    body.data_received(PIECES[2])
    pass_time(reactor, 5)
    assert sink.written == PIECES[:1] and over == []
