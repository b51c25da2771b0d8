"""Ownership of the units of a limit while the entries change from one division to the next.

When an entry receives a new revision, it immediately caps the units that it owns at its new base
share. It raises them to the base share only after every seat that may own units of the limit,
under this division or an older one that the entry knows, has reported exactly this revision as
settled. An entry reports a revision as settled when the units that it uses and lends fit its base
shares, and all former owners that *it* knows are past the older divisions: they have the new one
in force, and every use and loan that may have begun before has ended.

Revisions may be skipped safely. Let X own units under a division that A has never seen, and let A
raise its units at revision r. X raised its units only after all seats that it knew had settled
X's revision, so each of them records X as a former owner at its next revision.

- If A waits for X, then X has reported exactly r. It has capped its units at its share of r, and
  raises them under a later division only after A has settled that one.
- Otherwise a seat that A waits for records X as a former owner, and does not report r before X is
  past its division. Such a seat exists if any two successive divisions share a holder that keeps
  running. Holders are therefore chosen by the roster alone, so that a change of the roster
  replaces few of them. The guarantee does not hold if all holders of a limit are replaced at once
  while a former one is partitioned from the others.

An unchanged division moves no units and waits for no other entry.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Incarnation


class _Report(t.NamedTuple):
    """The last report of a seat's current incarnation; `since` is when that was first seen."""

    incarnation: str
    since: timedelta
    revision: int
    settled: int


class CoHolders:
    """The last reports of the other entries, and which of their VMs are gone."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._gone: dict[str, timedelta] = {}
        self._replaced: set[str] = set()

    def on_digest(self, sender: Incarnation, digest: Digest, now: timedelta) -> None:
        """Record a report; ignore one that is older than the last of the same incarnation."""
        last = self._reports.get(sender.seat)
        since = last.since if last else now
        if last is None or last.incarnation != sender.number:
            since = now
            if self._gone.pop(sender.seat, None) is not None:
                self._replaced.add(sender.seat)
        elif (digest.revision, digest.settled) < (last.revision, last.settled):
            return
        report = _Report(sender.number, since, digest.revision, digest.settled)
        self._reports[sender.seat] = report

    def on_gone(self, seat: str, now: timedelta) -> None:
        """Record that the VM is gone, unless its replacement has already reported.

        The platform's list may lag and still show the old VM as gone.
        """
        if seat not in self._replaced:
            self._gone.setdefault(seat, now)

    def on_listed(self, seat: str) -> None:
        """Record that the list shows a VM for the seat; a later :meth:`on_gone` counts again."""
        self._gone.pop(seat, None)
        self._replaced.discard(seat)

    def is_gone(self, seat: str) -> bool:
        """Return whether the seat's VM is gone and no replacement has reported."""
        return seat in self._gone

    def gone_before(self, seat: str, instant: timedelta) -> bool:
        """Return whether the seat's VM was known to be gone before `instant`."""
        return self._gone.get(seat, instant) < instant

    def settled_exactly(self, seat: str, revision: int) -> bool:
        """Return whether the seat's current incarnation reported exactly `revision` as settled."""
        report = self._reports.get(seat)
        return report is not None and report.settled == revision

    def has_reached(self, seat: str, revision: int) -> bool:
        """Return whether the seat's current incarnation has `revision` or a later one in force."""
        report = self._reports.get(seat)
        return report is not None and report.revision >= revision

    def has_settled(self, seat: str, revision: int, since: timedelta) -> bool:
        """Return whether the seat has settled `revision` or a later one.

        Only an incarnation that was first seen before `since` counts.
        """
        report = self._reports.get(seat)
        return report is not None and report.since < since and report.settled >= revision


class Ownership:
    """The units of a limit that one entry owns, and the state of a change of its division.

    The entry may use and lend `own` units, at most its `base` share. `former_owners` maps the
    seats that may own units under a division older than `division_revision` to the time at which
    each was first seen with that revision or a later one in force. Uses and loans begun under an
    older division end at most `max_carryover` after that. The division is `settled` when this
    entry reports it as such, and `complete` when the entry owns its base share.
    """

    __slots__ = (
        "base",
        "complete",
        "division_at",
        "division_revision",
        "former_owners",
        "max_carryover",
        "own",
        "settled",
        "wait_until",
    )

    def __init__(self) -> None:
        self.base = 0
        self.own = 0
        self.former_owners: dict[str, timedelta | None] = {}
        self.division_revision = 0
        self.division_at = timedelta(0)
        self.max_carryover = timedelta(0)
        self.wait_until = timedelta(0)
        self.complete = True
        self.settled = True

    def begin_division(
        self, base: int, former_owners: Iterable[str], revision: int, now: timedelta
    ) -> None:
        """Begin a new division in which this entry has `base` units.

        `former_owners` are the other holders under the previous division.
        """
        self.base = base
        self.own = min(self.own, base)
        self.former_owners = dict.fromkeys((*self.former_owners, *former_owners))
        self.division_revision = revision
        self.division_at = now
        self.settled = False
        self.complete = False

    def review(
        self,
        occupied: int,
        holders: Iterable[str],
        co_holders: CoHolders,
        revision: int,
        now: timedelta,
    ) -> None:
        """Settle the division, and own the base share, if the conditions are met.

        Parameters
        ----------
        occupied
            Own units in use or lent.
        holders
            The other holders in the current division.
        """
        if now < self.wait_until:
            return
        self._record_reached(co_holders, now)
        past = all(self._is_past(seat, co_holders, now) for seat in self.former_owners)
        self.settled = self.settled or (past and occupied <= self.base)
        if self.complete or not past:
            return
        cutoff = now - self.max_carryover
        if all(
            co_holders.settled_exactly(seat, revision) or co_holders.gone_before(seat, cutoff)
            for seat in (*holders, *self.former_owners)
        ):
            self.own = self.base
            self.former_owners = {}
            self.complete = True

    def _record_reached(self, co_holders: CoHolders, now: timedelta) -> None:
        for seat, reached in self.former_owners.items():
            if reached is None and co_holders.has_reached(seat, self.division_revision):
                self.former_owners[seat] = now

    def _is_past(self, seat: str, co_holders: CoHolders, now: timedelta) -> bool:
        reached = self.former_owners[seat]
        return (
            co_holders.has_settled(seat, self.division_revision, self.division_at)
            or (reached is not None and now - reached > self.max_carryover)
            or co_holders.gone_before(seat, now - self.max_carryover)
        )
