"""Closes a TCP connection without losing the data that is on its way.

The kernel resets a connection that is closed while received data is unread, or that receives data
after it was closed, and discards what the peer has not received yet. A connection is therefore
closed by closing its write side first, and by reading and discarding what the peer sends until the
peer has closed its side (RFC 9112, section 9.6).
"""

import fcntl
import sys
import termios
import typing as t
from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, ITCPTransport

LINGER_TIMEOUT_S = 2.0
"""How long a peer may take to close its side while it receives nothing, in seconds."""


def unacknowledged_bytes(transport: t.Any) -> int:
    """Return how many bytes the kernel has for the peer that it has not received, 0 if unknown."""
    try:
        raw = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, bytes(4))
    except (AttributeError, OSError):
        return 0
    return int.from_bytes(raw, sys.byteorder)


def unsent_bytes(transport: t.Any) -> int:
    """Return how many bytes were written to `transport` that the peer has not received.

    These wait in the buffers of `transport`, an `abstract.FileDescriptor`, and of the kernel.
    """
    buffered = len(getattr(transport, "dataBuffer", b"")) - getattr(transport, "offset", 0)
    buffered += getattr(transport, "_tempDataLen", 0)
    return buffered + unacknowledged_bytes(transport)


class LingeringClose:
    """Closes the write side of one connection, then waits for the peer to close the other.

    Parameters
    ----------
    transport
        The connection.
    call_later
        Schedules a call after a number of seconds.
    timeout_s
        How long the peer may take to close its side while it receives nothing, in seconds.
    stall_s
        How long the peer may receive nothing of the data before the connection is reset, in
        seconds; None for no limit.
    """

    def __init__(
        self,
        transport: ITCPTransport,
        call_later: Callable[..., IDelayedCall],
        timeout_s: float = LINGER_TIMEOUT_S,
        stall_s: float | None = None,
    ) -> None:
        self._transport = t.cast(t.Any, transport)
        self._call_later = call_later
        self._timeout_s = timeout_s
        self._stall_s = stall_s
        self._timer: IDelayedCall | None = None
        self._left = 0
        self._write_closed = False
        self._read_closed = False

    def start(self) -> None:
        """Close the write side once its data is sent, and keep reading; nothing if it is lost."""
        if self._transport.disconnected:
            return
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
        self._transport.resumeProducing()
        self._watch_data()

    def _watch_data(self) -> None:
        """Check once in a while that the peer receives data, until the write side is closed."""
        if self._stall_s is not None:
            left = unsent_bytes(self._transport)
            self._timer = self._call_later(self._stall_s, self._check_data, left)

    def _check_data(self, left: int) -> None:
        if unsent_bytes(self._transport) < left:
            self._watch_data()
        else:
            self._transport.abortConnection()

    def write_side_closed(self) -> None:
        """Wait for the peer to close its side, as long as it goes on to receive."""
        self.cancel()
        self._write_closed = True
        if self._read_closed:
            self._transport.loseConnection()
            return
        self._left = unacknowledged_bytes(self._transport)
        self._timer = self._call_later(self._timeout_s, self._expire)

    def read_side_closed(self) -> None:
        """Close the connection now that the peer has closed its side, once the data is sent."""
        self._read_closed = True
        if self._write_closed:
            self._transport.loseConnection()

    def _expire(self) -> None:
        if 0 < unacknowledged_bytes(self._transport) < self._left:
            self.write_side_closed()
        else:
            self._transport.loseConnection()

    def cancel(self) -> None:
        """Stop waiting: the connection is lost."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
