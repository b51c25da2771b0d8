"""Outcomes of one send to an endpoint, and how they are derived from its answer."""

import typing as t
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

from cardamomloft.callers.exchange import Answer, Source, complete, end_to_end
from cardamomloft.upstreams.dialect import (
    Dialect,
    HeaderLoad,
    parse_header_load,
    parse_rate_limit,
    parse_retry_after,
    states_work_time,
)
from cardamomloft.upstreams.sends import EndedBy, SendFailure, UpstreamAnswer
from expression import Result

MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
"""Answers up to this size are read completely before they are passed on, so that a truncated one
can be retried. Larger ones are streamed, whether their length is stated or not."""

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that make callers assume that the request was not run, and retry it even if it is not
idempotent.

An endpoint that answers with one but without the header that confirms a refusal may have run the
request."""

_RETRY_AFTER_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


class EndpointStatus(t.NamedTuple):
    """What an endpoint reports about itself with an answer.

    `leaving` means that it is about to stop; `pause` is the time for which it accepts no more
    requests; `rate_limit` is the number of requests per second that it accepts from all entries.
    `states_work` tells that `load` has a figure for the work time, and `elsewhere` that the answer
    comes from another endpoint than the one meant.
    """

    load: HeaderLoad | None = None
    leaving: bool = False
    pause: timedelta | None = None
    rate_limit: float | None = None
    states_work: bool = False
    elsewhere: bool = False

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line, without the load and without defaults."""
        found: dict[str, t.Any] = {"leaving": True} if self.leaving else {}
        if self.pause is not None:
            found["pause_ms"] = self.pause // timedelta(milliseconds=1)
        if self.rate_limit is not None:
            found["rate_limit"] = self.rate_limit
        return found


class Served(t.NamedTuple):
    """An endpoint's answer; `faulty` if its status reports a failure of the endpoint."""

    answer: Answer
    faulty: bool = False


class Refused(t.NamedTuple):
    """The endpoint definitely refused the request, which was not run.

    `had_room` is set if it reported a free slot together with the refusal.
    """

    detail: str
    misdirected: bool
    had_room: bool = False


class Failed(t.NamedTuple):
    """There is no complete answer; `not_run` only if nothing was sent.

    `cut` is set if the connection ended before an answer began, as when the endpoint crashes, and
    `unreachable` if no connection could be established. `ended_by` tells who ended the exchange,
    and `held` for how long the endpoint may have had the request by then.
    """

    not_run: bool
    detail: str
    late: bool
    cut: bool = False
    unreachable: bool = False
    ended_by: EndedBy | None = None
    held: timedelta | None = None

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line that tell who ended the exchange."""
        found: dict[str, t.Any] = {"cut": True} if self.cut else {}
        if self.ended_by is not None:
            found["ended_by"] = str(self.ended_by)
        if self.held is not None:
            found["held_ms"] = round(self.held / timedelta(milliseconds=1), 1)
        return found


Outcome = Served | Refused | Failed


def is_good(outcome: Outcome | None) -> bool:
    """Return whether an endpoint has answered, and reports no failure of its own."""
    return isinstance(outcome, Served) and not outcome.faulty


def endpoint_status(answer: UpstreamAnswer, dialect: Dialect) -> EndpointStatus:
    """Return what an endpoint reports about itself with `answer`."""
    headers = dict(reversed(answer.headers))
    if answer.status == dialect.misdirected:
        # The answer comes from another endpoint than the one meant; only its load is used.
        load = parse_header_load(headers.get(dialect.load or ""))
        return EndpointStatus(load, elsewhere=True)
    rejecting = answer.status in _RETRY_AFTER_STATUSES
    return EndpointStatus(
        load=parse_header_load(headers.get(dialect.load or "")),
        leaving=headers.get(dialect.leaving) == "1",
        pause=parse_retry_after(headers.get("retry-after")) if rejecting else None,
        rate_limit=parse_rate_limit(headers.get(dialect.rate_limit)),
        states_work=states_work_time(headers.get(dialect.load or "")),
    )


async def read_outcome(
    result: Result[UpstreamAnswer, SendFailure],
    status: EndpointStatus,
    dialect: Dialect,
    is_late: Callable[[], bool],
) -> Outcome:
    """Return the outcome of a send, after reading an answer that is small enough to buffer.

    Parameters
    ----------
    status
        Result of :func:`endpoint_status` for the answer.
    is_late
        Returns whether the caller's deadline has passed.
    """
    match result:
        case Result(tag="error", error=failure):
            return Failed(
                failure.not_run,
                failure.detail,
                is_late(),
                failure.cut,
                failure.unreachable,
                failure.ended_by,
                failure.held,
            )
        case Result(ok=answer):
            pass
    if answer.not_run:
        answer.body.abort()
        load = status.load
        had_room = load is not None and load.running + load.waiting < load.slots
        return Refused(f"status {answer.status}", answer.status == dialect.misdirected, had_room)
    if answer.status in NOT_RUN_STATUSES:
        answer.body.abort()
        detail = f"status {answer.status} without a proof that it was not run"
        return Failed(False, detail, is_late())
    headers, faulty = _for_caller(answer), answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if answer.length is not None and answer.length > MAX_BUFFERED_ANSWER_BYTES:
        return Served(complete(answer.status, headers, t.cast(Source, answer.body)))
    match await answer.body.buffer(MAX_BUFFERED_ANSWER_BYTES):
        case Result(tag="ok", ok=content):
            whole = isinstance(content, bytes)
            return Served(complete(answer.status, headers, content), faulty and whole)
        case Result(error=detail):
            return Failed(False, detail, is_late())


def _for_caller(answer: UpstreamAnswer) -> tuple[tuple[str, str], ...]:
    headers = tuple(pair for pair in end_to_end(answer.headers) if pair[0] != "content-length")
    if answer.length is None:
        return headers
    return (*headers, ("content-length", str(answer.length)))
