"""One request of a caller and its answer: the types, and the answer for each outcome.

Every answer names its outcome in the header ``Cardamomloft-Outcome``, so that a caller can tell an
upstream's own status from a refusal of this system, and a refusal (not run) from an unknown result.
"""

import math
import typing as t
from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatch
from http import HTTPStatus

import msgspec
from cardamomloft.core.model import Refusal, RefusalReason, Unknown
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer

OUTCOME_HEADER = "Cardamomloft-Outcome"
REASON_HEADER = "Cardamomloft-Reason"
RETRY_MS_HEADER = "Retry-After-Ms"

COMPLETE = "complete"
REFUSED = "refused"
UNKNOWN = "unknown"
FAILED = "failed"

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_STATUS_OF_REASON = {
    RefusalReason.RULE: HTTPStatus.FORBIDDEN,
    RefusalReason.NO_SERVICE: HTTPStatus.NOT_FOUND,
    RefusalReason.EXPIRED: HTTPStatus.GONE,
    RefusalReason.BAD_OPERATION: HTTPStatus.BAD_REQUEST,
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.OPERATION_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.CLAIM_BUDGET: HTTPStatus.TOO_MANY_REQUESTS,
}


class RequestHead(t.NamedTuple):
    """The head of one request, without hop-by-hop headers.

    `path` and `query` are as sent, still percent-encoded. Header names are lower-case and values
    Latin-1 text. `length` is the announced size of the body in bytes: 0 without a body, None when
    it is chunked.
    """

    method: str
    path: str
    query: str
    headers: Headers
    client: str
    length: int | None
    chunked: bool


class Delivery(t.NamedTuple):
    """How the delivery of a streamed body ended; `received` counts the bytes from its source."""

    complete: bool
    received: int
    detail: str = ""


class Source(t.Protocol):
    """A body that is streamed; either deliver it or abort it, so that its connection ends."""

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer` as a push producer."""
        ...

    def abort(self) -> None:
        """Stop as soon as possible; the delivery then ends incomplete. May be called again."""
        ...


class Answer(t.NamedTuple):
    """What the caller is to get. A ``content-length`` header binds a streamed `body`."""

    status: int
    headers: Headers
    body: bytes | Source


class _Explanation(t.TypedDict):
    """The JSON body of an answer that this system gives itself."""

    outcome: str
    reason: str
    detail: str
    retry_after_ms: t.NotRequired[int]


def complete(status: int, headers: Headers, body: bytes | Source) -> Answer:
    """Return an upstream's whole answer, marked as such."""
    own = {OUTCOME_HEADER.lower(), REASON_HEADER.lower()}
    kept = tuple(pair for pair in headers if pair[0].lower() not in own)
    return Answer(status, (*kept, (OUTCOME_HEADER, COMPLETE)), body)


def failed(detail: str, reason: str = "upstream-failed") -> Answer:
    """Return 502 for an idempotent request that may be repeated; it may have run."""
    return _explain(HTTPStatus.BAD_GATEWAY, FAILED, reason, detail)


def broken(detail: str) -> Answer:
    """Return 500 after a fault of this system; nothing is claimed about the run."""
    return _explain(HTTPStatus.INTERNAL_SERVER_ERROR, UNKNOWN, "internal-error", detail)


def deadline_exceeded(detail: str) -> Answer:
    """Return 504 for a request whose time is over; it may have run."""
    return _explain(HTTPStatus.GATEWAY_TIMEOUT, UNKNOWN, "deadline-passed", detail)


def with_fractional_retry_after(answer: Answer) -> Answer:
    """Return `answer` with a Retry-After in fractions of a second, for callers that read them."""
    wait_ms = next((value for name, value in answer.headers if name == RETRY_MS_HEADER), None)
    if wait_ms is None:
        return answer
    exact = ("Retry-After", f"{int(wait_ms) / 1000:.3f}")
    headers = tuple(
        exact if name == "Retry-After" else (name, value) for name, value in answer.headers
    )
    return answer._replace(headers=headers)


@singledispatch
def to_answer(outcome: object) -> Answer:
    """Return the answer that tells a caller about `outcome`.

    Raises
    ------
    TypeError
        If there is no answer for an outcome of this type.
    """
    raise TypeError(f"no answer for {type(outcome).__name__}")


@to_answer.register
def _(outcome: Refusal) -> Answer:
    status = _STATUS_OF_REASON.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    return _explain(status, REFUSED, outcome.reason, outcome.detail, outcome.retry_after)


@to_answer.register
def _(outcome: Unknown) -> Answer:
    return _explain(HTTPStatus.GATEWAY_TIMEOUT, UNKNOWN, "outcome-unknown", outcome.detail)


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return `headers` without those that belong to one connection only (RFC 9110, 7.6.1)."""
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _explain(
    status: HTTPStatus,
    outcome: str,
    reason: str,
    detail: str,
    retry_after: timedelta | None = None,
) -> Answer:
    body = _Explanation(outcome=outcome, reason=str(reason), detail=detail)
    headers = [
        ("Content-Type", "application/json"),
        ("Cache-Control", "no-store"),
        (OUTCOME_HEADER, outcome),
        (REASON_HEADER, str(reason)),
    ]
    if retry_after is not None:
        wait_ms = max(0, math.ceil(retry_after / timedelta(milliseconds=1)))
        body["retry_after_ms"] = wait_ms
        headers.append(("Retry-After", str(math.ceil(wait_ms / 1000))))
        headers.append((RETRY_MS_HEADER, str(wait_ms)))
    return Answer(int(status), tuple(headers), msgspec.json.encode(body))
