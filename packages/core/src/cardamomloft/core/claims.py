"""Claims on operation ids that callers generate themselves.

Such an id does not name the entry that executes it. The entry that receives it therefore claims
it with a create-if-absent write of a key in the store. One entry succeeds, and only that process
may begin the operation, through its ledger. If the response to the write is lost, reading the key
shows who holds the claim. This module performs no I/O: the user of an :class:`Attempt` makes the
store call that each step describes.
"""

import hashlib
import typing as t
from collections.abc import Callable
from datetime import datetime, timedelta

import msgspec
from automat import TypeMachineBuilder
from expression import Error, Ok, Result
from typing_extensions import TypedDict

from .clock import Clock
from .model import Incarnation, Refusal, RefusalReason, Unknown
from .operations import ID_VALIDITY_WINDOW, CallerSuppliedId

MAX_ID_AHEAD = timedelta(minutes=5)
LOOK_BACK = timedelta(minutes=5)
MAX_CLOCK_SKEW = timedelta(minutes=5)
LEASE_ROTATION = timedelta(minutes=10)
MAX_CLOCK_DRIFT = 0.01

ID_REUSED = Refusal(RefusalReason.OPERATION_REUSED, "the id belongs to another request")
HOLDER_UNKNOWN = Unknown("another entry has claimed the id; which one could not be read")

_MAX_CREATE_ATTEMPTS = 3


class LeaseRequest(t.NamedTuple):
    """Create a store lease of `ttl`, which is never renewed; the times are from before the call."""

    ttl: timedelta
    requested: timedelta
    requested_at: datetime


class Lease(t.NamedTuple):
    """A lease that the store created for `request`."""

    name: str
    request: LeaseRequest


class CreateClaim(t.NamedTuple):
    """Create `key` under `lease` if it is absent, then call :meth:`Attempt.created`."""

    key: str
    value: bytes
    lease: str


class ReadClaim(t.NamedTuple):
    """Read `key` with a linearizable read, then call :meth:`Attempt.read`."""

    key: str


class Claimed(t.NamedTuple):
    """The claim is held by this process: begin the operation in the ledger with `expires`."""

    expires: timedelta


class HeldBy(t.NamedTuple):
    """Only `holder` may run it: forward it if that process is up, else the outcome is unknown."""

    holder: Incarnation


Step = CreateClaim | ReadClaim | Claimed | HeldBy | Refusal | Unknown


class ClaimRecord(TypedDict):
    """The stored value of a claim; its times are by the claimant's clocks, for its own use."""

    seat: str
    incarnation: str
    fingerprint: str
    claimed_ms: int
    lease_end_ms: int
    lease_end_at: t.Annotated[datetime, msgspec.Meta(tz=True)]


class WriteBudget:
    """A token bucket for store writes with rate `per_second` and a burst of one second."""

    def __init__(self, clock: Clock, per_second: float) -> None:
        if per_second <= 0:
            raise ValueError(f"the write budget must be positive, got {per_second} writes/s")
        self._clock = clock
        self._per_second = per_second
        self._tokens = max(1.0, per_second)
        self._refilled_at = clock.monotonic()

    def try_take(self) -> bool:
        """Take one token; return False if the bucket holds less than one."""
        now = self._clock.monotonic()
        refilled = (now - self._refilled_at).total_seconds() * self._per_second
        self._tokens = min(max(1.0, self._per_second), self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def set_rate(self, per_second: float) -> None:
        """Set the rate in writes per second; saved tokens are cut to the new burst size."""
        self._per_second = per_second
        self._tokens = min(self._tokens, max(1.0, per_second))

    def time_until_next(self) -> timedelta:
        """Return the time until the next token is available."""
        return timedelta(seconds=max(0.0, 1.0 - self._tokens) / self._per_second)


class Claims:
    """Starts attempts to claim ids and keeps the lease under which claims are written.

    A claim must exist for as long as any entry may accept its id. An id with timestamp `s` may be
    claimed while ``age < window``, where `age` is the wall time of the receiving entry minus `s`;
    after that an existing claim is still read while ``age < window + look_back``. If all wall
    clocks are within `max_skew` of true time, an operation may run under a claim only if the
    remaining time of the claim's lease is at least ::

        window + look_back - age + 2 * max_skew

    This is at most :attr:`retention`, because ids more than `max_ahead` in the future are refused.

    Parameters
    ----------
    me
        The claiming process.
    clock
        Its monotonic time and its wall time are both used: timestamps in ids are wall times.
    writes_per_s
        Maximum claims written per second by this process.
    window, look_back, max_ahead, max_skew
        Terms of the formula above.
    lease_rotation
        How long one lease is used for new claims before another one is created.
    drift
        How much faster than the local clock the store's clock may run, as a fraction.
    """

    def __init__(
        self,
        me: Incarnation,
        clock: Clock,
        *,
        writes_per_s: float,
        window: timedelta = ID_VALIDITY_WINDOW,
        look_back: timedelta = LOOK_BACK,
        max_ahead: timedelta = MAX_ID_AHEAD,
        max_skew: timedelta = MAX_CLOCK_SKEW,
        lease_rotation: timedelta = LEASE_ROTATION,
        drift: float = MAX_CLOCK_DRIFT,
    ) -> None:
        self.me = me
        self.clock = clock
        self.budget = WriteBudget(clock, writes_per_s)
        self.window = window
        self.look_back = look_back
        self._max_ahead = max_ahead
        self._max_skew = max_skew
        self._lease_rotation = lease_rotation
        self._drift = drift
        self._lease: Lease | None = None

    @property
    def retention(self) -> timedelta:
        """The longest time a claim can be needed; the ledger keeps claimed ids for as long."""
        return self.required_lease(-self._max_ahead)

    def required_lease(self, age: timedelta) -> timedelta:
        """Return the remaining lease time that a claim on an id of `age` needs for a run."""
        return self.window + self.look_back - age + 2 * self._max_skew

    def want_lease(self) -> LeaseRequest | None:
        """Return the lease to create now, or None while the current one is recent enough.

        Call this on every tick. If the response of the store is lost, the lease that it created
        expires unused.
        """
        now, wall_time = self.clock.monotonic(), self.clock.utcnow()
        if self._lease is not None:
            request = self._lease.request
            if (
                max(now - request.requested, wall_time - request.requested_at)
                < self._lease_rotation
            ):
                return None
        return LeaseRequest(self.retention + 2 * self._lease_rotation, now, wall_time)

    def on_lease(self, request: LeaseRequest, lease: str) -> None:
        """Use `lease`, which the store created for `request`, for new claims."""
        if self._lease is None or self._lease.request.requested <= request.requested:
            self._lease = Lease(lease, request)

    def drop_lease(self, lease: str) -> None:
        """Stop using `lease`, which no longer exists in the store."""
        if self._lease is not None and self._lease.name == lease:
            self._lease = None

    def start(
        self, own: CallerSuppliedId, fingerprint: str
    ) -> Result["Attempt", Refusal | Unknown]:
        """Start an attempt to claim `own`.

        Call it only for an id that the ledger does not hold.

        Errors
        ------
        Refusal
            The id is too far in the future, or there is no lease or write budget for a claim.
        Unknown
            The id is too old for its claim to be still recorded.
        """
        age = self.clock.utcnow() - own.stamped
        if -age > self._max_ahead:
            text = (
                f"the timestamp in the id is {-age} ahead of this entry's clock, "
                f"the maximum is {self._max_ahead}"
            )
            return Error(Refusal(RefusalReason.BAD_OPERATION, text))
        if age >= self.window + self.look_back:
            text = f"the timestamp in the id is {age} old by this entry's clock"
            return Error(Unknown(f"{text}; whether the operation ran is no longer recorded"))
        if age >= self.window:
            return Ok(Attempt(self, own, fingerprint, None))
        if self._lease is None or self._remaining(self._lease.request) < self.required_lease(age):
            return Error(_unavailable("no store lease lasts long enough for a claim on the id"))
        if not self.budget.try_take():
            return Error(self.budget_exhausted())
        return Ok(Attempt(self, own, fingerprint, self._lease))

    def lease_end(self, request: LeaseRequest) -> tuple[timedelta, datetime]:
        """Return the monotonic and wall time until which the store keeps a lease at least."""
        duration = request.ttl / (1 + self._drift)
        return request.requested + duration, request.requested_at + duration

    def _remaining(self, request: LeaseRequest) -> timedelta:
        end, end_at = self.lease_end(request)
        return min(end - self.clock.monotonic(), end_at - self.clock.utcnow())

    def budget_exhausted(self) -> Refusal:
        """Return the refusal for an exhausted write budget."""
        text = "too many claims on ids of the callers' own making; the request was not run"
        return Refusal(RefusalReason.CLAIM_BUDGET, text, self.budget.time_until_next())


class Attempt:
    """The attempt of one request to claim its id; `step` is the first store call to make.

    Report the result of each store call with the method that the step names, or with
    :meth:`failed`; each returns the next step. The attempt ends with the first step that is not a
    store call. `wall_time` is the store's time of the response, if known. It makes the attempt
    safe on a VM that was suspended, whose own clocks stood still.
    """

    def __init__(
        self, claims: Claims, own: CallerSuppliedId, fingerprint: str, lease: Lease | None
    ) -> None:
        self._claims = claims
        self._own = own
        self._fingerprint = fingerprint
        self.key = f"claims/{hashlib.sha256(own.text.encode('ascii')).hexdigest()}"
        self._creates = 0
        self._lease = lease
        self._store_time: datetime | None = None
        self._record = self._new_record(lease.request) if lease else None
        self._machine = _Machine(self, _creating if lease else _reading_only)
        self.step: Step = self.create() if lease else ReadClaim(self.key)

    def created(self, made: bool, wall_time: datetime | None = None) -> Step:
        """Handle the definite result of :class:`CreateClaim`; `made` if the key was created."""
        self._store_time = wall_time
        return self._machine.claim_created() if made else self._machine.key_exists()

    def read(self, value: bytes | None, wall_time: datetime | None = None) -> Step:
        """Handle the result of :class:`ReadClaim`; `value` is None if the key is absent."""
        self._store_time = wall_time
        if value is None:
            return self._on_absent_key()
        try:
            record = msgspec.json.decode(value, type=ClaimRecord)
        except msgspec.DecodeError:
            return self._machine.undecodable()
        if record["fingerprint"] != self._fingerprint:
            return self._machine.fingerprint_mismatch()
        self._record = record
        holder = Incarnation(record["seat"], record["incarnation"])
        return (
            self._machine.held_by_self()
            if holder == self._claims.me
            else self._machine.held_by_other()
        )

    def failed(self, ambiguous: bool) -> Step:
        """Handle a failed call; `ambiguous` if a write may have taken or may yet take effect."""
        return self._machine.ambiguous_failure() if ambiguous else self._machine.store_failure()

    def create(self) -> CreateClaim:
        """Return the step that writes the claim."""
        self._creates += 1
        return CreateClaim(self.key, msgspec.json.encode(self._record), self._lease.name)

    def claimed(self) -> Claimed | Unknown:
        """Return the final step for a claim held by this process."""
        claims, record = self._claims, self._record
        now, wall_time = claims.clock.monotonic(), self._latest_utc()
        expires = timedelta(milliseconds=record["claimed_ms"]) + claims.retention
        if now >= expires:
            return Unknown(
                "this entry claimed the id too long ago; whether it ran is no longer recorded"
            )
        age = wall_time - self._own.stamped
        end = timedelta(milliseconds=record["lease_end_ms"])
        remaining = min(end - now, record["lease_end_at"] - wall_time)
        if age >= claims.window or remaining < claims.required_lease(age):
            # Too late to run it, but the ledger may hold its outcome or prove that it did not run.
            expires = now
        return Claimed(expires)

    def held(self) -> HeldBy | Unknown:
        """Return the final step for a claim held by another process."""
        holder = Incarnation(self._record["seat"], self._record["incarnation"])
        if holder.seat == self._claims.me.seat:
            return Unknown("the executor has been replaced; outcome unknown, not repeated")
        return HeldBy(holder)

    def absent(self) -> Refusal | Unknown:
        """Return the final step for an absent claim on an id too old to be claimed."""
        if self._latest_utc() - self._own.stamped >= self._claims.window + self._claims.look_back:
            return Unknown("the id expired long ago; whether it ran is no longer recorded")
        return Refusal(RefusalReason.EXPIRED, "the id has expired and was not run")

    def _on_absent_key(self) -> Step:
        if self._lease is None:
            return self._machine.key_absent()
        may_create = self._creates < _MAX_CREATE_ATTEMPTS and self._claims.budget.try_take()
        return self._machine.key_absent() if may_create else self._machine.attempts_exhausted()

    def _latest_utc(self) -> datetime:
        wall_time = self._claims.clock.utcnow()
        return wall_time if self._store_time is None else max(wall_time, self._store_time)

    def _new_record(self, request: LeaseRequest) -> ClaimRecord:
        end, end_at = self._claims.lease_end(request)
        me, millisecond = self._claims.me, timedelta(milliseconds=1)
        return ClaimRecord(
            seat=me.seat,
            incarnation=me.number,
            fingerprint=self._fingerprint,
            claimed_ms=self._claims.clock.monotonic() // millisecond,
            lease_end_ms=end // millisecond,
            lease_end_at=end_at,
        )


class _Inputs(t.Protocol):
    """The inputs of the state machine: the possible results of a store call."""

    def claim_created(self) -> Step: ...
    def key_exists(self) -> Step: ...
    def ambiguous_failure(self) -> Step: ...
    def store_failure(self) -> Step: ...
    def held_by_self(self) -> Step: ...
    def held_by_other(self) -> Step: ...
    def fingerprint_mismatch(self) -> Step: ...
    def undecodable(self) -> Step: ...
    def key_absent(self) -> Step: ...
    def attempts_exhausted(self) -> Step: ...


def _unavailable(detail: str) -> Refusal:
    return Refusal(RefusalReason.CLAIM_UNAVAILABLE, f"{detail}; the request was not run")


def _output(method: Callable[[Attempt], Step]) -> Callable[[_Inputs, Attempt], Step]:
    return lambda _inputs, attempt: method(attempt)


_create = _output(Attempt.create)
_read = _output(lambda attempt: ReadClaim(attempt.key))
_claimed = _output(Attempt.claimed)
_held = _output(Attempt.held)
_expired = _output(Attempt.absent)
_store_unavailable = _output(lambda _attempt: _unavailable("the claim store does not respond"))
_id_reused = _output(lambda _attempt: ID_REUSED)
_holder_unknown = _output(lambda _attempt: HOLDER_UNKNOWN)

_builder = TypeMachineBuilder(_Inputs, Attempt)
_creating = _builder.state("creating the claim")
_resolving = _builder.state("resolving an ambiguous write")
_finding_holder = _builder.state("reading the holder of an existing claim")
_reading_only = _builder.state("reading without creating a claim")
_finished = _builder.state("finished")

_creating.upon(_Inputs.claim_created).to(_finished)(_claimed)
_creating.upon(_Inputs.key_exists).to(_finding_holder)(_read)
_creating.upon(_Inputs.ambiguous_failure).to(_resolving)(_read)
_creating.upon(_Inputs.store_failure).to(_finished)(_store_unavailable)

for _state in (_resolving, _finding_holder, _reading_only):
    _state.upon(_Inputs.held_by_self).to(_finished)(_claimed)
    _state.upon(_Inputs.held_by_other).to(_finished)(_held)
    _state.upon(_Inputs.fingerprint_mismatch).to(_finished)(_id_reused)
    _state.upon(_Inputs.undecodable).to(_finished)(_holder_unknown)

_resolving.upon(_Inputs.key_absent).to(_creating)(_create)
_reading_only.upon(_Inputs.key_absent).to(_finished)(_expired)
for _state in (_resolving, _reading_only):
    for _input in (_Inputs.ambiguous_failure, _Inputs.store_failure, _Inputs.attempts_exhausted):
        _state.upon(_input).to(_finished)(_store_unavailable)

# The key existed, so another process held the claim and may have run the operation.
for _input in (
    _Inputs.ambiguous_failure,
    _Inputs.store_failure,
    _Inputs.key_absent,
    _Inputs.attempts_exhausted,
):
    _finding_holder.upon(_input).to(_finished)(_holder_unknown)

_Machine = _builder.build()
