"""Failures of calls to the platform, and whether a failed call may have taken effect."""

import typing as t

from twisted.internet import error
from twisted.python.failure import Failure
from twisted.web.client import RequestNotSent

NOT_SENT = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.DNSLookupError,
    RequestNotSent,
)
"""Errors after which no byte of the request was sent."""

REFUSAL_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429})
"""Statuses that the store returns only if it has changed nothing."""


class StoreFailure(t.NamedTuple):
    """A call without a usable answer.

    An `ambiguous` write may have taken effect, or may still do so. The caller resolves it by
    reading the key, and by retrying the same conditional write if it is unchanged. Reads are never
    ambiguous. After an `unusable` answer, which is too long or can't be decoded, the same request
    would have the same answer.
    """

    ambiguous: bool
    detail: str
    unusable: bool = False


class AnswerTooLongError(ValueError):
    """An answer exceeds the size limit."""


class CallFailure(t.NamedTuple):
    """An HTTP call without a complete answer; `sent` if any byte may have been sent.

    `too_long` if the answer exceeded the size limit.
    """

    sent: bool
    detail: str
    too_long: bool = False


def call_failure(failure: Failure) -> CallFailure:
    """Convert the exception of an HTTP call to a `CallFailure`."""
    name = failure.type.__name__ if failure.type else "unknown error"
    detail = f"{name}: {failure.getErrorMessage()}"
    too_long = failure.check(AnswerTooLongError) is not None
    return CallFailure(failure.check(*NOT_SENT) is None, detail, too_long)


def status_failure(status: int, body: bytes, *, write: bool) -> StoreFailure:
    """Convert an unexpected `status`; a write is ambiguous unless the store refused it."""
    text = body[:200].decode("utf-8", "replace")
    return StoreFailure(write and status not in REFUSAL_STATUSES, f"status {status}: {text}")
