"""Attempts of one request that are in progress at the same time.

A request that was sent is not given up because its endpoint or the links seem not to work. Another
attempt may be started beside it, and the first good answer counts.
"""

import contextlib
import typing as t
from collections import deque
from collections.abc import Callable, Coroutine, Iterator

from cardamomloft.gateway.outcomes import Outcome
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure


class Attempt:
    """One attempt.

    Attributes
    ----------
    beside
        Whether others were in progress when it began.
    suspicion
        Why it seems to be in vain, empty if nothing speaks against it.
    cancelled
        Whether it was cancelled here, so that its outcome says nothing about its endpoint.
    """

    def __init__(self, attempts: "Attempts", *, beside: bool) -> None:
        self.beside = beside
        self.suspicion = ""
        self.cancelled = False
        self._attempts = attempts

    def suspect(self, evidence: str) -> None:
        """Record that it seems to be in vain; it goes on."""
        self.suspicion = evidence
        self._attempts.wake_up()


Send = Callable[[Attempt], Coroutine[t.Any, t.Any, Outcome]]


class Attempts:
    """The attempts of one request that are in progress, or whose outcome was not taken yet."""

    def __init__(self) -> None:
        self._running: dict[Attempt, Deferred[Outcome]] = {}
        self._ended: deque[Outcome | Failure] = deque()
        self._woken = False
        self._waiting: Deferred[None] | None = None

    def __bool__(self) -> bool:
        return bool(self._running or self._ended)

    def are_suspected(self) -> bool:
        """Return whether attempts are in progress that all seem to be in vain."""
        return bool(self._running) and all(attempt.suspicion for attempt in self._running)

    def start(self, send: Send) -> None:
        """Start an attempt; `send` returns its outcome."""
        attempt = Attempt(self, beside=bool(self._running))
        sending = self._running[attempt] = ensureDeferred(send(attempt))
        sending.addBoth(self._record_end, attempt)

    async def next(self) -> Outcome | None:
        """Return the next outcome, or None once an attempt is suspected.

        Cancelling it cancels all attempts.
        """
        if not self._ended and not self._woken:
            self._waiting = Deferred(lambda _: self.cancel())
            await self._waiting
        self._woken = False
        if not self._ended:
            return None
        outcome = self._ended.popleft()
        if isinstance(outcome, Failure):
            outcome.raiseException()
        return outcome

    def cancel(self) -> None:
        """Cancel all attempts in progress."""
        for attempt, sending in tuple(self._running.items()):
            attempt.cancelled = True
            sending.cancel()

    def wake_up(self) -> None:
        """Let `next` return."""
        self._woken = True
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    def _record_end(self, outcome: Outcome | Failure, attempt: Attempt) -> None:
        del self._running[attempt]
        self._ended.append(outcome)
        self.wake_up()


@contextlib.contextmanager
def attempts_of_request() -> Iterator[Attempts]:
    """Yield the attempts of one request; those in progress are cancelled at the end."""
    attempts = Attempts()
    try:
        yield attempts
    finally:
        attempts.cancel()
