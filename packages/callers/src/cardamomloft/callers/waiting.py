"""Waiting for something to be over, for any number of waiters."""

from collections.abc import Callable

from twisted.internet.defer import Deferred


class Waiters:
    """Those who wait until something is over.

    Parameters
    ----------
    is_over
        Tells whether it is over now.
    """

    def __init__(self, is_over: Callable[[], bool]) -> None:
        self._is_over = is_over
        self._waiting: list[Deferred[None]] = []

    def wait(self) -> "Deferred[None]":
        """Return a result that fires once it is over; at once if it is."""
        done: Deferred[None] = Deferred()
        self._waiting.append(done)
        self.check()
        return done

    def check(self) -> None:
        """Tell those who wait if it is over; call it after each change."""
        if not self._is_over():
            return
        waiting, self._waiting = self._waiting, []
        for done in waiting:
            done.callback(None)
