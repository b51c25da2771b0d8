"""One entry's end of the traffic between entries.

A node binds one socket for all that comes in and opens a sending socket for each address on
demand. Nothing waits: a message that finds its queue full is dropped, as any message may be lost.
"""

import typing as t
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import zmq
from cardamomloft.core.messages import Message
from cardamomloft.core.model import Incarnation
from cardamomloft.peers.codec import MAX_FRAME_BYTES, Envelope, decode, encode
from cardamomloft.peers.curve import CurveKeys, KeyCheck
from cardamomloft.peers.socket import SocketReader
from twisted.logger import Logger
from twisted.python.failure import Failure

OnMessage = Callable[[Incarnation, Message], None]
OnFault = Callable[[Failure], None]

QUEUED_PER_LINK = 256
QUEUED_IN = 1000
MAX_LINKS = 64
IDLE = timedelta(seconds=30)
FLUSH = timedelta(milliseconds=250)
HANDSHAKE_MS = 2_000
HANDSHAKE_BYTES = 1_000
UNACKED_MS = 5_000
RECONNECT_MS = 100
MAX_RECONNECT_MS = 2_000

_log = Logger()


class BindError(Exception):
    """The peers address can't be had, mostly because another process still holds it.

    That no other process holds it is what shows that the predecessor on this VM has ended, so this
    must never be worked around by taking another address.
    """


class _Link(t.NamedTuple):
    sock: zmq.Socket[bytes]
    used: float


def log_fault(failure: Failure) -> None:
    """Log an exception that a message's handler raised."""
    _log.failure("message handler failed", failure=failure)


class PeerNode:
    """Sends messages to peers by address and delivers theirs.

    Parameters
    ----------
    bind
        "ip:port" to listen on; port 0 takes any.
    on_message
        Called with the sender and the message, on the reactor's thread.
    keys
        The deployment's key pair. With it, traffic is encrypted and only peers that have the same
        pair get through; without it, anyone who reaches the address does.
    on_fault
        Gets exceptions of `on_message`.

    Raises
    ------
    BindError
        If the address can't be bound.
    """

    def __init__(
        self,
        reactor: t.Any,
        me: Incarnation,
        bind: str,
        on_message: OnMessage,
        keys: CurveKeys | None = None,
        *,
        on_fault: OnFault = log_fault,
        max_links: int = MAX_LINKS,
        idle: timedelta = IDLE,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._reactor = reactor
        self._me = me
        self._on_message = on_message
        self._keys = keys
        self._max_links = max_links
        self._idle = idle.total_seconds()
        self._links: OrderedDict[str, _Link] = OrderedDict()
        self._closed = False
        self._context = zmq.Context(io_threads=1)
        self._key_check = KeyCheck(reactor, self._context, keys, on_fault) if keys else None
        self._router = self._bind(bind)
        self._reader = SocketReader(reactor, self._router, self._receive, on_fault)
        self._sweep_call = reactor.callLater(self._idle / 2, self._sweep)

    @property
    def address(self) -> str:
        """The "ip:port" that is bound."""
        return self._router.getsockopt(zmq.LAST_ENDPOINT).decode().strip("\0")[len("tcp://") :]

    @property
    def links(self) -> int:
        """The number of open sending sockets."""
        return len(self._links)

    @property
    def denied(self) -> int:
        """The number of connections refused for their key."""
        return self._key_check.denied if self._key_check else 0

    def send(self, address: str, message: Message, to: Incarnation | None = None) -> bool:
        """Queue `message` for the node at `address`; it may be lost on the way.

        Parameters
        ----------
        to
            The process it is meant for. Answers must name it, since another process may have taken
            the address.

        Returns
        -------
        bool
            False if the message was dropped here.
        """
        if self._closed:
            return False
        frame = encode(Envelope(self._me, to, message))
        if len(frame) > MAX_FRAME_BYTES:
            self.counters["dropped_too_large"] += 1
            return False
        try:
            self._link(address).send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self.counters["dropped_full"] += 1
            return False
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(frame)
        return True

    def close(self, flush: timedelta = FLUSH) -> None:
        """Stop; what is queued gets `flush` to leave, and only that long does this wait."""
        if self._closed:
            return
        self._closed = True
        self._sweep_call.cancel()
        self._reader.close()
        self._router.close(linger=0)
        linger = int(flush / timedelta(milliseconds=1))
        for link in self._links.values():
            link.sock.close(linger=linger)
        self._links.clear()
        if self._key_check:
            self._key_check.close()
        self._context.term()

    def _bind(self, bind: str) -> zmq.Socket[bytes]:
        router = self._socket(zmq.ROUTER)
        router.setsockopt(zmq.RCVHWM, QUEUED_IN)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        router.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        if self._key_check:
            self._key_check.serve(router)
        try:
            router.bind(f"tcp://{bind}")
        except zmq.ZMQError as exc:
            router.close(linger=0)
            if self._key_check:
                self._key_check.close()
            self._context.term()
            raise BindError(f"can't listen for peers on {bind}: {exc}") from exc
        return router

    def _socket(self, kind: int) -> zmq.Socket[bytes]:
        sock = self._context.socket(kind)
        sock.setsockopt(zmq.LINGER, 0)
        return sock

    def _link(self, address: str) -> zmq.Socket[bytes]:
        link = self._links.pop(address, None)
        if link is None:
            self._make_room()
            link = _Link(self._connect(address), 0)
        self._links[address] = link._replace(used=self._reactor.seconds())
        return link.sock

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        sock = self._socket(zmq.DEALER)
        sock.setsockopt(zmq.SNDHWM, QUEUED_PER_LINK)
        sock.setsockopt(zmq.RCVHWM, 1)
        sock.setsockopt(zmq.MAXMSGSIZE, HANDSHAKE_BYTES)
        sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MS)
        sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        sock.setsockopt(zmq.TCP_MAXRT, UNACKED_MS)
        if self._key_check:
            self._key_check.connect(sock)
        sock.connect(f"tcp://{address}")
        self.counters["links_opened"] += 1
        return sock

    def _make_room(self) -> None:
        while len(self._links) >= self._max_links:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        """Close the link unused for longest; what it still queues gets a moment to leave."""
        _, link = self._links.popitem(last=False)
        link.sock.close(linger=int(FLUSH / timedelta(milliseconds=1)))
        self.counters["links_closed"] += 1

    def _sweep(self) -> None:
        now = self._reactor.seconds()
        while self._links and now - next(iter(self._links.values())).used >= self._idle:
            self._drop_oldest()
        self._sweep_call = self._reactor.callLater(self._idle / 2, self._sweep)

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self.counters["dropped_foreign"] += 1
            return
        decoded = decode(frames[1])
        if decoded.is_error():
            self.counters[f"dropped_{decoded.error.counter}"] += 1
            return
        envelope = decoded.ok
        if envelope.receiver not in (None, self._me):
            self.counters["dropped_other_life"] += 1
            return
        if envelope.sender.seat == self._me.seat:
            self.counters["dropped_own_seat"] += 1
            return
        self.counters["received"] += 1
        self.counters["received_bytes"] += len(frames[1])
        self._on_message(envelope.sender, envelope.message)


@contextmanager
def open_node(
    reactor: t.Any,
    me: Incarnation,
    bind: str,
    on_message: OnMessage,
    keys: CurveKeys | None = None,
) -> Iterator[PeerNode]:
    """Own a node for the length of a with-block."""
    node = PeerNode(reactor, me, bind, on_message, keys)
    try:
        yield node
    finally:
        node.close()
