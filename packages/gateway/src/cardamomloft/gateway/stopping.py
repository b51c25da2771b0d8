"""The phases of a gateway's stop: it leaves the look-ups, closes its listeners, and ends."""

import typing as t
from collections.abc import Sequence
from datetime import timedelta

from cardamomloft.callers.app import CallersApp
from cardamomloft.core.clock import Clock
from cardamomloft.runtime.lifecycle import Lifecycle
from cardamomloft.runtime.logs import log
from cardamomloft.runtime.stopplan import StopPlan, StopSignal, plan_stop
from twisted.internet.defer import gatherResults
from twisted.internet.interfaces import IDelayedCall


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
    """

    def __init__(
        self, reactor: t.Any, clock: Clock, lifecycle: Lifecycle, apps: Sequence[CallersApp]
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._lifecycle = lifecycle
        self._apps = apps
        self._signal: StopSignal | None = None
        self._plan: StopPlan | None = None
        self._hard_stop: IDelayedCall | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that are being handled or answered."""
        return sum(app.in_flight for app in self._apps)

    def admits(self) -> bool:
        """Return whether new requests are served."""
        plan = self._plan
        in_time = plan is None or self._clock.monotonic() < plan.admit_until
        return in_time and self._lifecycle.admits()

    def receive(self, signal: StopSignal) -> None:
        """Start to stop; further signals have no effect."""
        if self._signal is None:
            self._signal = signal
            self._lifecycle.stop()

    def leave(self, stop_time: timedelta) -> StopPlan:
        """Answer with ``Connection: close`` from now on, and plan the other phases."""
        log("leaving", in_flight=self.in_flight)
        plan = self._plan = plan_stop(t.cast(StopSignal, self._signal), stop_time)
        for app in self._apps:
            app.start_closing()
        self._call_at(plan.admit_until, self._lifecycle.lookups_expired)
        self._hard_stop = self._call_at(plan.end_at, self._lifecycle.drained)
        return plan

    def close(self) -> None:
        """Finish the requests in flight, then report that the process may end."""
        log("closing", in_flight=self.in_flight)
        finished = gatherResults([app.drained() for app in self._apps])
        # The last answers may still be in send buffers: wait until their connections are closed.
        finished.addCallback(lambda _: gatherResults([app.disconnect() for app in self._apps]))
        finished.addCallback(lambda _: self._reactor.callLater(0, self._lifecycle.drained))

    def end(self) -> None:
        """Cancel the hard stop: the process ends."""
        if self._hard_stop is not None and self._hard_stop.active():
            self._hard_stop.cancel()
        log("stopped", in_flight=self.in_flight)

    def _call_at(self, instant: timedelta, action: t.Callable[[], None]) -> IDelayedCall:
        delay = max(timedelta(0), instant - self._clock.monotonic())
        return self._reactor.callLater(delay.total_seconds(), action)
