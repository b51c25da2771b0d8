"""What is sent to upstream endpoints, and what becomes of it."""

import enum
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.model import Endpoint
from twisted.web.iweb import IBodyProducer

from .body import AnswerBody


class UpstreamRequest(t.NamedTuple):
    """One attempt to run a request at `endpoint`.

    `path` is the request target with its query, as the caller sent it. `timeout` covers the whole
    exchange, until the last byte of the answer was delivered. A request that is not `idempotent`
    gets a new connection unless the dialect allows reuse. `expected` identifies the endpoint
    incarnation that is to run it, if the dialect has a header for that. `new_connection` requires a
    new connection, and `patience` is the time in which it must be established, if that is shorter
    than the time of the client. `on_suspected` is called with the evidence, each time that the
    endpoint seems not to work while its answer is awaited; the exchange goes on.
    """

    endpoint: Endpoint
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: IBodyProducer | bytes | None
    timeout: timedelta
    request_id: str
    idempotent: bool = False
    expected: str | None = None
    new_connection: bool = False
    patience: timedelta | None = None
    on_suspected: Callable[[str], None] | None = None


class UpstreamAnswer(t.NamedTuple):
    """The head of an answer; `body` must be delivered, collected or aborted.

    `length` is the announced size of the body in bytes, or None. `not_run` is True if the upstream
    states that it refused the request without running it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    not_run: bool
    body: AnswerBody


class EndedBy(enum.StrEnum):
    """Who ended an exchange that has no answer.

    `CONNECTION`: no connection was established, or it was lost. `DEADLINE`: the time of the request
    was over. `CALLER`: the user of the client cancelled it. `SUSPICION`: the endpoint or the links
    to it seemed not to work, and nothing was sent. `ANSWER`: the answer belonged to another
    request. `MALFORMED`: the endpoint sent bytes that are no valid answer, or a success without its
    signature, and may have run the request. `OTHER_ATTEMPT`: another attempt of the request was
    answered.
    """

    CONNECTION = "connection"
    DEADLINE = "deadline"
    CALLER = "caller"
    SUSPICION = "suspicion"
    ANSWER = "answer"
    MALFORMED = "malformed-answer"
    OTHER_ATTEMPT = "other-attempt"


class SendFailure(t.NamedTuple):
    """The failure of a request without an answer.

    `not_run` is True only if no byte of the request can have been sent. `cut` is True if the
    connection was lost after that and before an answer began, as when the upstream crashes.
    `unreachable` is True if no connection could be established. `held` is the time for which the
    upstream may have had the request, None if it was not sent.
    """

    not_run: bool
    detail: str
    cut: bool = False
    unreachable: bool = False
    ended_by: EndedBy | None = None
    held: timedelta | None = None
