"""Uploads that are answered before they are read are passed on to their end."""

from cardamomloft.callers.body import BodyIncomplete
from cardamomloft.callers.channel import DISCARD_TIMEOUT_S, UPLOAD_STALL_S

from .test_callers_channel import GET, POST, Harness, text


class Sink:
    """Consumes a body and keeps what it gets."""

    def __init__(self):
        self.received = bytearray()

    def write(self, data):
        self.received += data


def test_body_that_is_passed_on_is_not_discarded_after_an_early_answer():
    """Guards against uploads that are acknowledged and cut short."""
    harness, sink, size = Harness(), Sink(), 1_000_000
    harness.receive(POST + b"Content-Length: %d\r\n\r\n" % size)
    sent = harness.calls[0][1].startProducing(sink)
    harness.receive(b"x" * 65_536)
    harness.answers[0].callback(text(b"stored"))
    written = harness.written()
    assert written.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" not in written
    harness.clock.advance(DISCARD_TIMEOUT_S + 1)
    harness.receive(b"x" * (size - 65_536))
    assert sent.called
    assert len(sink.received) == size
    assert harness.channel.idle
    harness.receive(GET)
    assert len(harness.calls) == 2


def test_upload_without_progress_after_an_early_answer_is_given_up():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 1000000\r\n\r\n")
    harness.calls[0][1].startProducing(Sink())
    harness.answers[0].callback(text(b"stored"))
    for _ in range(3):
        harness.receive(b"x")
        harness.clock.advance(UPLOAD_STALL_S)
        assert not harness.transport.disconnected
    harness.clock.advance(UPLOAD_STALL_S)
    assert harness.transport.disconnected


def begin_answered_upload(size=1_000_000):
    """Return a harness with an upload that is passed on after its answer, and its Deferred."""
    harness = Harness()
    harness.receive(POST + b"Content-Length: %d\r\n\r\n" % size)
    sent = harness.calls[0][1].startProducing(Sink())
    harness.receive(b"x" * 1000)
    harness.answers[0].callback(text(b"stored"))
    return harness, sent


def test_body_fails_if_the_caller_leaves_after_an_early_answer():
    """Guards against upstreams that wait without end for the rest of a body."""
    harness, sent = begin_answered_upload()
    failures = []
    sent.addErrback(failures.append)
    harness.lose_connection()
    assert failures[0].check(BodyIncomplete)
    assert not harness.calls[0][2].called


def test_stalled_caller_of_an_answered_upload_fails_its_body():
    harness, sent = begin_answered_upload()
    failures = []
    sent.addErrback(failures.append)
    harness.clock.advance(UPLOAD_STALL_S)
    harness.lose_connection()
    assert failures[0].check(BodyIncomplete)


def test_caller_is_kept_while_the_upstream_of_an_answered_upload_pauses():
    """Guards against uploads that are cut because their upstream reads on late."""
    harness, sent = begin_answered_upload()
    body = harness.calls[0][1]
    body.pauseProducing()
    for _ in range(3):
        harness.clock.advance(UPLOAD_STALL_S)
        assert not harness.transport.disconnected
    body.resumeProducing()
    harness.receive(b"x" * 999_000)
    assert sent.called
    assert harness.channel.idle


def test_closing_server_answers_an_upload_once_it_is_passed_on():
    """Guards against callers that stop sending at an answer that closes their connection."""
    harness = Harness()
    harness.receive(POST + b"Content-Length: 1000\r\n\r\n")
    sink = Sink()
    harness.calls[0][1].startProducing(sink)
    harness.app.start_closing()
    harness.answers[0].callback(text(b"stored"))
    assert harness.written() == b""
    assert harness.app.in_flight == 1
    harness.receive(b"x" * 1000)
    written = harness.written()
    assert written.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in written
    assert len(sink.received) == 1000
    assert harness.app.in_flight == 0


def test_closing_server_forgets_an_upload_whose_caller_has_left():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 1000\r\n\r\n")
    harness.calls[0][1].startProducing(Sink()).addErrback(lambda failure: None)
    harness.app.start_closing()
    harness.answers[0].callback(text(b"stored"))
    harness.lose_connection()
    assert harness.app.in_flight == 0


def test_closing_server_answers_an_upload_that_its_upstream_reads_no_more():
    harness = Harness()
    harness.receive(POST + b"Content-Length: 1000\r\n\r\n")
    harness.calls[0][1].startProducing(Sink())
    harness.app.start_closing()
    harness.answers[0].callback(text(b"stored"))
    harness.calls[0][1].stopProducing()
    assert harness.written().startswith(b"HTTP/1.1 200 ")
