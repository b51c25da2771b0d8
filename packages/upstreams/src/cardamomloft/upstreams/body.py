"""Streaming of answer bodies with back-pressure, and detection of truncated bodies."""

import typing as t
from collections.abc import Callable

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IConsumer, IPushProducer
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IBodyProducer, IResponse
from zope.interface import implementer


class Delivery(t.NamedTuple):
    """Outcome of the delivery of a body; `received` is the number of bytes received.

    `expired` tells that the body was given up at its deadline.
    """

    complete: bool
    received: int
    detail: str = ""
    expired: bool = False


@implementer(IPushProducer)
class AnswerBody(Protocol):
    """Passes the body of a response to one consumer.

    A body is complete if its announced length or its last chunk was received. One that is ended
    only by the close of its connection may be truncated; it counts as complete only if
    `closed_cleanly` returns True.

    Parameters
    ----------
    response
        The response whose body this is.
    abort_connection
        Resets the upstream's connection.
    on_end
        Called once, when the body has ended or was aborted.
    closed_cleanly
        Called when a body without a length ends with its connection; returns whether the upstream
        closed the connection after a complete body.
    """

    def __init__(
        self,
        response: IResponse,
        abort_connection: Callable[[], None],
        on_end: Callable[[], None] = lambda: None,
        closed_cleanly: Callable[[], bool] = lambda: False,
    ) -> None:
        self._closed_cleanly = closed_cleanly
        self._response = response
        self._abort_connection = abort_connection
        self._on_end: Callable[[], None] | None = on_end
        self._consumer: IConsumer | None = None
        self._done: Deferred[Delivery] | None = None
        self._received = 0
        self._detail = ""
        self._aborted = False
        self._expired = False
        self._started = False

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer`; cancelling the result aborts the delivery.

        Raises
        ------
        RuntimeError
            If the body was already delivered or collected.
        """
        if self._started:
            raise RuntimeError("the body of an answer can be delivered or collected only once")
        self._started = True
        done: Deferred[Delivery] = Deferred(lambda _: self.abort("cancelled"))
        if self._aborted:
            done.callback(Delivery(False, 0, self._detail, self._expired))
            return done
        self._done = done
        self._consumer = consumer
        consumer.registerProducer(self, True)
        self._response.deliverBody(self)
        return done

    def collect(self, limit: int) -> "Deferred[Result[bytes, str]]":
        """Return the whole body, or an error if it exceeds `limit` bytes or is incomplete."""
        return _Collector(self, limit).result

    def buffer(self, limit: int) -> "Deferred[Result[bytes | BufferedBody, str]]":
        """Return the whole body, or one to deliver once it exceeds `limit` bytes.

        The error tells why a smaller body is incomplete. Cancelling the result aborts the body.
        """
        return BufferedBody(self, limit).result

    def expire(self, detail: str) -> None:
        """Abort the body at its deadline."""
        self._expired = not self._aborted
        self.abort(detail)

    def abort(self, detail: str = "aborted") -> None:
        """Reset the connection and end the delivery as incomplete; has no effect after the end."""
        if self._aborted or self._on_end is None:
            return
        self._aborted = True
        self._detail = detail
        try:
            self._abort_connection()
        finally:
            self._end(Delivery(False, self._received, detail, self._expired))

    # Protocol, called by the connection.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass received bytes on to the consumer."""
        if self._consumer is not None:
            self._received += len(data)
            self._consumer.write(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """End the delivery, complete or not."""
        is_clean = reason.check(PotentialDataLoss) and self._closed_cleanly()
        if reason.check(ResponseDone) or is_clean:
            self._end(Delivery(True, self._received))
        elif reason.check(PotentialDataLoss):
            self._end(Delivery(False, self._received, "ended only by the close of the connection"))
        else:
            detail = f"cut short after {self._received} bytes: {reason.getErrorMessage()}"
            self._end(Delivery(False, self._received, detail))

    # IPushProducer, called by the consumer.

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reading from the upstream."""
        if self._done is not None:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the upstream."""
        if self._done is not None:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Abort the delivery, because the consumer accepts no more data."""
        self.abort("the consumer stopped")

    def _end(self, delivery: Delivery) -> None:
        on_end, self._on_end = self._on_end, None
        done, self._done = self._done, None
        consumer, self._consumer = self._consumer, None
        if on_end is not None:
            on_end()
        if consumer is not None:
            consumer.unregisterProducer()
        if done is not None:
            done.callback(delivery)


@implementer(IConsumer)
class _Collector:
    """Collects a body in memory up to a size limit."""

    def __init__(self, body: AnswerBody, limit: int) -> None:
        self._body = body
        self._limit = limit
        self._remaining = limit
        self._chunks: list[bytes] = []
        self.result: Deferred[Result[bytes, str]] = body.deliver(self).addCallback(self._join)

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Accept the producer; it is never paused, since the size limit bounds the memory."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Do nothing; the end of the delivery is reported to `_join`."""

    def write(self, data: bytes) -> None:
        """Store `data`, or abort the delivery when the limit is exceeded."""
        self._remaining -= len(data)
        if self._remaining < 0:
            self._body.abort(f"body exceeds {self._limit} bytes")
        else:
            self._chunks.append(data)

    def _join(self, delivery: Delivery) -> Result[bytes, str]:
        return Ok(b"".join(self._chunks)) if delivery.complete else Error(delivery.detail)


@implementer(IConsumer, IPushProducer)
class BufferedBody:
    """A body of which the beginning is held in memory until the rest is wanted.

    Parameters
    ----------
    body
        The body, which is not delivered yet.
    limit
        Number of bytes beyond which reading pauses.

    Attributes
    ----------
    result
        Fires with the whole body, with this object once there are more bytes than `limit`, or with
        the reason why the body is incomplete.
    """

    def __init__(self, body: AnswerBody, limit: int) -> None:
        self._body = body
        self._limit = limit
        self._received = bytearray()
        self._consumer: IConsumer | None = None
        self._paused = False
        self._is_broken = False
        self._done: Deferred[Delivery] = Deferred(lambda _: self.abort("cancelled"))
        self.result: Deferred[Result[bytes | BufferedBody, str]] = Deferred(
            lambda _: self.abort("cancelled")
        )
        body.deliver(self).addCallback(self._end)

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write what was read to `consumer`, then the rest; cancelling the result aborts it.

        If the body is known to be incomplete, nothing is written.
        """
        if self._is_broken:
            self._received.clear()
            return self._done
        consumer.registerProducer(self, True)
        self._consumer = consumer
        received = bytes(self._received)
        self._received.clear()
        consumer.write(received)
        if self._done.called:
            consumer.unregisterProducer()
        elif not self._paused:
            self._body.resumeProducing()
        return self._done

    def abort(self, detail: str = "aborted") -> None:
        """Reset the connection and end the delivery as incomplete; has no effect after the end."""
        self._body.abort(detail)

    # IConsumer, called by the body.

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Accept the body as the producer."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister from the consumer."""
        if self._consumer is not None:
            self._consumer.unregisterProducer()

    def write(self, data: bytes) -> None:
        """Keep `data`, and pause the body beyond the limit; or pass it on."""
        if self._consumer is not None:
            self._consumer.write(data)
            return
        self._received += data
        if len(self._received) > self._limit and not self.result.called:
            self._body.pauseProducing()
            self.result.callback(Ok(self))

    # IPushProducer, called by the consumer.

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause reading from the upstream."""
        self._paused = True
        self._body.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the upstream."""
        self._paused = False
        self._body.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Abort the delivery, because the consumer accepts no more data."""
        self._body.stopProducing()

    def _end(self, delivery: Delivery) -> None:
        self._is_broken = not delivery.complete
        if self.result.called:
            self._done.callback(delivery)
        elif delivery.complete:
            self.result.callback(Ok(bytes(self._received)))
        else:
            self.result.callback(Error(delivery.detail))


@implementer(IBodyProducer)
class BytesProducer:
    """A request body that is held in memory."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write the whole body."""
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has been written."""
