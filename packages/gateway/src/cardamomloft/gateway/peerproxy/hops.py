"""Requests to other gateways, and what these answer."""

import re
import typing as t
from datetime import timedelta
from http import HTTPStatus

from cardamomloft.callers.exchange import (
    COMPLETE,
    OUTCOME_HEADER,
    REASON_HEADER,
    REFUSED,
    Answer,
    Source,
    end_to_end,
)
from cardamomloft.core.model import RefusalReason
from cardamomloft.gateway.outcomes import MAX_BUFFERED_ANSWER_BYTES
from cardamomloft.gateway.peerproxy.header import CONFIGURATION_HEADER
from cardamomloft.upstreams.sends import SendFailure, UpstreamAnswer
from expression import Result

_MS = timedelta(milliseconds=1)

_NUMBER = re.compile(r"[0-9]{1,18}\Z")

_OWN_HEADERS = frozenset({"content-length", CONFIGURATION_HEADER})
"""Headers of a hop's answer that the caller does not get as they are."""

_NOT_DELIVERED = "refused"

_HELPER_REASONS = frozenset(
    {
        RefusalReason.NOT_READY,
        RefusalReason.STOPPING,
        RefusalReason.UNREACHABLE,
        RefusalReason.BUSY,
        RefusalReason.NOT_A_PEER,
        RefusalReason.UNVERIFIED,
    }
)
"""Refusals for a reason that another gateway may not have."""


class Hop(t.NamedTuple):
    """One request to another gateway and its outcome, for the log."""

    peer: str
    duration: timedelta
    outcome: str
    detail: str
    configuration: int = 0

    @property
    def delivered(self) -> bool:
        """Whether an endpoint may have got the request."""
        return self.outcome != _NOT_DELIVERED

    def fields(self) -> dict[str, t.Any]:
        """Return the values for a log line."""
        return {
            "peer": self.peer,
            "ms": round(self.duration / _MS, 1),
            "outcome": self.outcome,
            "detail": self.detail,
            "configuration": self.configuration,
        }


class HopOutcome(t.NamedTuple):
    """What another gateway has answered.

    Attributes
    ----------
    answer
        The answer, None without a complete one.
    not_run
        Whether the request was not run there.
    reason
        The reason of its refusal, empty without one.
    detail
        Why there is no answer.
    lost
        Whether there was no connection to it, or the connection was lost.
    complete
        Whether the answer is that of an endpoint.
    configuration
        Number of the configuration that decided, 0 if that is not known.
    """

    answer: Answer | None
    not_run: bool
    reason: str = ""
    detail: str = ""
    lost: bool = False
    complete: bool = False
    configuration: int = 0

    @property
    def is_good(self) -> bool:
        """Whether an endpoint has answered, and reports no failure of its own."""
        answer = self.answer
        failed = answer is not None and answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        return self.complete and not failed

    @property
    def unable(self) -> bool:
        """Whether another gateway may be able to help where this one isn't."""
        return self.lost or self.reason in _HELPER_REASONS

    def record(self, peer: str, duration: timedelta) -> Hop:
        """Return what is logged of the request to a gateway."""
        answered = "failed" if self.answer is None else "served"
        outcome = _NOT_DELIVERED if self.not_run else answered
        return Hop(peer, duration, outcome, self.detail or self.reason, self.configuration)


async def read_hop(result: Result[UpstreamAnswer, SendFailure]) -> HopOutcome:
    """Return the outcome of a request to another gateway, after reading a small answer."""
    match result:
        case Result(tag="error", error=failure):
            lost = failure.not_run or failure.cut
            return HopOutcome(None, failure.not_run, detail=failure.detail, lost=lost)
        case Result(ok=answer):
            outcome = await _read_answer(answer)
            return outcome._replace(configuration=_configuration(answer))


def _configuration(answer: UpstreamAnswer) -> int:
    value = dict(answer.headers).get(CONFIGURATION_HEADER, "")
    return int(value) if _NUMBER.match(value) else 0


async def _read_answer(answer: UpstreamAnswer) -> HopOutcome:
    headers = dict(answer.headers)
    outcome = headers.get(OUTCOME_HEADER.lower())
    if outcome is None:
        answer.body.abort()
        return HopOutcome(None, False, detail="the answer is not that of a gateway")
    reason = headers.get(REASON_HEADER.lower(), "") if outcome == REFUSED else ""
    for_caller = tuple(pair for pair in end_to_end(answer.headers) if pair[0] not in _OWN_HEADERS)
    if answer.length is not None:
        for_caller = (*for_caller, ("content-length", str(answer.length)))
    if answer.length is not None and answer.length > MAX_BUFFERED_ANSWER_BYTES:
        whole = Answer(answer.status, for_caller, t.cast(Source, answer.body))
        return HopOutcome(whole, False, complete=outcome == COMPLETE)
    match await answer.body.buffer(MAX_BUFFERED_ANSWER_BYTES):
        case Result(tag="ok", ok=content):
            whole = Answer(answer.status, for_caller, content)
            not_run, complete = outcome == REFUSED, outcome == COMPLETE
            return HopOutcome(whole, not_run, reason, reason, complete=complete)
        case Result(error=detail):
            return HopOutcome(None, outcome == REFUSED, reason, detail)
