"""Following the control store: list once, then ask for changes at an interval.

Asking at an interval costs the store one call; a watch that is renewed at once would answer to
every registration, some tens a second, at every entry.
"""

import random
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.registrations import Fact
from cardamomloft.entry.logs import log
from cardamomloft.gateway.control import Changes, Control, Listing
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

FAILURES_UNTIL_AWAY = 2
"""Failed calls in a row after which the store counts as away; one may be a lost packet."""

_RETRY_INTERVAL = timedelta(milliseconds=500)
"""From the start of a failed question to the next one, unless it takes longer by itself.

What has changed meanwhile must be known soon after the store is back; each question is paid for.
"""

_LEAST_PAUSE = timedelta(milliseconds=50)
"""Pause after a question that took longer than the interval by itself."""

_ALONE_GROWTH = 0.5
"""Part of the usual number of changes that shows that the store was there for the others."""


class Follower:
    """Keeps what the control store holds up to date in this process.

    Parameters
    ----------
    reactor
        For the pauses.
    clock
        Source of time.
    control
        The store.
    rng
        Spreads the repeats of many entries.
    interval
        Time between two questions.
    on_listing
        Takes a whole listing.
    on_changes
        Takes facts that have changed, in order.
    on_returned
        Told that the store answers again after it was away, and whether it was there for the
        others meanwhile: then nothing has lapsed that lives.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        control: Control,
        rng: random.Random,
        interval: timedelta,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[tuple[Fact, ...]], None],
        on_returned: Callable[[bool], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._control = control
        self._rng = rng
        self.interval = interval
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_returned = on_returned
        self._index: int | None = None
        self._failures = 0
        self._was_away = False
        self._growth = _Growth()
        self._asked_at = timedelta(0)
        self._running: Deferred[None] | None = None

    @property
    def away(self) -> bool:
        """Whether the store does not answer this entry."""
        return self._failures >= FAILURES_UNTIL_AWAY

    def start(self, on_fault: Callable[[t.Any], None]) -> None:
        """Begin to follow; `on_fault` is told of exceptions, which end it."""
        self._running = ensureDeferred(self._follow())
        self._running.addErrback(lambda failure: failure.trap(CancelledError))
        self._running.addErrback(on_fault)

    def stop(self) -> None:
        """End it."""
        if self._running is not None:
            self._running.cancel()

    async def _follow(self) -> None:
        while True:
            self._asked_at = self._clock.monotonic()
            outcome = await self._ask()
            match outcome:
                case Result(tag="error", error=failure):
                    self._failed(failure)
                case _:
                    self._succeeded()
                    self._take(outcome.ok)
            await self._pause()

    def _ask(self) -> "Deferred[Result[Listing | Changes, StoreFailure]]":
        return self._control.read() if self._index is None else self._control.changes(self._index)

    def _take(self, found: Listing | Changes) -> None:
        if isinstance(found, Changes) and found.lost:
            log("store-history-lost", index=self._index)
            self._index = None
            return
        self._index = found.index
        self._note_return(found.index)
        if isinstance(found, Listing):
            self._on_listing(found)
        else:
            self._on_changes(found.facts)

    def _note_return(self, index: int) -> None:
        now = self._clock.monotonic()
        if self._was_away:
            self._was_away = False
            was_there = self._growth.is_usual(index, now)
            log("store-back", index=index, was_there_for_others=was_there)
            self._on_returned(was_there)
        self._growth.note(index, now)

    def _failed(self, failure: StoreFailure) -> None:
        self._failures += 1
        if self._failures == FAILURES_UNTIL_AWAY:
            log("store-away", detail=failure.detail)

    def _succeeded(self) -> None:
        self._was_away = self._was_away or self.away
        self._failures = 0

    def _pause(self) -> "Deferred[None]":
        pause = self.interval * self._rng.uniform(0.9, 1.1)
        if self._index is None or self._failures:
            elapsed = self._clock.monotonic() - self._asked_at
            pause = max(_LEAST_PAUSE, _RETRY_INTERVAL - elapsed)
        done: Deferred[None] = Deferred(lambda _: call.cancel())
        call = self._reactor.callLater(pause.total_seconds(), done.callback, None)
        return done


class _Growth:
    """How fast the store's index usually grows."""

    def __init__(self) -> None:
        self._last: tuple[int, timedelta] | None = None
        self._per_s = 0.0

    def note(self, index: int, now: timedelta) -> None:
        """Note the index at `now`."""
        if self._last is not None:
            grown, time = index - self._last[0], (now - self._last[1]).total_seconds()
            self._per_s += (grown / max(time, 0.1) - self._per_s) / 8
        self._last = (index, now)

    def is_usual(self, index: int, now: timedelta) -> bool:
        """Tell whether the index has grown since the last note about as fast as before."""
        if self._last is None:
            return False
        expected = self._per_s * (now - self._last[1]).total_seconds()
        return expected > 0 and index - self._last[0] >= _ALONE_GROWTH * expected
