"""Nodes on real sockets: delivery, authentication, dropped messages and closing."""

import socket
import time
from datetime import timedelta

import zmq
from cardamomloft.core.messages import DocumentReply, DocumentRequest
from cardamomloft.core.model import Incarnation
from cardamomloft.peers.codec import MAX_FRAME_BYTES, Envelope, encode
from cardamomloft.peers.curve import ZAP_ADDRESS, ZAP_DOMAIN, generate_keys
from cardamomloft.peers.node import FLUSH_TIMEOUT, BindError, PeerNode
from twisted.internet import defer, reactor, task
from twisted.python.failure import Failure
from twisted.trial import unittest

ANY = "127.0.0.1:0"
A, B = Incarnation("a", "1"), Incarnation("b", "1")


class NodeTest(unittest.TestCase):
    timeout = 20

    def node(self, incarnation=B, handler=None, **options):
        inbox = defer.DeferredQueue()

        def deliver(sender, message):
            if handler:
                handler(sender, message)
            inbox.put((sender, message))

        node = PeerNode(reactor, incarnation, options.pop("bind", ANY), deliver, **options)
        node.inbox = inbox
        self.addCleanup(node.close)
        return node

    def raw(self, address, *frames, kind=zmq.DEALER):
        """Send arbitrary frames."""
        sock = self.raw_socket(kind)
        sock.connect(f"tcp://{address}")
        sock.send_multipart(frames)

    def raw_socket(self, kind):
        """Open a socket that the clean-up closes without sending its queued messages.

        Without that, its context would wait for them forever: their receiver must authenticate the
        socket, and runs on the same thread.
        """
        context = zmq.Context()
        sock = context.socket(kind)
        self.addCleanup(context.term)
        self.addCleanup(sock.close, linger=0)
        return sock

    @defer.inlineCallbacks
    def until(self, condition):
        while not condition():
            yield task.deferLater(reactor, 0.005)

    @defer.inlineCallbacks
    def test_burst_of_messages_arrives_completely_and_in_order(self):
        a, b = self.node(A), self.node(B)
        received = []
        for start in range(0, 600, 60):
            for number in range(start, start + 60):
                assert a.send(b.address, DocumentRequest(number), to=B)
            for _ in range(60):
                received.append((yield b.inbox.get()))
        assert received == [(A, DocumentRequest(number)) for number in range(600)]
        assert a.links == 1

    @defer.inlineCallbacks
    def test_sending_from_the_handler_leaves_no_message_unread(self):
        def echo(sender, message):
            if message.above < 500:
                node = b if sender == A else a
                other = a if sender == A else b
                node.send(other.address, DocumentRequest(message.above + 1), to=sender)

        a, b = self.node(A, echo), self.node(B, echo)
        a.send(b.address, DocumentRequest(0))
        yield self.until(lambda: a.counters["received"] + b.counters["received"] == 501)
        assert (a.counters["dropped_full"], b.counters["dropped_full"]) == (0, 0)

    @defer.inlineCallbacks
    def test_messages_for_other_processes_are_dropped(self):
        a, b = self.node(A), self.node(B)
        self.raw(b.address, b"hello")
        self.raw(b.address, b"two", b"frames")
        self.raw(b.address, encode(Envelope(B._replace(number="2"), None, DocumentRequest(1))))
        a.send(b.address, DocumentRequest(1), to=B._replace(number="0"))
        a.send(b.address, DocumentRequest(2), to=B)
        first = yield b.inbox.get()
        yield self.until(
            lambda: b.counters["dropped_foreign"] == 2 and b.counters["dropped_own_seat"]
        )
        assert first == (A, DocumentRequest(2))
        assert b.counters["dropped_other_life"] == 1

    @defer.inlineCallbacks
    def test_frame_above_the_size_limit_is_neither_sent_nor_received(self):
        a, b = self.node(A), self.node(B)
        large = DocumentReply(1, bytes(MAX_FRAME_BYTES))
        assert not a.send(b.address, large)
        self.raw(b.address, encode(Envelope(A, None, large)))
        a.send(b.address, DocumentReply(2, bytes(MAX_FRAME_BYTES // 2)))
        _, received = yield b.inbox.get()
        assert received.revision == 2
        assert b.counters["received"] == 1

    def test_second_process_cannot_bind_the_address(self):
        b = self.node(B)
        self.assertRaises(BindError, self.node, A, bind=b.address)
        self.assertRaises(BindError, self.node, A, bind=b.address, keys=generate_keys())

    def test_sending_to_a_dead_peer_drops_messages_without_blocking(self):
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{holder.getsockname()[1]}"
            a = self.node(A)
            sent = [a.send(address, DocumentRequest(number)) for number in range(2000)]
        assert 0 < sum(sent) < 2000
        assert a.counters["dropped_full"] == 2000 - sum(sent)
        a.close(timedelta(0))

    @defer.inlineCallbacks
    def test_links_are_limited_and_idle_ones_closed(self):
        a = self.node(A, max_links=2, idle=timedelta(milliseconds=50))
        peers = [self.node(Incarnation(f"p{i}", "1")) for i in range(4)]
        for peer in peers:
            a.send(peer.address, DocumentRequest(1))
            assert a.links <= 2
        for peer in peers:
            assert (yield peer.inbox.get()) == (A, DocumentRequest(1))
        yield self.until(lambda: a.links == 0)
        assert a.counters["links_closed"] == 4

    @defer.inlineCallbacks
    def test_closing_sends_queued_messages(self):
        a, b = self.node(A), self.node(B)
        a.send(b.address, DocumentRequest(7))
        a.close()
        assert not a.send(b.address, DocumentRequest(8))
        assert (yield b.inbox.get()) == (A, DocumentRequest(7))

    @defer.inlineCallbacks
    def test_handler_exception_does_not_stop_reading(self):
        faults = []

        def fail(sender, message):
            if message.above == 1:
                raise ValueError("handler")

        a, b = self.node(A), self.node(B, fail, on_fault=faults.append)
        a.send(b.address, DocumentRequest(1))
        a.send(b.address, DocumentRequest(2))
        assert (yield b.inbox.get()) == (A, DocumentRequest(2))
        assert [type(fault) for fault in faults] == [Failure]

    @defer.inlineCallbacks
    def test_only_the_deployment_key_is_accepted(self):
        keys = generate_keys()
        b = self.node(B, keys=keys)
        member = self.node(A, keys=keys)
        other = self.node(Incarnation("c", "1"), keys=generate_keys())
        impostor = self.node(
            Incarnation("d", "1"), keys=keys._replace(secret=generate_keys().secret)
        )
        plain = self.node(Incarnation("e", "1"))
        for node in (other, impostor, plain):
            node.send(b.address, DocumentRequest(1))
        self.send_with_foreign_key(b.address, keys.public)
        yield self.until(lambda: b.denied)
        member.send(b.address, DocumentRequest(2))
        assert (yield b.inbox.get()) == (A, DocumentRequest(2))
        assert b.counters["received"] == 1

    @defer.inlineCallbacks
    def test_closing_is_bounded_when_the_server_never_authenticates(self):
        keys = generate_keys()
        silent = self.raw_socket(zmq.ROUTER)
        silent.curve_server, silent.curve_secretkey = True, keys.secret
        silent.zap_domain = ZAP_DOMAIN
        authenticator = silent.context.socket(zmq.REP)
        self.addCleanup(authenticator.close, linger=0)
        authenticator.bind(ZAP_ADDRESS)
        silent.bind("tcp://127.0.0.1:0")
        address = silent.last_endpoint.decode().removeprefix("tcp://")
        a = self.node(A, keys=keys)
        assert a.send(address, DocumentRequest(1))
        yield self.until(lambda: authenticator.poll(0))
        started = time.monotonic()
        a.close()
        assert time.monotonic() - started < 5 * FLUSH_TIMEOUT.total_seconds()

    def send_with_foreign_key(self, address, server_key):
        """Connect with the server's public key and a different client key pair."""
        sock = self.raw_socket(zmq.DEALER)
        public, secret = zmq.curve_keypair()
        sock.curve_serverkey, sock.curve_publickey, sock.curve_secretkey = (
            server_key,
            public,
            secret,
        )
        sock.connect(f"tcp://{address}")
        sock.send(encode(Envelope(A, None, DocumentRequest(1))))
