"""Closing a caller's connection never costs an answer that is on its way, over real sockets."""

import socket
import time

from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.exchange import complete, to_answer
from cardamomloft.core.model import Refusal, RefusalReason
from cardamomloft.runtime.lingering import LINGER_TIMEOUT_S
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks, succeed
from twisted.internet.threads import deferToThread
from twisted.trial.unittest import TestCase

GET = b"GET /menus HTTP/1.1\r\nHost: a\r\n\r\n"
PART = b"x" * 1000

RECEIVE_BYTES = 4096
"""Receive buffer of a caller, much smaller than its answers, which therefore stay on their way."""

PAUSE_S = 0.2
"""Time in which the server writes an answer and closes the connection."""


class LingeringTest(TestCase):
    timeout = 30

    def start(self, handle):
        self.app = CallersApp(None, lambda *_: handle(), self.raise_fault)
        self.port = listen(reactor, "127.0.0.1:0", self.app)
        self.addCleanup(self.port.stopListening)

    def raise_fault(self, failure):
        raise AssertionError(failure.getTraceback())

    def serve(self, size):
        self.start(lambda: succeed(complete(200, (), b"x" * size)))

    def connect(self):
        sock = socket.socket()
        sock.settimeout(10)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.connect(("127.0.0.1", self.port.getHost().port))
        return sock

    def send_with_pauses(self, *parts):
        """Send the parts, and return what is received until the connection ends."""
        with self.connect() as sock:
            for part in parts:
                sock.sendall(part)
                time.sleep(PAUSE_S)
            return receive_all(sock)

    def read_slowly(self, duration_s):
        """Read an answer in small parts, send another request, and read the rest later."""
        steps, received = 20, b""
        with self.connect() as sock:
            sock.sendall(GET)
            for _ in range(steps):
                time.sleep(duration_s / steps)
                received += sock.recv(RECEIVE_BYTES)
            sock.sendall(GET)
            time.sleep(LINGER_TIMEOUT_S / 2)
            return received + receive_all(sock)

    @inlineCallbacks
    def check_request_that_crosses_the_close(self, size):
        self.serve(size)
        self.app.start_closing()
        received = yield deferToThread(self.send_with_pauses, GET, GET)
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b"Connection: close", head)
        self.assertEqual(len(body), size)

    def test_request_that_crosses_the_close_costs_no_part_of_a_small_answer(self):
        return self.check_request_that_crosses_the_close(50_000)

    def test_request_that_crosses_the_close_costs_no_part_of_a_large_answer(self):
        return self.check_request_that_crosses_the_close(6_000_000)

    @inlineCallbacks
    def test_request_that_crosses_a_disconnect_costs_no_part_of_the_answer_before_it(self):
        self.serve(50_000)
        reactor.callLater(PAUSE_S / 2, self.app.disconnect)
        received = yield deferToThread(self.send_with_pauses, GET, GET)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 50_000)

    @inlineCallbacks
    def test_slow_reader_receives_an_answer_that_was_written_long_before_a_disconnect(self):
        self.serve(6_000_000)
        reactor.callLater(1.2 * LINGER_TIMEOUT_S, self.app.disconnect)
        received = yield deferToThread(self.read_slowly, LINGER_TIMEOUT_S)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 6_000_000)

    @inlineCallbacks
    def test_slow_reader_receives_an_answer_for_longer_than_the_timeout(self):
        self.serve(2_000_000)
        self.app.start_closing()
        received = yield deferToThread(self.read_slowly, 2.5 * LINGER_TIMEOUT_S)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 2_000_000)

    @inlineCallbacks
    def test_rest_of_a_refused_body_does_not_cost_the_refusal(self):
        self.start(lambda: succeed(to_answer(Refusal(RefusalReason.STOPPING))))
        self.app.start_closing()
        reactor.callLater(PAUSE_S / 2, self.app.disconnect)
        head = b"POST /menus HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n"
        received = yield deferToThread(self.send_with_pauses, head, PART, PART, PART)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)

    @inlineCallbacks
    def test_connection_ends_as_soon_as_the_caller_has_closed_its_side(self):
        self.serve(10)
        self.app.start_closing()
        yield deferToThread(self.send_with_pauses, GET)
        started = reactor.seconds()
        yield self.app.disconnect()
        self.assertLess(reactor.seconds() - started, LINGER_TIMEOUT_S / 4)

    @inlineCallbacks
    def test_connection_of_a_caller_that_never_closes_ends_at_the_timeout(self):
        self.serve(10)
        sock = yield deferToThread(self.connect)
        self.addCleanup(sock.close)
        yield deferToThread(sock.sendall, GET)
        yield deferToThread(sock.recv, RECEIVE_BYTES)
        started = reactor.seconds()
        yield self.app.disconnect()
        self.assertLess(reactor.seconds() - started, 1.5 * LINGER_TIMEOUT_S)

    @inlineCallbacks
    def test_connection_without_an_answer_is_closed_at_once(self):
        self.serve(10)
        sock = yield deferToThread(self.connect)
        self.addCleanup(sock.close)
        yield deferToThread(time.sleep, PAUSE_S)
        started = reactor.seconds()
        yield self.app.disconnect()
        self.assertLess(reactor.seconds() - started, LINGER_TIMEOUT_S / 4)


def receive_all(sock):
    received = b""
    while data := sock.recv(65_536):
        received += data
    return received
