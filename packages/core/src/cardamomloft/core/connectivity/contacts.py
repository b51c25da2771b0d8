"""Whether an entry without the store is in contact with others, who would tell it of changes."""

from collections import deque
from datetime import timedelta

ANSWER_TIME = timedelta(milliseconds=400)
"""Time in which another entry answers a question, over links of any length."""

CONTACT_TIME = timedelta(seconds=2)
"""Time for which questions and answers count."""

MIN_ANSWERED = 0.5
"""Fraction of the entries asked of which an answer shows that this entry is in contact.

Entries that the store answers tell the others by gossip, and reach any that are in contact with
most of them. If the store answers nobody, nobody reads changes there either.
"""


class Contacts:
    """The entries that were asked lately, and those that were heard."""

    def __init__(self) -> None:
        self._asked: deque[tuple[timedelta, str]] = deque()
        self._heard_at: dict[str, timedelta] = {}

    def record_asked(self, name: str, now: timedelta) -> None:
        """Record that another entry is asked for an answer."""
        self._asked.append((now, name))
        while now - self._asked[0][0] > CONTACT_TIME:
            self._asked.popleft()

    def record_heard(self, name: str, now: timedelta) -> None:
        """Record that a message of another entry has arrived."""
        self._heard_at[name] = now

    def are_lost(self, now: timedelta) -> bool:
        """Return whether too few of those asked lately were heard; not without questions."""
        times = {name: at for at, name in self._asked if ANSWER_TIME <= now - at <= CONTACT_TIME}
        heard = sum(self._heard_at.get(name, -CONTACT_TIME) >= at for name, at in times.items())
        return bool(times) and heard < MIN_ANSWERED * len(times)

    def retain(self, names: set[str]) -> None:
        """Forget entries that are not among `names`."""
        self._heard_at = {name: at for name, at in self._heard_at.items() if name in names}
