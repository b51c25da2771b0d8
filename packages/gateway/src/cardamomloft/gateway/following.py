"""Following the control store: list once, then ask for changes at an interval.

Asking at an interval costs the store one call; a watch that is renewed at once would answer to
every registration, some tens a second, at every entry.
"""

import random
import typing as t
from collections.abc import Callable
from datetime import timedelta

from cardamomloft.core.registrations import Fact
from cardamomloft.entry.logs import log
from cardamomloft.gateway.control import Changes, Control, Listing
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

FAILURES_UNTIL_AWAY = 2
"""Failed calls in a row after which the store counts as away; one may be a lost packet."""

_FIRST_PAUSE = timedelta(milliseconds=200)
_LONGEST_PAUSE = timedelta(milliseconds=800)


class Follower:
    """Keeps what the control store holds up to date in this process.

    Parameters
    ----------
    reactor
        For the pauses.
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
        Told that the store answers again after it was away.
    """

    def __init__(
        self,
        reactor: t.Any,
        control: Control,
        rng: random.Random,
        interval: timedelta,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[tuple[Fact, ...]], None],
        on_returned: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._control = control
        self._rng = rng
        self._interval = interval
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_returned = on_returned
        self._index: int | None = None
        self._failures = 0
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
        if isinstance(found, Listing):
            self._index = found.index
            self._on_listing(found)
        elif found.lost:
            log("store-history-lost", index=self._index)
            self._index = None
        else:
            self._index = found.index
            self._on_changes(found.facts)

    def _failed(self, failure: StoreFailure) -> None:
        self._failures += 1
        if self._failures == FAILURES_UNTIL_AWAY:
            log("store-away", detail=failure.detail)

    def _succeeded(self) -> None:
        was_away, self._failures = self.away, 0
        if was_away:
            log("store-back", index=self._index)
            self._on_returned()

    def _pause(self) -> "Deferred[None]":
        pause = self._interval
        if self._index is None or self._failures:
            pause = min(_FIRST_PAUSE * 2 ** min(self._failures, 3), _LONGEST_PAUSE)
        done: Deferred[None] = Deferred()
        seconds = pause.total_seconds() * self._rng.uniform(0.9, 1.1)
        self._reactor.callLater(seconds, lambda: done.called or done.callback(None))
        return done
