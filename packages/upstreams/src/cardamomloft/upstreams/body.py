"""The body of an upstream's answer, streamed with back-pressure and checked for completeness."""

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
    """How the delivery of a body ended; `received` counts the bytes that came."""

    complete: bool
    received: int
    detail: str = ""


@implementer(IPushProducer)
class AnswerBody(Protocol):
    """Takes a response's body and passes it to one consumer.

    A body is complete only if its announced length or its last chunk has come: one that is ended
    by the close of its connection alone may have been cut short, unless `ended_in_order` says that
    the upstreams close in order after a whole body only.

    Parameters
    ----------
    response
        The response whose body this is.
    abort_connection
        Resets the upstream's connection.
    on_end
        Called once, when the body has ended or was aborted.
    ended_in_order
        Asked when a body without a length ends with its connection: whether it counts as whole.
    """

    def __init__(
        self,
        response: IResponse,
        abort_connection: Callable[[], None],
        on_end: Callable[[], None] = lambda: None,
        ended_in_order: Callable[[], bool] = lambda: False,
    ) -> None:
        self._ended_in_order = ended_in_order
        self._response = response
        self._abort_connection = abort_connection
        self._on_end: Callable[[], None] | None = on_end
        self._consumer: IConsumer | None = None
        self._done: Deferred[Delivery] | None = None
        self._received = 0
        self._detail = ""
        self._aborted = False
        self._taken = False

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer`; cancelling the result aborts.

        Raises
        ------
        RuntimeError
            If the body was already taken.
        """
        if self._taken:
            raise RuntimeError("an answer's body can be taken only once")
        self._taken = True
        done: Deferred[Delivery] = Deferred(lambda _: self.abort("cancelled"))
        if self._aborted:
            done.callback(Delivery(False, 0, self._detail))
            return done
        self._done = done
        self._consumer = consumer
        consumer.registerProducer(self, True)
        self._response.deliverBody(self)
        return done

    def collect(self, limit: int) -> "Deferred[Result[bytes, str]]":
        """Return the whole body if it has at most `limit` bytes."""
        return _Collector(self, limit).result

    def abort(self, detail: str = "aborted") -> None:
        """Reset the connection; the delivery ends incomplete. May be called again."""
        if self._aborted or self._on_end is None:
            return
        self._aborted = True
        self._detail = detail
        self._abort_connection()
        self._end(Delivery(False, self._received, detail))

    # The connection's side.

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a part of the body on."""
        if self._consumer is not None:
            self._received += len(data)
            self._consumer.write(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Note the end of the body and whether it was whole."""
        in_order = reason.check(PotentialDataLoss) and self._ended_in_order()
        if reason.check(ResponseDone) or in_order:
            self._end(Delivery(True, self._received))
        elif reason.check(PotentialDataLoss):
            self._end(Delivery(False, self._received, "ended only by the close of the connection"))
        else:
            detail = f"cut short after {self._received} bytes: {reason.getErrorMessage()}"
            self._end(Delivery(False, self._received, detail))

    # The consumer's side.

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the upstream."""
        if self._done is not None:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read again."""
        if self._done is not None:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Abort, since the consumer has gone."""
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
    """Joins a body's bytes as long as they stay within a limit."""

    def __init__(self, body: AnswerBody, limit: int) -> None:
        self._body = body
        self._limit = limit
        self._left = limit
        self._chunks: list[bytes] = []
        self.result: Deferred[Result[bytes, str]] = body.deliver(self).addCallback(self._join)

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Accept the producer; the limit is what bounds it."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget the producer."""

    def write(self, data: bytes) -> None:
        """Keep `data`, or abort when it is too much."""
        self._left -= len(data)
        if self._left < 0:
            self._body.abort(f"body exceeds {self._limit} bytes")
        else:
            self._chunks.append(data)

    def _join(self, delivery: Delivery) -> Result[bytes, str]:
        return Ok(b"".join(self._chunks)) if delivery.complete else Error(delivery.detail)


@implementer(IBodyProducer)
class BytesProducer:
    """A request body that is in memory already."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write all of it."""
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""
