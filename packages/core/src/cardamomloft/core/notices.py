"""Notices about upstreams and requests that are spread to all entries by gossip.

They don't go through the control store, which may be unavailable. Each entry keeps received notices
for a bounded time and forwards those that are new to it, so every notice reaches all entries
regardless of order and repetition.
"""

import math
import typing as t
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from datetime import timedelta

from cardamomloft.core.affinity import text_hash

MAX_NOTICES = 2_000
"""Maximum number of notices held; beyond it the oldest are evicted. Each takes about 0.1 KB in a
message."""

BUCKETS = 16
"""Number of buckets that two entries compare by checksum; only differing buckets are sent."""

CHECKSUM_BITS = 53
"""Bits of a checksum, so that decoders which read numbers as 64-bit floats keep it exact."""

CRASH_RETENTION = timedelta(minutes=5)
"""How long a crash under a request is kept. Callers time out after seconds, so a request that
arrives later is a new one, and the upstream may have been repaired."""

EXCUSE_RETENTION = timedelta(seconds=30)
"""How long an excuse is kept, which must be enough for it to reach all entries."""

LEAVING_RETENTION = timedelta(minutes=1)
"""How long a leaving notice is kept. Each answer of a leaving upstream states it again."""

RATE_LIMIT_RETENTION = timedelta(minutes=1)
"""How long a rate limit is kept after it was last published."""


COLD_RETENTION = timedelta(minutes=1)
"""How long notices about drains and cold endpoints are kept, which is longer than most outages of
the store."""

LINKS_DOWN_RETENTION = timedelta(seconds=6)
"""How long a report of an entry about its links is kept. It is repeated while they are down."""


# The class names and fields of notices are part of their `repr`, which `NoticeTable` hashes into
# checksums that entries compare: a rename makes entries of different versions resend everything.


class UpstreamLeaving(t.NamedTuple):
    """The incarnation of upstream `id` that began at `started_ms` reported that it is leaving."""

    id: str
    started_ms: int

    @property
    def key(self) -> tuple[t.Any, ...]:
        """Identifies the subject; of notices with the same key one is kept."""
        return (self.id, self.started_ms)

    @property
    def rank(self) -> int:
        """Of two notices with the same key the one of higher rank is kept."""
        return 0

    @property
    def retention(self) -> timedelta:
        """How long the notice is kept after its creation."""
        return LEAVING_RETENTION


class CrashUnderRequest(t.NamedTuple):
    """An upstream closed its connection without an answer while it was processing a request.

    Attributes
    ----------
    fingerprint
        Of the request, by :func:`~cardamomloft.core.fingerprints.fingerprint`.
    upstream, started_ms
        The incarnation that closed it.
    number
        Counts the crashes of that incarnation from 1, since the upstream may restart before its
        new incarnation is known.
    excused
        Whether the request was answered since, so that it is not the cause of the crash.
    """

    fingerprint: str
    upstream: str
    started_ms: int
    number: int
    excused: bool = False

    @property
    def key(self) -> tuple[t.Any, ...]:
        """Identifies the subject; of notices with the same key one is kept."""
        return (self.fingerprint, self.upstream, self.started_ms, self.number)

    @property
    def rank(self) -> int:
        """Of two notices with the same key the one of higher rank is kept."""
        return int(self.excused)

    @property
    def retention(self) -> timedelta:
        """How long the notice is kept after its creation."""
        return EXCUSE_RETENTION if self.excused else CRASH_RETENTION


class UpstreamRateLimit(t.NamedTuple):
    """The rate limit that the incarnation of upstream `id` stated for all entries together.

    Attributes
    ----------
    id, started_ms
        The incarnation.
    serial
        Increases with each notice about it, so that the latest statement is kept.
    per_s
        Requests per second, None once it states no limit any more.
    """

    id: str
    started_ms: int
    serial: int
    per_s: float | None

    @property
    def key(self) -> tuple[t.Any, ...]:
        """Identifies the subject; of notices with the same key one is kept."""
        return (self.id, self.started_ms)

    @property
    def rank(self) -> tuple[int, float]:
        """Of two notices with the same key the one of higher rank is kept.

        Two entries may issue the same serial; then the lower limit is kept.
        """
        return (self.serial, -math.inf if self.per_s is None else -self.per_s)

    @property
    def retention(self) -> timedelta:
        """How long the notice is kept after its creation."""
        return RATE_LIMIT_RETENTION


class LinksDown(t.NamedTuple):
    """An entry reports whether its links to all endpoints are down.

    Attributes
    ----------
    entry
        Name of the entry.
    serial
        Increases with each report of the entry, also after a restart of its process.
    down
        Whether they are down.
    """

    entry: str
    serial: int
    down: bool

    @property
    def key(self) -> tuple[t.Any, ...]:
        """Identifies the subject; of notices with the same key one is kept."""
        return (self.entry,)

    @property
    def rank(self) -> int:
        """Of two notices with the same key the one of higher rank is kept."""
        return self.serial

    @property
    def retention(self) -> timedelta:
        """How long the notice is kept after its creation."""
        return LINKS_DOWN_RETENTION


class ZoneDrain(t.NamedTuple):
    """The drain of a zone began or ended, as an entry has read in the store.

    Attributes
    ----------
    zone
        The zone.
    serial
        Increases with each beginning and end, so that the latest is kept.
    drained
        Whether it began.
    """

    zone: str
    serial: int
    drained: bool

    @property
    def key(self) -> tuple[t.Any, ...]:
        """Identifies the subject; of notices with the same key one is kept."""
        return (self.zone,)

    @property
    def rank(self) -> tuple[int, bool]:
        """Of two notices with the same key the one of higher rank is kept."""
        return (self.serial, self.drained)

    @property
    def retention(self) -> timedelta:
        """How long the notice is kept after its creation."""
        return COLD_RETENTION


class UpstreamCold(t.NamedTuple):
    """A running incarnation of upstream `id` has become cold, as an entry has read in the store.

    Attributes
    ----------
    id, started_ms
        The incarnation.
    serial
        Increases each time, so that the latest is kept.
    left_ms
        Time for which it is cold, from the creation of the notice.
    """

    id: str
    started_ms: int
    serial: int
    left_ms: int

    @property
    def key(self) -> tuple[t.Any, ...]:
        """Identifies the subject; of notices with the same key one is kept."""
        return (self.id, self.started_ms)

    @property
    def rank(self) -> tuple[int, int]:
        """Of two notices with the same key the one of higher rank is kept."""
        return (self.serial, self.left_ms)

    @property
    def retention(self) -> timedelta:
        """How long the notice is kept after its creation."""
        return COLD_RETENTION


Notice = (
    UpstreamLeaving | CrashUnderRequest | UpstreamRateLimit | LinksDown | ZoneDrain | UpstreamCold
)


class DatedNotice(t.NamedTuple):
    """A notice with the instant of its creation on this process's monotonic clock."""

    notice: Notice
    at: timedelta


class _HeldNotice(t.NamedTuple):
    dated: DatedNotice
    checksum: int


class NoticeTable:
    """The notices that one entry holds, with checksums to compare them with another entry's."""

    def __init__(self) -> None:
        self._held: OrderedDict[tuple[t.Any, ...], _HeldNotice] = OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    def take(self, received: Iterable[DatedNotice], now: timedelta) -> list[DatedNotice]:
        """Store the received notices and return those that are new here."""
        self._expire(now)
        return [dated for dated in received if self._take(dated, now)]

    def checksums(self, now: timedelta) -> tuple[int, ...]:
        """Return a checksum for each bucket; equal checksums mean equal contents."""
        self._expire(now)
        checksums = [0] * BUCKETS
        for _, checksum in self._held.values():
            checksums[checksum % BUCKETS] ^= checksum
        return tuple(checksums)

    def differing(self, checksums: Sequence[int], now: timedelta) -> list[DatedNotice]:
        """Return the notices in buckets whose checksum differs from another entry's `checksums`."""
        own = self.checksums(now)
        if len(checksums) != BUCKETS:
            return [dated for dated, _ in self._held.values()]
        return [
            dated
            for dated, checksum in self._held.values()
            if checksums[checksum % BUCKETS] != own[checksum % BUCKETS]
        ]

    def _take(self, dated: DatedNotice, now: timedelta) -> bool:
        notice = dated.notice
        if now - dated.at > notice.retention:
            return False
        key = (type(notice).__name__, *notice.key)
        known = self._held.get(key)
        if known is not None and known.dated.notice.rank >= notice.rank:
            return False
        self._held[key] = _HeldNotice(dated, text_hash(repr(notice)) % (1 << CHECKSUM_BITS))
        if len(self._held) > MAX_NOTICES:
            self._held.popitem(last=False)
        return True

    def _expire(self, now: timedelta) -> None:
        expired = [
            key for key, ((notice, at), _) in self._held.items() if now - at > notice.retention
        ]
        for key in expired:
            del self._held[key]
