"""Holding streamed bytes to this entry's share of a link's rate."""

import typing as t
from collections import deque
from datetime import timedelta

from cardamomloft.callers.waiting import Waiters
from cardamomloft.core.rates import Pacer
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer, IPushProducer
from twisted.python.failure import Failure
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

_ZERO = timedelta(0)


@implementer(IConsumer, IPushProducer)
class PacedConsumer:
    """Passes pieces on as the link allows, and pauses its producer while some wait.

    Parameters
    ----------
    reactor
        For the waits.
    pacer
        Says when a piece may go.
    key
        The link's limit.
    consumer
        Where the pieces go.
    """

    def __init__(self, reactor: t.Any, pacer: Pacer, key: str, consumer: IConsumer) -> None:
        self._reactor = reactor
        self._pacer = pacer
        self._key = key
        self._consumer = consumer
        self._producer: t.Any = None
        self._pieces: deque[bytes] = deque()
        self._call: t.Any = None
        self._held = False
        self._full = False
        self._flushed = Waiters(lambda: not self._pieces)
        self.dropped = False

    # Towards the producer.

    def registerProducer(self, producer: t.Any, streaming: bool) -> None:  # noqa: N802
        """Take the producer, and stand in for it at the consumer."""
        self._producer = producer
        self._consumer.registerProducer(self, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Let the consumer go once the last piece has been passed on."""
        self._producer = None
        self.flushed().addCallback(lambda _: self._consumer.unregisterProducer())

    def write(self, data: bytes) -> None:
        """Take one piece."""
        self._pieces.append(data)
        self._pump()

    # From the consumer.

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold everything until the consumer has room."""
        self._held = True
        self._pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on."""
        self._held = False
        self._pump()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop what waits; the consumer takes no more."""
        self.drop()
        if self._producer is not None:
            self._producer.stopProducing()

    def drop(self) -> None:
        """Forget the waiting pieces; `dropped` tells afterwards whether there were any."""
        self.dropped = self.dropped or bool(self._pieces)
        self._pieces.clear()
        if self._call is not None:
            self._call.cancel()
            self._call = None
        self._flushed.check()

    def flushed(self) -> "Deferred[None]":
        """Return a result that fires once no piece waits."""
        return self._flushed.wait()

    def _pump(self) -> None:
        while self._pieces and not self._held and self._call is None:
            delay = self._pacer.reserve(self._key, len(self._pieces[0]))
            if delay > _ZERO:
                self._call = self._reactor.callLater(delay.total_seconds(), self._again)
                break
            self._consumer.write(self._pieces.popleft())
        if self._pieces:
            self._pause()
        elif not self._held:
            self._resume()
        self._flushed.check()

    def _again(self) -> None:
        self._call = None
        self._pump()

    def _pause(self) -> None:
        if self._producer is not None and not self._full:
            self._full = True
            self._producer.pauseProducing()

    def _resume(self) -> None:
        if self._producer is not None and self._full:
            self._full = False
            self._producer.resumeProducing()


@implementer(IBodyProducer)
class PacedBody:
    """A request body whose bytes go out at the link's pace.

    The body's end is reported only when its last piece has been passed on.
    """

    def __init__(self, reactor: t.Any, pacer: Pacer, key: str, body: IBodyProducer) -> None:
        self.length = body.length
        self._make = lambda consumer: PacedConsumer(reactor, pacer, key, consumer)
        self._body = body
        self._paced: PacedConsumer | None = None

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Send the body to `consumer`."""
        self._paced = self._make(_WriteOnly(consumer))
        self._paced.registerProducer(self._body, True)
        done = self._body.startProducing(self._paced)
        return done.addCallbacks(lambda _: self._paced.flushed(), self._failed)

    def _failed(self, failure: Failure) -> Failure:
        self._paced.drop()
        return failure

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold the bytes back."""
        self._paced.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on."""
        self._paced.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the rest."""
        if self._paced is not None:
            self._paced.drop()
        self._body.stopProducing()


@implementer(IConsumer)
class _WriteOnly:
    """The upstream's side of a request body, which controls the producer by itself."""

    def __init__(self, consumer: IConsumer) -> None:
        self._consumer = consumer

    def registerProducer(self, producer: t.Any, streaming: bool) -> None:  # noqa: N802
        """Ignore the producer: the client's transport already controls the body."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Ignore it, as above."""

    def write(self, data: bytes) -> None:
        """Pass one piece on."""
        self._consumer.write(data)
