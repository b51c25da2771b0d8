"""Callers that were refused for their account's quota and told when to come back."""

from collections import OrderedDict, deque
from datetime import timedelta

MAX_RETURNS = 200
"""Maximum number of refused callers of an account that an entry remembers; the oldest are
forgotten. An account of 390 requests a second that asks for four times as many has about 110 in
5 s at one of 69 entries."""

RETURN_LIFE = timedelta(seconds=1)
"""How long after its time a caller that was told to come back may still do so."""


class ExpectedReturns:
    """The refused callers of one account at one entry.

    Callers come back once, at the time that they were told or sooner. `reserved` are the instants
    for which capacity was promised, in order.
    """

    def __init__(self) -> None:
        self.reserved: deque[timedelta] = deque()
        self._due: OrderedDict[str, deque[timedelta]] = OrderedDict()
        self._count = 0

    def expect(self, caller: str, due: timedelta) -> None:
        """Record that a caller was told to come back at the instant `due`."""
        self._due.setdefault(caller, deque()).append(due)
        self._count += 1
        while self._count > MAX_RETURNS:
            self._drop(next(iter(self._due)))

    def take(self, caller: str, now: timedelta) -> timedelta | None:
        """Return when a caller was told to come back, None if it was not; it does so only once."""
        due = self._due.get(caller)
        while due and due[0] < now - RETURN_LIFE:
            self._drop(caller)
            due = self._due.get(caller)
        if not due:
            return None
        at = self._drop(caller)
        if at in self.reserved:
            self.reserved.remove(at)
        return at

    def due(self, now: timedelta) -> int:
        """Return how many callers with promised capacity may come back at any moment."""
        while self.reserved and self.reserved[0] < now - RETURN_LIFE:
            self.reserved.popleft()
        return sum(at <= now for at in self.reserved)

    def _drop(self, caller: str) -> timedelta:
        due = self._due[caller]
        at = due.popleft()
        self._count -= 1
        if not due:
            del self._due[caller]
        return at
