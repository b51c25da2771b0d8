"""Why a call to the platform failed, and whether it may have taken effect all the same."""

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
"""Errors after which no byte of the request can have left."""

REFUSING_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429})
"""Statuses that the store gives before it changes anything."""


class StoreFailure(t.NamedTuple):
    """A call without a usable answer.

    An `ambiguous` write may have taken effect, or may yet do so: the caller settles it by reading
    back, and by repeating the same conditional write when the read shows nothing. Reads are never
    ambiguous.
    """

    ambiguous: bool
    detail: str


class CallFailure(t.NamedTuple):
    """An HTTP exchange that did not end in a whole answer; `sent` if a byte may have left."""

    sent: bool
    detail: str


def call_failure(failure: Failure) -> CallFailure:
    """Return what `failure` of an HTTP exchange means."""
    name = failure.type.__name__ if failure.type else "unknown error"
    detail = f"{name}: {failure.getErrorMessage()}"
    return CallFailure(failure.check(*NOT_SENT) is None, detail)


def status_failure(status: int, body: bytes, *, write: bool) -> StoreFailure:
    """Return what an unexpected `status` means; a write is ambiguous unless it was refused."""
    text = body[:200].decode("utf-8", "replace")
    return StoreFailure(write and status not in REFUSING_STATUSES, f"status {status}: {text}")
