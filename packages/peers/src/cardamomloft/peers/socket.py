"""ZeroMQ sockets in the Twisted reactor.

A ZeroMQ socket has a file descriptor that becomes readable when the socket's state may have
changed. It is edge-triggered, and any operation on the socket may clear the signal. Unless the
state is checked after each operation, a message may stay unread until the next one arrives.
"""

import typing as t
from collections.abc import Callable

import zmq
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

MAX_MESSAGES_PER_READ = 100


@implementer(IReadDescriptor)
class SocketReader:
    """Passes each multipart message of `sock` to `on_frames` on the reactor's thread.

    After `MAX_MESSAGES_PER_READ` messages it yields to the reactor. Exceptions of `on_frames` go to
    `on_fault`, because the reactor would remove the descriptor.
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
        self._scheduled_read: t.Any = None
        self._closed = False
        reactor.addReader(self)
        self.check()

    def fileno(self) -> int:
        """Return the file descriptor that the reactor polls."""
        return self._fd

    def logPrefix(self) -> str:  # noqa: N802
        """Return the prefix for log messages of the reactor."""
        return "zmq"

    def doRead(self) -> None:  # noqa: N802
        """Read the available messages; called by the reactor."""
        self._drain()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Do nothing: a ZeroMQ socket is not a single connection."""

    def check(self) -> None:
        """Schedule a read if messages are available; call it after other socket operations."""
        if self._closed or self._scheduled_read is not None or not self._readable():
            return
        self._scheduled_read = self._reactor.callLater(0, self._scheduled_drain)

    def close(self) -> None:
        """Stop reading; the socket stays open."""
        self._closed = True
        self._reactor.removeReader(self)
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()
            self._scheduled_read = None

    def _scheduled_drain(self) -> None:
        self._scheduled_read = None
        self._drain()

    def _drain(self) -> None:
        for _ in range(MAX_MESSAGES_PER_READ):
            if self._closed or not self._readable():
                return
            self._receive_one()
        self.check()

    def _receive_one(self) -> None:
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
