"""Connections that are being established, and whether later ones were faster.

Packets of one entry wait in the same queues, in order. If a connection has been established and
another one that was opened before has not, the links and the processor of the entry are not the
reason.
"""

import typing as t
from collections import Counter, deque
from collections.abc import Iterable
from datetime import timedelta

KEPT_CONTROLS = 64
"""Number of established connections that are remembered."""

_BEFORE = timedelta.min


class Control(t.NamedTuple):
    """A connection that was established."""

    address: str
    started_at: timedelta
    established_at: timedelta


class ConnectionAttempts:
    """Knows the connections that an entry opens to find out whether endpoints accept any.

    Endpoints are identified by their addresses, and all instants are monotonic.
    """

    def __init__(self) -> None:
        self._pending: dict[str, Counter[timedelta]] = {}
        self._controls: deque[Control] = deque(maxlen=KEPT_CONTROLS)

    def start(self, address: str, now: timedelta) -> None:
        """Record that a connection is being opened."""
        self._pending.setdefault(address, Counter())[now] += 1

    def end(self, address: str, started_at: timedelta) -> None:
        """Record that a connection is established, has failed or was given up."""
        pending = self._pending.get(address, Counter())
        pending -= Counter([started_at])
        if not pending:
            self._pending.pop(address, None)

    def record_established(self, address: str, started_at: timedelta, now: timedelta) -> None:
        """Record a connection that was established, of whatever origin.

        Others to the same endpoint that were opened before don't matter any more.
        """
        self._pending.pop(address, None)
        self._controls.append(Control(address, started_at, now))

    def pending(self, address: str, since: timedelta | None = None) -> list[timedelta]:
        """Return the starts of the connections to an endpoint that were opened after an instant."""
        starts = sorted(self._pending.get(address, ()))
        return [start for start in starts if since is None or start > since]

    def addresses(self) -> list[str]:
        """Return the endpoints to which connections are being opened."""
        return list(self._pending)

    def has_control(self, address: str, started_at: timedelta, others: Iterable[str]) -> bool:
        """Return whether a connection to another endpoint was opened as late or later.

        Only `others` count while the connection is not established.
        """
        return self.is_overtaken(address, started_at) or any(
            other != address and max(self.pending(other), default=_BEFORE) >= started_at
            for other in others
        )

    def is_overtaken(
        self, address: str, started_at: timedelta, by: timedelta | None = None
    ) -> bool:
        """Return whether a connection that was opened as late or later has been established.

        Parameters
        ----------
        address
            The endpoint to which a connection was opened; others to it don't count.
        started_at
            The instant at which it was opened.
        by
            The instant until which the other one was established, None for the present.
        """
        return any(
            control.address != address
            and control.started_at >= started_at
            and (by is None or control.established_at <= by)
            for control in self._controls
        )
