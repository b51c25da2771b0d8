"""The transport of a connection to an endpoint, which is closed without losing a stored body."""

import typing as t
from collections.abc import Callable

from cardamomloft.runtime.lingering import LingeringClose, unsent_bytes
from twisted.internet.interfaces import IDelayedCall, ITCPTransport
from zope.interface import directlyProvides, providedBy

from .exchangestate import ExchangeState

READING_TIMEOUT_S = 30.0
"""How long an endpoint may read nothing of a body that it has answered before the connection is
closed, in seconds. The kernel sends the rest after that."""


class GuardedTransport:
    """Passes calls on to a transport, and decides how its connection ends.

    Neither a reset nor a close discards a body that counts as stored: the write side is closed
    after the data, and the connection when the endpoint closes it.

    Parameters
    ----------
    transport
        The connection.
    state
        Knows what the connection carries.
    call_later
        Schedules a call after a number of seconds.

    Attributes
    ----------
    lingering
        The close that is in progress, or None.
    lost
        Whether the connection is lost, so that there is nothing left to close.
    """

    def __init__(
        self, transport: t.Any, state: ExchangeState, call_later: Callable[..., IDelayedCall]
    ) -> None:
        self._transport = transport
        self._state = state
        self._call_later = call_later
        self.lingering: LingeringClose | None = None
        self.lost = False
        directlyProvides(self, providedBy(transport))

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._transport, name)

    def unsent(self) -> int:
        """Return how many bytes the endpoint's host has not received, 0 if it never will."""
        return 0 if self.lost else unsent_bytes(self._transport)

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection, or close it if it carries a stored body."""
        if self.lost or self.lingering is not None:
            return
        if self._state.carries_stored_body():
            self.loseConnection()
        else:
            self._transport.abortConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after its data, and wait for an endpoint that still reads."""
        if self.lost or self.lingering is not None:
            return
        is_tcp = ITCPTransport.providedBy(self._transport)
        if is_tcp and self._state.carries_stored_body() and self.unsent():
            self.lingering = LingeringClose(self._transport, self._call_later, READING_TIMEOUT_S)
            self.lingering.start()
        else:
            self._transport.loseConnection()
