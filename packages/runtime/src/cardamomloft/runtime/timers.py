"""Repeated work of a process: one fault does not end the repetition."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure


class Timers:
    """All repeated calls of one process, stopped together.

    Parameters
    ----------
    reactor
        The event loop.
    on_fault
        Told of what a call raises; the next one still comes.
    """

    def __init__(self, reactor: t.Any, on_fault: Callable[[Failure], None]) -> None:
        self._reactor = reactor
        self._on_fault = on_fault
        self._calls: list[LoopingCall] = []

    def every(self, interval: timedelta, act: Callable[[], t.Any]) -> None:
        """Call `act` now and each `interval`; one that returns a Deferred is waited for."""
        call = LoopingCall(self._guard, act)
        call.clock = self._reactor
        call.start(interval.total_seconds())
        self._calls.append(call)

    def stop(self) -> None:
        """End the repetition."""
        for call in self._calls:
            call.stop()
        self._calls.clear()

    def sleep(self, duration: timedelta) -> "Deferred[None]":
        """Return a result that fires after `duration`."""
        done: Deferred[None] = Deferred()
        self._reactor.callLater(duration.total_seconds(), done.callback, None)
        return done

    def _guard(self, act: Callable[[], t.Any]) -> t.Any:
        try:
            result = act()
        except Exception:
            self._on_fault(Failure())
            return None
        return result.addErrback(self._on_fault) if isinstance(result, Deferred) else None
