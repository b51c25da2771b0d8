"""Claims on ids of the callers' own making.

Such an id names no executor, so the entry that receives it first claims it: it creates a key in
the store that must not exist yet. One entry wins, and only that process may begin the operation,
by its ledger. Losing the answer of the write is settled by reading the key back. Everything here
is decision only; the caller makes the store calls that an :class:`Attempt` asks for.
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

AHEAD = timedelta(minutes=5)
LOOK_BACK = timedelta(minutes=5)
MAX_SKEW = timedelta(minutes=5)
LEASE_USE = timedelta(minutes=10)
DRIFT = 0.01

REUSED = Refusal(RefusalReason.OPERATION_REUSED, "the id belongs to another request")
TAKEN = Unknown("another entry has claimed the id, and the store does not say which")

_MAX_CREATES = 3


class LeaseRequest(t.NamedTuple):
    """Create a store lease of `ttl`; it is never renewed. The instants are from before the call."""

    ttl: timedelta
    asked: timedelta
    asked_at: datetime


class Lease(t.NamedTuple):
    """A lease that the store has created for `request`."""

    name: str
    request: LeaseRequest


class CreateClaim(t.NamedTuple):
    """Create `key` under `lease` if it is absent; then :meth:`Attempt.created`."""

    key: str
    value: bytes
    lease: str


class ReadClaim(t.NamedTuple):
    """Read `key`, consistently; then :meth:`Attempt.read`."""

    key: str


class Claimed(t.NamedTuple):
    """The claim is this process's: begin the operation in the ledger with `expires`."""

    expires: timedelta


class HeldBy(t.NamedTuple):
    """Only `holder` may run it: pass it on if that process lives, else the outcome is unknown."""

    holder: Incarnation


Step = CreateClaim | ReadClaim | Claimed | HeldBy | Refusal | Unknown


class ClaimRecord(TypedDict):
    """The value of a claim. Its times are of the claimant's clocks, and only it reads them."""

    seat: str
    incarnation: str
    fingerprint: str
    claimed_ms: int
    lease_end_ms: int
    lease_end_at: t.Annotated[datetime, msgspec.Meta(tz=True)]


class WriteBudget:
    """A token bucket that fills with `per_second` store writes and holds one second's worth."""

    def __init__(self, clock: Clock, per_second: float) -> None:
        if per_second <= 0:
            raise ValueError("the write budget must be positive")
        self._clock = clock
        self._per_second = per_second
        self._tokens = max(1.0, per_second)
        self._filled = clock.monotonic()

    def try_take(self) -> bool:
        """Take one write if there is one."""
        now = self._clock.monotonic()
        earned = (now - self._filled).total_seconds() * self._per_second
        self._tokens = min(max(1.0, self._per_second), self._tokens + earned)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def set_rate(self, per_second: float) -> None:
        """Change the budget; what has been saved up is kept within the new bound."""
        self._per_second = per_second
        self._tokens = min(self._tokens, max(1.0, per_second))

    def wait(self) -> timedelta:
        """Return how long until the next write."""
        return timedelta(seconds=max(0.0, 1.0 - self._tokens) / self._per_second)


class Claims:
    """Starts attempts to claim ids and keeps the lease under which claims are written.

    A claim must outlive every chance that its id is accepted anywhere. An id stamped `s` is
    accepted while `age < window`, with `age` the accepting entry's wall time minus `s`, and read
    only while `age < window + look_back`. With all wall clocks within `max_skew` of the true time
    a claim is good for a run only if its lease has at least ::

        window + look_back - age + 2 * max_skew

    left, which is at most :attr:`keep`. Ids more than `ahead` in the future are refused so that
    this has a bound.

    Parameters
    ----------
    me
        The process that claims.
    clock
        Both times are used; an own id can only be judged by the wall clock.
    writes_per_s
        Claims written per second by this process.
    window, look_back, ahead, max_skew
        See above.
    lease_use
        How long new claims are put under one lease.
    drift
        How much faster than ours the store's clock may count a lease.
    """

    def __init__(
        self,
        me: Incarnation,
        clock: Clock,
        *,
        writes_per_s: float,
        window: timedelta = ID_VALIDITY_WINDOW,
        look_back: timedelta = LOOK_BACK,
        ahead: timedelta = AHEAD,
        max_skew: timedelta = MAX_SKEW,
        lease_use: timedelta = LEASE_USE,
        drift: float = DRIFT,
    ) -> None:
        self.me = me
        self.clock = clock
        self.budget = WriteBudget(clock, writes_per_s)
        self.window = window
        self.look_back = look_back
        self._ahead = ahead
        self._max_skew = max_skew
        self._lease_use = lease_use
        self._drift = drift
        self._lease: Lease | None = None

    @property
    def keep(self) -> timedelta:
        """The longest that a claim can be needed; the ledger holds claimed ids as long."""
        return self.needed(-self._ahead)

    def needed(self, age: timedelta) -> timedelta:
        """Return the lease time that a claim on an id of `age` needs before it may run."""
        return self.window + self.look_back - age + 2 * self._max_skew

    def want_lease(self) -> LeaseRequest | None:
        """Return the lease to create now, or None while the present one will do.

        Ask again in each tick; a lost answer costs one unused lease, which the store lets lapse.
        """
        now, at = self.clock.monotonic(), self.clock.utcnow()
        if self._lease is not None:
            request = self._lease.request
            if max(now - request.asked, at - request.asked_at) < self._lease_use:
                return None
        return LeaseRequest(self.keep + 2 * self._lease_use, now, at)

    def on_lease(self, request: LeaseRequest, lease: str) -> None:
        """Use `lease`, which the store has created for `request`, for new claims."""
        if self._lease is None or self._lease.request.asked <= request.asked:
            self._lease = Lease(lease, request)

    def drop_lease(self, lease: str) -> None:
        """Stop using `lease`: the store does not know it any more."""
        if self._lease is not None and self._lease.name == lease:
            self._lease = None

    def start(
        self, own: CallerSuppliedId, fingerprint: str
    ) -> Result["Attempt", Refusal | Unknown]:
        """Begin to settle who may run `own`; ask the ledger first, it may know already."""
        age = self.clock.utcnow() - own.stamped
        if -age > self._ahead:
            text = f"the time in the id is {-age} ahead of this entry's clock"
            return Error(Refusal(RefusalReason.BAD_OPERATION, text))
        if age >= self.window + self.look_back:
            text = f"the time in the id is {age} old by this entry's clock"
            return Error(Unknown(f"{text}; if the operation ran, that is no longer recorded"))
        if age >= self.window:
            return Ok(Attempt(self, own, fingerprint, None))
        if self._lease is None or self._left(self._lease.request) < self.needed(age):
            return Error(_unavailable("there is no store lease that is long enough for a claim"))
        if not self.budget.try_take():
            return Error(self.overspent())
        return Ok(Attempt(self, own, fingerprint, self._lease))

    def lease_end(self, request: LeaseRequest) -> tuple[timedelta, datetime]:
        """Return until when the store surely keeps a lease, on both clocks."""
        life = request.ttl / (1 + self._drift)
        return request.asked + life, request.asked_at + life

    def _left(self, request: LeaseRequest) -> timedelta:
        end, end_at = self.lease_end(request)
        return min(end - self.clock.monotonic(), end_at - self.clock.utcnow())

    def overspent(self) -> Refusal:
        """Return the refusal for want of write budget."""
        text = "too many claims on ids of the callers' own making; the request was not run"
        return Refusal(RefusalReason.CLAIM_BUDGET, text, self.budget.wait())


class Attempt:
    """One request's way to a claim; `step` is the store call to make first.

    Report the outcome of each call by the method that its step names, or by :meth:`failed`; each
    returns the next step. The attempt is over with the first step that is no store call. `at` is
    the store's own time of the answer where that is known; it guards against a machine that was
    stopped together with its clocks.
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
        self._at: datetime | None = None
        self._record = self._new_record(lease.request) if lease else None
        self._machine = _Machine(self, _creating if lease else _looking)
        self.step: Step = self.create() if lease else ReadClaim(self.key)

    def created(self, made: bool, at: datetime | None = None) -> Step:
        """Take the store's definite answer to :class:`CreateClaim`."""
        self._at = at
        return self._machine.won() if made else self._machine.lost()

    def read(self, value: bytes | None, at: datetime | None = None) -> Step:
        """Take the store's answer to :class:`ReadClaim`; None is an absent key."""
        self._at = at
        if value is None:
            return self._read_absent()
        try:
            record = msgspec.json.decode(value, type=ClaimRecord)
        except msgspec.DecodeError:
            return self._machine.unreadable()
        if record["fingerprint"] != self._fingerprint:
            return self._machine.reused()
        self._record = record
        holder = Incarnation(record["seat"], record["incarnation"])
        return self._machine.mine() if holder == self._claims.me else self._machine.others()

    def failed(self, ambiguous: bool) -> Step:
        """Take a failed call; `ambiguous` if a write may have taken or may yet take effect."""
        return self._machine.unsure() if ambiguous else self._machine.away()

    def create(self) -> CreateClaim:
        """Return the write of the claim."""
        self._creates += 1
        return CreateClaim(self.key, msgspec.json.encode(self._record), self._lease.name)

    def claimed(self) -> Claimed | Unknown:
        """Return what this process may do with a claim of its own."""
        claims, record = self._claims, self._record
        now, at = claims.clock.monotonic(), self._latest()
        expires = timedelta(milliseconds=record["claimed_ms"]) + claims.keep
        if now >= expires:
            return Unknown("this entry claimed the id too long ago to tell whether it ran")
        age = at - self._own.stamped
        end = timedelta(milliseconds=record["lease_end_ms"])
        left = min(end - now, record["lease_end_at"] - at)
        if age >= claims.window or left < claims.needed(age):
            # Too late to run it, but the ledger may hold its outcome, or prove that it has none.
            expires = now
        return Claimed(expires)

    def held(self) -> HeldBy | Unknown:
        """Return what to do about a claim of another process."""
        holder = Incarnation(self._record["seat"], self._record["incarnation"])
        if holder.seat == self._claims.me.seat:
            return Unknown("the executor has been replaced; outcome unknown, not repeated")
        return HeldBy(holder)

    def absent(self) -> Refusal | Unknown:
        """Return what an absent claim means for an id too old to be claimed."""
        if self._latest() - self._own.stamped >= self._claims.window + self._claims.look_back:
            return Unknown("the id expired long ago; if it ran, that is no longer recorded")
        return Refusal(RefusalReason.EXPIRED, "the id has expired and was not run")

    def _read_absent(self) -> Step:
        if self._lease is None:
            return self._machine.absent()
        may_create = self._creates < _MAX_CREATES and self._claims.budget.try_take()
        return self._machine.absent() if may_create else self._machine.spent()

    def _latest(self) -> datetime:
        at = self._claims.clock.utcnow()
        return at if self._at is None else max(at, self._at)

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
    """What can come of a store call."""

    def won(self) -> Step: ...
    def lost(self) -> Step: ...
    def unsure(self) -> Step: ...
    def away(self) -> Step: ...
    def mine(self) -> Step: ...
    def others(self) -> Step: ...
    def reused(self) -> Step: ...
    def unreadable(self) -> Step: ...
    def absent(self) -> Step: ...
    def spent(self) -> Step: ...


def _unavailable(detail: str) -> Refusal:
    return Refusal(RefusalReason.CLAIM_UNAVAILABLE, f"{detail}; the request was not run")


def _output(method: Callable[[Attempt], Step]) -> Callable[[_Inputs, Attempt], Step]:
    return lambda _inputs, attempt: method(attempt)


_create = _output(Attempt.create)
_look = _output(lambda attempt: ReadClaim(attempt.key))
_claimed = _output(Attempt.claimed)
_held = _output(Attempt.held)
_expired = _output(Attempt.absent)
_away = _output(lambda _attempt: _unavailable("the store for claims does not answer"))
_reused = _output(lambda _attempt: REUSED)
_taken = _output(lambda _attempt: TAKEN)

_builder = TypeMachineBuilder(_Inputs, Attempt)
_creating = _builder.state("creating")
_checking = _builder.state("checking an ambiguous write")
_finding = _builder.state("finding the holder after a lost race")
_looking = _builder.state("looking for a claim without making one")
_over = _builder.state("over")

_creating.upon(_Inputs.won).to(_over)(_claimed)
_creating.upon(_Inputs.lost).to(_finding)(_look)
_creating.upon(_Inputs.unsure).to(_checking)(_look)
_creating.upon(_Inputs.away).to(_over)(_away)

for _state in (_checking, _finding, _looking):
    _state.upon(_Inputs.mine).to(_over)(_claimed)
    _state.upon(_Inputs.others).to(_over)(_held)
    _state.upon(_Inputs.reused).to(_over)(_reused)
    _state.upon(_Inputs.unreadable).to(_over)(_taken)

_checking.upon(_Inputs.absent).to(_creating)(_create)
_looking.upon(_Inputs.absent).to(_over)(_expired)
for _state in (_checking, _looking):
    for _input in (_Inputs.unsure, _Inputs.away, _Inputs.spent):
        _state.upon(_input).to(_over)(_away)

# Losing the race shows that somebody has held the claim and may have run it.
for _input in (_Inputs.unsure, _Inputs.away, _Inputs.absent, _Inputs.spent):
    _finding.upon(_input).to(_over)(_taken)

_Machine = _builder.build()
