"""An answer that fails costs no other answer of its connection, over sockets and in memory."""

import re
import socket
import time

import pytest
from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.exchange import Delivery, complete
from cardamomloft.runtime.lingering import LINGER_TIMEOUT_S
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import Clock, deferLater
from twisted.internet.testing import StringTransport
from twisted.internet.threads import deferToThread
from twisted.trial.unittest import TestCase

GETS = b"".join(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number for number in (1, 2, 3))
RECEIVE_BYTES = 4096
WHOLE = b"w" * 200_000
LENGTH = (("content-length", "300000"),)
CUT = Delivery(False, 0, "cut short")
EXPIRED = Delivery(False, 0, "deadline passed", expired=True)


class Source:
    """A streamed body that writes `first` when its delivery begins, and then ends if told so."""

    def __init__(self, first=b"", end=None):
        self.first, self.end = first, end
        self.aborted = False
        self.done = Deferred()

    def deliver(self, consumer):
        if self.first:
            consumer.write(self.first)
        if self.end is not None:
            self.done.callback(self.end)
        return self.done

    def abort(self):
        self.aborted = True


class App(CallersApp):
    """An app whose answers, by the number in the path, are given by the test."""

    def __init__(self):
        self.answers = {1: Deferred(), 2: Deferred(), 3: Deferred()}
        self.left = set()
        super().__init__(None, self.answer, self.raise_fault)

    def answer(self, head, body, disconnected):
        number = int(head.path[1:])
        disconnected.addCallback(lambda _: self.left.add(number))
        return self.answers[number]

    def give(self, number, body, headers=()):
        self.answers[number].callback(complete(200, headers, body))

    def raise_fault(self, failure):
        raise AssertionError(failure.getTraceback())


def connected(app):
    transport = StringTransport()
    channel = app.factory(Clock()).buildProtocol(None)
    channel.makeConnection(transport)
    channel.dataReceived(GETS)
    return transport


def statuses(data):
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", data)]


@pytest.mark.parametrize("headers", [LENGTH, ()], ids=["length", "chunks"])
@pytest.mark.parametrize(("end", "status"), [(EXPIRED, 504), (CUT, 502)])
def test_answer_that_fails_before_its_turn_is_replaced_and_costs_no_other(end, status, headers):
    """Guards against answers that are discarded since one behind or before them has failed."""
    app = App()
    transport = connected(app)
    app.give(2, Source(end=end), headers)
    app.give(3, b"third")
    app.give(1, b"first")
    written = transport.value()
    assert statuses(written) == [200, status, 200]
    assert written.index(b"first") < written.index(end.detail.encode()) < written.index(b"third")
    assert b"Cardamomloft-Outcome: unknown" in written
    assert not transport.disconnected and not transport.disconnecting
    assert app.in_flight == 0


def test_answer_that_has_begun_is_never_replaced():
    app = App()
    transport = connected(app)
    source = Source(first=b"<part>")
    app.give(1, source, LENGTH)
    source.done.callback(EXPIRED)
    assert statuses(transport.value()) == [200]
    assert transport.disconnected


def test_head_of_a_streamed_answer_does_not_wait_for_its_body():
    app = App()
    transport = connected(app)
    app.give(1, Source(), LENGTH)
    assert statuses(transport.value()) == [200]


def test_empty_streamed_answer_is_passed_on():
    app = App()
    transport = connected(app)
    app.give(1, Source(end=Delivery(True, 0)), (("content-length", "0"),))
    assert statuses(transport.value()) == [200]
    assert not transport.disconnected


class BrokenOff(TestCase):
    """Answers that break after they have begun, behind whole ones that are still on their way."""

    timeout = 30

    def setUp(self):
        self.app = App()
        self.port = listen(reactor, "127.0.0.1:0", self.app)
        self.addCleanup(self.port.stopListening)

    def exchange(self, wait_s, read=True):
        """Send three requests, read nothing for a while, then all until the connection ends."""
        with socket.socket() as sock:
            sock.settimeout(10)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            sock.connect(("127.0.0.1", self.port.getHost().port))
            sock.sendall(GETS)
            time.sleep(wait_s)
            received = b""
            while read:
                try:
                    part = sock.recv(65_536)
                except ConnectionResetError:
                    break
                if not part:
                    break
                received += part
            return received

    @inlineCallbacks
    def arrived(self):
        while self.app.in_flight < 3:
            yield deferLater(reactor, 0.01, lambda: None)

    @inlineCallbacks
    def check_whole_answer_before_a_broken_one(self, part, end, headers):
        received = deferToThread(self.exchange, 0.5)
        yield self.arrived()
        source = Source(first=part)
        self.app.give(2, source, headers)
        self.app.give(1, WHOLE)
        source.done.callback(end)
        found = yield received
        assert found.count(b"w") == len(WHOLE)
        assert statuses(found) == [200, 200]
        assert found.count(b"p") >= len(part) and not found.endswith(b"0\r\n\r\n")
        assert self.app.in_flight == 1 and self.app.left >= {2, 3}
        self.app.give(3, b"late")
        yield deferLater(reactor, 0.05, lambda: None)
        assert self.app.in_flight == 0 and not self.app.connections

    def test_answer_that_is_cut_short_costs_no_answer_before_it(self):
        """Guards against whole answers that are discarded with a connection that is reset."""
        return self.check_whole_answer_before_a_broken_one(b"p" * 1000, CUT, LENGTH)

    def test_answer_that_expires_costs_no_answer_before_it(self):
        return self.check_whole_answer_before_a_broken_one(b"p" * 100_000, EXPIRED, LENGTH)

    def test_answer_in_chunks_that_is_cut_short_costs_no_answer_before_it(self):
        return self.check_whole_answer_before_a_broken_one(b"p" * 1000, CUT, ())

    def test_answer_of_another_length_costs_no_answer_before_it(self):
        end = Delivery(True, 1000)
        return self.check_whole_answer_before_a_broken_one(b"p" * 1000, end, LENGTH)

    @inlineCallbacks
    def test_connection_of_a_caller_that_never_reads_is_reset_in_time(self):
        """Guards against memory that is held for callers that read nothing of a broken answer."""
        received = deferToThread(self.exchange, 3 * LINGER_TIMEOUT_S, read=False)
        yield self.arrived()
        source = Source(first=b"p" * 1000)
        self.app.give(2, source, LENGTH)
        self.app.give(1, b"w" * 8_000_000)
        source.done.callback(CUT)
        yield deferLater(reactor, 2.5 * LINGER_TIMEOUT_S, lambda: None)
        assert self.app.connections == 0
        self.app.give(3, b"late")
        yield received

    @inlineCallbacks
    def test_answer_that_breaks_during_a_disconnect_costs_no_answer_before_it(self):
        received = deferToThread(self.exchange, 0.5)
        yield self.arrived()
        source = Source(first=b"p" * 1000)
        self.app.give(2, source, LENGTH)
        self.app.give(1, WHOLE)
        disconnected = self.app.disconnect()
        source.done.callback(CUT)
        found = yield received
        assert found.count(b"w") == len(WHOLE) and statuses(found) == [200, 200]
        self.app.give(3, b"late")
        yield disconnected
        assert self.app.in_flight == 0
