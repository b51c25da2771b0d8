"""Sends and receives messages between processes over ZeroMQ.

A node binds one socket for incoming messages and opens a sending socket for each address on
demand. Delivery is best-effort and sending never blocks: a message is dropped if its queue is full.
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
from cardamomloft.peers.curve import CurveKeys, KeyAuthenticator
from cardamomloft.peers.socket import SocketReader
from twisted.logger import Logger
from twisted.python.failure import Failure

OnMessage = Callable[[Incarnation, Message], None]
OnFault = Callable[[Failure], None]

MAX_QUEUED_PER_LINK = 256
MAX_QUEUED_RECEIVED = 1000
MAX_LINKS = 64
LINK_IDLE_TIMEOUT = timedelta(seconds=30)
FLUSH_TIMEOUT = timedelta(milliseconds=250)
HANDSHAKE_TIMEOUT_MS = 2_000
MAX_HANDSHAKE_BYTES = 1_000
UNACKED_TIMEOUT_MS = 5_000
MIN_RECONNECT_INTERVAL_MS = 100
MAX_RECONNECT_INTERVAL_MS = 2_000

_log = Logger()


class BindError(Exception):
    """The peers address cannot be bound, usually because another process still holds it.

    Binding it shows that the previous process on this VM has ended. Never fall back to another
    address.
    """


class _Link(t.NamedTuple):
    sock: zmq.Socket[bytes]
    last_used: float


def log_fault(failure: Failure) -> None:
    """Log an exception of the message handler."""
    _log.failure("message handler failed", failure=failure)


class PeerNode:
    """Sends messages to peers by address and passes received ones to a handler.

    Parameters
    ----------
    bind
        "ip:port" to listen on; port 0 selects any free port.
    on_message
        Called with the sender and the message, on the reactor's thread.
    keys
        The deployment's key pair. With it, traffic is encrypted and only peers with the same pair
        are accepted; without it, any sender is.
    on_fault
        Called with the exceptions of `on_message`.
    max_links
        Maximum number of sending sockets; the least recently used one is closed first.
    idle
        Time without use after which a sending socket is closed.

    Raises
    ------
    BindError
        If the address cannot be bound.
    """

    def __init__(
        self,
        reactor: t.Any,
        incarnation: Incarnation,
        bind: str,
        on_message: OnMessage,
        keys: CurveKeys | None = None,
        *,
        on_fault: OnFault = log_fault,
        max_links: int = MAX_LINKS,
        idle: timedelta = LINK_IDLE_TIMEOUT,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._reactor = reactor
        self._incarnation = incarnation
        self._on_message = on_message
        self._keys = keys
        self._max_links = max_links
        self._idle = idle.total_seconds()
        self._links: OrderedDict[str, _Link] = OrderedDict()
        self._closed = False
        self._context = zmq.Context(io_threads=1)
        self._authenticator = (
            KeyAuthenticator(reactor, self._context, keys, on_fault) if keys else None
        )
        self._router = self._bind(bind)
        self._reader = SocketReader(reactor, self._router, self._receive, on_fault)
        self._close_idle_call = reactor.callLater(self._idle / 2, self._close_idle)

    @property
    def address(self) -> str:
        """The bound address as "ip:port"."""
        return self._router.getsockopt(zmq.LAST_ENDPOINT).decode().strip("\0")[len("tcp://") :]

    @property
    def links(self) -> int:
        """The number of open sending sockets."""
        return len(self._links)

    @property
    def denied(self) -> int:
        """The number of connections rejected for their key."""
        return self._authenticator.denied if self._authenticator else 0

    def send(self, address: str, message: Message, to: Incarnation | None = None) -> bool:
        """Queue `message` for the node at `address`; it may be lost in transit.

        Parameters
        ----------
        to
            The receiving incarnation, or None for any. Answers must name it, since another process
            may have bound the address.

        Returns
        -------
        bool
            False if the message was dropped before it was queued.
        """
        if self._closed:
            return False
        frame = encode(Envelope(self._incarnation, to, message))
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

    def close(self, flush: timedelta = FLUSH_TIMEOUT) -> None:
        """Close all sockets; block for at most `flush` to send queued messages."""
        if self._closed:
            return
        self._closed = True
        self._close_idle_call.cancel()
        self._reader.close()
        self._router.close(linger=0)
        linger = int(flush / timedelta(milliseconds=1))
        for link in self._links.values():
            link.sock.close(linger=linger)
        self._links.clear()
        if self._authenticator:
            self._authenticator.close()
        self._context.term()

    def _bind(self, bind: str) -> zmq.Socket[bytes]:
        router = self._socket(zmq.ROUTER)
        router.setsockopt(zmq.RCVHWM, MAX_QUEUED_RECEIVED)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        router.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        if self._authenticator:
            self._authenticator.configure_server(router)
        try:
            router.bind(f"tcp://{bind}")
        except zmq.ZMQError as exc:
            router.close(linger=0)
            if self._authenticator:
                self._authenticator.close()
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
            self._enforce_max_links()
            link = _Link(self._connect(address), 0)
        self._links[address] = link._replace(last_used=self._reactor.seconds())
        return link.sock

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        sock = self._socket(zmq.DEALER)
        sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_PER_LINK)
        sock.setsockopt(zmq.RCVHWM, 1)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_HANDSHAKE_BYTES)
        sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        sock.setsockopt(zmq.TCP_MAXRT, UNACKED_TIMEOUT_MS)
        if self._authenticator:
            self._authenticator.configure_client(sock)
        sock.connect(f"tcp://{address}")
        self.counters["links_opened"] += 1
        return sock

    def _enforce_max_links(self) -> None:
        while len(self._links) >= self._max_links:
            self._close_least_recently_used()

    def _close_least_recently_used(self) -> None:
        """Close the least recently used link, with a linger time for its queued messages."""
        _, link = self._links.popitem(last=False)
        link.sock.close(linger=int(FLUSH_TIMEOUT / timedelta(milliseconds=1)))
        self.counters["links_closed"] += 1

    def _close_idle(self) -> None:
        now = self._reactor.seconds()
        while self._links and now - next(iter(self._links.values())).last_used >= self._idle:
            self._close_least_recently_used()
        self._close_idle_call = self._reactor.callLater(self._idle / 2, self._close_idle)

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self.counters["dropped_foreign"] += 1
            return
        decoded = decode(frames[1])
        if decoded.is_error():
            self.counters[f"dropped_{decoded.error.counter}"] += 1
            return
        envelope = decoded.ok
        if envelope.receiver not in (None, self._incarnation):
            self.counters["dropped_other_life"] += 1
            return
        if envelope.sender.seat == self._incarnation.seat:
            self.counters["dropped_own_seat"] += 1
            return
        self.counters["received"] += 1
        self.counters["received_bytes"] += len(frames[1])
        self._on_message(envelope.sender, envelope.message)


@contextmanager
def open_node(
    reactor: t.Any,
    incarnation: Incarnation,
    bind: str,
    on_message: OnMessage,
    keys: CurveKeys | None = None,
) -> Iterator[PeerNode]:
    """Open a node for the duration of a with block."""
    node = PeerNode(reactor, incarnation, bind, on_message, keys)
    try:
        yield node
    finally:
        node.close()
