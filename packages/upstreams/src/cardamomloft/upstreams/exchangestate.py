"""Decides when the exchanges on a connection to an endpoint are over, and how it may end.

An endpoint may answer before it has read the body of a request, keep the connection and read on
later. An exchange is therefore over only when its answer is complete and its body was sent and
received. A body whose request was answered with success counts as stored, since the caller has
been told so. A connection that still carries such a body is neither reset nor used again.

That a body was read is proved by the answer to the next request on its connection. Until then the
body may wait in the endpoint's receive buffer, where a reset would discard it.
"""

import enum
from collections.abc import Callable

FIRST_ERROR_STATUS = 400


class Ending(enum.Enum):
    """What becomes of a connection: another request, a close after the data, or a reset."""

    REUSE = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()


class _Body(enum.Enum):
    NONE = enum.auto()
    SENDING = enum.auto()
    WRITTEN = enum.auto()
    INCOMPLETE = enum.auto()


class ExchangeState:
    """The state of the exchanges of one connection, one after the other."""

    def __init__(self) -> None:
        self._body = _Body.NONE
        self._status: int | None = None
        self._complete = False
        self._rejected = False
        self._earlier_unread = False

    # Events.

    def begin(self, *, has_body: bool) -> None:
        """Begin an exchange after the one before was over."""
        self._earlier_unread = self.carries_stored_body()
        self._body = _Body.SENDING if has_body else _Body.NONE
        self._status = None
        self._complete = self._rejected = False

    def record_body_written(self) -> None:
        """Record that the whole body was written to the connection."""
        if self._body is _Body.SENDING:
            self._body = _Body.WRITTEN

    def record_body_incomplete(self) -> None:
        """Record that the rest of the body will not be sent."""
        if self._body is _Body.SENDING:
            self._body = _Body.INCOMPLETE

    def record_answer(self, status: int) -> None:
        """Record the status of the answer, whose body may still be on its way."""
        self._status = status

    def record_answer_complete(self) -> None:
        """Record that the whole answer has arrived."""
        self._complete = True

    def reject_answer(self) -> None:
        """Record that the answer, whole or not, will not be passed on."""
        self._rejected = True

    # Decisions.

    @property
    def is_upload_answered(self) -> bool:
        """Whether the answer was a success and is complete, and the body is still being sent."""
        return self._is_stored() and self._body is _Body.SENDING

    @property
    def has_good_answer(self) -> bool:
        """Whether an answer has begun that is not an error."""
        return self._status is not None and self._status < FIRST_ERROR_STATUS

    def carries_stored_body(self) -> bool:
        """Return whether a reset could discard a body that counts as stored.

        Load: an endpoint that answers, pauses and reads on, while the request behind the body
        misses its deadline, or its caller leaves.
        """
        if self._status is None and self._earlier_unread:
            return True
        return self._is_stored() and self._body in (_Body.SENDING, _Body.WRITTEN)

    def ending(self, unsent: Callable[[], int]) -> Ending:
        """Return what becomes of the connection at the end of an answer.

        Load: an endpoint that has answered while some of the body was on its way, so that the next
        request would wait for a reading that nobody knows of.

        Parameters
        ----------
        unsent
            Returns how many bytes of the request the endpoint's host has not acknowledged. An
            endpoint that has read a body has acknowledged it at the latest with its answer.
        """
        if self._body is _Body.NONE or (self._body is _Body.WRITTEN and not unsent()):
            return Ending.REUSE
        return Ending.CLOSE if self.carries_stored_body() else Ending.RESET

    def _is_stored(self) -> bool:
        return self._complete and self.has_good_answer and not self._rejected
