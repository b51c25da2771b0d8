"""A simulated loop for many calls: they are kept in a heap, not sorted anew with each."""

import heapq
import itertools
import typing as t
from collections.abc import Callable

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class Loop(Clock):
    """Time that moves from call to call; thousands of timers of requests wait at any time."""

    def __init__(self) -> None:
        super().__init__()
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def callLater(  # noqa: N802
        self, when: float, what: Callable[..., object], *args: t.Any, **kwargs: t.Any
    ) -> DelayedCall:
        """Call `what` when that many seconds have passed; calls of one instant keep their order."""
        at = self.seconds() + when
        call = DelayedCall(at, what, args, kwargs, lambda _: None, lambda _: None, self.seconds)
        heapq.heappush(self._heap, (at, next(self._numbers), call))
        return call

    def advance(self, amount: float) -> None:
        """Let that many seconds pass, and make the calls that are due."""
        self.run_until(self.seconds() + amount)

    def run_until(self, end: float) -> None:
        """Make all calls up to the instant `end`, each at its own."""
        while self._heap and self._heap[0][0] <= end:
            at, _, call = heapq.heappop(self._heap)
            if call.active():
                self.rightNow = max(self.rightNow, at)
                call.called = 1
                call.func(*call.args, **call.kw)
        self.rightNow = max(self.rightNow, end)
