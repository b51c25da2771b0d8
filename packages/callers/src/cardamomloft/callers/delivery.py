"""Streams one answer to its caller with back-pressure; a truncated answer is always visible."""

import typing as t

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer, IPushProducer
from zope.interface import implementer

from .exchange import Answer, Delivery, Source
from .request import CallerRequest


@implementer(IConsumer)
class AnswerWriter:
    """Writes a streamed answer; resets the connection if the body has the wrong length.

    Parameters
    ----------
    request
        The request to answer.
    answer
        The answer, whose body is a :class:`Source`.
    """

    def __init__(self, request: CallerRequest, answer: Answer) -> None:
        self._request = request
        self._answer = answer
        self._source = t.cast(Source, answer.body)
        self._expected_length = _content_length(answer)
        self._written = 0

    def start(self) -> "Deferred[Delivery]":
        """Write the head and the body; the Deferred fires with the result of the delivery."""
        self._request.begin_answer(self._answer)
        self._request.write(b"")
        self._request.disconnected.addCallback(lambda _: self._source.abort())
        return self._source.deliver(self).addCallback(self._delivered)

    def registerProducer(self, producer: IPushProducer, streaming: bool) -> None:  # noqa: N802
        """Register `producer` with the caller's connection for back-pressure."""
        if self._request.channel is not None:
            self._request.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister the producer from the caller's connection."""
        if self._request.channel is not None:
            self._request.unregisterProducer()

    def write(self, data: bytes) -> None:
        """Write a chunk of the body; abort if it exceeds the Content-Length."""
        self._written += len(data)
        if self._expected_length is not None and self._written > self._expected_length:
            self._source.abort()
            return
        self._request.write(data)

    def _delivered(self, delivery: Delivery) -> Delivery:
        if delivery.complete and not self._length_matches():
            detail = (
                f"body of {self._written} bytes, but Content-Length was {self._expected_length}"
            )
            delivery = Delivery(False, self._written, detail)
        if not delivery.complete:
            self._request.abort()
        elif not self._request.ended:
            self._request.finish()
        return delivery

    def _length_matches(self) -> bool:
        return self._expected_length is None or self._written == self._expected_length


def _content_length(answer: Answer) -> int | None:
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None
