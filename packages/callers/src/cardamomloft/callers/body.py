"""The body of a caller's request, streamed to one consumer with back-pressure.

Once `HIGH_WATER` bytes wait for the consumer, reading from the caller's connection is paused, so
that no more than about two socket reads are buffered.
"""

import typing as t
from collections import deque
from collections.abc import Callable

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from .waiting import Waiters

HIGH_WATER = 64 * 1024
"""Buffered bytes at which reading from the caller is paused."""


class BodyIncomplete(Exception):  # noqa: N818  (describes the state of the body)
    """The request body was truncated or malformed; the message gives the reason."""


class Flow(t.Protocol):
    """Flow control of reading from the caller's connection."""

    def pause_body(self) -> None:
        """Stop reading; bytes that were already read are still delivered."""
        ...

    def resume_body(self) -> None:
        """Resume reading."""
        ...


@implementer(IBodyProducer)
class RequestBody:
    """The body of one request; it can be consumed once, by a consumer or by `collect`.

    Parameters
    ----------
    length
        The Content-Length in bytes, or None for a chunked body.
    flow
        Pauses and resumes the connection that feeds this body.
    on_consume
        Called when the body is first consumed, to answer ``Expect: 100-continue``.

    Attributes
    ----------
    received
        Number of bytes received from the caller.
    ended
        Whether the whole body has been received.
    failure
        Why the body is incomplete, or None.
    max_buffered
        The largest number of bytes that was buffered at any time.
    max_size
        Maximum size of the body in bytes, or None. A larger one stays incomplete.
    is_too_large
        Whether it has more bytes than that.
    """

    def __init__(
        self, length: int | None, flow: Flow, on_consume: Callable[[], None] = lambda: None
    ) -> None:
        self.length = UNKNOWN_LENGTH if length is None else length
        self.received = 0
        self.ended = length == 0
        self.failure: str | None = None
        self.max_buffered = 0
        self.max_size: int | None = None
        self.is_too_large = False
        self._holder: _Holder | None = None
        self._content_length = length
        self._flow = flow
        self._on_consume = on_consume
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._consumer: IConsumer | None = None
        self._done: Deferred[None] | None = None
        self._consumed = False
        self._paused = False
        self._discarding = False
        self._passed_on = Waiters(lambda: not self.is_being_sent)

    @property
    def unconsumed(self) -> bool:
        """Whether no byte has been consumed, so that the body can still go to any upstream."""
        return not self._consumed

    @property
    def is_being_sent(self) -> bool:
        """Whether the rest of the body is passed on to a consumer as it arrives."""
        return self._consumer is not None and not self.ended and self.failure is None

    @property
    def announced_size(self) -> int:
        """The Content-Length in bytes, 0 for a chunked body."""
        return self._content_length or 0

    def passed_on(self) -> "Deferred[None]":
        """Return a Deferred that fires once no more of the body will be passed on."""
        return self._passed_on.wait()

    @property
    def remaining(self) -> int | None:
        """Number of bytes still to be received, or None if the length is not known."""
        if self.ended:
            return 0
        return None if self._content_length is None else self._content_length - self.received

    # Called by the connection.

    def data_received(self, data: bytes) -> None:
        """Pass bytes from the caller to the consumer, or buffer them."""
        self.received += len(data)
        if self.max_size is not None and self.received > self.max_size:
            self.is_too_large = True
            self.fail(f"the body exceeds the limit of {self.max_size} bytes")
        if self._discarding or self.failure is not None:
            return
        if self._consumer is not None and not self._paused and not self._chunks:
            self._consumer.write(data)
            return
        self._chunks.append(data)
        self._buffered += len(data)
        self.max_buffered = max(self.max_buffered, self._buffered)
        if self._holder is not None and not self._holder.is_full(self._buffered):
            return
        if self._buffered >= HIGH_WATER:
            self._flow.pause_body()

    def end(self) -> None:
        """Record that the whole body has been received."""
        if self.failure is None:
            self.ended = True
            self._finish_holding()
            self._finish_if_done()
            self._passed_on.check()

    def fail(self, detail: str) -> None:
        """Record that the body stays incomplete; the consumer gets no further byte."""
        if self.ended or self.failure is not None:
            return
        self.failure = detail
        self._drop_chunks()
        self._finish_holding()
        self._finish_if_done()
        self._passed_on.check()

    # IBodyProducer, called by the upstream client.

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write the body to `consumer`; the Deferred fails with :class:`BodyIncomplete`.

        Raises
        ------
        RuntimeError
            If the body was already consumed.
        """
        if self._consumed:
            raise RuntimeError("a request body can be consumed only once")
        self._consumed = True
        self._consumer = consumer
        done: Deferred[None] = Deferred(lambda _: self.stopProducing())
        self._done = done
        self._on_consume()
        self._pump()
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Buffer further bytes and stop reading from the caller."""
        self._paused = True
        if self._consumer is not None and not self.ended:
            self._flow.pause_body()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the buffered bytes and resume reading from the caller."""
        self._paused = False
        self._pump()

    def stopProducing(self) -> None:  # noqa: N802
        """Discard the rest of the body; the Deferred of `startProducing` never fires."""
        self._done = None
        self.discard()

    def discard(self) -> None:
        """Read and drop the rest of the body, so that the connection can be reused."""
        self._discarding = True
        self._consumer = None
        self._drop_chunks()
        self._flow.resume_body()
        self._passed_on.check()

    # For bodies that are read into memory.

    def collect(self, limit: int) -> "Deferred[Result[bytes, str]]":
        """Read the whole body into memory if it has at most `limit` bytes.

        A body with a larger Content-Length is not consumed. The error is a message; `failure` is
        also set if the caller sent less than it announced.
        """
        if self._content_length is not None and self._content_length > limit:
            return succeed(Error(f"body of {self._content_length} bytes exceeds {limit}"))
        return _Collector(self, limit).result

    def hold(self, limit: int) -> "Deferred[Result[bytes | None, str]]":
        """Read the whole body into memory if it has at most `limit` bytes.

        The result is None once there are more; the body can then be consumed. The error is a
        message, if the caller sends less than it announced or more than `max_size`. Cancelling the
        result discards the body.
        """
        holder = self._holder = _Holder(self, limit)
        self._on_consume()
        if self.ended or self.failure is not None:
            self._finish_holding()
        elif not holder.is_full(self._buffered):
            self._flow.resume_body()
        return holder.result

    def _finish_holding(self) -> None:
        holder, self._holder = self._holder, None
        if holder is None or holder.result.called:
            return
        if self.failure is not None:
            holder.result.callback(Error(self.failure))
            return
        content = b"".join(self._chunks)
        self._consumed = True
        self._drop_chunks()
        holder.result.callback(Ok(content))

    def _pump(self) -> None:
        while self._chunks and self._consumer is not None and not self._paused:
            chunk = self._chunks.popleft()
            self._buffered -= len(chunk)
            self._consumer.write(chunk)
        if self._consumer is None or self._paused:
            return
        if self.ended or self.failure is not None:
            self._finish_if_done()
        else:
            self._flow.resume_body()

    def _finish_if_done(self) -> None:
        if self._done is None or (self._chunks and self.failure is None):
            return
        done, self._done = self._done, None
        self._consumer = None
        if self.failure is None:
            done.callback(None)
        else:
            done.errback(BodyIncomplete(self.failure))

    def _drop_chunks(self) -> None:
        self._chunks.clear()
        self._buffered = 0


class _Holder:
    """Lets a body be buffered beyond `HIGH_WATER`, up to a limit of its own."""

    def __init__(self, body: RequestBody, limit: int) -> None:
        self.result: Deferred[Result[bytes | None, str]] = Deferred(lambda _: body.stopProducing())
        self._limit = limit

    def is_full(self, size: int) -> bool:
        """Return whether no more is to be buffered; tell the user once the limit is exceeded."""
        if size > self._limit and not self.result.called:
            self.result.callback(Ok(None))
        return self.result.called


@implementer(IConsumer)
class _Collector:
    """Collects a body of up to `limit` bytes."""

    def __init__(self, body: RequestBody, limit: int) -> None:
        self.result: Deferred[Result[bytes, str]] = Deferred(lambda _: body.stopProducing())
        self._body = body
        self._remaining = limit
        self._limit = limit
        self._chunks: list[bytes] = []
        body.startProducing(self).addCallbacks(self._complete, self._incomplete)

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Ignore the producer: the size limit bounds the buffer."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Ignore the producer."""

    def write(self, data: bytes) -> None:
        """Collect `data`, or stop if the limit is exceeded."""
        if len(data) > self._remaining:
            self._body.stopProducing()
            self.result.callback(Error(f"body exceeds {self._limit} bytes"))
            return
        self._remaining -= len(data)
        self._chunks.append(data)

    def _complete(self, _: None) -> None:
        self.result.callback(Ok(b"".join(self._chunks)))

    def _incomplete(self, failure: t.Any) -> None:
        self.result.callback(Error(str(failure.value)))
