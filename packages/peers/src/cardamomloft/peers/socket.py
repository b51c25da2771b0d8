"""ZeroMQ sockets in the Twisted reactor.

A ZeroMQ socket has a file descriptor that becomes readable when the socket's state may have
changed. It is edge-triggered: any operation on the socket may use up the signal, so the state must
be looked at after each of them, or a message stays unread until the next one comes.
"""

import typing as t
from collections.abc import Callable

import zmq
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

MAX_FRAMES_PER_TURN = 100


@implementer(IReadDescriptor)
class SocketReader:
    """Hands each multipart message of `sock` to `on_frames` on the reactor's thread.

    After `MAX_FRAMES_PER_TURN` messages it lets the reactor serve others first. An exception of
    `on_frames` goes to `on_fault` and never to the reactor, which would drop the descriptor.
    """

    def __init__(
        self,
        reactor: t.Any,
        sock: zmq.Socket[bytes],
        on_frames: Callable[[list[bytes]], None],
        on_fault: Callable[[Failure], None],
    ) -> None:
        self._reactor = reactor
        self._sock = sock
        self._fd = int(sock.getsockopt(zmq.FD))
        self._on_frames = on_frames
        self._on_fault = on_fault
        self._later: t.Any = None
        self._closed = False
        reactor.addReader(self)
        self.check()

    def fileno(self) -> int:
        """Return the descriptor that the reactor watches."""
        return self._fd

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name for the reactor's logs."""
        return "zmq"

    def doRead(self) -> None:  # noqa: N802
        """Take what the socket holds; called by the reactor."""
        self._drain()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Do nothing: the socket has no one connection that could be lost."""

    def check(self) -> None:
        """Look at the socket's state after an operation on it other than our own reads."""
        if self._closed or self._later is not None or not self._readable():
            return
        self._later = self._reactor.callLater(0, self._resume)

    def close(self) -> None:
        """Stop reading; the socket itself stays open."""
        self._closed = True
        self._reactor.removeReader(self)
        if self._later is not None:
            self._later.cancel()
            self._later = None

    def _resume(self) -> None:
        self._later = None
        self._drain()

    def _drain(self) -> None:
        for _ in range(MAX_FRAMES_PER_TURN):
            if self._closed or not self._readable():
                return
            self._take_one()
        self.check()

    def _take_one(self) -> None:
        try:
            frames = self._sock.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
        try:
            self._on_frames(frames)
        except Exception:
            self._on_fault(Failure())

    def _readable(self) -> bool:
        return bool(self._sock.getsockopt(zmq.EVENTS) & zmq.POLLIN)
