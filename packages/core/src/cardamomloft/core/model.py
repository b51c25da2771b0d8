"""The shared vocabulary of every package: requests, places, refusals and outcomes."""

import enum
import typing as t
from collections.abc import Mapping
from datetime import timedelta


class Priority(enum.IntEnum):
    """Order of service when capacity is short; the lower value goes first."""

    CRITICAL = 0
    NORMAL = 1
    BULK = 2


class Incarnation(t.NamedTuple):
    """One life of an entry: a seat in the roster and the process that holds it.

    `number` is drawn anew by each process; two lives of one seat never share it.
    """

    seat: str
    number: str

    def __str__(self) -> str:
        return f"{self.seat}/{self.number}"


class Request(t.NamedTuple):
    """What the decisions need to know about one caller's request.

    `deadline` is a monotonic instant of this entry's clock. `client` is the caller's IPv4 address
    as an integer. `headers` holds lower-case names. `operation` is the raw Idempotency-Key.
    """

    service: str
    method: str
    path: str
    client: int | None
    site: str | None
    headers: Mapping[str, str]
    priority: Priority
    idempotent: bool
    deadline: timedelta
    operation: str | None = None
    size: int | None = None


class Endpoint(t.NamedTuple):
    """One upstream address with its declared capacity."""

    name: str
    service: str
    zone: str
    region: str
    address: str
    slots: int
    connections: int


class RefusalReason(enum.StrEnum):
    """Why a request was refused. Every one of these means that it was not run."""

    RULE = "refused-by-rule"
    NO_RULE = "no-rule-matches"
    NO_SERVICE = "no-such-service"
    NO_PLACE = "no-place-available"
    CAP = "shift-cap-reached"
    OVERLOAD = "overloaded"
    DEADLINE = "cannot-finish-in-time"
    STOPPING = "entry-is-stopping"
    NOT_READY = "entry-not-ready"
    EXPIRED = "operation-id-expired"
    BAD_OPERATION = "operation-id-invalid"
    OPERATION_REUSED = "operation-id-reused-for-another-request"
    LEDGER_FULL = "ledger-full"
    CLAIM_UNAVAILABLE = "claim-store-unavailable"
    CLAIM_BUDGET = "claim-budget-spent"
    UNREACHABLE = "upstream-unreachable"
    SHED = "upstream-shed"
    QUARANTINED = "upstreams-crash-under-it"
    TOO_LARGE = "body-too-large"
    BAD_REQUEST = "bad-request"


class Refusal(t.NamedTuple):
    """A definite "not run", with when to come back and, if known, another entry to try."""

    reason: RefusalReason
    detail: str = ""
    retry_after: timedelta | None = None


class Unknown(t.NamedTuple):
    """The request may or may not have run, and it will not be repeated by us."""

    detail: str


class Hold(t.NamedTuple):
    """Permission to use `amount` of one limit until `deadline` (monotonic) at the latest."""

    number: int
    key: str
    amount: int
    deadline: timedelta
    loan: int | None = None
