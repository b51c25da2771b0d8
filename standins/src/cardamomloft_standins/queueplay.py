"""Plays an overload of one service against the decisions of the queues of several gateways.

There is no network: the endpoints are a pool of slots with a common queue, whose state all gateways
know at the time of a send. A gateway tries its waiting requests when one of its own ends, and every
50 ms.
"""

import heapq
import itertools
import math
import random
import typing as t
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.queueing.returns import CallerIdentity
from cardamomloft.core.queueing.servicequeue import (
    CHECK_INTERVAL,
    QueueBounds,
    ServiceQueue,
    Waiter,
)

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


class Demand(t.NamedTuple):
    """Requests of one kind: their account, priority, and rate at a time in seconds."""

    account: str
    priority: int
    per_s: Callable[[float], float]
    deadline: timedelta = 3500 * MS
    target: timedelta = 800 * MS


class Caller:
    """One caller with its request and what became of it.

    Attributes
    ----------
    outcomes
        What happened to each attempt: `sent`, `refused`, `left` or `lost`.
    told
        The time given in the first refusal, None if it was not refused or returned sooner.
    """

    def __init__(self, number: int, demand: Demand, gateway: int, now: timedelta) -> None:
        self.identity = CallerIdentity(demand.account, False, f"k-{number}")
        self.demand = demand
        self.gateway = gateway
        self.arrived = now
        self.deadline = now + demand.deadline
        self.outcomes: list[str] = []
        self.told: timedelta | None = None
        self.held = False
        self.held_refused = False
        self.answered: timedelta | None = None

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its target."""
        return self.answered is not None and self.answered - self.arrived <= self.demand.target

    @property
    def served(self) -> bool:
        """Whether it was answered before its deadline."""
        return self.answered is not None and self.answered <= self.deadline


class QueuePlay:
    """One play.

    Parameters
    ----------
    demands
        What is requested.
    gateways
        Number of gateways, among which callers are divided at random.
    seed
        Seed of all draws.
    slots, backlog
        Requests that the endpoints run at a time, and that wait there.
    work
        Mean service time.
    bounds
        Bounds of each queue.
    patience
        Time after which callers disconnect while they wait, or None.
    """

    def __init__(
        self,
        demands: list[Demand],
        gateways: int = 4,
        seed: int = 1,
        slots: int = 30,
        backlog: int = 15,
        work: timedelta = 600 * MS,
        bounds: QueueBounds | None = None,
        patience: timedelta | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.demands = demands
        self.slots, self.backlog, self.work = slots, backlog, work
        self.bounds = bounds or QueueBounds()
        self.patience = patience
        self.queues = [ServiceQueue(self.bounds) for _ in range(gateways)]
        self.callers: list[Caller] = []
        self.counts: Counter[str] = Counter()
        self.now = timedelta(0)
        self.longest_queue = self.largest_size = 0
        self._of_waiter: dict[Waiter, Caller] = {}
        self._events: list[tuple[timedelta, int, Callable[..., None], tuple[t.Any, ...]]] = []
        self._numbers = itertools.count()
        self._running = 0
        self._at_endpoints: list[tuple[Caller, timedelta]] = []

    def at(self, instant: timedelta, action: Callable[..., None], *args: t.Any) -> None:
        """Call `action` at `instant`."""
        heapq.heappush(self._events, (instant, next(self._numbers), action, args))

    def run(self, duration: timedelta) -> "QueuePlay":
        """Play `duration` of arrivals and wait for the end of all requests."""
        for demand in self.demands:
            self.at(timedelta(0), self._arrivals, demand, duration)
        for number in range(len(self.queues)):
            self.at(CHECK_INTERVAL * (number + 1) / len(self.queues), self._check, number)
        end = duration + 8 * SECOND
        while self._events and self._events[0][0] < end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self

    def restart(self, gateway: int) -> None:
        """Replace a gateway by a new process; the requests that wait there lose their callers."""
        for waiter in self.queues[gateway].in_order(self.now):
            self._of_waiter.pop(waiter).outcomes.append("lost")
        self.queues[gateway] = ServiceQueue(self.bounds)

    # Callers.

    def _arrivals(self, demand: Demand, until: timedelta) -> None:
        rate = demand.per_s(self.now / SECOND)
        if self.now >= until:
            return
        if rate > 0:
            caller = Caller(
                len(self.callers), demand, self.rng.randrange(len(self.queues)), self.now
            )
            self.callers.append(caller)
            self._request(caller)
        wait = self.rng.expovariate(rate) if rate > 0 else 0.1
        self.at(self.now + wait * SECOND, self._arrivals, demand, until)

    def _request(self, caller: Caller) -> None:
        queue, demand = self.queues[caller.gateway], caller.demand
        returning = queue.is_returning(caller.identity, self.now)
        due = self.now + demand.target
        waiter = Waiter(
            demand.priority, demand.account, 0.0, due, caller.deadline, demand.target, 1000,
            returning, self.now,
        )  # fmt: skip
        self._of_waiter[waiter] = caller
        queue.add(waiter)
        self._turn(caller.gateway, regular=len(queue) == 1)
        if waiter not in queue:
            return
        if queue.objection(waiter, self.now) is not None:
            self._refuse(queue, waiter)
            return
        waiter.admitted = caller.held = True
        while (last := queue.overflow(self.now)) is not None:
            self._refuse(queue, last)
        self.longest_queue = max(self.longest_queue, len(queue))
        self.largest_size = max(self.largest_size, queue.size)
        if self.patience is not None:
            self.at(self.now + self.patience, self._leave, queue, waiter)

    def _leave(self, queue: ServiceQueue, waiter: Waiter) -> None:
        if queue.remove(waiter):
            self._of_waiter.pop(waiter).outcomes.append("left")

    def _refuse(self, queue: ServiceQueue, waiter: Waiter) -> None:
        assert queue.remove(waiter)
        caller = self._of_waiter.pop(waiter)
        assert self.now <= caller.deadline
        queue.record_refused(waiter, t.cast(t.Any, None))
        caller.outcomes.append("refused")
        caller.held_refused = caller.held_refused or waiter.admitted
        if len(caller.outcomes) > 1:
            return
        remaining = caller.deadline - self.now
        wait = queue.retry_after(
            caller.identity, waiter.priority, waiter.account, waiter.target, remaining, self.now
        )
        if wait <= remaining / 3:
            caller.told = wait
        self.at(self.now + min(wait, remaining / 3), self._request, caller)

    # Endpoints.

    def _check(self, gateway: int) -> None:
        self._turn(gateway, regular=True)
        queue = self.queues[gateway]
        for waiter, _ in queue.unpromising(self.now):
            self._refuse(queue, waiter)
        self.at(self.now + CHECK_INTERVAL, self._check, gateway)

    def _turn(self, gateway: int, *, regular: bool) -> None:
        queue = self.queues[gateway]
        for waiter in queue.candidates(self.now, regular=regular):
            if self._running + len(self._at_endpoints) >= self.slots + self.backlog:
                return
            waiting = queue.in_order(self.now)
            assert waiting[0].priority == waiter.priority, "a more urgent request waits"
            assert waiting[0] is waiter or not regular, "a request was sent out of order"
            assert queue.remove(waiter)
            queue.record_sent(waiter, self.now)
            caller = self._of_waiter.pop(waiter)
            assert "sent" not in caller.outcomes
            assert self.now <= caller.deadline
            caller.outcomes.append("sent")
            self.counts[f"sent.p{waiter.priority}"] += 1
            self._at_endpoints.append((caller, self.now))
            self._start()

    def _start(self) -> None:
        while self._at_endpoints and self._running < self.slots:
            caller, sent_at = self._at_endpoints.pop(0)
            self._running += 1
            work = self.work * self.rng.lognormvariate(-0.08, 0.4)
            self.at(self.now + work, self._end, caller, sent_at)

    def _end(self, caller: Caller, sent_at: timedelta) -> None:
        self._running -= 1
        caller.answered = self.now
        queue = self.queues[caller.gateway]
        queue.estimate.record_answer(self.now - sent_at, self.now)
        self._start()
        self._turn(caller.gateway, regular=False)

    # Results.

    def kept_times(self) -> tuple[int, int]:
        """Return how many callers returned at the time given, and how many of them were served."""
        returned = [caller for caller in self.callers if caller.told is not None]
        done = [caller for caller in returned if len(caller.outcomes) > 1]
        return len(done), sum(caller.served for caller in done)

    def served_fraction(self, chosen: Callable[[Caller], bool] = lambda caller: True) -> float:
        """Return the fraction of the chosen callers that were answered before their deadline."""
        found = [caller.served for caller in self.callers if chosen(caller)]
        return sum(found) / max(1, len(found))

    def per_s(self, load: float) -> float:
        """Return the rate that is `load` times what the endpoints serve."""
        mean = self.work / SECOND * math.exp(-0.08 + 0.4**2 / 2)
        return load * self.slots / mean
