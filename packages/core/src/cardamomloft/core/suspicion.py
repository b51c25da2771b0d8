"""Shared failure detection: which endpoints are suspected from the requests of several entries.

In a large fleet a single entry sends too few requests to an endpoint to detect its failure in
time. Consecutive failures are therefore counted across entries, and an answer to any entry ends
the suspicion. Failures seen by one other entry only are not enough, since its own network may be
at fault.
"""

import typing as t
from collections import OrderedDict
from datetime import timedelta

from cardamomloft.core.registrations import UpstreamIncarnation

FAILURES_TO_EJECT = 2
"""Consecutive failures that eject an endpoint; a single one may be a lost answer."""

INITIAL_EJECTION = timedelta(seconds=1)
"""Duration of the first ejection, doubled with each further failure.

Meanwhile its keys go to other endpoints, where they are cache misses. An endpoint that failed by
chance loses its keys for as long.
"""

MAX_EJECTION = timedelta(seconds=4)
"""Maximum duration of an ejection, after which the endpoint is tried again."""

MAX_DOUBLINGS = 2
"""Number of doublings that reaches `MAX_EJECTION`."""

MAX_SUSPECTS = 5_000
"""Maximum number of suspected endpoints; beyond it the one that failed longest ago is dropped."""


class _Suspect(t.NamedTuple):
    """The failures of an incarnation since its last answer.

    Attributes
    ----------
    others
        Other entries that have reported a failure since the last ejection began.
    count
        Number of failures that count towards ejection.
    failed_at
        Instant of the latest of them.
    ejected_until
        Instant at which the ejection ends.
    """

    others: frozenset[str]
    count: int
    failed_at: timedelta
    ejected_until: timedelta


_NEVER = timedelta(days=-1)
_UNSUSPECTED = _Suspect(frozenset(), 0, _NEVER, _NEVER)


class Suspicions:
    """The endpoints that one entry suspects, by its own failures and those reported by others.

    Parameters
    ----------
    own
        This entry's name.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._suspects: OrderedDict[UpstreamIncarnation, _Suspect] = OrderedDict()
        self._last_answers: OrderedDict[UpstreamIncarnation, timedelta] = OrderedDict()

    def is_suspected(self, incarnation: UpstreamIncarnation) -> bool:
        """Return whether a failure is known since the last answer.

        The next answer of a suspected endpoint must be reported to the other entries.
        """
        return incarnation in self._suspects

    def ejected_until(self, incarnation: UpstreamIncarnation) -> timedelta:
        """Return the instant at which the endpoint's ejection ends; in the past if not ejected."""
        return self._suspects.get(incarnation, _UNSUSPECTED).ejected_until

    def record_failure(
        self, incarnation: UpstreamIncarnation, entry: str, at: timedelta, now: timedelta
    ) -> None:
        """Record that a request of `entry` to the endpoint failed.

        Parameters
        ----------
        at
            Instant of the failure by this entry's clock. Reports arrive in any order, so one that
            is older than an answer is ignored. So is one within an ejection, which concerns a
            request sent before it.
        now
            Monotonic instant at which an ejection begins.
        """
        before = self._suspects.get(incarnation, _UNSUSPECTED)
        if at <= self._last_answers.get(incarnation, _NEVER) or at < before.ejected_until:
            return
        if entry in before.others:
            return
        others = before.others if entry == self._own else before.others | {entry}
        updated = _Suspect(
            others, before.count + 1, max(at, before.failed_at), before.ejected_until
        )
        if updated.count >= FAILURES_TO_EJECT:
            updated = updated._replace(
                others=frozenset(), ejected_until=now + _ejection_after(updated.count)
            )
        self._suspects.pop(incarnation, None)
        self._suspects[incarnation] = updated
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def record_answer(self, incarnation: UpstreamIncarnation, at: timedelta) -> None:
        """Record that the endpoint answered a request of any entry at the instant `at`."""
        if at < self._suspects.get(incarnation, _UNSUSPECTED).failed_at:
            return
        self._suspects.pop(incarnation, None)
        last = self._last_answers.pop(incarnation, _NEVER)
        self._last_answers[incarnation] = max(at, last)
        if len(self._last_answers) > MAX_SUSPECTS:
            self._last_answers.popitem(last=False)


def _ejection_after(failures: int) -> timedelta:
    doublings = min(failures - FAILURES_TO_EJECT, MAX_DOUBLINGS)
    return min(INITIAL_EJECTION * 2**doublings, MAX_EJECTION)
