"""Following the control store: list once, then ask for changes, which the store waits for.

While nothing changes a question lasts as long as the store may wait. It can get lost meanwhile:
when its connection dies in silence, of which probes tell, or when the store goes away, of which a
renewal of the entry's lease tells, a call each 1.5 s that costs a tenth. A change is known after
13 ms (one, logged). After a change the next question waits for the interval, so that a time of many
changes, such as a service's release, costs no more than before.
"""

import random
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import Fact
from cardamomloft.feed.sources import FAILURES_UNTIL_UNAVAILABLE
from cardamomloft.gateway.control import Changes, Control, Listing
from cardamomloft.runtime.logs import log
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

_RETRY_INTERVAL = timedelta(milliseconds=500)
"""From the start of a failed question to the next one, unless it takes longer by itself.

What has changed meanwhile must be known soon after the store is back; each question is paid for.
"""

_LEAST_PAUSE = timedelta(milliseconds=50)
"""Pause after a question that took longer than the interval by itself."""


class PollTiming(t.NamedTuple):
    """When the store is asked.

    Attributes
    ----------
    interval
        Least time from an answer with changes to the next question.
    wait
        How long the store may wait for a change before it answers.
    """

    interval: timedelta
    wait: timedelta


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
    pace
        When to ask.
    on_listing
        Takes a whole listing.
    on_changes
        Takes facts that have changed, in order.
    on_returned
        Told that the store answers again after it was away.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        control: Control,
        rng: random.Random,
        pace: PollTiming,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[tuple[Fact, ...]], None],
        on_returned: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._control = control
        self._rng = rng
        self.pace = pace
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_returned = on_returned
        self._index: Position | None = None
        self._failures = 0
        self._was_away = False
        self._asked_at = timedelta(0)
        self._answered_at = clock.monotonic()
        self._stopped = False
        self._running: Deferred[None] | None = None
        self._question: Deferred[Result[Listing | Changes, StoreFailure]] | None = None

    @property
    def time_since_answer(self) -> timedelta:
        """Return how long ago the store, or a relay instead, answered; since the start if never."""
        return self._clock.monotonic() - self._answered_at

    @property
    def store_unavailable(self) -> bool:
        """Whether the store does not answer this entry."""
        return self._failures >= FAILURES_UNTIL_UNAVAILABLE

    def start(self, on_fault: Callable[[t.Any], None]) -> None:
        """Begin to follow; `on_fault` is told of exceptions, which end it."""
        self._running = ensureDeferred(self._follow())
        self._running.addErrback(lambda failure: failure.trap(CancelledError))
        self._running.addErrback(on_fault)

    def stop(self) -> None:
        """End it."""
        self._stopped = True
        if self._running is not None:
            self._running.cancel()

    def poll_now(self) -> None:
        """Ask the store at once, since another call to it has failed.

        The question that waits for a change may have been lost with that, and would go on waiting.
        """
        waits = self._question is not None and self._index is not None
        if waits and not self._failures:
            self._question.cancel()

    async def _follow(self) -> None:
        while not self._stopped:
            self._asked_at = self._clock.monotonic()
            self._question = self._ask()
            outcome = await self._question
            self._question = None
            if self._stopped:
                # A question that was cut short may have an answer all the same.
                return
            match outcome:
                case Result(tag="error", error=failure):
                    self._failed(failure)
                    await self._pause(self._until_retry())
                case Result(ok=Changes(failure=StoreFailure() as failure) as found):
                    self._failed(failure)
                    self._learn(found)
                    await self._pause(self._until_retry())
                case Result(ok=found):
                    self._succeeded()
                    self._take(found)
                    await self._pause(self._until_next(found))

    def _ask(self) -> "Deferred[Result[Listing | Changes, StoreFailure]]":
        if self._index is None:
            return self._control.read()
        # After a failure the store is asked for its answer at once: is it there?
        wait = timedelta(0) if self._failures else self.pace.wait
        return self._control.changes(self._index, wait)

    def _take(self, found: Listing | Changes) -> None:
        if isinstance(found, Changes) and found.lost:
            log("store-history-lost", index=self._index, now=found.index)
            self._index = None
            return
        if self._was_away:
            self._was_away = False
            log("store-back", index=found.index)
            self._on_returned()
        self._learn(found)

    def _learn(self, found: Listing | Changes) -> None:
        self._index = found.index
        if isinstance(found, Listing):
            self._on_listing(found)
        elif found.whole:
            self._on_listing(Listing(found.facts, found.index))
        else:
            self._on_changes(found.facts)

    def _failed(self, failure: StoreFailure) -> None:
        self._failures += 1
        if self._failures == FAILURES_UNTIL_UNAVAILABLE:
            log("store-away", detail=failure.detail)

    def _succeeded(self) -> None:
        self._was_away = self._was_away or self.store_unavailable
        self._failures = 0
        self._answered_at = self._clock.monotonic()

    def _until_next(self, found: Listing | Changes) -> timedelta:
        """Return the pause after an answer."""
        if self._index is None:
            # The history is lost: the list that takes its place is asked for soon.
            return self._until_retry()
        pause = found.pause if isinstance(found, Changes) else None
        interval = (self.pace.interval if pause is None else pause) * self._rng.uniform(0.9, 1.1)
        if found.facts:
            return interval
        return max(timedelta(0), interval - self._elapsed())

    def _until_retry(self) -> timedelta:
        return max(_LEAST_PAUSE, _RETRY_INTERVAL - self._elapsed())

    def _elapsed(self) -> timedelta:
        return self._clock.monotonic() - self._asked_at

    def _pause(self, duration: timedelta) -> "Deferred[None]":
        done: Deferred[None] = Deferred(lambda _: call.cancel())
        call = self._reactor.callLater(duration.total_seconds(), done.callback, None)
        return done
