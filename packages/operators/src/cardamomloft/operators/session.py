"""What a command needs from outside: store, VM list, entries, time and output."""

import typing as t
from datetime import timedelta

from cardamomloft.core.clock import Clock
from cardamomloft.store.keyvalue import Store
from cardamomloft.store.vms import VmList
from expression import Result
from twisted.internet.defer import Deferred


class Fleet(t.Protocol):
    """The entries' pages for operators."""

    def status(self, address: str) -> Deferred[Result[object, str]]:
        """Return the decoded ``/status`` of the entry at `address`, or why there is none."""
        ...


class Console(t.Protocol):
    """Where a command reports to people."""

    def say(self, *lines: str) -> None:
        """Show progress and results; silent when the result goes to a program."""
        ...

    def warn(self, *lines: str) -> None:
        """Show what needs attention."""
        ...


class Session(t.NamedTuple):
    """The surroundings of one command.

    `known_entries` are operators' addresses to ask when the store cannot name the roster. `who` is
    the operator's name for the audit trail.
    """

    store: Store | None
    vms: VmList | None
    fleet: Fleet
    clock: Clock
    sleep: t.Callable[[timedelta], Deferred[None]]
    console: Console
    who: str
    known_entries: tuple[str, ...] = ()
