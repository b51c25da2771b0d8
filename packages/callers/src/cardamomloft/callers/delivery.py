"""Streams one answer to its caller with back-pressure; a truncated answer is always visible.

An answer of which nothing was written when its body fails is replaced by an error, so that it
doesn't end the connection.
"""

import typing as t

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer, IPushProducer
from zope.interface import implementer

from .exchange import Answer, Delivery, Source, deadline_exceeded, incomplete
from .request import CallerRequest


@implementer(IConsumer)
class AnswerWriter:
    """Writes a streamed answer; ends the connection if the body has the wrong length.

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
        self._begun = False

    def start(self) -> "Deferred[Delivery]":
        """Write the head and the body; the Deferred fires with the result of the delivery."""
        self._request.disconnected.addCallback(lambda _: self._source.abort())
        delivered = self._source.deliver(self)
        if not delivered.called:
            # A body whose failure is known is delivered at once, without a byte.
            self._begin()
        return delivered.addCallback(self._delivered)

    def _begin(self) -> None:
        if not self._begun:
            self._begun = True
            self._request.begin_answer(self._answer)
            self._request.write(b"")

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
        self._begin()
        self._request.write(data)

    def _delivered(self, delivery: Delivery) -> Delivery:
        if delivery.complete and not self._length_matches():
            detail = (
                f"body of {self._written} bytes, but Content-Length was {self._expected_length}"
            )
            delivery = Delivery(False, self._written, detail)
        if delivery.complete and not self._request.ended:
            self._begin()
            self._request.finish()
        elif not delivery.complete and self._begun:
            self._request.abort()
        elif not delivery.complete:
            replace = deadline_exceeded if delivery.expired else incomplete
            self._request.write_answer(replace(f"the answer was not passed on: {delivery.detail}"))
        return delivery

    def _length_matches(self) -> bool:
        return self._expected_length is None or self._written == self._expected_length


def _content_length(answer: Answer) -> int | None:
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None
