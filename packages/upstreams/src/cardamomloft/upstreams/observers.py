"""Observers of the exchanges of a client, which learn from them whether connections work."""

import enum
import typing as t
from datetime import timedelta


class ConnectionFailure(enum.Enum):
    """Why a request got no answer.

    `REFUSED`: the connection was refused. `TIMEOUT`: it was not established in time. `SLOW`: it was
    not established within the patience of the request. `LOST`: it was lost, or reset.
    """

    REFUSED = "refused"
    TIMEOUT = "timeout"
    SLOW = "slow"
    LOST = "lost"


class LinkObserver(t.Protocol):
    """Observes the exchanges of a client; addresses are ``ip:port``.

    For each exchange `sent` is called at its start and `ended` once its answer has begun or is not
    awaited any more.
    """

    def sent(self, address: str) -> None:
        """Observe the start of an exchange, before a connection is opened."""
        ...

    def connected(self, address: str, took: timedelta) -> None:
        """Observe that a new connection is established, after a time."""
        ...

    def reached(self, address: str, took: timedelta) -> None:
        """Observe that a probe was accepted, after a time."""
        ...

    def answered(self, address: str) -> None:
        """Observe the head of an answer; `ended` follows."""
        ...

    def failed(self, address: str, reason: ConnectionFailure) -> None:
        """Observe that there is no connection, or that one was lost before an answer began."""
        ...

    def ended(self, address: str) -> None:
        """Observe the end of the wait for an answer."""
        ...


class LinkObservers:
    """A :class:`LinkObserver` that tells several ones, in the order in which they were added."""

    def __init__(self) -> None:
        self._observers: list[LinkObserver] = []

    def add(self, observer: LinkObserver) -> None:
        """Tell another observer from now on."""
        self._observers.append(observer)

    def sent(self, address: str) -> None:
        """Tell of the start of an exchange."""
        for observer in self._observers:
            observer.sent(address)

    def connected(self, address: str, took: timedelta) -> None:
        """Tell of a new connection."""
        for observer in self._observers:
            observer.connected(address, took)

    def reached(self, address: str, took: timedelta) -> None:
        """Tell of a probe that was accepted."""
        for observer in self._observers:
            observer.reached(address, took)

    def answered(self, address: str) -> None:
        """Tell of an answer."""
        for observer in self._observers:
            observer.answered(address)

    def failed(self, address: str, reason: ConnectionFailure) -> None:
        """Tell of a failure."""
        for observer in self._observers:
            observer.failed(address, reason)

    def ended(self, address: str) -> None:
        """Tell of the end of the wait for an answer."""
        for observer in self._observers:
            observer.ended(address)
