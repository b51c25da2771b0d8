"""Simulated clock that keeps its delayed calls in a heap."""

import heapq
import itertools
import typing as t
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class Loop(Clock):
    """A Twisted clock for thousands of pending calls.

    :class:`~twisted.internet.task.Clock` sorts all calls again whenever one is added.
    """

    def __init__(self) -> None:
        super().__init__()
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def callLater(  # noqa: N802
        self, when: float, what: Callable[..., object], *args: t.Any, **kwargs: t.Any
    ) -> DelayedCall:
        """Schedule a call after `when` seconds; calls for the same instant keep their order."""
        at = self.seconds() + when
        call = DelayedCall(at, what, args, kwargs, lambda _: None, lambda _: None, self.seconds)
        heapq.heappush(self._heap, (at, next(self._numbers), call))
        return call

    def advance(self, amount: float) -> None:
        """Advance the clock by `amount` seconds and run the calls that become due."""
        self.run_until(self.seconds() + amount)

    def run_until(self, end: float) -> None:
        """Run all calls up to the instant `end`, each with the clock at its own time."""
        while self._heap and self._heap[0][0] <= end:
            at, _, call = heapq.heappop(self._heap)
            if call.active():
                self.rightNow = max(self.rightNow, at)
                call.called = 1
                call.func(*call.args, **call.kw)
        self.rightNow = max(self.rightNow, end)
