"""Whom a gateway asks for changes next: a relay of its region, or the control store itself.

A change must be in force within the drain time at a gateway that reaches the store, whatever
becomes of the relays. So a gateway knows as of when its knowledge is complete. It asks a relay only
as long as there is time left to hear nothing from it and ask the store instead:

- a relay asks the store again 0.35 of the drain time after an answer with changes, and passes on at
  once what it hears, so with nothing amiss a change is in force after 0.4;
- a listener's question to a relay lasts up to 0.3, and 0.1 later the relay counts as silent;
- knowledge that is 0.7 old is renewed by the store itself, so at the latest 0.8 of the drain time
  after a change the store is asked, which leaves 0.2 for its answer.

While the store does not answer, the relays ask for it all the time, and the others ask them. A
relay that has heard from the store since shows that it is back; and since a relay may be cut off
from the store alone, each gateway asks the store itself 0.7 of the drain time after it last failed.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.registrations import EntryRecord
from cardamomloft.feed.relays import by_nearness, relays_of

RELAY_PAUSE_PART = 0.35
"""Part of the drain time from an answer with changes to a relay's next question to the store. While
something changes all the time this is what relays cost, and how late they hear of it."""

RELAY_AGE_PART = 0.5
"""Part of the drain time that a relay's knowledge gets old at the most: the store may wait for a
change as long as that leaves. A relay that has just heard nothing new asks again at once."""

QUESTION_PART = 0.3
"""Part of the drain time for which a relay may wait for a change before it answers a listener: what
the parts around it leave."""

ANSWER_PART = 0.1
"""Part of the drain time that a relay's answer may take on top of that: 0.25 s of 2.5 s, for links
between zones and a busy relay."""

OLDEST_PART = 0.7
"""Part of the drain time after which knowledge is renewed by the store itself. After
a relay's answer that does not come, 0.2 are left for the store's."""

LISTENER_PAUSE_PART = 0.05
"""Part of the drain time from an answer with changes to a listener's next question, so that a
series of changes takes some 20 messages in a drain time and no more."""

AWAY_QUESTION_PART = 0.2
"""Part of the drain time for which a relay may wait for a change while the store does not answer:
0.5 s of 2.5 s, as often as a relay asks the store."""

FAILURES_UNTIL_UNAVAILABLE = 2
"""Failed calls in a row after which the store counts as away; one may be a lost packet."""

SUSPECT_PARTS = 2.0
"""Drain times for which a silent relay is not asked; a dead one's record is gone by then."""

_NEVER = timedelta(0)


class SourceChoice(t.NamedTuple):
    """Whom to ask for changes, and how.

    Attributes
    ----------
    relay
        The relay to ask; None: the store.
    wait
        How long it may wait for a change before it answers; None: as long as without relays.
    pause
        Least time from an answer with changes to the next question; None: as without relays.
    """

    relay: EntryRecord | None
    wait: timedelta | None = None
    pause: timedelta | None = None


class SourceSelector:
    """Chooses the source of the next question.

    Parameters
    ----------
    own
        This gateway's own record; without an address for peers it asks the store by itself.
    drain_time
        How soon a change must be in force.

    Attributes
    ----------
    complete_until
        Instant until which all changes are known; None before anything is.
    """

    def __init__(self, own: EntryRecord, drain_time: timedelta) -> None:
        self._own = own
        self.drain_time = drain_time
        self.complete_until: timedelta | None = None
        self._suspects: dict[str, timedelta] = {}
        self._failures = 0
        self._failed_at = timedelta(0)

    @property
    def relay_timeout(self) -> timedelta:
        """How much longer than it was told to wait a relay may take for its answer."""
        return self.drain_time * ANSWER_PART

    def next_source(self, records: Iterable[EntryRecord], now: timedelta) -> SourceChoice:
        """Return the next question, given the gateways that are recorded.

        A relay answers only whom it knows, so a gateway that starts or leaves asks the store.
        """
        relays = self._relays(records)
        if self._own.name in [row.name for row in relays]:
            return self._as_relay(now)
        relay = self._nearest(relays, now)
        if relay is None:
            return SourceChoice(None)
        pause = self.drain_time * LISTENER_PAUSE_PART
        left = self._time_left(OLDEST_PART, now)
        if not left:
            return SourceChoice(None, timedelta(0), pause)
        return SourceChoice(relay, min(left, self.drain_time * QUESTION_PART), pause)

    def usable_relay(self, records: Iterable[EntryRecord], now: timedelta) -> EntryRecord | None:
        """Return the relay that may know what the store does not tell this gateway, or None.

        A relay may ask the other one.
        """
        return self._nearest(self._relays(records), now)

    def next_source_during_outage(
        self, records: Iterable[EntryRecord], now: timedelta
    ) -> SourceChoice:
        """Return the next question after the store has failed to answer one."""
        relays = self._relays(records)
        relay = self._nearest(relays, now)
        left = self._failed_at + self.drain_time * OLDEST_PART - now
        relaying = self._own.name in [row.name for row in relays]
        if (
            relay is None
            or relaying
            or self._failures < FAILURES_UNTIL_UNAVAILABLE
            or left <= timedelta(0)
        ):
            return SourceChoice(None, timedelta(0))
        return SourceChoice(relay, min(left, self.drain_time * AWAY_QUESTION_PART))

    def record_store_failure(self, asked_at: timedelta) -> None:
        """Note that a question of that instant got no answer from the store."""
        self._failures += 1
        self._failed_at = asked_at

    def record_store_answer(self) -> None:
        """Note that the store answers this gateway."""
        self._failures = 0

    def shows_recovery(self, complete_at: timedelta) -> bool:
        """Tell whether knowledge complete then shows that the store has answered another since."""
        return complete_at > self._failed_at

    def record_complete(self, at: timedelta) -> None:
        """Note that everything is known that had changed until the instant `at`."""
        self.complete_until = at if self.complete_until is None else max(self.complete_until, at)

    def age(self, now: timedelta) -> timedelta | None:
        """Return how old the knowledge is; None before anything is known."""
        return None if self.complete_until is None else now - self.complete_until

    def record_relay_timeout(self, name: str, now: timedelta) -> None:
        """Note that a relay did not answer."""
        self._suspects[name] = now + self.drain_time * SUSPECT_PARTS

    def _relays(self, records: Iterable[EntryRecord]) -> list[EntryRecord]:
        known = {row.name: row for row in records}
        if not self._own.peers or self._own.name not in known:
            return []
        return relays_of(self._own.region, known.values())

    def _nearest(self, relays: list[EntryRecord], now: timedelta) -> EntryRecord | None:
        others = [row for row in relays if row.name != self._own.name]
        heard = (row for row in by_nearness(self._own, others) if self._trusted(row, now))
        return next(heard, None)

    def _as_relay(self, now: timedelta) -> SourceChoice:
        wait = self._time_left(RELAY_AGE_PART, now)
        return SourceChoice(None, wait, self.drain_time * RELAY_PAUSE_PART)

    def _time_left(self, part: float, now: timedelta) -> timedelta:
        """Return the time until the knowledge is as old as this part of the drain time."""
        if self.complete_until is None:
            return timedelta(0)
        return max(timedelta(0), self.complete_until + self.drain_time * part - now)

    def _trusted(self, row: EntryRecord, now: timedelta) -> bool:
        if self._suspects.get(row.name, _NEVER) > now:
            return False
        self._suspects.pop(row.name, None)
        return True
