"""A listening socket that can be closed and reopened on the same address."""

import typing as t
from collections.abc import Callable

from twisted.internet import defer
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import ServerFactory
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

SetRefusing = Callable[[bool, t.Any], None]


def ignore_refusing(refusing: bool, transport: t.Any) -> None:
    """Do nothing, for servers whose socket is managed elsewhere."""


class Connections(WrappingFactory):
    """Counts the connections of the wrapped factory."""

    opened = 0
    max_open = 0

    def registerProtocol(self, p: ProtocolWrapper) -> None:  # noqa: N802
        """Count a new connection."""
        super().registerProtocol(p)
        self.opened += 1
        self.max_open = max(self.max_open, len(self.protocols))


class Listener:
    """Manages a listening socket and the connections accepted on it.

    Parameters
    ----------
    reactor
        Opens the socket.
    address
        ``ip:port``; with port 0 the first :meth:`open` picks a port, which later calls reuse.
    factory
        Builds the protocol of each connection.
    """

    def __init__(self, reactor: t.Any, address: str, factory: ServerFactory) -> None:
        self._reactor = reactor
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._listening: IListeningPort | None = None
        self.connections = Connections(factory)

    @property
    def address(self) -> str:
        """The address as ``ip:port``, with the actual port once the socket has been opened."""
        return f"{self._host}:{self._port}"

    def open(self) -> None:
        """Listen; does nothing if the socket is open."""
        if self._listening is not None:
            return
        listening = self._reactor.listenTCP(
            self._port, self.connections, backlog=1024, interface=self._host
        )
        self._listening = listening
        self._port = listening.getHost().port

    def close(self, keep: t.Any = None) -> defer.Deferred[None]:
        """Stop listening and abort every connection except the one on transport `keep`."""
        listening, self._listening = self._listening, None
        for conn in list(self.connections.protocols):
            if conn is not keep:
                conn.transport.abortConnection()
        if listening is None:
            return defer.succeed(None)
        return defer.maybeDeferred(listening.stopListening)
