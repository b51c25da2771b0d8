"""Limits streamed bytes to this entry's share of a link's rate."""

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
    """Writes pieces at the link's rate, and pauses its producer while pieces wait.

    Parameters
    ----------
    reactor
        Runs the delays.
    pacer
        Returns when a piece may be written.
    key
        Key of the link's limit.
    consumer
        Receives the pieces.

    Attributes
    ----------
    dropped
        Whether any piece was discarded.
    """

    def __init__(self, reactor: t.Any, pacer: Pacer, key: str, consumer: IConsumer) -> None:
        self._reactor = reactor
        self._pacer = pacer
        self._key = key
        self._consumer = consumer
        self._producer: t.Any = None
        self._pieces: deque[bytes] = deque()
        self._delayed_call: t.Any = None
        self._consumer_paused = False
        self._producer_paused = False
        self._flushed = Waiters(lambda: not self._pieces)
        self.dropped = False

    # IConsumer, called by the producer.

    def registerProducer(self, producer: t.Any, streaming: bool) -> None:  # noqa: N802
        """Register the producer here, and this object as producer at the consumer."""
        self._producer = producer
        self._consumer.registerProducer(self, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister from the consumer once the last piece has been written."""
        self._producer = None
        self.flushed().addCallback(lambda _: self._consumer.unregisterProducer())

    def write(self, data: bytes) -> None:
        """Queue one piece and write what the rate allows."""
        self._pieces.append(data)
        self._pump()

    # IPushProducer, called by the consumer.

    def pauseProducing(self) -> None:  # noqa: N802
        """Write nothing until the consumer resumes."""
        self._consumer_paused = True
        self._pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue writing."""
        self._consumer_paused = False
        self._pump()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the waiting pieces and stop the producer; the consumer has closed."""
        self.drop()
        if self._producer is not None:
            self._producer.stopProducing()

    def drop(self) -> None:
        """Discard the waiting pieces; `dropped` is set if there were any."""
        self.dropped = self.dropped or bool(self._pieces)
        self._pieces.clear()
        if self._delayed_call is not None:
            self._delayed_call.cancel()
            self._delayed_call = None
        self._flushed.check()

    def flushed(self) -> "Deferred[None]":
        """Return a Deferred that fires once no piece waits."""
        return self._flushed.wait()

    def _pump(self) -> None:
        while self._pieces and not self._consumer_paused and self._delayed_call is None:
            delay = self._pacer.reserve(self._key, len(self._pieces[0]))
            if delay > _ZERO:
                self._delayed_call = self._reactor.callLater(delay.total_seconds(), self._continue)
                break
            self._consumer.write(self._pieces.popleft())
        if self._pieces:
            self._pause()
        elif not self._consumer_paused:
            self._resume()
        self._flushed.check()

    def _continue(self) -> None:
        self._delayed_call = None
        self._pump()

    def _pause(self) -> None:
        if self._producer is not None and not self._producer_paused:
            self._producer_paused = True
            self._producer.pauseProducing()

    def _resume(self) -> None:
        if self._producer is not None and self._producer_paused:
            self._producer_paused = False
            self._producer.resumeProducing()


@implementer(IBodyProducer)
class PacedBody:
    """A request body that is sent at the link's rate.

    Its end is reported only when the last piece has been written.
    """

    def __init__(self, reactor: t.Any, pacer: Pacer, key: str, body: IBodyProducer) -> None:
        self.length = body.length
        self._make_consumer = lambda consumer: PacedConsumer(reactor, pacer, key, consumer)
        self._body = body
        self._consumer: PacedConsumer | None = None

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Send the body to `consumer`."""
        self._consumer = self._make_consumer(_WriteOnly(consumer))
        self._consumer.registerProducer(self._body, True)
        done = self._body.startProducing(self._consumer)
        return done.addCallbacks(lambda _: self._consumer.flushed(), self._on_body_failure)

    def _on_body_failure(self, failure: Failure) -> Failure:
        self._consumer.drop()
        return failure

    def pauseProducing(self) -> None:  # noqa: N802
        """Write nothing until resumed."""
        self._consumer.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue writing."""
        self._consumer.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the waiting pieces and stop the body."""
        if self._consumer is not None:
            self._consumer.drop()
        self._body.stopProducing()


@implementer(IConsumer)
class _WriteOnly:
    """A consumer that registers no producer: the HTTP client controls the body itself."""

    def __init__(self, consumer: IConsumer) -> None:
        self._consumer = consumer

    def registerProducer(self, producer: t.Any, streaming: bool) -> None:  # noqa: N802
        """Ignore the producer."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Ignore the call."""

    def write(self, data: bytes) -> None:
        """Write one piece to the upstream."""
        self._consumer.write(data)
