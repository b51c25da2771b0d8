"""Probes of whether an endpoint accepts connections."""

import typing as t
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

_GRACE_S = 0.02
"""Time after the timeout in which a connection that is already established is still noticed. Timers
run before sockets are read, also after the process was suspended."""


def probe(reactor: t.Any, address: str, timeout: timedelta) -> "Deferred[bool]":
    """Open a connection, close it at once, and return whether it was established in time.

    Parameters
    ----------
    reactor
        The event loop.
    address
        The endpoint, ``ip:port``.
    timeout
        Time in which the connection must be established.
    """
    factory = _ProbeFactory()
    host, _, port = address.rpartition(":")
    connector = reactor.connectTCP(host, int(port), factory, timeout=timeout.total_seconds() * 10)

    def stop() -> None:
        factory.finish(False)
        connector.disconnect()

    def expire() -> None:
        factory.timer = reactor.callLater(_GRACE_S, stop)

    factory.timer = reactor.callLater(timeout.total_seconds(), expire)
    return factory.result


def any_true(outcomes: list["Deferred[bool]"]) -> "Deferred[bool]":
    """Return a Deferred that fires with True once any outcome is true, else when all are known."""
    result: Deferred[bool] = Deferred()
    missing = len(outcomes)

    def record(outcome: bool) -> None:
        nonlocal missing
        missing -= 1
        if not result.called and (outcome or not missing):
            result.callback(outcome)

    for outcome in outcomes:
        outcome.addCallback(record)
    return result


class _ProbeFactory(ClientFactory):
    noisy = False

    def __init__(self) -> None:
        self.result: Deferred[bool] = Deferred()
        self.timer: t.Any = None

    def buildProtocol(self, addr: IAddress) -> Protocol:  # noqa: N802
        return _Probe(self)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:  # noqa: N802
        self.finish(False)

    def finish(self, connected: bool) -> None:
        """Report the outcome, the first time."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.result.called:
            self.result.callback(connected)


class _Probe(Protocol):
    def __init__(self, factory: _ProbeFactory) -> None:
        self._factory = factory

    def connectionMade(self) -> None:  # noqa: N802
        self._factory.finish(True)
        self.transport.loseConnection()
