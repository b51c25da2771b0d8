"""Quarantine of requests that crash upstreams.

When an upstream crashes, every request that it was processing is suspected. A harmless request is
cleared when a retry is answered; the request that causes the crashes is never answered. Entries
learn of crashes with a delay, so an answer clears those that become known after it too. Load: links
to several upstreams are reset, which looks like crashes under a request that many callers send.
"""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta

from cardamomloft.core.notices import CRASH_RETENTION, CrashUnderRequest
from cardamomloft.core.registrations import UpstreamIncarnation

CRASHES_TO_QUARANTINE = 3
"""Crashes without an answer in between after which a request is sent to no upstream.

A harmless request can be in progress during two crashes, if its retry goes to the same upstream as
the retry of the request that causes them.
"""

RESTART_TIME = timedelta(seconds=1)
"""Connection losses of one upstream within this time belong to the same crash."""


ANSWERS_KEPT = timedelta(seconds=3)
"""How long an answer is kept, at least the time until a crash is known at all entries."""

MAX_ANSWERS = 300
"""Maximum number of answers kept; beyond it the oldest are evicted."""


class RecentAnswers:
    """The requests that were answered in the last seconds.

    Their fingerprints are computed only once a crash is known.
    """

    def __init__(self) -> None:
        self._answers: deque[tuple[timedelta, Callable[[], str]]] = deque(maxlen=MAX_ANSWERS)

    def __len__(self) -> int:
        return len(self._answers)

    def record(self, fingerprint: Callable[[], str], now: timedelta) -> None:
        """Record that a request was answered now."""
        self.expire(now)
        self._answers.append((now, fingerprint))

    def clear_crash(self, notice: CrashUnderRequest, at: timedelta) -> bool:
        """Return whether the request was answered since shortly before a crash noted at `at`.

        The connections of one crash are lost within `RESTART_TIME`.
        """
        since = at - RESTART_TIME
        return any(
            answered >= since and fingerprint() == notice.fingerprint
            for answered, fingerprint in reversed(self._answers)
        )

    def expire(self, now: timedelta) -> None:
        """Delete old answers."""
        while self._answers and now - self._answers[0][0] > ANSWERS_KEPT:
            self._answers.popleft()


class Quarantine:
    """Crashes by request fingerprint, and the requests that are refused because of them."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[tuple[str, int, int], timedelta]] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def crash_notice(
        self, fingerprint: str, incarnation: UpstreamIncarnation, now: timedelta
    ) -> CrashUnderRequest:
        """Return the notice that `incarnation` crashed during the request."""
        number = 1
        for (upstream, started_ms, recorded_number), at in self._crashes.get(
            fingerprint, {}
        ).items():
            if (upstream, started_ms) == incarnation:
                number = max(number, recorded_number + (now - at >= RESTART_TIME))
        return CrashUnderRequest(fingerprint, *incarnation, number)

    def clearing_notices(self, fingerprint: str) -> list[CrashUnderRequest]:
        """Return the notices that clear a request that has been answered."""
        return [
            CrashUnderRequest(fingerprint, *key, excused=True)
            for key in self._crashes.get(fingerprint, {})
        ]

    def apply(self, notice: CrashUnderRequest, at: timedelta) -> bool:
        """Apply a notice issued at the instant `at`; return whether it starts a quarantine."""
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
        """Return the instant at which the quarantine of a request ends, or None if it has none."""
        crashes = _recent(self._crashes.get(fingerprint, {}).values(), now)
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return None
        return crashes[-CRASHES_TO_QUARANTINE] + CRASH_RETENTION

    def quarantined(self, now: timedelta) -> list[str]:
        """Return the fingerprints of the requests in quarantine."""
        return [each for each in self._crashes if self.refused_until(each, now) is not None]

    def expire(self, now: timedelta) -> None:
        """Delete expired crashes."""
        for fingerprint, crashes in list(self._crashes.items()):
            if not _recent(crashes.values(), now):
                del self._crashes[fingerprint]


def _recent(instants: Iterable[timedelta], now: timedelta) -> list[timedelta]:
    return sorted(at for at in instants if now - at < CRASH_RETENTION)
