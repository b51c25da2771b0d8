"""Requests under which upstreams crash: after a few crashes they are sent to none any more.

When an upstream crashes all requests that it had are suspected. Those that did no harm are answered
when they are repeated, which excuses them; the one that is the cause never is.
"""

from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.notices import CRASH_RETENTION, CrashUnderRequest
from cardamomloft.core.registrations import UpstreamIncarnation

CRASHES_TO_QUARANTINE = 3
"""Crashes without an answer between them after which a request is sent to no upstream. Two are met
by a harmless request too whose repeat goes the way of the poison one."""

RESTART_TIME = timedelta(seconds=1)
"""An upstream that ends a connection so much later than before has crashed again; what ends within
it belongs to one crash."""


class Quarantine:
    """Which requests have met crashes, and which of them are refused."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[tuple[str, int, int], timedelta]] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def crash_notice(
        self, fingerprint: str, life: UpstreamIncarnation, now: timedelta
    ) -> CrashUnderRequest:
        """Return the notice of a crash of `life` while it had the request."""
        number = 1
        for (upstream, started_ms, known), at in self._crashes.get(fingerprint, {}).items():
            if (upstream, started_ms) == life:
                number = max(number, known + (now - at >= RESTART_TIME))
        return CrashUnderRequest(fingerprint, *life, number)

    def clearing_notices(self, fingerprint: str) -> list[CrashUnderRequest]:
        """Return the notices that excuse a request that has got an answer."""
        return [
            CrashUnderRequest(fingerprint, *key, excused=True)
            for key in self._crashes.get(fingerprint, {})
        ]

    def apply(self, notice: CrashUnderRequest, at: timedelta) -> bool:
        """Take a notice made at the instant `at`; return whether the request is now refused."""
        crashes = self._crashes.setdefault(notice.fingerprint, {})
        key = (notice.upstream, notice.started_ms, notice.number)
        if notice.excused:
            crashes.pop(key, None)
        else:
            crashes[key] = at
        if not crashes:
            del self._crashes[notice.fingerprint]
        return not notice.excused and len(crashes) == CRASHES_TO_QUARANTINE

    def refused_until(self, fingerprint: str, now: timedelta) -> timedelta | None:
        """Return the instant until which a request is sent to no upstream, None if it may be."""
        crashes = _recent(self._crashes.get(fingerprint, {}).values(), now)
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return None
        return crashes[-CRASHES_TO_QUARANTINE] + CRASH_RETENTION

    def quarantined(self, now: timedelta) -> list[str]:
        """Return the fingerprints of the requests that are refused."""
        return [each for each in self._crashes if self.refused_until(each, now) is not None]

    def expire(self, now: timedelta) -> None:
        """Drop what is too old to count."""
        for fingerprint, crashes in list(self._crashes.items()):
            if not _recent(crashes.values(), now):
                del self._crashes[fingerprint]


def _recent(instants: Iterable[timedelta], now: timedelta) -> list[timedelta]:
    return sorted(at for at in instants if now - at < CRASH_RETENTION)
