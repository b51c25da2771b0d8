"""What the control store holds as far as this process knows, and what has changed since when.

The table keeps the last fact of each key with the store's position by which it was known. Whoever
has everything up to an earlier position gets the facts of all keys that have changed since, so a
key that changed often costs one fact, and configurations that have been replaced are not kept.
"""

import typing as t
from collections.abc import Iterable
from functools import singledispatch

from cardamomloft.core.positions import BEGINNING, Position
from cardamomloft.core.registrations import (
    EntryRecorded,
    EntryWithdrawn,
    Fact,
    PlanRead,
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)

REMOVALS_KEPT = 5_000
"""Keys whose removal is remembered; gateways that missed an older one ask the store. Endpoints with
new ids at each start leave one each, so this lasts for days of ordinary restarts."""


class FactKey(t.NamedTuple):
    """What a fact is about; of two facts with the same key the later one counts."""

    kind: str
    name: str


class _Row(t.NamedTuple):
    """The last fact of a key, and the position by which it was known."""

    index: Position
    fact: Fact


class ChangeTable:
    """The last fact of each key.

    Whatever is told to it must be everything that had changed up to the revision told with it.

    Parameters
    ----------
    removals_kept
        How many keys that are gone are remembered.

    Attributes
    ----------
    index
        The store's position up to which everything is known.
    """

    def __init__(self, removals_kept: int = REMOVALS_KEPT) -> None:
        self.index = BEGINNING
        self._floor = BEGINNING
        self._removals_kept = removals_kept
        # In the order of their revisions: a row that changes moves to the end.
        self._rows: dict[FactKey, _Row] = {}
        self._removed: dict[FactKey, None] = {}

    def __len__(self) -> int:
        return len(self._rows) - len(self._removed)

    def apply_listing(self, facts: Iterable[Fact], index: Position) -> None:
        """Take a list of all that the store held at the position `index`."""
        if index < self.index or index.era != self.index.era or self.index == BEGINNING:
            self._begin(index)
        given = {key_of(fact): fact for fact in facts}
        gone = (row.fact for key, row in self._rows.items() if key not in given)
        removals = [removal for removal in map(_removal, gone) if removal is not None]
        self.apply_changes([*removals, *given.values()], index)

    def apply_changes(self, facts: Iterable[Fact], index: Position) -> None:
        """Take what has changed up to the position `index`, in order."""
        self.index = max(self.index, index)
        for fact in facts:
            self._set(fact, self.index)

    def changes_since(self, after: Position) -> tuple[Fact, ...] | None:
        """Return the facts of all keys that have changed after the position `after`.

        Returns
        -------
        tuple of Fact or None
            In the order in which they became known. None if that reaches back further than what is
            remembered, or is of another era.
        """
        if self.index == BEGINNING or after.era != self.index.era or after < self._floor:
            return None
        found = []
        for row in reversed(self._rows.values()):
            if row.index <= after:
                break
            found.append(row.fact)
        return tuple(reversed(found))

    def all_facts(self) -> tuple[Fact, ...]:
        """Return the facts of all keys that are there, as a list of the store would show them."""
        return tuple(row.fact for key, row in self._rows.items() if key not in self._removed)

    def _begin(self, index: Position) -> None:
        """Begin anew: nothing is known, or the store counts anew."""
        self.index = self._floor = index
        self._rows.clear()
        self._removed.clear()

    def _set(self, fact: Fact, index: Position) -> None:
        key = key_of(fact)
        before = self._rows.get(key)
        if before is not None and (
            is_same_fact(before.fact, fact) or _supersedes(before.fact, fact)
        ):
            return
        self._rows.pop(key, None)
        self._rows[key] = _Row(index, fact)
        self._removed.pop(key, None)
        if _is_removal(fact):
            self._removed[key] = None
            self._forget_old()

    def _forget_old(self) -> None:
        while len(self._removed) > self._removals_kept:
            key = next(iter(self._removed))
            del self._removed[key]
            # Who has everything up to this revision knows of the removal.
            self._floor = max(self._floor, self._rows.pop(key).index)


def is_same_fact(held: Fact, told: Fact) -> bool:
    """Tell whether two facts say the same: as tuples a drained and a restored zone are equal."""
    return type(held) is type(told) and held == told


def _supersedes(held: Fact, offered: Fact) -> bool:
    """Tell whether a configuration is offered that is older than the one held."""
    both = isinstance(held, PlanRead) and isinstance(offered, PlanRead)
    return both and offered.plan.number < held.plan.number


def _is_removal(fact: Fact) -> bool:
    return isinstance(fact, UpstreamWithdrawn | ZoneRestored | EntryWithdrawn)


@singledispatch
def key_of(fact: Fact) -> FactKey:
    """Return what a fact is about."""
    raise TypeError(f"not a fact: {fact!r}")


@key_of.register
def _(fact: PlanRead) -> FactKey:
    return FactKey("plan", "")


@key_of.register
def _(fact: UpstreamRegistered) -> FactKey:
    return FactKey("upstream", fact.registration.id)


@key_of.register
def _(fact: UpstreamWithdrawn) -> FactKey:
    return FactKey("upstream", fact.id)


@key_of.register
def _(fact: UpstreamUnreadable) -> FactKey:
    return FactKey("upstream", fact.id)


@key_of.register
def _(fact: ZoneDrained) -> FactKey:
    return FactKey("zone", fact.zone)


@key_of.register
def _(fact: ZoneRestored) -> FactKey:
    return FactKey("zone", fact.zone)


@key_of.register
def _(fact: EntryRecorded) -> FactKey:
    return FactKey("entry", fact.record.name)


@key_of.register
def _(fact: EntryWithdrawn) -> FactKey:
    return FactKey("entry", fact.name)


@key_of.register
def _(fact: Unreadable) -> FactKey:
    return FactKey("unreadable", fact.key)


@singledispatch
def _removal(fact: Fact) -> Fact | None:
    """Return the fact that what `fact` states is gone, or None if that changes nothing."""
    return None


@_removal.register
def _(fact: UpstreamRegistered) -> Fact | None:
    return UpstreamWithdrawn(fact.registration.id)


@_removal.register
def _(fact: UpstreamUnreadable) -> Fact | None:
    return UpstreamWithdrawn(fact.id)


@_removal.register
def _(fact: ZoneDrained) -> Fact | None:
    return ZoneRestored(fact.zone)


@_removal.register
def _(fact: EntryRecorded) -> Fact | None:
    return EntryWithdrawn(fact.record.name)
