"""Creates the channels of callers' connections and holds their shared state."""

import typing as t
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web import http

from .channel import CallerChannel, HeadLimits
from .exchange import Answer, RequestHead
from .pipelining import PipelineBudget
from .request import CallerRequest
from .waiting import Waiters

IDLE_TIMEOUT_S = 60
"""Default idle timeout of a connection; the configuration may override it."""


class Meter(t.Protocol):
    """Records counters and durations."""

    def count(self, name: str) -> None:
        """Increment the counter `name`."""
        ...

    def observe(self, name: str, took: timedelta) -> None:
        """Add the duration `took` to the histogram `name`."""
        ...


class CallerFactory(http.HTTPFactory):
    """Creates a channel for each connection and tracks the open ones."""

    protocol = CallerChannel

    def __init__(
        self,
        reactor: IReactorTime,
        handle: t.Callable[[CallerRequest], None],
        on_fault: t.Callable[[Failure], None],
        lookup: t.Callable[[CallerRequest], Answer] | None,
        may_overlap: t.Callable[[RequestHead], bool],
        meter: Meter,
    ) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S, reactor=reactor)
        self.lookup = lookup
        self.may_overlap = may_overlap
        self.pipeline_budget = PipelineBudget()
        self.seconds = reactor.seconds
        self._meter = meter
        self.handle = handle
        self.on_fault = on_fault
        self.closing = False
        self.head_limits = HeadLimits()
        self.channels: set[CallerChannel] = set()
        self._all_closed = Waiters(lambda: not self.channels)

    def buildProtocol(self, addr: object) -> CallerChannel:  # noqa: N802
        """Create the channel of a new connection."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = CallerRequest
        channel.set_head_limits(self.head_limits)
        return channel

    def count(self, name: str) -> None:
        """Increment the counter `name`."""
        self._meter.count(name)

    def observe_wait(self, since: float) -> None:
        """Record that a request waited from `since`, in reactor seconds, until now."""
        self.count("pipelined.waited")
        self._meter.observe("pipelined.wait", timedelta(seconds=self.seconds() - since))

    def startFactory(self) -> None:  # noqa: N802
        """Do not open an access log; each process writes its own log."""

    def stopFactory(self) -> None:  # noqa: N802
        """Do nothing: there is no access log."""

    def log(self, request: http.Request) -> None:
        """Do not write to an access log."""

    def disconnect(self) -> "Deferred[None]":
        """Close all connections after sending their data; fires when all are closed."""
        for channel in tuple(self.channels):
            if not channel.transport.disconnecting:
                channel.close_soon()
        return self._all_closed.wait()

    def remove_channel(self, channel: CallerChannel) -> None:
        """Remove the channel of a closed connection."""
        self.channels.discard(channel)
        self._all_closed.check()
