"""Makes the callers' connections, and holds what they share."""

import typing as t
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web import http
from twisted.web.resource import IResource

from .channel import CallerChannel, HeadLimits
from .exchange import Answer, RequestHead
from .pipelining import Room
from .request import CallerRequest
from .waiting import Waiters

IDLE_TIMEOUT_S = 60
"""Seconds without a request on a connection, unless a configuration sets it."""


class Meter(t.Protocol):
    """Where counts and durations go."""

    def count(self, name: str) -> None:
        """Count one event."""
        ...

    def observe(self, name: str, took: timedelta) -> None:
        """Add a duration to a histogram."""
        ...


class CallerFactory(http.HTTPFactory):
    """Makes a channel for each connection and knows which are open."""

    protocol = CallerChannel

    def __init__(
        self,
        reactor: IReactorTime,
        resource: IResource,
        on_fault: t.Callable[[Failure], None],
        lookup: t.Callable[[CallerRequest], Answer] | None,
        may_overlap: t.Callable[[RequestHead], bool],
        meter: Meter,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S, reactor=reactor)
        self.lookup = lookup
        self.may_overlap = may_overlap
        self.room = Room()
        self.seconds = reactor.seconds
        self._meter = meter
        self.resource = resource
        self.on_fault = on_fault
        self.closing = False
        self.head_limits = HeadLimits()
        self.channels: set[CallerChannel] = set()
        self._gone = Waiters(lambda: not self.channels)

    def buildProtocol(self, addr: object) -> CallerChannel:  # noqa: N802
        """Make the channel of a new connection."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = CallerRequest
        channel.set_head_limits(self.head_limits)
        return channel

    def count(self, name: str) -> None:
        """Count an event."""
        self._meter.count(name)

    def observe_wait(self, since: float) -> None:
        """Note that a request came at the instant `since` and is processed only now."""
        self.count("pipelined.waited")
        self._meter.observe("pipelined.wait", timedelta(seconds=self.seconds() - since))

    def startFactory(self) -> None:  # noqa: N802
        """Open no access log: the entry logs what matters."""

    def stopFactory(self) -> None:  # noqa: N802
        """Close no access log."""

    def log(self, request: http.Request) -> None:
        """Write no access log."""

    def disconnect(self) -> "Deferred[None]":
        """Close all connections after what was written has been sent; fires when they are gone."""
        for channel in tuple(self.channels):
            if not channel.transport.disconnecting:
                channel.loseConnection()
        return self._gone.wait()

    def forget(self, channel: CallerChannel) -> None:
        """Note that a connection is gone."""
        self.channels.discard(channel)
        self._gone.check()
