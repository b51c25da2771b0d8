"""The table of entries that are recorded in the control store."""

from datetime import timedelta

from cardamomloft.core.registrations import RENEWAL_GRACE, EntryRecord

MAX_GONE_ENTRIES = 5_000
"""Maximum number of withdrawn entries whose names are remembered."""


class EntryTable:
    """The recorded entries, and the number of entries by which a budget is divided.

    Parameters
    ----------
    own
        This entry, which counts as present even if its record is not in the store.
    count_window
        How long a withdrawn entry still counts for `recent_count`. It covers the time in which
        the entry may still use its share, and the longest sliding window of a budget.

    Attributes
    ----------
    version
        Increases whenever the records change.
    """

    def __init__(self, own: EntryRecord, count_window: timedelta) -> None:
        self._own = own
        self.count_window = count_window
        self.version = 0
        self._records: dict[str, EntryRecord] = {}
        self._missing: set[str] = set()
        self._gone_at: dict[str, timedelta] = {}
        self._grace_until = timedelta(0)

    def records(self, *, with_own: bool) -> list[EntryRecord]:
        """Return the recorded entries; this entry is included only with `with_own`."""
        others = [record for name, record in self._records.items() if name != self._own.name]
        return [*others, self._own] if with_own else others

    @property
    def count(self) -> int:
        """The number of recorded entries, this one included."""
        return len(self._records.keys() | {self._own.name})

    def recent_count(self, now: timedelta) -> int:
        """Return the number of entries that were present at any time within `count_window`."""
        return 1 + len(self.recent_others(now))

    def recent_others(self, now: timedelta) -> list[str]:
        """Return the names of the other entries that were present within `count_window`.

        Those that have gone may still use their shares, as their records may have lapsed.
        """
        present = [name for name in self._records if name != self._own.name]
        gone = (name for name, at in self._gone_at.items() if now - at <= self.count_window)
        return [*present, *gone]

    def add(self, record: EntryRecord, now: timedelta) -> bool:
        """Store an entry's record; return whether it is new or changed."""
        changed = self._records.get(record.name) != record
        self._records[record.name] = record
        self.version += changed
        self._missing.discard(record.name)
        self._gone_at.pop(record.name, None)
        return changed

    def has_gone(self, name: str) -> bool:
        """Return whether an entry was recorded and has been withdrawn since."""
        return name in self._gone_at

    def withdraw(self, name: str, now: timedelta) -> bool:
        """Remove an entry and return whether it is removed now.

        In the grace period after a store outage the entry is only marked as missing.
        """
        if name not in self._records:
            return False
        if now < self._grace_until:
            self._missing.add(name)
            return False
        del self._records[name]
        if name != self._own.name:
            self._gone_at[name] = now
        if len(self._gone_at) > MAX_GONE_ENTRIES:
            del self._gone_at[next(iter(self._gone_at))]
        self.version += 1
        return True

    def withdraw_unlisted(self, names: set[str], now: timedelta) -> list[str]:
        """Withdraw all entries that are not among `names`; return the names removed now."""
        return [
            name for name in list(self._records) if name not in names and self.withdraw(name, now)
        ]

    def start_grace_period(self, now: timedelta) -> None:
        """Start the grace period after a store outage, for entries to renew lapsed records."""
        self._grace_until = now + RENEWAL_GRACE

    def tick(self, now: timedelta) -> list[str]:
        """Withdraw entries still missing after the grace period; return their names."""
        if now < self._grace_until:
            return []
        missing, self._missing = self._missing, set()
        return [name for name in missing if self.withdraw(name, now)]
