"""Admission control with bounded priority queues and deadlines.

There is one queue per service and place. Waiting and running time of a new request are estimated
from observed service times, and a request that cannot finish by its deadline is refused at once.
"""

import bisect
import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Priority, Refusal, RefusalReason
from expression import Error, Ok, Result

MAX_QUEUED = 64
"""Default maximum length of a queue."""

_SMOOTHING_FACTOR = 1 / 16
_DECAY_DELAY = timedelta(seconds=1)
_DECAY_HALF_LIFE = timedelta(seconds=2)
_DEVIATIONS = 2.0
_EVICTION_WAIT_FACTOR = 0.5
_ZERO = timedelta(0)
_MILLISECOND = timedelta(milliseconds=1)
_DEFAULT_SERVICE_TIME = timedelta(milliseconds=50)
_MIN_RETRY_AFTER = timedelta(milliseconds=50)


class QueueKey(t.NamedTuple):
    """Identifies the queue of a service at a place."""

    service: str
    place: str


class Queued(t.NamedTuple):
    """A request that waits for a slot; `deadline` is a monotonic instant."""

    number: int
    service: str
    place: str
    priority: Priority
    deadline: timedelta


class Evicted(t.NamedTuple):
    """A request that was removed from its queue without being sent, and its refusal."""

    item: Queued
    refusal: Refusal


class ServiceTime:
    """Smoothed mean and mean deviation of a service's request durations.

    The estimate decays exponentially while nothing is observed. Otherwise a slow phase could cause
    all requests to be refused, and the estimate would never recover.
    """

    def __init__(self) -> None:
        self._mean = _ZERO
        self._deviation = _ZERO
        self._observed_at: timedelta | None = None

    def observe(self, duration: timedelta, now: timedelta) -> None:
        """Update the estimate with the duration of one answered request."""
        if self._observed_at is None:
            self._mean, self._deviation = duration, duration / 4
        else:
            self._deviation += (abs(duration - self._mean) - self._deviation) * _SMOOTHING_FACTOR
            self._mean += (duration - self._mean) * _SMOOTHING_FACTOR
        self._observed_at = now

    def mean(self, now: timedelta) -> timedelta:
        """Return the expected duration; zero before the first observation."""
        return self._mean * self._decay(now)

    def upper_estimate(self, now: timedelta) -> timedelta:
        """Return an estimate from mean and deviation that most requests do not exceed."""
        return (self._mean + self._deviation * _DEVIATIONS) * self._decay(now)

    def _decay(self, now: timedelta) -> float:
        if self._observed_at is None:
            return 0.0
        decay_time = now - self._observed_at - _DECAY_DELAY
        return 1.0 if decay_time <= _ZERO else 0.5 ** (decay_time / _DECAY_HALF_LIFE)


class _Position(t.NamedTuple):
    """Sort key: higher priority first, then earlier deadline, then earlier arrival."""

    priority: Priority
    deadline: timedelta
    number: int


def _position(item: Queued) -> _Position:
    return _Position(item.priority, item.deadline, item.number)


class _Queue:
    def __init__(self) -> None:
        self.items: list[Queued] = []
        self.slots = 1

    def expected_wait(self, ahead: int, free: int, mean: timedelta) -> timedelta:
        """Return the expected wait behind `ahead` requests if slots end at evenly spread times."""
        return mean * max(0, ahead - free + 1) / max(1, self.slots)


class Admission:
    """The queues of one entry.

    Parameters
    ----------
    clock
        Source of time.
    max_queued
        Maximum length of each queue.
    """

    def __init__(self, clock: Clock, *, max_queued: int = MAX_QUEUED) -> None:
        self._clock = clock
        self._max_queued = max_queued
        self._queues: dict[QueueKey, _Queue] = {}
        self._times: dict[str, ServiceTime] = {}
        self._items: dict[int, Queued] = {}

    def offer(
        self, item: Queued, *, free: int = 0, slots: int = 1
    ) -> Result[Evicted | None, Refusal]:
        """Queue a request or refuse it.

        Parameters
        ----------
        item
            The request.
        free
            Slots of the place that this entry can use now.
        slots
            Slots of the place that this entry holds, in use or not.

        Returns
        -------
        Result
            The request of lower priority that was evicted for this one, if any; the caller of
            `offer` must answer it with its refusal.

        Errors
        ------
        Refusal
            DEADLINE if the request cannot finish in time, OVERLOAD if the queue is full of
            requests of the same or a higher priority.
        """
        queue = self._queues.setdefault(QueueKey(item.service, item.place), _Queue())
        queue.slots = slots
        ahead = bisect.bisect(queue.items, _position(item), key=_position)
        refusal = self._check_deadline(item, queue, ahead, free)
        if refusal is not None:
            return Error(refusal)
        evicted = None
        if len(queue.items) >= self._max_queued:
            if queue.items[-1].priority <= item.priority:
                return Error(self._overload_refusal(item, queue))
            evicted = Evicted(queue.items[-1], self._overload_refusal(queue.items[-1], queue))
            self._drop(evicted.item)
        queue.items.insert(ahead, item)
        self._items[item.number] = item
        return Ok(evicted)

    def pop(self, service: str, place: str) -> Queued | None:
        """Remove and return the next request for a free slot of the place, or None."""
        queue = self._queues.get(QueueKey(service, place))
        if queue is None or not queue.items:
            return None
        item = queue.items[0]
        self._drop(item)
        return item

    def peek(self, service: str, place: str) -> Queued | None:
        """Return what :meth:`pop` would return without removing it."""
        queue = self._queues.get(QueueKey(service, place))
        return queue.items[0] if queue is not None and queue.items else None

    def remove(self, number: int) -> bool:
        """Remove a request whose caller has disconnected; return whether it was queued."""
        item = self._items.get(number)
        if item is None:
            return False
        self._drop(item)
        return True

    def expire(self) -> list[Evicted]:
        """Evict all requests that can no longer finish by their deadlines.

        Call it before :meth:`pop`. Requests of higher priority that arrive later lengthen the wait
        of the others. A request is evicted if it would miss its deadline even after half of its
        estimated wait.
        """
        return [
            evicted for key, queue in self._queues.items() for evicted in self._expire(key, queue)
        ]

    def observe(self, service: str, duration: timedelta) -> None:
        """Add the duration of one request, from sending it to the end of its answer."""
        times = self._times.setdefault(service, ServiceTime())
        times.observe(duration, self._clock.monotonic())

    def expected(self, service: str) -> timedelta:
        """Return the mean duration of the service's requests; zero if none was observed."""
        times = self._times.get(service)
        return _ZERO if times is None else times.mean(self._clock.monotonic())

    def queues(self) -> list[QueueKey]:
        """Return the keys of all queues that are not empty."""
        return [key for key, queue in self._queues.items() if queue.items]

    def __len__(self) -> int:
        return len(self._items)

    def _drop(self, item: Queued) -> None:
        queue = self._queues[QueueKey(item.service, item.place)]
        index = bisect.bisect_left(queue.items, _position(item), key=_position)
        assert queue.items[index].number == item.number
        del queue.items[index]
        del self._items[item.number]

    def _upper_estimate(self, service: str) -> timedelta:
        times = self._times.get(service)
        return (
            _DEFAULT_SERVICE_TIME
            if times is None
            else times.upper_estimate(self._clock.monotonic())
        )

    def _check_deadline(self, item: Queued, queue: _Queue, ahead: int, free: int) -> Refusal | None:
        remaining = item.deadline - self._clock.monotonic()
        mean = self.expected(item.service)
        wait = queue.expected_wait(ahead, free, mean)
        # Without a wait, a request is refused only if even the mean duration is too long.
        run_time = self._upper_estimate(item.service) if wait else mean
        if remaining > wait + run_time:
            return None
        return self._deadline_refusal(remaining, wait, run_time)

    def _expire(self, key: QueueKey, queue: _Queue) -> list[Evicted]:
        if not queue.items:
            return []
        now = self._clock.monotonic()
        mean, run_time = self.expected(key.service), self._upper_estimate(key.service)
        kept, evicted = 0, []
        for item in tuple(queue.items):
            remaining, wait = item.deadline - now, queue.expected_wait(kept, 1, mean)
            if remaining > wait * _EVICTION_WAIT_FACTOR + run_time:
                kept += 1
                continue
            self._drop(item)
            evicted.append(Evicted(item, self._deadline_refusal(remaining, wait, run_time)))
        return evicted

    def _deadline_refusal(
        self, remaining: timedelta, wait: timedelta, run_time: timedelta
    ) -> Refusal:
        # Unless others join the queue, the same request would be admitted after this time.
        after = max(_MIN_RETRY_AFTER, min(wait, wait + run_time - remaining)) if wait else None
        needed_ms, left_ms = (wait + run_time) // _MILLISECOND, max(
            remaining, _ZERO
        ) // _MILLISECOND
        detail = f"the request needs about {needed_ms} ms but its deadline is in {left_ms} ms"
        return Refusal(RefusalReason.DEADLINE, detail, after)

    def _overload_refusal(self, item: Queued, queue: _Queue) -> Refusal:
        wait = queue.expected_wait(len(queue.items), 0, self.expected(item.service))
        return Refusal(RefusalReason.OVERLOAD, "the queue is full", max(_MIN_RETRY_AFTER, wait))
