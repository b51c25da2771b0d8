"""Whether an entry without the store is in contact with others, who would tell it of changes."""

from collections import deque
from datetime import timedelta

ANSWER_TIME = timedelta(milliseconds=400)
"""Time in which another entry answers a question, over links of any length."""

CONTACT_TIME = timedelta(seconds=2)
"""Time for which questions and answers count."""

MIN_ANSWERED = 0.8
"""Fraction of the entries asked that must answer if the store answers none of them.

If all of them are without it, nobody reads changes there. The silent ones may be in touch with it.
"""


class Contacts:
    """The entries that were asked lately, and those that were heard."""

    def __init__(self) -> None:
        self._asked: deque[tuple[timedelta, str]] = deque()
        self._heard_at: dict[str, timedelta] = {}
        self._informed_at = -CONTACT_TIME

    def record_asked(self, name: str, now: timedelta) -> None:
        """Record that another entry is asked for an answer."""
        self._asked.append((now, name))
        while now - self._asked[0][0] > CONTACT_TIME:
            self._asked.popleft()

    def record_heard(self, name: str, now: timedelta) -> None:
        """Record that a message of another entry has arrived."""
        self._heard_at[name] = now

    def record_informed(self, now: timedelta) -> None:
        """Record that another entry, which the store answers, was heard; it tells what it reads."""
        self._informed_at = now

    def are_lost(self, now: timedelta) -> bool:
        """Return whether changes may be read that nobody would tell; not without questions."""
        if now - self._informed_at < CONTACT_TIME:
            return False
        times = {name: at for at, name in self._asked if ANSWER_TIME <= now - at <= CONTACT_TIME}
        heard = sum(self._heard_at.get(name, -CONTACT_TIME) >= at for name, at in times.items())
        return bool(times) and heard < MIN_ANSWERED * len(times)

    def retain(self, names: set[str]) -> None:
        """Forget entries that are not among `names`."""
        self._heard_at = {name: at for name, at in self._heard_at.items() if name in names}
