"""The bounded, ordered queue of one service's requests for which no endpoint has capacity."""

import enum
import typing as t
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.queueing.estimate import CompletionEstimate
from cardamomloft.core.queueing.returns import CallerIdentity, ReturnPlan
from cardamomloft.core.queueing.servedshares import ServedShares
from cardamomloft.core.retryafter import RetryAfterBounds

CHECK_INTERVAL = timedelta(milliseconds=50)
"""Maximum time between two attempts to send waiting requests."""

ANONYMOUS = ""
"""Name under which all callers without an account share the service."""

_ZERO = timedelta(0)


class QueueBounds(t.NamedTuple):
    """Bounds of one service's queue: requests, bytes of buffered bodies, and time in the queue.

    The requests that a gateway serves in `wait` are far fewer than `count`, which bounds the cost
    of looking for one that can be sent.
    """

    count: int = 100
    size: int = 2 * 1024 * 1024
    wait: timedelta = timedelta(seconds=2)


class Eviction(enum.StrEnum):
    """Why a request was refused by the queue.

    `PREDICTED`: no answer is expected before its deadline. `FULL`: it was the last in order of a
    full queue. `EXPIRED`: it has waited for as long as the queue holds requests. `STOPPING`: the
    gateway stops before it could be answered. `DISABLED`: the queue was switched off.
    """

    PREDICTED = "predicted"
    FULL = "full"
    EXPIRED = "expired"
    STOPPING = "stopping"
    DISABLED = "disabled"


class Waiter:
    """A request that waits for capacity.

    Parameters
    ----------
    priority
        A lower one goes first.
    account
        Name of the account, or `ANONYMOUS`.
    rate_per_s
        Rate of the account's quota; 0 without one.
    due
        Monotonic instant by which an answer is in time.
    deadline
        Monotonic instant after which an answer is of no use.
    target
        Time that an answer takes, assumed until one was observed.
    size
        Bytes of its buffered body.
    returning
        Whether its caller was told to return at this time.
    since
        Monotonic instant at which it began to wait.

    Attributes
    ----------
    hold
        Monotonic instant before which no endpoint accepts it, as endpoints have asked for a pause.
    admitted
        Whether it is held, rather than being decided on at its arrival.
    late
        Whether it was admitted although its answer was expected after `due`.
    """

    __slots__ = (
        "account",
        "admitted",
        "deadline",
        "due",
        "hold",
        "late",
        "priority",
        "rate_per_s",
        "returning",
        "since",
        "size",
        "target",
    )

    def __init__(
        self,
        priority: int,
        account: str,
        rate_per_s: float,
        due: timedelta,
        deadline: timedelta,
        target: timedelta,
        size: int,
        returning: bool,
        since: timedelta,
    ) -> None:
        self.priority = priority
        self.account = account
        self.rate_per_s = rate_per_s
        self.due = due
        self.deadline = deadline
        self.target = target
        self.size = size
        self.returning = returning
        self.since = since
        self.hold = since
        self.admitted = False
        self.late = False


class ServiceQueue:
    """Requests of one service that wait for capacity, and what is known of its capacity.

    Removing a request with `remove` is the only way to decide on it: whoever removes it either
    sends or refuses it, so that both cannot happen.

    Parameters
    ----------
    bounds
        The bounds of the queue.

    Attributes
    ----------
    stop_at
        Monotonic instant by which waiting requests must be answered, or None.
    """

    def __init__(self, bounds: QueueBounds) -> None:
        self.bounds = bounds
        self.estimate = CompletionEstimate()
        self.shares = ServedShares()
        self.returns = ReturnPlan(RetryAfterBounds())
        self.stop_at: timedelta | None = None
        self._waiting: dict[Waiter, int] = {}
        self._size = 0
        self._next_number = 0
        self._version = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, waiter: Waiter) -> bool:
        return waiter in self._waiting

    @property
    def size(self) -> int:
        """Bytes of the buffered bodies of all waiting requests."""
        return self._size

    def add(self, waiter: Waiter) -> None:
        """Put a request into the queue; its bounds are checked by `overflow`."""
        self._waiting[waiter] = self._next_number
        self._next_number += 1
        self._size += waiter.size
        self._version += 1

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request and return True, or return False if it was removed before."""
        if self._waiting.pop(waiter, None) is None:
            return False
        self._size -= waiter.size
        self._version += 1
        return True

    def in_order(self, now: timedelta) -> list[Waiter]:
        """Return the waiting requests in the order in which they are to be sent.

        Each request counts with the level that its account will have reached by then, so that
        the requests of several accounts alternate.
        """
        self.shares.rescale(now)
        waiting = sorted(self._waiting, key=self._order_within_account)
        levels: dict[str, float] = {}
        keys: dict[Waiter, tuple[int, bool, float, timedelta, int]] = {}
        for waiter in waiting:
            account = waiter.account
            level = levels.get(account)
            if level is None:
                level = self.shares.level(account)
            levels[account] = level + self.shares.next_step(account, waiter.rate_per_s, now)
            urgency, new, deadline, number = self._order_within_account(waiter)
            keys[waiter] = (urgency, new, level, deadline, number)
        return sorted(waiting, key=keys.__getitem__)

    def _order_within_account(self, waiter: Waiter) -> tuple[int, bool, timedelta, int]:
        return waiter.priority, not waiter.returning, waiter.deadline, self._waiting[waiter]

    def candidates(self, now: timedelta, *, regular: bool) -> Iterator[Waiter]:
        """Yield each waiting request once, always the first by the present levels of accounts.

        Requests that were tried before and not sent don't count, unlike in `in_order`.

        Parameters
        ----------
        now
            Monotonic instant.
        regular
            Whether this is one of the regular checks. Otherwise requests of accounts above their
            share are left out, so that other gateways first use free capacity for other accounts.
        """
        self.shares.rescale(now)
        tried: set[Waiter] = set()
        remaining: list[Waiter] = []
        version = -1
        last_priority: int | None = None
        while True:
            if version != self._version:
                version = self._version
                untried = (waiter for waiter in self._waiting if waiter not in tried)
                remaining = sorted(untried, key=self._present_order, reverse=True)
            if not remaining:
                return
            waiter = remaining.pop()
            tried.add(waiter)
            if last_priority is not None and waiter.priority > last_priority:
                return
            if not regular and self.shares.is_over_share(waiter.account):
                # Less urgent requests must not be sent before this one.
                last_priority = waiter.priority
                continue
            yield waiter

    def _present_order(self, waiter: Waiter) -> tuple[int, bool, float, timedelta, int]:
        urgency, new, deadline, number = self._order_within_account(waiter)
        return urgency, new, self.shares.level(waiter.account), deadline, number

    def longest_wait(self, now: timedelta) -> timedelta:
        """Return the time that the longest waiting request has waited."""
        return max((now - waiter.since for waiter in self._waiting), default=_ZERO)

    # Admission.

    def objection(self, waiter: Waiter, now: timedelta) -> Eviction | None:
        """Return why a waiting request should not be admitted, or None."""
        ahead = self.in_order(now).index(waiter)
        reason: Eviction | None = None
        for late in (False, True):
            limit = waiter.deadline if late else min(waiter.due, waiter.deadline)
            margin = 1.0 if waiter.returning else self.estimate.margin(waiter.priority, late=late)
            reason = self._objection(waiter, ahead, margin, limit, now)
            if reason is None:
                waiter.late = late
                break
        return reason

    def is_late(self, waiter: Waiter, now: timedelta) -> bool:
        """Return whether an answer can only be late, if the request is sent now."""
        return now + self.estimate.duration(waiter.target) > waiter.due

    def overflow(self, now: timedelta) -> Waiter | None:
        """Return the last request in order if the queue exceeds its bounds, or None."""
        bounds = self.bounds
        if len(self._waiting) <= bounds.count and self._size <= bounds.size:
            return None
        return self.in_order(now)[-1]

    def unpromising(self, now: timedelta) -> list[tuple[Waiter, Eviction]]:
        """Return the held requests that are to be refused, with the reasons.

        Those before a request that is refused free their places, so that it counts them no more.
        """
        found: list[tuple[Waiter, Eviction]] = []
        for position, waiter in enumerate(self.in_order(now)):
            if not waiter.admitted:
                continue
            reason = self._objection(waiter, position - len(found), 1.0, waiter.deadline, now)
            if reason is not None:
                found.append((waiter, reason))
        return found

    def _objection(
        self, waiter: Waiter, ahead: int, margin: float, limit: timedelta, now: timedelta
    ) -> Eviction | None:
        if now - waiter.since >= self.bounds.wait:
            return Eviction.EXPIRED
        if now >= waiter.deadline:
            return Eviction.PREDICTED
        wait = self.estimate.wait(ahead, waiter.priority, waiter.target, now)
        if wait is None:
            return Eviction.PREDICTED
        sent_at = max(now + wait * margin, waiter.hold)
        answered_at = sent_at + self.estimate.duration(waiter.target)
        if self.stop_at is not None and answered_at > self.stop_at:
            return Eviction.STOPPING
        too_long = sent_at - waiter.since > self.bounds.wait
        return Eviction.PREDICTED if too_long or answered_at > limit else None

    def next_check(self, now: timedelta) -> timedelta:
        """Return the instant at which the waiting requests must be looked at again."""
        limit = now + CHECK_INTERVAL
        for waiter in self._waiting:
            limit = min(limit, waiter.deadline, waiter.since + self.bounds.wait)
        return max(limit, now)

    # Feedback.

    def record_sent(self, waiter: Waiter, now: timedelta) -> None:
        """Record that a request is sent."""
        self.estimate.record_sent(waiter.priority, now)
        self.shares.record(waiter.account, waiter.rate_per_s, 1.0, now)
        if waiter.admitted:
            self.estimate.record_held(waiter.priority, late=waiter.late, sent=True)

    def record_refused(self, waiter: Waiter, reason: Eviction) -> None:
        """Record that the queue refused a request."""
        if waiter.admitted and reason not in (Eviction.STOPPING, Eviction.DISABLED):
            self.estimate.record_held(waiter.priority, late=waiter.late, sent=False)

    # Returning callers.

    def is_returning(self, caller: CallerIdentity, now: timedelta) -> bool:
        """Return whether a caller returns at the time that it was told."""
        return self.returns.expected.take(caller, now)

    def retry_after(
        self,
        caller: CallerIdentity,
        priority: int,
        account: str,
        target: timedelta,
        remaining: timedelta,
        now: timedelta,
    ) -> timedelta:
        """Return when a refused caller should retry, and expect it then.

        Parameters
        ----------
        caller
            The refused caller.
        priority, account
            Priority of its request, and name of its account.
        target
            Time that an answer takes, assumed until one was observed.
        remaining
            Time until the caller gives up.
        now
            Monotonic instant.
        """
        return self.returns.wait_for_capacity(
            caller,
            priority,
            self.estimate.spare_rate(priority, target, now),
            self.estimate.duration(target),
            remaining,
            now,
            may_reserve=not self.shares.is_over_share(account),
        )
