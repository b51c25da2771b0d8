"""The body of a caller's request, streamed to one consumer with back-pressure.

No more than about two socket reads are held in memory: once `HIGH_WATER` bytes wait for the
consumer, reading from the caller's connection is paused.
"""

import typing as t
from collections import deque
from collections.abc import Callable

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

HIGH_WATER = 64 * 1024


class BodyIncomplete(Exception):  # noqa: N818  (the failure that IBodyProducer asks for)
    """The caller's body ended early or was malformed; the text says how."""


class Flow(t.Protocol):
    """Control over reading from the caller's connection."""

    def pause_body(self) -> None:
        """Stop reading; what was already read still arrives."""
        ...

    def resume_body(self) -> None:
        """Read again."""
        ...


@implementer(IBodyProducer)
class RequestBody:
    """The bytes of one request's body; they can be taken once, by a consumer or by `collect`.

    Parameters
    ----------
    length
        The announced size in bytes, or None for a chunked body.
    flow
        Pauses and resumes the connection that feeds this body.
    on_wanted
        Called when the body is first asked for (it answers ``Expect: 100-continue``).

    Attributes
    ----------
    received
        How many bytes have come from the caller.
    ended
        Whether the whole body has come.
    failure
        Why no more will come, or None.
    most_buffered
        The largest number of bytes that ever waited for the consumer.
    """

    def __init__(
        self, length: int | None, flow: Flow, on_wanted: Callable[[], None] = lambda: None
    ) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.received = 0
        self.ended = length == 0
        self.failure: str | None = None
        self.most_buffered = 0
        self._announced = length
        self._flow = flow
        self._on_wanted = on_wanted
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._consumer: IConsumer | None = None
        self._done: Deferred[None] | None = None
        self._taken = False
        self._paused = False
        self._discarding = False

    @property
    def unconsumed(self) -> bool:
        """Whether nothing has been taken yet, so that it can still be sent to any upstream."""
        return not self._taken

    @property
    def remaining(self) -> int | None:
        """How many bytes are still to come from the caller, or None if that is not known."""
        if self.ended:
            return 0
        return None if self._announced is None else self._announced - self.received

    # What the connection reports.

    def data_received(self, data: bytes) -> None:
        """Take bytes from the caller."""
        self.received += len(data)
        if self._discarding or self.failure is not None:
            return
        if self._consumer is not None and not self._paused and not self._chunks:
            self._consumer.write(data)
            return
        self._chunks.append(data)
        self._buffered += len(data)
        self.most_buffered = max(self.most_buffered, self._buffered)
        if self._buffered >= HIGH_WATER:
            self._flow.pause_body()

    def end(self) -> None:
        """Note that the last byte has come."""
        if self.failure is None:
            self.ended = True
            self._settle()

    def fail(self, detail: str) -> None:
        """Note that the body will never be whole; a consumer gets no further byte."""
        if self.ended or self.failure is not None:
            return
        self.failure = detail
        self._forget_chunks()
        self._settle()

    # IBodyProducer, as the upstream's side uses it.

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write the body to `consumer`; the result fails with :class:`BodyIncomplete`.

        Raises
        ------
        RuntimeError
            If the body was already taken.
        """
        if self._taken:
            raise RuntimeError("a request body can be taken only once")
        self._taken = True
        self._consumer = consumer
        done: Deferred[None] = Deferred(lambda _: self.stopProducing())
        self._done = done
        self._on_wanted()
        self._pump()
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold further bytes back and stop reading from the caller."""
        self._paused = True
        if self._consumer is not None and not self.ended:
            self._flow.pause_body()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on after a pause."""
        self._paused = False
        self._pump()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop the rest; the result of `startProducing` is not fired any more."""
        self._done = None
        self.discard()

    def discard(self) -> None:
        """Read the rest from the caller and drop it, so that the connection stays usable."""
        self._discarding = True
        self._consumer = None
        self._forget_chunks()
        self._flow.resume_body()

    # For bodies that fit into memory.

    def collect(self, limit: int) -> "Deferred[Result[bytes, str]]":
        """Take the whole body if it has at most `limit` bytes.

        A body that announces more is not touched. The error says what was wrong; `failure` is set
        when the caller did not send what it announced.
        """
        if self._announced is not None and self._announced > limit:
            return succeed(Error(f"body of {self._announced} bytes exceeds {limit}"))
        return _Collector(self, limit).result

    def _pump(self) -> None:
        while self._chunks and self._consumer is not None and not self._paused:
            chunk = self._chunks.popleft()
            self._buffered -= len(chunk)
            self._consumer.write(chunk)
        if self._consumer is None or self._paused:
            return
        if self.ended or self.failure is not None:
            self._settle()
        else:
            self._flow.resume_body()

    def _settle(self) -> None:
        if self._done is None or (self._chunks and self.failure is None):
            return
        done, self._done = self._done, None
        self._consumer = None
        if self.failure is None:
            done.callback(None)
        else:
            done.errback(BodyIncomplete(self.failure))

    def _forget_chunks(self) -> None:
        self._chunks.clear()
        self._buffered = 0


@implementer(IConsumer)
class _Collector:
    """Joins a body's bytes as long as they stay within a limit."""

    def __init__(self, body: RequestBody, limit: int) -> None:
        self.result: Deferred[Result[bytes, str]] = Deferred(lambda _: body.stopProducing())
        self._body = body
        self._left = limit
        self._limit = limit
        self._chunks: list[bytes] = []
        body.startProducing(self).addCallbacks(self._whole, self._incomplete)

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Accept the producer; the limit is what bounds it."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget the producer."""

    def write(self, data: bytes) -> None:
        """Keep `data`, or give up when it is too much."""
        if len(data) > self._left:
            self._body.stopProducing()
            self.result.callback(Error(f"body exceeds {self._limit} bytes"))
            return
        self._left -= len(data)
        self._chunks.append(data)

    def _whole(self, _: None) -> None:
        self.result.callback(Ok(b"".join(self._chunks)))

    def _incomplete(self, failure: t.Any) -> None:
        self.result.callback(Error(str(failure.value)))
