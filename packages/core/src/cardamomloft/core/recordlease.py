"""How long an entry has been recorded in the control store.

Limits over all entries are divided among the recorded ones. The record of a running entry lapses
while the store is unavailable to it, and the entry goes on using its share. Therefore the others
count a vanished entry for a fixed time, and the entry itself stops using its share within it.
"""

from datetime import timedelta

LAPSED_SHARE_TIME = timedelta(hours=1)
"""How long an entry uses its share after the last confirmation of its record, which covers most
outages of the store. The others count a vanished entry for as long, and for the window of the limit
in addition."""


class RecordLease:
    """The confirmations of this entry's record in the control store."""

    def __init__(self) -> None:
        self._recorded_at: timedelta | None = None
        self._confirmed_at = timedelta(0)

    def confirm(self, sent_at: timedelta, now: timedelta) -> None:
        """Record that at `now` the store confirmed a write or renewal sent at `sent_at`."""
        if self._recorded_at is None or now - self._confirmed_at > LAPSED_SHARE_TIME:
            self._recorded_at = now
        self._confirmed_at = sent_at

    def age(self, now: timedelta) -> timedelta:
        """Return how long this entry has been recorded; zero if the others may not count it."""
        if self._recorded_at is None or now - self._confirmed_at > LAPSED_SHARE_TIME:
            return timedelta(0)
        return now - self._recorded_at
