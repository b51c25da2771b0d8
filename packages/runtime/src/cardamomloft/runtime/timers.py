"""Periodic calls of a process, which continue after a call has failed."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure


class Timers:
    """All periodic calls of one process, which are stopped together.

    Parameters
    ----------
    reactor
        The event loop.
    on_fault
        Called with the exception of a failed call; the period continues.
    """

    def __init__(self, reactor: t.Any, on_fault: Callable[[Failure], None]) -> None:
        self._reactor = reactor
        self._on_fault = on_fault
        self._calls: list[LoopingCall] = []

    def every(self, interval: timedelta, action: Callable[[], t.Any]) -> None:
        """Call `action` now and every `interval`, except while its last Deferred has not fired."""
        call = LoopingCall(self._guard, action)
        call.clock = self._reactor
        call.start(interval.total_seconds())
        self._calls.append(call)

    def stop(self) -> None:
        """Stop all periodic calls."""
        for call in self._calls:
            call.stop()
        self._calls.clear()

    def sleep(self, duration: timedelta) -> "Deferred[None]":
        """Return a Deferred that fires after `duration`."""
        done: Deferred[None] = Deferred()
        self._reactor.callLater(duration.total_seconds(), done.callback, None)
        return done

    def _guard(self, action: Callable[[], t.Any]) -> t.Any:
        try:
            result = action()
        except Exception:
            self._on_fault(Failure())
            return None
        return result.addErrback(self._on_fault) if isinstance(result, Deferred) else None
