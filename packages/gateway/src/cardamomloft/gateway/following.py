"""Follows the control store: lists it once, then requests changes by long polling.

While nothing changes, a request lasts as long as the store may wait. It can get lost when its
connection breaks, which connection probes detect, or when the store fails, which a failed renewal
of the entry's lease reveals. After a change the next request waits for the interval, so that
frequent changes, such as the release of a service, do not multiply the requests.
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
from twisted.python.failure import Failure

POLL_INTERVAL_FRACTION = 0.4
"""Fraction of the drain time from an answer with changes to the next request to the store.
Failed requests are retried sooner, so that two of them fit into the drain time."""

STORE_WAIT_FRACTION = 0.2
"""Fraction of the drain time for which the store may wait for a change before it answers. A poll
may be lost without an error. A change that came right after the answer before it is then known
after the pause (0.44), this wait, the time for which an answer is awaited beyond it, and one more
request. A store that has discarded its history reports changes when the poll ends."""

_RETRY_INTERVAL = timedelta(milliseconds=500)
"""Minimum time from the start of a failed request to the next one. It bounds both the delay of
changes after an outage and the cost of requests."""

_MIN_PAUSE = timedelta(milliseconds=50)
"""Pause after a failed request that took longer than the retry interval."""

_MAX_FAULT_PAUSE = timedelta(seconds=8)
"""Longest pause after an exception. It doubles with each one in a row, which bounds the log."""

_FAILURES_LOGGED = 3
"""Consecutive failures of which each is logged, further ones only at intervals."""

_FAILURE_LOG_INTERVAL = 10
"""Interval, in failures, at which the later ones are logged."""

_MS = timedelta(milliseconds=1)


class PollTiming(t.NamedTuple):
    """Timing of requests to the store.

    Attributes
    ----------
    interval
        Minimum time from an answer with changes to the next request.
    wait
        How long the store may wait for a change before it answers.
    """

    interval: timedelta
    wait: timedelta


def poll_timing(drain_time: timedelta) -> PollTiming:
    """Return the timing with which a change is known within the drain time, without failures."""
    return PollTiming(drain_time * POLL_INTERVAL_FRACTION, drain_time * STORE_WAIT_FRACTION)


class Follower:
    """Keeps this process up to date with the control store.

    Parameters
    ----------
    reactor
        Schedules the pauses.
    clock
        Source of time.
    control
        The store.
    rng
        Adds jitter to the interval, so that entries do not send requests at the same time.
    timing
        When to send requests.
    on_listing
        Called with a complete listing.
    on_changes
        Called with the facts that have changed, in order.
    on_recovered
        Called when the store answers again after an outage.

    Attributes
    ----------
    source
        Where the last answer with facts came from, for the log.
    applied
        Whether the last answer could be applied. Data that arrived proves nothing otherwise.
    """

    def __init__(
        self,
        reactor: t.Any,
        clock: Clock,
        control: Control,
        rng: random.Random,
        timing: PollTiming,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[tuple[Fact, ...]], None],
        on_recovered: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._control = control
        self._rng = rng
        self.timing = timing
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_recovered = on_recovered
        self._index: Position | None = None
        self._failures = 0
        self._was_unavailable = False
        self._requested_at = timedelta(0)
        self._answered_at = clock.monotonic()
        self._stopped = False
        self.source = ""
        self.applied = True
        self._faults = 0
        self._running: Deferred[None] | None = None
        self._request: Deferred[Result[Listing | Changes, StoreFailure]] | None = None

    @property
    def time_since_answer(self) -> timedelta:
        """Time since the store, or a relay in its place, last answered; since start if never."""
        return self._clock.monotonic() - self._answered_at

    @property
    def store_unavailable(self) -> bool:
        """Whether the store counts as unavailable, after repeated failures."""
        return self._failures >= FAILURES_UNTIL_UNAVAILABLE

    def start(self, on_fault: Callable[[t.Any], None]) -> None:
        """Start following; unexpected exceptions are passed to `on_fault`.

        After an exception the store is listed anew, since an answer may have been applied in part.
        """
        self._running = ensureDeferred(self._follow(on_fault))
        self._running.addErrback(lambda failure: failure.trap(CancelledError))
        self._running.addErrback(on_fault)

    def stop(self) -> None:
        """Stop following."""
        self._stopped = True
        if self._running is not None:
            self._running.cancel()

    def poll_now(self) -> None:
        """Request changes at once, since another call to the store has failed.

        A pending long poll may have been lost with that call and would otherwise wait until its
        timeout.
        """
        is_waiting = self._request is not None and self._index is not None
        if is_waiting and not self._failures:
            self._request.cancel()

    async def _follow(self, on_fault: Callable[[t.Any], None]) -> None:
        while not self._stopped:
            self._requested_at = self._clock.monotonic()
            try:
                pause = await self._request_once()
            except Exception:
                if self._stopped:
                    raise
                on_fault(Failure())
                self.applied = False
                self._index = None
                pause = min(_RETRY_INTERVAL * 2**self._faults, _MAX_FAULT_PAUSE)
                self._faults = min(self._faults + 1, 10)
            if pause is not None:
                await self._pause(pause)

    async def _request_once(self) -> timedelta | None:
        """Send a request and apply its answer; return the pause before the next, None at a stop."""
        self._request = self._send_request()
        try:
            outcome = await self._request
        finally:
            self._request = None
        if self._stopped:
            # A cancelled request may still return an answer.
            return None
        match outcome:
            case Result(tag="error", error=failure):
                self._record_failure(failure)
                return self._retry_pause()
            case Result(ok=Changes(failure=StoreFailure() as failure) as answer):
                self._record_failure(failure)
                self._apply(answer)
                return self._retry_pause()
            case Result(ok=answer):
                self._record_success()
                self._handle_answer(answer)
                self._faults = 0
                return self._next_pause(answer)

    def _send_request(self) -> "Deferred[Result[Listing | Changes, StoreFailure]]":
        if self._index is None:
            return self._control.read()
        # After a failure the request must show at once whether the store is available.
        wait = timedelta(0) if self._failures else self.timing.wait
        return self._control.changes(self._index, wait)

    def _handle_answer(self, answer: Listing | Changes) -> None:
        if isinstance(answer, Changes) and answer.lost:
            log("store-history-lost", index=self._index, now=answer.index)
            self._index = None
            return
        if self._was_unavailable:
            self._was_unavailable = False
            log("store-back", index=answer.index)
            self._on_recovered()
        self._apply(answer)

    def _apply(self, answer: Listing | Changes) -> None:
        self._index = answer.index
        if answer.facts:
            self.source = answer.source
        if isinstance(answer, Listing):
            self._on_listing(answer)
        elif answer.whole:
            self._on_listing(Listing(answer.facts, answer.index, answer.source))
        else:
            self._on_changes(answer.facts)
        self.applied = True

    def _record_failure(self, failure: StoreFailure) -> None:
        self._failures += 1
        if self._failures <= _FAILURES_LOGGED or self._failures % _FAILURE_LOG_INTERVAL == 0:
            log(
                "poll-failed",
                request="listing" if self._index is None else "changes",
                detail=failure.detail,
                ms=self._elapsed() // _MS,
                failures=self._failures,
                answered_ms=self.time_since_answer // _MS,
            )
        if self._failures == FAILURES_UNTIL_UNAVAILABLE:
            log("store-away", detail=failure.detail)
        if failure.unusable:
            self._index = None

    def _record_success(self) -> None:
        self._was_unavailable = self._was_unavailable or self.store_unavailable
        self._failures = 0
        self._answered_at = self._clock.monotonic()

    def _next_pause(self, answer: Listing | Changes) -> timedelta:
        """Return the pause after an answer."""
        if self._index is None:
            # The store's history is lost, so the next request is a listing.
            return self._retry_pause()
        pause = answer.pause if isinstance(answer, Changes) else None
        interval = (self.timing.interval if pause is None else pause) * self._rng.uniform(0.9, 1.1)
        if answer.facts:
            return interval
        return max(timedelta(0), interval - self._elapsed())

    def _retry_pause(self) -> timedelta:
        return max(_MIN_PAUSE, _RETRY_INTERVAL - self._elapsed())

    def _elapsed(self) -> timedelta:
        return self._clock.monotonic() - self._requested_at

    def _pause(self, duration: timedelta) -> "Deferred[None]":
        done: Deferred[None] = Deferred(lambda _: call.cancel())
        call = self._reactor.callLater(duration.total_seconds(), done.callback, None)
        return done
