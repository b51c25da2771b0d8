"""Caller and upstream connections joined over real sockets: streaming, truncation and aborts."""

import hashlib
from datetime import timedelta

from cardamomloft.callers.app import CallersApp, listen
from cardamomloft.callers.body import HIGH_WATER
from cardamomloft.callers.exchange import complete, to_answer
from cardamomloft.core.model import Endpoint, Unknown
from cardamomloft.upstreams import exchange
from cardamomloft.upstreams.body import AnswerBody
from cardamomloft.upstreams.client import UpstreamClient
from cardamomloft.upstreams.sends import UpstreamRequest
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import Factory, Protocol
from twisted.trial.unittest import TestCase

SIZE = 20_000_000
BLOCK = bytes(range(250)) * 4


class Peer(Protocol):
    """A raw connection that counts and hashes the bytes that it receives."""

    def __init__(self, on_data=lambda peer: None, slow=False):
        self.on_data = on_data
        self.slow = slow
        self.received_bytes = 0
        self.head = b""
        self.digest = hashlib.sha256()
        self.lost = Deferred()

    def dataReceived(self, data):  # noqa: N802
        if b"\r\n\r\n" not in self.head:
            self.head, found, data = (self.head + data).partition(b"\r\n\r\n")
            self.head += found
        self.received_bytes += len(data)
        self.digest.update(data)
        if self.slow:
            self.transport.pauseProducing()
            reactor.callLater(0, self.transport.resumeProducing)
        self.on_data(self)

    def connectionLost(self, reason):  # noqa: N802
        self.reason = reason
        self.lost.callback(None)


class CallerToUpstreamTest(TestCase):
    timeout = 60

    @inlineCallbacks
    def start(self, on_upstream_data, slow=False):
        """Start a scripted upstream, an app that forwards all requests to it, and a caller."""
        self.upstream = Deferred()
        self.bodies = []

        def build():
            peer = Peer(on_upstream_data, slow)
            reactor.callLater(0, self.upstream.callback, peer)
            return peer

        factory = Factory.forProtocol(build)
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.endpoint = Endpoint("u1", "s", "z", "r", f"127.0.0.1:{port.getHost().port}", 4, 9)
        self.client = UpstreamClient(reactor)
        self.app = CallersApp(None, self.handle, self.raise_fault)
        listening = listen(reactor, "127.0.0.1:0", self.app)
        where = TCP4ClientEndpoint(reactor, "127.0.0.1", listening.getHost().port)
        self.caller = yield connectProtocol(where, Peer())
        self.addCleanup(self.stop, port, listening)

    def raise_fault(self, failure):
        raise AssertionError(failure.getTraceback())

    @inlineCallbacks
    def stop(self, port, listening):
        peer = yield self.upstream
        self.caller.transport.abortConnection()
        peer.transport.abortConnection()
        yield gatherResults([self.app.disconnect(), self.client.close(), self.app.drained()])
        yield gatherResults([port.stopListening(), listening.stopListening()])
        yield gatherResults([self.caller.lost, peer.lost])

    def handle(self, head, body, disconnected):
        self.bodies.append(body)
        request = UpstreamRequest(
            self.endpoint, head.method, head.path, head.headers, body, timedelta(seconds=50), "r1"
        )
        sent = self.client.send(request)
        disconnected.addCallback(lambda _: sent.cancel())

        def respond(result):
            if result.is_error():
                return to_answer(Unknown(result.error.detail))
            found = result.ok
            sized = () if found.length is None else (("content-length", str(found.length)),)
            self.answer_body = found.body
            return complete(found.status, found.headers + sized, found.body)

        return sent.addCallback(respond)

    def send_head(self, head):
        self.caller.transport.write(head + b"\r\nHost: a\r\n")

    @inlineCallbacks
    def test_large_upload_to_a_slow_upstream_is_complete_with_a_bounded_buffer(self):
        done = Deferred()
        yield self.start(
            lambda peer: peer.received_bytes == SIZE and done.callback(peer), slow=True
        )
        self.send_head(b"POST /videos HTTP/1.1\r\nContent-Length: %d" % SIZE)
        self.caller.transport.write(b"\r\n" + BLOCK * (SIZE // len(BLOCK)))
        peer = yield done
        self.assertEqual(peer.digest.digest(), hashlib.sha256(BLOCK * (SIZE // 1000)).digest())
        answered = Deferred()
        self.caller.on_data = lambda caller: caller.received_bytes == 2 and answered.callback(None)
        peer.transport.write(b"HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\nok")
        yield answered
        self.assertTrue(self.caller.head.startswith(b"HTTP/1.1 201 Created"))
        # The high-water mark, plus at most one read that was in progress when reading was paused.
        self.assertLessEqual(self.bodies[0].max_buffered, 2 * HIGH_WATER)
        self.assertGreater(self.bodies[0].max_buffered, 0)

    @inlineCallbacks
    def test_large_answer_pauses_while_the_caller_does_not_read(self):
        paused = Deferred()

        class WatchedBody(AnswerBody):
            def pauseProducing(self):  # noqa: N802
                super().pauseProducing()
                if not paused.called:
                    paused.callback(self._received)

        self.patch(exchange, "AnswerBody", WatchedBody)

        def answer(peer):
            peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
            peer.transport.write(BLOCK * (SIZE // len(BLOCK)))

        yield self.start(answer)
        self.caller.transport.pauseProducing()
        self.send_head(b"GET /video HTTP/1.1")
        self.caller.transport.write(b"\r\n")
        received = yield paused
        self.assertLess(received, SIZE)
        whole = Deferred()
        self.caller.on_data = lambda caller: caller.received_bytes == SIZE and whole.callback(None)
        self.caller.transport.resumeProducing()
        yield whole
        digest = hashlib.sha256(BLOCK * (SIZE // 1000)).digest()
        self.assertEqual(self.caller.digest.digest(), digest)

    @inlineCallbacks
    def check_truncated_answer(self, answer):
        def cut(peer):
            peer.transport.write(answer)
            peer.transport.loseConnection()

        yield self.start(cut)
        self.send_head(b"GET /menus HTTP/1.1")
        self.caller.transport.write(b"\r\n")
        yield self.caller.lost
        self.assertTrue(self.caller.reason.check(ConnectionLost), self.caller.reason)

    def test_answer_shorter_than_its_content_length_resets_the_caller_connection(self):
        return self.check_truncated_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")

    def test_answer_without_its_last_chunk_resets_the_caller_connection(self):
        return self.check_truncated_answer(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        )

    def test_answer_ended_by_connection_close_resets_the_caller_connection(self):
        return self.check_truncated_answer(b"HTTP/1.1 200 OK\r\n\r\npart")

    @inlineCallbacks
    def test_caller_disconnect_during_upload_aborts_the_upstream_request(self):
        first_data = Deferred()
        yield self.start(lambda peer: None if first_data.called else first_data.callback(peer))
        self.send_head(b"POST /contracts HTTP/1.1\r\nContent-Length: 100000")
        self.caller.transport.write(b"\r\npart")
        peer = yield first_data
        self.caller.transport.abortConnection()
        yield peer.lost
        self.assertTrue(peer.reason.check(ConnectionLost), peer.reason)
        yield self.app.drained()
        self.assertEqual(dict(self.client.in_flight), {})
