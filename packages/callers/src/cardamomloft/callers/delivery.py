"""Writing one answer to its caller, with back-pressure and without ever passing a part for all."""

import typing as t

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer, IPushProducer
from zope.interface import implementer

from .exchange import Answer, Delivery, Source
from .request import CallerRequest


@implementer(IConsumer)
class AnswerWriter:
    """Writes a streamed answer; a short or long body resets the caller's connection.

    Parameters
    ----------
    request
        The request to answer.
    answer
        Its answer, whose body is a :class:`Source`.
    """

    def __init__(self, request: CallerRequest, answer: Answer) -> None:
        self._request = request
        self._answer = answer
        self._source = t.cast(Source, answer.body)
        self._announced = _content_length(answer)
        self._written = 0

    def start(self) -> "Deferred[Delivery]":
        """Write the head and the body; the result says whether the caller got all of it."""
        self._request.begin_answer(self._answer)
        self._request.write(b"")
        self._request.gone.addCallback(lambda _: self._source.abort())
        return self._source.deliver(self).addCallback(self._delivered)

    def registerProducer(self, producer: IPushProducer, streaming: bool) -> None:  # noqa: N802
        """Let the caller's connection pause and resume `producer`."""
        if self._request.channel is not None:
            self._request.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Detach the producer."""
        if self._request.channel is not None:
            self._request.unregisterProducer()

    def write(self, data: bytes) -> None:
        """Write a part of the body; more than was announced is cut off here."""
        self._written += len(data)
        if self._announced is not None and self._written > self._announced:
            self._source.abort()
            return
        self._request.write(data)

    def _delivered(self, delivery: Delivery) -> Delivery:
        if delivery.complete and not self._as_announced():
            detail = f"{self._written} bytes where {self._announced} were announced"
            delivery = Delivery(False, self._written, detail)
        if not delivery.complete:
            self._request.abort()
        elif not self._request.over:
            self._request.finish()
        return delivery

    def _as_announced(self) -> bool:
        return self._announced is None or self._written == self._announced


def _content_length(answer: Answer) -> int | None:
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None
