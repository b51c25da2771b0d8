"""Deferreds that wait for a condition."""

from collections.abc import Callable

from twisted.internet.defer import Deferred


class Waiters:
    """Any number of Deferreds that fire once a condition holds.

    Parameters
    ----------
    condition
        Returns whether the condition holds now.
    """

    def __init__(self, condition: Callable[[], bool]) -> None:
        self._condition = condition
        self._waiting: list[Deferred[None]] = []

    def wait(self) -> "Deferred[None]":
        """Return a Deferred that fires once the condition holds, immediately if it does."""
        deferred: Deferred[None] = Deferred()
        self._waiting.append(deferred)
        self.check()
        return deferred

    def check(self) -> None:
        """Fire the waiting Deferreds if the condition holds; call it after each change."""
        if not self._condition():
            return
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)
