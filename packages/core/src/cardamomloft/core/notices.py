"""What one entry notices about upstreams and requests that all entries must soon know.

The store has no part in it: it may be away at that very moment. Each entry keeps what it has heard
for a bounded time and passes on what is new to it, so every notice reaches everybody whatever the
order, however often it comes.
"""

import typing as t
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from datetime import timedelta

from cardamomloft.core.affinity import text_hash

NOTICES_KEPT = 2_000
"""Notices kept at one time, at some 0.1 KB each on the wire; the oldest go first beyond that."""

BUCKETS = 16
"""Parts by which two entries compare what they hold: a few bytes each, and only parts that differ
are sent."""

BUCKET_BITS = 53
"""Bits of the sum that stands for a part: whatever decodes numbers as floats keeps them whole."""

CRASH_RETENTION = timedelta(minutes=5)
"""How long a crash under a request is remembered. Callers give up after seconds, so a request that
comes later is a new one, and may find a mended upstream."""

EXCUSED_LIFE = timedelta(seconds=30)
"""How long it is remembered that a request was not the cause: until everybody has heard it."""

LEAVING_LIFE = timedelta(minutes=1)
"""How long others are told that an upstream leaves. Each of its answers says it again."""


class UpstreamLeaving(t.NamedTuple):
    """The upstream `id`, in the life that began at `started_ms`, has said that it leaves."""

    id: str
    started_ms: int

    @property
    def key(self) -> tuple[t.Any, ...]:
        """What the notice is about."""
        return (self.id, self.started_ms)

    @property
    def rank(self) -> int:
        """Of two notices with one key the one of higher rank holds."""
        return 0

    @property
    def life(self) -> timedelta:
        """How long the notice is kept."""
        return LEAVING_LIFE


class CrashUnderRequest(t.NamedTuple):
    """An upstream ended its connection without an answer while it had a request.

    Attributes
    ----------
    fingerprint
        Of the request, by :func:`~cardamomloft.core.fingerprints.fingerprint`.
    upstream, started_ms
        The life that ended it.
    number
        Counts the crashes of that life from 1: it may be back before its new life is known.
    excused
        Whether the request was answered since, so that it can't be the cause.
    """

    fingerprint: str
    upstream: str
    started_ms: int
    number: int
    excused: bool = False

    @property
    def key(self) -> tuple[t.Any, ...]:
        """What the notice is about."""
        return (self.fingerprint, self.upstream, self.started_ms, self.number)

    @property
    def rank(self) -> int:
        """Of two notices with one key the one of higher rank holds."""
        return int(self.excused)

    @property
    def life(self) -> timedelta:
        """How long the notice is kept."""
        return EXCUSED_LIFE if self.excused else CRASH_RETENTION


Notice = UpstreamLeaving | CrashUnderRequest


class DatedNotice(t.NamedTuple):
    """A notice, and the instant of this process's clock at which it was made."""

    notice: Notice
    at: timedelta


class _Held(t.NamedTuple):
    dated: DatedNotice
    hashed: int


class NoticeTable:
    """The notices that one entry holds."""

    def __init__(self) -> None:
        self._held: OrderedDict[tuple[t.Any, ...], _Held] = OrderedDict()

    def __len__(self) -> int:
        return len(self._held)

    def take(self, told: Iterable[DatedNotice], now: timedelta) -> list[DatedNotice]:
        """Keep what is told; return what is new here."""
        self._expire(now)
        return [dated for dated in told if self._take(dated, now)]

    def checksums(self, now: timedelta) -> tuple[int, ...]:
        """Return a number for each part of what is held; equal ones stand for equal parts."""
        self._expire(now)
        checksums = [0] * BUCKETS
        for _, hashed in self._held.values():
            checksums[hashed % BUCKETS] ^= hashed
        return tuple(checksums)

    def differing(self, checksums: Sequence[int], now: timedelta) -> list[DatedNotice]:
        """Return what is held in the parts in which another entry, with these sums, differs."""
        own = self.checksums(now)
        if len(checksums) != BUCKETS:
            return [dated for dated, _ in self._held.values()]
        return [
            dated
            for dated, hashed in self._held.values()
            if checksums[hashed % BUCKETS] != own[hashed % BUCKETS]
        ]

    def _take(self, dated: DatedNotice, now: timedelta) -> bool:
        notice = dated.notice
        if now - dated.at > notice.life:
            return False
        key = (type(notice).__name__, *notice.key)
        held = self._held.get(key)
        if held is not None and held.dated.notice.rank >= notice.rank:
            return False
        self._held[key] = _Held(dated, text_hash(repr(notice)) % (1 << BUCKET_BITS))
        if len(self._held) > NOTICES_KEPT:
            self._held.popitem(last=False)
        return True

    def _expire(self, now: timedelta) -> None:
        over = [key for key, ((notice, at), _) in self._held.items() if now - at > notice.life]
        for key in over:
            del self._held[key]
