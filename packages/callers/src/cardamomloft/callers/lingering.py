"""Closes a caller's connection without losing the answer that is on its way.

The kernel resets a connection that is closed while received data is unread, or that receives data
after it was closed, and discards what the caller has not received yet. A server that closes a
connection therefore closes its write side first, and reads and discards what the caller sends until
the caller has closed its side (RFC 9112, section 9.6).
"""

import fcntl
import sys
import termios
import typing as t
from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall, ITCPTransport

LINGER_TIMEOUT_S = 2.0
"""How long a caller may take to close its side while it receives nothing, in seconds."""


def unacknowledged_bytes(transport: t.Any) -> int:
    """Return how many bytes the kernel has for the peer that it has not received, 0 if unknown."""
    try:
        raw = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(raw, sys.byteorder)


class LingeringClose:
    """Closes the write side of one connection, then waits for the caller to close the other.

    Parameters
    ----------
    transport
        The connection.
    call_later
        Schedules a call after a number of seconds.
    """

    def __init__(self, transport: ITCPTransport, call_later: Callable[..., IDelayedCall]) -> None:
        self._transport = t.cast(t.Any, transport)
        self._call_later = call_later
        self._timer: IDelayedCall | None = None
        self._left = 0

    def start(self) -> None:
        """Close the write side once its data is sent, and keep reading."""
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
        self._transport.resumeProducing()

    def write_side_closed(self) -> None:
        """Wait for the caller to close its side, as long as it goes on to receive."""
        self._left = unacknowledged_bytes(self._transport)
        self._timer = self._call_later(LINGER_TIMEOUT_S, self._expire)

    def _expire(self) -> None:
        if 0 < unacknowledged_bytes(self._transport) < self._left:
            self.write_side_closed()
        else:
            self._transport.loseConnection()

    def cancel(self) -> None:
        """Stop waiting: the connection is lost."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
