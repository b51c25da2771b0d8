"""The ledger of one executor: the operations it has begun, and their outcomes.

An operation that has been begun is not begun again while its id is accepted. The ledger stores
complete answers, so that a repeated request gets the first answer. When the ledger is full it
refuses new ids; it never evicts an operation that may still be presented.
"""

import enum
import heapq
import typing as t
from collections.abc import Callable
from datetime import timedelta

from expression import Error, Ok, Result

from .clock import Clock
from .model import Refusal, RefusalReason, Unknown

EXPIRY_GRACE = timedelta(minutes=5)
MAX_ANSWER_BYTES = 16 * 1024

# Upper estimates of the memory of one operation without its id and answer, and of one header
# without its name and value.
OPERATION_OVERHEAD_BYTES = 768
HEADER_OVERHEAD_BYTES = 176


class KeptAnswer(t.NamedTuple):
    """A complete answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Memory that storing the answer takes, in bytes."""
        texts = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + texts + HEADER_OVERHEAD_BYTES * len(self.headers)


class AnswerNotKept(t.NamedTuple):
    """The operation completed with `status`; its answer is not stored."""

    status: int


class Run(t.NamedTuple):
    """Run the operation now, once, and report its outcome to the ledger."""

    operation: str


class Join(t.NamedTuple):
    """The operation is in flight; wait for its outcome with :meth:`Ledger.join`."""

    operation: str


class Answered(t.NamedTuple):
    """The operation has completed with this answer."""

    answer: KeptAnswer


class Settled(t.NamedTuple):
    """The operation is over and its answer is not available."""

    outcome: Unknown | AnswerNotKept


Outcome = KeptAnswer | AnswerNotKept | Unknown | Refusal
OperationStatus = Join | Answered | Settled


class _State(enum.Enum):
    IN_FLIGHT = enum.auto()


IN_FLIGHT = _State.IN_FLIGHT
_Outcome = KeptAnswer | AnswerNotKept | Unknown | _State


class _Record:
    """One operation; it may be evicted from `evict_at_s` on, in seconds of monotonic time."""

    __slots__ = ("charged_bytes", "evict_at_s", "fingerprint", "outcome", "waiters")

    def __init__(self, fingerprint: str, evict_at_s: int, charged_bytes: int) -> None:
        self.fingerprint = fingerprint
        self.evict_at_s = evict_at_s
        self.charged_bytes = charged_bytes
        self.outcome: _Outcome = IN_FLIGHT
        self.waiters: list[_Waiter] = []


class _Waiter:
    """One joined caller; `callback` is None after it was called or the caller disconnected."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[Outcome], object]) -> None:
        self.callback: Callable[[Outcome], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Ledger:
    """Begins each operation at most once and stores its outcome.

    Parameters
    ----------
    clock
        Only its monotonic time is used.
    max_operations
        Maximum number of operations held.
    max_bytes
        Maximum memory. An operation counts with :data:`OPERATION_OVERHEAD_BYTES`, its id and its
        answer; one in flight counts with `max_answer_bytes`, so that its answer will fit.
    max_answer_bytes
        Largest :attr:`KeptAnswer.size` that is stored.
    grace
        How long outcomes are held after an id has expired. During this time an expired id that
        the ledger does not hold has provably not run; later its outcome is unknown.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_operations: int,
        max_bytes: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        grace: timedelta = EXPIRY_GRACE,
    ) -> None:
        if grace <= timedelta(0):
            raise ValueError(f"grace must be positive, got {grace}")
        self._clock = clock
        self._max_operations = max_operations
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._grace = grace
        self._records: dict[str, _Record] = {}
        # Operations by the second from which they may be evicted, and a heap of these seconds.
        self._eviction_buckets: dict[int, set[str]] = {}
        self._eviction_heap: list[int] = []
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def held_bytes(self) -> int:
        """Bytes counted against `max_bytes`."""
        return self._bytes

    def lookup(self, operation: str, fingerprint: str) -> Result[OperationStatus | None, Refusal]:
        """Return the status of an operation without beginning it; None if it is not held."""
        self._evict()
        record = self._records.get(operation)
        if record is None:
            return Ok(None)
        if record.fingerprint != fingerprint:
            return Error(
                Refusal(
                    RefusalReason.OPERATION_REUSED,
                    "the id belongs to another request; this request was not run",
                )
            )
        return Ok(_status_of(operation, record.outcome))

    def begin(
        self, operation: str, fingerprint: str, expires: timedelta
    ) -> Result[Run | OperationStatus, Refusal | Unknown]:
        """Begin an operation unless it is held already.

        Parameters
        ----------
        operation
            The complete id.
        fingerprint
            Digest of the request, which must be equal each time the id is presented.
        expires
            The monotonic time from which the operation may no longer begin. It must not be later
            than at an earlier call for the same id.

        Returns
        -------
        Result
            What to do. :class:`Run` is returned to exactly one caller. After `expires` an id
            that is not held is refused; `grace` later its outcome is unknown, because the ledger
            may have evicted it.
        """
        found = self.lookup(operation, fingerprint)
        if found.is_error() or found.ok is not None:
            return found
        now = self._clock.monotonic()
        if now >= expires + self._grace:
            return Error(Unknown("the id expired long ago; whether it ran is no longer recorded"))
        if now >= expires:
            return Error(Refusal(RefusalReason.EXPIRED, "the id has expired and was not run"))
        charged_bytes = OPERATION_OVERHEAD_BYTES + len(operation) + self._max_answer_bytes
        if (
            len(self._records) >= self._max_operations
            or self._bytes + charged_bytes > self._max_bytes
        ):
            return Error(self._full_refusal())
        record = _Record(fingerprint, _second_after(expires + self._grace), charged_bytes)
        self._records[operation] = record
        self._bytes += charged_bytes
        self._schedule(operation, record)
        return Ok(Run(operation))

    def join(self, operation: str, callback: Callable[[Outcome], object]) -> Callable[[], None]:
        """Call `callback` once with the outcome of an operation in flight.

        Returns
        -------
        Callable
            Cancels the callback, for a caller that disconnected; without effect after the call.
        """
        waiter = _Waiter(callback)
        self._in_flight(operation).waiters.append(waiter)
        return waiter.cancel

    def finish(self, operation: str, answer: KeptAnswer | AnswerNotKept) -> tuple[Exception, ...]:
        """Store the answer of an operation that has completed.

        An answer may also arrive after :meth:`unknown`. One above the size limit is passed to the
        joined callers only, and later requests with the id get :class:`AnswerNotKept`.

        Returns
        -------
        tuple
            The exceptions that callbacks raised. Each callback is called even if others raise.
        """
        record = self._unfinished(operation)
        kept = answer if self._fits(record, answer) else AnswerNotKept(answer.status)
        return self._settle(operation, record, kept, answer)

    def unknown(self, operation: str, detail: str) -> tuple[Exception, ...]:
        """Record that an operation in flight may or may not have run; it is not run again."""
        record = self._in_flight(operation)
        outcome = Unknown(detail)
        return self._settle(operation, record, outcome, outcome)

    def not_run(self, operation: str, refusal: Refusal | None = None) -> tuple[Exception, ...]:
        """Remove an operation that provably has not run, so that its id may begin again.

        Parameters
        ----------
        operation
            An operation in flight, or one recorded as unknown and since proved not to have run.
        refusal
            The outcome for the joined callers; by default, that the upstream was unreachable.
        """
        record = self._unfinished(operation)
        self._eviction_buckets[record.evict_at_s].discard(operation)
        self._drop(operation, record)
        default = Refusal(RefusalReason.UNREACHABLE, "the upstream has not run the request")
        return _notify(record, refusal or default)

    def _unfinished(self, operation: str) -> _Record:
        record = self._records.get(operation)
        if record is None or isinstance(record.outcome, KeptAnswer | AnswerNotKept):
            raise ValueError(f"not in flight: {operation}")
        return record

    def _in_flight(self, operation: str) -> _Record:
        record = self._records.get(operation)
        if record is None or record.outcome is not IN_FLIGHT:
            raise ValueError(f"not in flight: {operation}")
        return record

    def _fits(self, record: _Record, answer: KeptAnswer | AnswerNotKept) -> bool:
        if isinstance(answer, AnswerNotKept):
            return True
        # unknown() released the memory reserved for the answer, so a late answer may not fit.
        if record.outcome is not IN_FLIGHT and self._bytes + answer.size > self._max_bytes:
            return False
        return answer.size <= self._max_answer_bytes

    def _settle(
        self,
        operation: str,
        record: _Record,
        kept: KeptAnswer | AnswerNotKept | Unknown,
        delivered: Outcome,
    ) -> tuple[Exception, ...]:
        size = kept.size if isinstance(kept, KeptAnswer) else 0
        charged_bytes = OPERATION_OVERHEAD_BYTES + len(operation) + size
        self._bytes += charged_bytes - record.charged_bytes
        record.charged_bytes = charged_bytes
        record.outcome = kept
        return _notify(record, delivered)

    def _schedule(self, operation: str, record: _Record) -> None:
        if record.evict_at_s not in self._eviction_buckets:
            self._eviction_buckets[record.evict_at_s] = set()
            heapq.heappush(self._eviction_heap, record.evict_at_s)
        self._eviction_buckets[record.evict_at_s].add(operation)

    def _evict(self) -> None:
        now = self._clock.monotonic()
        while self._eviction_heap and timedelta(seconds=self._eviction_heap[0]) <= now:
            for operation in self._eviction_buckets.pop(heapq.heappop(self._eviction_heap)):
                record = self._records[operation]
                if record.outcome is IN_FLIGHT:
                    record.evict_at_s = _second_after(now + self._grace)
                    self._schedule(operation, record)
                else:
                    self._drop(operation, record)

    def _drop(self, operation: str, record: _Record) -> None:
        del self._records[operation]
        self._bytes -= record.charged_bytes

    def _full_refusal(self) -> Refusal:
        retry = None
        if self._eviction_heap:
            retry = timedelta(seconds=self._eviction_heap[0]) - self._clock.monotonic()
        detail = "the ledger is full and cannot record the outcome; the request was not run"
        return Refusal(RefusalReason.LEDGER_FULL, detail, retry)


def _second_after(instant: timedelta) -> int:
    return -(-instant // timedelta(seconds=1))


def _status_of(operation: str, outcome: _Outcome) -> OperationStatus:
    if isinstance(outcome, KeptAnswer):
        return Answered(outcome)
    if outcome is IN_FLIGHT:
        return Join(operation)
    return Settled(outcome)


def _notify(record: _Record, outcome: Outcome) -> tuple[Exception, ...]:
    # The list is detached first, because a callback may present the same id again.
    waiters, record.waiters = record.waiters, []
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
