"""The known content of the control store, with the store position of each change.

The table keeps the latest fact of each key with the store position at which it became known. A
subscriber that is complete up to an earlier position gets the facts of all keys that have changed
since. A key that changed several times costs one fact, and replaced configurations are dropped.
"""

import typing as t
from collections import deque
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

MAX_REMOVALS = 5_000
"""Removed keys that are kept. A gateway that missed an older removal must read the store. Each
restart of an endpoint with a new id leaves one."""

MAX_GAPS = 64
"""Updates with repeated facts that are kept. A gateway whose position lies within an earlier one
must read the store."""


class FactKey(t.NamedTuple):
    """Identifies the subject of a fact; a later fact replaces an earlier one with the same key."""

    kind: str
    name: str


_UNREADABLE_PLAN = FactKey("unreadable-plan", "")


class _Row(t.NamedTuple):
    """The latest fact of a key, and the store position at which it became known."""

    index: Position
    fact: Fact


class _Gap(t.NamedTuple):
    """An update from `start` to `end` that repeated facts which the table held before.

    Between these positions such a key may have had another fact, which a gateway may have received
    from another source.
    """

    start: Position
    end: Position


class ChangeTable:
    """The latest fact of each key.

    Each update must contain all changes up to the position that comes with it.

    Parameters
    ----------
    max_removals
        Maximum number of removed keys that are kept.

    Attributes
    ----------
    index
        The store position up to which the table is complete.
    """

    def __init__(self, max_removals: int = MAX_REMOVALS) -> None:
        self.index = BEGINNING
        self._oldest_index = BEGINNING
        self._max_removals = max_removals
        # Ordered by position: a row that changes moves to the end.
        self._rows: dict[FactKey, _Row] = {}
        self._removed: dict[FactKey, None] = {}
        self._gaps: deque[_Gap] = deque()

    def __len__(self) -> int:
        return len(self._rows) - len(self._removed)

    def apply_listing(self, facts: Iterable[Fact], index: Position) -> None:
        """Apply a complete listing of the store at the position `index`."""
        if index < self.index or index.era != self.index.era or self.index == BEGINNING:
            self._reset(index)
        listed = {key_of(fact): fact for fact in facts}
        missing = (row.fact for key, row in self._rows.items() if key not in listed)
        removals = [removal for removal in map(_removal, missing) if removal is not None]
        self.apply_changes([*removals, *listed.values()], index)

    def apply_changes(self, facts: Iterable[Fact], index: Position) -> None:
        """Apply the changes up to the position `index`, in order."""
        before, self.index = self.index, max(self.index, index)
        repeated = [fact for fact in facts if not self._set(fact, self.index)]
        if repeated and before < self.index:
            self._record_gap(_Gap(before, self.index))

    def changes_since(self, after: Position) -> tuple[Fact, ...] | None:
        """Return the facts of all keys that have changed after the position `after`.

        Returns
        -------
        tuple of Fact or None
            In the order in which they became known. None if the removals since `after` are no
            longer all kept, or if `after` is of another era.
        """
        if self.index == BEGINNING or after.era != self.index.era or after < self._oldest_index:
            return None
        if any(gap.start < after < gap.end for gap in self._gaps):
            return tuple(row.fact for row in self._rows.values())
        found = []
        for row in reversed(self._rows.values()):
            if row.index <= after:
                break
            found.append(row.fact)
        return tuple(reversed(found))

    def all_facts(self) -> tuple[Fact, ...]:
        """Return the facts of all keys that exist, as a listing of the store would."""
        return tuple(row.fact for key, row in self._rows.items() if key not in self._removed)

    def _reset(self, index: Position) -> None:
        """Clear the table, at the first listing or after the store was replaced."""
        self.index = self._oldest_index = index
        self._rows.clear()
        self._removed.clear()
        self._gaps.clear()

    def _record_gap(self, gap: _Gap) -> None:
        self._gaps.append(gap)
        if len(self._gaps) > MAX_GAPS:
            self._oldest_index = max(self._oldest_index, self._gaps.popleft().end)

    def _set(self, fact: Fact, index: Position) -> bool:
        """Store a fact; return False if it is the held one or an older configuration."""
        key = key_of(fact)
        previous = self._rows.get(key)
        if previous is not None and _supersedes(previous.fact, fact):
            return False
        # A configuration that is read again must reach the gateways that know it as unreadable.
        repaired = isinstance(fact, PlanRead) and self._rows.pop(_UNREADABLE_PLAN, None) is not None
        if previous is not None and is_same_fact(previous.fact, fact) and not repaired:
            return False
        self._rows.pop(key, None)
        self._rows[key] = _Row(index, fact)
        self._removed.pop(key, None)
        if _is_removal(fact):
            self._removed[key] = None
            self._evict_removals()
        return True

    def _evict_removals(self) -> None:
        while len(self._removed) > self._max_removals:
            key = next(iter(self._removed))
            del self._removed[key]
            # Subscribers that are complete up to this position have received the removal.
            self._oldest_index = max(self._oldest_index, self._rows.pop(key).index)


def is_same_fact(held: Fact, received: Fact) -> bool:
    """Return whether two facts are equal in type too, such as zone drained and restored."""
    return type(held) is type(received) and held == received


def _supersedes(held: Fact, received: Fact) -> bool:
    """Return whether `received` is an older configuration than `held`."""
    are_plans = isinstance(held, PlanRead) and isinstance(received, PlanRead)
    return are_plans and received.plan.number < held.plan.number


def _is_removal(fact: Fact) -> bool:
    return isinstance(fact, UpstreamWithdrawn | ZoneRestored | EntryWithdrawn)


@singledispatch
def key_of(fact: Fact) -> FactKey:
    """Return the key of a fact."""
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
    # Kept beside the configuration that remains in force.
    return _UNREADABLE_PLAN if fact.plan is not None else FactKey("unreadable", fact.key)


@singledispatch
def _removal(fact: Fact) -> Fact | None:
    """Return the fact that removes the subject of `fact`, or None if nothing needs removing."""
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
