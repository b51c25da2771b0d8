"""Counters of the requests that an upstream stand-in has run, for tests to check against."""

import typing as t
from collections import Counter, deque
from datetime import UTC, datetime

from twisted.internet.interfaces import IReactorTime

HISTORY = 4096


class Books:
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
        self._history: deque[tuple[float, int]] = deque([(self._started, 0)], maxlen=HISTORY)
        self._last_start: float | None = None
        self._last_start_at: datetime | None = None
        self._cut_ids: set[str] = set()
        self._cut_nameless = 0
        self.running = 0
        self.most_running = 0
        self.started = 0
        self.counts: Counter[str] = Counter()

    def start(self, key: str | None) -> None:
        """Record the start of a request with the idempotency key `key`."""
        self.started += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self._last_start = self._clock.seconds()
        self._last_start_at = datetime.now(UTC)
        self._history.append((self._last_start, self.running))
        if key is not None:
            self._runs[key] += 1

    def end(self) -> None:
        """Record that a request has released its slot."""
        self.running -= 1
        self._history.append((self._clock.seconds(), self.running))

    def cut(self, request_id: str | None) -> None:
        """Record that the caller disconnected while its request was running."""
        if request_id is None:
            self._cut_nameless += 1
        else:
            self._cut_ids.add(request_id)

    def cancelled(self, request_id: str) -> None:
        """Record a cancellation; the request no longer counts as aborted by a disconnect."""
        self.counts["cancelled"] += 1
        self._cut_ids.discard(request_id)

    def running_at(self, age_s: float) -> int:
        """Return how many requests were running `age_s` seconds ago."""
        shown = self._clock.seconds() - age_s
        older = (running for at, running in reversed(self._history) if at <= shown)
        return next(older, self._history[0][1])

    def age(self) -> float:
        """Return the seconds since the endpoint's start."""
        return self._clock.seconds() - self._started

    def figures(self) -> dict[str, t.Any]:
        """Return the document that ``/-/books`` serves."""
        last = self._last_start
        return {
            "endpoint": self._name,
            "slots": self._slots,
            "running": self.running,
            "most_running": self.most_running,
            "started": self.started,
            "runs": dict(self._runs),
            "cut_off": len(self._cut_ids) + self._cut_nameless,
            "last_start": self._last_start_at.isoformat() if self._last_start_at else None,
            "last_start_ms": None if last is None else round((last - self._started) * 1000, 3),
            **{name: self.counts[name] for name in COUNTS},
        }


COUNTS = ("requests", "shed", "not_run", "cancelled", "deadlines", "cut_uploads", "received_bytes")
