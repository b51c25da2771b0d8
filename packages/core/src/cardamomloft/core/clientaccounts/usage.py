"""Counts of the requests of client accounts, as entries report them to each other.

A reporter states cumulative counts, and each changed count several times, so that a lost report
hides nothing. Its counts start at zero with each session, which is one reporter's reports to one
receiver: a receiver that takes over from another one counts nothing twice.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

REPEAT_TIME = timedelta(milliseconds=1500)
"""How long a changed count is repeated in reports."""


class UsageRow(t.NamedTuple):
    """Requests of one account: how many arrived, and how many of them were admitted.

    `admitted` decreases when an admitted request was not run after all.
    """

    account: str
    wanted: int
    admitted: int


class UsageReporter:
    """The counts of one session."""

    def __init__(self) -> None:
        self._counts: dict[str, UsageRow] = {}
        self._changed_at: dict[str, timedelta] = {}

    def add(self, row: UsageRow, now: timedelta) -> None:
        """Add the differences in `row` to the counts."""
        before = self._counts.get(row.account)
        if before is not None:
            wanted, admitted = before.wanted + row.wanted, before.admitted + row.admitted
            row = UsageRow(row.account, wanted, admitted)
        self._counts[row.account] = row
        self._changed_at[row.account] = now

    def changed(self, now: timedelta) -> tuple[UsageRow, ...]:
        """Return the counts for a report: those that changed within the repeat time."""
        recent = [name for name, at in self._changed_at.items() if now - at <= REPEAT_TIME]
        self._changed_at = {name: self._changed_at[name] for name in recent}
        return tuple(self._counts[name] for name in recent)


class UsageReceiver:
    """The counts that one reporter has stated."""

    def __init__(self) -> None:
        self._session: t.Hashable = None
        self._counts: dict[str, UsageRow] = {}

    def continues(self, session: t.Hashable) -> bool:
        """Return whether a report belongs to the session of the last one."""
        return session == self._session

    def take(self, session: t.Hashable, rows: Iterable[UsageRow]) -> list[UsageRow]:
        """Return the differences from what the reporter has stated before in this session."""
        if session != self._session:
            self._session, self._counts = session, {}
        differences = []
        for row in rows:
            _, wanted, admitted = self._counts.get(row.account) or UsageRow("", 0, 0)
            # A lower count of arrivals is in a report that was overtaken by a later one.
            if row.wanted >= wanted and (row.wanted, row.admitted) != (wanted, admitted):
                difference = UsageRow(row.account, row.wanted - wanted, row.admitted - admitted)
                differences.append(difference)
                self._counts[row.account] = row
        return differences
