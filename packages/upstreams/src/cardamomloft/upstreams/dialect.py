"""Header names and HTTP conventions of upstreams; the defaults are this project's own."""

import re
import typing as t
from datetime import timedelta

REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-leaving"
RATE_LIMIT_HEADER = "x-rate-limit"
RETRY_AFTER_HEADER = "retry-after"
SHED_STATUS = 503

MAX_RETRY_AFTER = timedelta(hours=1)
"""Upper bound of an upstream's Retry-After time; longer times are reduced to it."""

_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?\Z", re.ASCII)
_LOAD = re.compile(r"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6})(?:,.*)?)?\Z", re.ASCII)

USUAL_WORK_PERCENT = 100
"""Work time that an endpoint reports while its machine is as fast as usual, in percent."""


class Dialect(t.NamedTuple):
    """Header names and conventions of upstream endpoints; header names are lower-case.

    Attributes
    ----------
    request_id, deadline_ms
        Request headers: the id, which the answer may echo, and the remaining milliseconds.
    not_run
        Answer header of a definite refusal; its value is ``1``.
    refusal_statuses
        Statuses that are a definite refusal in combination with `not_run`.
    misdirected
        Status with which an endpoint refuses a request meant for another incarnation, or None.
    expected
        Request header with the endpoint incarnation that is to run the request, or None.
    leaving
        Answer header of an endpoint that is shutting down; its value is ``1``.
    rate_limit
        Answer header of an endpoint that limits the requests per second from all entries together;
        its value is a decimal number.
    load
        Answer header with the endpoint's load as ``running,waiting,slots`` or
        ``running,waiting,slots,work_percent``, or None. Further figures are ignored.
    signature
        Answer header that every success of an endpoint has, or None. A success without it is not
        the endpoint's.
    close_ends_body
        Whether a body without a length is complete when its connection is closed cleanly.
    reuse_always
        Whether idle connections are reused for non-idempotent requests as well.
    """

    request_id: str = REQUEST_ID_HEADER
    deadline_ms: str = DEADLINE_HEADER
    not_run: str = NOT_RUN_HEADER
    refusal_statuses: frozenset[int] = frozenset({SHED_STATUS})
    misdirected: int | None = None
    expected: str | None = None
    leaving: str = LEAVING_HEADER
    rate_limit: str = RATE_LIMIT_HEADER
    load: str | None = None
    signature: str | None = None
    close_ends_body: bool = False
    reuse_always: bool = False

    def is_refusal(self, status: int, not_run: str | None) -> bool:
        """Return whether an answer proves that the request was not run."""
        if status == self.misdirected:
            return True
        return status in self.refusal_statuses and not_run == "1"

    def is_unsigned(self, status: int, signature: str | None) -> bool:
        """Return whether an answer is a success that lacks its signature."""
        return self.signature is not None and 200 <= status < 300 and not signature


class HeaderLoad(t.NamedTuple):
    """A load report from a header of an answer.

    `work_percent` is how long work takes on the endpoint's machine at this moment, in percent of
    the usual time.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_WORK_PERCENT


def parse_header_load(text: str | None) -> HeaderLoad | None:
    """Return the load report, or None if it is missing or malformed."""
    match = _LOAD.match(text) if text else None
    if match is None:
        return None
    running, waiting, slots = (int(part) for part in match.groups()[:3])
    # Work takes time, so a figure of 0 says nothing.
    return HeaderLoad(running, waiting, slots, int(match[4] or 0) or USUAL_WORK_PERCENT)


def states_work_time(text: str | None) -> bool:
    """Return whether a load report has a figure for the work time."""
    match = _LOAD.match(text) if text else None
    return match is not None and int(match[4] or 0) > 0


def parse_rate_limit(text: str | None) -> float | None:
    """Return the requests per second, or None if the header is missing or malformed."""
    match = _DECIMAL.match(text) if text else None
    return float(match[0]) if match else None


def parse_retry_after(text: str | None) -> timedelta | None:
    """Return the Retry-After time of a refusal, or None if it is missing or malformed.

    Only seconds, with fractions, are accepted: a date would depend on the clocks of both hosts.
    """
    match = _DECIMAL.match(text) if text else None
    return min(timedelta(seconds=float(match[0])), MAX_RETRY_AFTER) if match else None
