"""Types shared by all packages: requests, endpoints, refusals and outcomes."""

import enum
import typing as t
from collections.abc import Mapping
from datetime import timedelta


class Priority(enum.IntEnum):
    """Priority of a request when capacity is short; a lower value is served first."""

    CRITICAL = 0
    NORMAL = 1
    BULK = 2


class Incarnation(t.NamedTuple):
    """One incarnation of an entry: a seat of the roster and the process that holds it.

    Each process draws a new random `number`, which no other incarnation of the seat has.
    """

    seat: str
    number: str

    def __str__(self) -> str:
        return f"{self.seat}/{self.number}"


class Request(t.NamedTuple):
    """The attributes of one caller's request that routing decisions use.

    `deadline` is a time of this entry's monotonic clock. `client` is the caller's IPv4 address as
    an integer. The names in `headers` are in lower case. `operation` is the raw value of the
    Idempotency-Key header. `size` is the length of the body in bytes, if known.
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
    """Why a request was refused; a refused request has not been run."""

    RULE = "refused-by-rule"
    NO_RULE = "no-rule-matches"
    NO_SERVICE = "no-such-service"
    NO_PLACE = "no-place-available"
    CAP = "shift-cap-reached"
    OVERLOAD = "overloaded"
    DEADLINE = "cannot-finish-in-time"
    STOPPING = "entry-is-stopping"
    NOT_READY = "entry-not-ready"
    BUSY = "entry-busy"
    NOT_A_PEER = "not-a-peer"
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
    UNAUTHENTICATED = "key-missing-or-unknown"
    UNVERIFIED = "keys-cannot-be-verified"
    QUOTA = "account-quota-used"


class Refusal(t.NamedTuple):
    """The definite statement that a request was not run.

    `retry_after` is the time that the caller should wait before it retries, None if not stated.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after: timedelta | None = None


class Unknown(t.NamedTuple):
    """The request may or may not have run, and is not retried here."""

    detail: str


class Hold(t.NamedTuple):
    """The right to use `amount` units of one limit, until the monotonic time `deadline`.

    `loan` is the id of the loan that the units come from; None for the entry's own share.
    """

    number: int
    key: str
    amount: int
    deadline: timedelta
    loan: int | None = None
