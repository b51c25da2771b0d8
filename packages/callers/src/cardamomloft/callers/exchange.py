"""Types of a caller's request and its answer, and the answer to each outcome.

Every answer has the header ``Cardamomloft-Outcome``. With it a caller can distinguish an upstream's
status from a refusal by this system, and a refusal (the request did not run) from an unknown
outcome (it may have run).
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
    RefusalReason.NOT_A_PEER: HTTPStatus.FORBIDDEN,
    RefusalReason.NO_SERVICE: HTTPStatus.NOT_FOUND,
    RefusalReason.EXPIRED: HTTPStatus.GONE,
    RefusalReason.BAD_OPERATION: HTTPStatus.BAD_REQUEST,
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.OPERATION_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.CLAIM_BUDGET: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    RefusalReason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
}

_AUTHENTICATE = ("WWW-Authenticate", "Bearer")
"""Header that every answer 401 must have (RFC 9110, section 15.5.2)."""


class RequestHead(t.NamedTuple):
    """The head of one request, without hop-by-hop headers.

    `path` and `query` are percent-encoded, as sent. Header names are lower-case, and values are
    decoded as Latin-1. `length` is the size of the body in bytes: 0 without a body, None if it is
    chunked. `target` is the path with its query, as sent; a path may have an empty query.
    """

    method: str
    path: str
    query: str
    headers: Headers
    client: str
    length: int | None
    chunked: bool
    target: str = ""

    @property
    def full_path(self) -> str:
        """The path with its query."""
        return self.target or (f"{self.path}?{self.query}" if self.query else self.path)


class Delivery(t.NamedTuple):
    """Result of delivering a streamed body; `received` counts the bytes from its source.

    `expired` tells that the body was given up at its deadline.
    """

    complete: bool
    received: int
    detail: str = ""
    expired: bool = False


class Source(t.Protocol):
    """A streamed body; deliver or abort it, or its connection stays open."""

    def deliver(self, consumer: IConsumer) -> "Deferred[Delivery]":
        """Write the body to `consumer` as a push producer."""
        ...

    def abort(self) -> None:
        """Stop as soon as possible; the delivery then ends incomplete. Idempotent."""
        ...


class Answer(t.NamedTuple):
    """An answer to a caller. A streamed `body` must match a ``content-length`` header."""

    status: int
    headers: Headers
    body: bytes | Source


class _GeneratedBody(t.TypedDict):
    """The JSON body of an answer that this system generates."""

    outcome: str
    reason: str
    detail: str
    retry_after_ms: t.NotRequired[int]


def complete(status: int, headers: Headers, body: bytes | Source) -> Answer:
    """Return the answer of an upstream with the outcome ``complete``."""
    reserved = {OUTCOME_HEADER.lower(), REASON_HEADER.lower()}
    kept = tuple(pair for pair in headers if pair[0].lower() not in reserved)
    return Answer(status, (*kept, (OUTCOME_HEADER, COMPLETE)), body)


def failed(detail: str, reason: str = "upstream-failed") -> Answer:
    """Return 502 for an idempotent request that may have run; the caller may retry it."""
    return _generated_answer(HTTPStatus.BAD_GATEWAY, FAILED, reason, detail)


def too_large(detail: str) -> Answer:
    """Return 413 for a body of which an endpoint may have got a part before its size was known."""
    reason = RefusalReason.TOO_LARGE
    return _generated_answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, UNKNOWN, reason, detail)


def internal_error(detail: str) -> Answer:
    """Return 500 after an internal error; the request may or may not have run."""
    return _generated_answer(HTTPStatus.INTERNAL_SERVER_ERROR, UNKNOWN, "internal-error", detail)


def deadline_exceeded(detail: str) -> Answer:
    """Return 504 for a request whose deadline has passed; it may have run."""
    return _generated_answer(HTTPStatus.GATEWAY_TIMEOUT, UNKNOWN, "deadline-passed", detail)


def incomplete(detail: str) -> Answer:
    """Return 502 in place of an answer that can't be passed on whole; the request may have run."""
    return _generated_answer(HTTPStatus.BAD_GATEWAY, UNKNOWN, "answer-incomplete", detail)


def with_fractional_retry_after(answer: Answer) -> Answer:
    """Return `answer` with Retry-After in decimal seconds, for callers that parse them."""
    wait_ms = next((value for name, value in answer.headers if name == RETRY_MS_HEADER), None)
    if wait_ms is None:
        return answer
    fractional = ("Retry-After", f"{int(wait_ms) / 1000:.3f}")
    headers = tuple(
        fractional if name == "Retry-After" else (name, value) for name, value in answer.headers
    )
    return answer._replace(headers=headers)


@singledispatch
def to_answer(outcome: object) -> Answer:
    """Return the answer for `outcome`.

    Raises
    ------
    TypeError
        If no answer is registered for the type of `outcome`.
    """
    raise TypeError(f"no answer registered for outcome type {type(outcome).__name__}")


@to_answer.register
def _(outcome: Refusal) -> Answer:
    status = _STATUS_OF_REASON.get(outcome.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    answer = _generated_answer(status, REFUSED, outcome.reason, outcome.detail, outcome.retry_after)
    if status is HTTPStatus.UNAUTHORIZED:
        return answer._replace(headers=(*answer.headers, _AUTHENTICATE))
    return answer


@to_answer.register
def _(outcome: Unknown) -> Answer:
    return _generated_answer(HTTPStatus.GATEWAY_TIMEOUT, UNKNOWN, "outcome-unknown", outcome.detail)


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return `headers` without hop-by-hop ones (RFC 9110, section 7.6.1)."""
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def _generated_answer(
    status: HTTPStatus,
    outcome: str,
    reason: str,
    detail: str,
    retry_after: timedelta | None = None,
) -> Answer:
    body = _GeneratedBody(outcome=outcome, reason=str(reason), detail=detail)
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
