"""Nodes on real sockets: delivery, admission, and what must be dropped."""

import socket
import time
from datetime import timedelta

import zmq
from cardamomloft.core.messages import DocumentReply, DocumentRequest
from cardamomloft.core.model import Incarnation
from cardamomloft.peers.codec import MAX_FRAME_BYTES, Envelope, encode
from cardamomloft.peers.curve import ZAP_ADDRESS, ZAP_DOMAIN, new_keys
from cardamomloft.peers.node import FLUSH, BindError, PeerNode
from twisted.internet import defer, reactor, task
from twisted.python.failure import Failure
from twisted.trial import unittest

ANY = "127.0.0.1:0"
A, B = Incarnation("a", "1"), Incarnation("b", "1")


class NodeTest(unittest.TestCase):
    timeout = 20

    def node(self, me=B, handler=None, **options):
        inbox = defer.DeferredQueue()

        def deliver(sender, message):
            if handler:
                handler(sender, message)
            inbox.put((sender, message))

        node = PeerNode(reactor, me, options.pop("bind", ANY), deliver, **options)
        node.inbox = inbox
        self.addCleanup(node.close)
        return node

    def raw(self, address, *frames, kind=zmq.DEALER):
        """Send frames that no node would send."""
        sock = self.raw_socket(kind)
        sock.connect(f"tcp://{address}")
        sock.send_multipart(frames)

    def raw_socket(self, kind):
        """Open a socket that the clean-up closes without waiting for what it has not sent.

        One that is dropped earlier waits for its messages to leave: for ever, if the server that
        judges its key waits on the same thread for the end of the socket's context.
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
    def test_all_of_a_burst_arrives_in_order(self):
        a, b = self.node(A), self.node(B)
        taken = []
        for start in range(0, 600, 60):
            for number in range(start, start + 60):
                assert a.send(b.address, DocumentRequest(number), to=B)
            for _ in range(60):
                taken.append((yield b.inbox.get()))
        assert taken == [(A, DocumentRequest(number)) for number in range(600)]
        assert a.links == 1

    @defer.inlineCallbacks
    def test_answers_from_within_the_handler_leave_no_message_unread(self):
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
    def test_what_is_not_meant_for_this_process_is_dropped(self):
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
    def test_a_frame_above_the_limit_is_neither_sent_nor_taken(self):
        a, b = self.node(A), self.node(B)
        large = DocumentReply(1, bytes(MAX_FRAME_BYTES))
        assert not a.send(b.address, large)
        self.raw(b.address, encode(Envelope(A, None, large)))
        a.send(b.address, DocumentReply(2, bytes(MAX_FRAME_BYTES // 2)))
        _, taken = yield b.inbox.get()
        assert taken.revision == 2
        assert b.counters["received"] == 1

    def test_a_second_process_cannot_bind_the_address(self):
        b = self.node(B)
        self.assertRaises(BindError, self.node, A, bind=b.address)
        self.assertRaises(BindError, self.node, A, bind=b.address, keys=new_keys())

    def test_a_dead_peer_costs_drops_and_no_waiting(self):
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{holder.getsockname()[1]}"
            a = self.node(A)
            sent = [a.send(address, DocumentRequest(number)) for number in range(2000)]
        assert 0 < sum(sent) < 2000
        assert a.counters["dropped_full"] == 2000 - sum(sent)
        a.close(timedelta(0))

    @defer.inlineCallbacks
    def test_links_are_bounded_and_idle_ones_closed(self):
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
    def test_closing_flushes_what_is_queued(self):
        a, b = self.node(A), self.node(B)
        a.send(b.address, DocumentRequest(7))
        a.close()
        assert not a.send(b.address, DocumentRequest(8))
        assert (yield b.inbox.get()) == (A, DocumentRequest(7))

    @defer.inlineCallbacks
    def test_a_failing_handler_does_not_stop_the_reading(self):
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
    def test_only_the_deployments_key_gets_through(self):
        keys = new_keys()
        b = self.node(B, keys=keys)
        member = self.node(A, keys=keys)
        other = self.node(Incarnation("c", "1"), keys=new_keys())
        impostor = self.node(Incarnation("d", "1"), keys=keys._replace(secret=new_keys().secret))
        plain = self.node(Incarnation("e", "1"))
        for node in (other, impostor, plain):
            node.send(b.address, DocumentRequest(1))
        self.stranger(b.address, keys.public)
        yield self.until(lambda: b.denied)
        member.send(b.address, DocumentRequest(2))
        assert (yield b.inbox.get()) == (A, DocumentRequest(2))
        assert b.counters["received"] == 1

    @defer.inlineCallbacks
    def test_closing_waits_no_longer_than_it_may_for_a_server_that_judges_no_key(self):
        keys = new_keys()
        silent = self.raw_socket(zmq.ROUTER)
        silent.curve_server, silent.curve_secretkey = True, keys.secret
        silent.zap_domain = ZAP_DOMAIN
        judge = silent.context.socket(zmq.REP)
        self.addCleanup(judge.close, linger=0)
        judge.bind(ZAP_ADDRESS)
        silent.bind("tcp://127.0.0.1:0")
        address = silent.last_endpoint.decode().removeprefix("tcp://")
        a = self.node(A, keys=keys)
        assert a.send(address, DocumentRequest(1))
        yield self.until(lambda: judge.poll(0))
        started = time.monotonic()
        a.close()
        assert time.monotonic() - started < 5 * FLUSH.total_seconds()

    def stranger(self, address, server_key):
        """Know the public key of the server, and come with a key pair of one's own."""
        sock = self.raw_socket(zmq.DEALER)
        public, secret = zmq.curve_keypair()
        sock.curve_serverkey, sock.curve_publickey, sock.curve_secretkey = (
            server_key,
            public,
            secret,
        )
        sock.connect(f"tcp://{address}")
        sock.send(encode(Envelope(A, None, DocumentRequest(1))))
