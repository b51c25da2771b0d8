"""The interface of the control store, independent of the store's protocol."""

import typing as t
from datetime import timedelta

from cardamomloft.core.positions import Position
from cardamomloft.core.registrations import EntryRecord, Fact
from cardamomloft.store.failures import StoreFailure
from expression import Result
from twisted.internet.defer import Deferred


class Listing(t.NamedTuple):
    """Everything that the store holds, as facts, at the position `index`.

    `source` tells where it comes from, for the log.
    """

    facts: tuple[Fact, ...]
    index: Position
    source: str = "listing"


class Changes(t.NamedTuple):
    """Changes of the store since a position.

    Attributes
    ----------
    lost
        The changes since that position are not available: the store has discarded its history or
        was restored from an older copy. A new listing is needed.
    whole
        `facts` is the complete content of the store at `index` rather than the changes.
    pause
        Minimum time until the next request, if the source of the changes determines it.
    failure
        Why the store itself did not answer, if the changes come from another source.
    waited
        How long the store has waited before it answered that there are no changes.
    source
        Where the changes come from, for the log.
    """

    facts: tuple[Fact, ...]
    index: Position
    lost: bool = False
    whole: bool = False
    pause: timedelta | None = None
    failure: StoreFailure | None = None
    waited: timedelta = timedelta(0)
    source: str = "watch"


class Control(t.Protocol):
    """The control store. Its Deferreds never fail: a failure is an error result."""

    def read(self) -> "Deferred[Result[Listing, StoreFailure]]":
        """List everything. Later changes follow from `changes` with the returned index."""
        ...

    def changes(
        self, after: Position, wait: timedelta
    ) -> "Deferred[Result[Changes, StoreFailure]]":
        """Return what has changed after the position `after`.

        If nothing has, the store may wait up to `wait` for a change before it answers.
        """
        ...

    def record(self, record: EntryRecord, ttl: timedelta) -> "Deferred[Result[str, StoreFailure]]":
        """Record a running entry under a new lease of the duration `ttl`; return the lease."""
        ...

    def renew(self, lease: str) -> "Deferred[Result[bool, StoreFailure]]":
        """Renew a lease; return False if it had expired."""
        ...

    def withdraw(self, lease: str) -> "Deferred[Result[None, StoreFailure]]":
        """Revoke a lease, which removes the record."""
        ...
