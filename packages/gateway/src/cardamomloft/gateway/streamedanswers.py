"""Streamed answers, whose end is known only after the request was logged as served."""

from collections.abc import Callable

from cardamomloft.callers.exchange import Answer, Delivery, Source
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer


def report_incomplete(answer: Answer, report: Callable[[Delivery], None]) -> Answer:
    """Return `answer`, of which an incomplete delivery is reported.

    Parameters
    ----------
    answer
        The answer. Nothing is reported unless its body is streamed.
    report
        Called with the delivery of a body that its caller does not get whole.
    """
    if isinstance(answer.body, bytes):
        return answer
    return answer._replace(body=_ReportedSource(answer.body, report))


class _ReportedSource:
    """Passes calls on to a source, and reports its delivery if that is incomplete."""

    def __init__(self, source: Source, report: Callable[[Delivery], None]) -> None:
        self._source = source
        self._report = report

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer`."""
        return self._source.deliver(consumer).addCallback(self._delivered)

    def abort(self) -> None:
        """Stop as soon as possible."""
        self._source.abort()

    def _delivered(self, delivery: Delivery) -> Delivery:
        if not delivery.complete:
            self._report(delivery)
        return delivery
