"""Detection of an entry that has lost its own links to the upstream endpoints.

To such an entry all endpoints seem to have failed, though others reach them. When an entry hears
from no endpoint, it opens connections to those that it has heard from most recently, in different
zones. Endpoints don't fail in all zones at once, so if none of these connections can be
established, the links of the entry itself are taken to be at fault.
"""

import random
import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.connectivity.connecttimes import ConnectTimes

PROBED_ENDPOINTS = 4
"""Number of endpoints to which connections are opened at a time."""

PROBE_TIMEOUT = timedelta(milliseconds=300)
"""Time in which a connection must be established, which is several round trips between regions."""

MAX_NOTICE_TIME = timedelta(milliseconds=700)
"""Maximum sum of that time and the time without a sign before, while connections are slow. Links
that are down must be noticed within a second, also on a busy machine."""

SIGN_DELAY = timedelta(milliseconds=20)
"""Time after a failure, or the start of a probe, from which an answer shows that links work. One
that is read earlier may have arrived before they failed."""

PROBE_INTERVAL = timedelta(milliseconds=200)
"""Minimum interval of probes, and their interval while links are down."""

MIN_SILENCE = timedelta(milliseconds=150)
"""Minimum time without a sign of any endpoint, while answers are due, that causes a probe."""

MAX_SILENCE = timedelta(milliseconds=600)
"""Maximum of that time, which entries with few requests use."""

SILENCE_FACTOR = 6
"""That time as a multiple of the mean time between answers. At random intervals, one interval in
400 is longer."""

SEVERAL_FAILED_TIME = timedelta(milliseconds=50)
"""Time without a sign of any endpoint that causes a probe after several endpoints have failed."""

ONE_FAILED_TIME = timedelta(milliseconds=150)
"""The same after one endpoint has failed, as endpoints do."""

_SMOOTHING = 0.1
_ZERO = timedelta(0)


class ProbeTarget(t.NamedTuple):
    """An endpoint that may be probed."""

    address: str
    zone: str


class Reachability:
    """Decides whether the links of one entry to the endpoints work.

    Instants are monotonic. An endpoint gives a sign when it accepts a connection or answers.
    """

    def __init__(self) -> None:
        self._heard: dict[str, timedelta] = {}
        self._heard_at: timedelta | None = None
        self._connected_at: timedelta | None = None
        self._connect_times = ConnectTimes()
        self._silent_since = _ZERO
        self._awaited = 0
        self._mean_gap: timedelta | None = None
        self._failed: set[str] = set()
        self._failed_since = _ZERO
        self._probed_at = -PROBE_INTERVAL
        self._down_since: timedelta | None = None

    # Observations.

    def record_sent(self, now: timedelta) -> None:
        """Record that an answer is awaited."""
        self._connect_times.expire(now)
        if not self._awaited:
            self._silent_since = now
        self._awaited += 1

    def record_end(self) -> None:
        """Record that an answer is not awaited any more."""
        self._awaited -= 1

    def record_answer(self, address: str, now: timedelta) -> None:
        """Record that an awaited answer has begun; `record_end` is called besides."""
        gap = now - self._silent_since
        mean = self._mean_gap
        self._mean_gap = gap if mean is None else mean + (gap - mean) * _SMOOTHING
        self._record_sign(address, now)

    def record_connected(self, address: str, now: timedelta, took: timedelta | None = None) -> None:
        """Record that an endpoint has accepted a connection, after a time if that is known."""
        self._connected_at = now
        if took is not None:
            self._connect_times.record(address, took, now)
        self._record_sign(address, now)

    def record_failure(self, address: str, now: timedelta) -> None:
        """Record that a connection was refused, could not be established in time, or was lost."""
        if not self._failed:
            self._failed_since = now
        self._failed.add(address)

    def _record_sign(self, address: str, now: timedelta) -> None:
        self._heard[address] = self._heard_at = self._silent_since = now
        self._failed.clear()

    # Decisions.

    @property
    def down(self) -> bool:
        """Whether no new connection to any endpoint can be established."""
        return self._down_since is not None

    @property
    def down_since(self) -> timedelta | None:
        """Instant since which that is so, None if it isn't."""
        return self._down_since

    @property
    def failed_count(self) -> int:
        """Number of endpoints that have failed since the last sign of any."""
        return len(self._failed)

    def silence(self, now: timedelta) -> timedelta:
        """Return the time without a sign while answers were awaited."""
        return now - self._silent_since if self._awaited else _ZERO

    def may_send(self, now: timedelta, *, connected: bool) -> bool:
        """Return whether a request may be sent to an endpoint.

        Parameters
        ----------
        now
            The present instant.
        connected
            Whether there is an open connection to the endpoint.
        """
        return not self.down or (connected and self.connections_work(now))

    def connections_work(self, now: timedelta) -> bool:
        """Return whether open connections work, as far as is known."""
        if self._down_since is None:
            return True
        heard_since = self._heard_at is not None and self._heard_at > self._down_since
        return heard_since and self.silence(now) < self._max_silence()

    def next_probe(self) -> timedelta | None:
        """Return the instant of the next probe if there is no sign until then, None for never."""
        earliest = self._probed_at + PROBE_INTERVAL
        if self.down:
            return earliest
        due = []
        if self._awaited:
            due.append(self._silent_since + self._max_silence())
        if self._failed:
            delay = SEVERAL_FAILED_TIME if len(self._failed) > 1 else ONE_FAILED_TIME
            due.append(self._failed_since + delay)
        return max(earliest, min(due)) if due else None

    def _max_silence(self) -> timedelta:
        if self._mean_gap is None:
            return MAX_SILENCE
        return min(max(self._mean_gap * SILENCE_FACTOR, MIN_SILENCE), MAX_SILENCE)

    # Probes.

    def may_probe(self, now: timedelta) -> bool:
        """Return whether links may be probed at once because endpoints have failed."""
        return bool(self._failed) and now >= self._probed_at + PROBE_INTERVAL

    def targets(self, known: Iterable[ProbeTarget], rng: random.Random) -> list[ProbeTarget]:
        """Return the endpoints to probe, and forget those that are not in `known`.

        These are the ones heard from last, in as many zones as possible. While links are down,
        half of them are drawn at random, as the others may have failed since.
        """
        rows = list(known)
        addresses = {row.address for row in rows}
        self._heard = {key: at for key, at in self._heard.items() if key in addresses}
        self._connect_times.retain(addresses)
        rows.sort(key=lambda row: self._heard.get(row.address, timedelta.min), reverse=True)
        drawn = rng.sample(rows, min(PROBED_ENDPOINTS // 2, len(rows))) if self.down else []
        zones: set[str] = set()
        first, others = [], []
        for row in rows:
            (others if row.zone in zones else first).append(row)
            zones.add(row.zone)
        chosen = dict.fromkeys([*drawn, *first, *others])
        return list(chosen)[:PROBED_ENDPOINTS]

    def start_probe(self, now: timedelta) -> None:
        """Record the start of a probe."""
        self._probed_at = now

    def probe_timeout(self, now: timedelta) -> timedelta:
        """Return the time in which a probe that starts now is expected to be established."""
        delayed = PROBE_TIMEOUT + self._connect_times.reserve
        return max(PROBE_TIMEOUT, min(delayed, MAX_NOTICE_TIME - self.silence(now)))

    def end_probe(self, started_at: timedelta, *, connected: bool, definite: bool = True) -> bool:
        """Record the end of a probe; return whether links went down or came back.

        Parameters
        ----------
        started_at
            The start of the probe.
        connected
            Whether any endpoint has accepted a connection.
        definite
            Whether connections were refused, or given up for good. Otherwise they may still be
            established, and links that are slow are told from those that are down by the answers
            on open connections.
        """
        was_down = self.down
        if connected:
            self._down_since = None
        elif not was_down and not self._works_since(started_at, definite):
            self._down_since = started_at
        return self.down != was_down

    def _works_since(self, started_at: timedelta, definite: bool) -> bool:
        if self._connected_at is not None and self._connected_at > started_at:
            return True
        heard_at = self._heard_at
        return not definite and heard_at is not None and heard_at > started_at + SIGN_DELAY
