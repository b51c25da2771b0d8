"""What endpoints have stated about their load, merged from all entries.

On conflict the newer statement wins. Its instant follows from its age on arrival, so no clocks are
compared. The result doesn't depend on the order, loss or duplication of rows, except that rows of
the same instant leave the one that arrived first.
"""

import enum
import heapq
import typing as t
from collections.abc import Iterator
from datetime import timedelta

from cardamomloft.core.loads.hashes import MAX_HASH
from cardamomloft.core.messages import LoadRow

MAX_LOAD_ROWS = 80
"""Maximum number of load rows in a message that is accepted."""

MAX_SENT_LOAD_ROWS = 72
"""Maximum number of load rows in a message that is sent. A row takes 10 to 14 bytes, so that four
messages a second stay below 4 KB."""

MAX_SCANNED_ROWS = 2 * MAX_SENT_LOAD_ROWS
"""Maximum number of changed rows that are compared for one message. If more have changed, messages
to several peers use the same comparison: with 800 endpoints about 570 rows change between two
messages, and comparing them for each peer costs a coordinator several percent of a core."""

RANKING_LIFE = timedelta(milliseconds=80)
"""How long a comparison of all changed rows is used for messages."""

_RANKINGS_PER_MESSAGE = 4
"""A comparison covers the changes since this many comparisons ago, which is the time between two
messages to a peer."""

MAX_FORWARDED_AGE = timedelta(seconds=1)
"""Age at which a statement is no longer sent; receivers would give it no weight."""

REFRESH_TIME = timedelta(milliseconds=400)
"""Age of the last sent statement at which an unchanged one is sent again, as receivers reduce the
weight of a statement linearly to zero within a second."""

MIN_WORK_CHANGE = 20
"""Change of the work time, in percent of the usual one, that is sent at once."""

MAX_REQUESTS = 100_000
MAX_WORK_PERCENT = 10_000
MAX_AGE_MS = 100_000

_US = timedelta(microseconds=1)
_MS_US = 1000
_MAX_FORWARDED_US = MAX_FORWARDED_AGE // _US
_REFRESH_US = REFRESH_TIME // _US
_RANKING_LIFE_US = RANKING_LIFE // _US
_UNSENT_CHANGE = 10.0
"""Change that a statement counts for whose endpoint no peer was told of."""

_AGE_US_PER_REQUEST = 100_000
_WORK_PER_REQUEST = 50
"""Time since the last sent statement, and change of the work time in percent, that rank like a
change of the load by one request. Without the time, endpoints with a small change are left out for
seconds where more rows change than a message holds."""


class Origin(enum.IntEnum):
    """Who has heard a statement from its endpoint: this entry, its zone, or another zone."""

    OWN = 0
    ZONE = 1
    ELSEWHERE = 2


Verdict = t.Literal["accepted", "outdated", "invalid", "unknown"]
"""What became of a received row; plain texts, as they are counted for each row."""


def microseconds(instant: timedelta) -> int:
    """Return a monotonic instant in microseconds."""
    return instant // _US


class Statement(t.NamedTuple):
    """The load that an endpoint stated at the monotonic instant `at_us`.

    Instants are integers here, in microseconds, since comparing timedeltas for each row of each
    message takes several times as long.
    """

    running: int
    waiting: int
    work_percent: int
    at_us: int


def is_valid(row: LoadRow) -> bool:
    """Return whether the values of a received row are in range."""
    return (
        0 <= row.endpoint <= MAX_HASH
        and 0 <= row.running <= MAX_REQUESTS
        and 0 <= row.waiting <= MAX_REQUESTS
        and 0 < row.work_percent <= MAX_WORK_PERCENT
        and 0 <= row.age_ms <= MAX_AGE_MS
    )


class _Entry:
    """The newest statement of an endpoint, and what of it was sent."""

    __slots__ = ("change", "origin", "sent", "statement", "version")

    def __init__(self, statement: Statement, origin: Origin) -> None:
        self.statement = statement
        self.origin = origin
        self.version = 0
        self.change = 0.0
        self.sent: Statement | None = None


class StatementTable:
    """The newest statement of each endpoint, by the hash of its incarnation.

    Statements that differ enough from what was sent last get a new version. A message to a peer
    has the statements above the version that the peer has.
    """

    def __init__(self) -> None:
        self._entries: dict[int, _Entry] = {}
        # Those that were given a version, in the order of the versions.
        self._changed: dict[int, _Entry] = {}
        self.version = 0
        self._rankings: dict[Origin, _Ranking] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, endpoint: int) -> Statement | None:
        """Return the newest statement of an endpoint, or None."""
        entry = self._entries.get(endpoint)
        return None if entry is None else entry.statement

    def merge(
        self, endpoint: int, statement: Statement, origin: Origin, *, forward: bool = True
    ) -> bool:
        """Record a statement; return False if a newer one is known.

        Without `forward` the peers have it already.
        """
        entry = self._entries.get(endpoint)
        if entry is None:
            entry = self._entries[endpoint] = _Entry(statement, origin)
        elif statement.at_us <= entry.statement.at_us:
            return False
        else:
            entry.statement, entry.origin = statement, origin
        if not forward:
            entry.sent = statement
            return True
        change = _change(entry.sent, statement)
        if change:
            self._changed.pop(endpoint, None)
            self._changed[endpoint] = entry
            self.version += 1
            entry.version, entry.change = self.version, change
        return True

    def changed(
        self, version: int, origin: Origin, now: timedelta, limit: int = MAX_SENT_LOAD_ROWS
    ) -> tuple[list[LoadRow], int]:
        """Return the rows for a message, and the version that the receiver has with them.

        If there are too many, the message has those that changed most.

        Parameters
        ----------
        version
            The version that the receiver has.
        origin
            Statements from farther away are not sent.
        now
            Monotonic instant.
        limit
            Maximum number of rows.
        """
        now_us = microseconds(now)
        if min(len(self._changed), self.version - version) > MAX_SCANNED_ROWS:
            ranking = self._ranked(origin, now_us)
            rows = [row for changed_at, row in ranking.rows if changed_at > version]
            return rows[:limit], max(version, ranking.since[-1])
        found = list(self._newer(version, origin, now_us))
        if len(found) > limit:
            found = heapq.nlargest(limit, found, key=_change_of)
        for _, entry in found:
            entry.sent = entry.statement
        return [_row(endpoint, entry, now_us) for endpoint, entry in found], self.version

    def retain(self, endpoints: t.Container[int]) -> None:
        """Remove the statements of all other endpoints."""
        for endpoint in [known for known in self._entries if known not in endpoints]:
            del self._entries[endpoint]
            self._changed.pop(endpoint, None)

    def _newer(self, version: int, origin: Origin, now_us: int) -> Iterator[tuple[int, _Entry]]:
        oldest_us = now_us - _MAX_FORWARDED_US
        for pair in reversed(self._changed.items()):
            entry = pair[1]
            if entry.version <= version:
                return
            if entry.origin <= origin and entry.statement.at_us >= oldest_us:
                yield pair

    def _ranked(self, origin: Origin, now_us: int) -> "_Ranking":
        """Return the rows that changed most since the last messages to any peer.

        Their ages are those at the end of the time for which they are used.
        """
        ranking = self._rankings.setdefault(origin, _Ranking(now_us - _RANKING_LIFE_US, [], [0]))
        if now_us - ranking.at_us >= _RANKING_LIFE_US:
            since = [*ranking.since, self.version][-_RANKINGS_PER_MESSAGE:]
            newer = self._newer(ranking.since[0], origin, now_us)
            found = heapq.nlargest(MAX_SCANNED_ROWS, newer, key=_change_of)
            for _, entry in found[:MAX_SENT_LOAD_ROWS]:
                entry.sent = entry.statement
            until_us = now_us + _RANKING_LIFE_US
            rows = [(entry.version, _row(endpoint, entry, until_us)) for endpoint, entry in found]
            ranking = self._rankings[origin] = _Ranking(now_us, rows, since)
        return ranking


class _Ranking(t.NamedTuple):
    """The rows that changed most, at an instant, with their versions.

    `since` are the versions of the table at this and the former comparisons.
    """

    at_us: int
    rows: list[tuple[int, LoadRow]]
    since: list[int]


def _row(endpoint: int, entry: _Entry, now_us: int) -> LoadRow:
    running, waiting, work_percent, at_us = entry.statement
    age_ms = -((at_us - now_us) // _MS_US)  # rounded up
    return LoadRow(endpoint, running, waiting, work_percent, age_ms)


def _change_of(pair: tuple[int, _Entry]) -> float:
    return pair[1].change


def _change(sent: Statement | None, new: Statement) -> float:
    """Return how much a statement differs from the last sent one, 0 if it need not be sent."""
    if sent is None:
        return new.running + new.waiting + _UNSENT_CHANGE
    load = abs(new.running + new.waiting - sent.running - sent.waiting)
    work = abs(new.work_percent - sent.work_percent)
    age_us = new.at_us - sent.at_us
    if not load and work < MIN_WORK_CHANGE and age_us < _REFRESH_US:
        return 0.0
    return load + work / _WORK_PER_REQUEST + age_us / _AGE_US_PER_REQUEST
