"""Counters of the requests that an upstream stand-in has run, for tests to check against."""

import typing as t
from collections import Counter, deque
from datetime import UTC, datetime

from twisted.internet.interfaces import IReactorTime

HISTORY_SIZE = 4096


class EndpointStatistics:
    """Counts executions, slots in use and aborted requests of one endpoint.

    Parameters
    ----------
    name
        The endpoint's name.
    slots
        The number of concurrent requests that the endpoint declares.
    clock
        Measures the time since the start.
    """

    def __init__(self, name: str, slots: int, clock: IReactorTime) -> None:
        self._name = name
        self._slots = slots
        self._clock = clock
        self._started = clock.seconds()
        self._runs: Counter[str] = Counter()
        self._history: deque[tuple[float, int]] = deque([(self._started, 0)], maxlen=HISTORY_SIZE)
        self._last_start_s: float | None = None
        self._last_start_at: datetime | None = None
        self._aborted_ids: set[str] = set()
        self._aborted_without_id = 0
        self.running = 0
        self.max_running = 0
        self.started = 0
        self.counts: Counter[str] = Counter()

    def record_start(self, key: str | None) -> None:
        """Record the start of a request with the idempotency key `key`."""
        self.started += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._last_start_s = self._clock.seconds()
        self._last_start_at = datetime.now(UTC)
        self._history.append((self._last_start_s, self.running))
        if key is not None:
            self._runs[key] += 1

    def record_end(self) -> None:
        """Record that a request has released its slot."""
        self.running -= 1
        self._history.append((self._clock.seconds(), self.running))

    def record_abort(self, request_id: str | None) -> None:
        """Record that the caller disconnected while its request was running."""
        if request_id is None:
            self._aborted_without_id += 1
        else:
            self._aborted_ids.add(request_id)

    def record_cancellation(self, request_id: str) -> None:
        """Record a cancellation; the request no longer counts as aborted by a disconnect."""
        self.counts["cancelled"] += 1
        self._aborted_ids.discard(request_id)

    def running_at(self, age_s: float) -> int:
        """Return how many requests were running `age_s` seconds ago."""
        instant = self._clock.seconds() - age_s
        older = (running for at, running in reversed(self._history) if at <= instant)
        return next(older, self._history[0][1])

    def age(self) -> float:
        """Return the seconds since the endpoint's start."""
        return self._clock.seconds() - self._started

    def to_json(self) -> dict[str, t.Any]:
        """Return the document that ``/-/books`` serves."""
        last_start = self._last_start_s
        return {
            "endpoint": self._name,
            "slots": self._slots,
            "running": self.running,
            "most_running": self.max_running,
            "started": self.started,
            "runs": dict(self._runs),
            "cut_off": len(self._aborted_ids) + self._aborted_without_id,
            "last_start": self._last_start_at.isoformat() if self._last_start_at else None,
            "last_start_ms": (
                None if last_start is None else round((last_start - self._started) * 1000, 3)
            ),
            **{name: self.counts[name] for name in COUNTS},
        }


COUNTS = ("requests", "shed", "not_run", "cancelled", "deadlines", "cut_uploads", "received_bytes")
