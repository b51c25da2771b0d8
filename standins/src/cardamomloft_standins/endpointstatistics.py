"""What an upstream endpoint has truly run: the figures that tests compare with the promises."""

import typing as t
from collections import Counter, deque
from datetime import UTC, datetime

from twisted.internet.interfaces import IReactorTime

HISTORY = 4096


class Books:
    """Counts runs, slots in use and cut requests of one endpoint.

    Parameters
    ----------
    name
        The endpoint's name.
    slots
        How many requests it declares to bear at once.
    clock
        Measures time since the start.
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
        """Record that work has begun for the operation `key`."""
        self.started += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self._last_start = self._clock.seconds()
        self._last_start_at = datetime.now(UTC)
        self._history.append((self._last_start, self.running))
        if key is not None:
            self._runs[key] += 1

    def end(self) -> None:
        """Record that a slot is free again."""
        self.running -= 1
        self._history.append((self._clock.seconds(), self.running))

    def cut(self, request_id: str | None) -> None:
        """Record that the caller's connection was lost while the request ran."""
        if request_id is None:
            self._cut_nameless += 1
        else:
            self._cut_ids.add(request_id)

    def cancelled(self, request_id: str) -> None:
        """Record a cancellation; one that comes after its lost connection excuses the cut."""
        self.counts["cancelled"] += 1
        self._cut_ids.discard(request_id)

    def running_at(self, age_s: float) -> int:
        """Return how many requests ran `age_s` seconds ago."""
        shown = self._clock.seconds() - age_s
        older = (running for at, running in reversed(self._history) if at <= shown)
        return next(older, self._history[0][1])

    def age(self) -> float:
        """Return the seconds since the endpoint's start."""
        return self._clock.seconds() - self._started

    def figures(self) -> dict[str, t.Any]:
        """Return all figures as they appear at ``/-/books``."""
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
