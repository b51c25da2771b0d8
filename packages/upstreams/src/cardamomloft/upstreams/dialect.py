"""Names and customs in which upstreams differ; the defaults are this project's own."""

import re
import typing as t
from datetime import timedelta

REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-leaving"
RETRY_AFTER_HEADER = "retry-after"
SHED_STATUS = 503

MAX_RETRY_AFTER = timedelta(hours=1)
"""Longest time for which an upstream is left alone by its own wish; a longer one is taken for an
error, and means this much."""

_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?\Z", re.ASCII)
_LOAD = re.compile(r"(\d{1,6}),(\d{1,6}),(\d{1,6})\Z")


class Dialect(t.NamedTuple):
    """How upstream endpoints name things; header names are lower-case.

    Attributes
    ----------
    request_id, deadline_ms
        Headers of a request: its id, which the answer repeats, and the milliseconds left.
    not_run
        Header of a definite refusal; its value is ``1``.
    refusal_statuses
        Statuses that are a definite refusal together with `not_run`.
    misdirected
        Status by which an endpoint refuses a request that expects another one, or None.
    expected
        Header that names the endpoint life that is to run the request, or None.
    leaving
        Header of the answers of an endpoint that is leaving; its value is ``1``.
    load
        Header of answers with the endpoint's load as ``running,waiting,slots``, or None.
    close_ends_body
        Whether a body without a length is whole when its connection ends in order.
    reuse_always
        Whether kept connections also carry requests that must not run twice.
    """

    request_id: str = REQUEST_ID_HEADER
    deadline_ms: str = DEADLINE_HEADER
    not_run: str = NOT_RUN_HEADER
    refusal_statuses: frozenset[int] = frozenset({SHED_STATUS})
    misdirected: int | None = None
    expected: str | None = None
    leaving: str = LEAVING_HEADER
    load: str | None = None
    close_ends_body: bool = False
    reuse_always: bool = False

    def is_refusal(self, status: int, not_run: str | None) -> bool:
        """Tell whether an answer proves that the request was not run."""
        if status == self.misdirected:
            return True
        return status in self.refusal_statuses and not_run == "1"


class HeaderLoad(t.NamedTuple):
    """A load report in an answer's header."""

    running: int
    waiting: int
    slots: int


def parse_header_load(text: str | None) -> HeaderLoad | None:
    """Return the report, or None if there is none or it is malformed."""
    found = _LOAD.match(text) if text else None
    return HeaderLoad(*(int(part) for part in found.groups())) if found else None


def parse_retry_after(text: str | None) -> timedelta | None:
    """Return the time that a refusal_statuses endpoint wants to be left alone, or None.

    Only seconds are read, with fractions; a date depends on two clocks.
    """
    found = _SECONDS.match(text) if text else None
    return min(timedelta(seconds=float(found[0])), MAX_RETRY_AFTER) if found else None
