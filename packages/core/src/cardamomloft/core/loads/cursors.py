"""What a peer has of the shared loads and cached pairs, by the messages that it confirmed."""

import typing as t
from datetime import timedelta

MIN_INTERVAL = timedelta(milliseconds=250)
"""Minimum mean interval of messages with loads to one peer."""

_JITTER = timedelta(milliseconds=50)
"""How much earlier than that a message may be sent, since timers run late by different times."""

CONFIRM_TIMEOUT = timedelta(milliseconds=600)
"""Time without a confirmation after which the rows of a message are sent again."""

_LONG_AGO = -timedelta(days=1)


class Position(t.NamedTuple):
    """Up to where a peer has the statements, by version, and the cached pairs, by position."""

    version: int = 0
    pairs: int = 0


class _Pending(t.NamedTuple):
    number: int
    before: Position
    sent_at: timedelta


class Cursor:
    """What one peer has, and when the next message with loads may be sent to it."""

    __slots__ = ("_due_at", "_pending", "position")

    def __init__(self, position: Position = Position()) -> None:  # noqa: B008 (immutable)
        self.position = position
        self._pending: list[_Pending] = []
        self._due_at = _LONG_AGO

    @property
    def is_new(self) -> bool:
        """Whether no rows were sent to the peer yet."""
        return self._due_at == _LONG_AGO

    def is_due(self, now: timedelta) -> bool:
        """Return whether a message with loads may be sent."""
        return now >= self._due_at - _JITTER

    def due_in(self, now: timedelta) -> timedelta:
        """Return the time until a message with loads may be sent."""
        return max(timedelta(0), self._due_at - now)

    def on_sent(self, number: int, position: Position, now: timedelta) -> None:
        """Record that the message `number` was sent, with the rows up to `position`."""
        self._due_at = max(self._due_at, now) + MIN_INTERVAL
        if position != self.position:
            self._pending.append(_Pending(number, self.position, now))
            self.position = position

    def confirm(self, number: int) -> None:
        """Record that the peer has received the message `number`."""
        self._pending = [row for row in self._pending if row.number != number]

    def rewind(self, now: timedelta) -> None:
        """Go back to before the first message that was not confirmed in time."""
        if self._pending and now - self._pending[0].sent_at > CONFIRM_TIMEOUT:
            self.position = self._pending[0].before
            self._pending = []
