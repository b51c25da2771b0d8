"""What a gateway asks of the control store, whatever protocol the store speaks."""

import typing as t
from datetime import timedelta

from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import EntryRecord, Fact
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import Deferred


class Listing(t.NamedTuple):
    """All that the store holds, as facts; `index` is where to go on."""

    facts: tuple[Fact, ...]
    index: Position


class Changes(t.NamedTuple):
    """What has changed since the last index.

    Attributes
    ----------
    lost
        The store has forgotten what changed since then, or came back from an older copy: list
        again.
    whole
        `facts` are not what has changed but all that there is, as of `index`.
    pause
        Least time until the next question, where its source knows better than who asks.
    failure
        Why the store itself did not answer, where another source did.
    """

    facts: tuple[Fact, ...]
    index: Position
    lost: bool = False
    whole: bool = False
    pause: timedelta | None = None
    failure: StoreFailure | None = None


class Control(t.Protocol):
    """The control store. No Deferred fails; failures are outcomes."""

    def read(self) -> "Deferred[Result[Listing, StoreFailure]]":
        """List everything. Changes made meanwhile come with `changes` from the index returned."""
        ...

    def changes(
        self, after: Position, wait: timedelta
    ) -> "Deferred[Result[Changes, StoreFailure]]":
        """Return what has changed after the index `after`.

        If nothing has, the store may wait for a change, up to `wait`, before it answers.
        """
        ...

    def record(self, record: EntryRecord, ttl: timedelta) -> "Deferred[Result[str, StoreFailure]]":
        """Record a running entry under a new lease of `ttl`; return the lease."""
        ...

    def renew(self, lease: str) -> "Deferred[Result[bool, StoreFailure]]":
        """Renew a lease; return False if it had lapsed."""
        ...

    def withdraw(self, lease: str) -> "Deferred[Result[None, StoreFailure]]":
        """End a lease, and the record with it."""
        ...
