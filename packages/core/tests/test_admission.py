"""Admission: deadlines, order and eviction by priority, and goodput under overload."""

import heapq
import math
import random
from collections import Counter
from datetime import timedelta

import pytest
from cardamomloft.core.admission import Admission, Queued
from cardamomloft.core.clock import ManualClock
from cardamomloft.core.model import Priority, RefusalReason

CRITICAL, NORMAL, BULK = Priority
SLOTS = 8
MEAN = 20.0


def ms(value):
    return timedelta(milliseconds=value)


class Bench:
    """A queue of a service with observed durations of 20 ms, or without observations."""

    def __init__(self, max_queued=64, observed=True):
        self.clock = ManualClock()
        self.admission = Admission(self.clock, max_queued=max_queued)
        for _ in range(100 if observed else 0):
            self.admission.observe("s", ms(20))

    def offer(self, number, priority=NORMAL, within=1000.0, place="p", **kwargs):
        item = Queued(number, "s", place, priority, self.clock.monotonic() + ms(within))
        return self.admission.offer(item, **kwargs)

    def pop_all(self):
        return [item.number for item in iter(lambda: self.admission.pop("s", "p"), None)]


def test_requests_are_ordered_by_priority_then_deadline_then_arrival():
    bench = Bench()
    for number, (priority, within) in enumerate(
        [(BULK, 900), (NORMAL, 800), (CRITICAL, 900), (NORMAL, 700), (CRITICAL, 900)]
    ):
        assert bench.offer(number, priority, within).is_ok()
    assert bench.offer(9, place="elsewhere").is_ok()
    assert bench.admission.remove(4)
    assert not bench.admission.remove(4)
    assert bench.pop_all() == [2, 3, 1, 0]
    assert len(bench.admission) == 1


def test_a_request_that_cannot_finish_is_refused_with_a_sufficient_retry_after():
    bench = Bench()
    admitted = sum(bench.offer(number, within=100, slots=2).is_ok() for number in range(20))
    assert admitted == 7
    refusal = bench.offer(20, within=100, slots=2).error
    assert refusal.reason is RefusalReason.DEADLINE
    for _ in range(math.ceil(refusal.retry_after / ms(10))):
        bench.clock.advance(ms(10))
        bench.admission.pop("s", "p")
    assert bench.offer(21, within=100, slots=2).is_ok()
    too_late = bench.offer(22, within=10, free=2, slots=2).error
    assert (too_late.reason, too_late.retry_after) == (RefusalReason.DEADLINE, None)


def test_a_request_is_not_refused_without_recent_observations():
    assert Bench(observed=False).offer(1, within=1, slots=1).is_ok()
    bench = Bench()
    for _ in range(100):
        bench.admission.observe("s", ms(5000))
    assert bench.offer(1, free=1).is_error()
    bench.clock.advance(ms(8000))
    assert bench.offer(2, free=1).is_ok()


def test_a_full_queue_evicts_its_last_request_for_a_higher_priority_only():
    bench = Bench(max_queued=3)
    for number, priority in enumerate([BULK, NORMAL, BULK]):
        bench.offer(number, priority, 5000 - number)
    assert bench.offer(3, BULK, 4000).error.reason is RefusalReason.OVERLOAD
    evicted = bench.offer(4, CRITICAL).ok
    assert (evicted.item.number, evicted.refusal.reason) == (0, RefusalReason.OVERLOAD)
    assert evicted.refusal.retry_after == ms(80)
    assert bench.pop_all() == [4, 1, 2]


def test_a_request_delayed_by_higher_priorities_is_evicted_before_its_deadline():
    bench = Bench()
    bench.offer(1, BULK, within=80)
    for number in range(2, 9):
        bench.offer(number, CRITICAL, within=2000)
    (evicted,) = bench.admission.expire()
    assert (evicted.item.number, evicted.refusal.reason) == (1, RefusalReason.DEADLINE)
    bench.clock.advance(ms(1990))
    assert len(bench.admission.expire()) == 7


class Trace:
    """A seeded arrival trace at `load` times the capacity of one queue with `SLOTS` slots."""

    def __init__(self, load, count=8000):
        self.rng = random.Random(11)
        self.clock = ManualClock()
        self.admission = Admission(self.clock)
        self.running, self.queue = [], []
        self.in_time = self.fifo = 0
        self.started, self.refused, self.offered = Counter(), Counter(), Counter()
        at = 0.0
        self.arrivals = []
        for _ in range(count):
            at += self.rng.expovariate(load * SLOTS / MEAN)
            duration = self.rng.lognormvariate(math.log(MEAN) - 0.125, 0.5)
            self.arrivals.append((at, self.rng.choices(list(Priority), [2, 5, 3])[0], duration))

    def goodput(self):
        return self.in_time / (SLOTS * self.arrivals[-1][0] / MEAN)

    def play(self, arrive, fill):
        for number, (at, priority, _) in enumerate(self.arrivals):
            while self.running and self.running[0][0] <= at:
                end, done, duration = heapq.heappop(self.running)
                self.advance(end)
                self.in_time += end <= self.arrivals[done][0] + 5 * MEAN
                self.admission.observe("s", ms(duration))
                fill()
            self.advance(at)
            self.offered[priority] += 1
            arrive(number, priority)
            fill()
        return self

    def advance(self, at):
        self.clock.advance(max(ms(at) - self.clock.monotonic(), ms(0)))

    def start(self, number):
        _, priority, duration = self.arrivals[number]
        self.started[priority] += 1
        begin = self.clock.monotonic() / ms(1)
        heapq.heappush(self.running, (begin + duration, number, duration))

    def admit(self, number, priority):
        deadline = self.clock.monotonic() + ms(5 * MEAN)
        free = SLOTS - len(self.running)
        item = Queued(number, "s", "p", priority, deadline)
        if self.admission.offer(item, free=free, slots=SLOTS).is_ok():
            return
        self.refused[priority] += 1
        for lower in Priority:
            if lower > priority:
                probe = item._replace(number=-1, priority=lower)
                assert self.admission.offer(probe, free=free, slots=SLOTS).is_error()

    def fill(self):
        self.admission.expire()
        while len(self.running) < SLOTS:
            item = self.admission.pop("s", "p")
            if item is None:
                break
            ahead = self.admission.peek("s", "p")
            assert ahead is None or ahead.priority >= item.priority
            self.start(item.number)

    def fill_fifo(self):
        while self.queue and len(self.running) < SLOTS:
            self.start(self.queue.pop(0))


@pytest.mark.parametrize("load", [2, 5])
def test_goodput_and_priorities_are_preserved_under_overload(load):
    trace = Trace(load)
    trace.play(trace.admit, trace.fill)
    assert trace.goodput() >= 0.95
    served = [trace.started[priority] / trace.offered[priority] for priority in Priority]
    assert served[0] > 0.93 > served[1] > served[2]
    fifo = Trace(load)
    fifo.play(lambda number, _: fifo.queue.append(number), fifo.fill_fifo)
    assert fifo.goodput() < 0.1


def test_without_observations_a_request_is_evicted_shortly_before_its_deadline():
    """Once sent, its outcome would be unknown; a refusal still proves that it was not run."""
    bench = Bench(observed=False)
    assert bench.offer(1, within=500.0).is_ok()
    bench.clock.advance(ms(460))
    (evicted,) = bench.admission.expire()
    assert evicted.item.number == 1 and evicted.refusal.reason is RefusalReason.DEADLINE
    assert bench.pop_all() == []
