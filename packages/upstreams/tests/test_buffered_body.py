"""Bodies that are buffered up to a limit, and streamed beyond it."""

import tracemalloc
from unittest.mock import Mock

import pytest
from cardamomloft.upstreams.body import AnswerBody, BufferedBody
from expression import Error, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

LIMIT = 8
DONE, LOST = Failure(ResponseDone()), Failure(ConnectionLost())


class Consumer:
    """Records what is written; pauses its producer at the first write if `full`."""

    def __init__(self, full=False) -> None:
        self.data = b""
        self.full = full
        self.producer = None

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def write(self, data):
        self.data += data
        if self.full:
            self.full = False
            self.producer.pauseProducing()


class Run:
    """A body whose bytes and end are set by the test."""

    def __init__(self) -> None:
        self.aborted = Mock()
        self.body = AnswerBody(Mock(), self.aborted)
        self.results = []
        self.body.buffer(LIMIT).addCallback(self.results.append)
        self.body.makeConnection(Mock())

    @property
    def reading(self):
        calls = [name for name, *_ in self.body.transport.method_calls]
        return not calls or calls[-1] == "resumeProducing"

    def deliver(self, consumer):
        deliveries = []
        self.results[0].ok.deliver(consumer).addCallback(deliveries.append)
        return deliveries


def test_small_body_is_returned_whole():
    run = Run()
    run.body.dataReceived(b"12345")
    run.body.dataReceived(b"678")
    run.body.connectionLost(DONE)
    assert run.results == [Ok(b"12345678")]


def test_small_body_that_ends_early_is_an_error():
    run = Run()
    run.body.dataReceived(b"12345")
    run.body.connectionLost(LOST)
    assert run.results[0].is_error()
    assert run.results != [Error("")]


def test_larger_body_waits_to_be_delivered_and_is_not_aborted():
    run = Run()
    run.body.dataReceived(b"123456789")
    assert isinstance(run.results[0].ok, BufferedBody)
    assert not run.reading
    run.aborted.assert_not_called()
    consumer = Consumer()
    deliveries = run.deliver(consumer)
    assert run.reading
    run.body.dataReceived(b"abc")
    run.body.connectionLost(DONE)
    assert consumer.data == b"123456789abc"
    assert deliveries[0].complete
    assert consumer.producer is None


def test_consumer_that_is_full_with_the_beginning_keeps_the_upstream_paused():
    run = Run()
    run.body.dataReceived(b"123456789")
    consumer = Consumer(full=True)
    run.deliver(consumer)
    assert not run.reading
    consumer.producer.resumeProducing()
    assert run.reading


@pytest.mark.parametrize(("reason", "complete"), [(DONE, True), (LOST, False)])
def test_end_before_the_delivery_is_reported_with_it(reason, complete):
    """Guards against the beginning of an answer that is known to be broken."""
    run = Run()
    run.body.dataReceived(b"123456789")
    run.body.connectionLost(reason)
    consumer = Consumer()
    deliveries = run.deliver(consumer)
    assert consumer.data == (b"123456789" if complete else b"")
    assert deliveries[0].complete is complete
    assert not deliveries[0].expired
    assert consumer.producer is None


def test_body_that_expires_before_its_delivery_says_so():
    run = Run()
    run.body.dataReceived(b"123456789")
    run.body.expire("deadline passed")
    consumer = Consumer()
    (delivery,) = run.deliver(consumer)
    assert delivery.expired and not delivery.complete and consumer.data == b""


def test_larger_body_that_nobody_wants_is_aborted():
    run = Run()
    run.body.dataReceived(b"123456789")
    run.results[0].ok.abort()
    run.aborted.assert_called_once()


def test_tiny_chunks_take_no_more_memory_than_their_bytes():
    """Guards against answers in chunks of one byte that take fifty times their size."""
    body, size = Mock(), 200_000
    body.deliver.return_value = Deferred()
    buffered = BufferedBody(body, 2 * size)
    tracemalloc.start()
    try:
        for number in range(size):
            buffered.write(memoryview(b"%d" % (number % 10)).tobytes())
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held < 2 * size
