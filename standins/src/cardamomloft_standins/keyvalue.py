"""The state of the key-value store: versions, sessions and watches, without I/O.

Implements the semantics of a subset of the Consul HTTP API.
"""

import enum
import typing as t
import uuid
from collections.abc import Callable
from datetime import timedelta

from twisted.internet import defer
from twisted.internet.interfaces import IDelayedCall, IReactorTime

MAX_VALUE_BYTES = 1024 * 1024
FIRST_INDEX = 1


class Record(t.NamedTuple):
    """The value of a key, its indexes and the session that holds its lock."""

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str | None = None


class PutOutcome(enum.Enum):
    """The result of a write."""

    WRITTEN = enum.auto()
    CONFLICT = enum.auto()
    NO_SESSION = enum.auto()


class _Session(t.NamedTuple):
    ttl: timedelta
    expiry: IDelayedCall


class _Watch(t.NamedTuple):
    key: str
    changed: defer.Deferred[None]
    timer: IDelayedCall


class KeyValues:
    """Records, sessions and watches in memory.

    Parameters
    ----------
    clock
        Measures session TTLs and waits.
    new_id
        Returns a fresh session id.
    """

    def __init__(
        self, clock: IReactorTime, *, new_id: Callable[[], str] = lambda: str(uuid.uuid4())
    ) -> None:
        self._clock = clock
        self._new_id = new_id
        self._index = FIRST_INDEX
        self._records: dict[str, Record] = {}
        self._index_by_key: dict[str, int] = {}
        self._changed_at: dict[str, float] = {}
        self._sessions: dict[str, _Session] = {}
        self._watches: set[_Watch] = set()
        self.lag = timedelta(0)

    def get(self, key: str) -> Record | None:
        """Return the record of `key`, if there is one."""
        return self._records.get(key)

    def list_prefix(self, prefix: str) -> list[tuple[str, Record]]:
        """Return the keys that begin with `prefix`, sorted, with their records."""
        return sorted(item for item in self._records.items() if item[0].startswith(prefix))

    @property
    def last_index(self) -> int:
        """The index of the last change of any key."""
        return self._index

    def index(self, key: str) -> int:
        """Return the index of the last change of `key`, its deletion included."""
        return self._index_by_key.get(key, FIRST_INDEX)

    def put(
        self, key: str, value: bytes, *, cas: int | None = None, acquire: str | None = None
    ) -> PutOutcome:
        """Write `value` if the version and the lock permit it.

        Parameters
        ----------
        cas
            The expected ModifyIndex; 0 means that the key must be absent.
        acquire
            The session that is to hold the lock of `key`; the lock must be free or its own.
        """
        if acquire is not None and acquire not in self._sessions:
            return PutOutcome.NO_SESSION
        old = self._records.get(key)
        if cas is not None and cas != (old.modify_index if old else 0):
            return PutOutcome.CONFLICT
        if acquire is not None and old and old.session not in (None, acquire):
            return PutOutcome.CONFLICT
        self._write(key, value, old, acquire)
        return PutOutcome.WRITTEN

    def create_session(self, ttl: timedelta) -> str:
        """Create a session that expires `ttl` after its last renewal; return its id."""
        session = self._new_id()
        expiry = self._clock.callLater(ttl.total_seconds(), self.destroy_session, session)
        self._sessions[session] = _Session(ttl, expiry)
        return session

    def renew_session(self, session: str) -> bool:
        """Restart the TTL of `session`; return whether the session still exists."""
        existing = self._sessions.get(session)
        if existing is None:
            return False
        existing.expiry.reset(existing.ttl.total_seconds())
        return True

    def destroy_session(self, session: str) -> bool:
        """End `session` and delete the keys that it has locked; return whether it existed."""
        existing = self._sessions.pop(session, None)
        if existing is None:
            return False
        if existing.expiry.active():
            existing.expiry.cancel()
        for key in [key for key, record in self._records.items() if record.session == session]:
            del self._records[key]
            self._next_index(key)
            self._notify_watches(key)
        return True

    def expire(self, name: str) -> bool:
        """End the session that has locked the key `name`, or else the session with that id."""
        record = self._records.get(name)
        if record is not None and record.session is not None:
            return self.destroy_session(record.session)
        return self.destroy_session(name)

    def watch(self, key: str, after: int, wait: timedelta) -> defer.Deferred[None]:
        """Return a Deferred that fires once `key` has changed after index `after`.

        It fires at the latest after `wait`, immediately if the change has already happened, but
        never earlier than :attr:`lag` after the change.
        """
        changed: defer.Deferred[None] = defer.Deferred()
        timer = self._clock.callLater(wait.total_seconds(), changed.callback, None)
        watch = _Watch(key, changed, timer)
        self._watches.add(watch)
        changed.addBoth(self._remove_watch, watch)
        if self.index(key) > after:
            self._fire_watch(self._remaining_lag(key), watch)
        return changed

    def close(self) -> None:
        """End all watches and timers."""
        for watch in list(self._watches):
            watch.changed.callback(None)
        for session in self._sessions.values():
            if session.expiry.active():
                session.expiry.cancel()

    def _write(self, key: str, value: bytes, old: Record | None, acquire: str | None) -> None:
        index = self._next_index(key)
        create, lock, session = index, 0, None
        if old is not None:
            create, lock, session = old.create_index, old.lock_index, old.session
        if acquire is not None and session != acquire:
            lock, session = lock + 1, acquire
        self._records[key] = Record(value, create, index, lock, session)
        self._notify_watches(key)

    def _next_index(self, key: str) -> int:
        self._index += 1
        self._index_by_key[key] = self._index
        self._changed_at[key] = self._clock.seconds()
        return self._index

    def _remaining_lag(self, key: str) -> float:
        age = self._clock.seconds() - self._changed_at.get(key, 0.0)
        return max(0.0, self.lag.total_seconds() - age)

    def _notify_watches(self, key: str) -> None:
        for watch in [watch for watch in self._watches if watch.key == key]:
            self._fire_watch(self._remaining_lag(key), watch)

    def _fire_watch(self, delay: float, watch: _Watch) -> None:
        if delay <= 0:
            watch.changed.callback(None)
        elif self._clock.seconds() + delay < watch.timer.getTime():
            watch.timer.reset(delay)

    def _remove_watch(self, result: t.Any, watch: _Watch) -> t.Any:
        self._watches.discard(watch)
        if watch.timer.active():
            watch.timer.cancel()
        return result
