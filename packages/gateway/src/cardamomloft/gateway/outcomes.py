"""What came of one send: the kinds of outcome, and how an endpoint's answer is read."""

import typing as t
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

from cardamomloft.callers.exchange import Answer, Source, complete, end_to_end
from cardamomloft.upstreams.client import SendFailure, UpstreamAnswer
from cardamomloft.upstreams.dialect import (
    Dialect,
    HeaderLoad,
    parse_header_load,
    parse_retry_after,
)
from expression import Result

WHOLE_ANSWER = 256 * 1024
"""Bytes up to which an answer is held until it is whole, so that one cut short can be repeated."""

PROMISES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses by which callers take a request as not run and repeat it, whatever it does.

An endpoint that gives one without its definite mark may have run the request.
"""

_REJECTING = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


class Told(t.NamedTuple):
    """What an endpoint tells of itself with an answer.

    `leaving`: it is about to end. `leave_alone`: for how long it wants no more requests.
    """

    load: HeaderLoad | None = None
    leaving: bool = False
    leave_alone: timedelta | None = None

    def fields(self) -> dict[str, t.Any]:
        """Return what is out of the ordinary, for a log line."""
        found: dict[str, t.Any] = {"leaving": True} if self.leaving else {}
        if self.leave_alone is not None:
            found["leave_alone_ms"] = self.leave_alone // timedelta(milliseconds=1)
        return found


class Served(t.NamedTuple):
    """An endpoint's answer; `faulty` if it says that the endpoint itself has failed."""

    answer: Answer
    faulty: bool = False


class Refused(t.NamedTuple):
    """The endpoint has definitely refused the request; it was not run.

    `had_room`: it reported a free slot with the refusal.
    """

    detail: str
    misdirected: bool
    had_room: bool = False


class Failed(t.NamedTuple):
    """There is no whole answer; `not_run` only if nothing was sent.

    `cut`: the connection ended before an answer began, as when the endpoint crashes.
    """

    not_run: bool
    detail: str
    late: bool
    cut: bool = False


Outcome = Served | Refused | Failed


def told_by(answer: UpstreamAnswer, dialect: Dialect) -> Told:
    """Return what the endpoint that gave `answer` tells of itself."""
    headers = dict(reversed(answer.headers))
    if answer.status == dialect.misdirected:
        # Another endpoint than the one that was meant.
        return Told(parse_header_load(headers.get(dialect.load or "")))
    rejecting = answer.status in _REJECTING
    return Told(
        load=parse_header_load(headers.get(dialect.load or "")),
        leaving=headers.get(dialect.leaving) == "1",
        leave_alone=parse_retry_after(headers.get("retry-after")) if rejecting else None,
    )


async def read_outcome(
    result: Result[UpstreamAnswer, SendFailure],
    told: Told,
    dialect: Dialect,
    is_late: Callable[[], bool],
) -> Outcome:
    """Return what came of a send; an answer that is held is read to its end.

    Parameters
    ----------
    told
        What :func:`told_by` found in the answer.
    is_late
        Tells whether the caller's time is over by now.
    """
    match result:
        case Result(tag="error", error=failure):
            return Failed(failure.not_run, failure.detail, is_late(), failure.cut)
        case Result(ok=answer):
            pass
    if answer.not_run:
        answer.body.abort()
        load = told.load
        had_room = load is not None and load.running + load.waiting < load.slots
        return Refused(f"status {answer.status}", answer.status == dialect.misdirected, had_room)
    if answer.status in PROMISES:
        answer.body.abort()
        detail = f"status {answer.status} without a proof that it was not run"
        return Failed(False, detail, is_late())
    headers, faulty = _for_caller(answer), answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if answer.length is not None and answer.length > WHOLE_ANSWER:
        return Served(complete(answer.status, headers, t.cast(Source, answer.body)))
    match await answer.body.collect(WHOLE_ANSWER):
        case Result(tag="ok", ok=content):
            return Served(complete(answer.status, headers, content), faulty)
        case Result(error=detail):
            return Failed(False, detail, is_late())


def _for_caller(answer: UpstreamAnswer) -> tuple[tuple[str, str], ...]:
    headers = tuple(pair for pair in end_to_end(answer.headers) if pair[0] != "content-length")
    if answer.length is None:
        return headers
    return (*headers, ("content-length", str(answer.length)))
