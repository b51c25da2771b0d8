"""Who owns the units of a limit while the entries go from one division to the next.

On a new revision an entry at once caps what it owns of a limit at its new base share. It raises it
to the base share only when everybody who may own units of the limit, under this division or an
older one that it knows, has reported exactly this revision as settled. An entry reports a revision
as settled when what it uses and lends fits its base shares, and when all older owners that *it*
knows of are past the older divisions: they have the new one in force, and the longest use and loan
that may have begun before are over.

Why it is safe to skip revisions: let X own units under a division that A has never seen, and let A
raise its own at revision r. X raised its units only after all whom it knew had settled X's
revision, so each of these knows X as an older owner once it moves on. If X is among those that A
waits for, X has reported exactly r: it has capped its units at its share of r, and raises them
under a later division only after A has settled that one. If X is not, one of those that A waits
for knows X, and does not report r before X is past its division. Such a one exists if any two
successive divisions share a holder that keeps running. To make that so, holders are chosen
by the roster alone, and a change of the roster replaces few of them. If every holder of a limit
were replaced at once while one of the old ones is cut off, nobody would know of it.

A division that did not change moves no units and waits for nobody.
"""

import typing as t
from collections.abc import Iterable
from datetime import timedelta

from cardamomloft.core.messages import Digest
from cardamomloft.core.model import Incarnation


class _Report(t.NamedTuple):
    """What the present life of a seat last reported, and since when that life is known."""

    life: str
    since: timedelta
    revision: int
    settled: int


class CoHolders:
    """Reports of the other entries, and which of their VMs are gone."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._gone: dict[str, timedelta] = {}
        self._replaced: set[str] = set()

    def on_digest(self, sender: Incarnation, digest: Digest, now: timedelta) -> None:
        """Take a report; an older one of the same life is ignored, a new life starts afresh."""
        last = self._reports.get(sender.seat)
        since = last.since if last else now
        if last is None or last.life != sender.number:
            since = now
            if self._gone.pop(sender.seat, None) is not None:
                self._replaced.add(sender.seat)
        elif (digest.revision, digest.settled) < (last.revision, last.settled):
            return
        report = _Report(sender.number, since, digest.revision, digest.settled)
        self._reports[sender.seat] = report

    def on_gone(self, seat: str, now: timedelta) -> None:
        """Note that the VM is gone; a lagging list does not count against its replacement."""
        if seat not in self._replaced:
            self._gone.setdefault(seat, now)

    def on_listed(self, seat: str) -> None:
        """Note that the list shows a VM for the seat, so that it may be gone again later."""
        self._gone.pop(seat, None)
        self._replaced.discard(seat)

    def is_gone(self, seat: str) -> bool:
        """Tell whether the seat's VM is gone and nobody was heard in its place."""
        return seat in self._gone

    def gone_before(self, seat: str, instant: timedelta) -> bool:
        """Tell whether the seat's VM was known to be gone before `instant`."""
        return self._gone.get(seat, instant) < instant

    def agrees(self, seat: str, revision: int) -> bool:
        """Tell whether the seat's present life reported exactly `revision` as settled."""
        report = self._reports.get(seat)
        return report is not None and report.settled == revision

    def has_reached(self, seat: str, revision: int) -> bool:
        """Tell whether the seat's present life has `revision` or a later one in force."""
        report = self._reports.get(seat)
        return report is not None and report.revision >= revision

    def has_settled(self, seat: str, revision: int, since: timedelta) -> bool:
        """Tell whether a life known before `since` has settled `revision` or a later one."""
        report = self._reports.get(seat)
        return report is not None and report.since < since and report.settled >= revision


class Ownership:
    """What one entry owns of a limit, and the agreement about a change of the division.

    `own` units are the entry's to use and lend, at most its `base` share. `before` names the seats
    that may own units under a division older than that of the revision `changed`, each with the
    instant at which it was first known to be past it. Uses and loans begun under an older division
    are over `overhang` later.
    """

    __slots__ = (
        "base",
        "before",
        "changed",
        "changed_at",
        "complete",
        "overhang",
        "own",
        "settled",
        "wait_until",
    )

    def __init__(self) -> None:
        self.base = 0
        self.own = 0
        self.before: dict[str, timedelta | None] = {}
        self.changed = 0
        self.changed_at = timedelta(0)
        self.overhang = timedelta(0)
        self.wait_until = timedelta(0)
        self.complete = True
        self.settled = True

    def divide(self, base: int, before: Iterable[str], revision: int, now: timedelta) -> None:
        """Begin a new division, in which this entry has `base` units, after that of `before`."""
        self.base = base
        self.own = min(self.own, base)
        self.before = dict.fromkeys((*self.before, *before))
        self.changed = revision
        self.changed_at = now
        self.settled = False
        self.complete = False

    def review(
        self,
        occupied: int,
        holders: Iterable[str],
        others: CoHolders,
        revision: int,
        now: timedelta,
    ) -> None:
        """Settle the division, and own the base share, as soon as the rule allows.

        Parameters
        ----------
        occupied
            Own units in use or lent.
        holders
            The other holders in the present division.
        """
        if now < self.wait_until:
            return
        self._note_reached(others, now)
        past = all(self._is_past(seat, others, now) for seat in self.before)
        self.settled = self.settled or (past and occupied <= self.base)
        if self.complete or not past:
            return
        long_ago = now - self.overhang
        if all(
            others.agrees(seat, revision) or others.gone_before(seat, long_ago)
            for seat in (*holders, *self.before)
        ):
            self.own = self.base
            self.before = {}
            self.complete = True

    def _note_reached(self, others: CoHolders, now: timedelta) -> None:
        for seat, reached in self.before.items():
            if reached is None and others.has_reached(seat, self.changed):
                self.before[seat] = now

    def _is_past(self, seat: str, others: CoHolders, now: timedelta) -> bool:
        reached = self.before[seat]
        return (
            others.has_settled(seat, self.changed, self.changed_at)
            or (reached is not None and now - reached > self.overhang)
            or others.gone_before(seat, now - self.overhang)
        )
