"""The phases of a gateway's stop: it leaves the look-ups, closes its listeners, and ends."""

import typing as t
from collections.abc import Callable, Coroutine, Sequence
from datetime import timedelta

from cardamomloft.callers.app import CallersApp
from cardamomloft.core.clock import Clock
from cardamomloft.runtime.lifecycle import Lifecycle
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.stopplan import StopPlan, StopSignal, plan_stop
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred, gatherResults
from twisted.internet.interfaces import IDelayedCall

_MS = timedelta(milliseconds=1)


class GracefulStop:
    """Moves one gateway from phase to phase, and finishes the requests in flight.

    Parameters
    ----------
    reactor
        The event loop.
    clock
        Source of time.
    lifecycle
        Is told of the end of each phase.
    apps
        The HTTP applications whose requests are finished.
    passed_on
        Returns once all bodies that were answered early have been passed on.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        lifecycle: Lifecycle,
        apps: Sequence[CallersApp],
        passed_on: Callable[[], Coroutine[t.Any, t.Any, None]],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._lifecycle = lifecycle
        self._apps = apps
        self._passed_on = passed_on
        self._passing: Deferred[None] | None = None
        self._signal: StopSignal | None = None
        self._plan: StopPlan | None = None
        self._admit_until: timedelta | None = None
        self._hard_stop: IDelayedCall | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that are being handled or answered."""
        return sum(app.in_flight for app in self._apps)

    def admits(self) -> bool:
        """Return whether new requests are served."""
        until = self._admit_until
        in_time = until is None or self._clock.monotonic() < until
        return in_time and self._lifecycle.admits()

    def announce(self, signal: StopSignal, stop_time: timedelta) -> None:
        """Record a signal in its handler, before the event loop handles anything else.

        Requests that have waited while the process stood still are read before the stop begins.
        """
        if self._admit_until is None:
            self._admit_until = plan_stop(signal, stop_time).admit_until

    def receive(self, signal: StopSignal) -> None:
        """Start to stop; further signals have no effect."""
        if self._signal is None:
            self._signal = signal
            self._lifecycle.stop()

    def leave(self, stop_time: timedelta) -> StopPlan:
        """Answer with ``Connection: close`` from now on, and plan the other phases."""
        self._log("leaving")
        plan = self._plan = plan_stop(t.cast(StopSignal, self._signal), stop_time)
        self._admit_until = plan.admit_until
        for app in self._apps:
            app.start_closing()
        self._call_at(plan.admit_until, self._lifecycle.lookups_expired)
        self._hard_stop = self._call_at(plan.end_at, self._lifecycle.drained)
        return plan

    def close(self) -> None:
        """Finish the requests in flight, then report that the process may end."""
        self._log("closing")
        finished = gatherResults([app.drained() for app in self._apps])
        # The last answers may still be in send buffers: wait until their connections are closed.
        finished.addCallback(lambda _: gatherResults([app.disconnect() for app in self._apps]))
        finished.addCallback(lambda _: self._pass_on())
        finished.addCallback(lambda _: self._reactor.callLater(0, self._lifecycle.drained))
        finished.addErrback(lambda failure: failure.trap(CancelledError))

    def _pass_on(self) -> "Deferred[None]":
        self._passing = ensureDeferred(self._passed_on())
        return self._passing

    def end(self) -> bool:
        """Log what is in flight when the process ends, and return whether that cuts requests."""
        if self._hard_stop is not None and self._hard_stop.active():
            self._hard_stop.cancel()
        if self._passing is not None:
            self._passing.cancel()
        self._log("stopped", connections=sum(app.connections for app in self._apps))
        return self.in_flight > 0

    def _log(self, event: str, **fields: int) -> None:
        signal = t.cast(StopSignal, self._signal)
        since = self._clock.monotonic() - signal.handled
        late = signal.handled - signal.sent_after
        log(
            event,
            in_flight=self.in_flight,
            since_signal_ms=since // _MS,
            signal_late_ms=late // _MS,
            **fields,
        )

    def _call_at(self, instant: timedelta, action: t.Callable[[], None]) -> IDelayedCall:
        delay = max(timedelta(0), instant - self._clock.monotonic())
        return self._reactor.callLater(delay.total_seconds(), action)
