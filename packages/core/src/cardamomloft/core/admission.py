"""Admission: short queues by priority, and refusal at once of what cannot finish in time.

There is one queue for each service at each place. It estimates how long a new request would wait
and run from the service times seen; who cannot finish by its deadline is refused before it waits.
"""

import bisect
import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.model import Priority, Refusal, RefusalReason
from expression import Error, Ok, Result

MAX_QUEUED = 64
"""Requests that one queue holds at most, unless told otherwise."""

_SMOOTHING = 1 / 16
_QUIET = timedelta(seconds=1)
_HALVING = timedelta(seconds=2)
_SURE = 2.0
_EVICTION = 0.5
_ZERO = timedelta(0)
_MILLISECOND = timedelta(milliseconds=1)
_UNSEEN = timedelta(milliseconds=50)
_MIN_RETRY = timedelta(milliseconds=50)


class QueueKey(t.NamedTuple):
    """The queue of a service at a place."""

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
    """A request that was taken off its queue, with its refusal. It was never sent."""

    item: Queued
    refusal: Refusal


class ServiceTime:
    """How long a service's requests take: the smoothed mean and mean deviation.

    The figure halves again and again while nothing is observed, so that a slow spell cannot keep
    out for good the very requests that would show its end.
    """

    def __init__(self) -> None:
        self._mean = _ZERO
        self._deviation = _ZERO
        self._at: timedelta | None = None

    def observe(self, duration: timedelta, now: timedelta) -> None:
        """Count one answer that took `duration`."""
        if self._at is None:
            self._mean, self._deviation = duration, duration / 4
        else:
            self._deviation += (abs(duration - self._mean) - self._deviation) * _SMOOTHING
            self._mean += (duration - self._mean) * _SMOOTHING
        self._at = now

    def mean(self, now: timedelta) -> timedelta:
        """Return the expected duration; zero as long as nothing is known."""
        return self._mean * self._fade(now)

    def likely(self, now: timedelta) -> timedelta:
        """Return a duration that most requests keep within."""
        return (self._mean + self._deviation * _SURE) * self._fade(now)

    def _fade(self, now: timedelta) -> float:
        if self._at is None:
            return 0.0
        quiet = now - self._at - _QUIET
        return 1.0 if quiet <= _ZERO else 0.5 ** (quiet / _HALVING)


class _Position(t.NamedTuple):
    """Sort key: higher priority first, then the earlier deadline, then the earlier arrival."""

    priority: Priority
    deadline: timedelta
    number: int


def _position(item: Queued) -> _Position:
    return _Position(item.priority, item.deadline, item.number)


class _Queue:
    def __init__(self) -> None:
        self.items: list[Queued] = []
        self.slots = 1

    def wait(self, ahead: int, free: int, mean: timedelta) -> timedelta:
        """Return the expected wait behind `ahead` requests; slots end evenly spread."""
        return mean * max(0, ahead - free + 1) / max(1, self.slots)


class Admission:
    """The queues of one entry.

    Parameters
    ----------
    clock
        Source of time.
    max_queued
        Requests that each queue holds at most.
    """

    def __init__(self, clock: Clock, *, max_queued: int = MAX_QUEUED) -> None:
        self._clock = clock
        self._max_queued = max_queued
        self._queues: dict[QueueKey, _Queue] = {}
        self._times: dict[str, ServiceTime] = {}
        self._keys: dict[int, Queued] = {}

    def offer(
        self, item: Queued, *, free: int = 0, slots: int = 1
    ) -> Result[Evicted | None, Refusal]:
        """Queue a request, or refuse it at once.

        Parameters
        ----------
        item
            The request.
        free
            Slots of the place that this entry could use at this moment.
        slots
            Slots of the place that this entry holds, in use or not.

        Returns
        -------
        Result
            The request of lower priority that had to leave for this one, if any; its caller is
            to be told its refusal now.

        Errors
        ------
        Refusal
            DEADLINE if it could not finish in time, OVERLOAD if the queue is full of requests of
            at least its priority.
        """
        queue = self._queues.setdefault(QueueKey(item.service, item.place), _Queue())
        queue.slots = slots
        ahead = bisect.bisect(queue.items, _position(item), key=_position)
        refusal = self._hopeless(item, queue, ahead, free)
        if refusal is not None:
            return Error(refusal)
        evicted = None
        if len(queue.items) >= self._max_queued:
            if queue.items[-1].priority <= item.priority:
                return Error(self._overload(item, queue))
            evicted = Evicted(queue.items[-1], self._overload(queue.items[-1], queue))
            self._drop(evicted.item)
        queue.items.insert(ahead, item)
        self._keys[item.number] = item
        return Ok(evicted)

    def pop(self, service: str, place: str) -> Queued | None:
        """Take the request that goes next into a free slot of the place, if one waits."""
        queue = self._queues.get(QueueKey(service, place))
        if queue is None or not queue.items:
            return None
        item = queue.items[0]
        self._drop(item)
        return item

    def peek(self, service: str, place: str) -> Queued | None:
        """Return what :meth:`pop` would return, and leave it queued."""
        queue = self._queues.get(QueueKey(service, place))
        return queue.items[0] if queue is not None and queue.items else None

    def remove(self, number: int) -> bool:
        """Forget a request whose caller has left; tell whether it was queued."""
        item = self._keys.get(number)
        if item is None:
            return False
        self._drop(item)
        return True

    def expire(self) -> list[Evicted]:
        """Take off all requests that can no longer finish by their deadlines.

        Call it before :meth:`pop`. Arrivals of higher priority may have pushed a request back; it
        leaves as soon as even half of the estimated wait is too long.
        """
        return [gone for key, queue in self._queues.items() for gone in self._expire(key, queue)]

    def observe(self, service: str, duration: timedelta) -> None:
        """Count how long one request of the service ran, from sending to its whole answer."""
        times = self._times.setdefault(service, ServiceTime())
        times.observe(duration, self._clock.monotonic())

    def expected(self, service: str) -> timedelta:
        """Return the mean duration of the service's requests; zero if nothing is known."""
        times = self._times.get(service)
        return _ZERO if times is None else times.mean(self._clock.monotonic())

    def queues(self) -> list[QueueKey]:
        """Return the queues in which requests wait."""
        return [key for key, queue in self._queues.items() if queue.items]

    def __len__(self) -> int:
        return len(self._keys)

    def _drop(self, item: Queued) -> None:
        queue = self._queues[QueueKey(item.service, item.place)]
        at = bisect.bisect_left(queue.items, _position(item), key=_position)
        assert queue.items[at].number == item.number
        del queue.items[at]
        del self._keys[item.number]

    def _likely(self, service: str) -> timedelta:
        times = self._times.get(service)
        return _UNSEEN if times is None else times.likely(self._clock.monotonic())

    def _hopeless(self, item: Queued, queue: _Queue, ahead: int, free: int) -> Refusal | None:
        remaining = item.deadline - self._clock.monotonic()
        mean = self.expected(item.service)
        wait = queue.wait(ahead, free, mean)
        # One that need not wait is given the benefit of the doubt: the mean must fit, no more.
        run = self._likely(item.service) if wait else mean
        if remaining > wait + run:
            return None
        return self._refuse_late(remaining, wait, run)

    def _expire(self, key: QueueKey, queue: _Queue) -> list[Evicted]:
        if not queue.items:
            return []
        now = self._clock.monotonic()
        mean, run = self.expected(key.service), self._likely(key.service)
        kept, evicted = 0, []
        for item in tuple(queue.items):
            remaining, wait = item.deadline - now, queue.wait(kept, 1, mean)
            if remaining > wait * _EVICTION + run:
                kept += 1
                continue
            self._drop(item)
            evicted.append(Evicted(item, self._refuse_late(remaining, wait, run)))
        return evicted

    def _refuse_late(self, remaining: timedelta, wait: timedelta, run: timedelta) -> Refusal:
        # After this time the queue, if nobody joins it, is short enough for the same request.
        after = max(_MIN_RETRY, min(wait, wait + run - remaining)) if wait else None
        needs, has = (wait + run) // _MILLISECOND, max(remaining, _ZERO) // _MILLISECOND
        detail = f"needs {needs} ms and has {has} ms"
        return Refusal(RefusalReason.DEADLINE, detail, after)

    def _overload(self, item: Queued, queue: _Queue) -> Refusal:
        wait = queue.wait(len(queue.items), 0, self.expected(item.service))
        return Refusal(RefusalReason.OVERLOAD, "the queue is full", max(_MIN_RETRY, wait))
