"""How long requests take until they are answered, by rule, and which would outlast a stop."""

import contextlib
import typing as t
from collections.abc import Iterator
from datetime import timedelta

PERIOD = timedelta(minutes=1)
"""Time after which the longest answer is measured anew; that of the period before still counts."""

AGE_FACTOR = 2
"""Multiple of the longest time above which the age of a request in progress shows that requests
have become slow, and multiple of that age that they are expected to take."""

_ZERO = timedelta(0)


class AnswerTimes:
    """The longest recent times from sending a request to its whole answer.

    A rule that has had no request for long keeps its last times, which are the best estimate.

    Load: requests that come while a process stops, and at which endpoints work for longer than the
    process goes on. Cutting them costs their callers the answer, and those that may not be
    repeated are lost; refusing all of them costs the callers that would have been served.
    """

    def __init__(self) -> None:
        self._rules: dict[str, _Times] = {}

    @contextlib.contextmanager
    def sending(self, rule: str, now: timedelta) -> Iterator[None]:
        """Count a request as in progress in the with-block, from the monotonic instant `now` on."""
        sent = self._times(rule).sent
        request = object()
        sent[request] = now
        try:
            yield
        finally:
            del sent[request]

    def record(self, rule: str, duration: timedelta, now: timedelta) -> None:
        """Record that a request was answered after a time.

        Parameters
        ----------
        rule
            Name of the request's rule.
        duration
            Time from sending it to its whole answer.
        now
            Monotonic instant.
        """
        self._times(rule).record(duration, now)

    def longest(self, rule: str, now: timedelta) -> timedelta | None:
        """Return the longest recent time of a rule, with those expected of requests in progress.

        It is None if no request of the rule was ever answered.
        """
        return self._times(rule).longest(now)

    def may_outlast(self, rule: str, now: timedelta, deadline: timedelta, end: timedelta) -> bool:
        """Return whether a request that is sent now may be without an answer at the end.

        Parameters
        ----------
        rule
            Name of the request's rule.
        now
            Monotonic instant.
        deadline
            Monotonic instant at which the request has some answer in any case.
        end
            Monotonic instant by which requests must be answered.
        """
        if deadline <= end:
            return False
        longest = self.longest(rule, now)
        return longest is None or now + longest > end

    def retain(self, rules: t.Container[str]) -> None:
        """Forget all rules but these, unless they have requests in progress."""
        self._rules = {
            rule: times for rule, times in self._rules.items() if rule in rules or times.sent
        }

    def _times(self, rule: str) -> "_Times":
        return self._rules.setdefault(rule, _Times())


class _Times:
    """The times of one rule; `sent` are the instants of requests in progress, in order."""

    def __init__(self) -> None:
        self.sent: dict[object, timedelta] = {}
        self._began = _ZERO
        self._present: timedelta | None = None
        self._before = _ZERO

    def record(self, duration: timedelta, now: timedelta) -> None:
        if self._present is None or now - self._began > PERIOD:
            self._began, self._before = now, self._present or _ZERO
            self._present = duration
        self._present = max(self._present, duration)

    def longest(self, now: timedelta) -> timedelta | None:
        if self._present is None:
            return None
        known = max(self._present, self._before)
        age = now - next(iter(self.sent.values()), now)
        if age > AGE_FACTOR * known:
            return AGE_FACTOR * age
        return max(known, age)
