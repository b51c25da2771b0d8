"""Dependencies of a command: store, VM list, entries, clock and console."""

import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.store.keyvalue import Store
from cardamomloft.store.vms import VmList
from expression import Result
from twisted.internet.defer import Deferred


class Fleet(t.Protocol):
    """Client for the status of entries."""

    def status(self, address: str) -> Deferred[Result[object, str]]:
        """Return the decoded ``/status`` of the entry at `address`, or an error text."""
        ...


class Console(t.Protocol):
    """Output of a command for people."""

    def info(self, *lines: str) -> None:
        """Show progress and results; does nothing if the output is JSON."""
        ...

    def warn(self, *lines: str) -> None:
        """Show warnings and errors."""
        ...


class Session(t.NamedTuple):
    """The dependencies of one command.

    `known_entries` are operators' addresses of entries to use when the store is unavailable. `who`
    is the operator's name for the audit trail.
    """

    store: Store | None
    vms: VmList | None
    fleet: Fleet
    clock: Clock
    sleep: t.Callable[[timedelta], Deferred[None]]
    console: Console
    who: str
    known_entries: tuple[str, ...] = ()
