"""The entries that record themselves in the control store."""

from collections import deque
from datetime import timedelta

from cardamomloft.core.recent import RecentSet
from cardamomloft.core.registrations import RENEWAL_GRACE, EntryRecord

GONE_KEPT = 5_000
"""Names of entries that have gone and are remembered: several times the largest fleet."""


class EntryTable:
    """Which entries are there, and among how many a budget is to be divided.

    Parameters
    ----------
    own
        This entry, which is there whatever the store says.
    count_window
        How long an entry that has gone still counts for `max_recent_count`: the length of the longest
        sliding window of a budget, in which it may have spent its part.

    Attributes
    ----------
    version
        Grows whenever the records change.
    """

    def __init__(self, own: EntryRecord, count_window: timedelta) -> None:
        self._own = own
        self.count_window = count_window
        self.version = 0
        self._records: dict[str, EntryRecord] = {}
        self._missing: set[str] = set()
        self._gone = RecentSet[str](GONE_KEPT)
        self._patience_until = timedelta(0)
        self._counts: deque[tuple[timedelta, int]] = deque()

    def records(self, *, with_own: bool) -> list[EntryRecord]:
        """Return the entries that are there; this one only if it may be named."""
        others = [record for name, record in self._records.items() if name != self._own.name]
        return [*others, self._own] if with_own else others

    def max_recent_count(self, now: timedelta) -> int:
        """Return the largest number of entries that were there at one time lately, at least 1."""
        self._count(now)
        return max(count for _, count in self._counts)

    def add(self, record: EntryRecord, now: timedelta) -> bool:
        """Take an entry's record; return whether that changes anything."""
        changed = self._records.get(record.name) != record
        self._records[record.name] = record
        self.version += changed
        self._missing.discard(record.name)
        self._gone.discard(record.name)
        self._count(now)
        return changed

    def has_gone(self, name: str) -> bool:
        """Tell whether an entry was there and is not any more."""
        return name in self._gone

    def withdraw(self, name: str, now: timedelta) -> bool:
        """Forget an entry; soon after the store's return only if it stays away."""
        if name not in self._records:
            return False
        if now < self._patience_until:
            self._missing.add(name)
            return False
        del self._records[name]
        self._gone.add(name)
        self.version += 1
        self._count(now)
        return True

    def withdraw_unlisted(self, names: set[str], now: timedelta) -> list[str]:
        """Withdraw all that are not among `names`; return those withdrawn."""
        return [
            name for name in list(self._records) if name not in names and self.withdraw(name, now)
        ]

    def start_grace_period(self, now: timedelta) -> None:
        """Note that the store answers again: records that lapsed meanwhile may come back."""
        self._patience_until = now + RENEWAL_GRACE

    def tick(self, now: timedelta) -> list[str]:
        """Withdraw what did not come back in time; return the names."""
        if now < self._patience_until:
            return []
        missing, self._missing = self._missing, set()
        return [name for name in missing if self.withdraw(name, now)]

    def _count(self, now: timedelta) -> None:
        count = len(self._records.keys() | {self._own.name})
        # A count holds until the next one: the first must reach back to the count_window's begin.
        while len(self._counts) > 1 and now - self._counts[1][0] > self.count_window:
            self._counts.popleft()
        if not self._counts or self._counts[-1][1] != count:
            self._counts.append((now, count))
