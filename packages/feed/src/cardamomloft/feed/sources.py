"""Selects where a gateway queries for changes next: a relay of its region or the control store.

A gateway that reaches the store must apply a change within the drain time even if relays fail. It
therefore tracks the time up to which its data is complete, and queries a relay only while enough
time is left to query the store after a relay timeout. In fractions of the drain time:

- A relay queries the store again 0.35 after an answer with changes and forwards changes
  immediately, so without failures a change is applied after 0.4.
- A subscriber's query to a relay waits up to 0.3, and times out 0.1 later.
- Data that is 0.7 old is refreshed from the store. The store is thus queried at most 0.8 after a
  change, so 0.2 remains for its answer.

During an outage of the store, relays query it continuously and the other gateways query the relays.
A relay with data newer than the failure shows that the store has recovered. Since only a relay may
have lost its connection to the store, each gateway queries the store itself 0.7 of the drain time
after its last failure.

Where keys of client accounts must stop working within a revocation time, a gateway also tracks the
time up to which its data is verified. An answer that was delayed on its way, or read late by a
paused process, only proves what was true when the query was sent.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.registrations import EntryRecord
from cardamomloft.feed.relays import by_proximity, relays_of

RELAY_PAUSE_FRACTION = 0.35
"""Fraction of the drain time between an answer with changes and a relay's next store query. Under
continuous changes it sets the rate of store queries and the delay of changes."""

RELAY_MAX_AGE_FRACTION = 0.5
"""Fraction of the drain time that bounds the age of a relay's data, and so the wait of its store
queries. After an answer without changes a relay queries again immediately."""

SUBSCRIBER_WAIT_FRACTION = 0.3
"""Fraction of the drain time for which a relay may wait for a change before it answers a
subscriber."""

RELAY_TIMEOUT_FRACTION = 0.1
"""Fraction of the drain time that a relay's answer may take in addition to its wait: 0.25 s of
2.5 s, for links between zones and a busy relay."""

MAX_AGE_FRACTION = 0.7
"""Fraction of the drain time after which data is refreshed from the store. After a relay timeout,
0.2 remains for the store's answer."""

OUTDATED_FRACTION = 0.72
"""Fraction of the drain time after which data counts as outdated: the query to the store at
`MAX_AGE_FRACTION` has not been answered at once. The rest is left to get the configuration from
another gateway."""

SUBSCRIBER_PAUSE_FRACTION = 0.05
"""Fraction of the drain time between an answer with changes and a subscriber's next query. It
limits a subscriber to about 20 queries per drain time."""

OUTAGE_WAIT_FRACTION = 0.2
"""Fraction of the drain time for which a relay may wait before it answers a subscriber during an
outage of the store: 0.5 s of 2.5 s, as often as a relay queries the store."""

FAILURES_UNTIL_UNAVAILABLE = 2
"""Consecutive failed calls after which the store counts as unavailable."""

VERIFICATION_INTERVAL_FRACTION = 0.3
"""Fraction of the revocation time after which the store should answer a query again, if its data
must be verified. The waits of queries are shortened to it."""

MAX_UNVERIFIED_FRACTION = 0.6
"""Fraction of the revocation time after which unverified data is refreshed from the store, so that
the answer arrives before keys are refused."""

SUSPECT_DRAIN_TIMES = 2.0
"""Drain times for which an unresponsive relay is not queried. The record of a stopped relay expires
earlier."""

_NEVER = timedelta(0)


class SourceChoice(t.NamedTuple):
    """The source of the next query for changes, and how to query it.

    Attributes
    ----------
    relay
        The relay to query, or None for the store.
    wait
        How long the source may wait for a change before it answers; None for the default.
    pause
        Minimum time from an answer with changes to the next query; None for the default.
    """

    relay: EntryRecord | None
    wait: timedelta | None = None
    pause: timedelta | None = None


class SourceSelector:
    """Selects the source of the next query for changes.

    Parameters
    ----------
    own
        This gateway's record; without an address for peers it always queries the store.
    drain_time
        Time within which a change must be applied.

    Attributes
    ----------
    complete_until
        Time up to which the data is complete; None before the first answer.
    verified_until
        The same, but proved without an assumption on how long answers were under way.
    revocation_time
        Time within which a withdrawn key must be refused; None if data need not be verified.
    """

    def __init__(self, own: EntryRecord, drain_time: timedelta) -> None:
        self._own = own
        self.drain_time = drain_time
        self.complete_until: timedelta | None = None
        self.verified_until: timedelta | None = None
        self.revocation_time: timedelta | None = None
        self._suspected_until: dict[str, timedelta] = {}
        self._failures = 0
        self._failed_at = timedelta(0)

    @property
    def relay_timeout(self) -> timedelta:
        """How much longer than its wait a relay may take to answer."""
        return self.drain_time * RELAY_TIMEOUT_FRACTION

    def next_source(self, records: Iterable[EntryRecord], now: timedelta) -> SourceChoice:
        """Return the next query, given the recorded gateways.

        A relay answers only recorded gateways, so a gateway without a record queries the store.
        """
        relays = self._relays(records)
        if self._own.name in [row.name for row in relays]:
            return self._query_as_relay(now)
        relay = self._nearest(relays, now)
        if relay is None:
            return SourceChoice(None)
        pause = self.drain_time * SUBSCRIBER_PAUSE_FRACTION
        time_left = self._time_left(MAX_AGE_FRACTION, now)
        if self.revocation_time is not None:
            time_left = min(time_left, self._time_to_verify(MAX_UNVERIFIED_FRACTION, now))
        if not time_left:
            return SourceChoice(None, timedelta(0), pause)
        return SourceChoice(
            relay, min(time_left, self.drain_time * SUBSCRIBER_WAIT_FRACTION), pause
        )

    def store_wait(self, wait: timedelta, now: timedelta) -> timedelta:
        """Return `wait`, shortened so that the store's answer verifies the data in time."""
        if self.revocation_time is None:
            return wait
        return min(wait, self._time_to_verify(VERIFICATION_INTERVAL_FRACTION, now))

    def usable_relay(self, records: Iterable[EntryRecord], now: timedelta) -> EntryRecord | None:
        """Return a relay that may have data while the store does not answer, or None.

        For a gateway that is a relay itself, it is another relay.
        """
        return self._nearest(self._relays(records), now)

    def next_source_during_outage(
        self, records: Iterable[EntryRecord], now: timedelta
    ) -> SourceChoice:
        """Return the next query after a failed query to the store."""
        relays = self._relays(records)
        relay = self._nearest(relays, now)
        time_left = self._failed_at + self.drain_time * MAX_AGE_FRACTION - now
        is_relay = self._own.name in [row.name for row in relays]
        if (
            relay is None
            or is_relay
            or self._failures < FAILURES_UNTIL_UNAVAILABLE
            or time_left <= timedelta(0)
        ):
            return SourceChoice(None, timedelta(0))
        return SourceChoice(relay, min(time_left, self.drain_time * OUTAGE_WAIT_FRACTION))

    def record_store_failure(self, sent_at: timedelta) -> None:
        """Record that the store did not answer a query sent at `sent_at`."""
        self._failures += 1
        self._failed_at = sent_at

    def record_store_answer(self) -> None:
        """Record that the store answered this gateway."""
        self._failures = 0

    def shows_recovery(self, complete_at: timedelta) -> bool:
        """Return whether a relay's data, complete at that time, is newer than the last failure."""
        return complete_at > self._failed_at

    def record_complete(self, at: timedelta) -> None:
        """Record that the data is complete up to the time `at`."""
        self.complete_until = at if self.complete_until is None else max(self.complete_until, at)

    def record_verified(self, at: timedelta) -> None:
        """Record that the data is proved to be complete up to the time `at`."""
        self.verified_until = at if self.verified_until is None else max(self.verified_until, at)

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the data; None before the first answer."""
        return None if self.complete_until is None else now - self.complete_until

    def is_outdated(self, now: timedelta) -> bool:
        """Return whether the data is older than it would be without failed queries."""
        age = self.age(now)
        return age is not None and age > self.drain_time * OUTDATED_FRACTION

    def verified_age(self, now: timedelta) -> timedelta | None:
        """Return the time since the data was verified; None if it never was."""
        return None if self.verified_until is None else now - self.verified_until

    def record_relay_timeout(self, name: str, now: timedelta) -> None:
        """Record that the relay `name` did not answer."""
        self._suspected_until[name] = now + self.drain_time * SUSPECT_DRAIN_TIMES

    def _relays(self, records: Iterable[EntryRecord]) -> list[EntryRecord]:
        known = {row.name: row for row in records}
        if not self._own.peers or self._own.name not in known:
            return []
        return relays_of(self._own.region, known.values())

    def _nearest(self, relays: list[EntryRecord], now: timedelta) -> EntryRecord | None:
        others = [row for row in relays if row.name != self._own.name]
        responsive = (
            row for row in by_proximity(self._own, others) if self._is_responsive(row, now)
        )
        return next(responsive, None)

    def _query_as_relay(self, now: timedelta) -> SourceChoice:
        wait = self._time_left(RELAY_MAX_AGE_FRACTION, now)
        return SourceChoice(None, wait, self.drain_time * RELAY_PAUSE_FRACTION)

    def _time_left(self, fraction: float, now: timedelta) -> timedelta:
        """Return the time until the data is `fraction` drain times old."""
        if self.complete_until is None:
            return timedelta(0)
        return max(timedelta(0), self.complete_until + self.drain_time * fraction - now)

    def _time_to_verify(self, fraction: float, now: timedelta) -> timedelta:
        """Return the time until the data is unverified for `fraction` revocation times."""
        if self.verified_until is None or self.revocation_time is None:
            return timedelta(0)
        return max(timedelta(0), self.verified_until + self.revocation_time * fraction - now)

    def _is_responsive(self, row: EntryRecord, now: timedelta) -> bool:
        if self._suspected_until.get(row.name, _NEVER) > now:
            return False
        self._suspected_until.pop(row.name, None)
        return True
