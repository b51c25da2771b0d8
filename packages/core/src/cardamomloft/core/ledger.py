"""The ledger of one executor: what it has begun, and how that ended.

An id that the ledger has begun is never begun again while it could be accepted. Answers are kept
whole so that a repeat gets the first answer; when there is no room, new ids are refused and
nothing that may still be asked for is forgotten.
"""

import enum
import heapq
import typing as t
from collections.abc import Callable
from datetime import timedelta

from expression import Error, Ok, Result

from .clock import Clock
from .model import Refusal, RefusalReason, Unknown

GRACE = timedelta(minutes=5)
ANSWER_LIMIT = 16 * 1024

# Upper estimates of the memory of one entry without its id and answer, and of one header without
# its texts; docs/design/once.md has the measurement.
ENTRY_BYTES = 768
HEADER_BYTES = 176


class KeptAnswer(t.NamedTuple):
    """A whole answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes that keeping the answer takes."""
        texts = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + texts + HEADER_BYTES * len(self.headers)


class AnswerNotKept(t.NamedTuple):
    """The operation ran and completed with `status`; its answer is no longer held."""

    status: int


class Run(t.NamedTuple):
    """Run the operation now, once, and tell the ledger how it ended."""

    operation: str


class Join(t.NamedTuple):
    """The operation is in flight; wait for its outcome with :meth:`Ledger.join`."""

    operation: str


class Answered(t.NamedTuple):
    """The operation has completed; this is its whole answer."""

    answer: KeptAnswer


class Settled(t.NamedTuple):
    """The operation is over and there is no answer to give."""

    outcome: Unknown | AnswerNotKept


Outcome = KeptAnswer | AnswerNotKept | Unknown | Refusal
Standing = Join | Answered | Settled


class _State(enum.Enum):
    IN_FLIGHT = enum.auto()


IN_FLIGHT = _State.IN_FLIGHT
_Outcome = KeptAnswer | AnswerNotKept | Unknown | _State


class _Entry:
    """One operation; `leaves` is the second from which it may be forgotten."""

    __slots__ = ("charge", "fingerprint", "leaves", "outcome", "waiters")

    def __init__(self, fingerprint: str, leaves: int, charge: int) -> None:
        self.fingerprint = fingerprint
        self.leaves = leaves
        self.charge = charge
        self.outcome: _Outcome = IN_FLIGHT
        self.waiters: list[_Waiter] = []


class _Waiter:
    """One joined caller; `callback` is None once it has been called or has gone."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[Outcome], object]) -> None:
        self.callback: Callable[[Outcome], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Ledger:
    """Begins each operation at most once and keeps its outcome.

    Parameters
    ----------
    clock
        Only its monotonic time is used.
    max_operations
        Most operations held.
    max_bytes
        Most bytes held, each entry counted with :data:`ENTRY_BYTES`, its id and its answer. An
        operation in flight is counted with `answer_limit`, so there is always room for it.
    answer_limit
        Largest :attr:`KeptAnswer.size` that is kept.
    grace
        How long outcomes are held after an id has expired. Within it an expired id that is not
        here has provably not run; later its outcome is unknown.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_operations: int,
        max_bytes: int,
        answer_limit: int = ANSWER_LIMIT,
        grace: timedelta = GRACE,
    ) -> None:
        if grace <= timedelta(0):
            raise ValueError("grace must be positive")
        self._clock = clock
        self._max_operations = max_operations
        self._max_bytes = max_bytes
        self._answer_limit = answer_limit
        self._grace = grace
        self._entries: dict[str, _Entry] = {}
        # Operations by the second in which they leave, and a heap of these seconds.
        self._leaving: dict[int, set[str]] = {}
        self._seconds: list[int] = []
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def held_bytes(self) -> int:
        """Bytes counted against the bound."""
        return self._bytes

    def lookup(self, operation: str, fingerprint: str) -> Result[Standing | None, Refusal]:
        """Say where an operation stands without beginning it; None if it is not held."""
        self._forget()
        entry = self._entries.get(operation)
        if entry is None:
            return Ok(None)
        if entry.fingerprint != fingerprint:
            return Error(
                Refusal(
                    RefusalReason.OPERATION_REUSED,
                    "the id belongs to another request; this request was not run",
                )
            )
        return Ok(_standing(operation, entry.outcome))

    def begin(
        self, operation: str, fingerprint: str, expires: timedelta
    ) -> Result[Run | Standing, Refusal | Unknown]:
        """Begin an operation unless it is held already.

        Parameters
        ----------
        operation
            The whole id.
        fingerprint
            What must be equal whenever the id is presented.
        expires
            The monotonic instant from which the id may no longer begin; the same at each call
            for the same id, or earlier.

        Returns
        -------
        Result
            What to do. :class:`Run` is returned to exactly one caller. After `expires` an id
            that is not held is refused, and `grace` later its outcome is unknown, because the
            ledger may have forgotten it.
        """
        found = self.lookup(operation, fingerprint)
        if found.is_error() or found.ok is not None:
            return found
        now = self._clock.monotonic()
        if now >= expires + self._grace:
            return Error(Unknown("the id expired long ago; if it ran, that is forgotten"))
        if now >= expires:
            return Error(Refusal(RefusalReason.EXPIRED, "the id has expired and was not run"))
        charge = ENTRY_BYTES + len(operation) + self._answer_limit
        if len(self._entries) >= self._max_operations or self._bytes + charge > self._max_bytes:
            return Error(self._full())
        entry = _Entry(fingerprint, _second_after(expires + self._grace), charge)
        self._entries[operation] = entry
        self._bytes += charge
        self._schedule(operation, entry)
        return Ok(Run(operation))

    def join(self, operation: str, callback: Callable[[Outcome], object]) -> Callable[[], None]:
        """Have `callback` called once with the outcome of an operation in flight.

        Returns
        -------
        Callable
            Ends the wait without an outcome, for a caller that has gone; harmless when late.
        """
        waiter = _Waiter(callback)
        self._in_flight(operation).waiters.append(waiter)
        return waiter.cancel

    def finish(self, operation: str, answer: KeptAnswer | AnswerNotKept) -> tuple[Exception, ...]:
        """Keep the answer of an operation that has completed.

        An answer may also arrive after :meth:`unknown`. One above the limit goes whole to those
        who wait, and later repeats are told :class:`AnswerNotKept`.

        Returns
        -------
        tuple
            What callbacks have raised; every one of them was called all the same.
        """
        entry = self._open(operation)
        kept = answer if self._fits(entry, answer) else AnswerNotKept(answer.status)
        return self._settle(operation, entry, kept, answer)

    def unknown(self, operation: str, detail: str) -> tuple[Exception, ...]:
        """Record that an operation in flight may or may not have run; it is not run again."""
        entry = self._in_flight(operation)
        outcome = Unknown(detail)
        return self._settle(operation, entry, outcome, outcome)

    def not_run(self, operation: str, refusal: Refusal | None = None) -> tuple[Exception, ...]:
        """Free an id whose operation provably has not run, so that it may be begun again.

        Parameters
        ----------
        operation
            An operation in flight, or one that was unknown and has since been proved not run.
        refusal
            What those who wait are told.
        """
        entry = self._open(operation)
        self._leaving[entry.leaves].discard(operation)
        self._drop(operation, entry)
        default = Refusal(RefusalReason.UNREACHABLE, "the upstream has not run the request")
        return _tell(entry, refusal or default)

    def _open(self, operation: str) -> _Entry:
        entry = self._entries.get(operation)
        if entry is None or isinstance(entry.outcome, KeptAnswer | AnswerNotKept):
            raise ValueError(f"not in flight: {operation}")
        return entry

    def _in_flight(self, operation: str) -> _Entry:
        entry = self._entries.get(operation)
        if entry is None or entry.outcome is not IN_FLIGHT:
            raise ValueError(f"not in flight: {operation}")
        return entry

    def _fits(self, entry: _Entry, answer: KeptAnswer | AnswerNotKept) -> bool:
        if isinstance(answer, AnswerNotKept):
            return True
        # After unknown() the room set aside is gone, so a late answer may find none.
        if entry.outcome is not IN_FLIGHT and self._bytes + answer.size > self._max_bytes:
            return False
        return answer.size <= self._answer_limit

    def _settle(
        self,
        operation: str,
        entry: _Entry,
        kept: KeptAnswer | AnswerNotKept | Unknown,
        told: Outcome,
    ) -> tuple[Exception, ...]:
        size = kept.size if isinstance(kept, KeptAnswer) else 0
        charge = ENTRY_BYTES + len(operation) + size
        self._bytes += charge - entry.charge
        entry.charge = charge
        entry.outcome = kept
        return _tell(entry, told)

    def _schedule(self, operation: str, entry: _Entry) -> None:
        if entry.leaves not in self._leaving:
            self._leaving[entry.leaves] = set()
            heapq.heappush(self._seconds, entry.leaves)
        self._leaving[entry.leaves].add(operation)

    def _forget(self) -> None:
        now = self._clock.monotonic()
        while self._seconds and timedelta(seconds=self._seconds[0]) <= now:
            for operation in self._leaving.pop(heapq.heappop(self._seconds)):
                entry = self._entries[operation]
                if entry.outcome is IN_FLIGHT:
                    entry.leaves = _second_after(now + self._grace)
                    self._schedule(operation, entry)
                else:
                    self._drop(operation, entry)

    def _drop(self, operation: str, entry: _Entry) -> None:
        del self._entries[operation]
        self._bytes -= entry.charge

    def _full(self) -> Refusal:
        retry = None
        if self._seconds:
            retry = timedelta(seconds=self._seconds[0]) - self._clock.monotonic()
        detail = "there is no room to remember the outcome; the request was not run"
        return Refusal(RefusalReason.LEDGER_FULL, detail, retry)


def _second_after(instant: timedelta) -> int:
    return -(-instant // timedelta(seconds=1))


def _standing(operation: str, outcome: _Outcome) -> Standing:
    if isinstance(outcome, KeptAnswer):
        return Answered(outcome)
    if outcome is IN_FLIGHT:
        return Join(operation)
    return Settled(outcome)


def _tell(entry: _Entry, outcome: Outcome) -> tuple[Exception, ...]:
    # Detached first: a callback may present the same id again.
    waiters, entry.waiters = entry.waiters, []
    raised = []
    for waiter in waiters:
        callback, waiter.callback = waiter.callback, None
        if callback is None:
            continue
        try:
            callback(outcome)
        except Exception as exc:
            raised.append(exc)
    return tuple(raised)
