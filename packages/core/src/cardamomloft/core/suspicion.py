"""Which endpoints are suspected, from what several entries have seen of them.

Among hundreds of entries each sends to an endpoint too seldom to find out in time that it has
failed. Two failures in a row, whoever saw them, are enough here; an answer to anybody ends the
suspicion. One entry alone, whose own network may be at fault, raises none for the others.
"""

import typing as t
from collections import OrderedDict
from datetime import timedelta

from cardamomloft.core.registrations import UpstreamIncarnation

FAILURES_TO_REST = 2
"""Failures in a row after which an endpoint rests; one may be an answer that was lost."""

FIRST_REST = timedelta(seconds=1)
"""The first rest, doubled with each failure after it. An endpoint that failed by chance loses its
objects for as long. In the model of ``make experiment`` (scenario ``crowd-heavy``, one play each)
callers get 0.892 of the credit at 0.3 s, 0.895 at 1 s and 0.897 at 2 s."""

LONGEST_REST = timedelta(seconds=4)
"""The longest rest, after which an endpoint is tried again."""

MOST_DOUBLINGS = 2
"""Doublings after which a rest is no longer than the longest one anyway."""

SUSPECTS_KEPT = 5_000
"""Endpoints that are suspected at one time; more than that fail together only if this entry's own
network does, and the one suspected longest ago is let go."""


class _Suspect(t.NamedTuple):
    """A life that has failed since its last answer.

    Attributes
    ----------
    others
        Other entries that have seen it fail since its last rest began.
    count
        Failures that count.
    failed_at
        Instant of the latest of them.
    ejected_until
        Instant until which it is left alone.
    """

    others: frozenset[str]
    count: int
    failed_at: timedelta
    ejected_until: timedelta


_NEVER = timedelta(days=-1)
_WELL = _Suspect(frozenset(), 0, _NEVER, _NEVER)


class Suspicions:
    """What one entry suspects, by its own failures and those that others tell of.

    Parameters
    ----------
    own
        This entry's name.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._suspects: OrderedDict[UpstreamIncarnation, _Suspect] = OrderedDict()
        self._answered: OrderedDict[UpstreamIncarnation, timedelta] = OrderedDict()

    def is_suspected(self, incarnation: UpstreamIncarnation) -> bool:
        """Tell whether a failure is known since the last answer, so that the next one is news."""
        return incarnation in self._suspects

    def ejected_until(self, incarnation: UpstreamIncarnation) -> timedelta:
        """Return the instant until which an endpoint is left alone; long ago if it is not."""
        return self._suspects.get(incarnation, _WELL).ejected_until

    def record_failure(
        self, incarnation: UpstreamIncarnation, entry: str, at: timedelta, now: timedelta
    ) -> None:
        """Note that a request of `entry` failed there.

        Parameters
        ----------
        at
            Instant of the failure by this entry's clock. What entries tell each other arrives in
            any order: it counts for nothing if an answer came later. During a rest it is of a
            request that was sent before, and says nothing new.
        now
            Monotonic instant, from which a rest begins.
        """
        before = self._suspects.get(incarnation, _WELL)
        if at <= self._answered.get(incarnation, _NEVER) or at < before.ejected_until:
            return
        if entry in before.others:
            return
        others = before.others if entry == self._own else before.others | {entry}
        found = _Suspect(others, before.count + 1, max(at, before.failed_at), before.ejected_until)
        if found.count >= FAILURES_TO_REST:
            found = found._replace(others=frozenset(), ejected_until=now + _rest_after(found.count))
        self._suspects.pop(incarnation, None)
        self._suspects[incarnation] = found
        if len(self._suspects) > SUSPECTS_KEPT:
            self._suspects.popitem(last=False)

    def record_answer(self, incarnation: UpstreamIncarnation, at: timedelta) -> None:
        """Note that the endpoint answered some entry at that instant."""
        if at < self._suspects.get(incarnation, _WELL).failed_at:
            return
        self._suspects.pop(incarnation, None)
        last = self._answered.pop(incarnation, _NEVER)
        self._answered[incarnation] = max(at, last)
        if len(self._answered) > SUSPECTS_KEPT:
            self._answered.popitem(last=False)


def _rest_after(failures: int) -> timedelta:
    doublings = min(failures - FAILURES_TO_REST, MOST_DOUBLINGS)
    return min(FIRST_REST * 2**doublings, LONGEST_REST)
