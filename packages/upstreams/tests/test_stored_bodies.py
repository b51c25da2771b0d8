"""Connections that carry a body which was answered with success, on in-memory transports."""

from datetime import timedelta

import pytest
from cardamomloft.upstreams.dialect import Dialect
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from zope.interface import directlyProvides

from .test_upstreams_client import OK, Harness, Wire, consumer_of, delivered, streamed

BODY = b"x" * 900
READING_ON = b"HTTP/1.1 200 OK\r\n\r\nok"


class HostTransport(StringTransport):
    """A TCP transport whose peer receives as much as the test says."""

    dataBuffer = b""  # noqa: N815

    def __init__(self):
        super().__init__()
        directlyProvides(self, ITCPTransport)
        self.write_closed = self.lost = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def hold(self, size):
        self.dataBuffer = bytes(size)

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def loseWriteConnection(self):  # noqa: N802
        self.write_closed = True

    def connectionLost(self, reason):  # noqa: N802
        self.lost = True


class HostWire(Wire):
    def __init__(self, factory):
        self.transport = HostTransport()
        self.protocol = factory.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def answer_early(self, unsent, answer=OK):
        self.transport.hold(unsent)
        self.send(answer)


class HostHarness(Harness):
    def connect(self):
        return HostWire(self.reactor.tcpClients[-1][2])

    def is_passed_on(self):
        waiting = ensureDeferred(self.client.passed_on())
        waiting.addErrback(lambda failure: None)
        done = waiting.called
        waiting.cancel()
        return done

    @property
    def opened(self):
        return len(self.reactor.tcpClients)


def upload(harness, body=BODY, **options):
    """Send an upload, and return its result and the connection."""
    result = harness.send(body=body, method="POST", **options)
    return result, harness.connect()


def test_connection_whose_body_is_unread_is_closed_after_it_and_not_used_again():
    """Guards against requests that wait behind an unread body, and reset it at their deadline."""
    harness = HostHarness()
    result, wire = upload(harness)
    wire.answer_early(100)
    assert delivered(result)[0].result.complete
    assert wire.transport.write_closed
    assert not wire.transport.disconnecting and not wire.transport.disconnected
    harness.send(request_id="r2")
    assert harness.opened == 2
    assert not harness.is_passed_on()
    wire.transport.hold(0)
    assert harness.is_passed_on()
    wire.protocol.writeConnectionLost()
    wire.protocol.readConnectionLost()
    assert wire.transport.disconnecting


def test_connection_whose_body_was_received_is_used_again():
    harness = HostHarness()
    result, wire = upload(harness)
    wire.answer_early(0)
    assert delivered(result)[0].result.complete
    harness.send(request_id="r2")
    assert harness.opened == 1


@pytest.mark.parametrize("is_late", [True, False], ids=["deadline", "cancelled beside another"])
@pytest.mark.parametrize("next_body", [None, BODY, "streamed"])
def test_end_of_the_next_attempt_does_not_reset_a_body_that_may_be_unread(is_late, next_body):
    """Guards against the reset of a body that waits in the endpoint's receive buffer."""
    harness = HostHarness()
    result, wire = upload(harness)
    wire.answer_early(0)
    assert delivered(result)[0].result.complete
    body = streamed() if next_body == "streamed" else next_body
    attempt = harness.send(body=body, method="POST", request_id="r2")
    if is_late:
        harness.reactor.advance(1)
    else:
        attempt.cancel()
    detail = "deadline passed" if is_late else "cancelled"
    assert attempt.result.error.detail == detail
    assert wire.transport.disconnecting and not wire.transport.disconnected


def test_deadline_resets_a_connection_whose_earlier_body_was_read():
    harness = HostHarness()
    first, wire = upload(harness)
    wire.answer_early(0)
    assert delivered(first)[0].result.complete
    second = harness.send(request_id="r2")
    wire.send(OK)
    assert delivered(second)[0].result.complete
    harness.send(request_id="r3")
    harness.reactor.advance(1)
    assert wire.transport.disconnected


@pytest.mark.parametrize("status", [b"404", b"503"])
def test_early_error_resets_a_connection_whose_body_is_unread(status):
    harness = HostHarness()
    result, wire = upload(harness)
    wire.answer_early(100, OK.replace(b"200", status))
    assert delivered(result)[0].result.complete
    assert wire.transport.disconnected


def test_unsolicited_data_does_not_reset_a_body_that_may_be_unread():
    harness = HostHarness()
    result, wire = upload(harness)
    wire.answer_early(0)
    assert delivered(result)[0].result.complete
    wire.send(b"HTTP/1.1 408 Late\r\n\r\n")
    assert wire.transport.disconnecting and not wire.transport.disconnected
    harness.send(request_id="r2")
    assert harness.opened == 2


def test_streamed_body_goes_on_to_an_endpoint_that_has_closed_its_side():
    harness = HostHarness()
    body = streamed()
    result, wire = upload(harness, body)
    wire.send(OK)
    wire.protocol.readConnectionLost()
    assert delivered(result)[0].result.complete
    consumer_of(body).write(b"x" * 100)
    wire.transport.hold(50)
    body.startProducing.return_value.callback(None)
    assert wire.received().endswith(b"x" * 100)
    assert wire.transport.write_closed and not wire.transport.lost


def test_answer_that_ends_with_the_endpoints_side_leaves_the_body_on_its_way():
    """Guards against bodies that are dropped with a connection whose answer has no length."""
    harness = HostHarness(dialect=Dialect(close_ends_body=True))
    result, wire = upload(harness)
    wire.answer_early(100, READING_ON)
    delivery, sink = delivered(result)
    wire.protocol.readConnectionLost()
    assert delivery.result.complete and sink.value() == b"ok"
    assert wire.transport.write_closed and not wire.transport.lost
    assert not harness.is_passed_on()


@pytest.mark.parametrize("unsent", [0, 100])
def test_truncated_answer_ends_its_exchange(unsent):
    harness = HostHarness()
    result, wire = upload(harness)
    wire.answer_early(unsent, OK[:-1])
    delivery, _ = delivered(result)
    wire.protocol.readConnectionLost()
    if wire.transport.lost:
        wire.protocol.connectionLost(Failure(ConnectionDone()))
    assert not delivery.result.complete
    assert not harness.client.in_flight


def test_upload_goes_on_after_an_early_answer_to_a_request_for_the_head_only():
    harness = HostHarness()
    body = streamed()
    result = harness.send(body=body, method="HEAD")
    wire = harness.connect()
    wire.send(OK[:-2])
    assert delivered(result)[0].result.complete
    assert not body.stopProducing.called
    consumer_of(body).write(b"x" * 100)
    body.startProducing.return_value.callback(None)
    assert wire.transport.disconnecting and not wire.transport.disconnected


def test_rejected_early_answer_resets_its_connection():
    harness = HostHarness()
    body = streamed()
    result, wire = upload(harness, body, request_id="r2")
    wire.send(OK.replace(b"\r\n\r\n", b"\r\nX-Request-Id: r1\r\n\r\n"))
    assert result.result.is_error()
    assert wire.transport.disconnected


def test_log_tells_of_an_acknowledged_upload_that_its_endpoint_cuts(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "cardamomloft.upstreams.connections.log",
        lambda kind, **fields: lines.append((kind, fields)),
    )
    harness = HostHarness()
    result, wire = upload(harness, streamed())
    wire.send(OK)
    assert delivered(result)[0].result.complete
    wire.protocol.connectionLost(Failure(ConnectionLost()))
    result, wire = upload(harness, request_id="r2")
    wire.answer_early(0)
    assert delivered(result)[0].result.complete
    harness.send(request_id="r3")
    wire.transport.hold(100)
    harness.reactor.advance(1)
    wire.protocol.connectionLost(Failure(ConnectionLost()))
    assert [(kind, fields["id"]) for kind, fields in lines] == [
        ("upload-incomplete", "r1"),
        ("upload-incomplete", "r2"),
    ]
    assert harness.is_passed_on()


def test_wait_for_unread_bodies_ends_when_they_are_received():
    harness = HostHarness()
    _, wire = upload(harness)
    wire.answer_early(100)
    waiting: Deferred[None] = ensureDeferred(harness.client.passed_on())
    harness.reactor.advance(1)
    assert not waiting.called
    wire.transport.hold(0)
    harness.reactor.advance(1)
    assert waiting.called


def test_wait_for_an_upload_that_is_still_sent_after_its_answer():
    harness = HostHarness()
    body = streamed()
    result, wire = upload(harness, body)
    wire.send(OK)
    assert delivered(result)[0].result.complete
    assert not harness.is_passed_on()
    harness.reactor.advance(timedelta(minutes=1).total_seconds())
    assert not wire.transport.disconnecting
    body.startProducing.return_value.callback(None)
    assert harness.is_passed_on()
